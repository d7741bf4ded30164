package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Decide proposes placements for waiting jobs, in order, until limit tasks are
// proposed (a gang counts as one step but is never split) or nothing that waits
// fits. The resources of a proposal are reserved until Commit, Reject or Finish.
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
		n += e.step(g, g.head(), now, &out)
	}
	return out
}

// advance moves what was waiting for a time.
func (e *Engine) advance(now time.Time) {
	e.clock = now
	for {
		t, ok := e.backoff.peek()
		if !ok || t.since.After(now) {
			break
		}
		e.backoff.remove(t)
		t.job.backoff--
		e.requeue(t)
		e.enqueue(t.job)
	}
	e.checkAll(now)
	e.startProbes(now)
	e.reserveBlocked(now)
	e.drain(now)
}

// NextWake returns when Decide should be called although no event arrived, and
// false if only events can help.
func (e *Engine) NextWake() (time.Time, bool) {
	var at time.Time
	add := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if t, ok := e.backoff.peek(); ok {
		add(t.since)
	}
	if e.doomed > 0 {
		for _, s := range e.shapes {
			if !s.doomed.IsZero() {
				add(s.doomed.Add(e.cfg.ImpossibleGrace))
			}
		}
	}
	add(e.nextProbe)
	add(e.nextReserve)
	add(e.nextDrain)
	if e.drainSoon {
		add(e.clock)
	}
	return at, !at.IsZero()
}

// step runs one decision for the job at the head of the active queue through
// filter, score, reserve and permit. It returns the number of tasks proposed.
func (e *Engine) step(g *group, j *job, now time.Time, out *[]Proposal) int {
	e.stats.Decisions++
	p := policies[j.spec.Kind]
	s := g.shape
	plan, missing, preempt := p.search(e, s, j, now) // filter and score
	if len(plan) == 0 {
		e.block(s, missing, now)
		e.considerAt(now.Add(min(e.cfg.ReserveAfter, e.cfg.ReclaimAfter)))
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

// propose reserves the workers of plan for the next waiting tasks of j.
func (e *Engine) propose(j *job, s *shape, plan []*node, preempt bool, now time.Time, out *[]Proposal) {
	prop := proposalFor(out, j)
	for _, n := range plan {
		k := len(j.pending) - 1
		t := j.tasks[j.pending[k]]
		j.pending = j.pending[:k]
		t.attempt++
		t.state, t.preempt, t.run = taskProposed, preempt, s.run
		if t.id == "" {
			t.id = workload.TaskID(j.spec.ID, t.index)
		}
		e.placed[t.id] = t
		e.stats.Proposed++
		e.hold(t, n, s.need, now)
		n.health.placed(n, t)
		t.borrowed = j.team.over
		prop.Assignments = append(prop.Assignments, Assignment{Task: t.export(), Node: n.ID, Preempt: preempt})
	}
	if preempt {
		e.stats.Preemptions += int64(len(plan))
	}
	e.stats.Placements += int64(len(plan))
}

// proposalFor returns the open proposal of j: the last one if it is for j and j
// is no gang, else a new one.
func proposalFor(out *[]Proposal, j *job) *Proposal {
	if k := len(*out); k > 0 && (*out)[k-1].Job == j.spec.ID && j.spec.Kind != workload.Gang {
		return &(*out)[k-1]
	}
	*out = append(*out, Proposal{Job: j.spec.ID})
	return &(*out)[len(*out)-1]
}

// permit reports whether the team of j may use n more tasks of s. A team may
// borrow beyond its quota only for work that gives the resources back: work that
// ends or that can be taken off its workers.
func (e *Engine) permit(j *job, s *shape, n int) bool {
	t := j.team
	if t.quota.IsZero() || j.spec.Kind != workload.Service || j.spec.Preempt {
		return true
	}
	return t.used.Add(s.need.Scale(int64(n))).Fits(t.quota)
}
