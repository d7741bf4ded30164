package cell

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
)

// claim tries to become the leader with a claim at an offset of the stream, which also determines
// the term. It returns the term, and false if the claim is not known to be stored.
func (t *Tenure) claim(ctx context.Context, offset int64) (int64, bool) {
	self := t.cfg.Self
	self.Term = offset + 1
	t.mu.Lock()
	self.StrongestCores = max(t.leader.StrongestCores, t.cfg.Cores) // until the others have registered
	self.Successors = t.leader.Successors                           // likewise
	self.TenureMillis = max(t.leader.tenure(), tenureFor(t.logRoundTrip)).Milliseconds()
	t.mu.Unlock()
	t.cfg.Logger.Info().Str("event", "leadership_claimed").Int64("term", self.Term).Send()
	sent := t.cfg.Clock()
	if !t.appendResolved(ctx, self, offset) {
		t.cfg.Logger.Info().Str("event", "claim_failed").Int64("term", self.Term).Send()
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setLeader(self)
	t.validUntil = sent + self.tenure()
	return self.Term, true
}

// maxAppendAttempts bounds the attempts to append a claim or a resignation.
const maxAppendAttempts = 3

// appendResolved appends an entry at an offset, and repeats that after failures that are no
// conflict: the entry may be stored nevertheless, and then the next attempt is a conflict. It
// reports whether the entry is known to be stored there.
func (t *Tenure) appendResolved(ctx context.Context, leader Leader, offset int64) bool {
	for range maxAppendAttempts {
		err := t.append(ctx, leader, offset)
		if err == nil {
			return true
		}
		if errkind.Of(err) == errkind.Conflict {
			return t.isStoredAt(ctx, leader, offset)
		}
		if !pause.For(ctx, logRetry) {
			return false
		}
	}
	return false
}

// isStoredAt reports whether the entry at an offset equals leader. It is false if the log cannot
// be read.
func (t *Tenure) isStoredAt(ctx context.Context, leader Leader, offset int64) bool {
	page, err := t.read(ctx, offset, 0)
	if err != nil {
		t.setLogReachable(false, err)
		return false
	}
	for _, e := range page.Entries {
		var found Leader
		if e.Offset == offset && cbor.Unmarshal(e.Value, &found) == nil {
			return found == leader
		}
	}
	return false
}

// append stores one entry if the stream ends at the offset; otherwise the error is of kind
// conflict.
func (t *Tenure) append(ctx context.Context, leader Leader, offset int64) error {
	data, err := cbor.Marshal(leader)
	if err != nil {
		return errkind.Wrap(errkind.InternalFailure, "encode", err)
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return t.cfg.Log.Append(ctx, StreamTenure, []Entry{{Value: data}}, Fence{At: offset})
}

// serveTerm runs the leader's work and sends its heartbeats until ctx ends, this daemon resigns or
// another one claims a later term. Unless a later term was claimed, it tries to store the
// resignation.
func (t *Tenure) serveTerm(ctx context.Context, term int64) {
	workCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.stopLeading = cancel
	self := t.leader
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.cfg.Lead(workCtx, term)
	}()
	nextOffset, superseded := t.sendHeartbeats(workCtx, &self)
	cancel()
	t.mu.Lock()
	t.validUntil, t.stopLeading = 0, nil
	t.mu.Unlock()
	<-done
	if superseded {
		t.cfg.Logger.Warn().Str("event", "leadership_lost").Int64("term", term).Send()
		return
	}
	// The resignation keeps StrongestCores, so that weak daemons still delay their claims.
	self.Resigned = true
	self.Heartbeat++
	resignCtx, cancelResign := context.WithTimeout(context.WithoutCancel(ctx), 2*logTimeout)
	defer cancelResign()
	if !t.appendResignation(resignCtx, self, nextOffset) {
		t.cfg.Logger.Warn().Str("event", "farewell_not_stored").Int64("term", term).Send()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader.Term == term {
		t.setLeader(self)
	}
}

// appendResignation appends the resignation at an offset, or, if heartbeats of this term are stored
// there whose answers were lost, after them. It reports whether the resignation is known to be stored.
func (t *Tenure) appendResignation(ctx context.Context, self Leader, offset int64) bool {
	for ctx.Err() == nil {
		if t.appendResolved(ctx, self, offset) {
			return true
		}
		before := offset
		if _, superseded := t.readNewEntries(ctx, self.Term, &offset); superseded || offset == before {
			return false
		}
	}
	return false
}

// sendHeartbeats appends heartbeats until ctx ends or a later term is found, and updates self to the
// last one sent. It returns the offset of the next append, and whether a later term was claimed.
func (t *Tenure) sendHeartbeats(ctx context.Context, self *Leader) (nextOffset int64, superseded bool) {
	nextOffset = self.Term                      // the claim is at offset Term-1
	unanswered := make(map[int64]time.Duration) // ends of the tenure that they give, by heartbeat number
	lastSent := t.cfg.Clock()
	for pause.For(ctx, max(heartbeatInterval-(t.cfg.Clock()-lastSent), minHeartbeatPause)) {
		self.Heartbeat++
		t.mu.Lock()
		self.StrongestCores, self.Successors = t.leader.StrongestCores, t.leader.Successors
		self.TenureMillis = tenureFor(t.heartbeatTimes.limit()).Milliseconds()
		t.mu.Unlock()
		lastSent = t.cfg.Clock()
		until := lastSent + self.tenure()
		unanswered[self.Heartbeat] = until
		// The answer is awaited also if ctx ends: the resignation needs the offset after this heartbeat.
		err := t.append(context.WithoutCancel(ctx), *self, nextOffset)
		if errkind.Of(err) == errkind.Conflict && err != nil {
			// Either a heartbeat whose answer was lost is stored, or another daemon has claimed leadership.
			lastHeartbeat, superseded := t.readNewEntries(context.WithoutCancel(ctx), self.Term, &nextOffset)
			if superseded {
				return nextOffset, true
			}
			if until, ok := unanswered[lastHeartbeat]; ok {
				t.extendTenure(until, self.Term)
			}
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				t.setLogReachable(false, err)
			}
			continue
		}
		nextOffset++
		clear(unanswered)
		t.mu.Lock()
		t.heartbeatTimes.observe(t.cfg.Clock() - lastSent)
		t.mu.Unlock()
		t.extendTenure(until, self.Term)
	}
	return nextOffset, false
}

// extendTenure extends this daemon's tenure after a heartbeat was stored that gives it until that time.
func (t *Tenure) extendTenure(until time.Duration, term int64) {
	t.mu.Lock()
	now := t.cfg.Clock()
	if now >= t.validUntil {
		t.cfg.Logger.Warn().Str("event", "tenure_resumed").Int64("term", term).Int64("gap_ms", (now - t.validUntil).Milliseconds()).Send()
	}
	t.validUntil = max(t.validUntil, until)
	t.mu.Unlock()
	t.setLogReachable(true, nil)
}

// readNewEntries reads the stream from nextOffset on, and moves nextOffset past the entries of this
// term. It returns the number of the last heartbeat of this term that was found, 0 if there is none,
// and whether another daemon has claimed a later term. An unreadable entry counts as such a claim.
// If the log cannot be read, it returns 0 and false; if the entries have expired, it moves nextOffset
// to the first entry that is left.
func (t *Tenure) readNewEntries(ctx context.Context, term int64, nextOffset *int64) (lastHeartbeat int64, superseded bool) {
	page, err := t.read(ctx, *nextOffset, 0)
	if err != nil {
		t.setLogReachable(false, err)
		if errkind.Of(err) == errkind.NotFound {
			*nextOffset = max(*nextOffset, page.End)
		}
		return 0, false
	}
	for _, e := range page.Entries {
		var found Leader
		if err := cbor.Unmarshal(e.Value, &found); err != nil || found.Term > term {
			return 0, true
		}
		if found.Term == term {
			lastHeartbeat = found.Heartbeat
		}
		*nextOffset = e.Offset + 1
	}
	return lastHeartbeat, false
}
