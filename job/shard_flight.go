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

// flight is one attempt of a task between its proposal and its end. It is
// guarded by the lock of the shard.
type flight struct {
	job           *jobState
	task          workload.Task // with the attempt number of the wire
	engineAttempt int
	node          string
	rack          contract.Key
	preempt       bool
	sent          bool // a command that may start it was sent
	committed     bool // the engine knows that it runs
	running       bool // the rack owner has confirmed the start
	gang          *gang
	stopMode      machine.StopMode
}

// decideLoop runs the engine whenever something changed.
func (sh *shard) decideLoop() {
	for sh.ctx.Err() == nil {
		wait := time.Second
		if sh.tenure() {
			wait = sh.decide()
		}
		t := time.NewTimer(wait)
		select {
		case <-sh.kick:
		case <-t.C:
		case <-sh.ctx.Done():
		}
		t.Stop()
	}
}

// decide sends out the proposals of the engine and returns the time until the
// engine has more work.
func (sh *shard) decide() time.Duration {
	for {
		sh.mu.Lock()
		now := sh.s.cfg.Now()
		proposals := sh.engine.Decide(now, sh.s.cfg.MaxProposals)
		for _, p := range proposals {
			sh.launch(p)
		}
		sh.afterEngine()
		at, ok := sh.engine.NextWake()
		sh.mu.Unlock()
		if len(proposals) < sh.s.cfg.MaxProposals {
			if ok {
				return min(max(at.Sub(now), time.Millisecond), time.Second)
			}
			return time.Second
		}
	}
}

// launch turns a proposal into flights and hands them to the rack sessions.
func (sh *shard) launch(p placement.Proposal) {
	j := sh.jobs[p.Job]
	var g *gang
	if j != nil && j.job.Kind == workload.Gang {
		g = &gang{sh: sh, job: j, changed: make(chan struct{}, 1)}
	}
	for _, a := range p.Assignments {
		rack, ok := sh.nodes[a.Node]
		if !ok || j == nil || j.final() || sh.flights[a.Task.ID] != nil {
			sh.engine.Reject(a.Task.ID, a.Task.Attempt, "not_placeable", sh.s.cfg.Now())
			continue
		}
		f := &flight{job: j, task: a.Task, engineAttempt: a.Task.Attempt, node: a.Node, rack: rack, preempt: a.Preempt, gang: g}
		f.task.Attempt = sh.attempt(j, a.Task.ID)
		f.task.Shard, f.task.ShardEpoch = string(sh.key), uint64(sh.epoch)
		sh.flights[a.Task.ID], j.flights[a.Task.ID] = f, f
		if g != nil {
			g.flights = append(g.flights, f)
			continue
		}
		rs := sh.racks[rack]
		rs.places = append(rs.places, f)
		wake(rs.kick)
	}
	if g != nil && len(g.flights) > 0 {
		g.partial = len(g.flights) < len(p.Assignments)
		sh.wg.Go(g.run)
	}
}

func (sh *shard) drop(f *flight) {
	delete(sh.flights, f.task.ID)
	delete(f.job.flights, f.task.ID)
	if f.gang != nil {
		wake(f.gang.changed)
	}
}

// confirm notes that the rack owner has started f.
func (sh *shard) confirm(f *flight) {
	f.running = true
	if f.gang != nil && !f.committed {
		wake(f.gang.changed) // a gang is committed as a whole
		return
	}
	sh.commit(f)
}

func (sh *shard) commit(f *flight) {
	if !f.committed {
		f.committed = true
		sh.engine.Commit(f.task.ID, f.engineAttempt)
	}
}

// reject notes that f was certainly not started.
func (sh *shard) reject(f *flight, reason string) {
	sh.drop(f)
	sh.s.counts.inc("rejected", reason)
	if f.committed {
		sh.engine.Finish(f.task.ID, f.engineAttempt, placement.TaskResult{State: workload.Lost}, sh.s.cfg.Now())
	} else {
		sh.engine.Reject(f.task.ID, f.engineAttempt, reason, sh.s.cfg.Now())
	}
	sh.afterFlight(f.job)
}

// end notes that f has ended on its worker.
func (sh *shard) end(f *flight, r placement.TaskResult) {
	sh.drop(f)
	sh.s.counts.inc("ended", string(r.State))
	j := f.job
	if r.State == workload.Finished || r.State == workload.Failed {
		_, index, _ := taskIndex(f.task.ID)
		sh.recordEnd(j, taskEnd{Job: j.job.ID, Task: index, Attempt: f.task.Attempt, State: r.State})
	}
	switch {
	case f.gang != nil && f.gang.failed != "" && !f.committed && r.State != workload.Finished:
		sh.engine.Reject(f.task.ID, f.engineAttempt, f.gang.failed, sh.s.cfg.Now())
	case j.recovering && r.State == workload.Failed:
		// The retries of the job are counted when it is restored.
		r.State = workload.Stopped
		sh.engine.Finish(f.task.ID, f.engineAttempt, r, sh.s.cfg.Now())
	default:
		sh.commit(f)
		sh.engine.Finish(f.task.ID, f.engineAttempt, r, sh.s.cfg.Now())
	}
	sh.afterFlight(j)
}

// afterFlight settles what waited for the last flight of a job.
func (sh *shard) afterFlight(j *jobState) {
	if len(j.flights) == 0 {
		switch {
		case j.regrouping:
			j.regrouping = false
			sh.restore(j)
		case j.cancel && j.submitted && !j.complete():
			sh.endJob(j, StateCancelled, "")
		}
	}
	sh.afterEngine()
	wake(sh.kick)
}

// afterEngine carries out what the engine asks for besides proposals.
func (sh *shard) afterEngine() {
	for _, e := range sh.engine.TakeEndedJobs() {
		j := sh.jobs[e.Job]
		if j == nil {
			continue
		}
		switch e.State {
		case placement.JobFailed:
			sh.endJob(j, StateFailed, e.Reason)
		case placement.JobImpossible:
			sh.endJob(j, StateImpossible, e.Reason)
		}
	}
	for _, s := range sh.engine.TakeStopRequests() {
		f := sh.flights[s.Task.ID]
		if f != nil && f.engineAttempt == s.Task.Attempt {
			sh.stop(f, machine.StopMode(s.Mode))
		}
	}
}

// stop asks the rack owner to end f.
func (sh *shard) stop(f *flight, mode machine.StopMode) {
	f.stopMode = mode
	rs := sh.racks[f.rack]
	if rs == nil {
		return
	}
	if !f.sent && f.gang == nil {
		for i, p := range rs.places {
			if p == f {
				rs.places = append(rs.places[:i:i], rs.places[i+1:]...)
				sh.reject(f, "stopped")
				return
			}
		}
	}
	rs.stops = append(rs.stops, f)
	wake(rs.kick)
}

// cancelJob stops all tasks of a job. It is final when the last one has ended.
func (sh *shard) cancelJob(j *jobState) {
	if j.final() {
		return
	}
	j.cancel, j.state = true, StateCancelling
	if j.submitted {
		sh.engine.Cancel(j.job.ID, sh.s.cfg.Now())
	}
	flights := make([]*flight, 0, len(j.flights))
	for _, f := range j.flights {
		flights = append(flights, f)
	}
	for _, f := range flights {
		if f.gang != nil && !f.committed {
			f.gang.failed = "cancelled"
			wake(f.gang.changed)
		}
		sh.stop(f, machine.ModeStop)
	}
	if j.submitted && len(j.flights) == 0 && !j.complete() {
		sh.endJob(j, StateCancelled, "")
	}
}

// recordEnd queues an end for the log.
func (sh *shard) recordEnd(j *jobState, e taskEnd) {
	if j.addEnd(e) {
		sh.unrecorded[e.key()] = e
		wake(sh.flush)
	}
}

// writeEnds appends ends of tasks and jobs in batches. Repeating them is
// harmless, so an unknown outcome is settled by appending again.
func (sh *shard) writeEnds() {
	const perRecord = 500
	for sh.ctx.Err() == nil {
		sh.mu.Lock()
		r := record{Shard: string(sh.key)}
		for _, e := range sh.unrecorded {
			if len(r.Ends) < perRecord {
				r.Ends = append(r.Ends, e)
			}
		}
		ends := sh.jobEnds
		if len(ends) > perRecord {
			ends = ends[:perRecord]
		}
		sh.mu.Unlock()
		if len(r.Ends)+len(ends) == 0 {
			select {
			case <-sh.flush:
			case <-sh.ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithTimeout(sh.ctx, 10*time.Second)
		err := sh.appendEnds(ctx, r, ends)
		cancel()
		if err != nil {
			pause.For(sh.ctx, sh.s.cfg.RetryPause)
			continue
		}
		sh.mu.Lock()
		sh.jobEnds = sh.jobEnds[len(ends):]
		sh.mu.Unlock()
	}
}

func (sh *shard) appendEnds(ctx context.Context, r record, ends []record) error {
	if len(r.Ends) > 0 {
		if err := sh.journal.append(ctx, recordEnds, r); err != nil {
			return err
		}
	}
	return sh.journal.appendAll(ctx, recordEnd, ends)
}

// event applies the news of one attempt. settled means that the rack owner may
// forget it, stop that nobody wants the attempt.
func (sh *shard) event(e *rpc.TaskEvent) (settled, stop bool) {
	f := sh.flights[e.GetTask()]
	if f != nil && (f.task.Attempt != int(e.GetAttempt()) || f.node != e.GetNode()) {
		f = nil
	}
	state := workload.TaskState(e.GetState())
	switch {
	case e.GetState() == statePending || e.GetState() == stateReserved:
		return false, false
	case e.GetState() == stateNotStarted:
		if f != nil {
			sh.reject(f, e.GetReason())
		}
		return true, false
	case state.HoldsResources():
		if f == nil {
			job, _, _ := taskIndex(e.GetTask())
			j := sh.jobs[job]
			return false, j == nil || !j.recovering
		}
		sh.confirm(f)
		if f.committed {
			sh.engine.Finish(f.task.ID, f.engineAttempt, placement.TaskResult{State: state}, sh.s.cfg.Now())
		}
		return false, false
	case f != nil:
		sh.end(f, result(e))
	default:
		sh.strayEnd(e)
	}
	job, index, _ := taskIndex(e.GetTask())
	_, open := sh.unrecorded[endKey{job, index, int(e.GetAttempt())}]
	return !open, false
}

// strayEnd records the end of an attempt that ran under a predecessor.
func (sh *shard) strayEnd(e *rpc.TaskEvent) {
	job, index, ok := taskIndex(e.GetTask())
	j := sh.jobs[job]
	state := workload.TaskState(e.GetState())
	if !ok || j == nil || !j.recovering || state != workload.Finished && state != workload.Failed {
		return
	}
	sh.recordEnd(j, taskEnd{Job: job, Task: index, Attempt: int(e.GetAttempt()), State: state})
	wake(sh.kick)
}
