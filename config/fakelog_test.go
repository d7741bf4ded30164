package config

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// fakeLog is an in-memory log. Each daemon uses it through a faultyLog of its own.
type fakeLog struct {
	mu        sync.Mutex
	records   []upstream.Record
	oldest    upstream.Offset
	changed   chan struct{} // closed when records are added or faults change
	openPolls int           // number of long polls in progress
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

// appendRecords adds records and returns the offset of the first one.
func (l *fakeLog) appendRecords(records ...[]byte) upstream.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := upstream.Offset(len(l.records))
	for i, r := range records {
		l.records = append(l.records, upstream.Record{Offset: first + upstream.Offset(i), Data: r})
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return first
}

// trim removes the records below an offset, as retention does.
func (l *fakeLog) trim(oldest upstream.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest = oldest
}

func (l *fakeLog) head() upstream.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return upstream.Offset(len(l.records))
}

// faultyLog is one daemon's access to the log. It injects faults and counts calls. It
// implements upstream.Log.
type faultyLog struct {
	*fakeLog
	faults
	appends, reads, readRecords, readBytes int
}

// faults are the faults to inject. The zero value injects none.
type faults struct {
	down           bool                // every call fails before it is sent
	lostAnswers    int                 // number of appends that take effect although their answer is lost
	droppedAppends int                 // number of appends that are lost on the way, with an unknown outcome
	onDropped      func(record []byte) // gets each dropped record, so that a test can deliver it later
	neverAnswers   bool                // appends take effect, but are not answered before their timeout
	staleHead      upstream.Offset     // reads see the log as it was at this head; zero is off
}

func (c *faultyLog) setFaults(f faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.changed) // open long polls evaluate the new faults
	c.changed = make(chan struct{})
}

var errLogDown = errkind.New(errkind.LogUnavailable, "log_down", "the log is down")

func (c *faultyLog) Append(ctx context.Context, _ string, records [][]byte) (upstream.Offset, error) {
	c.mu.Lock()
	c.appends++
	unknown := errkind.New(errkind.AppendUnknown, "answer_lost", "the answer was lost")
	switch {
	case ctx.Err() != nil || c.down:
		c.mu.Unlock()
		return 0, errLogDown
	case c.droppedAppends > 0:
		c.droppedAppends--
		onDropped := c.onDropped
		c.mu.Unlock()
		if onDropped != nil {
			onDropped(records[0])
		}
		return 0, unknown
	}
	lostAnswer, neverAnswers := c.lostAnswers > 0, c.neverAnswers
	if lostAnswer {
		c.lostAnswers--
	}
	c.mu.Unlock()
	first := c.appendRecords(records...)
	if neverAnswers {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if lostAnswer {
		return 0, unknown
	}
	return first, nil
}

func (c *faultyLog) Read(ctx context.Context, _ string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	for {
		if c.down || ctx.Err() != nil {
			return upstream.Batch{}, errLogDown
		}
		head := upstream.Offset(len(c.records))
		if c.staleHead > 0 {
			head = min(head, c.staleHead)
		}
		if from < c.oldest {
			return upstream.Batch{}, &upstream.TrimmedError{Stream: upstream.StreamConfig, Oldest: c.oldest}
		}
		if from != head || wait == 0 {
			return c.batch(from, head, limit), nil
		}
		changed := c.changed
		c.openPolls++
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-timeout.C:
			wait = 0
		}
		c.mu.Lock()
		c.openPolls--
	}
}

// batch returns up to limit records from offset from on, below head.
func (c *faultyLog) batch(from, head upstream.Offset, limit int) upstream.Batch {
	b := upstream.Batch{Next: from, Head: head, Oldest: c.oldest}
	for o := from; o < head && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, c.records[o])
		b.Next = o + 1
		c.readRecords++
		c.readBytes += len(c.records[o].Data)
	}
	return b
}

// daemon is a store with its publisher and its access to the log.
type daemon struct {
	*Store
	log       *faultyLog
	publisher *Publisher
	stop      func()
}

var rome = mustLocation("Europe/Rome")

func mustLocation(name string) *time.Location {
	loc, err := time.LoadLocation(name)
	if err != nil {
		panic(err)
	}
	return loc
}

// testNow returns noon in Rome of 2026-12-04, the day of the test sheets.
func testNow() time.Time { return time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC) }

// startDaemon returns a running daemon. configure may change its configuration.
func startDaemon(t testing.TB, l *fakeLog, configure func(*StoreConfig, *PublisherConfig)) *daemon {
	t.Helper()
	d := newDaemon(t, l, configure)
	d.run(t)
	return d
}

// newDaemon returns a daemon that is not running.
func newDaemon(t testing.TB, l *fakeLog, configure func(*StoreConfig, *PublisherConfig)) *daemon {
	t.Helper()
	d := &daemon{log: &faultyLog{fakeLog: l}}
	sc := StoreConfig{Log: d.log, Location: rome, Now: testNow, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond, PeerInterval: time.Millisecond}
	pc := PublisherConfig{Log: d.log, Linger: time.Millisecond, AppendRetryDelay: 10 * time.Millisecond}
	if configure != nil {
		configure(&sc, &pc)
	}
	var err error
	if d.Store, err = NewStore(sc); err != nil {
		t.Fatal(err)
	}
	pc.Store = d.Store
	if d.publisher, err = NewPublisher(pc); err != nil {
		t.Fatal(err)
	}
	return d
}

// run runs the store and the publisher until the test ends or stop is called.
func (d *daemon) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.Store.Run(ctx) })
	wg.Go(func() { _ = d.publisher.Run(ctx) })
	d.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	t.Cleanup(d.stop)
}

// eventually polls ok until it is true, and fails the test after at least 30 s, which
// no correct run comes near.
func eventually(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	for range 30_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("timed out waiting until %s", condition)
}

func (d *daemon) awaitReady(t testing.TB) *daemon {
	t.Helper()
	eventually(t, "the store is ready", func() bool { return d.Ready() == nil })
	return d
}

func (d *daemon) awaitVersion(t testing.TB, v Version) {
	t.Helper()
	eventually(t, "the store has the version", func() bool { return d.Current().Version >= v })
}

// submit submits a proposal that must succeed.
func (d *daemon) submit(t testing.TB, p Proposal) Result {
	t.Helper()
	res, err := d.publisher.Submit(context.Background(), p)
	if err != nil {
		t.Fatalf("submit %s: %v", p.ID, err)
	}
	return res
}

// teamOp returns an op that sets a team with a quota of some cores.
func teamOp(name string, cores int64) Op {
	return Op{Team: &Team{Name: name, Home: "lombardy", Quota: machine.Resources{CPUMilli: cores * 1000, MemoryMiB: 1024}}}
}

// newProposal returns a proposal of operator anna. For mode Sheet the content is the
// result of ops on an empty content.
func newProposal(id string, base Version, mode Mode, ops ...Op) Proposal {
	p := Proposal{ID: id, Base: base, Mode: mode, Ops: ops, By: "anna", Summary: "change " + id}
	if mode == Sheet {
		c := Content{}.clone()
		applyOps(c, ops, "2026-12-04", 0, nil)
		p.Ops, p.Content = nil, &c
	}
	return p
}

func newIntention(kind workload.Kind, name, at string, grace time.Duration) Intention {
	return Intention{Name: name, Day: "2026-12-04", StartTime: at, Grace: grace, Job: workload.Job{
		Team: "a", Kind: kind, Count: 2, Resources: machine.Resources{CPUMilli: 500, MemoryMiB: 256},
	}}
}

func putIntention(it Intention) Op { return Op{Intention: &it} }
