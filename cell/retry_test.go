package cell

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// TestCallersOutlastAnOutage simulates callers with four retries during an outage of the log of some
// seconds. It guards against callers of long jobs that have given up when the log is back, and
// against callers of short jobs that retry too late.
func TestCallersOutlastAnOutage(t *testing.T) {
	const attempts = 5
	refusal := errkind.New(errkind.NotReady, reasonTenureOver, "down")
	longQueue := &sched.Queue{Stretch: 4, Target: 3 * time.Second}
	longObjective := longQueue.Objective(&sched.Job{Steps: []sched.Step{{Estimate: 3 * time.Second}}})
	quickQueue := &sched.Queue{Stretch: 1.5, Target: 400 * time.Millisecond}
	quickObjective := quickQueue.Objective(&sched.Job{Steps: []sched.Step{{Estimate: 600 * time.Millisecond}}})
	for _, outage := range []time.Duration{2 * time.Second, 4200 * time.Millisecond, 5500 * time.Millisecond, 9 * time.Second} {
		acceptedAfter := func(objective time.Duration) time.Duration {
			elapsed := time.Duration(0)
			for range attempts {
				if elapsed >= outage {
					return elapsed
				}
				elapsed += time.Duration(RetryAfter(refusal, objective, elapsed)) * time.Second
			}
			return -1
		}
		if at := acceptedAfter(longObjective); at < 0 || at > longObjective {
			t.Errorf("outage of %v: a job with an objective of %v is accepted after %v, want within it (negative: given up)", outage, longObjective, at)
		}
		if at := acceptedAfter(quickObjective); outage < 4*time.Second && at > outage+time.Second {
			t.Errorf("outage of %v: a short job is accepted after %v, want at most 1s after the outage", outage, at)
		}
		if at := acceptedAfter(quickObjective); outage < 6*time.Second && at < 0 {
			t.Errorf("outage of %v: the caller of a short job has given up before its end", outage)
		}
	}
	if s := RetryAfter(errkind.New(errkind.NotReady, "no_leader", "change"), longObjective, 0); s != minRetrySeconds {
		t.Errorf("callers wait %d s during a change of the leader, want %d", s, minRetrySeconds)
	}
}

// TestObjectiveFollowsTheLongestChain guards against objectives that add up the estimates of steps
// that run in parallel.
func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	job := &sched.Job{Steps: []sched.Step{{Estimate: time.Second}, {Estimate: 3 * time.Second}, {Estimate: time.Second, DependsOn: []int{0}}}}
	queue := &sched.Queue{Stretch: 2, Target: time.Second}
	if got := queue.Objective(job); got != 7*time.Second {
		t.Errorf("objective %v, want 7s", got)
	}
}
