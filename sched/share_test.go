package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// shareFixture has one machine, a queue of priority 0, "small", and queues "medium" and "large" of lower
// priorities, all with ample objectives.
func shareFixture(t *testing.T, tenants ...Tenant) *engineFixture {
	queue := func(name string, priority int) Queue {
		return Queue{Name: name, Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 4, Target: time.Minute}
	}
	f := newEngineFixture(t, []Queue{queue("small", 0), queue("large", 1), queue("medium", 2)}, worker("a"))
	f.engine.SetTenants(2, tenants)
	return f
}

// submitFor submits a job of one task that takes the whole machine, and returns its id.
func (f *engineFixture) submitFor(tenant, queue string) string {
	f.jobCount++
	id := fmt.Sprintf("%016d", f.jobCount)
	step := Step{Count: 1, Estimate: time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}}
	if err := f.engine.Submit(Job{ID: id, Queue: queue, Tenant: tenant, Steps: []Step{step}, Accepted: f.now.Milliseconds()},
		f.now, time.UnixMilli(f.now.Milliseconds()), func(error) {}); err != nil {
		f.t.Fatal(err)
	}
	f.flush()
	return id
}

// startOrder runs n tasks one after the other and returns the ids of their jobs.
func (f *engineFixture) startOrder(n int) []string {
	var order []string
	for range n {
		for name := range f.planAndConfirm() {
			order = append(order, name[:16])
			f.now += 10 * time.Millisecond
			f.poll("a", nil, []EndReport{{Number: int64(len(order)), Task: name, Run: 1, Kind: EndDone}})
		}
	}
	return order
}

// TestJobsBeyondTheRateComeLater guards against a tenant that sends more than its rate and delays the
// work of others, and against wide work of others before small urgent work of that tenant.
func TestJobsBeyondTheRateComeLater(t *testing.T) {
	f := shareFixture(t, Tenant{Name: "hot", Weight: 1}, Tenant{Name: "cool", Weight: 2})
	within := f.submitFor("hot", "large")
	beyond := f.submitFor("hot", "large")
	small := f.submitFor("hot", "small") // also beyond the rate
	medium, otherSmall := f.submitFor("cool", "medium"), f.submitFor("cool", "small")
	if got, want := f.startOrder(5), []string{otherSmall, small, within, medium, beyond}; !slices.Equal(got, want) {
		t.Errorf("started in the order %v, want %v", got, want)
	}
}

// TestRateRefills guards against a tenant that stays behind others after a burst is over.
func TestRateRefills(t *testing.T) {
	f := shareFixture(t, Tenant{Name: "hot", Weight: 1}, Tenant{Name: "cool", Weight: 1})
	first, beyond := f.submitFor("hot", "large"), f.submitFor("hot", "large")
	f.now += 1100 * time.Millisecond
	f.poll("a", nil, nil)
	later, cool := f.submitFor("hot", "large"), f.submitFor("cool", "large")
	if got, want := f.startOrder(4), []string{first, later, cool, beyond}; !slices.Equal(got, want) {
		t.Errorf("started in the order %v, want %v", got, want)
	}
}

// TestExcessIsSharedByWeight guards against one tenant that takes the capacity that is left over from
// another one beyond its rate, because its jobs came first.
func TestExcessIsSharedByWeight(t *testing.T) {
	f := shareFixture(t, Tenant{Name: "x", Weight: 0.5}, Tenant{Name: "y", Weight: 0.25})
	var ids []string
	for _, tenant := range []string{"x", "y", "x", "x", "x", "x", "y", "y"} {
		ids = append(ids, f.submitFor(tenant, "large"))
	}
	// The first jobs are within the rate. With twice the weight, x gets two of three turns after them.
	f.engine.Plan(f.now)
	var order []string
	for _, s := range f.engine.waitingSteps {
		order = append(order, s.occ.job.spec.Tenant)
	}
	if want := []string{"x", "y", "x", "x", "y", "x", "x", "y"}; len(ids) != len(order) || !slices.Equal(order, want) {
		t.Errorf("order of the tenants %v, want %v", order, want)
	}
}

// TestWithoutTenantsTheOrderIsTheSame guards against shares in a deployment whose configuration has no
// tenants, also if a former configuration had them.
func TestWithoutTenantsTheOrderIsTheSame(t *testing.T) {
	f := shareFixture(t, Tenant{Name: "hot", Weight: 1})
	first, beyond := f.submitFor("hot", "large"), f.submitFor("hot", "large")
	f.engine.SetTenants(3, nil)
	f.engine.SetQueues(3, nil)
	third := f.submitFor("hot", "large")
	medium := f.submitFor("", "medium")
	if got, want := f.startOrder(4), []string{first, beyond, third, medium}; !slices.Equal(got, want) {
		t.Errorf("started in the order %v, want %v", got, want)
	}
}

// TestHotTenantDoesNotDelayOthers guards against tenants that send 6.5 times their usual rate and take
// the capacity that others within their rates need.
func TestHotTenantDoesNotDelayOthers(t *testing.T) {
	results := map[bool]pressureReport{}
	for _, shares := range []bool{false, true} {
		l := tenantLoad(1)
		l.scaleRates(1.5)
		l.hotTenants()
		var tenants []Tenant
		for _, x := range l.pressure.tenants {
			if shares {
				tenants = append(tenants, x.Tenant)
			}
		}
		l.newEngine(Config{}, tenants)
		l.run(11*time.Second, 18*time.Second)
		results[shares] = l.report()
		t.Logf("shares %v: %s", shares, results[shares])
	}
	// With this seed the gains are 0.09 for work within the rates and 0.14 for the worst tenants.
	if gain := results[true].otherTenants - results[false].otherTenants; gain < 0.05 {
		t.Errorf("shares change the credit of work within the rates by %.3f, want at least 0.05", gain)
	}
	if gain := results[true].worstTenants - results[false].worstTenants; gain < 0.05 {
		t.Errorf("shares change the credit of the worst tenants by %.3f, want at least 0.05", gain)
	}
}
