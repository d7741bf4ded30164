package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// newSpreadCounts returns empty counts of a job's tasks per rack and per zone.
func newSpreadCounts() (map[*rack]int, map[zone.Name]int) {
	return make(map[*rack]int), make(map[zone.Name]int)
}

// findPlaced returns the proposed or running task with the id and the attempt, or nil.
func (e *Engine) findPlaced(id string, attempt int) *task {
	t := e.placedTasks[id]
	if t == nil || t.attempt != attempt {
		return nil
	}
	return t
}

// Commit records that the rack owner confirmed the start of a proposed task. It does
// nothing for a task that is not proposed or has another attempt.
func (e *Engine) Commit(id string, attempt int) {
	t := e.findPlaced(id, attempt)
	if t == nil || t.state != taskProposed {
		return
	}
	t.state, t.consecutiveRejects = taskRunning, 0
	e.stats.Proposed--
	e.stats.Running++
	e.drainRequested = e.drainRequested || e.drainingNodes[t.node]
	if t.job.backoff > 0 { // of a gang, another task failed or was refused before this start was confirmed
		e.stopGang(t.job, "gang_member_failed")
	}
}

// Reject records that the rack owner refused a proposed task, and the reason in
// lower_snake_case. The task waits for a short time that grows with each refusal, so
// that it is not proposed again and again on an outdated view of the worker. This
// does not count against its retries. Reject does nothing for a task that is not
// proposed or has another attempt.
func (e *Engine) Reject(id string, attempt int, reason string, now time.Time) {
	t := e.findPlaced(id, attempt)
	if t == nil || t.state != taskProposed {
		return
	}
	e.stats.Rejected[reason]++
	t.avoidNode = t.node
	t.consecutiveRejects++
	e.unplace(t)
	j := t.job
	if j.ended() {
		e.dropTask(t)
		return
	}
	j.reason = "rejected_" + reason
	e.delayTask(t, now.Add(e.backoffDelay(e.cfg.RejectBackoffBase, 100*e.cfg.RejectBackoffBase, t.consecutiveRejects)))
	e.stopGang(j, "gang_member_failed")
}

// unplace frees what t holds and sets it to taskWaiting. The caller queues it or sets
// another state.
func (e *Engine) unplace(t *task) {
	if t.state == taskProposed {
		e.stats.Proposed--
	} else {
		e.stats.Running--
	}
	e.releaseResources(t)
	t.state = taskWaiting
}

// dropTask sets t, whose job has ended, to taskDropped, and retains the job if it has
// no placed tasks left.
func (e *Engine) dropTask(t *task) {
	t.state = taskDropped
	if t.job.placed == 0 {
		e.retain(t.job)
	}
}

// Adopt records a running task that a rack owner reported after this job scheduler
// took over. Its job may be submitted before or after. A task that is placed already
// or has ended, that its job does not have, or whose job has ended and has no placed
// tasks, is ignored.
func (e *Engine) Adopt(found workload.Task, nodeID string) {
	j := e.jobs[found.Job]
	if j == nil {
		j = &job{adoptedOnly: true, spec: workload.Job{
			ID: found.Job, Team: found.Team, Kind: found.Kind, Priority: found.Priority, Preemptible: found.Preemptible,
			Resources: found.Resources, RunTime: found.RunTime,
		}}
		j.team = e.teamOf(found.Team)
		e.jobs[found.Job] = j
	}
	index, ok := taskIndex(found.Job, found.ID)
	if !ok || e.placedTasks[found.ID] != nil || (!j.adoptedOnly && index >= len(j.tasks)) || j.tasks == nil && j.ended() {
		return
	}
	j.addTasks(index + 1)
	t := j.tasks[index]
	if t.state == taskFinished || t.state == taskFailed {
		return
	}
	e.dequeue(j)
	if t.state == taskBackoff {
		e.backoff.remove(t)
		j.backoff--
	}
	j.removePending(index)
	n := e.nodes[nodeID]
	if n == nil {
		n = &node{Node: Node{ID: nodeID}}
		n.rack = e.rackOf("", "")
		e.nodes[nodeID] = n
	}
	t.id, t.attempt, t.state, t.expectedRunTime = found.ID, found.Attempt, taskRunning, found.RunTime
	e.placedTasks[found.ID] = t
	e.stats.Running++
	e.holdResources(t, n, found.Resources, e.clock)
	e.drainRequested = e.drainRequested || e.drainingNodes[n]
	e.enqueue(j)
}

// Finish records what became of a proposed or running task. The states Throttled and
// Running only change what it holds; every other state ends this attempt. Failed
// counts against the task's retries, unless the worker is at fault or the task outgrew
// its learned size; after Checkpointed, Stopped and Lost the task waits again. A report
// on an attempt that is not placed is ignored.
func (e *Engine) Finish(id string, attempt int, r TaskResult, now time.Time) {
	t := e.findPlaced(id, attempt)
	if t == nil {
		return
	}
	switch r.State {
	case workload.Throttled:
		e.setThrottled(t, true)
		return
	case workload.Running:
		e.setThrottled(t, false)
		return
	}
	e.clock = now
	e.learnFrom(t, r)
	n, j, res := t.node, t.job, t.held
	e.unplace(t)
	switch r.State {
	case workload.Finished:
		t.state = taskFinished
		j.finished++
		e.recordSuccess(j, n)
	case workload.Failed:
		e.retryOrFailTask(t, n, res, r, now)
	default:
		e.requeue(t)
		e.stopGang(j, "gang_member_gone")
	}
	e.finishMove(t)
	e.enqueue(j)
	e.endIfDecided(j)
}

// requeue makes t a waiting task, without backoff, or drops it if its job has ended.
// The caller enqueues the job.
func (e *Engine) requeue(t *task) {
	if t.job.ended() {
		t.state = taskDropped
		return
	}
	t.state = taskWaiting
	t.job.pending = append(t.job.pending, int32(t.index))
}

// retryOrFailTask records a failure of t on n, where it held the resources held, and
// puts t into backoff, or ends it if it has no retries left or its job has ended.
func (e *Engine) retryOrFailTask(t *task, n *node, held machine.Resources, r TaskResult, now time.Time) {
	j := t.job
	t.avoidNode = n
	outgrew := outgrewLearnedSize(held, r.Used, j.spec.Resources)
	if !outgrew {
		e.recordFailure(t, n, r.WorkerFault, now)
	}
	if j.ended() {
		t.state = taskDropped
		return
	}
	if outgrew {
		// The learned size was too small, so the failure does not count. The job
		// runs with the declared size from now on.
		j.useDeclaredSize = true
		e.dequeue(j)
	} else if !r.WorkerFault {
		t.failures++
		j.failures++
		if j.failedOn == nil {
			j.failedOn = make(map[string]bool)
		}
		if j.failedOn[n.ID] = true; len(j.failedOn) == jobFaultNodes {
			e.withdrawFailures(j)
		}
	}
	if t.failures > j.spec.Retries {
		t.state = taskFailed
		j.failed++
		j.reason = "retries_exhausted"
		return
	}
	j.reason = "task_failed"
	e.delayTask(t, now.Add(e.backoffDelay(e.cfg.BackoffBase, e.cfg.BackoffMax, max(t.failures, 1))))
	e.stopGang(j, "gang_member_failed")
}

// outgrewLearnedSize reports whether a failed task held less memory than declared and
// used at least 95 % of it, and so probably failed for lack of memory.
func outgrewLearnedSize(held, used, declared machine.Resources) bool {
	return held.MemoryMiB < declared.MemoryMiB && used.MemoryMiB*100 >= held.MemoryMiB*95
}

// delayTask puts t into the backoff queue until the given time.
func (e *Engine) delayTask(t *task, until time.Time) {
	t.state, t.stateTime = taskBackoff, until
	t.job.backoff++
	e.backoff.push(t)
}

// backoffDelay returns base doubled attempts-1 times, but at most limit, of which a
// random part of up to a half is taken off.
func (e *Engine) backoffDelay(base, limit time.Duration, attempts int) time.Duration {
	delay := limit
	if attempts < 30 { // the shift does not overflow for a base of up to 34 s
		delay = min(base<<(attempts-1), limit)
	}
	return delay/2 + time.Duration(e.rng.Int64N(int64(delay)/2+1))
}

// endIfDecided ends j if all its tasks have ended or if it can no longer succeed. A
// batch runs its remaining tasks even if one has failed; other jobs do not.
func (e *Engine) endIfDecided(j *job) {
	if j.adoptedOnly {
		return
	}
	if j.ended() {
		if j.placed == 0 && j.tasks != nil {
			e.retain(j)
		}
		return
	}
	switch {
	case j.finished == len(j.tasks):
		e.endJob(j, JobFinished, "finished", "", true)
	case j.failed > 0 && (j.spec.Kind != workload.Batch || j.finished+j.failed == len(j.tasks)):
		e.failJob(j, "retries_exhausted", "a task failed after its last retry")
	case j.finished == 0 && j.failures >= e.cfg.JobFailureLimit && len(j.failedOn) >= 3:
		e.failJob(j, "fails_everywhere", "tasks failed on at least three workers and none succeeded")
	}
}

// failJob ends j as failed and requests the stop of its placed tasks.
func (e *Engine) failJob(j *job, reason, detail string) {
	e.endJob(j, JobFailed, reason, detail, true)
	for _, t := range j.tasks {
		if t.holdsResources() {
			e.requestStop(t, PreemptStop, "job_failed")
		}
	}
}

// stopGang requests the stop of all running tasks of j, if it is a gang, after one of
// its tasks failed, was refused or ended early, so that all tasks that have not
// finished start together again.
func (e *Engine) stopGang(j *job, reason string) {
	if j.spec.Kind != workload.Gang || j.ended() {
		return
	}
	mode := PreemptStop
	if j.spec.Preemptible {
		mode = PreemptCheckpoint
	}
	for _, t := range j.tasks {
		if t.state == taskRunning {
			e.requestStop(t, mode, reason)
		}
	}
}

// requestStop requests that t be taken off its worker, unless that is requested
// already.
func (e *Engine) requestStop(t *task, mode PreemptMode, reason string) {
	if t.stopping {
		return
	}
	t.stopping = true
	e.stopRequests = append(e.stopRequests, StopRequest{Task: t.toWorkload(), Node: t.node.ID, Mode: mode, Reason: reason})
}
