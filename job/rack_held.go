package job

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// held is one attempt of a task as the rack owner knows it. It is guarded by
// the lock of the rack tenure.
type held struct {
	worker     *worker
	task       workload.Task
	state      string // a workload.TaskState or one of the states of wire.go
	reason     string
	notAfterMS int64 // worker clock after which a pending start cannot take effect
	queued     bool  // a start was queued
	sent       bool  // a start was sent
	started    time.Time
	ranMS      int64
	exit       int
	usage      machine.Resources
	victims    []*held
	stopMode   machine.StopMode // wanted, repeated until seen
	reported   string           // state in the last report that was answered
	reportedAt time.Time
	settled    bool // the job scheduler has recorded the end
	decided    chan struct{}
}

// holds reports whether the attempt may use resources of its worker.
func (h *held) holds() bool {
	return h.state == statePending || h.state == stateReserved || workload.TaskState(h.state).HoldsResources()
}

// uses returns the resources that the attempt holds.
func (h *held) uses() machine.Resources {
	if h.state == string(workload.Throttled) {
		return machine.Throttled(h.task.Resources)
	}
	return h.task.Resources
}

// set changes the state and wakes those who wait for the outcome of the start.
func (h *held) set(state, reason string) {
	if h.state == state {
		return
	}
	h.state = state
	h.worker.t.changed()
	if reason != "" {
		h.reason = reason
	}
	if h.decided != nil && state != statePending && state != stateReserved {
		close(h.decided)
		h.decided = nil
	}
}

func (h *held) ref() machine.TaskRef {
	return machine.TaskRef{Task: h.task.ID, Attempt: h.task.Attempt}
}
