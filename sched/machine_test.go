package sched

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestLeaseOfUnresponsiveMachineExpires guards against waiting forever for runs on a
// machine that is gone: polls that it does not answer must not extend its lease forever.
func TestLeaseOfUnresponsiveMachineExpires(t *testing.T) {
	sim := newSimulation(t, 1, faultRates{})
	sim.startLeader()
	j := Job{ID: "0000000000000001", Queue: "q", Steps: []Step{{Count: 8, Estimate: 4 * time.Second}},
		Accepted: sim.wall().UnixMilli()}
	sim.jobSpecs[j.ID] = j
	if err := sim.engine.Submit(j, sim.now, sim.wall(), func(error) { sim.accepted[j.ID] = true }); err != nil {
		t.Fatal(err)
	}
	sim.runUntil(time.Second)
	lostMachine := ""
	for _, id := range sim.machineIDs {
		if len(sim.machines[id].runs) > 0 {
			lostMachine = id
			break
		}
	}
	if lostMachine == "" {
		t.Fatal("no task was started")
	}
	sim.machines[lostMachine].cutOffUntil = time.Hour
	sim.runUntil(sim.now + 3*time.Second + time.Duration(1.05*float64(sim.leaseTime())) + time.Second)
	if n := len(sim.engine.machines[lostMachine].runs); n > 0 {
		t.Errorf("%d runs are still held on a machine that has been unresponsive beyond its lease", n)
	}
}

// TestOnlyTasksOnUnresponsiveMachineWait guards against a new leader that holds all jobs
// back for a whole lease because one machine is gone, and against one that starts a task
// that may still run there.
func TestOnlyTasksOnUnresponsiveMachineWait(t *testing.T) {
	sim := newSimulation(t, 1, faultRates{})
	sim.startLeader()
	submit := func(id string, count int, runTime time.Duration) {
		j := Job{ID: id, Queue: "q", Steps: []Step{{Count: count, Estimate: runTime}}, Accepted: sim.wall().UnixMilli()}
		sim.jobSpecs[id] = j
		if err := sim.engine.Submit(j, sim.now, sim.wall(), func(error) { sim.accepted[id] = true }); err != nil {
			t.Fatal(err)
		}
	}
	submit("000000000000000a", 1, 30*time.Second)
	sim.runUntil(500 * time.Millisecond)
	lostMachine := ""
	for _, id := range sim.machineIDs {
		if len(sim.machines[id].runs) > 0 {
			lostMachine = id
		}
	}
	sim.machines[lostMachine].cutOffUntil = time.Hour
	sim.runUntil(2 * time.Second)
	submit("000000000000000b", 1, 300*time.Millisecond)
	sim.runUntil(2100 * time.Millisecond) // accepted, perhaps not started
	sim.startLeader()
	sim.runUntil(4 * time.Second)
	if state, _ := sim.engine.State("000000000000000b"); state != Completed {
		t.Errorf("a job without a task on the unresponsive machine is %s 1.9 s after the change of the leader, want completed", state)
	}
	if r := sim.engine.findTask("000000000000000a.0.0.0").run; r != nil {
		t.Errorf("the task that may run on the unresponsive machine was placed on %s", r.machine.spec.ID)
	}
	sim.runUntil(12 * time.Second)
	if r := sim.engine.findTask("000000000000000a.0.0.0").run; r == nil {
		t.Error("the task was not placed again after the lease of its machine had expired")
	}
	if len(sim.violations) > 0 {
		t.Error(sim.violations)
	}
}

// TestUnlistedMachineGetsNoWork guards against a new leader that starts tasks on a machine
// that it knows from the stored records but that is no longer in the host list.
func TestUnlistedMachineGetsNoWork(t *testing.T) {
	f := newEngineFixture(t, plainQueues)
	data, err := cbor.Marshal(machineRecord{Machine: worker("gone")})
	if err != nil {
		t.Fatal(err)
	}
	f.engine.Restore([]Record{{Key: machineKey("gone"), Value: data}}, f.now, time.UnixMilli(0))
	f.engine.SetMachines([]Machine{worker("a")}, f.now)
	f.flush()
	f.poll("a", nil, nil)
	f.poll("gone", nil, nil) // it still answers
	f.submit(smallStep(2))
	for name, id := range f.planAndConfirm() {
		if id == "gone" {
			t.Errorf("task %s was started on a machine that is not in the host list", name)
		}
	}
	f.now += 10 * time.Second
	f.poll("a", nil, nil)
	f.planAndConfirm()
	if _, known := f.engine.Machine("gone"); known {
		t.Error("a machine that has left is still polled after its leases have expired")
	}
}

// TestUnresponsiveMachineKeepsItsRuns guards against runs that are stopped or started
// again because their machine did not answer for a time shorter than its lease.
func TestUnresponsiveMachineKeepsItsRuns(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.submit(smallStep(1))
	for name, id := range f.planAndConfirm() {
		f.poll(id, []RunReport{{Task: name, Run: 1, Percent: 1}}, nil)
		f.engine.PollUnanswered(id)
		for range 10 {
			f.now += 500 * time.Millisecond
			if orders := f.engine.Plan(f.now); len(orders.Starts)+len(orders.Stops) > 0 {
				t.Fatalf("orders for the runs of an unresponsive machine: %+v", orders)
			}
		}
		f.flush()
		f.poll(id, []RunReport{{Task: name, Run: 1, Percent: 60}}, nil)
		if orders := f.engine.Plan(f.now); len(orders.Starts)+len(orders.Stops) > 0 {
			t.Fatalf("orders after the machine has answered again: %+v", orders)
		}
		f.poll(id, nil, []EndReport{{Number: 1, Task: name, Run: 1, Kind: EndDone}})
	}
	if s := f.engine.Stats(); s.Completed != 1 || s.Starts != 1 {
		t.Errorf("stats %+v, want one start and one completed job", s)
	}
}
