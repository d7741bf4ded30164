package sched

import (
	"slices"
	"time"
)

// The end of a run can be read after its task was started again: the machine was out of touch until its lease had expired.
// Such an end counts like any other. If it completes the task, or ends the job, the newer run has no purpose: an order to
// start it that waits is not sent (StartDue), and the run is stopped. The end is not acknowledged before it is known whether
// that start is carried out: no task may start after the acknowledgement of an end that completes it.

// heldEnd is an end that is not acknowledged while a later start of its task may still be carried out.
type heldEnd struct {
	number int64
	run    *run // of that start
}

// settled reports whether the start of r was carried out, or never will be.
func (r *run) settled() bool {
	return r.confirmedAt != 0 || r.machine.runs[runKey{r.task.name, r.number}] != r
}

// endNewerRuns stops the runs that were started after the one whose end m reports, if the end leaves them without a purpose,
// and holds back its acknowledgement until they are settled. The members of a gang end together.
func (e *Engine) endNewerRuns(m *machineState, t *task, end EndReport, now time.Duration) {
	tasks := []*task{t}
	if t.step.spec.Gang {
		tasks = t.step.tasks
	}
	ended := t.step.occ.job.state.final()
	for _, t := range tasks {
		r := t.run
		if r == nil || r.number == end.Run || !t.done && !ended {
			continue
		}
		e.stopRun(r, "task_done_before", now)
		if !r.settled() {
			m.heldEnds = append(m.heldEnds, heldEnd{end.Number, r})
		}
	}
}

// acknowledgeable returns the number up to which ends of m can be acknowledged: they are stored, and none of them is held.
func (m *machineState) acknowledgeable() int64 {
	m.heldEnds = slices.DeleteFunc(m.heldEnds, func(h heldEnd) bool { return h.run.settled() })
	number := m.storedEnds
	for _, h := range m.heldEnds {
		number = min(number, h.number-1)
	}
	return number
}
