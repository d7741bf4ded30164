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

// gangWait bounds the wait for the starts of a gang after its commit. It covers
// the settling of a lost answer by the next inventory.
const gangWait = 10 * time.Second

// gang is the start of all tasks of a gang job.
type gang struct {
	sh      *shard
	job     *jobState
	flights []*flight
	partial bool // the proposal could not be used whole
	changed chan struct{}
	failed  string // reason, guarded by the lock of the shard
}

// gangOp is one call for a part of a gang.
type gangOp struct {
	step    gangStep
	id      string
	flights []*flight
	done    chan error
}

type gangStep int

const (
	gangReserve gangStep = iota
	gangCommit
	gangRelease
)

// run reserves on the racks in ascending order, so that two gangs cannot wait
// for each other, then commits. Any failure releases and stops everything.
func (g *gang) run() {
	byRack := lo.GroupBy(g.flights, func(f *flight) contract.Key { return f.rack })
	racks := lo.Keys(byRack)
	sort.Slice(racks, func(i, j int) bool { return racks[i] < racks[j] })
	id := fmt.Sprintf("%s/%d", g.job.job.ID, g.flights[0].task.Attempt)
	reason := ""
	if g.partial {
		reason = "gang_not_whole"
	}
	reserved := 0
	for _, k := range racks {
		if reason != "" {
			break
		}
		reserved++
		if err := g.do(k, gangReserve, id, byRack[k]); err != nil {
			reason = errkind.ReasonOf(err)
		}
	}
	if reason != "" {
		g.abort(reason)
		for _, k := range racks[:reserved] {
			_ = g.do(k, gangRelease, id, nil)
		}
		return
	}
	for _, k := range racks {
		if err := g.do(k, gangCommit, id, byRack[k]); err != nil {
			reason = errkind.ReasonOf(err)
			break
		}
	}
	if reason == "" {
		reason = g.await()
	}
	if reason != "" {
		g.abort(reason)
		for _, k := range racks {
			_ = g.do(k, gangRelease, id, nil)
		}
	}
}

// do runs one step on one rack through its session.
func (g *gang) do(k contract.Key, step gangStep, id string, flights []*flight) error {
	op := &gangOp{step: step, id: id, flights: flights, done: make(chan error, 1)}
	g.sh.mu.Lock()
	rs := g.sh.racks[k]
	if g.failed != "" && step != gangRelease {
		g.sh.mu.Unlock()
		return errkind.New(errkind.Cancelled, g.failed, "gang was given up")
	}
	rs.ops = append(rs.ops, op)
	g.sh.mu.Unlock()
	wake(rs.kick)
	select {
	case err := <-op.done:
		return err
	case <-g.sh.ctx.Done():
		return errkind.Wrap(errkind.Cancelled, "shard_left", g.sh.ctx.Err())
	}
}

// await waits until every task runs, and then commits the gang in the engine.
func (g *gang) await() string {
	ctx, cancel := context.WithTimeout(g.sh.ctx, gangWait)
	defer cancel()
	for {
		g.sh.mu.Lock()
		running := lo.CountBy(g.flights, func(f *flight) bool { return f.running })
		gone := lo.CountBy(g.flights, func(f *flight) bool { return !f.running && g.sh.flights[f.task.ID] != f })
		failed := g.failed
		if failed == "" && running == len(g.flights) {
			for _, f := range g.flights {
				if g.sh.flights[f.task.ID] == f {
					g.sh.commit(f)
				}
			}
			g.sh.mu.Unlock()
			return ""
		}
		g.sh.mu.Unlock()
		switch {
		case failed != "":
			return failed
		case gone > 0:
			return "gang_member_not_started"
		}
		select {
		case <-g.changed:
		case <-ctx.Done():
			return "gang_start_timeout"
		}
	}
}

// abort gives the gang up: what was never sent is rejected, the rest is stopped
// and rejected when its end is known.
func (g *gang) abort(reason string) {
	sh := g.sh
	sh.mu.Lock()
	defer sh.mu.Unlock()
	g.failed = reason
	sh.s.counts.inc("gang_given_up", reason)
	for _, f := range g.flights {
		if sh.flights[f.task.ID] != f {
			continue
		}
		if !f.sent {
			sh.reject(f, reason)
			continue
		}
		sh.stop(f, machine.ModeStop)
	}
}

// gangCall makes the call of one step.
func (rs *rackSession) gangCall(ctx context.Context, op *gangOp) error {
	sh := rs.sh
	var reply *rpc.PlaceReply
	err := rs.call(ctx, func(ctx context.Context, srv rpc.DRPCRackOwnerServer, c *rpc.Call) (err error) {
		switch op.step {
		case gangReserve:
			req := &rpc.ReserveRequest{Call: c, Reservation: op.id}
			for _, f := range op.flights {
				req.Tasks = append(req.Tasks, f.placed())
			}
			reply, err = srv.Reserve(ctx, req)
		case gangCommit:
			sh.mu.Lock()
			for _, f := range op.flights {
				f.sent = true
			}
			sh.mu.Unlock()
			reply, err = srv.Commit(ctx, &rpc.CommitRequest{Call: c, Reservation: op.id})
		default:
			_, err = srv.Release(ctx, &rpc.CommitRequest{Call: c, Reservation: op.id})
		}
		return err
	})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err != nil {
		rs.failed(err, nil)
		if op.step == gangCommit && errkind.ResponseOf(err).Outcome == errkind.NotRun {
			for _, f := range op.flights {
				f.sent = false
			}
		}
		return err
	}
	if op.step != gangReserve {
		rs.answered(reply)
		return nil
	}
	for _, n := range reply.GetNodes() {
		rs.setNode(n)
	}
	for _, e := range reply.GetTasks() {
		if e.GetState() != stateReserved {
			return errkind.New(errkind.NoCapacity, e.GetReason(), "task %s on %s", e.GetTask(), e.GetNode())
		}
	}
	return nil
}
