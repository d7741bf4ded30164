package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// TestLateStepsAreOrderedByWork guards against a late step with much work that starts
// before smaller late ones, and against late work before work that can be on time.
func TestLateStepsAreOrderedByWork(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"))
	task := func(count int) Step {
		return Step{Count: count, Estimate: time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}}
	}
	large, smaller := f.submit(task(4)), f.submit(task(1))
	f.now += 3 * time.Second
	f.poll("a", nil, nil)
	onTime := f.submit(task(1))
	var order []string
	for range 3 {
		for name := range f.planAndConfirm() {
			order = append(order, name[:16])
			f.now += 10 * time.Millisecond
			f.poll("a", nil, []EndReport{{Number: int64(len(order)), Task: name, Run: 1, Kind: EndDone}})
		}
	}
	if want := []string{onTime, smaller, large}; !slices.Equal(order, want) {
		t.Errorf("started in the order %v, want %v", order, want)
	}
}

// TestStepWithoutTimeMarginComesLater guards against giving capacity to work that will
// probably end just too late while other work could be on time with it.
func TestStepWithoutTimeMarginComesLater(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a")) // the objective is 1 s plus twice the run time
	task := func(runTime time.Duration) Step {
		return Step{Count: 1, Estimate: runTime, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}}
	}
	tight := f.submit(task(4 * time.Second))
	f.now += 4500 * time.Millisecond // 4.5 s are left for 4 s of work
	f.poll("a", nil, nil)
	ample := f.submit(task(3 * time.Second))
	for name := range f.planAndConfirm() {
		if name[:16] != ample {
			t.Errorf("job %s starts, want %s: %s has a margin of only an eighth", name[:16], ample, tight)
		}
	}
}
