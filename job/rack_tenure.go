package job

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// rackTenure is the rack owner of one rack during one tenure.
type rackTenure struct {
	owner *RackOwner
	key   contract.Key
	epoch contract.Epoch
	ctx   context.Context

	workersDone sync.WaitGroup
	wake        chan struct{} // wakes run, see notifyChanged

	mu           sync.Mutex
	closed       bool                    // the tenure has ended; no worker may start
	hostsKnown   bool                    // the host list was read at least once
	workers      map[string]*worker      // by worker id
	shards       map[string]*shardView   // by shard key
	reservations map[string]*reservation // by reservation id
	revision     uint64                  // of the last report or adoption
	reporting    map[string]bool         // shards to which a report is being sent
	skipped      map[string]bool         // shards that were not reported to because of that
	deltaStart   int                     // index of the worker whose state the next report considers first
}

// shardView is what the rack owner knows about one job scheduler.
type shardView struct {
	epoch      uint64                    // highest shard epoch seen
	callNumber uint64                    // highest call number of that epoch
	nodesSent  map[string]*rpc.NodeState // last acknowledged state of each worker, by worker id
}

// reservation holds the resources for the tasks of a gang on one rack until they are
// committed or released.
type reservation struct {
	shard   string
	expires time.Time
	tasks   []*rackAttempt
}

func newRackTenure(ctx context.Context, r *RackOwner, k contract.Key, e contract.Epoch) *rackTenure {
	return &rackTenure{
		owner: r, key: k, epoch: e, ctx: ctx,
		workers: make(map[string]*worker), shards: make(map[string]*shardView), reservations: make(map[string]*reservation),
		reporting: make(map[string]bool), skipped: make(map[string]bool), wake: make(chan struct{}, 1),
	}
}

// commandDeadline returns the time until which commands may be sent to workers. ok is false
// if the tenure has ended.
func (t *rackTenure) commandDeadline() (time.Time, bool) {
	tenure, ok := t.owner.cfg.Ownership.Tenure(t.key)
	if !ok || tenure.Epoch != t.epoch || !t.owner.cfg.Now().Before(tenure.Deadline) {
		return time.Time{}, false
	}
	return tenure.Deadline, true
}

// updateWorkers compares the workers with the host list. It starts a goroutine for each new
// worker, and marks as leaving those that are not live or not listed. A worker that is not
// listed is removed when its lease has expired and none of its attempts is left.
func (t *rackTenure) updateWorkers() {
	hosts, known := t.owner.hosts.workers(t.key)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !known || t.closed {
		return
	}
	t.hostsKnown = true
	seen := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		seen[h.ID] = true
		w := t.workers[h.ID]
		if w != nil && w.host.Address != h.Address {
			// The new address is used after the lease at the old one has expired, so that no
			// task runs at both.
			w.leaving = true
			if !w.leaseExpired(t.owner.cfg.Now()) || len(w.attempts) > 0 {
				continue
			}
			w.stop()
			w = nil
		}
		if w == nil {
			w = newWorker(t, h)
			t.workers[h.ID] = w
			t.workersDone.Add(1)
			go w.run()
		}
		w.leaving = h.State != upstream.Live
	}
	t.notifyChanged() // the configuration of draining workers may have changed, too
	for id, w := range t.workers {
		if !seen[id] {
			w.leaving = true
			if w.leaseExpired(t.owner.cfg.Now()) && len(w.attempts) == 0 {
				w.stop()
				delete(t.workers, id)
			}
		}
	}
}

// run sends reports until the tenure ends.
func (t *rackTenure) run() {
	var reports sync.WaitGroup
	for pause.For(t.ctx, t.owner.cfg.ReportEvery) {
		t.awaitChange()
		t.expireReservations()
		t.sendReports(&reports)
	}
	reports.Wait()
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
}

// notifyChanged wakes run for a report, because something that reports contain may have
// changed.
func (t *rackTenure) notifyChanged() { notify(t.wake) }

// awaitChange waits until something has changed, at most ResendEvery, after which ends that
// are not recorded yet are reported again. It does not wait while there are reservations, so
// that run expires them in time.
func (t *rackTenure) awaitChange() {
	t.mu.Lock()
	reserved := len(t.reservations) > 0
	t.mu.Unlock()
	if reserved {
		return
	}
	timer := time.NewTimer(t.owner.cfg.ResendEvery)
	defer timer.Stop()
	select {
	case <-t.wake:
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

// expireReservations releases the reservations whose ReservationTTL has passed.
func (t *rackTenure) expireReservations() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.cfg.Now()
	for id, r := range t.reservations {
		if now.After(r.expires) {
			t.owner.counts.inc("reservation", "expired")
			t.release(id)
		}
	}
}

// release drops a reservation. The caller holds the lock of the tenure.
func (t *rackTenure) release(id string) {
	r := t.reservations[id]
	if r == nil {
		return
	}
	delete(t.reservations, id)
	for _, a := range r.tasks {
		if a.state == attemptReserved {
			a.worker.remove(a)
		}
	}
}

// acceptCall checks the epochs and the number of a call. After it has accepted a call, it
// refuses all earlier calls of the shard. anyEpoch accepts a call for another tenure of the
// rack. The first call of a new shard epoch releases the reservations of the shard.
func (t *rackTenure) acceptCall(c *rpc.Call, anyEpoch bool) error {
	if !anyEpoch && c.GetRackEpoch() != uint64(t.epoch) {
		return errkind.New(errkind.NotOwner, "other_rack_epoch", "rack epoch is %d, call has %d", t.epoch, c.GetRackEpoch())
	}
	if _, e, ok := t.owner.cfg.Ownership.Owner(contract.Key(c.GetShard())); ok && uint64(e) > c.GetShardEpoch() {
		return errkind.New(errkind.StaleEpoch, "stale_shard_epoch", "shard epoch is %d, call has %d", e, c.GetShardEpoch())
	}
	v := t.viewOf(c.GetShard())
	if c.GetShardEpoch() < v.epoch {
		return errkind.New(errkind.StaleEpoch, "stale_shard_epoch",
			"shard epoch is %d, call has %d", v.epoch, c.GetShardEpoch())
	}
	if c.GetShardEpoch() > v.epoch {
		v.epoch, v.callNumber, v.nodesSent = c.GetShardEpoch(), 0, make(map[string]*rpc.NodeState)
		t.notifyChanged()
		for id, r := range t.reservations {
			if r.shard == c.GetShard() {
				t.release(id)
			}
		}
	}
	if c.GetNumber() <= v.callNumber {
		return errkind.New(errkind.Conflict, "stale_call", "call %d arrived after call %d", c.GetNumber(), v.callNumber)
	}
	v.callNumber = c.GetNumber()
	return nil
}

// viewOf returns the view of a shard, a new one if there is none.
func (t *rackTenure) viewOf(key string) *shardView {
	v := t.shards[key]
	if v == nil {
		v = &shardView{nodesSent: make(map[string]*rpc.NodeState)}
		t.shards[key] = v
	}
	return v
}

// admit checks one proposed task against the state of its worker and holds its resources in
// an attempt with that state. It returns an existing attempt as it is. If the task is
// refused, the attempt is nil and the string is the reason.
func (t *rackTenure) admit(p *rpc.PlacedTask, c *rpc.Call, state string) (*rackAttempt, string) {
	w := t.workers[p.GetNode()]
	if w == nil {
		return nil, "unknown_worker"
	}
	task := fromTaskSpec(p.GetTask(), c.GetShard())
	task.ShardEpoch = c.GetShardEpoch()
	ref := machine.TaskRef{Task: task.ID, Attempt: task.Attempt}
	if a := w.attempts[ref]; a != nil {
		return a, ""
	}
	switch {
	case !w.reachable:
		return nil, "worker_unreachable"
	case w.draining():
		return nil, "worker_leaving"
	}
	a := &rackAttempt{worker: w, task: task, state: state}
	if free := w.free(); !task.Resources.Fits(free) {
		if !p.GetPreempt() || state == attemptReserved {
			return nil, machine.ReasonNoCapacity
		}
		if a.victims = t.chooseVictims(w, task, free); a.victims == nil {
			return nil, "no_victims"
		}
	}
	w.attempts[ref] = a
	t.notifyChanged()
	return a, ""
}

// chooseVictims chooses the cheapest preemption on w that frees enough resources for task.
// It marks the victims so that they are not chosen again, and returns nil if there are none.
func (t *rackTenure) chooseVictims(w *worker, task workload.Task, free machine.Resources) []*rackAttempt {
	var running []workload.Task
	byID := make(map[string]*rackAttempt)
	for _, a := range w.attempts {
		if a.state == string(workload.Running) && a.stopMode == "" && a.task.Preemptible {
			running = append(running, a.task)
			byID[a.task.ID] = a
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].ID < running[j].ID })
	t.owner.victimEngineMu.Lock()
	vs, ok := t.owner.victimEngine.Victims(running, free, task.Resources, task.Priority)
	t.owner.victimEngineMu.Unlock()
	if !ok {
		return nil
	}
	out := make([]*rackAttempt, 0, len(vs))
	for _, v := range vs {
		if a := byID[v.Task.ID]; a != nil {
			a.stopMode = machine.StopMode(v.Mode)
			a.reason = "preempted"
			out = append(out, a)
			t.owner.counts.inc("preemption", string(v.Mode))
		}
	}
	return out
}

// nodeState returns the state of w for the job scheduler of a shard, which accounts for its
// own tasks itself; the tasks of other shards are summed up. Preemptible is the part of the
// sum that preemption could free.
func (t *rackTenure) nodeState(w *worker, shard string) *rpc.NodeState {
	var foreign, preemptible machine.Resources
	for _, a := range w.attempts {
		if !a.holdsResources() || a.task.Shard == shard {
			continue
		}
		foreign = foreign.Add(a.resources())
		if a.task.Preemptible && a.state == string(workload.Running) && a.stopMode == "" {
			preemptible = preemptible.Add(a.resources())
		}
	}
	return &rpc.NodeState{
		Id: w.host.ID, Total: toAmount(w.capacity), Foreign: toAmount(foreign), Preemptible: toAmount(preemptible),
		Draining: w.draining(), Unreachable: !w.reachable,
	}
}
