package sched

import (
	"testing"
	"time"
)

// progress lets all tasks of a step work for a time: each has the share of its
// work done that percent returns.
func (b *bench) progress(id string, placed map[string]string, after time.Duration, percent func(task, machine string) int) {
	b.now += after
	running := map[string][]RunReport{}
	for task, m := range placed {
		running[m] = append(running[m], RunReport{Task: task, Run: 1, Percent: percent(task, m)})
	}
	for m, list := range running {
		b.look(m, list, nil)
	}
}

// TestWrongEstimatesAreNotSlowRuns guards against healthy runs that are stopped and
// started again because their declared run time was too short.
func TestWrongEstimatesAreNotSlowRuns(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"), worker("m2"), worker("m3"))
	s := small(6)
	s.Estimate = 100 * time.Millisecond // they take 3 s
	id := b.submit(s)
	placed := b.plan()
	for range 5 {
		at := b.now
		b.progress(id, placed, 500*time.Millisecond, func(string, string) int { return int(100 * (b.now - at + at - time.Second) / (3 * time.Second)) })
		if o := b.e.Plan(b.now); len(o.Stops) > 0 {
			t.Fatalf("stopped %v although all tasks work at the same speed", o.Stops)
		}
	}
}

// TestSlowMachineLosesItsRuns guards against tasks that are left on a machine that
// works many times slower than the others.
func TestSlowMachineLosesItsRuns(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"), worker("m2"), worker("m3"), worker("m4"))
	s := small(6)
	s.MaxPerMachine = 2
	id := b.submit(s)
	placed := b.plan()
	slow := placed[id+".0.0.0"]
	var stops []Stop
	for range 4 {
		b.progress(id, placed, 400*time.Millisecond, func(_, m string) int {
			share := 100 * (b.now - time.Second) / (2 * time.Second)
			if m == slow {
				share /= 7
			}
			return int(share)
		})
		stops = append(stops, b.e.Plan(b.now).Stops...)
	}
	if len(stops) == 0 {
		t.Fatal("no run was stopped")
	}
	for _, o := range stops {
		if o.Machine.ID != slow {
			t.Errorf("stopped %s on %s, which is not slow", o.Task, o.Machine.ID)
		}
	}
}

// TestStuckRunIsMoved guards against a task that stands still for good.
func TestStuckRunIsMoved(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"), worker("m2"))
	id := b.submit(small(1))
	placed := b.plan()
	moved := false
	for range 6 {
		b.progress(id, placed, 500*time.Millisecond, func(string, string) int { return 30 })
		moved = moved || len(b.e.Plan(b.now).Stops) > 0
	}
	if !moved {
		t.Error("a run without progress for 3 s was not stopped")
	}
}

// TestQuickWorkGoesToFastMachines guards against quick jobs that miss their
// objective on slow machines while fast ones are free. Machines differ by a third;
// declared run times are off by much more.
func TestQuickWorkGoesToFastMachines(t *testing.T) {
	queues := []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Target: time.Second}}
	b := newBench(t, queues, worker("m1"), worker("m2"), worker("m3"))
	slow := "m1" // the first choice among equal machines
	ends := map[string]int64{}
	for n := range 12 {
		s := small(6)
		s.MaxPerMachine = 2
		s.Estimate = time.Duration(100+n*150) * time.Millisecond
		b.submit(s)
		placed := b.plan()
		began := b.now
		finish := func(after time.Duration, fast bool) {
			b.now = began + after
			for _, id := range []string{"m1", "m2", "m3"} {
				var ended []EndReport
				for task, m := range placed {
					if m == id && (m != slow) == fast {
						ends[m]++
						ended = append(ended, EndReport{Number: ends[m], Task: task, Run: 1, Kind: EndDone})
					}
				}
				if len(ended) > 0 {
					b.look(id, nil, ended)
				}
			}
		}
		finish(time.Second, true)
		finish(1300*time.Millisecond, false)
		b.flush()
	}
	b.submit(small(2))
	for task, m := range b.plan() {
		if m == slow {
			t.Errorf("%s went to the slow machine", task)
		}
	}
}
