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

// fakeLog is a log in memory. Daemons use it through clients with faults of their own.
type fakeLog struct {
	mu      sync.Mutex
	records []upstream.Record
	oldest  upstream.Offset
	grown   chan struct{}
	waiting int // long polls in progress
}

func newFakeLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

func (l *fakeLog) add(records ...[]byte) upstream.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := upstream.Offset(len(l.records))
	for i, r := range records {
		l.records = append(l.records, upstream.Record{Offset: first + upstream.Offset(i), Data: r})
	}
	close(l.grown)
	l.grown = make(chan struct{})
	return first
}

func (l *fakeLog) trim(to upstream.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest = to
}

func (l *fakeLog) head() upstream.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return upstream.Offset(len(l.records))
}

// client is one daemon's access to the log.
type client struct {
	*fakeLog
	faults
	appends, reads, readRecords, readBytes int
}

type faults struct {
	down       bool                // every call is refused before it is sent
	loseAnswer int                 // this many appends take effect but their answer is lost
	dropAppend int                 // this many appends are lost on the way, with an unknown outcome
	late       func(record []byte) // takes a dropped append, to deliver it later
	slow       bool                // appends take effect, but their answer never comes
	staleHead  upstream.Offset     // reads see the log as it was at this head; zero is off
}

func (c *client) set(f faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.grown) // long polls look at the faults again
	c.grown = make(chan struct{})
}

var errDown = errkind.New(errkind.LogUnavailable, "log_down", "the log is down")

func (c *client) Append(ctx context.Context, _ string, records [][]byte) (upstream.Offset, error) {
	c.mu.Lock()
	c.appends++
	unknown := errkind.New(errkind.AppendUnknown, "answer_lost", "the answer was lost")
	switch {
	case ctx.Err() != nil || c.down:
		c.mu.Unlock()
		return 0, errDown
	case c.dropAppend > 0:
		c.dropAppend--
		late := c.late
		c.mu.Unlock()
		if late != nil {
			late(records[0])
		}
		return 0, unknown
	}
	lost, slow := c.loseAnswer > 0, c.slow
	if lost {
		c.loseAnswer--
	}
	c.mu.Unlock()
	first := c.add(records...)
	if slow {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	if lost {
		return 0, unknown
	}
	return first, nil
}

func (c *client) Read(ctx context.Context, _ string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	for {
		if c.down || ctx.Err() != nil {
			return upstream.Batch{}, errDown
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
		grown := c.grown
		c.waiting++
		c.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
		case <-timeout.C:
			wait = 0
		}
		c.mu.Lock()
		c.waiting--
	}
}

func (c *client) batch(from, head upstream.Offset, limit int) upstream.Batch {
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
	log  *client
	pub  *Publisher
	stop func()
}

var rome = mustLocation("Europe/Rome")

func mustLocation(name string) *time.Location {
	loc, err := time.LoadLocation(name)
	if err != nil {
		panic(err)
	}
	return loc
}

// testNow is noon of the sheets' day.
func testNow() time.Time { return time.Date(2026, 12, 4, 11, 0, 0, 0, time.UTC) }

func startDaemon(t testing.TB, l *fakeLog, change func(*StoreConfig, *PublisherConfig)) *daemon {
	t.Helper()
	d := newDaemon(t, l, change)
	d.run(t)
	return d
}

func newDaemon(t testing.TB, l *fakeLog, change func(*StoreConfig, *PublisherConfig)) *daemon {
	t.Helper()
	d := &daemon{log: &client{fakeLog: l}}
	sc := StoreConfig{Log: d.log, Location: rome, Now: testNow, RetryMin: time.Millisecond, RetryMax: 5 * time.Millisecond, PeerInterval: time.Millisecond}
	pc := PublisherConfig{Log: d.log, Linger: time.Millisecond, AppendRetryDelay: 10 * time.Millisecond}
	if change != nil {
		change(&sc, &pc)
	}
	var err error
	if d.Store, err = NewStore(sc); err != nil {
		t.Fatal(err)
	}
	pc.Store = d.Store
	if d.pub, err = NewPublisher(pc); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *daemon) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.Store.Run(ctx) })
	wg.Go(func() { _ = d.pub.Run(ctx) })
	d.stop = sync.OnceFunc(func() { cancel(); wg.Wait() })
	t.Cleanup(d.stop)
}

// eventually polls with a limit that no correct run comes near.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 30_000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("never happened: %s", what)
}

func (d *daemon) awaitReady(t testing.TB) *daemon {
	t.Helper()
	eventually(t, "store is ready", func() bool { return d.Ready() == nil })
	return d
}

func (d *daemon) awaitVersion(t testing.TB, v Version) {
	t.Helper()
	eventually(t, "store has the version", func() bool { return d.Current().Version >= v })
}

func (d *daemon) submit(t testing.TB, p Proposal) Result {
	t.Helper()
	res, err := d.pub.Submit(context.Background(), p)
	if err != nil {
		t.Fatalf("submit %s: %v", p.ID, err)
	}
	return res
}

func teamOp(name string, cores int64) Op {
	return Op{Team: &Team{Name: name, Home: "lombardy", Quota: machine.Resources{CPUMilli: cores * 1000, MemoryMiB: 1024}}}
}

func proposal(id string, base Version, mode Mode, ops ...Op) Proposal {
	p := Proposal{ID: id, Base: base, Mode: mode, Ops: ops, By: "anna", Summary: "change " + id}
	if mode == Sheet {
		c := Content{}.clone()
		applyOps(c, ops, "2026-12-04", 0, nil)
		p.Ops, p.Content = nil, &c
	}
	return p
}

func intention(kind workload.Kind, name, at string, grace time.Duration) Intention {
	return Intention{Name: name, Day: "2026-12-04", StartTime: at, Grace: grace, Job: workload.Job{
		Team: "a", Kind: kind, Count: 2, Resources: machine.Resources{CPUMilli: 500, MemoryMiB: 256},
	}}
}

func putIntention(it Intention) Op { return Op{Intention: &it} }
