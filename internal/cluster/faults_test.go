package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// fiveDaemons holds the zones of five daemons, three of them in lombardy.
var fiveDaemons = []zone.Name{"lom-bergamo", "lom-monza", "lom-bergamo", "ven-treviso", "ven-treviso"}

// Guards against work that is lost or runs twice when an owner is killed, twice in a row.
func TestKilledOwners(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	for n := range 2 {
		x.submitJobs(n)
		victim := x.Daemons[n]
		victim.Kill()
		x.setBalanced(victim, false)
		x.awaitOwners(victim.ID)
		if err := x.StartDaemon(x.ctx, victim); err != nil {
			t.Fatal(err)
		}
		if err := x.WaitForReady(x.ctx, victim); err != nil {
			t.Fatal(err)
		}
		x.setBalanced(victim, true)
		x.awaitOwners()
	}
	x.submitJobs(2)
	x.finish()
}

// Guards against an owner whose process was paused while others took its keys over and
// that, once resumed, still acts for them.
func TestPausedOwner(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	for n := range 2 {
		x.submitJobs(n)
		victim := x.Daemons[2]
		victim.Pause()
		x.setBalanced(victim, false)
		x.awaitOwners(victim.ID)
		victim.Resume()
		x.setBalanced(victim, true)
	}
	x.submitJobs(2)
	x.finish()
}

// Guards against placement that stops, tasks that are killed and callers that are told a
// wrong outcome while the log is down for much longer than tenure and takeover wait.
func TestLogDown(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	x.submitJobs(0)
	before := x.runningServices()
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(8 * time.Second) // twice the lease of tasks in shortenedSettings
	after := x.runningServices()
	for task, start := range before {
		if after[task] != start {
			t.Errorf("service task %s ended or was restarted in the outage", task)
		}
	}
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{}); err != nil {
		t.Fatal(err)
	}
	x.submitJobs(1)
	x.finish()
}

// Guards against work that is lost or runs twice when appends to the log take effect but
// are not answered, while an owner is killed.
func TestLogLosesAnswers(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{LoseAnswers: -1}); err != nil {
		t.Fatal(err)
	}
	x.submitJobs(0)
	x.Daemons[1].Kill()
	x.setBalanced(x.Daemons[1], false)
	x.awaitOwners(x.Daemons[1].ID)
	x.submitJobs(1)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{}); err != nil {
		t.Fatal(err)
	}
	x.finish()
}

// Guards against a key with an owner on each side of a cut or silent link between the
// regions, against tasks that end because their region can't reach the log, and against a
// configuration change that a region never gets.
func TestRegionLinkFaults(t *testing.T) {
	for _, state := range []LinkState{LinkCut, LinkSilent} {
		t.Run(fmt.Sprint(state), func(t *testing.T) {
			x := startCell(t, fiveDaemons...)
			x.submitJobs(0)
			before := x.runningServices()
			x.SetLinkState(state)
			// The region of the log accepts the change; the other learns of it when the link is back.
			version := x.addTeam(x.Daemons[1], "during-the-cut")
			time.Sleep(6 * time.Second) // longer than the lease of tasks in shortenedSettings
			after := x.runningServices()
			for task, start := range before {
				if after[task] != start {
					t.Errorf("service task %s ended or was restarted during the link fault", task)
				}
			}
			x.SetLinkState(LinkUp)
			x.awaitVersion(version)
			x.awaitOwners()
			x.submitJobs(1)
			x.finish()
		})
	}
}

// Guards against calls that a planned stop cuts off, and against state that is lost when
// all daemons are replaced one after another.
func TestRollingReplacement(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	var version uint64
	for n, old := range append([]*Node(nil), x.Daemons...) {
		// A balancer sends callers to a daemon only once GET /readyz answers 200.
		id := fmt.Sprintf("entry-new-%d", n+1)
		x.setBalanced(&Node{ID: id}, false)
		fresh, err := x.AddDaemon(x.ctx, id, old.Zone)
		if err != nil {
			t.Fatal(err)
		}
		if err := x.WaitForReady(x.ctx, fresh); err != nil {
			t.Fatal(err)
		}
		x.setBalanced(fresh, true)
		x.submitJobs(n)
		if err := x.SetDaemonState(x.ctx, old, upstream.Leaving); err != nil {
			t.Fatal(err)
		}
		x.setBalanced(old, false)
		if err := old.Stop(); err != nil {
			t.Errorf("%s did not stop cleanly: %s", old.ID, err)
		}
		if err := x.SetDaemonState(x.ctx, old, upstream.Gone); err != nil {
			t.Fatal(err)
		}
		x.awaitOwners(old.ID)
		// Each new daemon must still know every change that earlier ones accepted.
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

// Guards against lost work when two failures coincide: an owner is killed while the log
// is down, so that its keys can be taken over only later.
func TestOwnerDiesDuringLogOutage(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	x.submitJobs(0)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{Down: true}); err != nil {
		t.Fatal(err)
	}
	x.Daemons[0].Kill()
	x.setBalanced(x.Daemons[0], false)
	time.Sleep(2 * time.Second)
	if err := x.SetLogFaults(x.ctx, standin.LogFaults{}); err != nil {
		t.Fatal(err)
	}
	x.awaitOwners(x.Daemons[0].ID)
	x.submitJobs(1)
	x.finish()
}

// runningServices returns the start of each running service task in microseconds, by task
// id. It recognizes services by their CPUMilli: publish gives 1500 to services only.
func (x *loadedCell) runningServices() map[string]int64 {
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
