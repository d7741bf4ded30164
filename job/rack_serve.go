package job

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Place implements rpc.DRPCRackOwnerServer. It starts the tasks that fit the
// rack owner's own state and answers per task.
func (r *RackOwner) Place(ctx context.Context, req *rpc.PlaceRequest) (*rpc.PlaceReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	if err := t.accept(req.GetCall(), false); err != nil {
		t.mu.Unlock()
		return nil, toWire(err)
	}
	reply, wait := &rpc.PlaceReply{}, make([]*held, 0, len(req.GetTasks()))
	for _, p := range req.GetTasks() {
		h, reason := t.admit(p, req.GetCall(), statePending)
		if h == nil {
			t.refuse(reply, p, req.GetCall().GetShard(), reason)
			continue
		}
		t.launch(h)
		wait = append(wait, h)
	}
	t.mu.Unlock()
	return t.outcome(ctx, reply, wait), nil
}

// refuse adds a certain refusal with the fresh state of the worker.
func (t *rackTenure) refuse(reply *rpc.PlaceReply, p *rpc.PlacedTask, shard, reason string) {
	t.rack.counts.inc("place_refused", reason)
	reply.Tasks = append(reply.Tasks, &rpc.TaskEvent{
		Task: p.GetTask().GetId(), Attempt: p.GetTask().GetAttempt(), Node: p.GetNode(), State: stateNotStarted, Reason: reason,
	})
	if w := t.workers[p.GetNode()]; w != nil {
		reply.Nodes = append(reply.Nodes, t.node(w, shard))
	}
}

// launch queues the start of h unless it was queued before.
func (t *rackTenure) launch(h *held) {
	if h.state != statePending || h.queued {
		return
	}
	h.queued = true
	if h.decided == nil {
		h.decided = make(chan struct{})
	}
	if !h.worker.enqueue(func(ctx context.Context) { h.worker.startTask(ctx, h) }) {
		h.set(stateNotStarted, "worker_busy")
	}
}

// outcome waits for the starts, at most PlaceWait, and adds their states.
func (t *rackTenure) outcome(ctx context.Context, reply *rpc.PlaceReply, wait []*held) *rpc.PlaceReply {
	timer := time.NewTimer(t.rack.cfg.PlaceWait)
	defer timer.Stop()
	expired := false
	for _, h := range wait {
		t.mu.Lock()
		decided := h.decided
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
	for _, h := range wait {
		reply.Tasks = append(reply.Tasks, event(h))
		if h.state == stateNotStarted {
			reply.Nodes = append(reply.Nodes, t.node(h.worker, h.task.Shard))
		}
	}
	return reply
}

func event(h *held) *rpc.TaskEvent {
	return &rpc.TaskEvent{
		Task: h.task.ID, Attempt: int64(h.task.Attempt), Node: h.worker.host.ID, State: h.state, Reason: h.reason,
		RanMs: h.ranMS, Exit: int32(h.exit), Used: toAmount(h.usage),
	}
}

// Reserve implements rpc.DRPCRackOwnerServer. It holds resources for all tasks
// or for none.
func (r *RackOwner) Reserve(_ context.Context, req *rpc.ReserveRequest) (*rpc.PlaceReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.accept(req.GetCall(), false); err != nil {
		return nil, toWire(err)
	}
	reply := &rpc.PlaceReply{}
	res := &reservation{shard: req.GetCall().GetShard(), expires: t.rack.cfg.Now().Add(t.rack.cfg.ReservationTTL)}
	t.reservations[req.GetReservation()] = res
	for _, p := range req.GetTasks() {
		h, reason := t.admit(p, req.GetCall(), stateReserved)
		if h == nil {
			t.releaseLocked(req.GetReservation())
			reply = &rpc.PlaceReply{}
			t.refuse(reply, p, res.shard, reason)
			return reply, nil
		}
		res.tasks = append(res.tasks, h)
		reply.Tasks = append(reply.Tasks, event(h))
	}
	return reply, nil
}

// Commit implements rpc.DRPCRackOwnerServer. It starts the tasks of a
// reservation; an expired one starts nothing.
func (r *RackOwner) Commit(ctx context.Context, req *rpc.CommitRequest) (*rpc.PlaceReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	if err := t.accept(req.GetCall(), false); err != nil {
		t.mu.Unlock()
		return nil, toWire(err)
	}
	res := t.reservations[req.GetReservation()]
	if res == nil {
		t.mu.Unlock()
		return nil, toWire(errkind.New(errkind.Conflict, "reservation_expired", "reservation %s is not held", req.GetReservation()))
	}
	delete(t.reservations, req.GetReservation())
	for _, h := range res.tasks {
		h.state = statePending
		t.launch(h)
	}
	t.mu.Unlock()
	return t.outcome(ctx, &rpc.PlaceReply{}, res.tasks), nil
}

// Release implements rpc.DRPCRackOwnerServer.
func (r *RackOwner) Release(_ context.Context, req *rpc.CommitRequest) (*rpc.Done, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.accept(req.GetCall(), false); err != nil {
		return nil, toWire(err)
	}
	t.releaseLocked(req.GetReservation())
	return &rpc.Done{}, nil
}

// Stop implements rpc.DRPCRackOwnerServer. The stops are repeated until an
// inventory shows the ends, which are then reported.
func (r *RackOwner) Stop(_ context.Context, req *rpc.StopRequest) (*rpc.Done, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.accept(req.GetCall(), false); err != nil {
		return nil, toWire(err)
	}
	for _, e := range req.GetTasks() {
		t.stopLocked(e)
	}
	return &rpc.Done{}, nil
}

// stopLocked queues the stop of one attempt. The mode is in the reason field;
// empty means a plain stop.
func (t *rackTenure) stopLocked(e *rpc.TaskEvent) {
	w := t.workers[e.GetNode()]
	if w == nil {
		return
	}
	h := w.tasks[machine.TaskRef{Task: e.GetTask(), Attempt: int(e.GetAttempt())}]
	if h == nil || !h.holds() {
		return
	}
	h.stopMode = machine.ModeStop
	t.changed()
	if e.GetReason() != "" {
		h.stopMode = machine.StopMode(e.GetReason())
	}
	// If the queue is full, the next renewal repeats the stop.
	w.enqueue(func(ctx context.Context) {
		t.mu.Lock()
		active := workload.TaskState(h.state).HoldsResources()
		w.soon = true
		t.mu.Unlock()
		if active {
			w.stopTask(ctx, h)
		}
	})
}

// Adopt implements rpc.DRPCRackOwnerServer. It tells a job scheduler what the
// rack holds for its shard, and closes all its earlier calls.
func (r *RackOwner) Adopt(_ context.Context, req *rpc.AdoptRequest) (*rpc.AdoptReply, error) {
	t, err := r.tenure(req.GetCall().GetRack())
	if err != nil {
		return nil, toWire(err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listed {
		return nil, toWire(errkind.New(errkind.NotReady, "no_host_list", "the host list was not read yet"))
	}
	if err := t.accept(req.GetCall(), true); err != nil {
		return nil, toWire(err)
	}
	shard, now := req.GetCall().GetShard(), r.cfg.Now()
	t.revision++
	reply := &rpc.AdoptReply{RackEpoch: uint64(t.epoch), Revision: t.revision}
	for id, w := range t.workers {
		reply.Nodes = append(reply.Nodes, t.node(w, shard))
		if !w.settled(now) {
			reply.Unsettled = append(reply.Unsettled, id)
		}
		for _, h := range w.tasks {
			if h.task.Shard == shard {
				e := event(h)
				e.Spec = toSpec(h.task)
				reply.Tasks = append(reply.Tasks, e)
			}
		}
	}
	return reply, nil
}
