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

// doCall runs a call of the customer acme through d, with a deadline after budget.
func doCall(d *testDaemon, class Class, id, body string, budget time.Duration) (Answer, error) {
	return d.svc.Do(context.Background(), Call{Customer: "acme", Class: class, ID: id, Body: []byte(body),
		Deadline: time.Now().Add(budget)})
}

// newOneGroupCell returns a cell of two daemons and one group of n executors. d1 owns
// the group, d2 is the recorder of all id shards of the region.
func newOneGroupCell(t testing.TB, n int, x standin.ExecutorConfig,
	configure func(*Config)) (*testCell, *testDaemon, *testDaemon) {
	c := newTestCell(t)
	for i := range n {
		x.Seed = uint64(i)
		c.startExecutor("w1", "a", x)
	}
	d1, d2 := c.startDaemon("d1", "w1", configure), c.startDaemon("d2", "w1", configure)
	c.setOwner("d1", contract.ExecKey("w1", "a"))
	c.setIDShardOwners("west", "d2")
	c.waitForSlots(n*max(x.Slots, 1), d1, d2)
	return c, d1, d2
}

// setFaults sets the faults of all executors.
func (c *testCell) setFaults(f standin.ExecutorFaults) {
	for _, x := range c.executors {
		x.SetFaults(f)
	}
}

// Guards against answers of another request, truncated answers and late answers that
// reach a caller, and against a second run of a quote after any of them.
func TestBadAnswersAreNeverDelivered(t *testing.T) {
	for name, f := range map[string]standin.ExecutorFaults{
		"crossed": {CrossID: true}, "truncated": {Truncate: true}, "late": {AnswerDelayMS: 700},
	} {
		t.Run(name, func(t *testing.T) {
			c, d1, d2 := newOneGroupCell(t, 2, standin.ExecutorConfig{Slots: 8}, nil)
			c.setFaults(f)
			id := ulid.Make().String()
			for _, d := range []*testDaemon{d1, d2, d1} {
				if a, err := doCall(d, Quote, id, "price", 300*time.Millisecond); errkind.Of(err) != errkind.OutcomeUnknown {
					t.Fatalf("answer %q, error %v, want outcome_unknown", a.Body, err)
				}
			}
			if n := c.runCounts()[id]; n != 1 {
				t.Fatalf("quote ran %d times, want once", n)
			}
		})
	}
}

// Guards against a second run of a non-repeatable request: simultaneous repeats of
// one id through several daemons must share one run and one answer. Other content
// under the same id must be refused.
func TestRepeatsThroughOtherDaemonsRunOnce(t *testing.T) {
	c, d1, d2 := newOneGroupCell(t, 2, standin.ExecutorConfig{Slots: 8, ServiceTime: 20 * time.Millisecond}, nil)
	id := ulid.Make().String()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := doCall([]*testDaemon{d1, d2}[i%2], Nudge, id, "pay", 5*time.Second)
			if err != nil || string(a.Body) != "pay" {
				t.Errorf("repeat %d: %q, %v, want the answer pay", i, a.Body, err)
			}
		}()
	}
	wg.Wait()
	if n := c.runCounts()[id]; n != 1 {
		t.Errorf("nudge ran %d times, want once", n)
	}
	if _, err := doCall(d1, Nudge, id, "other", time.Second); errkind.Of(err) != errkind.Conflict {
		t.Errorf("other content under the same id: %v, want kind conflict", err)
	}
}

// Guards against a second run by the daemon that takes over from a dead recorder: the
// outcome of ids of the earlier range must be unknown, and they must not run.
func TestSuccessorOfRecorderNeverRunsEarlierIDs(t *testing.T) {
	c, d1, d2 := newOneGroupCell(t, 2, standin.ExecutorConfig{Slots: 8}, nil)
	ran, never := ulid.Make().String(), ulid.Make().String()
	if _, err := doCall(d1, Quote, ran, "x", 5*time.Second); err != nil {
		t.Fatal(err)
	}
	c.setMemberState("d2", link.Dead)
	d2.stop()
	<-d2.done
	c.setIDShardOwners("west", "d1")
	eventually(t, "d1 knows that d2 is dead", func() bool { return d1.svc.loads.isDown("d2") })
	for _, id := range []string{ran, never} {
		if _, err := doCall(d1, Quote, id, "x", 2*time.Second); errkind.Of(err) != errkind.OutcomeUnknown {
			t.Errorf("id of the earlier recorder: %v, want outcome_unknown", err)
		}
	}
	a, err := doCall(d1, Quote, "", "y", 5*time.Second)
	if err != nil || string(a.Body) != "y" {
		t.Errorf("an id minted after the takeover: %q, %v, want the answer y", a.Body, err)
	}
	if runs := c.runCounts(); runs[ran] != 1 || runs[never] != 0 {
		t.Errorf("the id that ran: %d runs, want 1; the other id: %d runs, want 0", runs[ran], runs[never])
	}
}

// Guards against a new owner of a group that sends more runs than an executor has
// slots, because it does not know those of the earlier owner, and against calls that
// are lost when the owner changes.
func TestTakeoverNeverExceedsSlots(t *testing.T) {
	c, d1, d2 := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 4, ServiceTime: 150 * time.Millisecond}, nil)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if i >= 8 {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			}
			if i == 12 {
				c.setOwner("d2", contract.ExecKey("w1", "a"))
			}
			if a, err := doCall([]*testDaemon{d1, d2}[i%2], Valuation, "", fmt.Sprint(i), 9*time.Second); err != nil ||
				string(a.Body) != fmt.Sprint(i) {
				t.Errorf("call %d: %q, %v, want its number as answer", i, a.Body, err)
			}
		}()
	}
	wg.Wait()
	c.checkExecutorLimits(4)
	for _, x := range c.executors {
		// A new owner that ignored the runs of the earlier one would be refused as busy.
		if r := x.Records(); r.RefusedBusy > 1 {
			t.Errorf("%d runs were sent to a full executor, want at most 1", r.RefusedBusy)
		}
	}
}

// Guards against runs started by an owner whose tenure has passed.
func TestNoRunWithoutTenure(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 4}, nil)
	c.mu.Lock()
	c.withoutTenure["d1"] = true
	c.mu.Unlock()
	_, err := doCall(d1, Valuation, "", "x", time.Second)
	if errkind.ResponseOf(err).Outcome != errkind.NotRun || len(c.runCounts()) != 0 {
		t.Errorf("error %v, want outcome not_run; %d runs, want none", err, len(c.runCounts()))
	}
}

// Guards against calls that wait forever on a connection, to an executor or to a
// daemon, that went silent while new connections work.
func TestCallsOnSilentLinksEnd(t *testing.T) {
	c, d1, d2 := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 4}, nil)
	if _, err := doCall(d1, Valuation, "", "warm", time.Second); err != nil {
		t.Fatal(err)
	}
	// The open connections go silent; new ones work.
	c.setFaults(standin.ExecutorFaults{Silent: true})
	c.setFaults(standin.ExecutorFaults{})
	if a, err := doCall(d1, Valuation, "", "x", 9*time.Second); err != nil || string(a.Body) != "x" {
		t.Errorf("repeatable call over a silent executor connection: %q, %v, want the answer x", a.Body, err)
	}
	if a, err := doCall(d2, Valuation, "", "y", 9*time.Second); err != nil || string(a.Body) != "y" {
		t.Fatalf("call through d2: %q, %v, want the answer y", a.Body, err)
	}
	quiet := make(chan struct{})
	d2.silenced.Store(&quiet)
	if _, err := doCall(d2, Valuation, "", "z", 9*time.Second); errkind.Of(err) != errkind.OutcomeUnknown ||
		errkind.ReasonOf(err) != "silent_link" {
		t.Errorf("call over a silent link between daemons: %v, want outcome_unknown (silent_link)", err)
	}
	d2.silenced.Store(nil)
	if _, err := doCall(d2, Valuation, "", "z", 9*time.Second); err != nil {
		t.Errorf("call after the link works again: %v", err)
	}
}

// Guards against new runs on executors that the host list shows as leaving.
func TestLeavingExecutorIsUnused(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 2, standin.ExecutorConfig{Slots: 4}, nil)
	c.setHostState("x0", upstream.Leaving)
	eventually(t, "x0 is leaving", func() bool { return d1.svc.Stats().Groups[0].Executors[0].Leaving })
	for range 50 {
		if _, err := doCall(d1, Valuation, "", "x", 5*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(c.executors["x0"].Records().Runs); n != 0 {
		t.Errorf("%d runs on the leaving executor, want none", n)
	}
}

// Guards against the ejection of more than a third of a group, against an executor
// that attracts load by failing fast, against ejections that never end, and against a
// slow executor that is not ejected.
func TestEjectionIsBoundedAndEnds(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 6, standin.ExecutorConfig{Slots: 2, ServiceTime: 2 * time.Millisecond}, nil)
	c.executors["x0"].SetFaults(standin.ExecutorFaults{FailFastShare: 1})
	notHealthy := func() (n int) {
		for _, x := range d1.svc.Stats().Groups[0].Executors {
			if x.Health != "healthy" {
				n++
			}
		}
		return n
	}
	failed, ejected := 0, false
	for range 100 {
		ejected = ejected || notHealthy() == 1
		if _, err := doCall(d1, Valuation, "", "x", 5*time.Second); errkind.Of(err) == errkind.UpstreamFailed {
			failed++
		}
	}
	if failed == 0 || failed > 15 || !ejected {
		t.Errorf("%d of 100 calls failed on 1 of 6 executors, want 1 to 15; ejected: %v, want true", failed, ejected)
	}
	c.setFaults(standin.ExecutorFaults{FailFastShare: 1})
	for range 100 {
		_, _ = doCall(d1, Valuation, "", "x", 5*time.Second)
		if n := notHealthy(); n > 2 {
			t.Fatalf("%d of 6 executors are not healthy, want at most 2", n)
		}
	}
	c.setFaults(standin.ExecutorFaults{})
	eventually(t, "all executors are healthy again", func() bool {
		_, _ = doCall(d1, Valuation, "", "x", 5*time.Second)
		return notHealthy() == 0
	})
	c.executors["x1"].SetFaults(standin.ExecutorFaults{SlowFactor: 20})
	eventually(t, "the slow executor is ejected", func() bool {
		for range 6 {
			go func() { _, _ = doCall(d1, Valuation, "", "x", 5*time.Second) }()
		}
		return d1.svc.Stats().Groups[0].Executors[1].Health == "ejected"
	})
}

// Guards against an executor that gets most of the calls because it fails fast, in a
// group that is too small for ejection.
func TestFailingFastAttractsNoLoad(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 2, standin.ExecutorConfig{Slots: 2, ServiceTime: 20 * time.Millisecond}, nil)
	c.executors["x0"].SetFaults(standin.ExecutorFaults{FailFastShare: 1})
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 25 {
				_, _ = doCall(d1, Valuation, "", "x", 9*time.Second)
			}
		}()
	}
	wg.Wait()
	bad, good := len(c.executors["x0"].Records().Runs), len(c.executors["x1"].Records().Runs)
	if bad > 2*good {
		t.Errorf("%d runs on the failing executor, %d on the other, want at most twice as many", bad, good)
	}
}

// Guards against "not run" for a request whose first attempt may have run and whose
// retry was refused.
func TestRefusedRetryDoesNotHideAnEarlierRun(t *testing.T) {
	c, d1, _ := newOneGroupCell(t, 1, standin.ExecutorConfig{Slots: 2}, func(cfg *Config) {
		cfg.RetryBaseBackoff, cfg.MaxAttempts = 300*time.Millisecond, 2
	})
	c.setFaults(standin.ExecutorFaults{Truncate: true})
	result := make(chan error, 1)
	go func() {
		_, err := doCall(d1, Valuation, "", "x", 5*time.Second)
		result <- err
	}()
	eventually(t, "the first attempt has run", func() bool { return len(c.executors["x0"].Records().Runs) == 1 })
	c.mu.Lock()
	c.withoutTenure["d1"] = true
	c.mu.Unlock()
	if err := <-result; errkind.Of(err) != errkind.OutcomeUnknown {
		t.Errorf("error %v, want outcome_unknown", err)
	}
}
