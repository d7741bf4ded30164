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
	// placeBatch bounds the tasks of one Place call.
	placeBatch = 64
	// sessionPoll is how often a session looks for a new rack owner.
	sessionPoll = 250 * time.Millisecond
)

// rackSession is the conversation of a job scheduler with the owner of one rack.
// Its goroutine makes all calls, one at a time. After a call with an unknown
// outcome it adopts the rack again, which closes that call and shows its effect.
type rackSession struct {
	sh   *shard
	key  contract.Key
	kick chan struct{}

	number uint64 // of the last call

	// The fields below are guarded by the lock of the shard.
	owner     string
	epoch     uint64 // of the rack owner that was adopted; zero is none
	revision  uint64 // of the last report of that epoch
	adopted   time.Time
	unsettled map[string]bool
	nodes     map[string]*rpc.NodeState
	places    []*flight
	stops     []*flight
	ops       []*gangOp
}

func (rs *rackSession) run() {
	ctx := rs.sh.ctx
	for ctx.Err() == nil {
		if !rs.sh.tenure() {
			pause.For(ctx, rs.sh.s.cfg.RetryPause)
			continue
		}
		if rs.stale() {
			if err := rs.adopt(ctx); err != nil {
				rs.sh.s.counts.inc("adopt_failed", errkind.ReasonOf(err))
				rs.giveUp()
				pause.For(ctx, rs.sh.s.cfg.RetryPause)
				continue
			}
		}
		if rs.work(ctx) {
			continue
		}
		t := time.NewTimer(sessionPoll)
		select {
		case <-rs.kick:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// stale reports whether the rack must be adopted (again).
func (rs *rackSession) stale() bool {
	owner, e, ok := rs.sh.s.cfg.Ownership.Owner(rs.key)
	rs.sh.mu.Lock()
	defer rs.sh.mu.Unlock()
	if rs.epoch == 0 || ok && (owner != rs.owner || uint64(e) != rs.epoch) {
		return true
	}
	return len(rs.unsettled) > 0 && rs.sh.s.cfg.Now().Sub(rs.adopted) >= rs.sh.s.cfg.AdoptEvery
}

// work makes the calls that are due and reports whether there were any.
func (rs *rackSession) work(ctx context.Context) bool {
	rs.sh.mu.Lock()
	n := min(len(rs.places), placeBatch)
	places := rs.places[:n:n]
	rs.places = rs.places[n:]
	stops, ops := rs.stops, rs.ops
	rs.stops, rs.ops = nil, nil
	for _, f := range places {
		f.sent = true
	}
	rs.sh.mu.Unlock()
	for _, op := range ops {
		op.done <- rs.gangCall(ctx, op)
	}
	if len(places) > 0 {
		rs.place(ctx, places)
	}
	if len(stops) > 0 {
		rs.stop(ctx, stops)
	}
	return len(places)+len(stops)+len(ops) > 0
}

// call runs fn against the rack owner that was adopted.
func (rs *rackSession) call(ctx context.Context, fn func(context.Context, rpc.DRPCRackOwnerServer, *rpc.Call) error) error {
	sh := rs.sh
	if !sh.tenure() {
		return errkind.New(errkind.NotOwner, "tenure_passed", "tenure of %s has passed", sh.key)
	}
	sh.mu.Lock()
	owner, epoch := rs.owner, rs.epoch
	sh.mu.Unlock()
	rs.number++
	head := &rpc.Call{
		Rack: string(rs.key), RackEpoch: epoch, Shard: string(sh.key), ShardEpoch: uint64(sh.epoch), Number: rs.number,
	}
	ctx, cancel := context.WithTimeout(ctx, sh.s.cfg.CallTimeout)
	defer cancel()
	srv, err := sh.s.rackOwner(ctx, owner)
	if err != nil {
		return err
	}
	return fromWire(fn(ctx, srv, head))
}

// rackOwner returns the rack owner in the daemon id.
func (s *Scheduler) rackOwner(ctx context.Context, id string) (rpc.DRPCRackOwnerServer, error) {
	if id == s.cfg.Peers.Self().ID && s.local != nil {
		return s.local, nil
	}
	conn, err := s.cfg.Peers.Conn(ctx, id)
	if err != nil {
		return nil, fromWire(err)
	}
	return rpc.NewDRPCRackOwnerClient(conn), nil
}

// adopt learns what the rack holds and settles every flight on it.
func (rs *rackSession) adopt(ctx context.Context) error {
	sh := rs.sh
	owner, e, ok := sh.s.cfg.Ownership.Owner(rs.key)
	if !ok || owner == "" {
		return errkind.New(errkind.NotReady, "rack_not_owned", "rack %s has no owner", rs.key)
	}
	sh.mu.Lock()
	rs.owner = owner
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
	if rs.epoch == reply.GetRackEpoch() && reply.GetRevision() < rs.revision {
		return errkind.New(errkind.NotReady, "passed_by_report", "adoption %d of rack %s is older than report %d",
			reply.GetRevision(), rs.key, rs.revision)
	}
	rs.revision = reply.GetRevision()
	rs.epoch, rs.unsettled, rs.adopted = reply.GetRackEpoch(), make(map[string]bool), sh.s.cfg.Now()
	for _, n := range reply.GetUnsettled() {
		rs.unsettled[n] = true
	}
	for _, n := range reply.GetNodes() {
		rs.setNode(n)
	}
	listed := make(map[machine.TaskRef]bool)
	for _, ev := range reply.GetTasks() {
		listed[machine.TaskRef{Task: ev.GetTask(), Attempt: int(ev.GetAttempt())}] = true
		sh.found(rs, ev)
	}
	rs.settleFlights(listed)
	sh.checkRecovered()
	wake(sh.kick)
	return nil
}

func (rs *rackSession) setNode(n *rpc.NodeState) {
	rs.nodes[n.GetId()] = n
	rs.sh.setNode(rs.key, n, rs.epoch != 0)
}

// settleFlights ends the flights that the rack does not hold.
func (rs *rackSession) settleFlights(listed map[machine.TaskRef]bool) {
	sh := rs.sh
	for _, f := range sh.flights {
		if f.rack != rs.key || !f.sent || rs.unsettled[f.node] {
			continue
		}
		switch {
		case listed[machine.TaskRef{Task: f.task.ID, Attempt: f.task.Attempt}]:
			if f.stopMode != "" {
				rs.stops = append(rs.stops, f)
			}
		case f.running:
			sh.end(f, placement.TaskResult{State: workload.Lost})
		default:
			sh.reject(f, "not_held")
		}
	}
}

// giveUp takes the workers of the rack out of use until it is adopted again, and
// returns what was not sent.
func (rs *rackSession) giveUp() {
	sh := rs.sh
	sh.mu.Lock()
	defer sh.mu.Unlock()
	places, ops := rs.places, rs.ops
	rs.epoch, rs.places, rs.ops = 0, nil, nil
	for _, n := range rs.nodes {
		sh.setNode(rs.key, n, false)
	}
	for _, op := range ops {
		op.done <- errkind.New(errkind.Unreachable, "rack_not_adopted", "rack %s is not adopted", rs.key)
	}
	for _, f := range places {
		sh.reject(f, "rack_not_adopted")
	}
}

// place proposes tasks to the rack owner.
func (rs *rackSession) place(ctx context.Context, flights []*flight) {
	req := &rpc.PlaceRequest{}
	for _, f := range flights {
		req.Tasks = append(req.Tasks, f.placed())
	}
	var reply *rpc.PlaceReply
	err := rs.call(ctx, func(ctx context.Context, srv rpc.DRPCRackOwnerServer, c *rpc.Call) (err error) {
		req.Call = c
		reply, err = srv.Place(ctx, req)
		return err
	})
	sh := rs.sh
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err != nil {
		rs.failed(err, flights)
		return
	}
	rs.answered(reply)
}

func (f *flight) placed() *rpc.PlacedTask {
	return &rpc.PlacedTask{Task: toSpec(f.task), Node: f.node, Preempt: f.preempt}
}

// failed handles a call without an answer per task. Only an adoption settles an
// unknown outcome.
func (rs *rackSession) failed(err error, flights []*flight) {
	rs.epoch = 0
	rs.sh.s.counts.inc("place_failed", errkind.ReasonOf(err))
	if errkind.AnswerOf(err).Outcome != errkind.NotRun {
		return
	}
	for _, f := range flights {
		if rs.sh.flights[f.task.ID] == f {
			rs.sh.reject(f, "rack_"+string(errkind.Of(err)))
		}
	}
}

func (rs *rackSession) answered(reply *rpc.PlaceReply) {
	for _, n := range reply.GetNodes() {
		rs.setNode(n)
	}
	for _, e := range reply.GetTasks() {
		rs.sh.event(e)
	}
}

// stop asks for the end of tasks. Without an answer, the next adoption repeats it.
func (rs *rackSession) stop(ctx context.Context, flights []*flight) {
	req := &rpc.StopRequest{}
	rs.sh.mu.Lock()
	for _, f := range flights {
		if rs.sh.flights[f.task.ID] == f {
			req.Tasks = append(req.Tasks, &rpc.TaskEvent{
				Task: f.task.ID, Attempt: int64(f.task.Attempt), Node: f.node, Reason: string(f.stopMode),
			})
		}
	}
	rs.sh.mu.Unlock()
	err := rs.call(ctx, func(ctx context.Context, srv rpc.DRPCRackOwnerServer, c *rpc.Call) error {
		req.Call = c
		_, err := srv.Stop(ctx, req)
		return err
	})
	if err != nil {
		rs.sh.mu.Lock()
		rs.epoch = 0
		rs.sh.mu.Unlock()
	}
}
