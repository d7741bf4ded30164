package job

import (
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// markRecovering marks the open jobs whose tasks a previous owner of the shard may have
// started. The engine gets them when every rack has listed the attempts that it holds.
func (sh *shard) markRecovering() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, j := range sh.jobs {
		if !j.final() && !j.inEngine {
			j.recovering = true
			sh.updateTeam(j.job.Team)
		}
	}
}

// adoptAttempt takes over an attempt that a rack holds. An attempt that is neither
// pending nor running, belongs to no recovering job or has a task that is adopted already is
// applied like a reported event; if the event requires a stop, the stop is queued.
func (sh *shard) adoptAttempt(rs *rackSession, e *rpc.TaskEvent) {
	task := fromTaskSpec(e.GetSpec(), string(sh.key))
	j := sh.jobs[task.Job]
	holds := e.GetState() == attemptPending || workload.TaskState(e.GetState()).HoldsResources()
	if !holds || j == nil || !j.recovering || sh.attempts[task.ID] != nil {
		if _, stop := sh.applyEvent(e); stop {
			sh.scheduler.counts.inc("adopted", "unwanted")
			rs.toStop = append(rs.toStop, &attempt{
				job: j, task: task, node: e.GetNode(), rack: rs.rack, stopMode: machine.ModeStop,
			})
		}
		return
	}
	a := &attempt{
		job: j, task: task, engineNumber: task.Attempt & (1<<attemptBits - 1), node: e.GetNode(), rack: rs.rack,
		startSent: true, engineCommitted: true, running: e.GetState() != attemptPending,
	}
	sh.attempts[task.ID], j.attempts[task.ID] = a, a
	engineTask := task
	engineTask.Attempt = a.engineNumber
	sh.engine.Adopt(engineTask, a.node)
	sh.scheduler.counts.inc("adopted", "running")
	if j.cancelRequested {
		sh.stopAttempt(a, machine.ModeStop)
	}
}

// tryFinishRecovery restores the jobs of previous owners once the tasks of every worker of
// the region are known or have certainly ended. It waits for a rack that does not answer,
// because its owner may still renew the leases of running tasks.
func (sh *shard) tryFinishRecovery() {
	if sh.recovered {
		return
	}
	for _, rs := range sh.sessions {
		if rs.unknownNodes == nil || len(rs.unknownNodes) > 0 {
			return
		}
	}
	sh.recovered = true
	for _, j := range sh.jobs {
		if !j.recovering {
			continue
		}
		if j.job.Kind == workload.Gang && !j.cancelRequested && len(j.attempts) > 0 &&
			len(j.attempts)+j.finishedTasks < j.job.Count {
			// The previous owner died after it had started only some tasks of the gang.
			j.stoppingPartialGang = true
			for _, a := range j.attempts {
				sh.stopAttempt(a, machine.ModeStop)
			}
			continue
		}
		sh.restoreJob(j)
	}
	sh.scheduler.cfg.Logger.Info().Str("event", "shard_recovered").Str("shard", string(sh.key)).
		Int("jobs", len(sh.jobs)).Send()
}

// restoreJob hands a recovering job to the engine. The tasks that run were adopted before;
// the engine is told the recorded ends and plans the tasks that are missing.
func (sh *shard) restoreJob(j *jobState) {
	j.recovering = false
	if j.final() {
		return
	}
	sh.submitToEngine(j)
	now := sh.scheduler.cfg.Now()
	for _, e := range j.ends {
		t := workload.Task{
			ID: workload.TaskID(j.job.ID, e.Task), Attempt: e.Attempt & (1<<attemptBits - 1), Job: j.job.ID, Team: j.job.Team,
			Kind: j.job.Kind, Priority: j.job.Priority, Resources: j.job.Resources, RunTime: j.job.RunTime,
		}
		// The engine knows a task that runs already, and the failures of a task that has
		// finished do not matter any more.
		if sh.attempts[t.ID] != nil || e.State == workload.Failed && j.finishedIndexes[e.Task] {
			continue
		}
		// Finish takes only a task that the engine has placed, so the task is first placed
		// on a worker without an id.
		sh.engine.Adopt(t, "")
		sh.engine.Finish(t.ID, t.Attempt, placement.TaskResult{State: e.State, WorkerFault: false}, now)
	}
	sh.engine.RemoveNode("")
	sh.endIfComplete(j)
	if j.cancelRequested {
		sh.cancelJob(j)
	}
	sh.applyEngineOutput()
	notify(sh.wakeDecide)
}
