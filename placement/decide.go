package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Decide proposes placements for waiting jobs, in the order of teamBefore and
// groupBefore, until limit tasks are proposed or no job is active. A gang is never
// split, so it may exceed the limit; tasks that drain has stopped to move them
// elsewhere do not count against it. The resources of a proposed task are accounted
// for until Reject or Finish.
func (e *Engine) Decide(now time.Time, limit int) []Proposal {
	e.advance(now)
	var out []Proposal
	e.placeMoved(now, &out)
	for n := 0; n < limit; {
		t, ok := e.teamHeap.peek()
		if !ok {
			break
		}
		g := t.groups.items[0]
		n += e.decideJob(g, g.head(), now, &out)
	}
	return out
}

// advance does everything that is due at now: it ends backoffs, ends jobs that
// stayed impossible, starts probes, makes reservations, reclaims quotas and drains
// workers.
func (e *Engine) advance(now time.Time) {
	e.clock = now
	for {
		t, ok := e.backoff.peek()
		if !ok || t.stateTime.After(now) {
			break
		}
		e.backoff.remove(t)
		t.job.backoff--
		e.requeue(t)
		e.enqueue(t.job)
	}
	e.updateAllImpossible(now)
	e.startProbes(now)
	e.reserveBlocked(now)
	e.drain(now)
}

// NextWake returns when Decide should be called even if no event arrives, and
// false if only an event can change anything.
func (e *Engine) NextWake() (time.Time, bool) {
	var wake time.Time
	earliest := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if t, ok := e.backoff.peek(); ok {
		earliest(t.stateTime)
	}
	if e.impossibleShapes > 0 {
		for _, s := range e.shapes {
			if !s.impossibleSince.IsZero() {
				earliest(s.impossibleSince.Add(e.cfg.ImpossibleGrace))
			}
		}
	}
	earliest(e.nextProbe)
	earliest(e.nextReserve)
	earliest(e.nextDrain)
	if e.drainRequested {
		earliest(e.clock)
	}
	return wake, !wake.IsZero()
}

// decideJob takes j, the first active job of g, through the steps filter, score,
// permit and reserve, and appends the proposal to out. It returns the number of
// tasks proposed. Without a fit it blocks the shape; without quota it parks g.
func (e *Engine) decideJob(g *group, j *job, now time.Time, out *[]Proposal) int {
	e.stats.Decisions++
	p := policies[j.spec.Kind]
	s := g.shape
	plan, missing, preempt := p.search(e, s, j, now) // filter and score
	if len(plan) == 0 {
		e.block(s, missing, now)
		e.scheduleReserve(now.Add(min(e.cfg.ReserveAfter, e.cfg.ReclaimAfter)))
		return 0
	}
	if !e.permit(j, s, len(plan)) {
		e.park(g)
		return 0
	}
	e.propose(j, s, plan, preempt, now, out)
	e.dropReservation(s)
	if len(j.pending) == 0 {
		e.dequeue(j)
	}
	return len(plan)
}

// propose assigns the next waiting tasks of j, one to each entry of plan, reserves
// their resources and appends the assignments to out.
func (e *Engine) propose(j *job, s *shape, plan []*node, preempt bool, now time.Time, out *[]Proposal) {
	prop := proposalFor(out, j)
	for _, n := range plan {
		k := len(j.pending) - 1
		t := j.tasks[j.pending[k]]
		j.pending = j.pending[:k]
		t.attempt++
		t.state, t.preempt, t.expectedRunTime = taskProposed, preempt, s.expectedRunTime
		if t.id == "" {
			t.id = workload.TaskID(j.spec.ID, t.index)
		}
		e.placedTasks[t.id] = t
		e.stats.Proposed++
		e.holdResources(t, n, s.need, now)
		n.health.taskPlaced(n, t)
		t.beyondQuota = j.team.overQuota
		prop.Assignments = append(prop.Assignments, Assignment{Task: t.toWorkload(), Node: n.ID, Preempt: preempt})
	}
	if preempt {
		e.stats.Preemptions += int64(len(plan))
	}
	e.stats.Placements += int64(len(plan))
}

// proposalFor returns the proposal in out to which an assignment of j is added:
// the last one if it is for j and j is no gang, else a new one.
func proposalFor(out *[]Proposal, j *job) *Proposal {
	if k := len(*out); k > 0 && (*out)[k-1].Job == j.spec.ID && j.spec.Kind != workload.Gang {
		return &(*out)[k-1]
	}
	*out = append(*out, Proposal{Job: j.spec.ID})
	return &(*out)[len(*out)-1]
}

// permit reports whether the team of j may run n more tasks of s. A team may go
// beyond its quota only with work that gives the resources back: work that ends by
// itself or that may be preempted.
func (e *Engine) permit(j *job, s *shape, n int) bool {
	t := j.team
	if t.quota.IsZero() || j.spec.Kind != workload.Service || j.spec.Preemptible {
		return true
	}
	return t.used.Add(s.need.Scale(int64(n))).Fits(t.quota)
}
