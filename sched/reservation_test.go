package sched

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// gangBehindLongRun returns a bench with one machine half full for 10 s, and a gang
// that needs all of it.
func gangBehindLongRun(t *testing.T) *bench {
	b := newBench(t, []Queue{plainQueue[0], {Name: "later", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}}, worker("m1"))
	running := small(2)
	running.Estimate = 10 * time.Second
	b.submit(running)
	if n := len(b.plan()); n != 2 {
		t.Fatalf("%d tasks placed, want 2", n)
	}
	gang := small(4)
	gang.Gang = true
	b.submit(gang)
	if got := b.plan(); len(got) != 0 {
		t.Fatalf("gang started without room: %v", got)
	}
	return b
}

// TestBookedRoom guards against gangs that are starved by later work, and against
// room that stands idle although work could end in time.
func TestBookedRoom(t *testing.T) {
	long := small(2)
	long.Estimate = 20 * time.Second
	lasting := small(2)
	lasting.Persistent = true
	for _, tc := range []struct {
		name   string
		step   Step
		placed int
	}{
		{"short work backfills", small(2), 2},
		{"long work waits", long, 0},
		{"lasting work comes first", lasting, 2}, // its users notice at once that it is down
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := gangBehindLongRun(t)
			b.submitTo("later", tc.step)
			if got := b.plan(); len(got) != tc.placed {
				t.Errorf("placed %v, want %d tasks", got, tc.placed)
			}
		})
	}
}

// TestLastingWorkLeavesBookedRoom guards against lasting work that takes room which
// an earlier lasting task has booked: it would never give it back.
func TestLastingWorkLeavesBookedRoom(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"))
	running := small(2)
	running.Estimate = 10 * time.Second
	b.submit(running)
	b.plan()
	whole := small(1)
	whole.Persistent, whole.Need.CPUMilli = true, 4000
	b.submit(whole)
	b.plan()
	later := small(2)
	later.Persistent = true
	b.submit(later)
	if got := b.plan(); len(got) != 0 {
		t.Errorf("placed %v in booked room, want nothing", got)
	}
}

// TestLongWorkBesideBookedRoom guards against machines that are kept empty although
// a gang leaves room on them.
func TestLongWorkBesideBookedRoom(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"))
	running := small(3)
	running.Estimate = 10 * time.Second
	b.submit(running)
	b.plan()
	gang := small(3) // one processor stays free beside it
	gang.Gang = true
	b.submit(gang)
	b.plan()
	long := small(2)
	long.Estimate = 20 * time.Second
	long.Need = machine.Resources{CPUMilli: 1000, MemoryMiB: 500}
	b.submit(long)
	if got := b.plan(); len(got) != 1 {
		t.Errorf("placed %v, want one task beside the booked room", got)
	}
}

// TestLastingTaskComesBack guards against a lasting task that stays down on full
// machines, because smaller work of a higher priority takes each bit of room that
// becomes free.
func TestLastingTaskComesBack(t *testing.T) {
	queues := []Queue{plainQueue[0], {Name: "lasting", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second}}
	b := newBench(t, queues, worker("m1"))
	type open struct {
		task string
		ends time.Duration
	}
	var running []open
	ends := int64(0)
	place := func() bool {
		for _, o := range b.e.Plan(b.now).Starts {
			b.e.StartAnswered(o, Started, b.now)
			if jobLasts := b.e.findTask(o.Task).step.spec.Persistent; jobLasts {
				return true
			}
			running = append(running, open{o.Task, b.now + time.Second})
		}
		return false
	}
	for range 4 { // four small tasks that end a quarter of a second apart
		b.submit(small(1))
		place()
		b.now += 250 * time.Millisecond
	}
	whole := Step{Count: 1, Persistent: true, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 1000}}
	b.submitTo("lasting", whole)
	for limit := b.now + 6*time.Second; b.now < limit; b.now += 50 * time.Millisecond {
		b.submit(small(1))
		var ended []EndReport
		var list []RunReport
		kept := running[:0]
		for _, r := range running {
			if r.ends <= b.now {
				ends++
				ended = append(ended, EndReport{Number: ends, Task: r.task, Run: 1, Kind: EndDone})
				continue
			}
			kept = append(kept, r)
			list = append(list, RunReport{Task: r.task, Run: 1, Percent: int(100 - (r.ends-b.now)/(10*time.Millisecond))})
		}
		running = kept
		b.look("m1", list, ended)
		b.flush()
		if place() {
			return
		}
	}
	t.Error("the lasting task has not started within 6 s")
}
