package job

import (
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// folded marks the jobs that a predecessor may have placed. Their missing tasks
// wait until every rack has told what it holds.
func (sh *shard) folded() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, j := range sh.jobs {
		if !j.final() && !j.submitted {
			j.recovering = true
			sh.setTeam(j.job.Team)
		}
	}
}

// found takes over an attempt that a rack holds.
func (sh *shard) found(rs *rackSession, e *rpc.TaskEvent) {
	task := fromSpec(e.GetSpec(), string(sh.key))
	j := sh.jobs[task.Job]
	holds := e.GetState() == statePending || workload.TaskState(e.GetState()).HoldsResources()
	if !holds || j == nil || !j.recovering || sh.flights[task.ID] != nil {
		if _, stop := sh.event(e); stop {
			sh.s.counts.inc("adopted", "unwanted")
			rs.stops = append(rs.stops, &flight{job: j, task: task, node: e.GetNode(), rack: rs.key, stopMode: machine.ModeStop})
		}
		return
	}
	f := &flight{
		job: j, task: task, engineAttempt: task.Attempt & (1<<attemptBits - 1), node: e.GetNode(), rack: rs.key,
		sent: true, committed: true, running: e.GetState() != statePending,
	}
	sh.flights[task.ID], j.flights[task.ID] = f, f
	known := task
	known.Attempt = f.engineAttempt
	sh.engine.Adopt(known, f.node)
	sh.s.counts.inc("adopted", "running")
	if j.cancel {
		sh.stop(f, machine.ModeStop)
	}
}

// checkRecovered restores the jobs of the predecessor once the tasks of every
// worker of the region are known or have certainly ended. A rack that does not
// answer is waited for: its owner may be renewing leases.
func (sh *shard) checkRecovered() {
	if sh.recovered {
		return
	}
	for _, rs := range sh.racks {
		if rs.unsettled == nil || len(rs.unsettled) > 0 {
			return
		}
	}
	sh.recovered = true
	for _, j := range sh.jobs {
		if !j.recovering {
			continue
		}
		if j.job.Kind == workload.Gang && !j.cancel && len(j.flights) > 0 && len(j.flights)+j.done < j.job.Count {
			// The predecessor died between the starts of a gang.
			j.regrouping = true
			for _, f := range j.flights {
				sh.stop(f, machine.ModeStop)
			}
			continue
		}
		sh.restore(j)
	}
	sh.s.cfg.Logger.Info().Str("event", "shard_recovered").Str("shard", string(sh.key)).Int("jobs", len(sh.jobs)).Send()
}

// restore lets the engine plan what is missing of a job.
func (sh *shard) restore(j *jobState) {
	j.recovering = false
	if j.final() {
		return
	}
	sh.submit(j)
	now := sh.s.cfg.Now()
	for _, e := range j.ends {
		t := workload.Task{
			ID: workload.TaskID(j.job.ID, e.Task), Attempt: e.Attempt & (1<<attemptBits - 1), Job: j.job.ID, Team: j.job.Team,
			Kind: j.job.Kind, Priority: j.job.Priority, Resources: j.job.Resources, RunTime: j.job.RunTime,
		}
		if sh.flights[t.ID] != nil || e.State == workload.Failed && j.finished[e.Task] {
			continue
		}
		sh.engine.Adopt(t, "")
		sh.engine.Finish(t.ID, t.Attempt, placement.TaskResult{State: e.State, WorkerFault: false}, now)
	}
	sh.engine.RemoveNode("")
	sh.checkFinished(j)
	if j.cancel {
		sh.cancelJob(j)
	}
	sh.afterEngine()
	wake(sh.kick)
}
