package sched

import (
	"cmp"
	"time"
)

const (
	// uselessAfterFactor times the span from its arrival to its objective is the time
	// after which the completion of a job is of no use to its caller.
	uselessAfterFactor = 3
	// onTimeMargin times its expected run time is what a job must have left to count as
	// one that can be on time. Declared run times are off by up to a half, and work
	// that ends just too late takes the capacity of work that could be on time.
	onTimeMargin = 1.25
)

// urgency orders steps by tier, then by priority, remaining work and objective.
// Persistent steps come first, since their users notice immediately that a task is
// down. Of late steps those with the least work come first: under overload not all can
// be done, and the same capacity serves more callers that way.
type urgency struct {
	tier          int // -1 persistent, 0 can be on time, 1 late, 2 so late that it is of no use
	priority      int
	remainingWork float64 // core-seconds that are left, for late steps; else 0
	objective     time.Duration
	// share is 0, or above 0 for a job beyond the rate of its tenant; see orderByShare.
	share float64
}

// urgencyOf returns the urgency of s at now, by the expected run time of the chain that
// begins with it.
func (e *Engine) urgencyOf(s *step, now time.Duration) urgency {
	j := s.occ.job
	u := urgency{priority: j.queue.Priority, objective: s.objective()}
	finish := now + time.Duration(onTimeMargin*float64(s.chainTime))
	switch {
	case s.spec.Persistent:
		u.tier = -1
	case finish <= u.objective:
	case finish <= j.arrived+uselessAfterFactor*(u.objective-j.arrived):
		u.tier, u.remainingWork = 1, s.remainingWork()
	default:
		u.tier = 2
	}
	return u
}

// compare returns a negative number if u is more urgent than o, and 0 if both are equally
// urgent.
func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.tier, o.tier), cmp.Compare(u.deferred(), o.deferred()), cmp.Compare(u.priority, o.priority),
		cmp.Compare(u.share, o.share),
		cmp.Compare(u.remainingWork, o.remainingWork), cmp.Compare(u.objective, o.objective))
}

// shedsLoad reports whether the engine answers overload.
func (e *Engine) shedsLoad() bool { return e.cfg.ShedLoad || e.tenantsConfigured }
