package cell

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
)

// claim tries to become the leader of the term that begins at offset at.
func (t *Tenure) claim(ctx context.Context, at int64) (int64, bool) {
	l := t.cfg.Self
	l.Term = at + 1
	t.mu.Lock()
	l.StrongestCores = max(t.leader.StrongestCores, t.cfg.Cores) // until the others have reported
	t.mu.Unlock()
	t.cfg.Logger.Info().Str("event", "leadership_claimed").Int64("term", l.Term).Send()
	sent := t.cfg.Clock()
	if !t.settleAppend(ctx, l, at) {
		t.cfg.Logger.Info().Str("event", "claim_failed").Int64("term", l.Term).Send()
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setLeader(l)
	t.validUntil = sent + tenureFor
	return l.Term, true
}

// claimTries is how often an append whose outcome is not known is repeated.
const claimTries = 3

// settleAppend appends an entry at an offset, repeats it while the outcome is not
// known, and reports whether the entry is stored there.
func (t *Tenure) settleAppend(ctx context.Context, l Leader, at int64) bool {
	for range claimTries {
		err := t.append(ctx, l, at)
		if err == nil {
			return true
		}
		if errkind.Of(err) == errkind.Conflict {
			return t.storedAt(ctx, l, at)
		}
		if !pause.For(ctx, logRetry) {
			return false
		}
	}
	return false
}

// storedAt reports whether the entry at an offset is l.
func (t *Tenure) storedAt(ctx context.Context, l Leader, at int64) bool {
	page, err := t.read(ctx, at, 0)
	if err != nil {
		t.noteReach(false, err)
		return false
	}
	for _, e := range page.Entries {
		var found Leader
		if e.Offset == at && cbor.Unmarshal(e.Value, &found) == nil {
			return found == l
		}
	}
	return false
}

// append stores one entry if the stream ends at the offset.
func (t *Tenure) append(ctx context.Context, l Leader, at int64) error {
	data, err := cbor.Marshal(l)
	if err != nil {
		return errkind.Wrap(errkind.InternalFailure, "encode", err)
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return t.cfg.Log.Append(ctx, StreamTenure, []Entry{{Value: data}}, Fence{At: at})
}

// lead runs the leader's work and its heartbeats until leadership is lost.
func (t *Tenure) lead(ctx context.Context, term int64) {
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.giveUp = cancel
	l := t.leader
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.cfg.Lead(work, term)
	}()
	at, fenced := t.heartbeats(work, &l)
	cancel()
	t.mu.Lock()
	t.validUntil, t.giveUp = 0, nil
	t.mu.Unlock()
	<-done
	if fenced {
		t.cfg.Logger.Warn().Str("event", "leadership_lost").Int64("term", term).Send()
		return
	}
	l.Resigned = true
	l.Heartbeat++ // Strongest goes with the farewell
	late, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*logTimeout)
	defer stop()
	if !t.settleAppend(late, l, at) {
		t.cfg.Logger.Warn().Str("event", "farewell_not_stored").Int64("term", term).Send()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leader.Term == term {
		t.setLeader(l)
	}
}

// heartbeats appends heartbeats until ctx ends or another leader is found. It
// returns the offset of the next append.
func (t *Tenure) heartbeats(ctx context.Context, l *Leader) (at int64, fenced bool) {
	at = l.Term                                 // the claim is at offset Term-1
	unanswered := make(map[int64]time.Duration) // heartbeats to when they were sent
	for pause.For(ctx, heartbeatEvery) {
		l.Heartbeat++
		t.mu.Lock()
		l.StrongestCores = t.leader.StrongestCores
		t.mu.Unlock()
		sent := t.cfg.Clock()
		unanswered[l.Heartbeat] = sent
		err := t.append(ctx, *l, at)
		if errkind.Of(err) == errkind.Conflict && err != nil {
			// Either a heartbeat without an answer is stored, or another daemon has claimed leadership.
			stored, fenced := t.taken(ctx, l.Term, &at)
			if fenced {
				return at, true
			}
			if then, ok := unanswered[stored]; ok {
				t.confirm(then, l.Term)
			}
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				t.noteReach(false, err)
			}
			continue
		}
		at++
		clear(unanswered)
		t.confirm(sent, l.Term)
	}
	return at, false
}

// confirm extends this daemon's tenure after a heartbeat was stored.
func (t *Tenure) confirm(sent time.Duration, term int64) {
	t.mu.Lock()
	now := t.cfg.Clock()
	if now >= t.validUntil {
		t.cfg.Logger.Warn().Str("event", "tenure_resumed").Int64("term", term).Int64("gap_ms", (now - t.validUntil).Milliseconds()).Send()
	}
	t.validUntil = max(t.validUntil, sent+tenureFor)
	t.mu.Unlock()
	t.noteReach(true, nil)
}

// taken reads the stream from an offset on. It reports whether another leader has
// claimed a later term, and moves at behind the entries of this one. stored is the
// last heartbeat of this term that was found, 0 if there is none.
func (t *Tenure) taken(ctx context.Context, term int64, at *int64) (stored int64, fenced bool) {
	page, err := t.read(ctx, *at, 0)
	if err != nil {
		t.noteReach(false, err)
		if errkind.Of(err) == errkind.NotFound {
			*at = max(*at, page.End)
		}
		return 0, false
	}
	for _, e := range page.Entries {
		var found Leader
		if err := cbor.Unmarshal(e.Value, &found); err != nil || found.Term > term {
			return 0, true
		}
		if found.Term == term {
			stored = found.Heartbeat
		}
		*at = e.Offset + 1
	}
	return stored, false
}
