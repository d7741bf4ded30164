package sched

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// submitAs submits a job of a tenant to the queue q, stores it and returns its id, or the error of Submit.
func (f *engineFixture) submitAs(tenant string, steps ...Step) (string, error) {
	f.jobCount++
	id := tenant + string(rune('a'+f.jobCount))
	err := f.engine.Submit(Job{ID: id, Queue: "q", Tenant: tenant, Steps: steps, Accepted: f.now.Milliseconds()}, f.now,
		time.UnixMilli(f.now.Milliseconds()), func(error) {})
	f.flush()
	return id, err
}

// checkHeld compares what a tenant holds with n times the need of a small step.
func (f *engineFixture) checkHeld(tenant string, n int64, when string) {
	f.t.Helper()
	want := machine.Resources{CPUMilli: 1000 * n, MemoryMiB: 1000 * n}
	if got := f.engine.tenant(tenant).held(); got != want {
		f.t.Errorf("%s: tenant %q holds %s, want %s", when, tenant, got, want)
	}
}

// TestTenantHoldsItsRuns guards against a usage that does not follow the runs of a tenant from their
// orders to their ends, or that mixes up tenants.
func TestTenantHoldsItsRuns(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	id, err := f.submitAs("x", smallStep(3))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.submitAs("y", smallStep(1)); err != nil {
		t.Fatal(err)
	}
	f.checkHeld("x", 0, "before the first pass")
	f.now += 10 * time.Millisecond
	starts := f.engine.Plan(f.now).Starts
	f.checkHeld("x", 3, "ordered")
	f.checkHeld("y", 1, "ordered")
	first := starts[0]
	f.engine.StartAnswered(first, RefusedNoCapacity, f.now)
	f.checkHeld("x", 2, "one start refused")
	f.engine.StartAnswered(starts[1], Unanswered, f.now)
	f.checkHeld("x", 2, "one start unanswered")
	f.poll(starts[2].Machine.ID, []RunReport{{Task: starts[2].Task, Run: 1}}, nil)
	f.engine.Cancel(id, f.now, func() {})
	f.checkHeld("x", 2, "being stopped")
	f.poll(starts[2].Machine.ID, nil, []EndReport{{Number: 1, Task: starts[2].Task, Run: 1, Kind: EndStopped}})
	f.checkHeld("x", 1, "one run ended")
}

// TestFillerHoldsProcessorsOfItsTenant guards against fillers, which take no processors from the free
// capacity of a machine, running beside the usage of their tenant.
func TestFillerHoldsProcessorsOfItsTenant(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"))
	s := smallStep(2)
	s.Filler = true
	if _, err := f.submitAs("x", s); err != nil {
		t.Fatal(err)
	}
	f.planAndConfirm()
	f.checkHeld("x", 2, "started")
}
