package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// submitLoad submits services that fill about half of the cell and several short batches,
// and returns them.
func (c *cell) submitLoad(d *daemon, rng *rand.Rand) (services, batches []workload.Job) {
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

// awaitLoad waits until the services run with their full count and the batches have
// finished, and checks for violations.
func (c *cell) awaitLoad(d *daemon, services, batches []workload.Job) {
	c.t.Helper()
	for _, j := range batches {
		c.awaitState(d, j, StateFinished)
	}
	for _, j := range services {
		c.awaitRunning(d, j, j.Count)
	}
	c.checkViolations()
}

// checkFinishedOnce checks that every task of the jobs finished exactly once.
func (c *cell) checkFinishedOnce(jobs []workload.Job) {
	c.t.Helper()
	done := make(map[string]int)
	for _, r := range c.runRecords() {
		if r.State == workload.Finished {
			done[r.Task]++
		}
	}
	for _, j := range jobs {
		for i := range j.Count {
			if n := done[workload.TaskID(j.ID, i)]; n != 1 {
				c.t.Errorf("task %s finished %d times, want 1", workload.TaskID(j.ID, i), n)
			}
		}
	}
}

// Guards against tasks that are lost or started again when the owner of a rack is killed.
// The new owner must adopt the running tasks.
func TestRackOwnerKilled(t *testing.T) {
	c := newCell(t, 4, 3, 2)
	services, batches := c.submitLoad(c.daemons[3], rand.New(rand.NewPCG(1, 1)))
	c.awaitRunning(c.daemons[3], services[0], 4)
	before := len(c.runRecords())
	c.daemons[0].kill()
	c.registry.assign(c.daemons[1], testTakeoverWait, c.racks[0])
	c.awaitLoad(c.daemons[3], services, batches)
	c.checkFinishedOnce(batches)
	for _, r := range c.runRecords() {
		if r.Job == services[0].ID && r.State != workload.Running {
			t.Errorf("task %s of the service ended as %s although only its rack owner was killed", r.Task, r.State)
		}
	}
	t.Logf("records: %d before the kill, %d at the end", before, len(c.runRecords()))
}

// Guards against commands of a paused rack owner that take effect after the pause. The
// workers must refuse its late starts and renewals, because a new owner has a higher epoch.
func TestRackOwnerPaused(t *testing.T) {
	c := newCell(t, 4, 3, 2)
	d := c.daemons[3]
	services, batches := c.submitLoad(d, rand.New(rand.NewPCG(2, 1)))
	c.awaitRunning(d, services[0], 4)
	c.daemons[0].pause()
	c.registry.assign(c.daemons[1], testTakeoverWait, c.racks[0])
	late := testJob("late", workload.Batch, 12, 500, 100*time.Millisecond)
	c.submit(d, late)
	c.awaitLoad(d, services, append(batches, late))
	if c.daemons[0].transport.heldRequests() == 0 {
		t.Error("the pause held no request of the owner, so the test checked nothing")
	}
	c.daemons[0].reconnect()
	again := testJob("again", workload.Batch, 12, 500, 100*time.Millisecond)
	c.submit(d, again)
	c.awaitLoad(d, services, append(batches, late, again))
	c.checkFinishedOnce(append(batches, late, again))
}

// Guards against tasks that start again while a partitioned rack owner may still renew their
// leases. The old owner still reaches the workers, but its tenure ends without any message,
// so that a new owner can take over.
func TestRackOwnerPartitioned(t *testing.T) {
	c := newCell(t, 4, 3, 2)
	d := c.daemons[3]
	services, batches := c.submitLoad(d, rand.New(rand.NewPCG(3, 1)))
	c.awaitRunning(d, services[0], 4)
	c.daemons[0].partition()
	c.registry.assign(c.daemons[1], testTakeoverWait, c.racks[0])
	c.awaitLoad(d, services, batches)
	c.daemons[0].reconnect()
	c.awaitLoad(d, services, batches)
	c.checkFinishedOnce(batches)
}

// moreTasksThanOneRack is a number of tasks with one core each that needs more than the two
// workers of one rack, but fits on three workers.
const moreTasksThanOneRack = 10

// Guards against a task that is started elsewhere while its worker, which the new rack owner
// cannot reach, still runs it under the lease of the old owner.
func TestWorkerUnreachableUntilLeaseExpires(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[1]
	service := testJob("service", workload.Service, moreTasksThanOneRack, 1000, 0)
	c.submit(d, service)
	c.awaitRunning(d, service, moreTasksThanOneRack)
	var victim string
	for _, r := range c.runRecords() {
		if r.Worker[0] == 'a' {
			victim = r.Worker
		}
	}
	if victim == "" {
		t.Fatal("no task runs on rack a")
	}
	c.workers[victim].SetFaults(standin.WorkerFaults{Unreachable: true})
	c.registry.assign(c.daemons[1], testTakeoverWait, c.racks[0])
	eventually(t, "tasks of the unreachable worker run elsewhere", func() bool {
		elsewhere := 0
		for _, r := range c.runRecords() {
			if r.Worker != victim && r.EndUS == 0 {
				elsewhere++
			}
		}
		return elsewhere == moreTasksThanOneRack
	})
	c.workers[victim].SetFaults(standin.WorkerFaults{})
	c.awaitRunning(d, service, moreTasksThanOneRack)
	c.checkViolations()
	lost := 0
	for _, r := range c.runRecords() {
		if r.State == workload.Lost {
			lost++
		}
	}
	if lost == 0 {
		t.Error("no lease expired, so the test checked nothing")
	}
}

// busyWorker returns a worker on which a task runs. rack is the first letter of its id.
func (c *cell) busyWorker(rack byte) string {
	c.t.Helper()
	for _, r := range c.runRecords() {
		if r.Worker[0] == rack && r.EndUS == 0 {
			return r.Worker
		}
	}
	c.t.Fatalf("no task runs on rack %c", rack)
	return ""
}

// awaitMovedOff waits until n tasks run on workers other than this one.
func (c *cell) awaitMovedOff(worker string, n int) {
	c.t.Helper()
	eventually(c.t, "all tasks run on other workers", func() bool {
		elsewhere := 0
		for _, r := range c.runRecords() {
			if r.Worker != worker && r.EndUS == 0 {
				elsewhere++
			}
		}
		return elsewhere == n
	})
}

// Guards against a partitioned rack owner that goes on renewing the lease of a worker which
// only it can reach, while the new owner considers the lease expired.
func TestPartitionedOwnerStopsRenewing(t *testing.T) {
	c := newCell(t, 3, 2, 2)
	d := c.daemons[2]
	service := testJob("service", workload.Service, moreTasksThanOneRack, 1000, 0)
	c.submit(d, service)
	c.awaitRunning(d, service, moreTasksThanOneRack)
	victim := c.busyWorker('a')
	for _, o := range c.daemons[1:] {
		o.transport.makeUnreachable(c.workerAddress(victim))
	}
	c.daemons[0].partition()
	c.registry.assign(c.daemons[1], testTakeoverWait, c.racks[0])
	c.awaitMovedOff(victim, moreTasksThanOneRack)
	c.checkViolations()
}

// Guards against a renewal, delayed by a pause of the old rack owner, that extends a lease
// beyond the time at which the new owner considers it expired.
func TestDelayedRenewalDoesNotExtendLease(t *testing.T) {
	c := newCell(t, 3, 2, 2)
	d := c.daemons[2]
	service := testJob("service", workload.Service, moreTasksThanOneRack, 1000, 0)
	c.submit(d, service)
	c.awaitRunning(d, service, moreTasksThanOneRack)
	victim := c.busyWorker('a')
	for _, o := range c.daemons[1:] {
		o.transport.makeUnreachable(c.workerAddress(victim))
	}
	c.daemons[0].pause()
	c.registry.assign(c.daemons[1], testTakeoverWait, c.racks[0])
	// The held renewal arrives shortly before the lease expires.
	time.Sleep(testLease * 3 / 4)
	if c.daemons[0].transport.heldRequests() == 0 {
		t.Error("the pause held no renewal, so the test checked nothing")
	}
	c.daemons[0].transport.open()
	c.awaitMovedOff(victim, moreTasksThanOneRack)
	c.checkViolations()
}

// Guards against a new job scheduler that starts tasks again which it does not find, while a
// worker that the new rack owner cannot reach may still run them.
func TestBothOwnersReplacedWorkerUnreachable(t *testing.T) {
	c := newCell(t, 3, 2, 2)
	service := testJob("service", workload.Service, moreTasksThanOneRack, 1000, 0)
	c.submit(c.daemons[2], service)
	c.awaitRunning(c.daemons[2], service, moreTasksThanOneRack)
	victim := c.busyWorker('a')
	for _, o := range c.daemons[1:] {
		o.transport.makeUnreachable(c.workerAddress(victim))
	}
	c.daemons[0].partition()
	c.registry.assign(c.daemons[1], testTakeoverWait, c.racks[0], c.shardKey())
	// New jobs do not wait for the recovery of the shard.
	fresh := testJob("fresh", workload.Batch, 2, 250, 10*time.Millisecond)
	c.submit(c.daemons[1], fresh)
	c.awaitState(c.daemons[1], fresh, StateFinished)
	c.awaitMovedOff(victim, moreTasksThanOneRack)
	c.checkViolations()
}

// Guards against jobs that are lost, duplicated or run again when the job scheduler is
// replaced while starts are under way.
func TestJobSchedulerReplaced(t *testing.T) {
	for _, kill := range []bool{true, false} {
		name := "paused"
		if kill {
			name = "killed"
		}
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 4, 3, 2)
			for _, w := range c.workers {
				w.SetFaults(standin.WorkerFaults{DelayMS: 20}) // keeps starts under way for longer
			}
			old, next := c.daemons[3], c.daemons[0]
			services, batches := c.submitLoad(old, rand.New(rand.NewPCG(4, 1)))
			gang := testJob("gang", workload.Gang, 6, 1000, 200*time.Millisecond)
			c.submit(old, gang)
			if kill {
				old.kill()
			} else {
				old.pause()
			}
			c.registry.assign(next, testTakeoverWait, c.shardKey())
			c.awaitLoad(next, services, append(batches, gang))
			if !kill {
				old.reconnect()
				c.awaitLoad(next, services, append(batches, gang))
			}
			c.checkFinishedOnce(batches)
		})
	}
}

// Guards against two active job schedulers of one shard. A rack owner must refuse calls with
// an older epoch, and calls that arrive after a later call of the same epoch.
func TestRackOwnerRefusesStaleCalls(t *testing.T) {
	c := newCell(t, 1, 1, 1)
	d := c.daemons[0]
	var tenure *rackTenure
	eventually(t, "the daemon acts for the rack", func() bool {
		var err error
		tenure, err = d.rackOwner.tenure(string(c.racks[0]))
		return err == nil
	})
	call := func(epoch, number uint64) error {
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		return tenure.acceptCall(&rpc.Call{
			Rack: string(tenure.key), RackEpoch: uint64(tenure.epoch), Shard: "jobs/other/0", ShardEpoch: epoch, Number: number,
		}, false)
	}
	for _, s := range []struct {
		epoch, number uint64
		ok            bool
	}{{5, 1, true}, {5, 3, true}, {5, 2, false}, {5, 3, false}, {4, 9, false}, {6, 1, true}, {5, 10, false}} {
		if err := call(s.epoch, s.number); (err == nil) != s.ok {
			t.Errorf("call %d of epoch %d was wrongly accepted or refused: error %v", s.number, s.epoch, err)
		}
	}
}
