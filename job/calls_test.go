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

// refusing is a rack owner that refuses the first gang steps for one rack.
type refusing struct {
	rpc.DRPCRackOwnerServer
	rack              contract.Key
	mu                sync.Mutex
	reserves, commits int  // refusals left
	hold              bool // commits wait until the caller gives up
}

func (r *refusing) refuse(left *int, c *rpc.Call) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.GetRack() != string(r.rack) || *left == 0 {
		return nil
	}
	*left--
	return toWire(errkind.New(errkind.Conflict, "refused_by_test", "refused"))
}

func (r *refusing) Reserve(ctx context.Context, req *rpc.ReserveRequest) (*rpc.PlaceReply, error) {
	if err := r.refuse(&r.reserves, req.GetCall()); err != nil {
		return nil, err
	}
	return r.DRPCRackOwnerServer.Reserve(ctx, req)
}

func (r *refusing) Commit(ctx context.Context, req *rpc.CommitRequest) (*rpc.PlaceReply, error) {
	if r.hold && req.GetCall().GetRack() == string(r.rack) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := r.refuse(&r.commits, req.GetCall()); err != nil {
		return nil, err
	}
	return r.DRPCRackOwnerServer.Commit(ctx, req)
}

// Guards against capacity that stays reserved, and members that stay running,
// when one rack refuses its part of a gang. Reservations do not expire here, and
// the gang needs the whole cell, so anything left behind blocks it for good.
func TestGangRefusedByOneRack(t *testing.T) {
	for name, r := range map[string]*refusing{"reserve": {reserves: 2}, "commit": {commits: 2}} {
		t.Run(name, func(t *testing.T) {
			c := newCellWith(t, 1, 2, 2, func(cfg *RackOwnerConfig) { cfg.ReservationTTL = time.Hour })
			d := c.daemons[0]
			r.DRPCRackOwnerServer, r.rack = d.rack, c.racks[1]
			d.sched.local = r
			gang := testJob("gang", workload.Gang, 16, 1000, 0)
			c.submit(d, gang)
			c.awaitRunning(d, gang, 16)
			if r.reserves+r.commits > 0 {
				t.Error("nothing was refused, so the test shows nothing")
			}
			stopped := 0
			for _, rec := range c.records() {
				if rec.State == workload.Stopped {
					stopped++
				}
			}
			if name == "commit" && stopped == 0 {
				t.Error("no member that had started was stopped")
			}
			c.check()
		})
	}
}

// Guards against a gang that is completed member by member after its job
// scheduler died between two commits.
func TestGangFoundIncompleteStartsAnew(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	c.reg.give(c.daemons[0], testTakeover, c.racks[1], c.shard())
	old := c.daemons[0]
	old.sched.local = &refusing{DRPCRackOwnerServer: old.rack, rack: c.racks[1], hold: true}
	gang := testJob("gang", workload.Gang, 16, 1000, 0)
	c.submit(old, gang)
	eventually(t, "the first rack has started its part", func() bool { return len(c.records()) == 8 })
	c.reg.give(c.daemons[1], testTakeover, c.shard())
	c.awaitRunning(c.daemons[1], gang, 16)
	stopped := 0
	for _, r := range c.records() {
		if r.State == workload.Stopped {
			stopped++
		}
	}
	if stopped < 8 {
		t.Errorf("%d of the 8 members that ran alone were stopped", stopped)
	}
	c.check()
}

// Guards against a task that runs on because its stop was lost once.
func TestStopIsRepeated(t *testing.T) {
	c := newCell(t, 2, 1, 1)
	d := c.daemons[0]
	j := testJob("service", workload.Service, 2, 500, 0)
	c.submit(d, j)
	c.awaitRunning(d, j, 2)
	c.workers["a-0"].SetFaults(standin.WorkerFaults{Unreachable: true})
	if _, err := d.sched.Cancel(context.Background(), j.Team, j.ID); err != nil {
		t.Fatal(err)
	}
	time.Sleep(testRenew)
	c.workers["a-0"].SetFaults(standin.WorkerFaults{})
	c.awaitState(d, j, StateCancelled)
	for _, r := range c.records() {
		if r.State != workload.Stopped {
			t.Errorf("task %s ended as %q", r.Task, r.State)
		}
	}
}

// Guards against a job that starts over because its record is in the log twice,
// as after a lost answer.
func TestDuplicateRecordsChangeNothing(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	j := testJob("twice", workload.Batch, 4, 500, 300*time.Millisecond)
	c.submit(c.daemons[0], j)
	c.awaitRunning(c.daemons[0], j, 4)
	var copies [][]byte
	c.log.set(func(l *memLog) {
		for _, r := range l.records {
			copies = append(copies, r.Data)
		}
	})
	if _, err := c.log.Append(context.Background(), "jobs", copies); err != nil {
		t.Fatal(err)
	}
	c.awaitState(c.daemons[0], j, StateFinished)
	c.finishedOnce([]workload.Job{j})
	c.check()
}

// Guards against news of a rack owner that was replaced.
func TestReportOfAnotherOwnerIsRefused(t *testing.T) {
	c := newCell(t, 1, 1, 1)
	d := c.daemons[0]
	j := testJob("service", workload.Service, 1, 500, 0)
	c.submit(d, j)
	c.awaitRunning(d, j, 1)
	_, e, _ := d.Owner(c.racks[0])
	rec := c.records()[0]
	report := func(epoch contract.Epoch) error {
		_, err := d.sched.Report(context.Background(), &rpc.ReportRequest{
			Rack: string(c.racks[0]), RackEpoch: uint64(epoch), Shard: string(c.shard()),
			Events: []*rpc.TaskEvent{{Task: rec.Task, Attempt: int64(rec.Attempt), Node: rec.Worker, State: string(workload.Lost)}},
		})
		return err
	}
	if err := fromWire(report(e - 1)); errkind.Of(err) != errkind.NotReady {
		t.Errorf("report of another epoch: %v", err)
	}
	if s := c.status(d, j); s.Running != 1 {
		t.Errorf("status after the report: %+v", s)
	}
}

// Guards against a task that was reported as lost, and may be placed again, but
// is still shown as running by its worker.
func TestLostTaskThatReturnsIsStopped(t *testing.T) {
	c := newCell(t, 1, 1, 1)
	d := c.daemons[0]
	j := testJob("service", workload.Service, 1, 500, 0)
	c.submit(d, j)
	c.awaitRunning(d, j, 1)
	first := c.records()[0]
	ten, err := d.rack.tenure(string(c.racks[0]))
	if err != nil {
		t.Fatal(err)
	}
	ten.mu.Lock()
	for _, h := range ten.workers["a-0"].tasks {
		h.set(string(workload.Lost), "set_by_test")
	}
	ten.mu.Unlock()
	eventually(t, "the old attempt is stopped", func() bool {
		for _, r := range c.records() {
			if r.Attempt == first.Attempt && r.State == workload.Stopped {
				return true
			}
		}
		return false
	})
}

// Guards against capacity deltas that exceed their byte budget.
func TestDeltaBudget(t *testing.T) {
	c := newCellWith(t, 2, 1, 2, func(cfg *RackOwnerConfig) { cfg.DeltaBytesPerSecond = 1 })
	d := c.daemons[0]
	d.rack.budget.SetBurst(1) // no delta fits
	j := testJob("batch", workload.Batch, 10, 500, 20*time.Millisecond)
	c.submit(d, j)
	// Place answers and ends carry what placement needs.
	c.awaitState(d, j, StateFinished)
	ten, err := d.rack.tenure(string(c.racks[0]))
	if err != nil {
		t.Fatal(err)
	}
	ten.mu.Lock()
	defer ten.mu.Unlock()
	if n := len(ten.shard(string(c.shard())).sent); n != 0 {
		t.Errorf("%d deltas were sent without a budget", n)
	}
}
