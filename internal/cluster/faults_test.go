package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

var fiveDaemons = []zone.Name{"lom-bergamo", "lom-monza", "lom-bergamo", "ven-treviso", "ven-treviso"}

// Guards against lost or doubled work when an owner dies without warning, twice in a row.
func TestKilledOwners(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	for n := range 2 {
		x.wave(n)
		victim := x.Daemons[n]
		victim.Kill()
		x.balance(victim, false)
		x.awaitOwners(victim.ID)
		if err := x.StartDaemon(x.ctx, victim); err != nil {
			t.Fatal(err)
		}
		if err := x.WaitForReady(x.ctx, victim); err != nil {
			t.Fatal(err)
		}
		x.balance(victim, true)
		x.awaitOwners()
	}
	x.wave(2)
	x.finish()
}

// Guards against an owner that wakes from a pause and acts on what it owned before.
func TestPausedOwner(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	for n := range 2 {
		x.wave(n)
		victim := x.Daemons[2]
		victim.Pause()
		x.balance(victim, false)
		x.awaitOwners(victim.ID)
		victim.Resume()
		x.balance(victim, true)
	}
	x.wave(2)
	x.finish()
}

// Guards against stopped placements, killed tasks and false promises while the
// log is down for much longer than tenure and takeover wait.
func TestLogDown(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	x.wave(0)
	before := x.runningServices()
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(8 * time.Second) // twice the lease of tasks
	after := x.runningServices()
	for task, start := range before {
		if after[task] != start {
			t.Errorf("service task %s did not survive the outage", task)
		}
	}
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{}); err != nil {
		t.Fatal(err)
	}
	x.wave(1)
	x.finish()
}

// Guards against records lost or doubled when the log takes effect but its answers are lost.
func TestLogLosesAnswers(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{LoseAnswers: -1}); err != nil {
		t.Fatal(err)
	}
	x.wave(0)
	x.Daemons[1].Kill()
	x.balance(x.Daemons[1], false)
	x.awaitOwners(x.Daemons[1].ID)
	x.wave(1)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{}); err != nil {
		t.Fatal(err)
	}
	x.finish()
}

// Guards against two owners on the two sides of a cut between the regions,
// against tasks that end because their region cannot reach the log, and against a
// change that a region misses for good.
func TestRegionsParted(t *testing.T) {
	for _, state := range []LinkState{LinkCut, LinkSilent} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			x := startCell(t, fiveDaemons...)
			x.wave(0)
			before := x.runningServices()
			x.SetLinkState(state)
			// Accepted on the side of the log, unknown on the other until the link is back.
			during := x.addTeam(x.Daemons[1], "during-the-cut")
			time.Sleep(6 * time.Second) // more than the lease of tasks
			after := x.runningServices()
			for task, start := range before {
				if after[task] != start {
					t.Errorf("service task %s did not survive the cut", task)
				}
			}
			x.SetLinkState(LinkUp)
			x.awaitVersion(during)
			x.awaitOwners()
			x.wave(1)
			x.finish()
		})
	}
}

// Guards against calls cut by a planned stop, and against lost state when every
// daemon is replaced one after another.
func TestRollingReplacement(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	var version uint64
	for n, old := range append([]*Node(nil), x.Daemons...) {
		// A balancer sends callers to a daemon only once /readyz is 200.
		id := fmt.Sprintf("entry-new-%d", n+1)
		x.balance(&Node{ID: id}, false)
		fresh, err := x.AddDaemon(x.ctx, id, old.Zone)
		if err != nil {
			t.Fatal(err)
		}
		if err := x.WaitForReady(x.ctx, fresh); err != nil {
			t.Fatal(err)
		}
		x.balance(fresh, true)
		x.wave(n)
		if err := x.SetDaemonState(x.ctx, old, upstream.Leaving); err != nil {
			t.Fatal(err)
		}
		x.balance(old, false)
		if err := old.Stop(); err != nil {
			t.Errorf("%s did not stop cleanly: %s", old.ID, err)
		}
		if err := x.SetDaemonState(x.ctx, old, upstream.Gone); err != nil {
			t.Fatal(err)
		}
		x.awaitOwners(old.ID)
		// Each generation must keep what the one before it accepted.
		version = max(version, x.addTeam(fresh, fmt.Sprintf("team-%d", n)))
		x.awaitVersion(version)
	}
	attempts, _ := x.finish()
	for _, a := range attempts {
		if a.Outcome == "unknown" {
			t.Errorf("%s %s: outcome unknown (%s) although every stop was planned", a.Class, a.ID, a.Err)
		}
	}
}

// Guards against two failures at once: an owner dies while the log is down.
func TestOwnerDiesDuringLogOutage(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	x.wave(0)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	x.Daemons[0].Kill()
	x.balance(x.Daemons[0], false)
	time.Sleep(2 * time.Second)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{}); err != nil {
		t.Fatal(err)
	}
	x.awaitOwners(x.Daemons[0].ID)
	x.wave(1)
	x.finish()
}

// runningServices returns the start of each service task that runs, by task.
func (x *cell) runningServices() map[string]int64 {
	x.t.Helper()
	out := make(map[string]int64)
	records, err := x.WorkerRecords(x.ctx)
	if err != nil {
		x.t.Fatal(err)
	}
	for _, r := range records {
		if r.EndUS == 0 && r.Resources.CPUMilli == 1500 {
			out[r.Task] = r.StartUS
		}
	}
	return out
}
