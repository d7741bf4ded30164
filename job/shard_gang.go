package job

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// gangStartTimeout bounds the wait for the starts of a gang after its commit. It leaves
// time for a start whose answer was lost to show up in the next inventory of the worker.
const gangStartTimeout = 10 * time.Second

// gang starts all tasks of a gang job together: it reserves capacity on every rack, commits
// the reservations, and stops everything if one member cannot start.
type gang struct {
	shard       *shard
	job         *jobState
	attempts    []*attempt
	incomplete  bool          // some tasks of the proposal could not be used
	changed     chan struct{} // notifies awaitStarts that a member or abortReason changed
	abortReason string        // empty unless given up; guarded by the lock of the shard
}

// gangOp is one step for the members of a gang on one rack.
type gangOp struct {
	step        gangStep
	reservation string // id of the reservation
	attempts    []*attempt
	done        chan error // receives the outcome once
}

// gangStep is the call of a rack owner that a gangOp makes.
type gangStep int

const (
	gangReserve gangStep = iota
	gangCommit
	gangRelease
)

// run reserves on the racks in ascending order, so that two gangs cannot block each
// other, and then commits. After any failure it releases the reservations and stops the
// members that may have started.
func (g *gang) run() {
	byRack := lo.GroupBy(g.attempts, func(a *attempt) contract.Key { return a.rack })
	racks := lo.Keys(byRack)
	sort.Slice(racks, func(i, j int) bool { return racks[i] < racks[j] })
	reservation := fmt.Sprintf("%s/%d", g.job.job.ID, g.attempts[0].task.Attempt)
	reason := ""
	if g.incomplete {
		reason = "gang_not_whole"
	}
	reserved := 0
	for _, k := range racks {
		if reason != "" {
			break
		}
		reserved++
		if err := g.runStep(k, gangReserve, reservation, byRack[k]); err != nil {
			reason = errkind.ReasonOf(err)
		}
	}
	if reason != "" {
		g.abort(reason)
		for _, k := range racks[:reserved] {
			_ = g.runStep(k, gangRelease, reservation, nil)
		}
		return
	}
	for _, k := range racks {
		if err := g.runStep(k, gangCommit, reservation, byRack[k]); err != nil {
			reason = errkind.ReasonOf(err)
			break
		}
	}
	if reason == "" {
		reason = g.awaitStarts()
	}
	if reason != "" {
		g.abort(reason)
		for _, k := range racks {
			_ = g.runStep(k, gangRelease, reservation, nil)
		}
	}
}

// runStep runs one step on one rack through the session of the rack. After the gang was
// given up, it refuses every step but gangRelease.
func (g *gang) runStep(k contract.Key, step gangStep, reservation string, attempts []*attempt) error {
	op := &gangOp{step: step, reservation: reservation, attempts: attempts, done: make(chan error, 1)}
	g.shard.mu.Lock()
	rs := g.shard.sessions[k]
	if g.abortReason != "" && step != gangRelease {
		g.shard.mu.Unlock()
		return errkind.New(errkind.Cancelled, g.abortReason, "gang was given up")
	}
	rs.gangOps = append(rs.gangOps, op)
	g.shard.mu.Unlock()
	notify(rs.wake)
	select {
	case err := <-op.done:
		return err
	case <-g.shard.ctx.Done():
		return errkind.Wrap(errkind.Cancelled, "shard_left", g.shard.ctx.Err())
	}
}

// awaitStarts waits until every task runs, and then commits the gang in the engine. It
// returns an empty string, or the reason for which the gang must be given up.
func (g *gang) awaitStarts() string {
	ctx, cancel := context.WithTimeout(g.shard.ctx, gangStartTimeout)
	defer cancel()
	for {
		g.shard.mu.Lock()
		running := lo.CountBy(g.attempts, func(a *attempt) bool { return a.running })
		notStarted := lo.CountBy(g.attempts, func(a *attempt) bool { return !a.running && g.shard.attempts[a.task.ID] != a })
		reason := g.abortReason
		if reason == "" && running == len(g.attempts) {
			for _, a := range g.attempts {
				if g.shard.attempts[a.task.ID] == a {
					g.shard.commitToEngine(a)
				}
			}
			g.shard.mu.Unlock()
			return ""
		}
		g.shard.mu.Unlock()
		switch {
		case reason != "":
			return reason
		case notStarted > 0:
			return "gang_member_not_started"
		}
		select {
		case <-g.changed:
		case <-ctx.Done():
			return "gang_start_timeout"
		}
	}
}

// abort gives the gang up. Members that were not sent are rejected at once; the others
// are stopped, and rejected when their end is known.
func (g *gang) abort(reason string) {
	sh := g.shard
	sh.mu.Lock()
	defer sh.mu.Unlock()
	g.abortReason = reason
	sh.scheduler.counts.inc("gang_given_up", reason)
	for _, a := range g.attempts {
		if sh.attempts[a.task.ID] != a {
			continue
		}
		if !a.startSent {
			sh.rejectAttempt(a, reason)
			continue
		}
		sh.stopAttempt(a, machine.ModeStop)
	}
}

// gangCall makes the call of one step to the rack owner.
func (rs *rackSession) gangCall(ctx context.Context, op *gangOp) error {
	sh := rs.shard
	var reply *rpc.PlaceReply
	err := rs.call(ctx, func(ctx context.Context, srv rpc.DRPCRackOwnerServer, c *rpc.Call) (err error) {
		switch op.step {
		case gangReserve:
			req := &rpc.ReserveRequest{Call: c, Reservation: op.reservation}
			for _, a := range op.attempts {
				req.Tasks = append(req.Tasks, a.toPlacedTask())
			}
			reply, err = srv.Reserve(ctx, req)
		case gangCommit:
			sh.mu.Lock()
			for _, a := range op.attempts {
				a.startSent = true
			}
			sh.mu.Unlock()
			reply, err = srv.Commit(ctx, &rpc.CommitRequest{Call: c, Reservation: op.reservation})
		default:
			_, err = srv.Release(ctx, &rpc.CommitRequest{Call: c, Reservation: op.reservation})
		}
		return err
	})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err != nil {
		rs.requireAdoption(err, nil)
		if op.step == gangCommit && errkind.ResponseOf(err).Outcome == errkind.NotRun {
			for _, a := range op.attempts {
				a.startSent = false
			}
		}
		return err
	}
	if op.step != gangReserve {
		rs.applyReply(reply)
		return nil
	}
	for _, n := range reply.GetNodes() {
		rs.updateNode(n)
	}
	for _, e := range reply.GetTasks() {
		if e.GetState() != attemptReserved {
			return errkind.New(errkind.NoCapacity, e.GetReason(), "task %s on %s", e.GetTask(), e.GetNode())
		}
	}
	return nil
}
