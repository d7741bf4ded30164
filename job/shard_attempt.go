package job

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// attempt is one attempt of a task as the job scheduler knows it, from the proposal of
// the engine to the end. It is guarded by the lock of the shard.
type attempt struct {
	job             *jobState
	task            workload.Task // Attempt is the number sent to rack owners, see shard.nextAttempt
	engineNumber    int           // attempt number of the engine
	node            string
	rack            contract.Key
	preempt         bool             // the rack owner may preempt other tasks to make room
	startSent       bool             // a command that may start the attempt was sent
	engineCommitted bool             // Engine.Commit or Engine.Adopt was called
	running         bool             // the rack owner has confirmed the start
	gang            *gang            // nil if the job is not a gang, and for an adopted attempt
	stopMode        machine.StopMode // of the requested stop; empty if none is requested
}

// decideLoop runs the engine when something has changed, and at least once per second.
func (sh *shard) decideLoop() {
	for sh.ctx.Err() == nil {
		wait := time.Second
		if sh.tenure() {
			wait = sh.decide()
		}
		t := time.NewTimer(wait)
		select {
		case <-sh.wakeDecide:
		case <-t.C:
		case <-sh.ctx.Done():
		}
		t.Stop()
	}
}

// decide passes the proposals of the engine to the rack sessions and returns the pause
// before the next call, at most one second.
func (sh *shard) decide() time.Duration {
	for {
		sh.mu.Lock()
		now := sh.scheduler.cfg.Now()
		proposals := sh.engine.Decide(now, sh.scheduler.cfg.MaxProposals)
		for _, p := range proposals {
			sh.startProposal(p)
		}
		sh.applyEngineOutput()
		next, ok := sh.engine.NextWake()
		sh.mu.Unlock()
		if len(proposals) < sh.scheduler.cfg.MaxProposals {
			if ok {
				return min(max(next.Sub(now), time.Millisecond), time.Second)
			}
			return time.Second
		}
	}
}

// startProposal creates the attempts of a proposal. It queues them in the rack sessions,
// or starts the goroutine of a gang.
func (sh *shard) startProposal(p placement.Proposal) {
	j := sh.jobs[p.Job]
	var g *gang
	if j != nil && j.job.Kind == workload.Gang {
		g = &gang{shard: sh, job: j, changed: make(chan struct{}, 1)}
	}
	for _, assigned := range p.Assignments {
		rack, ok := sh.rackOfNode[assigned.Node]
		if !ok || j == nil || j.final() || sh.attempts[assigned.Task.ID] != nil {
			sh.engine.Reject(assigned.Task.ID, assigned.Task.Attempt, "not_placeable", sh.scheduler.cfg.Now())
			continue
		}
		a := &attempt{
			job: j, task: assigned.Task, engineNumber: assigned.Task.Attempt, node: assigned.Node, rack: rack,
			preempt: assigned.Preempt, gang: g,
		}
		a.task.Attempt = sh.nextAttempt(j, assigned.Task.ID)
		a.task.Shard, a.task.ShardEpoch = string(sh.key), uint64(sh.epoch)
		sh.attempts[assigned.Task.ID], j.attempts[assigned.Task.ID] = a, a
		if g != nil {
			g.attempts = append(g.attempts, a)
			continue
		}
		rs := sh.sessions[rack]
		rs.toPlace = append(rs.toPlace, a)
		notify(rs.wake)
	}
	if g != nil && len(g.attempts) > 0 {
		g.incomplete = len(g.attempts) < len(p.Assignments)
		sh.wg.Go(g.run)
	}
}

// removeAttempt forgets an attempt that has ended or was never started.
func (sh *shard) removeAttempt(a *attempt) {
	delete(sh.attempts, a.task.ID)
	delete(a.job.attempts, a.task.ID)
	if a.gang != nil {
		notify(a.gang.changed)
	}
}

// confirmStart marks a as running after the rack owner has confirmed its start.
func (sh *shard) confirmStart(a *attempt) {
	a.running = true
	if a.gang != nil && !a.engineCommitted {
		notify(a.gang.changed) // gang.awaitStarts commits all members together
		return
	}
	sh.commitToEngine(a)
}

// commitToEngine tells the engine, once, that a runs.
func (sh *shard) commitToEngine(a *attempt) {
	if !a.engineCommitted {
		a.engineCommitted = true
		sh.engine.Commit(a.task.ID, a.engineNumber)
	}
}

// rejectAttempt removes an attempt that was certainly not started, so that the engine can
// place the task again.
func (sh *shard) rejectAttempt(a *attempt, reason string) {
	sh.removeAttempt(a)
	sh.scheduler.counts.inc("rejected", reason)
	if a.engineCommitted {
		sh.engine.Finish(a.task.ID, a.engineNumber, placement.TaskResult{State: workload.Lost}, sh.scheduler.cfg.Now())
	} else {
		sh.engine.Reject(a.task.ID, a.engineNumber, reason, sh.scheduler.cfg.Now())
	}
	sh.afterAttempt(a.job)
}

// endAttempt removes an attempt that has ended on its worker and tells the engine the
// result. The ends that a next owner of the shard must know are queued for the log.
func (sh *shard) endAttempt(a *attempt, r placement.TaskResult) {
	sh.removeAttempt(a)
	sh.scheduler.counts.inc("ended", string(r.State))
	j := a.job
	if r.State == workload.Finished || r.State == workload.Failed {
		_, index, _ := splitTaskID(a.task.ID)
		sh.queueTaskEnd(j, taskEnd{Job: j.job.ID, Task: index, Attempt: a.task.Attempt, State: r.State})
	}
	switch {
	case a.gang != nil && a.gang.abortReason != "" && !a.engineCommitted && r.State != workload.Finished:
		sh.engine.Reject(a.task.ID, a.engineNumber, a.gang.abortReason, sh.scheduler.cfg.Now())
	case j.recovering && r.State == workload.Failed:
		// restoreJob will report the failure to the engine, which counts it against the
		// retries of the job. So that it counts only once, the attempt ends here as stopped.
		r.State = workload.Stopped
		sh.engine.Finish(a.task.ID, a.engineNumber, r, sh.scheduler.cfg.Now())
	default:
		sh.commitToEngine(a)
		sh.engine.Finish(a.task.ID, a.engineNumber, r, sh.scheduler.cfg.Now())
	}
	sh.afterAttempt(j)
}

// afterAttempt runs after an attempt of j was removed. It continues what waits for the last
// attempt of the job to end, which is the restore of a partially started gang or a
// cancellation, and applies the output of the engine.
func (sh *shard) afterAttempt(j *jobState) {
	if len(j.attempts) == 0 {
		switch {
		case j.stoppingPartialGang:
			j.stoppingPartialGang = false
			sh.restoreJob(j)
		case j.cancelRequested && j.inEngine && !j.complete():
			sh.queueJobEnd(j, StateCancelled, "")
		}
	}
	sh.applyEngineOutput()
	notify(sh.wakeDecide)
}

// applyEngineOutput ends the jobs that the engine has given up and queues the stops that it
// requests.
func (sh *shard) applyEngineOutput() {
	for _, e := range sh.engine.TakeEndedJobs() {
		j := sh.jobs[e.Job]
		if j == nil {
			continue
		}
		switch e.State {
		case placement.JobFailed:
			sh.queueJobEnd(j, StateFailed, e.Reason)
		case placement.JobImpossible:
			sh.queueJobEnd(j, StateImpossible, e.Reason)
		}
	}
	for _, s := range sh.engine.TakeStopRequests() {
		a := sh.attempts[s.Task.ID]
		if a != nil && a.engineNumber == s.Task.Attempt {
			sh.stopAttempt(a, machine.StopMode(s.Mode))
		}
	}
}

// stopAttempt queues the stop of a at its rack owner. An attempt that was not sent yet is
// rejected instead.
func (sh *shard) stopAttempt(a *attempt, mode machine.StopMode) {
	a.stopMode = mode
	rs := sh.sessions[a.rack]
	if rs == nil {
		return
	}
	if !a.startSent && a.gang == nil {
		for i, queued := range rs.toPlace {
			if queued == a {
				rs.toPlace = append(rs.toPlace[:i:i], rs.toPlace[i+1:]...)
				sh.rejectAttempt(a, "stopped")
				return
			}
		}
	}
	rs.toStop = append(rs.toStop, a)
	notify(rs.wake)
}

// cancelJob stops all tasks of a job. The job is final when the last task has ended.
func (sh *shard) cancelJob(j *jobState) {
	if j.final() {
		return
	}
	j.cancelRequested, j.state = true, StateCancelling
	if j.inEngine {
		sh.engine.Cancel(j.job.ID, sh.scheduler.cfg.Now())
	}
	attempts := make([]*attempt, 0, len(j.attempts))
	for _, a := range j.attempts {
		attempts = append(attempts, a)
	}
	for _, a := range attempts {
		if a.gang != nil && !a.engineCommitted {
			a.gang.abortReason = "cancelled"
			notify(a.gang.changed)
		}
		sh.stopAttempt(a, machine.ModeStop)
	}
	if j.inEngine && len(j.attempts) == 0 && !j.complete() {
		sh.queueJobEnd(j, StateCancelled, "")
	}
}

// queueTaskEnd queues the end of an attempt for the jobs stream, unless it is known already.
func (sh *shard) queueTaskEnd(j *jobState, e taskEnd) {
	if j.addEnd(e) {
		sh.unrecordedTaskEnds[e.key()] = e
		notify(sh.wakeEndWriter)
	}
}

// writeEndsLoop appends the ends of tasks and jobs in batches. A repeated end has no
// effect, so an append whose outcome is unknown is repeated.
func (sh *shard) writeEndsLoop() {
	const maxEndsPerAppend = 500
	for sh.ctx.Err() == nil {
		sh.mu.Lock()
		taskEnds := record{Shard: string(sh.key)}
		for _, e := range sh.unrecordedTaskEnds {
			if len(taskEnds.Ends) < maxEndsPerAppend {
				taskEnds.Ends = append(taskEnds.Ends, e)
			}
		}
		jobEnds := sh.unrecordedJobEnds
		if len(jobEnds) > maxEndsPerAppend {
			jobEnds = jobEnds[:maxEndsPerAppend]
		}
		sh.mu.Unlock()
		if len(taskEnds.Ends)+len(jobEnds) == 0 {
			select {
			case <-sh.wakeEndWriter:
			case <-sh.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithTimeout(sh.ctx, 10*time.Second)
		err := sh.appendEnds(ctx, taskEnds, jobEnds)
		cancel()
		if err != nil {
			pause.For(sh.ctx, sh.scheduler.cfg.RetryPause)
			continue
		}
		sh.mu.Lock()
		sh.unrecordedJobEnds = sh.unrecordedJobEnds[len(jobEnds):]
		sh.mu.Unlock()
	}
}

// appendEnds appends the record of task ends, unless it is empty, then the records of job
// ends, and returns when all have been read back.
func (sh *shard) appendEnds(ctx context.Context, taskEnds record, jobEnds []record) error {
	if len(taskEnds.Ends) > 0 {
		if err := sh.journal.append(ctx, recordTaskEnds, taskEnds); err != nil {
			return err
		}
	}
	return sh.journal.appendAll(ctx, recordJobEnd, jobEnds)
}

// applyEvent applies the state of one attempt that a rack owner has reported. settled means
// that the rack owner may forget the attempt. stop means that it must stop the attempt,
// because the job scheduler does not know it.
func (sh *shard) applyEvent(e *rpc.TaskEvent) (settled, stop bool) {
	a := sh.attempts[e.GetTask()]
	if a != nil && (a.task.Attempt != int(e.GetAttempt()) || a.node != e.GetNode()) {
		a = nil
	}
	state := workload.TaskState(e.GetState())
	switch {
	case e.GetState() == attemptPending || e.GetState() == attemptReserved:
		return false, false
	case e.GetState() == attemptNotStarted:
		if a != nil {
			sh.rejectAttempt(a, e.GetReason())
		}
		return true, false
	case state.HoldsResources():
		if a == nil {
			job, _, _ := splitTaskID(e.GetTask())
			j := sh.jobs[job]
			return false, j == nil || !j.recovering
		}
		sh.confirmStart(a)
		if a.engineCommitted {
			// Running and Throttled do not end the attempt, they only change what it holds.
			sh.engine.Finish(a.task.ID, a.engineNumber, placement.TaskResult{State: state}, sh.scheduler.cfg.Now())
		}
		return false, false
	case a != nil:
		sh.endAttempt(a, toResult(e))
	default:
		sh.recordEndOfPredecessor(e)
	}
	job, index, _ := splitTaskID(e.GetTask())
	_, unrecorded := sh.unrecordedTaskEnds[endKey{job, index, int(e.GetAttempt())}]
	return !unrecorded, false
}

// recordEndOfPredecessor records the end of an attempt that a previous owner of the shard
// has started.
func (sh *shard) recordEndOfPredecessor(e *rpc.TaskEvent) {
	job, index, ok := splitTaskID(e.GetTask())
	j := sh.jobs[job]
	state := workload.TaskState(e.GetState())
	if !ok || j == nil || !j.recovering || state != workload.Finished && state != workload.Failed {
		return
	}
	sh.queueTaskEnd(j, taskEnd{Job: job, Task: index, Attempt: int(e.GetAttempt()), State: state})
	notify(sh.wakeDecide)
}
