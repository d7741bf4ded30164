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
// against an unbounded queue.
func TestOverloadIsRefusedFairly(t *testing.T) {
	c, d1, _ := oneGroup(t, 1, standin.ExecutorConfig{Slots: 4, ServiceTime: 20 * time.Millisecond}, nil)
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
		if _, err := do(d1, Valuation, "", "a", 9*time.Second); err != nil {
			t.Errorf("call of the modest customer: %v", err)
		}
		if q := d1.svc.Stats().Groups[0].Queued; q > 4*8 {
			t.Errorf("%d calls queued for 4 slots", q)
		}
	}
	stop()
	flood.Wait()
	c.withinLimits(4)
}

// Guards against calls that wait although their deadline cannot be met, and
// against "not run" for calls that run later.
func TestDeadlines(t *testing.T) {
	c, d1, _ := oneGroup(t, 1, standin.ExecutorConfig{Slots: 1, ServiceTime: 50 * time.Millisecond}, nil)
	var wg sync.WaitGroup
	var refused, unknown, early atomic.Int64
	notRun := make(chan string, 60)
	for range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := ulid.Make().String()
			_, err := do(d1, Valuation, id, "x", 120*time.Millisecond)
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
	runs := c.runs()
	for id := range notRun {
		if runs[id] != 0 {
			t.Errorf("%s was called not run but ran", id)
		}
	}
	if refused.Load() < 50 || early.Load() < 40 {
		t.Errorf("%d refused, %d of them at once, %d unknown, of 60 calls for 3 places", refused.Load(), early.Load(), unknown.Load())
	}
}

// Guards against a drain that cuts off open calls or admits new ones.
func TestDrainFinishesOpenCalls(t *testing.T) {
	_, d1, d2 := oneGroup(t, 1, standin.ExecutorConfig{Slots: 4, ServiceTime: 200 * time.Millisecond}, nil)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := do([]*daemon{d1, d2}[i%2], Valuation, "", "x", 9*time.Second); err != nil {
				t.Errorf("open call: %v", err)
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
	if _, err := do(d1, Valuation, "", "x", time.Second); errkind.Of(err) != errkind.Draining {
		t.Errorf("new call: %v", err)
	}
	if _, err := do(d1, Quote, ulid.Make().String(), "x", time.Second); errkind.ResponseOf(err).Outcome != errkind.Unknown {
		t.Errorf("new call with an id that may have run before: %v", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if open := d1.svc.Stats().Open; open != 0 {
		t.Errorf("drained with %d open calls", open)
	}
	wg.Wait()
}

// Guards against cancellations whose cost grows with the queue, and against
// cancelled calls that stay in the queue or run.
func TestWaveOfCancellations(t *testing.T) {
	c, d1, _ := oneGroup(t, 1, standin.ExecutorConfig{Slots: 1}, func(cfg *Config) { cfg.QueuePerSlot = 20000 })
	c.faults(standin.ExecutorFaults{Hang: true})
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
		t.Errorf("%d still queued, %d not cancelled", q, other.Load())
	}
	c.faults(standin.ExecutorFaults{})
	if _, err := do(d1, Valuation, "", "x", 9*time.Second); err != nil {
		t.Errorf("call after the wave: %v", err)
	}
	if n := len(c.execs["x0"].Records().Runs); n != 2 {
		t.Errorf("%d runs, want the one that hung and the last one", n)
	}
}

// Guards against retries that multiply the load when everything fails.
func TestRetryBudgetHolds(t *testing.T) {
	c, d1, _ := oneGroup(t, 1, standin.ExecutorConfig{Slots: 8}, nil)
	c.faults(standin.ExecutorFaults{Truncate: true})
	const calls = 300
	for range calls {
		_, _ = do(d1, Valuation, "", "x", time.Second)
	}
	if n := len(c.execs["x0"].Records().Runs); n > calls+calls/10+20 {
		t.Errorf("%d runs for %d calls", n, calls)
	}
}

// Guards against limits of customers that do not hold or hit other customers.
func TestLimitsOfCustomers(t *testing.T) {
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
		t.Errorf("%d valuations and %d quotes admitted, want half of each limit at one of two entries", v, q)
	}
	if _, err := a.enter(config.Customer{Name: "b"}, Quote, 2); err != nil {
		t.Errorf("customer without limits: %v", err)
	}
}

// Guards against ids that run again after they were forgotten, also when the
// clock goes back, and against late copies of a refused call.
func TestRecorderForgetsSafely(t *testing.T) {
	c := newCell(t)
	c.executor("w1", "a", standin.ExecutorConfig{})
	d := c.daemon("d1", "w1", nil)
	c.ownIDs("west", "d1")
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
		t.Error("a refused id was run at once, so a late copy would run too")
	}
	if _, again, _ := rec.admit(key, r, time.Now().Add(time.Minute)); !again {
		t.Error("a refused id cannot be tried again later")
	}
	rec.evict(now.Add(11 * time.Minute))
	if _, again, rep := rec.admit(key, r, now); again || errkind.Of(rep.err) != errkind.OutcomeUnknown {
		t.Errorf("a forgotten id: run %v, %v", again, rep.err)
	}
}
