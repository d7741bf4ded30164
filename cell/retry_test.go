package cell

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// TestCallersOutlastAnOutage plays callers with four retries against a log that is
// down for some seconds. It guards against long jobs whose callers have given up
// when the log is back, and against quick jobs that come back too late.
func TestCallersOutlastAnOutage(t *testing.T) {
	const tries = 5
	refusal := errkind.New(errkind.NotReady, reasonTenureOver, "down")
	queue := &sched.Queue{Stretch: 4, Target: 3 * time.Second}
	long := queue.Objective(&sched.Job{Steps: []sched.Step{{Estimate: 3 * time.Second}}})
	brief := &sched.Queue{Stretch: 1.5, Target: 400 * time.Millisecond}
	quick := brief.Objective(&sched.Job{Steps: []sched.Step{{Estimate: 600 * time.Millisecond}}})
	for _, outage := range []time.Duration{2 * time.Second, 4200 * time.Millisecond, 5500 * time.Millisecond, 9 * time.Second} {
		back := func(objective time.Duration) time.Duration {
			at := time.Duration(0)
			for range tries {
				if at >= outage {
					return at
				}
				at += time.Duration(RetryAfter(refusal, objective, at)) * time.Second
			}
			return -1
		}
		if at := back(long); at < 0 || at > long {
			t.Errorf("outage of %v: a job with %v to its objective is handed in at %v", outage, long, at)
		}
		if at := back(quick); outage < 4*time.Second && at > outage+time.Second {
			t.Errorf("outage of %v: a quick job is handed in at %v", outage, at)
		}
		if at := back(quick); outage < 6*time.Second && at < 0 {
			t.Errorf("outage of %v: the caller of a quick job has given up before its end", outage)
		}
	}
	if s := RetryAfter(errkind.New(errkind.NotReady, "no_leader", "change"), long, 0); s != retryMin {
		t.Errorf("callers wait %d s for a change of the leader, want %d", s, retryMin)
	}
}

// TestObjectiveFollowsTheLongestChain guards against objectives that add up steps
// which run side by side.
func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	job := &sched.Job{Steps: []sched.Step{{Estimate: time.Second}, {Estimate: 3 * time.Second}, {Estimate: time.Second, DependsOn: []int{0}}}}
	queue := &sched.Queue{Stretch: 2, Target: time.Second}
	if got := queue.Objective(job); got != 7*time.Second {
		t.Errorf("objective %v, want 7s", got)
	}
}
