package job

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// rackAttempt is one attempt of a task as the rack owner knows it. It is guarded by the
// lock of the rack tenure.
type rackAttempt struct {
	worker          *worker
	task            workload.Task
	state           string // a workload.TaskState or one of the attempt states in wire.go
	reason          string
	startNotAfterMS int64             // on the worker's clock: a start that was sent cannot take effect later
	startQueued     bool              // queueStart has been called
	startSent       bool              // startTask has been called; the worker may have received the start
	startedAt       time.Time         // by the clock of the rack owner
	ranMS           int64             // run time reported by the worker
	exit            int               // exit code reported by the worker
	usage           machine.Resources // resources used, reported by the worker
	victims         []*rackAttempt    // to be preempted before the start
	stopMode        machine.StopMode  // requested stop, repeated until the inventory shows its effect; empty if none
	reportedState   string            // state in the last report that the job scheduler answered
	reportedAt      time.Time
	endRecorded     bool          // the job scheduler has recorded the end, or does not need it
	startDecided    chan struct{} // closed and set to nil when the outcome of the start is known
}

// holdsResources reports whether the attempt uses, or may use, resources of its worker.
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

// setState changes the state, and closes startDecided when the outcome of the start is
// known. An empty reason keeps the previous one.
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
