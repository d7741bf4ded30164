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

// rackTenure is one tenure of one rack.
type rackTenure struct {
	rack  *RackOwner
	key   contract.Key
	epoch contract.Epoch
	ctx   context.Context

	workersDone sync.WaitGroup
	news        chan struct{} // wakes run: something that reports tell may have changed

	mu           sync.Mutex
	closed       bool
	listed       bool // the host list was read
	workers      map[string]*worker
	shards       map[string]*shardView
	reservations map[string]*reservation
	revision     uint64          // of the last report or adoption
	reporting    map[string]bool // shards with a report under way
	missed       map[string]bool // shards passed over because of that
	deltaStart   int             // worker at which the next capacity delta starts
}

// shardView is what the rack owner knows about one job scheduler.
type shardView struct {
	epoch  uint64                    // highest seen
	number uint64                    // highest call number of that epoch
	sent   map[string]*rpc.NodeState // last capacity delta acknowledged
}

// reservation holds resources for a part of a gang job.
type reservation struct {
	shard   string
	expires time.Time
	tasks   []*held
}

func newRackTenure(ctx context.Context, r *RackOwner, k contract.Key, e contract.Epoch) *rackTenure {
	return &rackTenure{
		rack: r, key: k, epoch: e, ctx: ctx,
		workers: make(map[string]*worker), shards: make(map[string]*shardView), reservations: make(map[string]*reservation),
		reporting: make(map[string]bool), missed: make(map[string]bool), news: make(chan struct{}, 1),
	}
}

// deadline returns the instant until which commands may be sent.
func (t *rackTenure) deadline() (time.Time, bool) {
	ten, ok := t.rack.cfg.Ownership.Tenure(t.key)
	if !ok || ten.Epoch != t.epoch || !t.rack.cfg.Now().Before(ten.Deadline) {
		return time.Time{}, false
	}
	return ten.Deadline, true
}

// setHosts starts a goroutine for each new worker of the rack and marks those
// that are leaving or gone.
func (t *rackTenure) setHosts() {
	hosts, known := t.rack.fleet.workers(t.key)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !known || t.closed {
		return
	}
	t.listed = true
	seen := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		seen[h.ID] = true
		w := t.workers[h.ID]
		if w != nil && w.host.Address != h.Address {
			// What runs at the old address ends before the new one is used.
			w.leaving = true
			if !w.lapsed(t.rack.cfg.Now()) || len(w.tasks) > 0 {
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
	t.changed() // the configuration may have changed what drains, too
	for id, w := range t.workers {
		if !seen[id] {
			w.leaving = true
			if w.lapsed(t.rack.cfg.Now()) && len(w.tasks) == 0 {
				w.stop()
				delete(t.workers, id)
			}
		}
	}
}

// run sends reports until the tenure ends.
func (t *rackTenure) run() {
	var reports sync.WaitGroup
	for pause.For(t.ctx, t.rack.cfg.ReportEvery) {
		t.awaitNews()
		t.expireReservations()
		t.report(&reports)
	}
	reports.Wait()
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
}

// changed asks for a report, because something that reports tell may have changed.
func (t *rackTenure) changed() { wake(t.news) }

// awaitNews waits until something has changed or unsettled ends are repeated.
// Reservations expire between, so it does not wait while there are any.
func (t *rackTenure) awaitNews() {
	t.mu.Lock()
	reserved := len(t.reservations) > 0
	t.mu.Unlock()
	if reserved {
		return
	}
	timer := time.NewTimer(t.rack.cfg.ResendEvery)
	defer timer.Stop()
	select {
	case <-t.news:
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

func (t *rackTenure) expireReservations() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.rack.cfg.Now()
	for id, r := range t.reservations {
		if now.After(r.expires) {
			t.rack.counts.inc("reservation", "expired")
			t.releaseLocked(id)
		}
	}
}

func (t *rackTenure) releaseLocked(id string) {
	r := t.reservations[id]
	if r == nil {
		return
	}
	delete(t.reservations, id)
	for _, h := range r.tasks {
		if h.state == stateReserved {
			h.worker.forget(h)
		}
	}
}

// accept checks the head of a call and closes all earlier calls of the shard.
func (t *rackTenure) accept(c *rpc.Call, anyEpoch bool) error {
	if !anyEpoch && c.GetRackEpoch() != uint64(t.epoch) {
		return errkind.New(errkind.NotOwner, "other_rack_epoch", "rack epoch is %d, call has %d", t.epoch, c.GetRackEpoch())
	}
	if _, e, ok := t.rack.cfg.Ownership.Owner(contract.Key(c.GetShard())); ok && uint64(e) > c.GetShardEpoch() {
		return errkind.New(errkind.StaleEpoch, "stale_shard_epoch", "shard epoch is %d, call has %d", e, c.GetShardEpoch())
	}
	v := t.shard(c.GetShard())
	if c.GetShardEpoch() < v.epoch {
		return errkind.New(errkind.StaleEpoch, "stale_shard_epoch", "shard epoch is %d, call has %d", v.epoch, c.GetShardEpoch())
	}
	if c.GetShardEpoch() > v.epoch {
		v.epoch, v.number, v.sent = c.GetShardEpoch(), 0, make(map[string]*rpc.NodeState)
		t.changed()
		for id, r := range t.reservations {
			if r.shard == c.GetShard() {
				t.releaseLocked(id)
			}
		}
	}
	if c.GetNumber() <= v.number {
		return errkind.New(errkind.Conflict, "stale_call", "call %d was passed by call %d", c.GetNumber(), v.number)
	}
	v.number = c.GetNumber()
	return nil
}

func (t *rackTenure) shard(key string) *shardView {
	v := t.shards[key]
	if v == nil {
		v = &shardView{sent: make(map[string]*rpc.NodeState)}
		t.shards[key] = v
	}
	return v
}

// admit verifies one proposed task against the state of its worker and holds its
// resources. A nil result carries the reason.
func (t *rackTenure) admit(p *rpc.PlacedTask, c *rpc.Call, state string) (*held, string) {
	w := t.workers[p.GetNode()]
	if w == nil {
		return nil, "unknown_worker"
	}
	task := fromSpec(p.GetTask(), c.GetShard())
	task.ShardEpoch = c.GetShardEpoch()
	ref := machine.TaskRef{Task: task.ID, Attempt: task.Attempt}
	if h := w.tasks[ref]; h != nil {
		return h, ""
	}
	switch {
	case !w.reachable:
		return nil, "worker_unreachable"
	case w.closing():
		return nil, "worker_leaving"
	}
	h := &held{worker: w, task: task, state: state}
	if free := w.free(); !task.Resources.Fits(free) {
		if !p.GetPreempt() || state == stateReserved {
			return nil, machine.ReasonNoCapacity
		}
		if h.victims = t.victims(w, task, free); h.victims == nil {
			return nil, "no_victims"
		}
	}
	w.tasks[ref] = h
	t.changed()
	return h, ""
}

// victims chooses the cheapest preemption on w that makes room for task, and
// marks the victims so that they are not chosen twice.
func (t *rackTenure) victims(w *worker, task workload.Task, free machine.Resources) []*held {
	var running []workload.Task
	byID := make(map[string]*held)
	for _, h := range w.tasks {
		if h.state == string(workload.Running) && h.stopMode == "" && h.task.Preemptible {
			running = append(running, h.task)
			byID[h.task.ID] = h
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].ID < running[j].ID })
	t.rack.engineMu.Lock()
	vs, ok := t.rack.engine.Victims(running, free, task.Resources, task.Priority)
	t.rack.engineMu.Unlock()
	if !ok {
		return nil
	}
	out := make([]*held, 0, len(vs))
	for _, v := range vs {
		if h := byID[v.Task.ID]; h != nil {
			h.stopMode = machine.StopMode(v.Mode)
			h.reason = "preempted"
			out = append(out, h)
			t.rack.counts.inc("preemption", string(v.Mode))
		}
	}
	return out
}

// node returns the state of w for the job scheduler of a shard.
func (t *rackTenure) node(w *worker, shard string) *rpc.NodeState {
	var foreign, preemptible machine.Resources
	for _, h := range w.tasks {
		if !h.holds() || h.task.Shard == shard {
			continue
		}
		foreign = foreign.Add(h.uses())
		if h.task.Preemptible && h.state == string(workload.Running) && h.stopMode == "" {
			preemptible = preemptible.Add(h.uses())
		}
	}
	return &rpc.NodeState{
		Id: w.host.ID, Total: toAmount(w.capacity), Foreign: toAmount(foreign), Preemptible: toAmount(preemptible),
		Draining: w.closing(), Unreachable: !w.reachable,
	}
}
