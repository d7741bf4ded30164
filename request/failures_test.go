package request

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
)

func do(d *daemon, class Class, id, body string, budget time.Duration) (Answer, error) {
	return d.svc.Do(context.Background(), Call{Customer: "acme", Class: class, ID: id, Body: []byte(body),
		Deadline: time.Now().Add(budget)})
}

// oneGroup is a cell of two daemons; d1 owns the only group, d2 the recorders.
func oneGroup(t testing.TB, n int, x standin.ExecutorConfig, change func(*Config)) (*cell, *daemon, *daemon) {
	c := newCell(t)
	for i := range n {
		x.Seed = uint64(i)
		c.executor("w1", "a", x)
	}
	d1, d2 := c.daemon("d1", "w1", change), c.daemon("d2", "w1", change)
	c.own("d1", contract.ExecKey("w1", "a"))
	c.ownIDs("west", "d2")
	c.ready(n*max(x.Slots, 1), d1, d2)
	return c, d1, d2
}

func (c *cell) faults(f standin.ExecutorFaults) {
	for _, x := range c.execs {
		x.SetFaults(f)
	}
}

// Guards against crossed, truncated and late answers that reach a caller, and
// against a second run of a quote after any of them.
func TestBadAnswersAreNeverDelivered(t *testing.T) {
	for name, f := range map[string]standin.ExecutorFaults{
		"crossed": {CrossID: true}, "truncated": {Truncate: true}, "late": {AnswerDelayMS: 700},
	} {
		t.Run(name, func(t *testing.T) {
			c, d1, d2 := oneGroup(t, 2, standin.ExecutorConfig{Slots: 8}, nil)
			c.faults(f)
			id := ulid.Make().String()
			for _, d := range []*daemon{d1, d2, d1} {
				if a, err := do(d, Quote, id, "price", 300*time.Millisecond); errkind.Of(err) != errkind.OutcomeUnknown {
					t.Fatalf("answer %q, error %v, want outcome_unknown", a.Body, err)
				}
			}
			if n := c.runs()[id]; n != 1 {
				t.Fatalf("quote ran %d times", n)
			}
		})
	}
}

// Guards against doubled quotes: repeats of one id through several daemons at
// once must share one run and one answer, and other content must be refused.
func TestRepeatsThroughOtherDaemonsRunOnce(t *testing.T) {
	c, d1, d2 := oneGroup(t, 2, standin.ExecutorConfig{Slots: 8, ServiceTime: 20 * time.Millisecond}, nil)
	id := ulid.Make().String()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := do([]*daemon{d1, d2}[i%2], Nudge, id, "pay", 5*time.Second)
			if err != nil || string(a.Body) != "pay" {
				t.Errorf("repeat %d: %q, %v", i, a.Body, err)
			}
		}()
	}
	wg.Wait()
	if n := c.runs()[id]; n != 1 {
		t.Errorf("nudge ran %d times", n)
	}
	if _, err := do(d1, Nudge, id, "other", time.Second); errkind.Of(err) != errkind.Conflict {
		t.Errorf("other content under the same id: %v", err)
	}
}

// Guards against a second run by the successor of a recorder: ids of the earlier
// range must be unknown, never run and never called "not run".
func TestSuccessorOfRecorderNeverRunsEarlierIDs(t *testing.T) {
	c, d1, d2 := oneGroup(t, 2, standin.ExecutorConfig{Slots: 8}, nil)
	ran, never := ulid.Make().String(), ulid.Make().String()
	if _, err := do(d1, Quote, ran, "x", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	c.setMember("d2", link.Dead)
	d2.stop()
	<-d2.done
	c.ownIDs("west", "d1")
	eventually(t, "d1 knows that d2 is dead", func() bool { return d1.svc.loads.isDown("d2") })
	for _, id := range []string{ran, never} {
		if _, err := do(d1, Quote, id, "x", 2*time.Second); errkind.Of(err) != errkind.OutcomeUnknown {
			t.Errorf("id of the earlier recorder: %v", err)
		}
	}
	a, err := do(d1, Quote, "", "y", 5*time.Second)
	if err != nil || string(a.Body) != "y" {
		t.Errorf("an id minted after the takeover: %q, %v", a.Body, err)
	}
	if runs := c.runs(); runs[ran] != 1 || runs[never] != 0 {
		t.Errorf("runs %d and %d, want 1 and 0", runs[ran], runs[never])
	}
}

// Guards against exceeded slots when a new owner does not know the runs of the
// earlier one, and against planned stops that cut requests off.
func TestTakeoverKeepsSlots(t *testing.T) {
	c, d1, d2 := oneGroup(t, 1, standin.ExecutorConfig{Slots: 4, ServiceTime: 150 * time.Millisecond}, nil)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if i >= 8 {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			}
			if i == 12 {
				c.own("d2", contract.ExecKey("w1", "a"))
			}
			if a, err := do([]*daemon{d1, d2}[i%2], Valuation, "", fmt.Sprint(i), 9*time.Second); err != nil || string(a.Body) != fmt.Sprint(i) {
				t.Errorf("call %d: %q, %v", i, a.Body, err)
			}
		}()
	}
	wg.Wait()
	c.withinLimits(4)
	for _, x := range c.execs {
		// A new owner that ignored the runs of the earlier one would be refused as busy.
		if r := x.Records(); r.RefusedBusy > 1 {
			t.Errorf("%d runs were sent to a full executor", r.RefusedBusy)
		}
	}
}

// Guards against work sent by an owner whose tenure has passed.
func TestNoRunWithoutTenure(t *testing.T) {
	c, d1, _ := oneGroup(t, 1, standin.ExecutorConfig{Slots: 4}, nil)
	c.mu.Lock()
	c.paused["d1"] = true
	c.mu.Unlock()
	_, err := do(d1, Valuation, "", "x", time.Second)
	if errkind.AnswerOf(err).Outcome != errkind.NotRun || len(c.runs()) != 0 {
		t.Errorf("error %v, %d runs", err, len(c.runs()))
	}
}

// Guards against calls that wait forever on connections that went silent while
// new ones work, to an executor and to a daemon.
func TestSilentLinksAreSettled(t *testing.T) {
	c, d1, d2 := oneGroup(t, 1, standin.ExecutorConfig{Slots: 4}, nil)
	if _, err := do(d1, Valuation, "", "warm", time.Second); err != nil {
		t.Fatal(err)
	}
	c.faults(standin.ExecutorFaults{Silent: true})
	c.faults(standin.ExecutorFaults{})
	if a, err := do(d1, Valuation, "", "x", 9*time.Second); err != nil || string(a.Body) != "x" {
		t.Errorf("repeatable call over a silent executor connection: %q, %v", a.Body, err)
	}
	if a, err := do(d2, Valuation, "", "y", 9*time.Second); err != nil || string(a.Body) != "y" {
		t.Fatalf("call through d2: %q, %v", a.Body, err)
	}
	quiet := make(chan struct{})
	d2.silence.Store(&quiet)
	if _, err := do(d2, Valuation, "", "z", 9*time.Second); errkind.Of(err) != errkind.OutcomeUnknown ||
		errkind.ReasonOf(err) != "silent_link" {
		t.Errorf("call over a silent link between daemons: %v", err)
	}
	d2.silence.Store(nil)
	if _, err := do(d2, Valuation, "", "z", 9*time.Second); err != nil {
		t.Errorf("call after the link works again: %v", err)
	}
}

// Guards against new work on leaving executors, and against runs cut off there.
func TestLeavingExecutorIsUnused(t *testing.T) {
	c, d1, _ := oneGroup(t, 2, standin.ExecutorConfig{Slots: 4}, nil)
	c.setHost("x0", upstream.Leaving)
	eventually(t, "x0 is leaving", func() bool { return d1.svc.Stats().Groups[0].Executors[0].Leaving })
	for range 50 {
		if _, err := do(d1, Valuation, "", "x", 5*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(c.execs["x0"].Records().Runs); n != 0 {
		t.Errorf("%d runs on the leaving executor", n)
	}
}

// Guards against ejection of most of a group, against an executor that attracts
// load by failing fast, and against ejections that never end.
func TestEjectionIsBoundedAndEnds(t *testing.T) {
	c, d1, _ := oneGroup(t, 6, standin.ExecutorConfig{Slots: 2, ServiceTime: 2 * time.Millisecond}, nil)
	c.execs["x0"].SetFaults(standin.ExecutorFaults{FailFastShare: 1})
	out := func() (n int) {
		for _, x := range d1.svc.Stats().Groups[0].Executors {
			if x.Health != "healthy" {
				n++
			}
		}
		return n
	}
	failed, ejected := 0, false
	for range 100 {
		ejected = ejected || out() == 1
		if _, err := do(d1, Valuation, "", "x", 5*time.Second); errkind.Of(err) == errkind.UpstreamFailed {
			failed++
		}
	}
	if failed == 0 || failed > 15 || !ejected {
		t.Errorf("%d of 100 calls failed on 1 of 6 executors, ejected: %v", failed, ejected)
	}
	c.faults(standin.ExecutorFaults{FailFastShare: 1})
	for range 100 {
		_, _ = do(d1, Valuation, "", "x", 5*time.Second)
		if n := out(); n > 2 {
			t.Fatalf("%d of 6 executors ejected", n)
		}
	}
	c.faults(standin.ExecutorFaults{})
	eventually(t, "all executors are healthy again", func() bool {
		_, _ = do(d1, Valuation, "", "x", 5*time.Second)
		return out() == 0
	})
	c.execs["x1"].SetFaults(standin.ExecutorFaults{SlowFactor: 20})
	eventually(t, "the slow executor is ejected", func() bool {
		for range 6 {
			go func() { _, _ = do(d1, Valuation, "", "x", 5*time.Second) }()
		}
		return d1.svc.Stats().Groups[0].Executors[1].Health == "ejected"
	})
}

// Guards against an executor that takes most of the calls by failing fast, in a
// group that is too small for ejection.
func TestFailingFastAttractsNoLoad(t *testing.T) {
	c, d1, _ := oneGroup(t, 2, standin.ExecutorConfig{Slots: 2, ServiceTime: 20 * time.Millisecond}, nil)
	c.execs["x0"].SetFaults(standin.ExecutorFaults{FailFastShare: 1})
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 25 {
				_, _ = do(d1, Valuation, "", "x", 9*time.Second)
			}
		}()
	}
	wg.Wait()
	bad, good := len(c.execs["x0"].Records().Runs), len(c.execs["x1"].Records().Runs)
	if bad > 2*good {
		t.Errorf("%d runs on the failing executor, %d on the other", bad, good)
	}
}

// Guards against "not run" for a request whose first attempt may have run and
// whose retry was refused.
func TestRefusedRetryDoesNotHideAnEarlierRun(t *testing.T) {
	c, d1, _ := oneGroup(t, 1, standin.ExecutorConfig{Slots: 2}, func(cfg *Config) {
		cfg.RetryBase, cfg.MaxAttempts = 300*time.Millisecond, 2
	})
	c.faults(standin.ExecutorFaults{Truncate: true})
	result := make(chan error, 1)
	go func() {
		_, err := do(d1, Valuation, "", "x", 5*time.Second)
		result <- err
	}()
	eventually(t, "the first attempt has run", func() bool { return len(c.execs["x0"].Records().Runs) == 1 })
	c.mu.Lock()
	c.paused["d1"] = true
	c.mu.Unlock()
	if err := <-result; errkind.Of(err) != errkind.OutcomeUnknown {
		t.Errorf("error %v, want outcome_unknown", err)
	}
}
