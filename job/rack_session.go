package job

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

const (
	// maxPlaceTasks is the maximum number of tasks of one Place call.
	maxPlaceTasks = 64
	// sessionPoll is how often an idle session checks whether the rack has a new owner.
	sessionPoll = 250 * time.Millisecond
)

// rackSession makes the calls of one job scheduler to the owner of one rack. Its goroutine
// makes all calls, one at a time. After a failed call it adopts the rack again, which asks
// the rack owner for all attempts of the shard. The rack owner then refuses the earlier
// calls, and the answer shows whether they took effect.
type rackSession struct {
	shard *shard
	rack  contract.Key
	wake  chan struct{} // wakes run

	callNumber uint64 // of the last call; used by the goroutine of run only

	// The fields below are guarded by the lock of the shard.
	ownerID      string // daemon that owns the rack
	rackEpoch    uint64 // of the adopted rack owner; zero while the rack must be adopted
	revision     uint64 // of the last report or adoption of that epoch
	adoptedAt    time.Time
	unknownNodes map[string]bool           // workers whose tasks the owner does not know yet; nil until adopted once
	nodes        map[string]*rpc.NodeState // by worker id
	toPlace      []*attempt                // queued for the next Place call
	toStop       []*attempt                // queued for the next Stop call
	gangOps      []*gangOp                 // queued, each is a call of its own
}

// run adopts the rack and makes the queued calls until the tenure of the shard ends.
func (rs *rackSession) run() {
	ctx := rs.shard.ctx
	for ctx.Err() == nil {
		if !rs.shard.tenure() {
			pause.For(ctx, rs.shard.scheduler.cfg.RetryPause)
			continue
		}
		if rs.needsAdoption() {
			if err := rs.adopt(ctx); err != nil {
				rs.shard.scheduler.counts.inc("adopt_failed", errkind.ReasonOf(err))
				rs.dropAdoption()
				pause.For(ctx, rs.shard.scheduler.cfg.RetryPause)
				continue
			}
		}
		if rs.sendQueued(ctx) {
			continue
		}
		t := time.NewTimer(sessionPoll)
		select {
		case <-rs.wake:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// needsAdoption reports whether the rack must be adopted: it is not, its owner has changed,
// or the tasks of some workers were not known at the last adoption.
func (rs *rackSession) needsAdoption() bool {
	ownerID, e, ok := rs.shard.scheduler.cfg.Ownership.Owner(rs.rack)
	rs.shard.mu.Lock()
	defer rs.shard.mu.Unlock()
	if rs.rackEpoch == 0 || ok && (ownerID != rs.ownerID || uint64(e) != rs.rackEpoch) {
		return true
	}
	return len(rs.unknownNodes) > 0 && rs.shard.scheduler.cfg.Now().Sub(rs.adoptedAt) >= rs.shard.scheduler.cfg.AdoptEvery
}

// sendQueued makes the queued calls and reports whether there were any.
func (rs *rackSession) sendQueued(ctx context.Context) bool {
	rs.shard.mu.Lock()
	n := min(len(rs.toPlace), maxPlaceTasks)
	attempts := rs.toPlace[:n:n]
	rs.toPlace = rs.toPlace[n:]
	stops, ops := rs.toStop, rs.gangOps
	rs.toStop, rs.gangOps = nil, nil
	for _, a := range attempts {
		a.startSent = true
	}
	rs.shard.mu.Unlock()
	for _, op := range ops {
		op.done <- rs.gangCall(ctx, op)
	}
	if len(attempts) > 0 {
		rs.place(ctx, attempts)
	}
	if len(stops) > 0 {
		rs.stop(ctx, stops)
	}
	return len(attempts)+len(stops)+len(ops) > 0
}

// call runs fn with a client of the rack owner and the header of the next call, and
// restores the kind of its error. It makes no call without a tenure of the shard.
func (rs *rackSession) call(
	ctx context.Context, fn func(context.Context, rpc.DRPCRackOwnerServer, *rpc.Call) error,
) error {
	sh := rs.shard
	if !sh.tenure() {
		return errkind.New(errkind.NotOwner, "tenure_passed", "tenure of %s has passed", sh.key)
	}
	sh.mu.Lock()
	ownerID, epoch := rs.ownerID, rs.rackEpoch
	sh.mu.Unlock()
	rs.callNumber++
	header := &rpc.Call{
		Rack: string(rs.rack), RackEpoch: epoch, Shard: string(sh.key), ShardEpoch: uint64(sh.epoch), Number: rs.callNumber,
	}
	ctx, cancel := context.WithTimeout(ctx, sh.scheduler.cfg.CallTimeout)
	defer cancel()
	srv, err := sh.scheduler.rackOwner(ctx, ownerID)
	if err != nil {
		return err
	}
	return fromWire(fn(ctx, srv, header))
}

// rackOwner returns a client of the rack owner in the daemon with that id.
func (s *Scheduler) rackOwner(ctx context.Context, id string) (rpc.DRPCRackOwnerServer, error) {
	if id == s.cfg.Peers.Self().ID && s.localRackOwner != nil {
		return s.localRackOwner, nil
	}
	conn, err := s.cfg.Peers.Conn(ctx, id)
	if err != nil {
		return nil, fromWire(err)
	}
	return rpc.NewDRPCRackOwnerClient(conn), nil
}

// adopt asks the rack owner for the workers of the rack and all attempts of the shard, and
// resolves every attempt on the rack with the answer.
func (rs *rackSession) adopt(ctx context.Context) error {
	sh := rs.shard
	ownerID, e, ok := sh.scheduler.cfg.Ownership.Owner(rs.rack)
	if !ok || ownerID == "" {
		return errkind.New(errkind.NotReady, "rack_not_owned", "rack %s has no owner", rs.rack)
	}
	sh.mu.Lock()
	rs.ownerID = ownerID
	sh.mu.Unlock()
	var reply *rpc.AdoptReply
	err := rs.call(ctx, func(ctx context.Context, srv rpc.DRPCRackOwnerServer, c *rpc.Call) (err error) {
		reply, err = srv.Adopt(ctx, &rpc.AdoptRequest{Call: c})
		return err
	})
	if err != nil {
		return err
	}
	if reply.GetRackEpoch() != uint64(e) {
		return errkind.New(errkind.NotReady, "other_rack_epoch", "rack epoch is %d, owner has %d", e, reply.GetRackEpoch())
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if rs.rackEpoch == reply.GetRackEpoch() && reply.GetRevision() < rs.revision {
		return errkind.New(errkind.NotReady, "passed_by_report", "adoption %d of rack %s is older than report %d",
			reply.GetRevision(), rs.rack, rs.revision)
	}
	rs.revision = reply.GetRevision()
	rs.rackEpoch, rs.unknownNodes, rs.adoptedAt = reply.GetRackEpoch(), make(map[string]bool), sh.scheduler.cfg.Now()
	for _, n := range reply.GetUnsettled() {
		rs.unknownNodes[n] = true
	}
	for _, n := range reply.GetNodes() {
		rs.updateNode(n)
	}
	listed := make(map[machine.TaskRef]bool)
	for _, ev := range reply.GetTasks() {
		listed[machine.TaskRef{Task: ev.GetTask(), Attempt: int(ev.GetAttempt())}] = true
		sh.adoptAttempt(rs, ev)
	}
	rs.resolveAttempts(listed)
	sh.tryFinishRecovery()
	notify(sh.wakeDecide)
	return nil
}

// updateNode stores the state of a worker and passes it to the engine.
func (rs *rackSession) updateNode(n *rpc.NodeState) {
	rs.nodes[n.GetId()] = n
	rs.shard.updateNode(rs.rack, n, rs.rackEpoch != 0)
}

// resolveAttempts ends the sent attempts that the rack does not hold, as lost if they ran
// and as rejected otherwise, and repeats the stops of those that it holds. Attempts on
// workers whose tasks are not known yet are left alone.
func (rs *rackSession) resolveAttempts(listed map[machine.TaskRef]bool) {
	sh := rs.shard
	for _, a := range sh.attempts {
		if a.rack != rs.rack || !a.startSent || rs.unknownNodes[a.node] {
			continue
		}
		switch {
		case listed[machine.TaskRef{Task: a.task.ID, Attempt: a.task.Attempt}]:
			if a.stopMode != "" {
				rs.toStop = append(rs.toStop, a)
			}
		case a.running:
			sh.endAttempt(a, placement.TaskResult{State: workload.Lost})
		default:
			sh.rejectAttempt(a, "not_held")
		}
	}
}

// dropAdoption takes the workers of the rack out of use until it is adopted again, and
// rejects the attempts and gang steps that were not sent.
func (rs *rackSession) dropAdoption() {
	sh := rs.shard
	sh.mu.Lock()
	defer sh.mu.Unlock()
	attempts, ops := rs.toPlace, rs.gangOps
	rs.rackEpoch, rs.toPlace, rs.gangOps = 0, nil, nil
	for _, n := range rs.nodes {
		sh.updateNode(rs.rack, n, false)
	}
	for _, op := range ops {
		op.done <- errkind.New(errkind.Unreachable, "rack_not_adopted", "rack %s is not adopted", rs.rack)
	}
	for _, a := range attempts {
		sh.rejectAttempt(a, "rack_not_adopted")
	}
}

// place asks the rack owner to start attempts.
func (rs *rackSession) place(ctx context.Context, attempts []*attempt) {
	req := &rpc.PlaceRequest{}
	for _, a := range attempts {
		req.Tasks = append(req.Tasks, a.toPlacedTask())
	}
	var reply *rpc.PlaceReply
	err := rs.call(ctx, func(ctx context.Context, srv rpc.DRPCRackOwnerServer, c *rpc.Call) (err error) {
		req.Call = c
		reply, err = srv.Place(ctx, req)
		return err
	})
	sh := rs.shard
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err != nil {
		rs.requireAdoption(err, attempts)
		return
	}
	rs.applyReply(reply)
}

// toPlacedTask returns a in the form of a Place or Reserve call.
func (a *attempt) toPlacedTask() *rpc.PlacedTask {
	return &rpc.PlacedTask{Task: toTaskSpec(a.task), Node: a.node, Preempt: a.preempt}
}

// requireAdoption marks the rack as not adopted after a failed call. It rejects the attempts
// only if the call certainly had no effect; otherwise the next adoption resolves them.
func (rs *rackSession) requireAdoption(err error, attempts []*attempt) {
	rs.rackEpoch = 0
	rs.shard.scheduler.counts.inc("place_failed", errkind.ReasonOf(err))
	if errkind.ResponseOf(err).Outcome != errkind.NotRun {
		return
	}
	for _, a := range attempts {
		if rs.shard.attempts[a.task.ID] == a {
			rs.shard.rejectAttempt(a, "rack_"+string(errkind.Of(err)))
		}
	}
}

// applyReply applies the states of workers and attempts that a rack owner has answered.
func (rs *rackSession) applyReply(reply *rpc.PlaceReply) {
	for _, n := range reply.GetNodes() {
		rs.updateNode(n)
	}
	for _, e := range reply.GetTasks() {
		rs.shard.applyEvent(e)
	}
}

// stop asks the rack owner to stop attempts. If the call fails, the next adoption repeats
// the stops.
func (rs *rackSession) stop(ctx context.Context, attempts []*attempt) {
	req := &rpc.StopRequest{}
	rs.shard.mu.Lock()
	for _, a := range attempts {
		if rs.shard.attempts[a.task.ID] == a {
			req.Tasks = append(req.Tasks, &rpc.TaskEvent{
				Task: a.task.ID, Attempt: int64(a.task.Attempt), Node: a.node, Reason: string(a.stopMode),
			})
		}
	}
	rs.shard.mu.Unlock()
	err := rs.call(ctx, func(ctx context.Context, srv rpc.DRPCRackOwnerServer, c *rpc.Call) error {
		req.Call = c
		_, err := srv.Stop(ctx, req)
		return err
	})
	if err != nil {
		rs.shard.mu.Lock()
		rs.rackEpoch = 0
		rs.shard.mu.Unlock()
	}
}
