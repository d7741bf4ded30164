package job

import (
	"context"
	"encoding/json"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// SubmitJob implements rpc.DRPCJobSchedulerServer. It answers when the record of
// the job was read back. It is idempotent on the job id.
func (s *Scheduler) SubmitJob(ctx context.Context, req *rpc.SubmitJobRequest) (*rpc.JobStatusReply, error) {
	sh, err := s.shard(req.GetShard())
	if err != nil {
		return nil, toWire(err)
	}
	var j workload.Job
	if err := json.Unmarshal(req.GetJob(), &j); err != nil {
		return nil, toWire(errkind.Wrap(errkind.BadInput, "job_invalid", err))
	}
	if err := sh.accept(ctx, j, false); err != nil {
		s.counts.inc("submit_refused", errkind.ReasonOf(err))
		s.cfg.Logger.Info().Str("event", "job_refused").Str("job", j.ID).Str("team", j.Team).Str("reason", errkind.ReasonOf(err)).Err(err).Send()
		return nil, toWire(err)
	}
	return sh.status(j.ID)
}

// accept checks a job, records it and returns when it was read back.
func (sh *shard) accept(ctx context.Context, j workload.Job, managed bool) error {
	if err := j.Validate(); err != nil {
		return err
	}
	team, ok := sh.s.cfg.Intentions.Team(j.Team)
	if !ok {
		// The entry knows the team, so this daemon has not read the newest configuration yet.
		return errkind.New(errkind.NotReady, "team_not_yet_known", "team %s is not in the configuration of its job scheduler yet", j.Team)
	}
	if want := ShardOf(team.Home, j.Team, sh.s.cfg.Shards); want != sh.key {
		return errkind.New(errkind.NotOwner, "other_shard", "team %s belongs to %s", j.Team, want)
	}
	known, err := sh.check(j)
	if known || err != nil {
		return err
	}
	err = sh.journal.append(ctx, recordAccepted, record{
		Shard: string(sh.key), Job: &j, ID: j.ID, Managed: managed, Time: sh.s.cfg.Now(),
	})
	if err != nil {
		return err
	}
	// A concurrent submit of the same id may have come first.
	if _, err = sh.check(j); err != nil {
		return err
	}
	sh.s.cfg.Logger.Info().Str("event", "job_accepted").Str("job", j.ID).Str("team", j.Team).Bool("managed", managed).Send()
	return nil
}

// check reports whether the job is known, and refuses one that the policy
// refuses or whose id is used by another job.
func (sh *shard) check(j workload.Job) (known bool, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if old := sh.jobs[j.ID]; old != nil {
		a, _ := json.Marshal(old.job)
		b, _ := json.Marshal(j)
		if string(a) != string(b) {
			return true, errkind.New(errkind.Conflict, "job_id_in_use", "job %s is known with other values", j.ID)
		}
		return true, nil
	}
	// The policy has no check without effect, so a probe is submitted and withdrawn.
	sh.setTeam(j.Team)
	probe := j
	probe.ID = "probe"
	now := sh.s.cfg.Now()
	for sh.jobs[probe.ID] != nil {
		probe.ID += "~"
	}
	sh.probes++
	probe.ID = workload.TaskID(probe.ID, sh.probes)
	if err := sh.engine.Submit(probe, now); err != nil {
		return false, err
	}
	sh.engine.Cancel(probe.ID, now)
	return false, nil
}

// CancelJob implements rpc.DRPCJobSchedulerServer. It answers when the record of
// the cancellation was read back; the tasks end afterwards.
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
		err := sh.journal.append(ctx, recordCancel, record{Shard: string(sh.key), ID: req.GetJob(), Time: s.cfg.Now()})
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
	reply := &rpc.JobStatusReply{Job: id, State: j.state, Reason: j.reason, Running: int32(j.running()), Finished: int32(j.done), Failed: int32(j.failed)}
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
		return nil, toWire(errkind.New(errkind.NotReady, "shard_recovering", "job %s waits for the recovery of its shard", j.job.ID))
	}
	x, _ := sh.engine.Explain(j.job.ID)
	data, err := json.Marshal(x)
	if err != nil {
		return nil, toWire(errkind.Wrap(errkind.InternalFailure, "encode", err))
	}
	return &rpc.ExplainReply{Job: j.job.ID, Explanation: data}, nil
}

// Report implements rpc.DRPCJobSchedulerServer. Only the rack owner that was
// adopted is heard.
func (s *Scheduler) Report(_ context.Context, req *rpc.ReportRequest) (*rpc.ReportReply, error) {
	sh, err := s.shard(req.GetShard())
	if err != nil {
		return nil, toWire(err)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	rs := sh.racks[contract.Key(req.GetRack())]
	if rs == nil || rs.epoch == 0 || rs.epoch != req.GetRackEpoch() {
		return nil, toWire(errkind.New(errkind.NotReady, "rack_not_adopted", "rack %s is not adopted", req.GetRack()))
	}
	rs.revision = max(rs.revision, req.GetRevision())
	for _, n := range req.GetNodes() {
		rs.setNode(n)
	}
	reply := &rpc.ReportReply{}
	for _, e := range req.GetEvents() {
		settled, stop := sh.event(e)
		ref := &rpc.TaskEvent{Task: e.GetTask(), Attempt: e.GetAttempt(), Node: e.GetNode()}
		if settled {
			reply.Settled = append(reply.Settled, ref)
		}
		if stop {
			reply.Stop = append(reply.Stop, ref)
		}
	}
	wake(sh.kick)
	return reply, nil
}
