package cell

import (
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

const (
	// minRetrySeconds and maxRetrySeconds bound the wait that callers are told, in seconds. Most
	// changes of the leader are over after one; callers give up after a few tries, so
	// a longer wait carries them over a longer outage.
	minRetrySeconds, maxRetrySeconds = 1, 3
	// backlogFullRetrySeconds is the wait while the backlog is full, in seconds.
	backlogFullRetrySeconds = 2
	// objectiveDivisor is the part of a job's objective that a wait may take. Several
	// tries fit into the objective, and quick jobs come back first.
	objectiveDivisor = 5
)

// RetryAfter returns when the caller of a refused job should come back, in whole
// seconds. Jobs with a long objective wait longer: they lose nothing, and come back
// after the quick ones when an outage is over. The longer the log has been silent, the
// longer the wait: callers have a few tries only, and an outage that has lasted for
// some seconds may last as long again.
func RetryAfter(err error, objective, outage time.Duration) int {
	if errkind.Of(err) == errkind.Overloaded {
		return backlogFullRetrySeconds
	}
	if errkind.ReasonOf(err) != reasonTenureOver {
		return minRetrySeconds
	}
	return min(max(int(max(objective/objectiveDivisor, outage)/time.Second), minRetrySeconds), maxRetrySeconds)
}

// LogOutage returns how long the log has not answered this daemon, 0 if it does.
func (d *Daemon) LogOutage() time.Duration { return d.tenure.logOutage() }
