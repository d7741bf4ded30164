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

// maxRefusalPause bounds the pause before a refused job of the configuration is submitted
// again although nothing that the refusal depends on has changed.
const maxRefusalPause = 10 * time.Minute

// refusal is the error with which the placement policy refused a job of the configuration.
// It applies as long as the job, the quota of the team and the workers stay the same. It is
// guarded by the lock of the shard.
type refusal struct {
	job          workload.Job
	quota        machine.Resources
	nodeRevision uint64 // shard.nodeRevision when the job was submitted
	err          error
	repeats      int // number of earlier refusals under the same conditions
	nextTry      time.Time
}

// isLastingRefusal reports whether err is a refusal that applies as long as the
// configuration and the workers stay the same.
func isLastingRefusal(err error) bool {
	k := errkind.Of(err)
	return k == errkind.Impossible || k == errkind.QuotaExceeded
}

// skipRefused returns the jobs of toSubmit without those whose refusal still applies and whose
// pause has not passed. It forgets the refusals of jobs that are not in toSubmit.
func (sh *shard) skipRefused(toSubmit []workload.Job) []workload.Job {
	now := sh.scheduler.cfg.Now()
	keep := make(map[string]*refusal)
	var due []workload.Job
	for _, j := range toSubmit {
		r := sh.refusals[j.ID]
		if r != nil {
			keep[j.ID] = r
		}
		if r == nil || !r.stillApplies(j, sh.quota(j.Team), sh.nodeRevision) || !now.Before(r.nextTry) {
			due = append(due, j)
		}
	}
	sh.refusals = keep
	return due
}

// stillApplies reports whether the refusal was given under these conditions.
func (r *refusal) stillApplies(j workload.Job, quota machine.Resources, nodeRevision uint64) bool {
	return r.nodeRevision == nodeRevision && r.quota == quota && reflect.DeepEqual(r.job, j)
}

// quota returns the configured quota of a team, zero if there is none.
func (sh *shard) quota(team string) machine.Resources {
	t, _ := sh.scheduler.cfg.Intentions.Team(team)
	return t.Quota
}

// updateRefusal stores or removes the refusal of a job of the configuration after it was
// submitted with the outcome err. A refusal is logged once per job and reason. nodeRevision is
// shard.nodeRevision before the submit.
func (sh *shard) updateRefusal(j workload.Job, nodeRevision uint64, err error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old := sh.refusals[j.ID]
	if err == nil {
		delete(sh.refusals, j.ID)
	}
	if err == nil || !isLastingRefusal(err) {
		return
	}
	r := &refusal{job: j, quota: sh.quota(j.Team), nodeRevision: nodeRevision, err: err}
	if old != nil && old.stillApplies(j, r.quota, nodeRevision) {
		r.repeats = old.repeats + 1
	}
	wait := maxRefusalPause
	if r.repeats < 16 { // a much larger shift would overflow
		wait = min(10*sh.scheduler.cfg.ReconcileEvery<<r.repeats, maxRefusalPause)
	}
	r.nextTry = sh.scheduler.cfg.Now().Add(wait)
	sh.refusals[j.ID] = r
	if old == nil || errkind.ReasonOf(old.err) != errkind.ReasonOf(err) || !reflect.DeepEqual(old.job, j) {
		sh.scheduler.cfg.Logger.Warn().Str("event", "job_refused").Str("job", j.ID).Str("team", j.Team).
			Str("reason", errkind.ReasonOf(err)).Err(err).Send()
	}
}

// updateNodeClass increases nodeRevision if the worker is new or its class has changed, so
// that refused jobs are submitted again.
func (sh *shard) updateNodeClass(n placement.Node) {
	class := nodeClass{n.Total, string(n.Zone)}
	if old, ok := sh.nodeClasses[n.ID]; !ok || old != class {
		sh.nodeClasses[n.ID] = class
		sh.nodeRevision++
	}
}

// nodeClass is the properties of a worker that decide whether it can ever hold a task.
type nodeClass struct {
	total machine.Resources
	zone  string
}

// status returns the status of the refused job.
func (r *refusal) status() *rpc.JobStatusReply {
	return &rpc.JobStatusReply{
		Job: r.job.ID, State: StateRefused, Reason: errkind.ReasonOf(r.err), Waiting: int32(r.job.Count),
	}
}

// explain returns the explanation of the refused job, which the engine does not know.
func (r *refusal) explain() (*rpc.ExplainReply, error) {
	data, err := json.Marshal(placement.Explanation{
		Job: r.job.ID, State: StateRefused, Reason: errkind.ReasonOf(r.err), Detail: r.err.Error(), Waiting: r.job.Count,
		Need: r.job.Resources, NextTry: r.nextTry,
	})
	if err != nil {
		return nil, toWire(errkind.Wrap(errkind.InternalFailure, "encode", err))
	}
	return &rpc.ExplainReply{Job: r.job.ID, Explanation: data}, nil
}
