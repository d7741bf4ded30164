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
		{"lasting work waits", lasting, 0},
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
