package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

const (
	// drainEvery is the pause between two passes while tasks wait to be moved.
	drainEvery = 500 * time.Millisecond
	// drainSearches bounds the searches without a result in one pass, so that a
	// drain in a full cell does not take the time of other decisions.
	drainSearches = 64
)

// setDraining notes whether n is being drained. An unreachable worker confirms
// no stop, so its tasks are left to the end of their leases.
func (e *Engine) setDraining(n *node) {
	if !n.known || !n.Draining || n.Unreachable {
		delete(e.draining, n)
		return
	}
	e.draining[n] = true
	e.drainSoon = e.drainSoon || len(n.tasks) > 0
}

// drain takes tasks off the workers that are being drained. Batches that allow
// preemption are checkpointed; other batches and gangs run to their end. A
// service task is stopped only while at most Config.DrainMaxUnavailable tasks of its
// job are out of service and another worker has room, which is kept for it.
func (e *Engine) drain(now time.Time) {
	if !e.drainSoon && (e.nextDrain.IsZero() || now.Before(e.nextDrain)) {
		return
	}
	e.drainSoon, e.nextDrain = false, time.Time{}
	nodes := make([]*node, 0, len(e.draining))
	for n := range e.draining {
		nodes = append(nodes, n)
	}
	if len(nodes) == 0 {
		return
	}
	slices.SortFunc(nodes, func(a, b *node) int { return strings.Compare(a.ID, b.ID) })
	start, left, failed := e.rng.IntN(len(nodes)), false, 0
	out := make(map[*job]int)
	for i := range nodes {
		for _, t := range nodes[(start+i)%len(nodes)].tasks {
			j := t.job
			if t.state != taskRunning || t.stopping || j.stub || j.ended() {
				continue
			}
			switch {
			case j.spec.Kind == workload.Batch && j.spec.Preempt:
				e.stop(t, PreemptCheckpoint, "drain")
			case j.spec.Kind == workload.Service:
				if _, ok := out[j]; !ok {
					out[j] = j.outOfService()
				}
				left = true
				if out[j] >= e.cfg.DrainMaxUnavailable || failed >= drainSearches {
					continue
				}
				if !e.move(t, now) {
					failed++
					continue
				}
				out[j]++
			}
		}
	}
	if left {
		e.nextDrain = now.Add(drainEvery)
	}
}

// outOfService counts the tasks that are neither running nor at their end.
func (j *job) outOfService() int {
	n := 0
	for _, t := range j.tasks {
		if t.state != taskDone && t.state != taskFailed && (t.state != taskRunning || t.stopping) {
			n++
		}
	}
	return n
}

// move stops t if another worker has room, and keeps that room until t has ended.
func (e *Engine) move(t *task, now time.Time) bool {
	j := t.job
	s := e.shapeOf(j)
	need := s.need
	plan, _, preempt := policies[j.spec.Kind].search(e, s, j, now)
	if len(s.groups) == 0 {
		e.unblock(s)
		e.dropShape(s)
	}
	// A task beyond its team's quota could not be placed again.
	fits := j.team.quota.IsZero() || j.spec.Preempt || j.team.used.Sub(t.res).Add(need).Fits(j.team.quota)
	if len(plan) == 0 || preempt || !fits {
		return false
	}
	t.target, t.kept = plan[0], need
	t.target.kept = t.target.kept.Add(need)
	t.target.index()
	e.stop(t, PreemptStop, "drain")
	return true
}

// unkeep gives the room back that was kept for t.
func (e *Engine) unkeep(t *task) {
	n := t.target
	if n == nil {
		return
	}
	before := n.free()
	n.kept = n.kept.Sub(t.kept)
	t.target, t.kept = nil, machine.Resources{}
	n.index()
	e.freed(n, before)
}

// left notes that t has ended on the worker from which it was to be moved.
func (e *Engine) left(t *task) {
	switch {
	case t.target == nil:
	case t.state == taskWaiting:
		e.moved = append(e.moved, t)
	default:
		e.unkeep(t)
	}
}

// placeMoved proposes the moved tasks for the room that was kept for them. A
// task whose worker cannot take it any more waits in the queue of its job.
func (e *Engine) placeMoved(now time.Time, out *[]Proposal) {
	moved := e.moved
	e.moved = nil
	for _, t := range moved {
		n, j := t.target, t.job
		e.unkeep(t)
		if n == nil || t.state != taskWaiting || j.group == nil || !n.open() {
			continue
		}
		s := j.group.shape
		if !s.need.Fits(n.free()) || !e.admits(n, s, j, now) || !e.permit(j, s, 1) {
			continue
		}
		j.dropPending(t.index)
		j.pending = append(j.pending, int32(t.index))
		e.propose(j, s, []*node{n}, false, now, out)
		if len(j.pending) == 0 {
			e.dequeue(j)
		}
	}
}
