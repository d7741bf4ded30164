package job

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// refusingRackOwner is a rack owner that refuses the first Reserve or Commit calls of one rack.
type refusingRackOwner struct {
	rpc.DRPCRackOwnerServer
	rack                              contract.Key
	mu                                sync.Mutex
	reservesToRefuse, commitsToRefuse int  // number of further refusals
	blockCommits                      bool // Commit does not answer before the caller gives up
}

// refuse returns an error and decreases left if the call is for the rack and left is not 0.
func (r *refusingRackOwner) refuse(left *int, c *rpc.Call) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.GetRack() != string(r.rack) || *left == 0 {
		return nil
	}
	*left--
	return toWire(errkind.New(errkind.Conflict, "refused_by_test", "refused"))
}

func (r *refusingRackOwner) Reserve(ctx context.Context, req *rpc.ReserveRequest) (*rpc.PlaceReply, error) {
	if err := r.refuse(&r.reservesToRefuse, req.GetCall()); err != nil {
		return nil, err
	}
	return r.DRPCRackOwnerServer.Reserve(ctx, req)
}

func (r *refusingRackOwner) Commit(ctx context.Context, req *rpc.CommitRequest) (*rpc.PlaceReply, error) {
	if r.blockCommits && req.GetCall().GetRack() == string(r.rack) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := r.refuse(&r.commitsToRefuse, req.GetCall()); err != nil {
		return nil, err
	}
	return r.DRPCRackOwnerServer.Commit(ctx, req)
}

// Guards against reservations that stay, and members that go on running, after one rack has
// refused its part of a gang. Reservations do not expire here, and the gang needs the whole
// cell, so a reservation or member that stays would block it for good.
func TestGangRefusedByOneRack(t *testing.T) {
	for name, r := range map[string]*refusingRackOwner{"reserve": {reservesToRefuse: 2}, "commit": {commitsToRefuse: 2}} {
		t.Run(name, func(t *testing.T) {
			c := newCellWith(t, 1, 2, 2, func(cfg *RackOwnerConfig) { cfg.ReservationTTL = time.Hour })
			d := c.daemons[0]
			r.DRPCRackOwnerServer, r.rack = d.rackOwner, c.racks[1]
			d.scheduler.localRackOwner = r
			gang := testJob("gang", workload.Gang, 16, 1000, 0)
			c.submit(d, gang)
			c.awaitRunning(d, gang, 16)
			if r.reservesToRefuse+r.commitsToRefuse > 0 {
				t.Error("the rack owner did not refuse all calls, so the test checked nothing")
			}
			stopped := 0
			for _, rec := range c.runRecords() {
				if rec.State == workload.Stopped {
					stopped++
				}
			}
			if name == "commit" && stopped == 0 {
				t.Error("no member that had started was stopped")
			}
			c.checkViolations()
		})
	}
}

// Guards against a gang that is completed member by member after its job scheduler was
// replaced between two commits. The members that run must be stopped, and all started again
// together.
func TestIncompleteGangRestartsAfterTakeover(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	c.registry.assign(c.daemons[0], testTakeoverWait, c.racks[1], c.shardKey())
	old := c.daemons[0]
	old.scheduler.localRackOwner = &refusingRackOwner{
		DRPCRackOwnerServer: old.rackOwner, rack: c.racks[1], blockCommits: true,
	}
	gang := testJob("gang", workload.Gang, 16, 1000, 0)
	c.submit(old, gang)
	eventually(t, "the first rack has started its part", func() bool { return len(c.runRecords()) == 8 })
	c.registry.assign(c.daemons[1], testTakeoverWait, c.shardKey())
	c.awaitRunning(c.daemons[1], gang, 16)
	stopped := 0
	for _, r := range c.runRecords() {
		if r.State == workload.Stopped {
			stopped++
		}
	}
	if stopped < 8 {
		t.Errorf("%d of the members that ran alone were stopped, want 8", stopped)
	}
	c.checkViolations()
}

// Guards against a task that goes on running because the worker did not receive its first stop.
func TestStopIsRepeated(t *testing.T) {
	c := newCell(t, 2, 1, 1)
	d := c.daemons[0]
	j := testJob("service", workload.Service, 2, 500, 0)
	c.submit(d, j)
	c.awaitRunning(d, j, 2)
	c.workers["a-0"].SetFaults(standin.WorkerFaults{Unreachable: true})
	if _, err := d.scheduler.Cancel(context.Background(), j.Team, j.ID); err != nil {
		t.Fatal(err)
	}
	time.Sleep(testRenewEvery)
	c.workers["a-0"].SetFaults(standin.WorkerFaults{})
	c.awaitState(d, j, StateCancelled)
	for _, r := range c.runRecords() {
		if r.State != workload.Stopped {
			t.Errorf("task %s is %q, want stopped", r.Task, r.State)
		}
	}
}

// Guards against a job that starts again because its record is in the log twice, as happens
// when an append is repeated after its answer was lost.
func TestDuplicateRecordsAreIgnored(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	j := testJob("twice", workload.Batch, 4, 500, 300*time.Millisecond)
	c.submit(c.daemons[0], j)
	c.awaitRunning(c.daemons[0], j, 4)
	var copies [][]byte
	c.log.update(func(l *memLog) {
		for _, r := range l.records {
			copies = append(copies, r.Data)
		}
	})
	if _, err := c.log.Append(context.Background(), "jobs", copies); err != nil {
		t.Fatal(err)
	}
	c.awaitState(c.daemons[0], j, StateFinished)
	c.checkFinishedOnce([]workload.Job{j})
	c.checkViolations()
}

// Guards against a report of a replaced rack owner that changes the state of attempts.
func TestReportOfReplacedOwnerIsRefused(t *testing.T) {
	c := newCell(t, 1, 1, 1)
	d := c.daemons[0]
	j := testJob("service", workload.Service, 1, 500, 0)
	c.submit(d, j)
	c.awaitRunning(d, j, 1)
	_, e, _ := d.Owner(c.racks[0])
	rec := c.runRecords()[0]
	report := func(epoch contract.Epoch) error {
		_, err := d.scheduler.Report(context.Background(), &rpc.ReportRequest{
			Rack: string(c.racks[0]), RackEpoch: uint64(epoch), Shard: string(c.shardKey()),
			Events: []*rpc.TaskEvent{{Task: rec.Task, Attempt: int64(rec.Attempt), Node: rec.Worker, State: string(workload.Lost)}},
		})
		return err
	}
	if err := fromWire(report(e - 1)); errkind.Of(err) != errkind.NotReady {
		t.Errorf("report of another epoch: got %v, want kind not_ready", err)
	}
	if s := c.status(d, j); s.Running != 1 {
		t.Errorf("got status %+v after the report, want 1 running task", s)
	}
}

// Guards against a task that runs twice because it was reported as lost, and may have been
// started elsewhere, while its worker still runs it.
func TestLostTaskThatReturnsIsStopped(t *testing.T) {
	c := newCell(t, 1, 1, 1)
	d := c.daemons[0]
	j := testJob("service", workload.Service, 1, 500, 0)
	c.submit(d, j)
	c.awaitRunning(d, j, 1)
	first := c.runRecords()[0]
	tenure, err := d.rackOwner.tenure(string(c.racks[0]))
	if err != nil {
		t.Fatal(err)
	}
	tenure.mu.Lock()
	for _, a := range tenure.workers["a-0"].attempts {
		a.setState(string(workload.Lost), "set_by_test")
	}
	tenure.mu.Unlock()
	eventually(t, "the old attempt is stopped", func() bool {
		for _, r := range c.runRecords() {
			if r.Attempt == first.Attempt && r.State == workload.Stopped {
				return true
			}
		}
		return false
	})
}

// Guards against worker states in reports that exceed their byte budget, and against placement
// that stops while the budget keeps these states out of the reports.
func TestDeltaBudget(t *testing.T) {
	c := newCellWith(t, 2, 1, 2, func(cfg *RackOwnerConfig) { cfg.DeltaBytesPerSecond = 1 })
	d := c.daemons[0]
	d.rackOwner.deltaBudget.SetBurst(1) // smaller than any worker state
	j := testJob("batch", workload.Batch, 10, 500, 20*time.Millisecond)
	c.submit(d, j)
	// The answers to Place and the reported ends contain what placement needs.
	c.awaitState(d, j, StateFinished)
	tenure, err := d.rackOwner.tenure(string(c.racks[0]))
	if err != nil {
		t.Fatal(err)
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	if n := len(tenure.viewOf(string(c.shardKey())).nodesSent); n != 0 {
		t.Errorf("%d worker states were sent, want 0 because the budget allows none", n)
	}
}
