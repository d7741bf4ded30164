package placement

import (
	"fmt"
	"testing"
)

// Guards against a cost of submitting or cancelling many jobs that grows faster than
// their number.
func TestSubmitAndCancelCostIsLinear(t *testing.T) {
	steps := func(n int) (submit, cancel int64) {
		e := newEngineWithWorkers(8, Config{})
		mustSubmit(t, e, batchJob("fill", 128, resources(1000, 1024)), startTime)
		placeAll(e, startTime)
		count := func() int64 { s := e.Stats(); return s.QueueSteps + s.IndexSteps + s.NodesExamined }
		before := count()
		for i := range n {
			mustSubmit(t, e, batchJob(fmt.Sprint(i), 1, resources(1000, 1024)), startTime)
			e.Decide(startTime, 10)
		}
		afterSubmit := count()
		for i := range n {
			e.Cancel(fmt.Sprint(i), startTime)
			e.Decide(startTime, 10)
		}
		if s := e.Stats(); s.Active+s.Unschedulable != 0 {
			t.Fatalf("%d jobs still wait", s.Active+s.Unschedulable)
		}
		return afterSubmit - before, count() - afterSubmit
	}
	submit1k, cancel1k := steps(1000)
	submit10k, cancel10k := steps(10_000)
	t.Logf("steps for 1,000 jobs: submit %d cancel %d; for 10,000: submit %d cancel %d", submit1k, cancel1k, submit10k, cancel10k)
	if submit10k > 11*submit1k || cancel10k > 11*cancel1k {
		t.Fatalf("steps for 1,000 -> 10,000 jobs: submit %d -> %d, cancel %d -> %d; want at most 11 times as many", submit1k, submit10k, cancel1k, cancel10k)
	}
}

// Guards against a cost per decision that grows in proportion to the workers.
func TestDecisionCostIsSublinear(t *testing.T) {
	steps := func(n int) float64 {
		m := churnMix(n, 1)
		e := New(Config{})
		result, _ := simulate(t, m, e, 10*n)
		s := e.Stats()
		return float64(s.IndexSteps+s.NodesExamined) / float64(result.placed)
	}
	small, large := steps(1000), steps(9000)
	t.Logf("steps per placement: %.1f at 1,000 workers, %.1f at 9,000", small, large)
	if large > 3*small {
		t.Fatalf("steps per placement grew from %.1f to %.1f with nine times the workers, want at most threefold", small, large)
	}
}
