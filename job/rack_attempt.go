package job

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// rackAttempt is one attempt of a task as the rack owner knows it. It is guarded by
// the lock of the rack tenure.
type rackAttempt struct {
	worker          *worker
	task            workload.Task
	state           string // a workload.TaskState or one of the states of wire.go
	reason          string
	startNotAfterMS int64 // worker clock after which a pending start cannot take effect
	startQueued     bool  // a start was queued
	startSent       bool  // a start was sent
	startedAt       time.Time
	ranMS           int64
	exit            int
	usage           machine.Resources
	victims         []*rackAttempt
	stopMode        machine.StopMode // wanted, repeated until seen
	reportedState   string           // state in the last report that was answered
	reportedAt      time.Time
	endRecorded     bool // the job scheduler has recorded the end
	startDecided    chan struct{}
}

// holdsResources reports whether the attempt may use resources of its worker.
func (a *rackAttempt) holdsResources() bool {
	return a.state == attemptPending || a.state == attemptReserved || workload.TaskState(a.state).Holds()
}

// resources returns the resources that the attempt holds.
func (a *rackAttempt) resources() machine.Resources {
	if a.state == string(workload.Throttled) {
		return machine.Throttled(a.task.Resources)
	}
	return a.task.Resources
}

// setState changes the state and wakes those who wait for the outcome of the start.
func (a *rackAttempt) setState(state, reason string) {
	if a.state == state {
		return
	}
	a.state = state
	a.worker.tenure.notifyChanged()
	if reason != "" {
		a.reason = reason
	}
	if a.startDecided != nil && state != attemptPending && state != attemptReserved {
		close(a.startDecided)
		a.startDecided = nil
	}
}

func (a *rackAttempt) ref() machine.TaskRef {
	return machine.TaskRef{Task: a.task.ID, Attempt: a.task.Attempt}
}
