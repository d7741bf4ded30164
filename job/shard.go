package job

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// attemptBits is the part of an attempt number that counts within one shard
// epoch. The rest is the epoch, so that no two job schedulers use one number.
const attemptBits = 20

// shard is one tenure of one job shard.
type shard struct {
	scheduler     *Scheduler
	key           contract.Key
	epoch         contract.Epoch
	ctx           context.Context
	journal       *journal
	wakeDecide    chan struct{} // wakes decide
	wakeEndWriter chan struct{} // wakes writeEnds
	wg            sync.WaitGroup

	mu                sync.Mutex
	closed            bool
	engine            Engine
	jobs              map[string]*jobState
	attempts          map[string]*attempt // by task
	sessions          map[contract.Key]*rackSession
	rackOfNode        map[string]contract.Key // rack of a worker
	recovered         bool
	admissionChecks   int                  // admission checks so far
	unrecordedEnds    map[endKey]taskEnd   // ends that the log does not hold yet
	refusals          map[string]*refusal  // by job; the configuration wants these
	nodeClasses       map[string]nodeClass // by worker
	nodeRevision      uint64               // revision of classes
	unrecordedJobEnds []record             // final states that the log does not hold yet
}

func newShard(ctx context.Context, s *Scheduler, k contract.Key, e contract.Epoch) *shard {
	sh := &shard{
		scheduler: s, key: k, epoch: e, ctx: ctx, wakeDecide: make(chan struct{}, 1), wakeEndWriter: make(chan struct{}, 1),
		engine: s.cfg.NewEngine(), jobs: make(map[string]*jobState), attempts: make(map[string]*attempt),
		sessions: make(map[contract.Key]*rackSession), rackOfNode: make(map[string]contract.Key),
		unrecordedEnds: make(map[endKey]taskEnd), refusals: make(map[string]*refusal), nodeClasses: make(map[string]nodeClass),
	}
	sh.journal = newJournal(s.cfg.Log, s.writer, sh.apply)
	return sh
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run serves the shard until its tenure ends.
func (sh *shard) run() {
	sh.wg.Go(func() { sh.journal.follow(sh.ctx) })
	select {
	case <-sh.journal.replayed:
		sh.markRecovering()
		sh.startSessions()
		sh.wg.Go(sh.decideLoop)
		sh.wg.Go(sh.writeEndsLoop)
		sh.wg.Go(sh.reconcileLoop)
		sh.wg.Go(sh.snapshotLoop)
	case <-sh.ctx.Done():
	}
	<-sh.ctx.Done()
	sh.mu.Lock()
	sh.closed = true
	sh.mu.Unlock()
	sh.wg.Wait()
}

// tenure reports whether this daemon may act for the shard now.
func (sh *shard) tenure() bool {
	t, ok := sh.scheduler.cfg.Ownership.Tenure(sh.key)
	return ok && t.Epoch == sh.epoch && sh.scheduler.cfg.Now().Before(t.Deadline) && sh.ctx.Err() == nil
}

// apply folds one record of the jobs stream.
func (sh *shard) apply(rec upstream.Record) {
	kind, r, ok := decodeRecord(rec.Data)
	if !ok || r.Shard != string(sh.key) {
		return
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	switch kind {
	case recordJobAccepted:
		if r.Job == nil || sh.jobs[r.Job.ID] != nil {
			return
		}
		j := newJobState(*r.Job)
		j.managed, j.acceptedAt, j.recordOffset, j.recordedAt = r.Managed, r.Time, rec.Offset, r.Time
		sh.jobs[j.job.ID] = j
		sh.admitJob(j)
	case recordSnapshot:
		sh.applySnapshot(rec.Offset, r)
	case recordJobCancel:
		if j := sh.jobs[r.ID]; j != nil {
			sh.cancelJob(j)
		}
	case recordTaskEnds:
		for _, e := range r.Ends {
			delete(sh.unrecordedEnds, e.key())
			if j := sh.jobs[e.Job]; j != nil {
				j.addEnd(e)
				sh.checkFinished(j)
			}
		}
	case recordJobEnd:
		if j := sh.jobs[r.ID]; j != nil {
			sh.applyJobEnd(j, r.State, r.Reason, r.Time)
		}
	}
}

func (sh *shard) applySnapshot(off upstream.Offset, r record) {
	if r.Job == nil {
		return
	}
	j := sh.jobs[r.Job.ID]
	if j == nil {
		j = newJobState(*r.Job)
		sh.jobs[r.Job.ID] = j
		j.managed, j.acceptedAt = r.Managed, r.Time
		for _, e := range r.Ends {
			j.addEnd(e)
		}
		j.cancelRequested = r.Cancel
		if isFinalState(r.State) {
			j.end(r.State, r.Reason, r.Ended)
			j.finishedTasks, j.failedAttempts = r.Done, r.Failed
		}
		sh.admitJob(j)
	}
	// A record that was built before an end or a cancellation was folded must not
	// count as complete, since the log drops the earlier records of the job.
	if j.final() == isFinalState(r.State) && (j.final() || len(j.ends) == len(r.Ends) && j.cancelRequested == r.Cancel) {
		j.recordOffset, j.recordedAt = off, r.SnapshotAt
	}
}

// admitJob hands a new job to the engine. While the shard folds, all jobs wait
// for folded.
func (sh *shard) admitJob(j *jobState) {
	select {
	case <-sh.journal.replayed:
	default:
		return
	}
	if j.final() {
		return
	}
	sh.submitToEngine(j)
	notify(sh.wakeDecide)
}

// submitToEngine makes the engine plan the job.
func (sh *shard) submitToEngine(j *jobState) {
	sh.updateTeam(j.job.Team)
	j.inEngine = true
	if err := sh.engine.Restore(j.job, sh.scheduler.cfg.Now()); err != nil {
		sh.queueJobEnd(j, StateFailed, "refused_by_policy")
	}
}

// updateTeam gives the engine the current quota of a team.
func (sh *shard) updateTeam(name string) {
	if t, ok := sh.scheduler.cfg.Intentions.Team(name); ok {
		sh.engine.SetTeam(name, t.Quota, max(t.Weight, 1))
	}
}

// checkFinished ends a job whose tasks have all finished.
func (sh *shard) checkFinished(j *jobState) {
	if j.complete() {
		sh.applyJobEnd(j, StateFinished, "", sh.scheduler.cfg.Now())
	}
}

// applyJobEnd moves a job to its recorded final state and logs it, unless the record was written before this tenure.
func (sh *shard) applyJobEnd(j *jobState, state, reason string, at time.Time) {
	if j.final() {
		return
	}
	j.end(state, reason, at)
	select {
	case <-sh.journal.replayed:
		sh.scheduler.cfg.Logger.Info().Str("event", "job_ended").Str("job", j.job.ID).Str("team", j.job.Team).Str("state", state).Str("reason", reason).Send()
	default:
	}
}

// queueJobEnd records a final state. It takes effect when it is read back.
func (sh *shard) queueJobEnd(j *jobState, state, reason string) {
	if j.final() || j.endQueued {
		return
	}
	j.endQueued = true
	sh.unrecordedJobEnds = append(sh.unrecordedJobEnds, record{
		Shard: string(sh.key), ID: j.job.ID, State: state, Reason: reason, Time: sh.scheduler.cfg.Now(),
	})
	notify(sh.wakeEndWriter)
}

// updateNode passes the state of a worker to the engine. Workers that cannot be
// reached take no new tasks.
func (sh *shard) updateNode(rack contract.Key, n *rpc.NodeState, usable bool) {
	sh.rackOfNode[n.GetId()] = rack
	node := placement.Node{
		ID: n.GetId(), Rack: string(rack), Zone: zone.Name(rack.Place()),
		Total: fromAmount(n.GetTotal()), Foreign: fromAmount(n.GetForeign()), Preemptible: fromAmount(n.GetPreemptible()),
		Draining: n.GetDraining(), Unreachable: n.GetUnreachable() || !usable,
	}
	sh.updateNodeClass(node)
	sh.engine.SetNode(node)
}

// startSessions starts a session for each rack of the region.
func (sh *shard) startSessions() {
	select {
	case <-sh.journal.replayed:
	default:
		return
	}
	keys, known := sh.scheduler.hosts.keys()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !known || sh.closed {
		return
	}
	for _, k := range keys {
		if sh.sessions[k] == nil {
			rs := &rackSession{shard: sh, rack: k, wake: make(chan struct{}, 1), nodes: make(map[string]*rpc.NodeState)}
			sh.sessions[k] = rs
			sh.wg.Go(rs.run)
		}
	}
}

// nextAttempt returns the next nextAttempt number of a task.
func (sh *shard) nextAttempt(j *jobState, task string) int {
	j.attemptCounts[task]++
	return int(sh.epoch)<<attemptBits | j.attemptCounts[task]
}

// toResult converts an event to the toResult that the engine learns from.
func toResult(e *rpc.TaskEvent) placement.Result {
	return placement.Result{
		State: workload.TaskState(e.GetState()), Ran: time.Duration(e.GetRanMs()) * time.Millisecond,
		Used: fromAmount(e.GetUsed()),
	}
}
