package sched

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// takeOver replaces the engine by that of a new leader, which has the records that the former one has stored and the
// given ones, and a cap of the processors of n small tasks for tenant x.
func (f *engineFixture) takeOver(n int64, records map[string]any) {
	all := encodeRecords(f.t, records)
	for _, m := range f.engine.byID {
		if _, given := records[machineKey(m.spec.ID)]; !given {
			all = append(all, encodeRecords(f.t, map[string]any{machineKey(m.spec.ID): machineRecord{Machine: m.spec}})...)
		}
	}
	list := f.engine.Machines()
	f.engine = New(Config{Token: f.engine.cfg.Token + TokensPerTerm, Lease: 6 * time.Second, StopLimit: 400 * time.Millisecond,
		GangWait: 3 * time.Second, SpreadFactor: 3, Logger: zerolog.Nop()}, f.now)
	f.engine.SetTenants(1, []Tenant{{Name: "x", Cap: machine.Resources{CPUMilli: 1000 * n}}})
	f.engine.SetQueues(1, plainQueues)
	f.engine.Restore(all, f.now, time.UnixMilli(f.now.Milliseconds()))
	for _, m := range list {
		f.engine.updateMachine(m.Machine, f.now)
	}
	f.flush()
}

// TestUnknownRunsCountUntilTheyAreKnown guards against starts above the cap by a new leader that has not read yet what
// the machines run, and against a count of them that stays when all machines have answered.
func TestUnknownRunsCountUntilTheyAreKnown(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	id := f.mustSubmitAs("x", smallStep(3))
	placed := f.planAndConfirm()
	f.takeOver(4, map[string]any{jobKey(id): jobRecord{Spec: &f.engine.jobs[id].spec}})
	newJob := f.mustSubmitAs("x", smallStep(4))
	started := func(when string, want int) {
		t.Helper()
		f.now += maxSearchInterval
		n := 0
		for task := range f.planAndConfirm() {
			if task[:len(newJob)] == newJob {
				n++
			}
		}
		if n != want {
			t.Errorf("%s: %d tasks started, want %d", when, n, want)
		}
	}
	f.engine.Plan(f.now)
	if u := f.engine.tenant("x").usage.unknown; u != smallStep(1).Need.Scale(3) {
		t.Errorf("%s counted for unknown runs, want 3 tasks", u)
	}
	running := map[string][]RunReport{}
	for task, m := range placed {
		running[m] = append(running[m], RunReport{Task: task, Run: 1, Percent: 10})
	}
	f.poll("a", running["a"], nil)
	started("one machine has answered", 1)
	f.poll("b", running["b"], nil)
	started("all machines have answered", 0)
	f.checkHeld("x", 4, "all machines have answered")
	if u := f.engine.tenant("x").usage.unknown; !u.IsZero() {
		t.Errorf("%s counted for unknown runs after all machines have answered", u)
	}
}

// TestUnknownRunsAreBoundedByTheMachines guards against a tenant with a large backlog that starts nothing after a
// takeover, although the machines that have not answered cannot run as much.
func TestUnknownRunsAreBoundedByTheMachines(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	id := f.mustSubmitAs("x", smallStep(1000))
	f.takeOver(6, map[string]any{jobKey(id): jobRecord{Spec: &f.engine.jobs[id].spec}})
	f.poll("a", nil, nil) // at most 4 tasks can run on b
	newJob := f.mustSubmitAs("x", smallStep(4))
	if placed := f.planAndConfirm(); len(placed) != 2 {
		t.Errorf("%d tasks of %s started, want 2", len(placed), newJob)
	}
}

// TestTasksOnSilentMachineCountOnce guards against starts above the cap while tasks may run on a machine that did not
// answer the former leader, and against tasks that count twice when the machine answers.
func TestTasksOnSilentMachineCountOnce(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	id := f.mustSubmitAs("x", smallStep(2))
	f.takeOver(3, map[string]any{jobKey(id): jobRecord{Spec: &f.engine.jobs[id].spec},
		machineKey("a"): machineRecord{Machine: worker("a"), Unresponsive: true, Tasks: []string{id + ".0.0.0", id + ".0.0.1"}}})
	f.poll("b", nil, nil)
	f.planAndConfirm()
	f.checkHeld("x", 2, "the machine is silent")
	f.mustSubmitAs("x", smallStep(2))
	if placed := f.planAndConfirm(); len(placed) != 1 {
		t.Errorf("%d tasks started, want 1", len(placed))
	}
	f.poll("a", []RunReport{{Task: id + ".0.0.0", Run: 1}}, nil)
	f.planAndConfirm()
	f.checkHeld("x", 3, "the machine runs one of them") // that one, the first of the second job, and one more that had no room
}

// TestRunsOfEndedJobsCountAfterTakeover guards against starts above the cap while machines still run the tasks of a
// job that was cancelled under the former leader: its record names no tasks, so a new leader cannot know the runs.
func TestRunsOfEndedJobsCountAfterTakeover(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	id := f.mustSubmitAs("x", smallStep(3))
	placed := f.planAndConfirm()
	old := f.engine
	old.Cancel(id, f.now, func() {})
	f.takeOver(3, map[string]any{jobKey(id): jobRecord{State: Cancelled, Holding: old.holdingAtEnd(old.jobs[id])}})
	f.mustSubmitAs("x", smallStep(3))
	running := map[string][]RunReport{}
	for task, m := range placed {
		running[m] = append(running[m], RunReport{Task: task, Run: 1, Percent: 10})
	}
	for range 2 {
		f.poll("a", running["a"], nil)
		f.poll("b", running["b"], nil)
		if n := len(f.planAndConfirm()); n != 0 {
			t.Errorf("%d tasks started while three of the cancelled job run", n)
		}
	}
	f.poll("a", nil, nil)
	f.poll("b", nil, nil)
	if n := len(f.planAndConfirm()); n != 3 {
		t.Errorf("%d tasks started after the runs had ended, want 3", n)
	}
}

// TestUnreadableRowDoesNotBlockTenants guards against a tenant that starts nothing as long as one machine lists a row
// that cannot be read, because jobs had ended under the former leader.
func TestUnreadableRowDoesNotBlockTenants(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	holding := &formerHolding{Tenant: "x", Held: smallStep(1).Need.Scale(3)}
	f.takeOver(3, map[string]any{jobKey("ended"): jobRecord{State: Cancelled, Holding: holding}})
	f.mustSubmitAs("x", smallStep(3))
	started := 0
	for end := f.now + 10*time.Second; f.now < end; f.now += 90 * time.Millisecond {
		f.engine.GrantLease("a", f.now)
		view, _ := f.engine.Machine("a")
		f.engine.PollAnswered("a", view.Token, PollResult{Born: 1, Clock: f.now.Milliseconds(), Sent: f.now, Unreadable: 1}, f.now)
		if started == 0 {
			f.poll("b", nil, nil)
		}
		started += len(f.planAndConfirm())
	}
	if started != 3 {
		t.Errorf("%d tasks started within 10 s, want 3", started)
	}
}
