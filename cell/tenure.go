package cell

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// heartbeatEvery is the interval of the leader's heartbeats in the log. Each
	// costs one append and one read per daemon.
	heartbeatEvery = 200 * time.Millisecond
	// tenureFor is how long a leader may give orders after it sent a heartbeat that
	// was stored.
	tenureFor = 700 * time.Millisecond
	// takeoverAfter is the silence in a readable log after which a daemon claims
	// leadership. It is longer than tenureFor plus the drift of two clocks.
	takeoverAfter = 850 * time.Millisecond
	// rankSpan spreads the claims of the daemons, so that rarely two are made at once.
	rankSpan = 150 * time.Millisecond
	// distanceFactor delays claims of daemons that are far from the log, by their
	// round trip times this factor.
	distanceFactor = 12
	// weakShare is the share of the strongest daemon's capacity below which a daemon
	// delays its claim by weakDelay. It then leads only if no stronger one claims.
	weakShare = 0.7
	weakDelay = 700 * time.Millisecond
	// yieldFor is how long a daemon that has given leadership up leaves it to others.
	yieldFor = 6 * time.Second
	// logTimeout bounds a call to the log, beyond the time that it may wait.
	logTimeout = 900 * time.Millisecond
	// logRetry is the wait after a failed call to the log.
	logRetry = 150 * time.Millisecond
)

// Leader is the daemon that leads the cell.
type Leader struct {
	Daemon      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`           // start of the daemon's process, Unix ns
	Address     string `cbor:"3,keyasint"`           // for calls between daemons
	Term        int64  `cbor:"4,keyasint"`           // rises with each leader
	Resigned    bool   `cbor:"5,keyasint,omitempty"` // it has given leadership up
	Heartbeat   int64  `cbor:"6,keyasint,omitempty"` // heartbeat of the term; the claim is 0
	// StrongestCores is the processor capacity of the strongest daemon that the leader
	// knows, in cores. Much weaker ones leave leadership to others.
	StrongestCores float64 `cbor:"7,keyasint,omitempty"`
}

// same reports whether two entries come from the same leader in the same state.
func (l Leader) same(o Leader) bool {
	l.Heartbeat, l.StrongestCores = o.Heartbeat, o.StrongestCores
	return l == o
}

// Token is the first fencing token of the leader's term.
func (l Leader) Token() int64 { return l.Term * sched.TokensPerTenure }

// TenureConfig configures a Tenure.
type TenureConfig struct {
	Self  Leader  // without Term
	Cores float64 // processor capacity of this daemon, 0 if not known
	Log   Log
	Clock Clock
	// Lead runs while this daemon leads. It must return soon after ctx ends.
	Lead   func(ctx context.Context, term int64)
	Logger zerolog.Logger
}

// Tenure follows who leads the cell, and claims leadership when nobody does.
//
// Every append to the stream, a claim or a heartbeat, has the condition that the
// log has not moved on since the writer has read it. So no heartbeat of a leader
// is stored after the claim of another one. The offset of the claim gives the
// term, so that a later claim has a higher one.
type Tenure struct {
	cfg TenureConfig

	mu         sync.Mutex
	leader     Leader
	validUntil time.Duration // end of this daemon's own tenure, 0 if it does not lead
	yieldUntil time.Duration
	reachable  bool          // the last call to the log was answered
	lostAt     time.Duration // when a call was first not answered, if reachable is false
	giveUp     context.CancelFunc
	distance   time.Duration // least round trip to the log
	changed    chan struct{}
}

// NewTenure returns a Tenure that does nothing until Run.
func NewTenure(cfg TenureConfig) *Tenure {
	return &Tenure{cfg: cfg, changed: make(chan struct{})}
}

// Leader returns the last known leader, and false if there is none.
func (t *Tenure) Leader() (Leader, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader, t.leader.Term != 0 && !t.leader.Resigned
}

// Changed returns a channel that is closed when the leader changes.
func (t *Tenure) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Held reports whether this daemon leads and may give orders.
func (t *Tenure) Held() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Clock() < t.validUntil
}

// Resign ends this daemon's leadership, if it has it, and leaves it to others
// for some seconds.
func (t *Tenure) Resign(why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.yieldUntil = t.cfg.Clock() + yieldFor
	if t.giveUp != nil {
		t.cfg.Logger.Warn().Str("event", "leadership_given_up").Int64("term", t.leader.Term).Str("reason", why).Send()
		t.giveUp()
	}
}

// Run follows the log until ctx ends. A leader gives leadership up before it returns.
func (t *Tenure) Run(ctx context.Context) {
	next := int64(0)
	quietSince := t.cfg.Clock() // since when the log is readable without a sign of a leader
	for ctx.Err() == nil {
		wait := quietSince + t.patience() - t.cfg.Clock()
		wait = min(max(wait, 0), heartbeatEvery*3)
		page, err := t.read(ctx, next, wait)
		now := t.cfg.Clock()
		switch {
		case errkind.Of(err) == errkind.NotFound && err != nil:
			next = page.End
			continue
		case err != nil:
			t.noteReach(false, err)
			pause.For(ctx, logRetry)
			quietSince = t.cfg.Clock()
			continue
		}
		t.noteReach(true, nil)
		for _, e := range page.Entries {
			next = e.Offset + 1
			if t.follow(e) {
				quietSince = now
			}
		}
		next = max(next, page.End)
		if now-quietSince < t.patience() {
			continue
		}
		if term, ok := t.claim(ctx, next); ok {
			t.lead(ctx, term)
		}
		quietSince = t.cfg.Clock()
	}
}

// patience is the silence after which this daemon claims leadership.
func (t *Tenure) patience() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.cfg.Self.Daemon)) // a hash does not fail
	rank := time.Duration(h.Sum32()%64) * rankSpan / 64
	p := takeoverAfter
	former := t.leader.Term != 0 && t.leader.Address == t.cfg.Self.Address && t.leader.Incarnation != t.cfg.Self.Incarnation
	if t.leader.Resigned {
		p = 0
	}
	if former {
		return 0 // the leader was a former process at this daemon's address, which is gone
	}
	if t.weak() {
		p += weakDelay
	}
	if left := t.yieldUntil - t.cfg.Clock(); left > 0 {
		p += left
	}
	return p + rank + t.distance*distanceFactor
}

// weak reports whether a much stronger daemon is known; t.mu must be held.
func (t *Tenure) weak() bool { return t.cfg.Cores < weakShare*t.leader.StrongestCores }

// SetStrongestCores tells the followers, with the next heartbeat, how strong the
// strongest daemon is that this leader knows.
func (t *Tenure) SetStrongestCores(cores float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader.StrongestCores = max(cores, t.cfg.Cores)
}

// read reads the tenure stream and measures how far away the log is.
func (t *Tenure) read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+logTimeout)
	defer cancel()
	sent := t.cfg.Clock()
	page, err := t.cfg.Log.Read(ctx, StreamTenure, from, wait)
	if took := t.cfg.Clock() - sent; err == nil && wait == 0 {
		t.measured(took)
	}
	return page, err
}

func (t *Tenure) measured(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.distance == 0 || took < t.distance {
		t.distance = took
	}
}

func (t *Tenure) noteReach(ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok == t.reachable {
		return
	}
	t.reachable, t.lostAt = ok, t.cfg.Clock()
	if ok {
		t.cfg.Logger.Info().Str("event", "dependency_regained").Str("dependency", "log").Send()
		return
	}
	t.cfg.Logger.Warn().Str("event", "dependency_lost").Str("dependency", "log").Err(err).Send()
}

// outage returns how long the log has not answered, 0 if it does.
func (t *Tenure) outage() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reachable || t.lostAt == 0 {
		return 0
	}
	return t.cfg.Clock() - t.lostAt
}

// follow takes an entry of the stream into account. It reports whether the
// entry shows that a leader is alive or has just left.
func (t *Tenure) follow(e Entry) bool {
	var l Leader
	if err := cbor.Unmarshal(e.Value, &l); err != nil {
		t.cfg.Logger.Error().Str("event", "record_unreadable").Int64("offset", e.Offset).Err(err).Send()
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Term < t.leader.Term {
		return false
	}
	if !l.same(t.leader) {
		t.setLeader(l)
	}
	t.leader.StrongestCores = l.StrongestCores
	return true
}

// setLeader replaces the leader; t.mu must be held.
func (t *Tenure) setLeader(l Leader) {
	t.leader = l
	close(t.changed)
	t.changed = make(chan struct{})
	t.cfg.Logger.Info().Str("event", "leader_changed").Str("leader", l.Daemon).Str("address", l.Address).
		Int64("term", l.Term).Bool("left", l.Resigned).Send()
}
