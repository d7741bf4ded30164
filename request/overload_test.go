package request

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
)

// Guards against a customer that floods the queue and starves another one, and
// against a queue that exceeds its limit.
func TestOverloadIsRefusedFairly(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 4, ServiceTime: 20 * time.Millisecond}, nil)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var flood sync.WaitGroup
	var refused atomic.Int64
	for range 100 {
		flood.Add(1)
		go func() {
			defer flood.Done()
			for ctx.Err() == nil {
				_, err := d1.svc.Do(ctx, Call{Customer: "beta", Class: Valuation, Body: []byte("b")})
				if errkind.Of(err) == errkind.Overloaded {
					refused.Add(1)
					time.Sleep(time.Millisecond)
				}
			}
		}()
	}
	eventually(t, "the queue refuses the flood", func() bool { return refused.Load() > 50 })
	for range 30 {
		if _, err := doCall(d1, Valuation, "", "a", 9*time.Second); err != nil {
			t.Errorf("call of the other customer: %v, want an answer", err)
		}
		if q := d1.svc.Stats().Groups[0].Queued; q > 4*8 {
			t.Errorf("%d calls queued for 4 slots, want at most 8 per slot", q)
		}
	}
	stop()
	flood.Wait()
	c.checkExecutorLimits(4)
}

// Guards against calls that wait although their deadline cannot be met, and against
// calls that are reported as "not run" and run later.
func TestUnmeetableDeadlinesAreRefused(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 1, ServiceTime: 50 * time.Millisecond}, nil)
	var wg sync.WaitGroup
	var refused, unknown, early atomic.Int64
	notRun := make(chan string, 60)
	for range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := ulid.Make().String()
			_, err := doCall(d1, Valuation, id, "x", 120*time.Millisecond)
			if errkind.ReasonOf(err) == "wait_exceeds_deadline" {
				early.Add(1)
			}
			switch errkind.ResponseOf(err).Outcome {
			case errkind.NotRun:
				refused.Add(1)
				notRun <- id
			case errkind.Unknown:
				unknown.Add(1)
			}
		}()
	}
	wg.Wait()
	close(notRun)
	if err := d1.svc.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	runs := c.runCounts()
	for id := range notRun {
		if runs[id] != 0 {
			t.Errorf("%s was reported as not run but ran", id)
		}
	}
	if refused.Load() < 50 || early.Load() < 40 {
		t.Errorf("%d refused, %d of them before queueing, %d with unknown outcome; want at least 50 and 40: of 60 calls about 3 can run in time",
			refused.Load(), early.Load(), unknown.Load())
	}
}

// Guards against a drain that ends open calls early or admits new ones, and against
// "not run" from a draining daemon for an id that may have run elsewhere.
func TestDrainFinishesOpenCalls(t *testing.T) {
	_, d1, d2 := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 4, ServiceTime: 200 * time.Millisecond}, nil)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := doCall([]*testDaemon{d1, d2}[i%2], Valuation, "", "x", 9*time.Second); err != nil {
				t.Errorf("open call: %v, want an answer", err)
			}
		}()
	}
	eventually(t, "the calls have arrived", func() bool {
		g := d1.svc.Stats().Groups[0]
		return g.Queued+g.Executors[0].InFlight == 8
	})
	drained := make(chan error, 1)
	go func() { drained <- d1.svc.Drain(context.Background()) }()
	eventually(t, "d1 is draining", func() bool { return d1.svc.Stats().Draining })
	if _, err := doCall(d1, Valuation, "", "x", time.Second); errkind.Of(err) != errkind.Draining {
		t.Errorf("new call: %v, want kind draining", err)
	}
	if _, err := doCall(d1, Quote, ulid.Make().String(), "x", time.Second); errkind.ResponseOf(err).Outcome != errkind.Unknown {
		t.Errorf("new call with an id that may have run before: %v, want an unknown outcome", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if open := d1.svc.Stats().Open; open != 0 {
		t.Errorf("drained with %d open calls, want none", open)
	}
	wg.Wait()
}

// Guards against cancellations whose cost grows with the length of the queue, and
// against cancelled calls that stay in the queue or run.
func TestMassCancellation(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 1}, func(cfg *Config) { cfg.QueuePerSlot = 20000 })
	c.setFaults(standin.ExecutorFaults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var other atomic.Int64
	const calls = 10_000
	for range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := d1.svc.Do(ctx, Call{Customer: "acme", Class: Valuation, Deadline: time.Now().Add(4 * time.Minute)})
			if errkind.Of(err) != errkind.Cancelled {
				other.Add(1)
			}
		}()
	}
	eventually(t, "all calls wait", func() bool { return d1.svc.Stats().Groups[0].Queued == calls-1 })
	cancel()
	wg.Wait()
	if q := d1.svc.Stats().Groups[0].Queued; q != 0 || other.Load() != 0 {
		t.Errorf("%d still queued, %d not cancelled, want none", q, other.Load())
	}
	c.setFaults(standin.ExecutorFaults{})
	if _, err := doCall(d1, Valuation, "", "x", 9*time.Second); err != nil {
		t.Errorf("call after the cancellations: %v, want an answer", err)
	}
	if n := len(c.executors["x0"].Records().Runs); n != 2 {
		t.Errorf("%d runs, want 2: the one that hung and the last one", n)
	}
}

// Guards against retries that multiply the load when all calls fail.
func TestRetryBudgetBoundsRuns(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 8}, nil)
	c.setFaults(standin.ExecutorFaults{Truncate: true})
	const calls = 300
	for range calls {
		_, _ = doCall(d1, Valuation, "", "x", time.Second)
	}
	if n := len(c.executors["x0"].Records().Runs); n > calls+calls/10+20 {
		t.Errorf("%d runs for %d calls, want at most a tenth and 20 more than calls", n, calls)
	}
}

// Guards against limits of a customer that are exceeded or apply to another customer.
func TestCustomerLimits(t *testing.T) {
	a := newAdmission(10)
	c := config.Customer{Name: "a", Limits: map[string]config.Limit{"*": {PerSecond: 0.001, Burst: 4}, "quote": {Concurrent: 2}}}
	admitted := func(class Class) (n int) {
		for range 4 {
			if _, err := a.enter(c, class, 2); err == nil {
				n++
			}
		}
		return n
	}
	if v, q := admitted(Valuation), admitted(Quote); v != 2 || q != 1 {
		t.Errorf("%d valuations and %d quotes admitted, want 2 and 1: half of each limit at one of two entries", v, q)
	}
	if _, err := a.enter(config.Customer{Name: "b"}, Quote, 2); err != nil {
		t.Errorf("customer without limits: %v, want it admitted", err)
	}
}

// Guards against ids that run again after the recorder has forgotten them, even if the
// clock goes back, and against the run of a late copy of a refused call.
func TestForgottenIDsAreNeverRunAgain(t *testing.T) {
	c := newTestCell(t)
	c.startExecutor("w1", "a", standin.ExecutorConfig{})
	d := c.startDaemon("d1", "w1", nil)
	c.setIDShardOwners("west", "d1")
	now := time.Now()
	id := ulid.MustNew(uint64(now.UnixMilli()), ulid.DefaultEntropy())
	key := contract.IDsKey("west", Shard(id, 4))
	r := &request{id: id, customer: "acme", class: Quote, deadline: now.Add(time.Second)}
	rec := d.svc.recorder
	first, run, _ := rec.admit(key, r, now)
	if !run {
		t.Fatal("a new id was not admitted")
	}
	rec.finish(first, failed(errkind.New(errkind.Overloaded, "queue_full", "")))
	if _, again, _ := rec.admit(key, r, time.Now()); again {
		t.Error("a refused id was admitted immediately, so that a late copy would run too")
	}
	if _, again, _ := rec.admit(key, r, time.Now().Add(time.Minute)); !again {
		t.Error("a refused id was not admitted a minute later")
	}
	rec.evict(now.Add(11 * time.Minute))
	if _, again, rep := rec.admit(key, r, now); again || errkind.Of(rep.err) != errkind.OutcomeUnknown {
		t.Errorf("forgotten id: admitted %v, %v, want an unknown outcome", again, rep.err)
	}
}
