package cell

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

const (
	// minRetrySeconds and maxRetrySeconds bound the wait that callers are told. Most changes of the
	// leader are over after one second; callers give up after a few attempts, so a longer wait lets
	// them outlast a longer outage.
	minRetrySeconds, maxRetrySeconds = 1, 3
	// backlogFullRetrySeconds is the wait that callers are told while the backlog is full.
	backlogFullRetrySeconds = 2
	// maxOverloadRetrySeconds bounds the wait that callers are told in an overload, which is at most one
	// second longer since the waits are spread. Bursts last up to 6 s, and callers give up after four
	// retries.
	maxOverloadRetrySeconds = 6
	// objectiveDivisor gives the share of a job's time objective, one in so many, that a wait may
	// take, so that several attempts fit into the objective and callers of short jobs retry first.
	objectiveDivisor = 5
	// minAttemptTime is the part of a caller's time that an attempt needs: to arrive, to be stored and
	// to be answered.
	minAttemptTime = 300 * time.Millisecond
	// deadlineReserve is the time before the caller's deadline in which no further call is made
	// after a definite refusal. Its answer could come too late, and then the outcome of a request
	// that no daemon has accepted would count as unknown.
	deadlineReserve = 150 * time.Millisecond
)

// patience decides how long a request that no daemon can take now waits for a leader. It answers two
// loads: the requests of one second while the leader changes, and those of some seconds while the log
// is lost. Waiting costs a caller nothing if it is served in the end; a refusal costs it at least
// minRetrySeconds.
type patience struct {
	// maxWait is how long a request waits during a change of the leader. While the log is lost it does
	// not wait: how long that takes cannot be known, and the caller can return.
	maxWait time.Duration
	// holdLast lets a request wait to the end of its caller's time if the caller has no time to return
	// after a refusal. It is refused, definitely, before that time ends. While the log is lost that
	// holds only as long as the outage is younger than the time left: how long it lasts is not known,
	// and an outage that has lasted for some time probably lasts as long again.
	holdLast bool
}

// isOver reports whether a request that has waited for some time, and whose caller has so much time
// left, is refused now. outage is for how long nothing could be stored, 0 if the log is not lost. A
// caller without a deadline can always return.
func (p patience) isOver(waited, left, outage time.Duration) bool {
	if left < leaderRetryWait+deadlineReserve {
		return true
	}
	if p.holdLast && !canReturn(left) {
		return outage > left
	}
	return outage > 0 || waited >= p.maxWait
}

// canReturn reports whether a caller that is refused now can wait for minRetrySeconds and try again.
func canReturn(left time.Duration) bool {
	return left >= minRetrySeconds*time.Second+minAttemptTime
}

// noDeadline stands for the time left to a caller without a deadline.
const noDeadline = time.Hour

// timeLeft returns the time until the deadline of ctx, noDeadline if it has none.
func timeLeft(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return time.Until(at)
	}
	return noDeadline
}

// RetryAfter returns after how many whole seconds the caller of a job that was refused with err
// should retry. objective is the time in which the job should be done, outage is how long the log has
// not answered, and left is the time that the caller has. While the log is lost, jobs with a long
// objective wait longer: they lose nothing, and their callers retry after those of short jobs when an
// outage is over. The wait then also grows with the outage, since callers have few attempts and an
// outage that has lasted for some seconds may last as long again. The same applies to keys that are not
// fresh, which have the same cause unless a configuration cannot be read. No caller is told to return when it
// has no time left for an attempt, if a wait of minRetrySeconds avoids that.
func RetryAfter(err error, objective, outage, left time.Duration) int {
	seconds := minRetrySeconds
	switch reason := errkind.ReasonOf(err); {
	case errkind.WaitOf(err) > 0:
		seconds = overloadRetrySeconds(errkind.WaitOf(err))
	case errkind.Of(err) == errkind.Overloaded:
		seconds = backlogFullRetrySeconds
	case reason == reasonTenureOver || reason == reasonLogLost || reason == reasonKeysNotFresh:
		seconds = min(int(max(objective/objectiveDivisor, outage)/time.Second), maxRetrySeconds)
	}
	return max(min(seconds, int((left-minAttemptTime)/time.Second)), minRetrySeconds)
}

// overloadRetrySeconds returns after how many seconds a caller should retry if there will probably be
// room after wait, from minRetrySeconds to maxOverloadRetrySeconds + 1. The waits are spread at random from
// that time to twice as long, so that callers do not all return at once.
func overloadRetrySeconds(wait time.Duration) int {
	least := min(max(int((wait+time.Second-1)/time.Second), minRetrySeconds), maxOverloadRetrySeconds)
	return min(least+rand.IntN(least+1), maxOverloadRetrySeconds+1)
}

// LogOutage returns how long the log has not answered this daemon, 0 if the last call was answered or
// none ever was.
func (d *Daemon) LogOutage() time.Duration { return d.tenure.logOutage() }
