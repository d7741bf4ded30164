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
