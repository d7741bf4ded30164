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
				elapsed += time.Duration(RetryAfter(refusal, objective, elapsed, noDeadline)) * time.Second
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
	if s := RetryAfter(errkind.New(errkind.NotReady, "no_leader", "change"), longObjective, 0, noDeadline); s != minRetrySeconds {
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

// TestCallersOfLimitedTimeAreServedAfterAnOutage simulates callers who have 3 s in all and arrive
// throughout an outage of the log. It guards against callers who are told to return after the end of
// their time, who are refused although the log is back in time for them, who wait although they could
// return, and who are not told in time that their request never runs.
func TestCallersOfLimitedTimeAreServedAfterAnOutage(t *testing.T) {
	const (
		budget = 3 * time.Second
		outage = 4200 * time.Millisecond
		step   = 10 * time.Millisecond
	)
	refusal := errkind.New(errkind.NotReady, reasonLogLost, "down")
	p := patience{maxWait: submitLeaderWait, holdLast: true}
	for _, objective := range []time.Duration{1500 * time.Millisecond, 15 * time.Second} {
		for sent := time.Duration(0); sent < outage; sent += 130 * time.Millisecond {
			end := sent + budget
			var servedAt, refusedAt time.Duration
			for now, arrived := sent, sent; servedAt == 0 && refusedAt == 0; now += step {
				switch {
				case now >= outage:
					servedAt = now
				case !p.isOver(now-arrived, end-now, true):
					if end-arrived >= minRetrySeconds*time.Second+minAttemptTime {
						t.Fatalf("sent at %v: held at %v although the caller could return", sent, now)
					}
				default:
					wait := time.Duration(RetryAfter(refusal, objective, now, end-now)) * time.Second
					if now+wait >= end {
						refusedAt = now
						break
					}
					now += wait
					arrived = now
				}
			}
			if inTime := end >= outage+leaderRetryWait+deadlineReserve; inTime != (servedAt != 0) || servedAt > end {
				t.Errorf("objective %v, sent at %v: served at %v, refused at %v; the log is back in time: %v", objective, sent, servedAt, refusedAt, inTime)
			}
			if refusedAt > end-deadlineReserve {
				t.Errorf("objective %v, sent at %v: refused at %v, too late for the caller", objective, sent, refusedAt)
			}
		}
	}
}

// TestCallersReturnDuringAChangeOfTheLeader guards against callers who wait for a leader longer than a
// change takes although they have the time to return.
func TestCallersReturnDuringAChangeOfTheLeader(t *testing.T) {
	p := patience{maxWait: submitLeaderWait, holdLast: true}
	if p.isOver(submitLeaderWait/2, 2*time.Second, false) || !p.isOver(submitLeaderWait, 2*time.Second, false) {
		t.Error("a caller with 2 s left does not wait just submitLeaderWait")
	}
	if p.isOver(2*submitLeaderWait, time.Second, false) || !p.isOver(0, deadlineReserve, false) {
		t.Error("a caller with 1 s left does not wait to the end of its time")
	}
	if (patience{maxWait: queryLeaderWait}).isOver(0, noDeadline, false) || !(patience{maxWait: queryLeaderWait}).isOver(0, time.Second, true) {
		t.Error("a status query does not wait during a change of the leader, or waits while the log is lost")
	}
}
