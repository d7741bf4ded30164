package sched

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// gangBehindLongRun returns a bench with one machine half full for 10 s, and a gang
// that needs all of it.
func newFixtureWithWaitingGang(t *testing.T) *engineFixture {
	f := newEngineFixture(t, []Queue{plainQueues[0], {Name: "later", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}}, worker("m1"))
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
		t.Fatalf("gang started without room: %v", got)
	}
	return f
}

// TestBookedRoom guards against gangs that are starved by later work, and against
// room that stands idle although work could end in time.
func TestBackfillOfReservedCapacity(t *testing.T) {
	long := smallStep(2)
	long.Estimate = 20 * time.Second
	lasting := smallStep(2)
	lasting.Persistent = true
	for _, tc := range []struct {
		name   string
		step   Step
		placed int
	}{
		{"short work backfills", smallStep(2), 2},
		{"long work waits", long, 0},
		{"lasting work comes first", lasting, 2}, // its users notice at once that it is down
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

// TestLastingWorkLeavesBookedRoom guards against lasting work that takes room which
// an earlier lasting task has booked: it would never give it back.
func TestPersistentTaskLeavesReservedCapacity(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"))
	running := smallStep(2)
	running.Estimate = 10 * time.Second
	f.submit(running)
	f.planAndConfirm()
	whole := smallStep(1)
	whole.Persistent, whole.Need.CPUMilli = true, 4000
	f.submit(whole)
	f.planAndConfirm()
	later := smallStep(2)
	later.Persistent = true
	f.submit(later)
	if got := f.planAndConfirm(); len(got) != 0 {
		t.Errorf("placed %v in booked room, want nothing", got)
	}
}

// TestLongWorkBesideBookedRoom guards against machines that are kept empty although
// a gang leaves room on them.
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
		t.Errorf("placed %v, want one task beside the booked room", got)
	}
}

// TestLastingTaskComesBack guards against a lasting task that stays down on full
// machines, because smaller work of a higher priority takes each bit of room that
// becomes free.
func TestPersistentTaskGetsReservation(t *testing.T) {
	queues := []Queue{plainQueues[0], {Name: "lasting", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second}}
	f := newEngineFixture(t, queues, worker("m1"))
	type open struct {
		task string
		ends time.Duration
	}
	var running []open
	ends := int64(0)
	place := func() bool {
		for _, o := range f.engine.Plan(f.now).Starts {
			f.engine.StartAnswered(o, Started, f.now)
			if jobLasts := f.engine.findTask(o.Task).step.spec.Persistent; jobLasts {
				return true
			}
			running = append(running, open{o.Task, f.now + time.Second})
		}
		return false
	}
	for range 4 { // four small tasks that end a quarter of a second apart
		f.submit(smallStep(1))
		place()
		f.now += 250 * time.Millisecond
	}
	whole := Step{Count: 1, Persistent: true, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 1000}}
	f.submitTo("lasting", whole)
	for limit := f.now + 6*time.Second; f.now < limit; f.now += 50 * time.Millisecond {
		f.submit(smallStep(1))
		var ended []EndReport
		var list []RunReport
		kept := running[:0]
		for _, r := range running {
			if r.ends <= f.now {
				ends++
				ended = append(ended, EndReport{Number: ends, Task: r.task, Run: 1, Kind: EndDone})
				continue
			}
			kept = append(kept, r)
			list = append(list, RunReport{Task: r.task, Run: 1, Percent: int(100 - (r.ends-f.now)/(10*time.Millisecond))})
		}
		running = kept
		f.poll("m1", list, ended)
		f.flush()
		if place() {
			return
		}
	}
	t.Error("the lasting task has not started within 6 s")
}

// TestBookingOutlastsTheSearch guards against later work that takes the room of a
// booked gang in the passes in which the gang does not look for room itself.
func TestReservationLastsBetweenSearches(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	long := Step{Count: 2, Estimate: time.Second, Need: machine.Resources{CPUMilli: 3000, MemoryMiB: 100}}
	f.submit(long)
	if got := f.planAndConfirm(); len(got) != 2 {
		t.Fatalf("started %v, want both tasks", got)
	}
	gang := f.submit(Step{Count: 2, Gang: true, Estimate: 4 * time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	f.planAndConfirm()
	f.submit(Step{Count: 2, Estimate: time.Minute, Need: machine.Resources{CPUMilli: 1000, MemoryMiB: 100}})
	for range 3 {
		for task := range f.planAndConfirm() {
			t.Errorf("task %s takes room that gang %s has booked", task, gang)
		}
	}
}
