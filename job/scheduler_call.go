package job

import (
	"context"
	"encoding/json"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Status is the state of a job and the counts of its tasks by state.
type Status struct {
	Job      string `json:"job"`
	State    string `json:"state"`
	Reason   string `json:"reason,omitempty"`
	Waiting  int    `json:"waiting"`
	Running  int    `json:"running"`
	Finished int    `json:"finished"`
	Failed   int    `json:"failed"` // failed attempts
}

// Final reports whether the job has ended, so that its state does not change any more.
func (s Status) Final() bool { return isFinalState(s.State) }

func fromStatus(r *rpc.JobStatusReply) Status {
	return Status{
		Job: r.GetJob(), State: r.GetState(), Reason: r.GetReason(), Waiting: int(r.GetWaiting()),
		Running: int(r.GetRunning()), Finished: int(r.GetFinished()), Failed: int(r.GetFailed()),
	}
}

// Submit sends a job to the job scheduler of its team, from any daemon. After an error of
// kind errkind.AppendUnknown or errkind.OutcomeUnknown the job may have been accepted;
// submitting the same job again shows whether it was.
func (s *Scheduler) Submit(ctx context.Context, j workload.Job) (Status, error) {
	data, err := json.Marshal(j)
	if err != nil {
		return Status{}, errkind.Wrap(errkind.BadInput, "job_invalid", err)
	}
	shard, srv, err := s.schedulerOf(ctx, j.Team)
	if err != nil {
		return Status{}, err
	}
	r, err := srv.SubmitJob(ctx, &rpc.SubmitJobRequest{Shard: shard, Job: data})
	return fromStatus(r), fromWire(err)
}

// Cancel cancels a job, from any daemon. The job is final when its tasks have ended. A job that
// has ended, is being cancelled already or is refused keeps its state, which is returned. For
// an unknown id, the error is of kind errkind.NotFound.
func (s *Scheduler) Cancel(ctx context.Context, team, id string) (Status, error) {
	shard, srv, err := s.schedulerOf(ctx, team)
	if err != nil {
		return Status{}, err
	}
	r, err := srv.CancelJob(ctx, &rpc.JobRequest{Shard: shard, Job: id})
	return fromStatus(r), fromWire(err)
}

// Status returns the state of a job, from any daemon. For an unknown id, the error is of kind
// errkind.NotFound.
func (s *Scheduler) Status(ctx context.Context, team, id string) (Status, error) {
	shard, srv, err := s.schedulerOf(ctx, team)
	if err != nil {
		return Status{}, err
	}
	r, err := srv.JobStatus(ctx, &rpc.JobRequest{Shard: shard, Job: id})
	return fromStatus(r), fromWire(err)
}

// Explain returns the reasons for the state of a job, from any daemon. The error is of kind
// errkind.NotFound for an unknown id, and errkind.NotReady while a new owner of the job shard
// does not know yet which tasks of the job run.
func (s *Scheduler) Explain(ctx context.Context, team, id string) (placement.Explanation, error) {
	shard, srv, err := s.schedulerOf(ctx, team)
	if err != nil {
		return placement.Explanation{}, err
	}
	r, err := srv.ExplainJob(ctx, &rpc.JobRequest{Shard: shard, Job: id})
	if err != nil {
		return placement.Explanation{}, fromWire(err)
	}
	var x placement.Explanation
	err = json.Unmarshal(r.GetExplanation(), &x)
	return x, errkind.Wrap(errkind.InternalFailure, "decode", err)
}

// schedulerOf returns the key of the job shard of a team and a client of its job scheduler.
func (s *Scheduler) schedulerOf(ctx context.Context, team string) (string, rpc.DRPCJobSchedulerServer, error) {
	t, ok := s.cfg.Intentions.Team(team)
	if !ok {
		return "", nil, errkind.New(errkind.BadInput, "unknown_team", "team %s is not configured", team)
	}
	key := ShardOf(t.Home, team, s.cfg.Shards)
	id, _, ok := s.cfg.Ownership.Owner(key)
	if !ok || id == "" {
		return "", nil, errkind.New(errkind.NotReady, "shard_not_owned", "job shard %s has no owner", key)
	}
	if id == s.cfg.Peers.Self().ID {
		return string(key), s, nil
	}
	conn, err := s.cfg.Peers.Conn(ctx, id)
	if err != nil {
		return "", nil, fromWire(err)
	}
	return string(key), rpc.NewDRPCJobSchedulerClient(conn), nil
}
