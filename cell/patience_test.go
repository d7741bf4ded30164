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

// outageResult is what became of a caller during a simulated outage.
type outageResult struct {
	servedAt, refusedAt time.Duration // one of them is not 0
	heldFor             time.Duration // longest wait at a daemon
}

// simulateCaller simulates a caller that sends a job at some time in an outage of the log that begins
// at 0, and has so much time in all.
func simulateCaller(sent, outage, budget, objective time.Duration) outageResult {
	const step = 10 * time.Millisecond
	refusal := errkind.New(errkind.NotReady, reasonLogLost, "down")
	p := patience{maxWait: submitLeaderWait, holdLast: true}
	var result outageResult
	for now, arrived := sent, sent; ; now += step {
		result.heldFor = max(result.heldFor, now-arrived)
		if now >= outage {
			result.servedAt = now
			return result
		}
		if !p.isOver(now-arrived, sent+budget-now, max(now, step)) {
			continue
		}
		wait := time.Duration(RetryAfter(refusal, objective, now, sent+budget-now)) * time.Second
		if now+wait >= sent+budget {
			result.refusedAt = now
			return result
		}
		arrived = now + wait
		now = arrived - step
	}
}

// TestCallersOfLimitedTimeDuringAnOutage simulates callers who have 3 s in all and arrive throughout an
// outage of the log. It guards against callers who are told to return after the end of their time, who
// are refused for good in an outage of less than a second, who are held although they could return or
// although the outage has lasted for longer than they can wait, and who are not told in time that their
// request never runs.
func TestCallersOfLimitedTimeDuringAnOutage(t *testing.T) {
	const budget = 3 * time.Second
	for _, outage := range []time.Duration{900 * time.Millisecond, 4200 * time.Millisecond} {
		for _, objective := range []time.Duration{1500 * time.Millisecond, 15 * time.Second} {
			for sent := time.Duration(0); sent < outage; sent += 130 * time.Millisecond {
				got := simulateCaller(sent, outage, budget, objective)
				canReturnAfter := sent+budget >= outage+minRetrySeconds*time.Second+minAttemptTime
				if canReturnAfter && got.servedAt == 0 || got.servedAt > sent+budget {
					t.Errorf("outage of %v, objective %v, sent at %v: served at %v, refused at %v, want it served in time",
						outage, objective, sent, got.servedAt, got.refusedAt)
				}
				if got.refusedAt > sent+budget-deadlineReserve {
					t.Errorf("outage of %v, objective %v, sent at %v: refused at %v, too late for the caller", outage, objective, sent, got.refusedAt)
				}
				if outage > budget && got.heldFor > 0 {
					t.Errorf("outage of %v, objective %v, sent at %v: held for %v", outage, objective, sent, got.heldFor)
				}
			}
		}
	}
	if got := simulateCaller(100*time.Millisecond, 500*time.Millisecond, time.Second, time.Second); got.servedAt == 0 || got.heldFor == 0 {
		t.Errorf("a caller with 1 s left at the start of an outage: %+v, want it held and served", got)
	}
}

// TestCallersReturnDuringAChangeOfTheLeader guards against callers who wait for a leader longer than a
// change takes although they have the time to return.
func TestCallersReturnDuringAChangeOfTheLeader(t *testing.T) {
	p := patience{maxWait: submitLeaderWait, holdLast: true}
	if p.isOver(submitLeaderWait/2, 2*time.Second, 0) || !p.isOver(submitLeaderWait, 2*time.Second, 0) {
		t.Error("a caller with 2 s left does not wait just submitLeaderWait")
	}
	if p.isOver(2*submitLeaderWait, time.Second, 0) || !p.isOver(0, deadlineReserve, 0) {
		t.Error("a caller with 1 s left does not wait to the end of its time")
	}
	query := patience{maxWait: queryLeaderWait}
	if query.isOver(0, noDeadline, 0) || !query.isOver(0, time.Second, time.Millisecond) {
		t.Error("a status query does not wait during a change of the leader, or waits while the log is lost")
	}
}

// TestRetryWhileKeysAreNotFresh guards against callers who use up their attempts during an outage that makes keys not
// fresh, and against ones that wait for long although another daemon can serve them at once.
func TestRetryWhileKeysAreNotFresh(t *testing.T) {
	for outage, want := range map[time.Duration]int{0: minRetrySeconds, 2 * time.Second: 2, time.Minute: maxRetrySeconds} {
		if s := RetryAfter(ErrKeysNotFresh(), 0, outage, noDeadline); s != want {
			t.Errorf("outage of %v: %d s, want %d s", outage, s, want)
		}
	}
}
