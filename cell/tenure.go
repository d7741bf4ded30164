package cell

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// heartbeatInterval is the interval at which the leader sends heartbeats to the log. Each costs one
	// append, and a read by the daemons that follow closely. The next one is sent after the answer to
	// the last, so a log that takes longer than that gets fewer.
	heartbeatInterval = 150 * time.Millisecond
	// minHeartbeatPause is the least pause between the answer to a heartbeat and the next one.
	minHeartbeatPause = 20 * time.Millisecond
	// minTenure and maxTenure bound how long a leader may give orders after it sent a heartbeat that was
	// stored. The leader publishes the duration that it uses, see Leader.TenureMillis. maxTenure is also the
	// duration of leaders that publish none.
	minTenure = 450 * time.Millisecond
	maxTenure = 700 * time.Millisecond
	// resignedClaimDelay is how long a daemon that has resigned leaves leadership to others.
	resignedClaimDelay = 6 * time.Second
	// logTimeout bounds a call to the log, beyond the time that it asks the log to wait.
	logTimeout = 900 * time.Millisecond
	// logRetry is the pause after a failed call to the log.
	logRetry = 150 * time.Millisecond
	// minLostReadTimeout is the timeout of the first read after one that was not answered. It doubles with
	// each further one up to logTimeout, then it starts anew, so that a log that is back is noticed soon
	// and a slow one is read at all.
	minLostReadTimeout = 300 * time.Millisecond
	maxLostReads       = 3
	// distantReadPause is the pause of a daemon that is not a named successor after it has read a
	// heartbeat, so that it reads several at once. A failed call to the leader ends the pause.
	distantReadPause = 300 * time.Millisecond
)

// Leader is the value of an entry of StreamTenure: a claim, a heartbeat or a resignation of the daemon
// that leads the cell.
type Leader struct {
	Daemon      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`           // start of the daemon's process, Unix ns
	Address     string `cbor:"3,keyasint"`           // for calls between daemons
	Term        int64  `cbor:"4,keyasint"`           // offset of the claim plus 1; a later leader has a higher one
	Resigned    bool   `cbor:"5,keyasint,omitempty"` // set in a resignation, the last entry of a term
	Heartbeat   int64  `cbor:"6,keyasint,omitempty"` // number of the entry within the term; the claim is 0
	// StrongestCores is the processor capacity of the strongest daemon that the leader knows. Much
	// weaker daemons delay their claims.
	StrongestCores float64 `cbor:"7,keyasint,omitempty"`
	// TenureMillis is how long the leader may give orders after it sent this entry, in ms; 0 stands for
	// maxTenure. The others claim later than that after they have read it.
	TenureMillis int64 `cbor:"8,keyasint,omitempty"`
	// Successors are the names of the daemons that claim first, in this order, empty where there is none.
	Successors [maxSuccessors]string `cbor:"9,keyasint,omitempty"`
}

// sameState reports whether two entries differ at most in Heartbeat and in what the leader publishes
// for a change of the leader.
func (l Leader) sameState(o Leader) bool {
	l.Heartbeat, l.StrongestCores, l.TenureMillis, l.Successors = o.Heartbeat, o.StrongestCores, o.TenureMillis, o.Successors
	return l == o
}

// sameProcess reports whether two entries are of the same process. Processes of two hosts may have
// started at the same time.
func (l Leader) sameProcess(o Leader) bool {
	return l.Daemon == o.Daemon && l.Address == o.Address && l.Incarnation == o.Incarnation
}

// tenure returns how long the leader may give orders after it sent this entry.
func (l Leader) tenure() time.Duration {
	if l.TenureMillis == 0 {
		return maxTenure
	}
	return time.Duration(l.TenureMillis) * time.Millisecond
}

// Token returns the first fencing token of the leader's term. Machines refuse orders with a lower
// token than one that they have seen.
func (l Leader) Token() int64 { return l.Term * sched.TokensPerTerm }

// TenureConfig configures a Tenure.
type TenureConfig struct {
	Self  Leader  // Daemon, Incarnation and Address of this daemon
	Cores float64 // processor capacity of this daemon, 0 if not known
	Log   Log
	Clock Clock
	// ReachesLog reports whether the log answers this daemon itself. Default: always.
	ReachesLog func() bool
	// Lead runs while this daemon leads. It must return soon after ctx ends.
	Lead   func(ctx context.Context, term int64)
	Logger zerolog.Logger
}

// Tenure follows which daemon leads the cell, and claims leadership when none does. A daemon leads
// for a term, which begins with its claim. Within its term it holds the tenure, the right to give
// orders, only for the time that each stored heartbeat says (Leader.TenureMillis), after it was sent.
//
// Every append to the stream, be it a claim, a heartbeat or a resignation, has the condition that the
// stream still ends where the writer has read it. So no heartbeat of a leader is stored after the
// claim of another one. The term is derived from the offset of the claim, so that a later claim has a
// higher term.
type Tenure struct {
	cfg TenureConfig

	mu                sync.Mutex
	leader            Leader
	validUntil        time.Duration      // end of this daemon's own tenure, 0 if it does not lead
	claimDelayedUntil time.Duration      // set by Resign
	logReachable      bool               // the last call to the log was answered
	logLostAt         time.Duration      // when a call first failed, if logReachable is false; 0 if none ever succeeded
	stopLeading       context.CancelFunc // ends the work of the leader, nil if this daemon does not lead
	logRoundTrip      time.Duration      // least round trip to the log so far, 0 if not known
	changed           chan struct{}      // closed and replaced when leader changes
	heartbeatTimes    responseTimes      // of this leader's heartbeats

	readNow   chan struct{} // ends the pause before the next read
	lostReads int           // reads in a row that were not answered; only the goroutine of Run uses it
}

// NewTenure returns a Tenure that does nothing until Run is called.
func NewTenure(cfg TenureConfig) *Tenure {
	if cfg.ReachesLog == nil {
		cfg.ReachesLog = func() bool { return true }
	}
	return &Tenure{cfg: cfg, changed: make(chan struct{}), readNow: make(chan struct{}, 1)}
}

// Leader returns the last known leader, and false if there is none or it has resigned.
func (t *Tenure) Leader() (Leader, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader, t.leader.Term != 0 && !t.leader.Resigned
}

// Changed returns a channel that is closed when the known leader changes or resigns.
func (t *Tenure) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Held reports whether this daemon holds the tenure: it leads and may give orders.
func (t *Tenure) Held() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Clock() < t.validUntil
}

// Resign ends this daemon's leadership, if it leads, and delays its next claim by
// resignedClaimDelay. why is logged.
func (t *Tenure) Resign(why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claimDelayedUntil = t.cfg.Clock() + resignedClaimDelay
	if t.stopLeading != nil {
		t.cfg.Logger.Warn().Str("event", "leadership_given_up").Int64("term", t.leader.Term).Str("reason", why).Send()
		t.stopLeading()
		t.stopLeading = nil
	}
}

// Run follows the log until ctx ends, and claims leadership when no daemon leads. A leader resigns
// before Run returns.
func (t *Tenure) Run(ctx context.Context) {
	nextOffset := int64(0)
	noHeartbeatSince := t.cfg.Clock() // since when the log is readable and has no new entry of a leader
	for ctx.Err() == nil {
		wait := noHeartbeatSince + t.claimDelay() - t.cfg.Clock()
		wait = min(max(wait, 0), heartbeatInterval*3)
		page, err := t.read(ctx, nextOffset, wait)
		now := t.cfg.Clock()
		switch {
		case errkind.Of(err) == errkind.NotFound && err != nil:
			nextOffset = page.End
			continue
		case err != nil:
			t.setLogReachable(false, err)
			pause.For(ctx, logRetry)
			noHeartbeatSince = t.cfg.Clock()
			continue
		}
		t.setLogReachable(true, nil)
		for _, e := range page.Entries {
			nextOffset = e.Offset + 1
			if t.applyEntry(e) {
				noHeartbeatSince = now
			}
		}
		nextOffset = max(nextOffset, page.End)
		if noHeartbeatSince == now && t.isDistant() {
			t.pauseReads(ctx)
			continue
		}
		if now-noHeartbeatSince < t.claimDelay() {
			continue
		}
		if term, ok := t.claim(ctx, nextOffset); ok {
			t.serveTerm(ctx, term)
		}
		noHeartbeatSince = t.cfg.Clock()
	}
}

// claimDelay returns the time without a heartbeat of a leader after which this daemon claims
// leadership.
func (t *Tenure) claimDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := succession{leader: t.leader, self: t.cfg.Self, weak: t.isWeak(), logRoundTrip: t.logRoundTrip, indirect: !t.cfg.ReachesLog()}
	return c.claimDelay() + max(t.claimDelayedUntil-t.cfg.Clock(), 0)
}

// isDistant reports whether another daemon leads and this one is not among those that claim first.
func (t *Tenure) isDistant() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader.Term != 0 && !t.leader.Resigned && t.leader.Successors[0] != "" &&
		(succession{leader: t.leader, self: t.cfg.Self}).rank() == maxSuccessors
}

// pauseReads waits for distantReadPause, or until ReadNow is called or ctx ends.
func (t *Tenure) pauseReads(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-t.readNow:
	case <-time.After(distantReadPause):
	}
}

// ReadNow makes Run read the log at once. It is called when the leader does not answer or does not lead
// any more.
func (t *Tenure) ReadNow() { notify(t.readNow) }

// SetSuccessors sets the daemons that claim first when this leader is gone. The next heartbeat tells it
// to the others.
func (t *Tenure) SetSuccessors(names [maxSuccessors]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader.Successors = names
}

// isWeak reports whether a much stronger daemon is known. t.mu must be held.
func (t *Tenure) isWeak() bool { return t.cfg.Cores < weakShare*t.leader.StrongestCores }

// SetStrongestCores sets the processor capacity of the strongest other daemon that this leader knows,
// 0 if there is none. The next heartbeat tells the followers the larger of it and this daemon's own.
func (t *Tenure) SetStrongestCores(cores float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader.StrongestCores = max(cores, t.cfg.Cores)
}

// read reads the tenure stream. A read that does not wait measures the round trip to the log. After a
// read that was not answered, the next ones do not wait, and have short timeouts.
func (t *Tenure) read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	timeout := wait + logTimeout
	if t.lostReads > 0 {
		wait, timeout = 0, min(minLostReadTimeout<<(t.lostReads-1), logTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := t.cfg.Clock()
	page, err := t.cfg.Log.Read(ctx, StreamTenure, from, wait)
	t.lostReads++
	if err == nil || errkind.Of(err) == errkind.NotFound || t.lostReads > maxLostReads {
		t.lostReads = 0
	}
	if took := t.cfg.Clock() - sent; err == nil && wait == 0 {
		t.observeRoundTrip(took)
	}
	return page, err
}

// LogRoundTrip returns the least round trip to the log so far, 0 if it is not known.
func (t *Tenure) LogRoundTrip() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.logRoundTrip
}

// observeRoundTrip updates the least round trip to the log by the duration of a call.
func (t *Tenure) observeRoundTrip(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.logRoundTrip == 0 || took < t.logRoundTrip {
		t.logRoundTrip = took
	}
}

// setLogReachable records whether the last call to the log was answered, and logs changes of that. err
// is the error of the call if it was not.
func (t *Tenure) setLogReachable(ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok == t.logReachable {
		return
	}
	t.logReachable, t.logLostAt = ok, t.cfg.Clock()
	if ok {
		t.cfg.Logger.Info().Str("event", "dependency_regained").Str("dependency", "log").Send()
		return
	}
	t.cfg.Logger.Warn().Str("event", "dependency_lost").Str("dependency", "log").Err(err).Send()
}

// logOutage returns how long the log has not answered, 0 if the last call was answered or none ever
// was.
func (t *Tenure) logOutage() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.logReachable || t.logLostAt == 0 {
		return 0
	}
	return t.cfg.Clock() - t.logLostAt
}

// applyEntry takes an entry of the stream into account. It reports whether the entry belongs to the
// latest term, so that the leader is alive or has just resigned.
func (t *Tenure) applyEntry(e Entry) bool {
	var l Leader
	if err := cbor.Unmarshal(e.Value, &l); err != nil {
		t.cfg.Logger.Error().Str("event", "record_unreadable").Int64("offset", e.Offset).Err(err).Send()
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Term < t.leader.Term || l.Term == t.leader.Term && t.leader.Resigned && !l.Resigned {
		return false // of a former leader, or of one that is known to have resigned since
	}
	if !l.sameState(t.leader) {
		t.setLeader(l)
	}
	t.leader.StrongestCores, t.leader.TenureMillis, t.leader.Successors = l.StrongestCores, l.TenureMillis, l.Successors
	return true
}

// setLeader replaces the known leader. t.mu must be held.
func (t *Tenure) setLeader(l Leader) {
	t.leader = l
	close(t.changed)
	t.changed = make(chan struct{})
	t.cfg.Logger.Info().Str("event", "leader_changed").Str("leader", l.Daemon).Str("address", l.Address).
		Int64("term", l.Term).Bool("left", l.Resigned).Send()
}
