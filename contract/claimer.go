package contract

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// maxRecordsPerRead is the largest number of records per read of the control stream.
const maxRecordsPerRead = 1000

// Claimer reads the control stream, claims keys for this daemon, confirms its tenure,
// and hands keys over to other daemons.
type Claimer struct {
	cfg    Config
	self   link.Member
	writer *upstream.Writer

	mu    sync.Mutex // guards all fields below
	state *ControlState
	// rebuilding is built from a snapshot after the log was trimmed beyond the position of
	// state, which it then replaces. It is nil at other times.
	rebuilding  *ControlState
	confirmedAt time.Time // start of the last read that reached the head of the log; zero if none
	startedAt   time.Time // when Run was called
	joined      bool      // state shows the join of this incarnation
	draining    bool      // Drain was called

	keys                []Key                  // of this region, sorted
	gone                map[string]bool        // daemons that are gone according to the host list
	leaving             map[string]bool        // daemons that are leaving according to the host list
	hosts               map[string]link.Member // daemons on the host list, by id
	hostsRead           bool                   // the host list has been read at least once
	promisedUntil       map[Key]time.Time      // this daemon appends no claim of the key before that time
	promisesRequestedAt map[Key]time.Time      // start of the last round of requests in which all electors promised

	vacantSince map[Key]time.Time // since when the key could be claimed
	// isolatedAt is when this daemon last found that it hears no majority of its region.
	isolatedAt      time.Time
	readiness       map[Key]readiness // of the keys that this daemon owns
	stoppedEpoch    map[Key]Epoch     // epoch at which this daemon stopped serving a key to release it
	pending         pendingRecords
	firstUnusedMint func(Key) int64 // Grants.firstUnusedMint, or always 0 without Grants
	// onRelease is called before the release of id shards is appended.
	onRelease func(context.Context, []Release)
	watchers  watchers

	balancedAt time.Time // of the last handover or update of the electorate
	snapshotAt time.Time // when this daemon last tried to append a snapshot
}

// readiness is when this daemon may act for a key that it owns at an epoch.
type readiness struct {
	epoch    Epoch
	actFrom  time.Time
	notified bool // the watchers have been told that this daemon may act
}

var _ Ownership = (*Claimer)(nil)

// NewClaimer returns a Claimer, or an error if the takeover wait could end before the
// tenure of a former owner.
func NewClaimer(cfg Config) (*Claimer, error) {
	cfg = cfg.withDefaults()
	if cfg.TakeoverWait <= cfg.withDrift(cfg.Tenure) {
		return nil, errors.Errorf("takeover wait %v is not greater than tenure %v plus clock drift", cfg.TakeoverWait, cfg.Tenure)
	}
	c := &Claimer{
		cfg: cfg, self: cfg.Members.Self(), state: NewControlState(0),
		writer: upstream.NewWriter(upstream.WriterConfig{Log: cfg.Log, Stream: upstream.StreamControl,
			Linger: cfg.Linger, ResolveTimeout: cfg.ResolveTimeout, Logger: cfg.Logger}),
		gone: make(map[string]bool), leaving: make(map[string]bool), hosts: make(map[string]link.Member),
		promisedUntil: make(map[Key]time.Time), promisesRequestedAt: make(map[Key]time.Time),
		vacantSince: make(map[Key]time.Time), readiness: make(map[Key]readiness), stoppedEpoch: make(map[Key]Epoch),
		firstUnusedMint: func(Key) int64 { return 0 }, onRelease: func(context.Context, []Release) {},
	}
	c.pending.init()
	return c, nil
}

// Run joins the cell, reads the log, claims and hands over keys, confirms tenure and appends
// snapshots until ctx ends. It returns an error only if its join record cannot be encoded.
func (c *Claimer) Run(ctx context.Context) error {
	c.mu.Lock()
	c.startedAt = time.Now()
	c.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{
		c.writer.Run, c.readLoop, c.hostsLoop, c.joinLoop, c.claimLoop, c.promiseLoop, c.balanceLoop, c.snapshotLoop,
	} {
		g.Go(func() error { return loop(ctx) })
	}
	return g.Wait()
}

// readLoop reads and folds the control stream, and confirms tenure with every read that
// reaches the head of the log.
func (c *Claimer) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		state := c.state
		if c.rebuilding != nil {
			state = c.rebuilding
		}
		from := state.Next()
		c.mu.Unlock()
		start := time.Now()
		b, age, err := c.read(ctx, from)
		var trimmed *upstream.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			c.mu.Lock()
			c.rebuilding = NewControlState(trimmed.Oldest)
			c.mu.Unlock()
			c.cfg.Logger.Info().Str("event", "control_stream_trimmed").Uint64("oldest", uint64(trimmed.Oldest)).Send()
		case err != nil:
			pause.For(ctx, c.cfg.PollWait/4)
		default:
			c.applyBatch(state, b, start.Add(-age))
		}
	}
	return nil
}

// read reads the control stream. The returned age is how long before the answer the
// relay's own read of the log started; it is zero for a direct read.
func (c *Claimer) read(ctx context.Context, from upstream.Offset) (upstream.Batch, time.Duration, error) {
	if aged, ok := c.cfg.Log.(upstream.AgeReader); ok {
		return aged.ReadWithAge(ctx, upstream.StreamControl, from, maxRecordsPerRead, c.cfg.PollWait)
	}
	b, err := c.cfg.Log.Read(ctx, upstream.StreamControl, from, maxRecordsPerRead, c.cfg.PollWait)
	return b, 0, err
}

// applyBatch folds records into state, which is c.state or c.rebuilding. asOf is a
// time not later than the start of the read of the log that returned them.
func (c *Claimer) applyBatch(state *ControlState, b upstream.Batch, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.state.keys
	if len(b.Records) > 0 && state == c.state {
		before = cloneKeys(before)
	}
	for _, r := range b.Records {
		state.Apply(r)
		c.pending.resolve(state.lastRecordID)
	}
	if state == c.rebuilding && state.Ready() {
		c.state, c.rebuilding = state, nil
	}
	if state != c.state {
		return
	}
	if b.Next == b.Head && asOf.After(c.confirmedAt) {
		c.confirmedAt = asOf
	}
	if len(b.Records) > 0 {
		d, ok := c.state.Daemon(c.self.ID)
		c.joined = ok && !d.Left && d.Incarnation == c.cfg.Incarnation
		c.handleOwnerChanges(before, time.Now())
		c.publishMembers()
	}
}

func cloneKeys(m map[Key]KeyState) map[Key]KeyState {
	out := make(map[Key]KeyState, len(m))
	for k, s := range m {
		out[k] = s
	}
	return out
}

// handleOwnerChanges updates what this daemon keeps about the keys whose epoch differs
// from before, sets from when it may act for the keys that it now owns, and notifies
// the watchers. The caller holds c.mu.
func (c *Claimer) handleOwnerChanges(before map[Key]KeyState, now time.Time) {
	for _, k := range sortedKeys(c.state.keys) {
		s, old := c.state.keys[k], before[k]
		if s.Epoch == old.Epoch {
			continue
		}
		c.pending.dropSuperseded(k, s.Epoch)
		delete(c.vacantSince, k)
		delete(c.promisesRequestedAt, k)
		if _, mine := c.owned(k); mine {
			actFrom := now
			if !s.NoTakeoverWait {
				actFrom = now.Add(c.cfg.withDrift(c.cfg.TakeoverWait))
			}
			c.readiness[k] = readiness{epoch: s.Epoch, actFrom: actFrom}
		} else {
			delete(c.readiness, k)
		}
		c.cfg.Logger.Info().Str("event", "key_owner_changed").Str("key", string(k)).
			Str("owner", s.Owner).Uint64("epoch", uint64(s.Epoch)).Send()
		c.notifyWatchers(k, s, now)
	}
}

// notifyWatchers queues the owner of a key, and whether this daemon may act for it, for
// the watchers. The caller holds c.mu.
func (c *Claimer) notifyWatchers(k Key, s KeyState, now time.Time) {
	r, ok := c.readiness[k]
	mayAct := ok && !now.Before(r.actFrom)
	if mayAct {
		r.notified = true
		c.readiness[k] = r
	}
	c.watchers.send(OwnerChange{Key: k, Epoch: s.Epoch, Owner: s.Owner, Held: mayAct})
}

// joinLoop appends the join record until state shows it.
func (c *Claimer) joinLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		due := !c.joined && !c.draining && c.state.Ready() && !c.confirmedAt.IsZero()
		c.mu.Unlock()
		if due {
			e, err := upstream.NewEnvelope(kindJoin, Daemon{ID: c.self.ID, Incarnation: c.cfg.Incarnation,
				Address: c.self.Address, Zone: c.self.Zone, Region: c.self.Region})
			if err != nil {
				return err
			}
			if _, err := c.writer.Append(ctx, e); err != nil && ctx.Err() == nil {
				c.cfg.Logger.Warn().Str("event", "join_not_appended").Str("kind", string(errkind.Of(err))).Send()
			}
			c.waitFor(ctx, 5*c.cfg.Tick, func() bool { return c.joined })
		}
		pause.For(ctx, c.cfg.Tick)
	}
	return nil
}

// waitFor waits until cond, which is called with c.mu locked, returns true, but no longer
// than limit.
func (c *Claimer) waitFor(ctx context.Context, limit time.Duration, cond func() bool) {
	for end := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(end); {
		c.mu.Lock()
		ok := cond()
		c.mu.Unlock()
		if ok {
			return
		}
		pause.For(ctx, min(c.cfg.Tick, 10*time.Millisecond))
	}
}

func sortedKeys[V any](m map[Key]V) []Key {
	out := make([]Key, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
