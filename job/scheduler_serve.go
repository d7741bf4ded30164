package job

import (
	"context"
	"encoding/json"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// SubmitJob implements rpc.DRPCJobSchedulerServer. It answers when the record of the job
// has been read back. Submitting the same job again has no effect.
func (s *Scheduler) SubmitJob(ctx context.Context, req *rpc.SubmitJobRequest) (*rpc.JobStatusReply, error) {
	sh, err := s.shard(req.GetShard())
	if err != nil {
		return nil, toWire(err)
	}
	var j workload.Job
	if err := json.Unmarshal(req.GetJob(), &j); err != nil {
		return nil, toWire(errkind.Wrap(errkind.BadInput, "job_invalid", err))
	}
	if err := sh.acceptJob(ctx, j, false); err != nil {
		s.counts.inc("submit_refused", errkind.ReasonOf(err))
		s.cfg.Logger.Info().Str("event", "job_refused").Str("job", j.ID).Str("team", j.Team).
			Str("reason", errkind.ReasonOf(err)).Err(err).Send()
		return nil, toWire(err)
	}
	return sh.status(j.ID)
}

// acceptJob checks a job, appends its record and returns when the record has been read
// back. A job that is known already is not recorded again. managed marks a job of the
// configuration.
func (sh *shard) acceptJob(ctx context.Context, j workload.Job, managed bool) error {
	if err := j.Validate(); err != nil {
		return err
	}
	team, ok := sh.scheduler.cfg.Intentions.Team(j.Team)
	if !ok {
		// The entry daemon knows the team, so this daemon has not read the newest configuration yet.
		return errkind.New(errkind.NotReady, "team_not_yet_known",
			"team %s is not in the configuration of its job scheduler yet", j.Team)
	}
	if want := ShardOf(team.Home, j.Team, sh.scheduler.cfg.Shards); want != sh.key {
		return errkind.New(errkind.NotOwner, "other_shard", "team %s belongs to job shard %s", j.Team, want)
	}
	known, err := sh.checkAdmission(j)
	if known || err != nil {
		return err
	}
	err = sh.journal.append(ctx, recordJobAccepted, record{
		Shard: string(sh.key), Job: &j, ID: j.ID, Managed: managed, Time: sh.scheduler.cfg.Now(),
	})
	if err != nil {
		return err
	}
	// A concurrent submit of the same id may have come first.
	if _, err = sh.checkAdmission(j); err != nil {
		return err
	}
	sh.scheduler.cfg.Logger.Info().Str("event", "job_accepted").Str("job", j.ID).Str("team", j.Team).
		Bool("managed", managed).Send()
	return nil
}

// checkAdmission reports whether the job is known already. It returns an error for a job
// that the placement policy refuses, and for one whose id belongs to a different job.
func (sh *shard) checkAdmission(j workload.Job) (known bool, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if old := sh.jobs[j.ID]; old != nil {
		a, _ := json.Marshal(old.job)
		b, _ := json.Marshal(j)
		if string(a) != string(b) {
			return true, errkind.New(errkind.Conflict, "job_id_in_use", "job %s exists with different values", j.ID)
		}
		return true, nil
	}
	// The engine has no check without effect, so a copy of the job with an unused id is
	// submitted and cancelled.
	sh.updateTeam(j.Team)
	probe := j
	probe.ID = "probe"
	now := sh.scheduler.cfg.Now()
	for sh.jobs[probe.ID] != nil {
		probe.ID += "~"
	}
	sh.admissionChecks++
	probe.ID = workload.TaskID(probe.ID, sh.admissionChecks)
	if err := sh.engine.Submit(probe, now); err != nil {
		return false, err
	}
	sh.engine.Cancel(probe.ID, now)
	return false, nil
}

// CancelJob implements rpc.DRPCJobSchedulerServer. It answers when the record of the
// cancellation has been read back; the tasks end afterwards.
func (s *Scheduler) CancelJob(ctx context.Context, req *rpc.JobRequest) (*rpc.JobStatusReply, error) {
	sh, err := s.shard(req.GetShard())
	if err != nil {
		return nil, toWire(err)
	}
	sh.mu.Lock()
	j := sh.jobs[req.GetJob()]
	open := j != nil && j.state == StateAccepted
	sh.mu.Unlock()
	if open {
		err := sh.journal.append(ctx, recordJobCancel, record{Shard: string(sh.key), ID: req.GetJob(), Time: s.cfg.Now()})
		if err != nil {
			return nil, toWire(err)
		}
	}
	return sh.status(req.GetJob())
}

// JobStatus implements rpc.DRPCJobSchedulerServer.
func (s *Scheduler) JobStatus(_ context.Context, req *rpc.JobRequest) (*rpc.JobStatusReply, error) {
	sh, err := s.shard(req.GetShard())
	if err != nil {
		return nil, toWire(err)
	}
	return sh.status(req.GetJob())
}

// status returns the status of a job, which may be a refused job of the configuration.
func (sh *shard) status(id string) (*rpc.JobStatusReply, error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j := sh.jobs[id]
	if r := sh.refusals[id]; j == nil && r != nil {
		return r.status(), nil
	}
	if j == nil {
		return nil, toWire(errkind.New(errkind.NotFound, "unknown_job", "job %s is not known", id))
	}
	reply := &rpc.JobStatusReply{
		Job: id, State: j.state, Reason: j.reason,
		Running: int32(j.runningTasks()), Finished: int32(j.finishedTasks), Failed: int32(j.failedAttempts),
	}
	if !j.final() {
		reply.Waiting = int32(j.job.Count) - reply.Running - reply.Finished
	}
	return reply, nil
}

// ExplainJob implements rpc.DRPCJobSchedulerServer.
func (s *Scheduler) ExplainJob(_ context.Context, req *rpc.JobRequest) (*rpc.ExplainReply, error) {
	sh, err := s.shard(req.GetShard())
	if err != nil {
		return nil, toWire(err)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j := sh.jobs[req.GetJob()]
	if r := sh.refusals[req.GetJob()]; j == nil && r != nil {
		return r.explain()
	}
	if j == nil {
		return nil, toWire(errkind.New(errkind.NotFound, "unknown_job", "job %s is not known", req.GetJob()))
	}
	if j.recovering {
		return nil, toWire(errkind.New(errkind.NotReady, "shard_recovering",
			"job %s waits until its job shard has recovered", j.job.ID))
	}
	x, _ := sh.engine.Explain(j.job.ID)
	data, err := json.Marshal(x)
	if err != nil {
		return nil, toWire(errkind.Wrap(errkind.InternalFailure, "encode", err))
	}
	return &rpc.ExplainReply{Job: j.job.ID, Explanation: data}, nil
}

// Report implements rpc.DRPCJobSchedulerServer. It accepts reports of the adopted rack
// owner only, so that an earlier owner of the rack changes nothing.
func (s *Scheduler) Report(_ context.Context, req *rpc.ReportRequest) (*rpc.ReportReply, error) {
	sh, err := s.shard(req.GetShard())
	if err != nil {
		return nil, toWire(err)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	rs := sh.sessions[contract.Key(req.GetRack())]
	if rs == nil || rs.rackEpoch == 0 || rs.rackEpoch != req.GetRackEpoch() {
		return nil, toWire(errkind.New(errkind.NotReady, "rack_not_adopted", "rack %s is not adopted", req.GetRack()))
	}
	rs.revision = max(rs.revision, req.GetRevision())
	for _, n := range req.GetNodes() {
		rs.updateNode(n)
	}
	reply := &rpc.ReportReply{}
	for _, e := range req.GetEvents() {
		settled, stop := sh.applyEvent(e)
		ref := &rpc.TaskEvent{Task: e.GetTask(), Attempt: e.GetAttempt(), Node: e.GetNode()}
		if settled {
			reply.Settled = append(reply.Settled, ref)
		}
		if stop {
			reply.Stop = append(reply.Stop, ref)
		}
	}
	notify(sh.wakeDecide)
	return reply, nil
}
