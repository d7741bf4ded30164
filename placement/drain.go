package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

const (
	// drainRetryInterval is the pause between two passes of drain while services
	// have to be moved.
	drainRetryInterval = 500 * time.Millisecond
	// maxDrainSearches bounds the searches without a result in one pass, so that a
	// drain in a full cell does not delay other decisions.
	maxDrainSearches = 64
)

// setDraining records whether n is to be drained. An unreachable worker is not
// drained, because it cannot confirm stops; its tasks end when their leases expire.
func (e *Engine) setDraining(n *node) {
	if !n.known || !n.Draining || n.Unreachable {
		delete(e.drainingNodes, n)
		return
	}
	e.drainingNodes[n] = true
	e.drainRequested = e.drainRequested || len(n.tasks) > 0
}

// drain takes tasks off the workers that are being drained. Batch tasks that may be
// preempted are checkpointed; other batch tasks and gangs run to their end. A service
// task is stopped only if another worker can take it, whose capacity is then held for
// it, and while fewer than Config.DrainMaxUnavailable tasks of its job are
// unavailable.
func (e *Engine) drain(now time.Time) {
	if !e.drainRequested && (e.nextDrain.IsZero() || now.Before(e.nextDrain)) {
		return
	}
	e.drainRequested, e.nextDrain = false, time.Time{}
	nodes := make([]*node, 0, len(e.drainingNodes))
	for n := range e.drainingNodes {
		nodes = append(nodes, n)
	}
	if len(nodes) == 0 {
		return
	}
	slices.SortFunc(nodes, func(a, b *node) int { return strings.Compare(a.ID, b.ID) })
	start, servicesLeft, failedSearches := e.rng.IntN(len(nodes)), false, 0
	unavailable := make(map[*job]int)
	for i := range nodes {
		for _, t := range nodes[(start+i)%len(nodes)].tasks {
			j := t.job
			if t.state != taskRunning || t.stopping || j.adoptedOnly || j.ended() {
				continue
			}
			switch {
			case j.spec.Kind == workload.Batch && j.spec.Preemptible:
				e.requestStop(t, PreemptCheckpoint, "drain")
			case j.spec.Kind == workload.Service:
				if _, ok := unavailable[j]; !ok {
					unavailable[j] = j.countUnavailable()
				}
				servicesLeft = true
				if unavailable[j] >= e.cfg.DrainMaxUnavailable || failedSearches >= maxDrainSearches {
					continue
				}
				if !e.startMove(t, now) {
					failedSearches++
					continue
				}
				unavailable[j]++
			}
		}
	}
	if servicesLeft {
		e.nextDrain = now.Add(drainRetryInterval)
	}
}

// countUnavailable returns how many tasks are neither running nor ended for good. A
// task whose stop is requested counts as unavailable.
func (j *job) countUnavailable() int {
	n := 0
	for _, t := range j.tasks {
		if t.state != taskFinished && t.state != taskFailed && (t.state != taskRunning || t.stopping) {
			n++
		}
	}
	return n
}

// startMove requests the stop of t if another worker can take it, and holds capacity
// there until t has ended and is placed again. It reports whether it did so.
func (e *Engine) startMove(t *task, now time.Time) bool {
	j := t.job
	s := e.shapeOf(j)
	need := s.need
	plan, _, preempt := policies[j.spec.Kind].search(e, s, j, now)
	if len(s.groups) == 0 {
		e.unblock(s)
		e.dropShape(s)
	}
	// A task that would exceed its team's quota could not be placed again.
	withinQuota := j.team.quota.IsZero() || j.spec.Preemptible || j.team.used.Sub(t.held).Add(need).Fits(j.team.quota)
	if len(plan) == 0 || preempt || !withinQuota {
		return false
	}
	t.moveTarget, t.heldOnTarget = plan[0], need
	t.moveTarget.heldForMoves = t.moveTarget.heldForMoves.Add(need)
	t.moveTarget.updateIndex()
	e.requestStop(t, PreemptStop, "drain")
	return true
}

// releaseMoveTarget gives back the capacity that is held for t, if any.
func (e *Engine) releaseMoveTarget(t *task) {
	n := t.moveTarget
	if n == nil {
		return
	}
	freeBefore := n.free()
	n.heldForMoves = n.heldForMoves.Sub(t.heldOnTarget)
	t.moveTarget, t.heldOnTarget = nil, machine.Resources{}
	n.updateIndex()
	e.unblockFitting(n, freeBefore)
}

// finishMove is called after an attempt of t has ended. If t was being moved and waits
// again, placeMoved will place it; otherwise the capacity held for it is given back.
func (e *Engine) finishMove(t *task) {
	switch {
	case t.moveTarget == nil:
	case t.state == taskWaiting:
		e.movedTasks = append(e.movedTasks, t)
	default:
		e.releaseMoveTarget(t)
	}
}

// placeMoved proposes each task that drain has stopped for the worker that holds
// capacity for it. If that worker can no longer take it, the task waits with the other
// waiting tasks of its job.
func (e *Engine) placeMoved(now time.Time, out *[]Proposal) {
	moved := e.movedTasks
	e.movedTasks = nil
	for _, t := range moved {
		n, j := t.moveTarget, t.job
		e.releaseMoveTarget(t)
		if n == nil || t.state != taskWaiting || j.group == nil || !n.acceptsTasks() {
			continue
		}
		s := j.group.shape
		if !s.need.Fits(n.free()) || !e.admits(n, s, j, now) || !e.permit(j, s, 1) {
			continue
		}
		j.removePending(t.index)
		j.pending = append(j.pending, int32(t.index))
		e.propose(j, s, []*node{n}, false, now, out)
		if len(j.pending) == 0 {
			e.dequeue(j)
		}
	}
}
