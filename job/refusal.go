package job

import (
	"encoding/json"
	"reflect"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// refusalMax bounds the pause before a refused job of the configuration is
// tried again although nothing that the refusal depends on has changed.
const refusalMax = 10 * time.Minute

// refusal is the answer of the policy to a job of the configuration that cannot
// be accepted. It stands for the job, the quota and the workers it was given for.
// It is guarded by the lock of the shard.
type refusal struct {
	job   workload.Job
	quota machine.Resources
	cell  uint64 // revision of the known workers
	err   error
	tries int
	next  time.Time
}

// refuses reports whether err is an answer that holds as long as the
// configuration and the workers stay as they are.
func refuses(err error) bool {
	k := errkind.Of(err)
	return k == errkind.Impossible || k == errkind.QuotaExceeded
}

// dueRefused returns the jobs of wanted that were not refused, or whose refusal
// may have changed, and forgets refusals of jobs that are not wanted any more.
func (sh *shard) dueRefused(wanted []workload.Job) []workload.Job {
	now := sh.s.cfg.Now()
	keep := make(map[string]*refusal)
	var due []workload.Job
	for _, j := range wanted {
		r := sh.refusals[j.ID]
		if r != nil {
			keep[j.ID] = r
		}
		if r == nil || !r.holds(j, sh.quota(j.Team), sh.cell) || !now.Before(r.next) {
			due = append(due, j)
		}
	}
	sh.refusals = keep
	return due
}

func (r *refusal) holds(j workload.Job, quota machine.Resources, cell uint64) bool {
	return r.cell == cell && r.quota == quota && reflect.DeepEqual(r.job, j)
}

func (sh *shard) quota(team string) machine.Resources {
	t, _ := sh.s.cfg.Intentions.Team(team)
	return t.Quota
}

// noteAccept keeps or ends the refusal of a job of the configuration. A refusal
// is logged once per job and reason. cell is the revision of the workers at the
// start of the attempt.
func (sh *shard) noteAccept(j workload.Job, cell uint64, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.refusals[j.ID]
	if err == nil {
		delete(sh.refusals, j.ID)
	}
	if err == nil || !refuses(err) {
		return
	}
	r := &refusal{job: j, quota: sh.quota(j.Team), cell: cell, err: err}
	if old != nil && old.holds(j, r.quota, cell) {
		r.tries = old.tries + 1
	}
	pause := refusalMax
	if r.tries < 16 {
		pause = min(10*sh.s.cfg.ReconcileEvery<<r.tries, refusalMax)
	}
	r.next = sh.s.cfg.Now().Add(pause)
	sh.refusals[j.ID] = r
	if old == nil || errkind.ReasonOf(old.err) != errkind.ReasonOf(err) || !reflect.DeepEqual(old.job, j) {
		sh.s.cfg.Logger.Warn().Str("event", "job_refused").Str("job", j.ID).Str("team", j.Team).
			Str("reason", errkind.ReasonOf(err)).Err(err).Send()
	}
}

// noteNode counts a change of the workers that decide whether a job can ever run.
func (sh *shard) noteNode(n placement.Node) {
	class := nodeClass{n.Total, string(n.Zone)}
	if old, ok := sh.classes[n.ID]; !ok || old != class {
		sh.classes[n.ID] = class
		sh.cell++
	}
}

// nodeClass is what of a worker decides whether it can ever hold a task.
type nodeClass struct {
	total machine.Resources
	zone  string
}

func (r *refusal) status() *rpc.JobStatusReply {
	return &rpc.JobStatusReply{Job: r.job.ID, State: StateRefused, Reason: errkind.ReasonOf(r.err), Waiting: int32(r.job.Count)}
}

func (r *refusal) explain() (*rpc.ExplainReply, error) {
	data, err := json.Marshal(placement.Explanation{
		Job: r.job.ID, State: StateRefused, Reason: errkind.ReasonOf(r.err), Detail: r.err.Error(), Waiting: r.job.Count,
		Need: r.job.Resources, NextTry: r.next,
	})
	if err != nil {
		return nil, toWire(errkind.Wrap(errkind.InternalFailure, "encode", err))
	}
	return &rpc.ExplainReply{Job: r.job.ID, Explanation: data}, nil
}
