package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

func newSpread() (map[*rack]int, map[zone.Name]int) {
	return make(map[*rack]int), make(map[zone.Name]int)
}

// find returns the placed task with the id and attempt, or nil.
func (e *Engine) find(id string, attempt int) *task {
	t := e.placed[id]
	if t == nil || t.attempt != attempt {
		return nil
	}
	return t
}

// Commit records that the rack owner confirmed the start of a proposed task.
func (e *Engine) Commit(id string, attempt int) {
	t := e.find(id, attempt)
	if t == nil || t.state != taskProposed {
		return
	}
	t.state, t.rejects = taskRunning, 0
	e.stats.Proposed--
	e.stats.Running++
	e.drainSoon = e.drainSoon || e.draining[t.node]
	if t.job.backoff > 0 {
		e.stopGang(t.job, "gang_member_failed")
	}
}

// Reject records that the rack owner refused a proposed task. The task waits
// for a short, growing time, so that a stale view of the worker is not tried in
// a loop; this does not count against its retries.
func (e *Engine) Reject(id string, attempt int, reason string, now time.Time) {
	t := e.find(id, attempt)
	if t == nil || t.state != taskProposed {
		return
	}
	e.stats.Rejected[reason]++
	t.avoid = t.node
	t.rejects++
	e.unplace(t)
	j := t.job
	if j.ended() {
		e.drop(t)
		return
	}
	j.reason = "rejected_" + reason
	e.delay(t, now.Add(e.jitter(e.cfg.RejectBackoffBase, 100*e.cfg.RejectBackoffBase, t.rejects)))
	e.stopGang(j, "gang_member_failed")
}

// unplace frees what t holds and counts it out.
func (e *Engine) unplace(t *task) {
	if t.state == taskProposed {
		e.stats.Proposed--
	} else {
		e.stats.Running--
	}
	e.release(t)
	t.state = taskWaiting
}

// drop ends t together with its ended job.
func (e *Engine) drop(t *task) {
	t.state = taskDropped
	if t.job.placed == 0 {
		e.keep(t.job)
	}
}

// Adopt records a running task that was found after a takeover. The job may be
// submitted before or after.
func (e *Engine) Adopt(v workload.Task, nodeID string) {
	j := e.jobs[v.Job]
	if j == nil {
		j = &job{stub: true, spec: workload.Job{
			ID: v.Job, Team: v.Team, Kind: v.Kind, Priority: v.Priority, Preempt: v.Preempt,
			Resources: v.Resources, RunTime: v.RunTime,
		}}
		j.team = e.teamOf(v.Team)
		e.jobs[v.Job] = j
	}
	i, ok := taskIndex(v.Job, v.ID)
	if !ok || e.placed[v.ID] != nil || (!j.stub && i >= len(j.tasks)) || j.tasks == nil && j.ended() {
		return
	}
	j.grow(i + 1)
	t := j.tasks[i]
	if t.state == taskDone || t.state == taskFailed {
		return
	}
	e.dequeue(j)
	if t.state == taskBackoff {
		e.backoff.remove(t)
		j.backoff--
	}
	j.dropPending(i)
	n := e.nodes[nodeID]
	if n == nil {
		n = &node{Node: Node{ID: nodeID}}
		n.rack = e.rackOf("", "")
		e.nodes[nodeID] = n
	}
	t.id, t.attempt, t.state, t.run = v.ID, v.Attempt, taskRunning, v.RunTime
	e.placed[v.ID] = t
	e.stats.Running++
	e.hold(t, n, v.Resources, e.clock)
	e.drainSoon = e.drainSoon || e.draining[n]
	e.enqueue(j)
}

// Finish records what became of a running task. Throttled and Running only
// change what it holds; every other state ends this attempt. Failed counts
// against the job's retries unless the worker is at fault; Checkpointed, Stopped
// and Lost let the task wait again.
func (e *Engine) Finish(id string, attempt int, r TaskResult, now time.Time) {
	t := e.find(id, attempt)
	if t == nil {
		return
	}
	switch r.State {
	case workload.Throttled:
		e.throttle(t, true)
		return
	case workload.Running:
		e.throttle(t, false)
		return
	}
	e.clock = now
	e.observe(t, r)
	n, j, res := t.node, t.job, t.res
	e.unplace(t)
	switch r.State {
	case workload.Finished:
		t.state = taskDone
		j.done++
		e.succeeded(j, n)
	case workload.Failed:
		e.taskFailed(t, n, res, r, now)
	default:
		e.requeue(t)
		e.stopGang(j, "gang_member_gone")
	}
	e.left(t)
	e.enqueue(j)
	e.settle(j)
}

// requeue lets t wait again at once.
func (e *Engine) requeue(t *task) {
	if t.job.ended() {
		t.state = taskDropped
		return
	}
	t.state = taskWaiting
	t.job.pending = append(t.job.pending, int32(t.index))
}

// taskFailed decides what follows a failure of t on n.
func (e *Engine) taskFailed(t *task, n *node, held machine.Resources, r TaskResult, now time.Time) {
	j := t.job
	t.avoid = n
	small := outgrown(held, r.Used, j.spec.Resources)
	if !small {
		e.blame(t, n, r.WorkerFault, now)
	}
	if j.ended() {
		t.state = taskDropped
		return
	}
	if small {
		// The task failed at the edge of its learned size; that is the estimate's
		// fault, and it runs with the declared size from now on.
		j.declared = true
		e.dequeue(j)
	} else if !r.WorkerFault {
		t.failures++
		j.failures++
		if j.failedOn == nil {
			j.failedOn = make(map[string]bool)
		}
		if j.failedOn[n.ID] = true; len(j.failedOn) == failsElsewhere {
			e.exonerate(j)
		}
	}
	if t.failures > j.spec.Retries {
		t.state = taskFailed
		j.failed++
		j.reason = "retries_exhausted"
		return
	}
	j.reason = "task_failed"
	e.delay(t, now.Add(e.jitter(e.cfg.BackoffBase, e.cfg.BackoffMax, max(t.failures, 1))))
	e.stopGang(j, "gang_member_failed")
}

// outgrown reports whether a task of declared size failed because it was given
// less than that and used all of it.
func outgrown(held, used, declared machine.Resources) bool {
	return held.MemoryMiB < declared.MemoryMiB && used.MemoryMiB*100 >= held.MemoryMiB*95
}

// delay puts t into the backoff queue until at.
func (e *Engine) delay(t *task, at time.Time) {
	t.state, t.since = taskBackoff, at
	t.job.backoff++
	e.backoff.push(t)
}

// jitter returns base doubled n-1 times, at most limit, less up to half of it.
func (e *Engine) jitter(base, limit time.Duration, n int) time.Duration {
	d := limit
	if n < 30 {
		d = min(base<<(n-1), limit)
	}
	return d/2 + time.Duration(e.rng.Int64N(int64(d)/2+1))
}

// settle ends j if nothing is left to do or nothing can succeed any more.
func (e *Engine) settle(j *job) {
	if j.stub {
		return
	}
	if j.ended() {
		if j.placed == 0 && j.tasks != nil {
			e.keep(j)
		}
		return
	}
	switch {
	case j.done == len(j.tasks):
		e.end(j, JobFinished, "finished", "", true)
	case j.failed > 0 && (j.spec.Kind != workload.Batch || j.done+j.failed == len(j.tasks)):
		e.fail(j, "retries_exhausted", "a task failed after its last retry")
	case j.done == 0 && j.failures >= e.cfg.JobFailureLimit && len(j.failedOn) >= 3:
		e.fail(j, "fails_everywhere", "tasks failed on at least three workers and none succeeded")
	}
}

// fail ends j as failed and stops what still runs of it.
func (e *Engine) fail(j *job, reason, detail string) {
	e.end(j, JobFailed, reason, detail, true)
	for _, t := range j.tasks {
		if t.holds() {
			e.stop(t, PreemptStop, "job_failed")
		}
	}
}

// stopGang takes the running rest of a gang off its workers when a member is
// gone, so that the rest starts together again.
func (e *Engine) stopGang(j *job, reason string) {
	if j.spec.Kind != workload.Gang || j.ended() {
		return
	}
	mode := PreemptStop
	if j.spec.Preempt {
		mode = PreemptCheckpoint
	}
	for _, t := range j.tasks {
		if t.state == taskRunning {
			e.stop(t, mode, reason)
		}
	}
}

// stop asks for t to be taken off its worker, once.
func (e *Engine) stop(t *task, m PreemptMode, reason string) {
	if t.stopping {
		return
	}
	t.stopping = true
	e.stops = append(e.stops, StopRequest{Task: t.export(), Node: t.node.ID, Mode: m, Reason: reason})
}
