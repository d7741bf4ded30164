package placement

import (
	"maps"
	"time"
)

// Explain says where a job is, and for a waiting job which filter excludes how
// many workers at the moment. It visits every worker, so it is meant for
// operators and not for the path of a decision.
func (e *Engine) Explain(id string) (Explanation, bool) {
	j := e.jobs[id]
	if j == nil || j.stub {
		return Explanation{}, false
	}
	x := Explanation{
		Job: id, Reason: j.reason, Detail: j.detail, Waiting: len(j.pending) + j.backoff, Running: j.placed,
		Finished: j.done, Failed: j.failed, Need: j.spec.Resources,
	}
	switch g := j.group; {
	case j.ended():
		x.State = j.state
		return x, true
	case g != nil:
		e.explainQueued(&x, j, g)
	case j.backoff > 0:
		x.State = JobBackoff
		x.NextTry = e.nextTry(j)
	case len(j.pending) > 0:
		x.State, x.Reason = JobUnschedulable, "gang_members_still_running"
	default:
		x.State = JobPlaced
	}
	return x, true
}

func (e *Engine) explainQueued(x *Explanation, j *job, g *group) {
	s := g.shape
	x.State, x.Need = JobActive, s.need
	switch {
	case !s.doomed.IsZero():
		err := e.impossible(s)
		x.State, x.Reason, x.Detail = JobUnschedulable, err.Reason, err.Detail
	case g.parked:
		x.State, x.Reason = JobUnschedulable, "team_quota"
		x.Detail = "the team uses " + g.team.used.String() + " of its quota " + g.team.quota.String()
	case s.blocked:
		x.State, x.Reason = JobUnschedulable, "no_room"
	}
	counts := make(map[string]int)
	for _, n := range e.nodes {
		if n.known {
			counts[e.filter(s, n, j, e.clock)]++
		}
	}
	x.Reasons = sortReasons(counts)
	if x.Detail == "" && x.State == JobUnschedulable {
		x.Detail = formatReasons(x.Reasons)
	}
	for _, o := range e.groups {
		for _, it := range o.jobs.items {
			if !it.dead && it.job != j && e.ahead(o, it.job, g, j) {
				x.Position++
			}
		}
	}
}

// ahead reports whether a of group ga is tried before b of group gb.
func (e *Engine) ahead(ga *group, a *job, gb *group, b *job) bool {
	ta, tb := ga.team, gb.team
	switch {
	case ta == tb || a.spec.Priority != b.spec.Priority:
		return before(a, b)
	case ta.over != tb.over:
		return tb.over
	case ta.share != tb.share:
		return ta.share < tb.share
	}
	return before(a, b)
}

func (e *Engine) nextTry(j *job) (at time.Time) {
	for _, t := range j.tasks {
		if t.state == taskBackoff && (at.IsZero() || t.since.Before(at)) {
			at = t.since
		}
	}
	return at
}

// Stats returns counts and current sizes.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Refused, s.Rejected = maps.Clone(s.Refused), maps.Clone(s.Rejected)
	s.Nodes, s.Quarantined = e.known, len(e.quarantined)
	s.Active = e.waiting
	for _, g := range e.groups {
		if g.parked || g.shape.blocked {
			s.Active -= g.live
			s.Unschedulable += g.live
		}
	}
	s.BackoffTasks = e.backoff.len()
	s.Reservations = len(e.resvs)
	s.Capacity, s.Used = e.total, e.used
	for _, n := range e.nodes {
		if n.known {
			s.Foreign = s.Foreign.Add(n.Foreign)
		}
	}
	return s
}
