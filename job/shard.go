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
	s       *Scheduler
	key     contract.Key
	epoch   contract.Epoch
	ctx     context.Context
	journal *journal
	kick    chan struct{} // wakes decide
	flush   chan struct{} // wakes writeEnds
	wg      sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	engine     Engine
	jobs       map[string]*jobState
	flights    map[string]*flight // by task
	racks      map[contract.Key]*rackSession
	nodes      map[string]contract.Key // rack of a worker
	recovered  bool
	probes     int                  // admission checks so far
	unrecorded map[endKey]taskEnd   // ends that the log does not hold yet
	refusals   map[string]*refusal  // by job; the configuration wants these
	classes    map[string]nodeClass // by worker
	cell       uint64               // revision of classes
	jobEnds    []record             // final states that the log does not hold yet
}

func newShard(ctx context.Context, s *Scheduler, k contract.Key, e contract.Epoch) *shard {
	sh := &shard{
		s: s, key: k, epoch: e, ctx: ctx, kick: make(chan struct{}, 1), flush: make(chan struct{}, 1),
		engine: s.cfg.NewEngine(), jobs: make(map[string]*jobState), flights: make(map[string]*flight),
		racks: make(map[contract.Key]*rackSession), nodes: make(map[string]contract.Key),
		unrecorded: make(map[endKey]taskEnd), refusals: make(map[string]*refusal), classes: make(map[string]nodeClass),
	}
	sh.journal = newJournal(s.cfg.Log, s.writer, sh.apply)
	return sh
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run serves the shard until its tenure ends.
func (sh *shard) run() {
	sh.wg.Go(func() { sh.journal.follow(sh.ctx) })
	select {
	case <-sh.journal.folded:
		sh.folded()
		sh.setRacks()
		sh.wg.Go(sh.decideLoop)
		sh.wg.Go(sh.writeEnds)
		sh.wg.Go(sh.reconcileLoop)
		sh.wg.Go(sh.carryLoop)
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
	t, ok := sh.s.cfg.Ownership.Tenure(sh.key)
	return ok && t.Epoch == sh.epoch && sh.s.cfg.Now().Before(t.Deadline) && sh.ctx.Err() == nil
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
	case recordAccepted:
		if r.Job == nil || sh.jobs[r.Job.ID] != nil {
			return
		}
		j := newJobState(*r.Job)
		j.managed, j.acceptedAt, j.offset, j.recordedAt = r.Managed, r.Time, rec.Offset, r.Time
		sh.jobs[j.job.ID] = j
		sh.admitJob(j)
	case recordCarried:
		sh.applyCarried(rec.Offset, r)
	case recordCancel:
		if j := sh.jobs[r.ID]; j != nil {
			sh.cancelJob(j)
		}
	case recordEnds:
		for _, e := range r.Ends {
			delete(sh.unrecorded, e.key())
			if j := sh.jobs[e.Job]; j != nil {
				j.addEnd(e)
				sh.checkFinished(j)
			}
		}
	case recordEnd:
		if j := sh.jobs[r.ID]; j != nil {
			sh.endRecorded(j, r.State, r.Reason, r.Time)
		}
	}
}

func (sh *shard) applyCarried(off upstream.Offset, r record) {
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
		j.cancel = r.Cancel
		if finalState(r.State) {
			j.end(r.State, r.Reason, r.Ended)
			j.done, j.failed = r.Done, r.Failed
		}
		sh.admitJob(j)
	}
	// A record that was built before an end or a cancellation was folded must not
	// count as complete, since the log drops the earlier records of the job.
	if j.final() == finalState(r.State) && (j.final() || len(j.ends) == len(r.Ends) && j.cancel == r.Cancel) {
		j.offset, j.recordedAt = off, r.SnapshotAt
	}
}

// admitJob hands a new job to the engine. While the shard folds, all jobs wait
// for folded.
func (sh *shard) admitJob(j *jobState) {
	select {
	case <-sh.journal.folded:
	default:
		return
	}
	if j.final() {
		return
	}
	sh.submit(j)
	wake(sh.kick)
}

// submit makes the engine plan the job.
func (sh *shard) submit(j *jobState) {
	sh.setTeam(j.job.Team)
	j.submitted = true
	if err := sh.engine.Restore(j.job, sh.s.cfg.Now()); err != nil {
		sh.endJob(j, StateFailed, "refused_by_policy")
	}
}

// setTeam gives the engine the current quota of a team.
func (sh *shard) setTeam(name string) {
	if t, ok := sh.s.cfg.Intentions.Team(name); ok {
		sh.engine.SetTeam(name, t.Quota, max(t.Weight, 1))
	}
}

// checkFinished ends a job whose tasks have all finished.
func (sh *shard) checkFinished(j *jobState) {
	if j.complete() {
		sh.endRecorded(j, StateFinished, "", sh.s.cfg.Now())
	}
}

// endRecorded moves a job to its recorded final state and logs it, unless the record was written before this tenure.
func (sh *shard) endRecorded(j *jobState, state, reason string, at time.Time) {
	if j.final() {
		return
	}
	j.end(state, reason, at)
	select {
	case <-sh.journal.folded:
		sh.s.cfg.Logger.Info().Str("event", "job_ended").Str("job", j.job.ID).Str("team", j.job.Team).Str("state", state).Str("reason", reason).Send()
	default:
	}
}

// endJob records a final state. It takes effect when it is read back.
func (sh *shard) endJob(j *jobState, state, reason string) {
	if j.final() || j.ending {
		return
	}
	j.ending = true
	sh.jobEnds = append(sh.jobEnds, record{
		Shard: string(sh.key), ID: j.job.ID, State: state, Reason: reason, Time: sh.s.cfg.Now(),
	})
	wake(sh.flush)
}

// setNode passes the state of a worker to the engine. Workers that cannot be
// reached take no new tasks.
func (sh *shard) setNode(rack contract.Key, n *rpc.NodeState, usable bool) {
	sh.nodes[n.GetId()] = rack
	node := placement.Node{
		ID: n.GetId(), Rack: string(rack), Zone: zone.Name(rack.Place()),
		Total: fromAmount(n.GetTotal()), Foreign: fromAmount(n.GetForeign()), Preemptible: fromAmount(n.GetPreemptible()),
		Draining: n.GetDraining(), Unreachable: n.GetUnreachable() || !usable,
	}
	sh.noteNode(node)
	sh.engine.SetNode(node)
}

// setRacks starts a session for each rack of the region.
func (sh *shard) setRacks() {
	select {
	case <-sh.journal.folded:
	default:
		return
	}
	keys, known := sh.s.fleet.keys()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if !known || sh.closed {
		return
	}
	for _, k := range keys {
		if sh.racks[k] == nil {
			rs := &rackSession{sh: sh, key: k, kick: make(chan struct{}, 1), nodes: make(map[string]*rpc.NodeState)}
			sh.racks[k] = rs
			sh.wg.Go(rs.run)
		}
	}
}

// attempt returns the next attempt number of a task.
func (sh *shard) attempt(j *jobState, task string) int {
	j.tries[task]++
	return int(sh.epoch)<<attemptBits | j.tries[task]
}

// result converts an event to the result that the engine learns from.
func result(e *rpc.TaskEvent) placement.TaskResult {
	return placement.TaskResult{
		State: workload.TaskState(e.GetState()), Ran: time.Duration(e.GetRanMs()) * time.Millisecond,
		Used: fromAmount(e.GetUsed()),
	}
}
