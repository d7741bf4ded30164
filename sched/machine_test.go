package sched

import (
	"testing"
	"time"
)

// TestSilentMachineLapses guards against runs that are waited for without end:
// looks at a machine that is gone must not count as extensions of its lease.
func TestSilentMachineLapses(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.elect()
	j := Job{ID: "0000000000000001", Queue: "q", Steps: []Step{{Count: 8, Estimate: 4 * time.Second}}, Accepted: w.wall().UnixMilli()}
	w.specs[j.ID] = j
	if err := w.engine.Submit(j, w.now, w.wall(), func() { w.accepted[j.ID] = true }); err != nil {
		t.Fatal(err)
	}
	w.run(time.Second)
	lost := ""
	for _, id := range w.list {
		if len(w.machines[id].runs) > 0 {
			lost = id
			break
		}
	}
	if lost == "" {
		t.Fatal("no task was started")
	}
	w.machines[lost].cutTill = time.Hour
	w.run(w.now + 3*time.Second + time.Duration(1.05*float64(w.engineLease())) + time.Second)
	if n := len(w.engine.machines[lost].runs); n > 0 {
		t.Errorf("%d runs are still expected on a machine that has been silent beyond its lease", n)
	}
}

// TestOnlyNamedTasksWait guards against a new leader that holds all jobs back for
// a whole lease because one machine is gone, and against one that starts a task
// which may still run there.
func TestOnlyNamedTasksWait(t *testing.T) {
	w := newWorld(t, 1, faults{})
	w.elect()
	submit := func(id string, count int, length time.Duration) {
		j := Job{ID: id, Queue: "q", Steps: []Step{{Count: count, Estimate: length}}, Accepted: w.wall().UnixMilli()}
		w.specs[id] = j
		if err := w.engine.Submit(j, w.now, w.wall(), func() { w.accepted[id] = true }); err != nil {
			t.Fatal(err)
		}
	}
	submit("000000000000000a", 1, 30*time.Second)
	w.run(500 * time.Millisecond)
	lost := ""
	for _, id := range w.list {
		if len(w.machines[id].runs) > 0 {
			lost = id
		}
	}
	w.machines[lost].cutTill = time.Hour
	w.run(2 * time.Second)
	submit("000000000000000b", 1, 300*time.Millisecond)
	w.run(2100 * time.Millisecond) // accepted, perhaps not started
	w.elect()
	w.run(4 * time.Second)
	if state, _ := w.engine.State("000000000000000b"); state != Completed {
		t.Errorf("a job without a task on the silent machine is %s 1.9 s after the change of the leader", state)
	}
	if r := w.engine.findTask("000000000000000a.0.0.0").run; r != nil {
		t.Errorf("the task that may run on the silent machine was placed on %s", r.machine.spec.ID)
	}
	w.run(12 * time.Second)
	if r := w.engine.findTask("000000000000000a.0.0.0").run; r == nil {
		t.Error("the task was not placed again after its lease had lapsed")
	}
	if len(w.problems) > 0 {
		t.Error(w.problems)
	}
}
