package cell

import (
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
	// objectiveDivisor gives the share of a job's time objective, one in so many, that a wait may
	// take, so that several attempts fit into the objective and callers of short jobs retry first.
	objectiveDivisor = 5
)

// RetryAfter returns after how many whole seconds the caller of a job that was refused with err
// should retry. objective is the time in which the job should be done, and outage is how long the log
// has not answered. Both matter only if the leader's tenure is over. Jobs with a long objective then
// wait longer: they lose nothing, and their callers retry after those of short jobs when an outage is
// over. The wait also grows with the outage, since callers have few attempts and an outage that has
// lasted for some seconds may last as long again.
func RetryAfter(err error, objective, outage time.Duration) int {
	if errkind.Of(err) == errkind.Overloaded {
		return backlogFullRetrySeconds
	}
	if errkind.ReasonOf(err) != reasonTenureOver {
		return minRetrySeconds
	}
	return min(max(int(max(objective/objectiveDivisor, outage)/time.Second), minRetrySeconds), maxRetrySeconds)
}

// LogOutage returns how long the log has not answered this daemon, 0 if the last call was answered or
// none ever was.
func (d *Daemon) LogOutage() time.Duration { return d.tenure.logOutage() }
