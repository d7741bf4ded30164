package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// load submits services that fill about half of the cell and a stream of short
// batches, and returns them.
func (c *cell) load(d *daemon, rng *rand.Rand) (services, batches []workload.Job) {
	for i := range 3 {
		j := testJob("service-"+string(rune('0'+i)), workload.Service, 4, 500, 0)
		services = append(services, j)
		c.submit(d, j)
	}
	for i := range 4 {
		run := time.Duration(100+rng.IntN(400)) * time.Millisecond
		j := testJob("batch-"+string(rune('0'+i)), workload.Batch, 5+rng.IntN(10), 250+250*rng.Int64N(3), run)
		batches = append(batches, j)
		c.submit(d, j)
	}
	return services, batches
}

// settleAll waits until services run at full count and batches have finished.
func (c *cell) settleAll(d *daemon, services, batches []workload.Job) {
	c.t.Helper()
	for _, j := range batches {
		c.awaitState(d, j, StateFinished)
	}
	for _, j := range services {
		c.awaitRunning(d, j, j.Count)
	}
	c.check()
}

// finishedOnce checks that the tasks of a batch finished once each.
func (c *cell) finishedOnce(jobs []workload.Job) {
	c.t.Helper()
	done := make(map[string]int)
	for _, r := range c.records() {
		if r.State == workload.Finished {
			done[r.Task]++
		}
	}
	for _, j := range jobs {
		for i := range j.Count {
			if n := done[workload.TaskID(j.ID, i)]; n != 1 {
				c.t.Errorf("task %s finished %d times", workload.TaskID(j.ID, i), n)
			}
		}
	}
}

// Guards against tasks that are lost or started again when the owner of a rack
// is killed: the successor must adopt what runs.
func TestRackOwnerKilled(t *testing.T) {
	c := newCell(t, 4, 3, 2)
	services, batches := c.load(c.daemons[3], rand.New(rand.NewPCG(1, 1)))
	c.awaitRunning(c.daemons[3], services[0], 4)
	before := len(c.records())
	c.daemons[0].kill()
	c.reg.give(c.daemons[1], testTakeover, c.racks[0])
	c.settleAll(c.daemons[3], services, batches)
	c.finishedOnce(batches)
	for _, r := range c.records() {
		if r.Job == services[0].ID && r.State != workload.Running {
			t.Errorf("task %s of the service ended as %s although only its rack owner died", r.Task, r.State)
		}
	}
	t.Logf("records: %d before the kill, %d at the end", before, len(c.records()))
}

// Guards against commands of a paused owner that take effect after the pause:
// starts and renewals that were sent late must be refused by the workers.
func TestRackOwnerPaused(t *testing.T) {
	c := newCell(t, 4, 3, 2)
	d := c.daemons[3]
	services, batches := c.load(d, rand.New(rand.NewPCG(2, 1)))
	c.awaitRunning(d, services[0], 4)
	c.daemons[0].freeze()
	c.reg.give(c.daemons[1], testTakeover, c.racks[0])
	late := testJob("late", workload.Batch, 12, 500, 100*time.Millisecond)
	c.submit(d, late)
	c.settleAll(d, services, append(batches, late))
	if c.daemons[0].gate.heldRequests() == 0 {
		t.Error("the paused owner held no request back, so the test shows nothing")
	}
	c.daemons[0].thaw()
	again := testJob("again", workload.Batch, 12, 500, 100*time.Millisecond)
	c.submit(d, again)
	c.settleAll(d, services, append(batches, late, again))
	c.finishedOnce(append(batches, late, again))
}

// Guards against a second start while a partitioned owner may still renew: its
// tenure ends by itself, and the successor can take over while the old owner
// still reaches the workers.
func TestRackOwnerPartitioned(t *testing.T) {
	c := newCell(t, 4, 3, 2)
	d := c.daemons[3]
	services, batches := c.load(d, rand.New(rand.NewPCG(3, 1)))
	c.awaitRunning(d, services[0], 4)
	c.daemons[0].partition()
	c.reg.give(c.daemons[1], testTakeover, c.racks[0])
	c.settleAll(d, services, batches)
	c.daemons[0].thaw()
	c.settleAll(d, services, batches)
	c.finishedOnce(batches)
}

// twoRacks is the number of tasks of one core that one rack of two workers cannot
// hold, and three workers can.
const twoRacks = 10

// Guards against a task that is placed elsewhere while its worker, which the new
// owner cannot reach, still runs it under the old lease.
func TestWorkerUnreachableUntilLeaseLapses(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[1]
	service := testJob("service", workload.Service, twoRacks, 1000, 0)
	c.submit(d, service)
	c.awaitRunning(d, service, twoRacks)
	var victim string
	for _, r := range c.records() {
		if r.Worker[0] == 'a' {
			victim = r.Worker
		}
	}
	if victim == "" {
		t.Fatal("no task runs on rack a")
	}
	c.workers[victim].SetFaults(standin.WorkerFaults{Unreachable: true})
	c.reg.give(c.daemons[1], testTakeover, c.racks[0])
	eventually(t, "tasks of the unreachable worker run elsewhere", func() bool {
		elsewhere := 0
		for _, r := range c.records() {
			if r.Worker != victim && r.EndUS == 0 {
				elsewhere++
			}
		}
		return elsewhere == twoRacks
	})
	c.workers[victim].SetFaults(standin.WorkerFaults{})
	c.awaitRunning(d, service, twoRacks)
	c.check()
	lapsed := 0
	for _, r := range c.records() {
		if r.State == workload.Lost {
			lapsed++
		}
	}
	if lapsed == 0 {
		t.Error("no lease lapsed, so the test shows nothing")
	}
}

// runsOn returns a worker of a rack on which a task runs.
func (c *cell) runsOn(rack byte) string {
	c.t.Helper()
	for _, r := range c.records() {
		if r.Worker[0] == rack && r.EndUS == 0 {
			return r.Worker
		}
	}
	c.t.Fatalf("no task runs on rack %c", rack)
	return ""
}

// moved waits until n tasks run on other workers than this one.
func (c *cell) moved(worker string, n int) {
	c.t.Helper()
	eventually(c.t, "all tasks run on other workers", func() bool {
		elsewhere := 0
		for _, r := range c.records() {
			if r.Worker != worker && r.EndUS == 0 {
				elsewhere++
			}
		}
		return elsewhere == n
	})
}

// Guards against an old owner that goes on renewing a worker which only it can
// reach, while the successor takes the lease for lapsed.
func TestPartitionedOwnerStopsRenewing(t *testing.T) {
	c := newCell(t, 3, 2, 2)
	d := c.daemons[2]
	service := testJob("service", workload.Service, twoRacks, 1000, 0)
	c.submit(d, service)
	c.awaitRunning(d, service, twoRacks)
	victim := c.runsOn('a')
	for _, o := range c.daemons[1:] {
		o.gate.cutOff(c.address(victim))
	}
	c.daemons[0].partition()
	c.reg.give(c.daemons[1], testTakeover, c.racks[0])
	c.moved(victim, twoRacks)
	c.check()
}

// Guards against a renewal that a pause has delayed: it must not extend a lease
// beyond the time after which the successor takes it for lapsed.
func TestDelayedRenewalExtendsNoLease(t *testing.T) {
	c := newCell(t, 3, 2, 2)
	d := c.daemons[2]
	service := testJob("service", workload.Service, twoRacks, 1000, 0)
	c.submit(d, service)
	c.awaitRunning(d, service, twoRacks)
	victim := c.runsOn('a')
	for _, o := range c.daemons[1:] {
		o.gate.cutOff(c.address(victim))
	}
	c.daemons[0].freeze()
	c.reg.give(c.daemons[1], testTakeover, c.racks[0])
	// The held renewal arrives when the lease is about to lapse.
	time.Sleep(testLease * 3 / 4)
	if c.daemons[0].gate.heldRequests() == 0 {
		t.Error("no renewal was held back, so the test shows nothing")
	}
	c.daemons[0].gate.open()
	c.moved(victim, twoRacks)
	c.check()
}

// Guards against a new job scheduler that places what it does not find while a
// worker, unreachable for a new rack owner, may still run it.
func TestBothOwnersReplacedWorkerUnreachable(t *testing.T) {
	c := newCell(t, 3, 2, 2)
	service := testJob("service", workload.Service, twoRacks, 1000, 0)
	c.submit(c.daemons[2], service)
	c.awaitRunning(c.daemons[2], service, twoRacks)
	victim := c.runsOn('a')
	for _, o := range c.daemons[1:] {
		o.gate.cutOff(c.address(victim))
	}
	c.daemons[0].partition()
	c.reg.give(c.daemons[1], testTakeover, c.racks[0], c.shard())
	// New work does not wait for the recovery of the old.
	fresh := testJob("fresh", workload.Batch, 2, 250, 10*time.Millisecond)
	c.submit(c.daemons[1], fresh)
	c.awaitState(c.daemons[1], fresh, StateFinished)
	c.moved(victim, twoRacks)
	c.check()
}

// Guards against jobs that are lost, doubled or run again when the job scheduler
// is replaced while placements are in flight.
func TestJobSchedulerReplaced(t *testing.T) {
	for _, kill := range []bool{true, false} {
		name := "paused"
		if kill {
			name = "killed"
		}
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 4, 3, 2)
			for _, w := range c.workers {
				w.SetFaults(standin.WorkerFaults{DelayMS: 20}) // keeps placements in flight
			}
			old, next := c.daemons[3], c.daemons[0]
			services, batches := c.load(old, rand.New(rand.NewPCG(4, 1)))
			gang := testJob("gang", workload.Gang, 6, 1000, 200*time.Millisecond)
			c.submit(old, gang)
			if kill {
				old.kill()
			} else {
				old.freeze()
			}
			c.reg.give(next, testTakeover, c.shard())
			c.settleAll(next, services, append(batches, gang))
			if !kill {
				old.thaw()
				c.settleAll(next, services, append(batches, gang))
			}
			c.finishedOnce(batches)
		})
	}
}

// Guards against two job schedulers: a rack owner must refuse the one with the
// older epoch, and a call that a later one has passed.
func TestRackOwnerRefusesStaleCalls(t *testing.T) {
	c := newCell(t, 1, 1, 1)
	d := c.daemons[0]
	var ten *rackTenure
	eventually(t, "rack is served", func() bool {
		var err error
		ten, err = d.rack.tenure(string(c.racks[0]))
		return err == nil
	})
	call := func(epoch, number uint64) error {
		ten.mu.Lock()
		defer ten.mu.Unlock()
		return ten.accept(&rpc.Call{
			Rack: string(ten.key), RackEpoch: uint64(ten.epoch), Shard: "jobs/other/0", ShardEpoch: epoch, Number: number,
		}, false)
	}
	for _, s := range []struct {
		epoch, number uint64
		ok            bool
	}{{5, 1, true}, {5, 3, true}, {5, 2, false}, {5, 3, false}, {4, 9, false}, {6, 1, true}, {5, 10, false}} {
		if err := call(s.epoch, s.number); (err == nil) != s.ok {
			t.Errorf("call %d of epoch %d: %v", s.number, s.epoch, err)
		}
	}
}
