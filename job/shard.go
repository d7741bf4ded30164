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

// attemptBits is the number of low bits of an attempt number that count the attempts of a
// task within one shard epoch. The higher bits hold the epoch, so that two owners of a
// shard never use the same number.
const attemptBits = 20

// shard is the job scheduler of one job shard during one tenure.
type shard struct {
	scheduler     *Scheduler
	key           contract.Key
	epoch         contract.Epoch
	ctx           context.Context
	journal       *journal
	wakeDecide    chan struct{} // wakes decideLoop
	wakeEndWriter chan struct{} // wakes writeEndsLoop
	wg            sync.WaitGroup

	mu                 sync.Mutex
	closed             bool // the tenure has ended; no session may start
	engine             Engine
	jobs               map[string]*jobState          // by job id
	attempts           map[string]*attempt           // by task id
	sessions           map[contract.Key]*rackSession // by rack key
	rackOfNode         map[string]contract.Key       // rack key by worker id
	recovered          bool                          // set by tryFinishRecovery
	admissionChecks    int                           // number of jobs tried on the engine, see checkAdmission
	unrecordedTaskEnds map[endKey]taskEnd            // task ends that were not read back from the log yet
	refusals           map[string]*refusal           // jobs of the configuration that are not accepted, by job id
	nodeClasses        map[string]nodeClass          // by worker id
	nodeRevision       uint64                        // increases when nodeClasses changes
	unrecordedJobEnds  []record                      // ends of jobs that are not in the log yet
}

func newShard(ctx context.Context, s *Scheduler, k contract.Key, e contract.Epoch) *shard {
	sh := &shard{
		scheduler: s, key: k, epoch: e, ctx: ctx, wakeDecide: make(chan struct{}, 1), wakeEndWriter: make(chan struct{}, 1),
		engine: s.cfg.NewEngine(), jobs: make(map[string]*jobState), attempts: make(map[string]*attempt),
		sessions: make(map[contract.Key]*rackSession), rackOfNode: make(map[string]contract.Key),
		unrecordedTaskEnds: make(map[endKey]taskEnd), refusals: make(map[string]*refusal),
		nodeClasses: make(map[string]nodeClass),
	}
	sh.journal = newJournal(s.cfg.Log, s.writer, sh.apply)
	return sh
}

// notify wakes the receiver of c, a channel with a buffer of one. It does not block: if a
// notification is already waiting, the receiver will see this change with it.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run replays the records of the shard and then serves it until its context ends.
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

// apply applies one record of the jobs stream. It skips records of other shards.
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
			delete(sh.unrecordedTaskEnds, e.key())
			if j := sh.jobs[e.Job]; j != nil {
				j.addEnd(e)
				sh.endIfComplete(j)
			}
		}
	case recordJobEnd:
		if j := sh.jobs[r.ID]; j != nil {
			sh.applyJobEnd(j, r.State, r.Reason, r.Time)
		}
	}
}

// applySnapshot adds the job of a snapshot, unless it is known already, and notes the snapshot
// as the newest record of the whole job.
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
	// A snapshot that was built before an end or a cancellation was applied lacks it. It
	// must not count as the newest record of the whole job, or the log would drop the only
	// record of that end or cancellation before the next snapshot.
	if j.final() == isFinalState(r.State) && (j.final() || len(j.ends) == len(r.Ends) && j.cancelRequested == r.Cancel) {
		j.recordOffset, j.recordedAt = off, r.SnapshotAt
	}
}

// admitJob hands a new job to the engine. During the replay it does nothing, because
// markRecovering and tryFinishRecovery handle the jobs that are open at its end.
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

// submitToEngine makes the engine plan an accepted job. The job fails if the engine
// refuses it.
func (sh *shard) submitToEngine(j *jobState) {
	sh.updateTeam(j.job.Team)
	j.inEngine = true
	if err := sh.engine.Restore(j.job, sh.scheduler.cfg.Now()); err != nil {
		sh.queueJobEnd(j, StateFailed, "refused_by_policy")
	}
}

// updateTeam gives the engine the current quota and weight of a team. A team that is not
// configured any more keeps its last ones.
func (sh *shard) updateTeam(name string) {
	if t, ok := sh.scheduler.cfg.Intentions.Team(name); ok {
		sh.engine.SetTeam(name, t.Quota, max(t.Weight, 1))
	}
}

// endIfComplete ends a job whose tasks have all finished.
func (sh *shard) endIfComplete(j *jobState) {
	if j.complete() {
		sh.applyJobEnd(j, StateFinished, "", sh.scheduler.cfg.Now())
	}
}

// applyJobEnd moves a job to a final state, unless it is in one already. It writes a log line,
// but not during the replay, because a previous owner of the shard has written it.
func (sh *shard) applyJobEnd(j *jobState, state, reason string, at time.Time) {
	if j.final() {
		return
	}
	j.end(state, reason, at)
	select {
	case <-sh.journal.replayed:
		sh.scheduler.cfg.Logger.Info().Str("event", "job_ended").Str("job", j.job.ID).Str("team", j.job.Team).
			Str("state", state).Str("reason", reason).Send()
	default:
	}
}

// queueJobEnd queues the final state of a job for the jobs stream. It takes effect when the
// record is read back.
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

// updateNode passes the state of a worker to the engine. A worker that is not usable,
// because its rack is not adopted, counts as unreachable.
func (sh *shard) updateNode(rack contract.Key, n *rpc.NodeState, usable bool) {
	sh.rackOfNode[n.GetId()] = rack
	node := placement.Node{
		ID: n.GetId(), Rack: string(rack), Zone: zone.Name(rack.Location()),
		Total: fromAmount(n.GetTotal()), Foreign: fromAmount(n.GetForeign()), Preemptible: fromAmount(n.GetPreemptible()),
		Draining: n.GetDraining(), Unreachable: n.GetUnreachable() || !usable,
	}
	sh.updateNodeClass(node)
	sh.engine.SetNode(node)
}

// startSessions starts a session for each new rack of the region. It does nothing before
// the replay is complete.
func (sh *shard) startSessions() {
	select {
	case <-sh.journal.replayed:
	default:
		return
	}
	keys, known := sh.scheduler.hosts.rackKeys()
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

// nextAttempt returns the next attempt number of a task, see attemptBits.
func (sh *shard) nextAttempt(j *jobState, task string) int {
	j.attemptCounts[task]++
	return int(sh.epoch)<<attemptBits | j.attemptCounts[task]
}

// toResult converts the event of an ended attempt to the result that Engine.Finish takes.
func toResult(e *rpc.TaskEvent) placement.TaskResult {
	return placement.TaskResult{
		State: workload.TaskState(e.GetState()), Ran: time.Duration(e.GetRanMs()) * time.Millisecond,
		Used: fromAmount(e.GetUsed()),
	}
}
