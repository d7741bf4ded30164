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

// readLimit is the number of records per read of the control stream.
const readLimit = 1000

// Claimer claims keys for this daemon, confirms its tenure, and hands keys over.
type Claimer struct {
	cfg    Config
	self   link.Member
	writer *upstream.Writer

	mu        sync.Mutex
	book      *Book
	rebuild   *Book     // read from a snapshot while book is behind the retention limit
	confirmed time.Time // start of the last read that reached the head; zero if none
	started   time.Time // of Run
	joined    bool      // the book shows the join of this incarnation
	draining  bool

	keys     []Key // of this region, sorted
	gone     map[string]bool
	leaving  map[string]bool
	hosts    map[string]link.Member
	hostsOK  bool
	promises map[Key]time.Time // this daemon appends no claim before that time
	promised map[Key]time.Time // start of the last round in which all members promised

	vacant map[Key]time.Time // since when a key could be claimed
	// isolatedAt is when this daemon last heard no majority of its region.
	isolatedAt time.Time
	readyAt    map[Key]readiness
	stopped    map[Key]Epoch // released, or about to be: no command is sent
	doubts     doubts
	cut        func(Key) int64
	// onRelease is called with the id shards of releases before they are appended.
	onRelease func(context.Context, []Release)
	watch     watchers

	balancedAt time.Time
	snapshotAt time.Time
}

// readiness is when this daemon may act for a key at an epoch.
type readiness struct {
	epoch Epoch
	at    time.Time
	told  bool // the watchers know
}

var _ Ownership = (*Claimer)(nil)

// NewClaimer returns a Claimer, or an error if the waits are not safe.
func NewClaimer(cfg Config) (*Claimer, error) {
	cfg = cfg.withDefaults()
	if cfg.TakeoverWait <= cfg.drifted(cfg.Tenure) {
		return nil, errors.Errorf("takeover wait %v is not greater than tenure %v with drift", cfg.TakeoverWait, cfg.Tenure)
	}
	c := &Claimer{
		cfg: cfg, self: cfg.Members.Self(), book: NewBook(0),
		writer: upstream.NewWriter(upstream.WriterConfig{Log: cfg.Log, Stream: upstream.StreamControl,
			Linger: cfg.Linger, ResolveTimeout: cfg.SettleTimeout, Logger: cfg.Logger}),
		gone: make(map[string]bool), leaving: make(map[string]bool), hosts: make(map[string]link.Member),
		promises: make(map[Key]time.Time), promised: make(map[Key]time.Time),
		vacant: make(map[Key]time.Time), readyAt: make(map[Key]readiness), stopped: make(map[Key]Epoch),
		cut: func(Key) int64 { return 0 }, onRelease: func(context.Context, []Release) {},
	}
	c.doubts.init()
	return c, nil
}

// Run reads the log, joins, claims and confirms until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	c.mu.Lock()
	c.started = time.Now()
	c.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	for _, part := range []func(context.Context) error{
		c.writer.Run, c.readLoop, c.hostsLoop, c.joinLoop, c.claimLoop, c.promiseLoop, c.balanceLoop, c.snapshotLoop,
	} {
		g.Go(func() error { return part(ctx) })
	}
	return g.Wait()
}

// readLoop folds the control stream and confirms tenure with every read that
// reaches the head.
func (c *Claimer) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		book := c.book
		if c.rebuild != nil {
			book = c.rebuild
		}
		from := book.Next()
		c.mu.Unlock()
		start := time.Now()
		b, age, err := c.read(ctx, from)
		var trimmed *upstream.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			c.mu.Lock()
			c.rebuild = NewBook(trimmed.Oldest)
			c.mu.Unlock()
			c.cfg.Logger.Info().Str("event", "control_stream_trimmed").Uint64("oldest", uint64(trimmed.Oldest)).Send()
		case err != nil:
			pause.For(ctx, c.cfg.PollWait/4)
		default:
			c.applyBatch(book, b, start.Add(-age))
		}
	}
	return nil
}

func (c *Claimer) read(ctx context.Context, from upstream.Offset) (upstream.Batch, time.Duration, error) {
	if aged, ok := c.cfg.Log.(upstream.AgeReader); ok {
		return aged.ReadWithAge(ctx, upstream.StreamControl, from, readLimit, c.cfg.PollWait)
	}
	b, err := c.cfg.Log.Read(ctx, upstream.StreamControl, from, readLimit, c.cfg.PollWait)
	return b, 0, err
}

func (c *Claimer) applyBatch(book *Book, b upstream.Batch, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.book.keys
	if len(b.Records) > 0 && book == c.book {
		before = cloneKeys(before)
	}
	for _, r := range b.Records {
		book.Apply(r)
		c.doubts.settle(book.lastID)
	}
	if book == c.rebuild && book.Ready() {
		c.book, c.rebuild = book, nil
	}
	if book != c.book {
		return
	}
	if b.Next == b.Head && asOf.After(c.confirmed) {
		c.confirmed = asOf
	}
	if len(b.Records) > 0 {
		d, ok := c.book.Daemon(c.self.ID)
		c.joined = ok && !d.Left && d.Incarnation == c.cfg.Incarnation
		c.noteChanges(before, time.Now())
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

// noteChanges records when this daemon may act for keys that it won, and tells
// the watchers.
func (c *Claimer) noteChanges(before map[Key]KeyState, now time.Time) {
	for _, k := range sortedKeys(c.book.keys) {
		s, old := c.book.keys[k], before[k]
		if s.Epoch == old.Epoch {
			continue
		}
		c.doubts.dropOlder(k, s.Epoch)
		delete(c.vacant, k)
		delete(c.promised, k)
		if _, mine := c.owned(k); mine {
			at := now
			if !s.NoWait {
				at = now.Add(c.cfg.drifted(c.cfg.TakeoverWait))
			}
			c.readyAt[k] = readiness{epoch: s.Epoch, at: at}
		} else {
			delete(c.readyAt, k)
		}
		c.cfg.Logger.Info().Str("event", "key_owner_changed").Str("key", string(k)).
			Str("owner", s.Owner).Uint64("epoch", uint64(s.Epoch)).Send()
		c.tell(k, s, now)
	}
}

// tell queues the change of a key for the watchers.
func (c *Claimer) tell(k Key, s KeyState, now time.Time) {
	r, ok := c.readyAt[k]
	mine := ok && !now.Before(r.at)
	if mine {
		r.told = true
		c.readyAt[k] = r
	}
	c.watch.send(Change{Key: k, Epoch: s.Epoch, Owner: s.Owner, Mine: mine})
}

// joinLoop appends the join record until the book shows it.
func (c *Claimer) joinLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		due := !c.joined && !c.draining && c.book.Ready() && !c.confirmed.IsZero()
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

// waitFor waits until cond holds under the mutex, but no longer than limit.
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
