package sched

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// newFixtureWithWaitingGang returns a fixture with one machine that is half full for 10 s,
// and a gang that waits for all of it. Its queue later has the lower priority.
func newFixtureWithWaitingGang(t *testing.T) *engineFixture {
	f := newEngineFixture(t, []Queue{plainQueues[0],
		{Name: "later", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}}, worker("m1"))
	running := smallStep(2)
	running.Estimate = 10 * time.Second
	f.submit(running)
	if n := len(f.planAndConfirm()); n != 2 {
		t.Fatalf("%d tasks placed, want 2", n)
	}
	gang := smallStep(4)
	gang.Gang = true
	f.submit(gang)
	if got := f.planAndConfirm(); len(got) != 0 {
		t.Fatalf("gang started without free capacity: %v", got)
	}
	return f
}

// TestBackfillOfReservedCapacity guards against gangs that are starved by later work, and
// against reserved capacity that is idle although other work could end in time.
func TestBackfillOfReservedCapacity(t *testing.T) {
	long := smallStep(2)
	long.Estimate = 20 * time.Second
	persistent := smallStep(2)
	persistent.Persistent = true
	for _, tc := range []struct {
		name   string
		step   Step
		placed int
	}{
		{"short work backfills", smallStep(2), 2},
		{"long work waits", long, 0},
		{"persistent work comes first", persistent, 2}, // its users notice immediately that it is down
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixtureWithWaitingGang(t)
			f.submitTo("later", tc.step)
			if got := f.planAndConfirm(); len(got) != tc.placed {
				t.Errorf("placed %v, want %d tasks", got, tc.placed)
			}
		})
	}
}

// TestPersistentTaskLeavesReservedCapacity guards against a persistent task that takes
// capacity reserved for an earlier persistent task: it would never give it back.
func TestPersistentTaskLeavesReservedCapacity(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"))
	running := smallStep(2)
	running.Estimate = 10 * time.Second
	f.submit(running)
	f.planAndConfirm()
	wholeMachine := smallStep(1)
	wholeMachine.Persistent, wholeMachine.Need.CPUMilli = true, 4000
	f.submit(wholeMachine)
	f.planAndConfirm()
	later := smallStep(2)
	later.Persistent = true
	f.submit(later)
	if got := f.planAndConfirm(); len(got) != 0 {
		t.Errorf("placed %v in reserved capacity, want nothing", got)
	}
}

// TestLongTaskUsesUnreservedCapacity guards against machines that are kept empty although
// the reservation of a gang leaves capacity on them.
func TestLongTaskUsesUnreservedCapacity(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"))
	running := smallStep(3)
	running.Estimate = 10 * time.Second
	f.submit(running)
	f.planAndConfirm()
	gang := smallStep(3) // one processor stays free beside it
	gang.Gang = true
	f.submit(gang)
	f.planAndConfirm()
	long := smallStep(2)
	long.Estimate = 20 * time.Second
	long.Need = machine.Resources{CPUMilli: 1000, MemoryMiB: 500}
	f.submit(long)
	if got := f.planAndConfirm(); len(got) != 1 {
		t.Errorf("placed %v, want one task beside the reserved capacity", got)
	}
}

// TestPersistentTaskGetsReservation guards against a persistent task that never starts on
// full machines, because smaller tasks of a higher priority take all capacity that
// becomes free.
func TestPersistentTaskGetsReservation(t *testing.T) {
	queues := []Queue{plainQueues[0],
		{Name: "persistent", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second}}
	f := newEngineFixture(t, queues, worker("m1"))
	type openRun struct {
		task string
		ends time.Duration
	}
	var running []openRun
	ends := int64(0)
	// startOrders makes a pass, confirms its starts and reports whether one is persistent.
	startOrders := func() bool {
		for _, o := range f.engine.Plan(f.now).Starts {
			f.engine.StartAnswered(o, Started, f.now)
			if persistent := f.engine.findTask(o.Task).step.spec.Persistent; persistent {
				return true
			}
			running = append(running, openRun{o.Task, f.now + time.Second})
		}
		return false
	}
	for range 4 { // four small tasks that end a quarter of a second apart
		f.submit(smallStep(1))
		startOrders()
		f.now += 250 * time.Millisecond
	}
	wholeMachine := Step{Count: 1, Persistent: true, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 1000}}
	f.submitTo("persistent", wholeMachine)
	for limit := f.now + 6*time.Second; f.now < limit; f.now += 50 * time.Millisecond {
		f.submit(smallStep(1))
		var ended []EndReport
		var reports []RunReport
		unfinished := running[:0]
		for _, r := range running {
			if r.ends <= f.now {
				ends++
				ended = append(ended, EndReport{Number: ends, Task: r.task, Run: 1, Kind: EndDone})
				continue
			}
			unfinished = append(unfinished, r)
			reports = append(reports, RunReport{Task: r.task, Run: 1, Percent: int(100 - (r.ends-f.now)/(10*time.Millisecond))})
		}
		running = unfinished
		f.poll("m1", reports, ended)
		f.flush()
		if startOrders() {
			return
		}
	}
	t.Error("the persistent task has not started within 6 s")
}

// TestReservationLastsBetweenSearches guards against later work that takes the capacity
// reserved for a gang in the passes in which the gang does not search itself.
func TestReservationLastsBetweenSearches(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	long := Step{Count: 2, Estimate: time.Second, Need: machine.Resources{CPUMilli: 3000, MemoryMiB: 100}}
	f.submit(long)
	if got := f.planAndConfirm(); len(got) != 2 {
		t.Fatalf("started %v, want both tasks", got)
	}
	gang := f.submit(Step{Count: 2, Gang: true, Estimate: 4 * time.Second,
		Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	f.planAndConfirm()
	f.submit(Step{Count: 2, Estimate: time.Minute, Need: machine.Resources{CPUMilli: 1000, MemoryMiB: 100}})
	for range 3 {
		for task := range f.planAndConfirm() {
			t.Errorf("task %s takes capacity that is reserved for gang %s", task, gang)
		}
	}
}
