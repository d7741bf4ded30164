package cell

import (
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

const (
	// retryMin and retryMax bound the wait that callers are told, in seconds. Most
	// changes of the leader are over after one; callers give up after a few tries, so
	// a longer wait carries them over a longer outage.
	retryMin, retryMax = 1, 3
	// retryFull is the wait while the backlog is full, in seconds.
	retryFull = 2
	// retryShare is the part of a job's objective that a wait may take. Several
	// tries fit into the objective, and quick jobs come back first.
	retryShare = 5
)

// RetryAfter returns when the caller of a refused job should come back, in whole
// seconds. Jobs with a long objective wait longer: they lose nothing, and come back
// after the quick ones when an outage is over. The longer the log has been silent, the
// longer the wait: callers have a few tries only, and an outage that has lasted for
// some seconds may last as long again.
func RetryAfter(err error, objective, outage time.Duration) int {
	if errkind.Of(err) == errkind.Overloaded {
		return retryFull
	}
	if errkind.ReasonOf(err) != reasonTenureOver {
		return retryMin
	}
	return min(max(int(max(objective/retryShare, outage)/time.Second), retryMin), retryMax)
}

// LogOutage returns how long the log has not answered this daemon, 0 if it does.
func (d *Daemon) LogOutage() time.Duration { return d.tenure.outage() }
