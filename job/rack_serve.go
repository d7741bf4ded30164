package job

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Place implements rpc.DRPCRackOwnerServer. It checks every task against the rack owner's
// own state of the worker, starts those that fit and answers per task.
func (r *RackOwner) Place(ctx context.Context, req *rpc.PlaceRequest) (*rpc.PlaceReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	if err := t.acceptCall(req.GetCall(), false); err != nil {
		t.mu.Unlock()
		return nil, toWire(err)
	}
	reply, admitted := &rpc.PlaceReply{}, make([]*rackAttempt, 0, len(req.GetTasks()))
	for _, p := range req.GetTasks() {
		a, reason := t.admit(p, req.GetCall(), attemptPending)
		if a == nil {
			t.refuse(reply, p, req.GetCall().GetShard(), reason)
			continue
		}
		t.queueStart(a)
		admitted = append(admitted, a)
	}
	t.mu.Unlock()
	return t.awaitStarts(ctx, reply, admitted), nil
}

// refuse adds to reply that the task certainly does not start, and the current state of its
// worker.
func (t *rackTenure) refuse(reply *rpc.PlaceReply, p *rpc.PlacedTask, shard, reason string) {
	t.owner.counts.inc("place_refused", reason)
	reply.Tasks = append(reply.Tasks, &rpc.TaskEvent{
		Task: p.GetTask().GetId(), Attempt: p.GetTask().GetAttempt(), Node: p.GetNode(),
		State: attemptNotStarted, Reason: reason,
	})
	if w := t.workers[p.GetNode()]; w != nil {
		reply.Nodes = append(reply.Nodes, t.nodeState(w, shard))
	}
}

// queueStart queues the start of a pending attempt, unless it was queued before. If the
// command queue of the worker is full, the attempt ends as not started.
func (t *rackTenure) queueStart(a *rackAttempt) {
	if a.state != attemptPending || a.startQueued {
		return
	}
	a.startQueued = true
	if a.startDecided == nil {
		a.startDecided = make(chan struct{})
	}
	if !a.worker.enqueue(func(ctx context.Context) { a.worker.startTask(ctx, a) }) {
		a.setState(attemptNotStarted, "worker_busy")
	}
}

// awaitStarts waits until the outcomes of the starts are known, at most PlaceWait, and adds
// the states of the attempts to reply.
func (t *rackTenure) awaitStarts(ctx context.Context, reply *rpc.PlaceReply, attempts []*rackAttempt) *rpc.PlaceReply {
	timer := time.NewTimer(t.owner.cfg.PlaceWait)
	defer timer.Stop()
	expired := false
	for _, a := range attempts {
		t.mu.Lock()
		decided := a.startDecided
		t.mu.Unlock()
		if decided == nil || expired {
			continue
		}
		select {
		case <-decided:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		case <-t.ctx.Done():
			expired = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range attempts {
		reply.Tasks = append(reply.Tasks, toTaskEvent(a))
		if a.state == attemptNotStarted {
			reply.Nodes = append(reply.Nodes, t.nodeState(a.worker, a.task.Shard))
		}
	}
	return reply
}

// toTaskEvent returns the state of a as it is sent to job schedulers.
func toTaskEvent(a *rackAttempt) *rpc.TaskEvent {
	return &rpc.TaskEvent{
		Task: a.task.ID, Attempt: int64(a.task.Attempt), Node: a.worker.host.ID, State: a.state, Reason: a.reason,
		RanMs: a.ranMS, Exit: int32(a.exit), Used: toAmount(a.usage),
	}
}

// Reserve implements rpc.DRPCRackOwnerServer. It reserves resources for all tasks of the
// request or for none.
func (r *RackOwner) Reserve(_ context.Context, req *rpc.ReserveRequest) (*rpc.PlaceReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.acceptCall(req.GetCall(), false); err != nil {
		return nil, toWire(err)
	}
	reply := &rpc.PlaceReply{}
	res := &reservation{shard: req.GetCall().GetShard(), expires: t.owner.cfg.Now().Add(t.owner.cfg.ReservationTTL)}
	t.reservations[req.GetReservation()] = res
	for _, p := range req.GetTasks() {
		a, reason := t.admit(p, req.GetCall(), attemptReserved)
		if a == nil {
			t.release(req.GetReservation())
			reply = &rpc.PlaceReply{}
			t.refuse(reply, p, res.shard, reason)
			return reply, nil
		}
		res.tasks = append(res.tasks, a)
		reply.Tasks = append(reply.Tasks, toTaskEvent(a))
	}
	return reply, nil
}

// Commit implements rpc.DRPCRackOwnerServer. It starts the tasks of a reservation. If the
// reservation has expired, it starts nothing and answers an error of kind errkind.Conflict.
func (r *RackOwner) Commit(ctx context.Context, req *rpc.CommitRequest) (*rpc.PlaceReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	if err := t.acceptCall(req.GetCall(), false); err != nil {
		t.mu.Unlock()
		return nil, toWire(err)
	}
	res := t.reservations[req.GetReservation()]
	if res == nil {
		t.mu.Unlock()
		return nil, toWire(errkind.New(errkind.Conflict, "reservation_expired",
			"reservation %s does not exist or has expired", req.GetReservation()))
	}
	delete(t.reservations, req.GetReservation())
	for _, a := range res.tasks {
		a.state = attemptPending
		t.queueStart(a)
	}
	t.mu.Unlock()
	return t.awaitStarts(ctx, &rpc.PlaceReply{}, res.tasks), nil
}

// Release implements rpc.DRPCRackOwnerServer. It drops a reservation that is not committed;
// for any other it does nothing.
func (r *RackOwner) Release(_ context.Context, req *rpc.CommitRequest) (*rpc.Done, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.acceptCall(req.GetCall(), false); err != nil {
		return nil, toWire(err)
	}
	t.release(req.GetReservation())
	return &rpc.Done{}, nil
}

// Stop implements rpc.DRPCRackOwnerServer. It answers before the workers have stopped the
// tasks. The stops are repeated until an inventory shows the ends, which are then reported.
func (r *RackOwner) Stop(_ context.Context, req *rpc.StopRequest) (*rpc.Done, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.acceptCall(req.GetCall(), false); err != nil {
		return nil, toWire(err)
	}
	for _, e := range req.GetTasks() {
		t.queueStop(e)
	}
	return &rpc.Done{}, nil
}

// queueStop queues the stop of one attempt. The reason field of e holds the
// machine.StopMode; empty means machine.ModeStop.
func (t *rackTenure) queueStop(e *rpc.TaskEvent) {
	w := t.workers[e.GetNode()]
	if w == nil {
		return
	}
	a := w.attempts[machine.TaskRef{Task: e.GetTask(), Attempt: int(e.GetAttempt())}]
	if a == nil || !a.holdsResources() {
		return
	}
	a.stopMode = machine.ModeStop
	t.notifyChanged()
	if e.GetReason() != "" {
		a.stopMode = machine.StopMode(e.GetReason())
	}
	// If the queue is full, the next renewal repeats the stop.
	w.enqueue(func(ctx context.Context) {
		t.mu.Lock()
		runs := workload.TaskState(a.state).Holds()
		w.renewNow = true
		t.mu.Unlock()
		if runs {
			w.stopTask(ctx, a)
		}
	})
}

// Adopt implements rpc.DRPCRackOwnerServer. It answers the states of all workers of the rack
// and of all attempts of the calling shard. Earlier calls of the shard that arrive later are
// refused.
func (r *RackOwner) Adopt(_ context.Context, req *rpc.AdoptRequest) (*rpc.AdoptReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hostsKnown {
		return nil, toWire(errkind.New(errkind.NotReady, "no_host_list", "the rack owner has not read the host list yet"))
	}
	if err := t.acceptCall(req.GetCall(), true); err != nil {
		return nil, toWire(err)
	}
	shard, now := req.GetCall().GetShard(), r.cfg.Now()
	t.revision++
	reply := &rpc.AdoptReply{RackEpoch: uint64(t.epoch), Revision: t.revision}
	for id, w := range t.workers {
		reply.Nodes = append(reply.Nodes, t.nodeState(w, shard))
		if !w.attemptsKnown(now) {
			reply.Unsettled = append(reply.Unsettled, id)
		}
		for _, a := range w.attempts {
			if a.task.Shard == shard {
				e := toTaskEvent(a)
				e.Spec = toTaskSpec(a.task)
				reply.Tasks = append(reply.Tasks, e)
			}
		}
	}
	return reply, nil
}
