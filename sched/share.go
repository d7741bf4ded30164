package sched

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// tenantShare is what the order of waiting steps knows of a tenant. It starts afresh with each term.
type tenantShare struct {
	tokens   float64       // jobs that the tenant may send now within its rate
	tokensAt time.Duration // when tokens was last brought up to date
	started  bool          // tokens was set
	queued   float64       // in the current pass: dominant share held and claimed by earlier steps, over weight
	pass     int64         // the pass in which queued was set
}

const (
	// rateBurst is the time whose jobs a tenant may send at once within its rate. Weights are counted
	// in jobs per second.
	rateBurst = time.Second
	// minWeight replaces smaller weights in divisions, in jobs per second.
	minWeight = 0.01
)

// sharesApply reports whether the order depends on the shares of tenants: the configuration in force
// names tenants.
func (e *Engine) sharesApply() bool { return e.tenantsConfigured }

// withinRate reports whether one more job of t now is within the rate of the tenant. Jobs of no
// tenant have no rate.
func (e *Engine) withinRate(t *tenantState, now time.Duration) bool {
	if !e.sharesApply() || t.Name == "" {
		return true
	}
	depth := max(t.Weight*rateBurst.Seconds(), 1)
	b := &t.share
	if !b.started {
		b.tokens, b.started = depth, true
	} else {
		b.tokens = min(b.tokens+t.Weight*max(now-b.tokensAt, 0).Seconds(), depth)
	}
	b.tokensAt = now
	return t.Weight > 0 && b.tokens >= 1
}

// takeRate counts an accepted job of t and reports whether it is beyond the rate of its tenant.
func (e *Engine) takeRate(t *tenantState, now time.Duration) (beyond bool) {
	if !e.withinRate(t, now) {
		return true
	}
	t.share.tokens--
	return false
}

// orderByShare sorts the waiting steps, which are in the order of their urgency, once more by the
// shares of tenants. It changes only the place of steps whose job is beyond the rate of its tenant.
// Among each other, these come in the order of weighted dominant shares: what the tenant holds and
// what its steps up to this one would add, over its weight. It takes time for the machines and for
// each waiting step once, and a second sort.
func (e *Engine) orderByShare() {
	if !e.sharesApply() {
		return
	}
	total := e.totalCapacity()
	anyBeyond, pass := false, e.passes+1
	for _, s := range e.waitingSteps {
		j := s.occ.job
		if !j.beyondRate {
			continue
		}
		anyBeyond = true
		weight, b := max(j.tenant.Weight, minWeight), &j.tenant.share
		if b.pass != pass {
			b.pass, b.queued = pass, dominantShare(j.tenant.held(), total)/weight
		}
		b.queued += dominantShare(s.spec.Need.Scale(int64(len(s.tasks)-s.doneTasks)), total) / weight
		s.urgency.share = max(b.queued, math.SmallestNonzeroFloat64) // 0 stands for work within the rate
	}
	if anyBeyond {
		slices.SortStableFunc(e.waitingSteps, func(a, b *step) int { return a.urgency.compare(b.urgency) })
	}
}

// TenantShare is the share of a tenant and what it uses.
type TenantShare struct {
	Name   string
	Weight float64 // share of the weights of all tenants of the configuration
	Use    float64 // largest share of a resource of all machines that its tasks hold
}

// TenantShares returns the shares of the tenants of the configuration in force, sorted by name.
func (e *Engine) TenantShares() []TenantShare {
	out := []TenantShare{} // not nil, so that a caller can tell it from no result
	weights := 0.0
	total := e.totalCapacity()
	for _, t := range e.tenants {
		if t.configured {
			weights += t.Weight
			out = append(out, TenantShare{t.Name, t.Weight, dominantShare(t.held(), total)})
		}
	}
	for i := range out {
		out[i].Weight /= max(weights, minWeight)
	}
	slices.SortFunc(out, func(a, b TenantShare) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// totalCapacity returns the capacity of all machines together.
func (e *Engine) totalCapacity() machine.Resources {
	var total machine.Resources
	for _, m := range e.byID {
		total = total.Add(m.spec.Capacity)
	}
	return total
}

// deferred returns 1 for steps that wait while others can use the capacity, else 0: those beyond the
// rate of their tenant, unless they are of priority 0. Small urgent work takes little capacity, and
// is not held up behind wide work; it comes after that of other tenants by its share alone. Work of a
// lower priority would take capacity that work of other tenants with a still lower one could use.
func (u urgency) deferred() int {
	if u.share > 0 && u.priority > 0 {
		return 1
	}
	return 0
}

// dominantShare returns the largest share of a resource of total that r takes.
func dominantShare(r, total machine.Resources) float64 {
	share := 0.0
	for _, x := range [][2]int64{{r.CPUMilli, total.CPUMilli}, {r.MemoryMiB, total.MemoryMiB}, {r.Accelerators, total.Accelerators}} {
		if x[1] > 0 {
			share = math.Max(share, float64(x[0])/float64(x[1]))
		}
	}
	return share
}
