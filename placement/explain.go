package placement

import (
	"maps"
	"time"
)

// Explain returns the state of a job, and for a queued job how many workers are
// excluded now and why. It returns false if the job is unknown. It visits every
// worker and every queued job, so it is meant for operators and not to be called for
// each decision.
func (e *Engine) Explain(id string) (Explanation, bool) {
	j := e.jobs[id]
	if j == nil || j.adoptedOnly {
		return Explanation{}, false
	}
	x := Explanation{
		Job: id, Reason: j.reason, Detail: j.detail, Waiting: len(j.pending) + j.backoff, Running: j.placed,
		Finished: j.finished, Failed: j.failed, Need: j.spec.Resources,
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

// explainQueued fills in x for the job j, which waits in g.
func (e *Engine) explainQueued(x *Explanation, j *job, g *group) {
	s := g.shape
	x.State, x.Need = JobActive, s.need
	switch {
	case !s.impossibleSince.IsZero():
		err := e.impossibleError(s)
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
	for _, other := range e.groups {
		for _, entry := range other.jobs.items {
			if !entry.removed && entry.job != j && e.triedBefore(other, entry.job, g, j) {
				x.Position++
			}
		}
	}
}

// triedBefore reports whether job a of groupA has its turn before job b of groupB.
func (e *Engine) triedBefore(groupA *group, a *job, groupB *group, b *job) bool {
	teamA, teamB := groupA.team, groupB.team
	switch {
	case teamA == teamB || a.spec.Priority != b.spec.Priority:
		return jobBefore(a, b)
	case teamA.overQuota != teamB.overQuota:
		return teamB.overQuota
	case teamA.share != teamB.share:
		return teamA.share < teamB.share
	}
	return jobBefore(a, b)
}

// nextTry returns when the first backoff of a task of j ends.
func (e *Engine) nextTry(j *job) (earliest time.Time) {
	for _, t := range j.tasks {
		if t.state == taskBackoff && (earliest.IsZero() || t.stateTime.Before(earliest)) {
			earliest = t.stateTime
		}
	}
	return earliest
}

// Stats returns counts since New and current sizes.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Refused, s.Rejected = maps.Clone(s.Refused), maps.Clone(s.Rejected)
	s.Nodes, s.Quarantined = e.knownNodes, len(e.quarantined)
	s.Active = e.waitingJobs
	for _, g := range e.groups {
		if g.parked || g.shape.blocked {
			s.Active -= g.waiting
			s.Unschedulable += g.waiting
		}
	}
	s.BackoffTasks = e.backoff.len()
	s.Reservations = len(e.reservations)
	s.Capacity, s.Used = e.capacity, e.used
	for _, n := range e.nodes {
		if n.known {
			s.Foreign = s.Foreign.Add(n.Foreign)
		}
	}
	return s
}
