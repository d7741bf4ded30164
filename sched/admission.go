package sched

import (
	"time"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// The reasons of refusals by admission control.
const (
	// ReasonNoTimeLeft is the reason for a job that can no longer end before its result is of no use.
	ReasonNoTimeLeft = "no_time_left"
	// ReasonOverRate is the reason for such a job beyond the rate of its tenant, which waits for the work
	// of others too.
	ReasonOverRate = "over_tenant_rate"
)

// minUsedShare is the least share of the machines that is assumed to be in use while steps wait, so
// that a backlog behind the advisor's answers, with idle machines, is not taken for a long wait.
const minUsedShare = 0.5

// roomForecast is what admission control knows of the backlog. Plan renews it in each pass.
type roomForecast struct {
	services map[string]*serviceRoom // by name; nil before the first pass
}

// serviceRoom is the backlog of the machines of a service. Work is counted in seconds of all these
// machines together, by the resource of which it takes the largest share.
type serviceRoom struct {
	total machine.Resources
	used  float64 // share of the bottleneck resource in use
	// waiting is work that waits, by priority; without work that is of no use any more or that the cap of its
	// tenant holds up.
	waiting map[int]float64
	beyond  map[int]float64 // the same for work beyond the rates of tenants, which is not in waiting
}

// refreshRoom renews the forecast after a pass. It takes time for the machines and for the
// waiting steps once, however many tasks these have.
func (e *Engine) refreshRoom(now time.Duration) {
	e.room.services = make(map[string]*serviceRoom)
	used := make(map[string]machine.Resources)
	for _, m := range e.byID {
		if m.inHostList && !m.spec.Draining && !m.unresponsive && !m.leaseWithheld && !m.orders.paused(now) {
			r := e.serviceRoom(m.spec.Service)
			r.total, used[m.spec.Service] = r.total.Add(m.spec.Capacity), used[m.spec.Service].Add(m.used)
		}
	}
	for name, r := range e.room.services {
		r.used = dominantShare(used[name], r.total)
	}
	e.stats.WaitingByTier = [4]int{}
	for _, s := range e.waitingSteps {
		n := len(s.tasks) - s.doneTasks - s.heldRuns
		if n <= 0 || s.occ.job.state.final() {
			continue
		}
		if e.anyCap && e.atCap(s) {
			continue // it waits for the cap of its tenant, and takes no machine before the jobs of others
		}
		e.stats.WaitingByTier[s.urgency.tier+1]++
		r := e.serviceRoom(s.occ.job.queue.Service)
		work := r.work(s.spec, n, e.estimator.expected(s.occ.job.queue, s.spec))
		switch {
		case s.urgency.tier > 1:
		case s.urgency.share > 0:
			r.beyond[s.urgency.priority] += work
		default:
			r.waiting[s.urgency.priority] += work
		}
	}
}

func (e *Engine) serviceRoom(name string) *serviceRoom {
	r := e.room.services[name]
	if r == nil {
		r = &serviceRoom{waiting: make(map[int]float64), beyond: make(map[int]float64)}
		e.room.services[name] = r
	}
	return r
}

// work returns the work of n tasks of s.
func (r *serviceRoom) work(s *Step, n int, runTime time.Duration) float64 {
	return dominantShare(s.Need.Scale(int64(n)), r.total) * runTime.Seconds()
}

// wait returns how long a new job waits until the work ahead of it has started. Capacity becomes free
// at the rate at which it is used.
func (r *serviceRoom) wait(priority int, beyondRate bool) time.Duration {
	ahead := 0.0
	for p, work := range r.waiting {
		if p <= priority || (beyondRate && priority > 0) {
			ahead += work
		}
	}
	for p, work := range r.beyond {
		if p <= priority && (beyondRate || p == 0) {
			ahead += work
		}
	}
	return clampSpan(time.Duration(ahead / max(r.used, minUsedShare) * float64(time.Second)))
}

// admit returns an error if the job can probably not end before three times the span to its objective,
// given the work ahead of it. A job beyond the rate of its tenant has more work ahead of it: also that
// of lower priorities, and that of other tenants beyond their rates. Work that can end late is accepted:
// it is worth a fifth to its caller, and the order puts it behind work that can be on time. Refusing
// work beyond a rate as soon as it would be late cost callers more (docs/design/overload.md). Periodic
// jobs are accepted: they need room when they are due, not now.
func (e *Engine) admit(j *job, now time.Duration) error {
	if !e.shedsLoad() || j.spec.Repeat > 0 {
		return nil
	}
	r := e.room.services[j.queue.Service]
	if r == nil {
		return nil
	}
	beyond := !e.withinRate(j.tenant, now)
	wait := r.wait(j.queue.Priority, beyond)
	if wait == 0 {
		return nil
	}
	chain, span := lo.Max(j.chainTimes), j.objective-j.arrived
	end := now + wait + chain
	excess := end - (j.arrived + uselessAfterFactor*span)
	if excess <= 0 {
		return nil
	}
	reason := ReasonNoTimeLeft
	if beyond {
		reason = ReasonOverRate
	}
	e.stats.AdmissionRefusals[reason]++
	e.log.Info().Str("event", "admission_refused").Str("job", j.spec.ID).Str("queue", j.queue.Name).
		Str("tenant", j.tenant.Name).Str("reason", reason).Bool("beyond_rate", beyond).
		Int64("expected_wait_ms", wait.Milliseconds()).Int64("run_ms", chain.Milliseconds()).
		Int64("objective_ms", span.Milliseconds()).Int64("room_in_ms", excess.Milliseconds()).
		Float64("used_share", r.used).Send()
	err := errkind.New(errkind.Overloaded, reason, "the work ahead of the job takes %v, the job takes %v, its objective is %v",
		wait.Round(time.Millisecond), chain.Round(time.Millisecond), span.Round(time.Millisecond))
	err.Wait = excess
	return err
}
