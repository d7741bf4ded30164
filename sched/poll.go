package sched

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// PollResult is the answer of a machine to a poll: the lists of its runs and ends.
type PollResult struct {
	Born    int64         // Unix ms of the start of the incarnation that answered, 0 if not known
	Clock   int64         // the machine's steady clock in ms
	Sent    time.Duration // when the poll was sent
	Running []RunReport
	Ended   []EndReport // ends that are not acknowledged yet, the lowest numbers first
	// MoreEnds means that the machine may have further ends, which it lists once those in Ended are
	// acknowledged. A run that is in neither list may have ended then.
	MoreEnds bool
	// Unreadable is the number of rows of both lists that could not be read. If it is not 0,
	// runs that are not listed may exist nevertheless.
	Unreadable int
}

// PollAnswered takes the answer to a poll under token into account. It is ignored if the
// machine is not known, token is no longer its token, or a former incarnation answered.
// The answer of a new incarnation only reports the restart: its lists are not read, and
// it takes no work before its entry in the host list is known.
func (e *Engine) PollAnswered(id string, token int64, result PollResult, now time.Duration) {
	m := e.machines[id]
	if m == nil || token != m.token {
		return
	}
	m.onlyShowedRestart = m.spec.Born != 0 && result.Born > m.spec.Born
	if m.onlyShowedRestart {
		e.machineRestarted(m, result.Born, now)
		m.inHostList, m.answeredAt = false, now // its kind and capacity may have changed
		return
	}
	if result.Born != 0 && result.Born < m.spec.Born {
		return
	}
	if m.spec.Born == 0 {
		m.spec.Born = result.Born
	}
	if !m.polled {
		m.polled = true
		e.log.Info().Str("event", "machine_in_touch").Str("machine", id).Int64("token", token).
			Int("running", len(result.Running)).Int("ended", len(result.Ended)).Send()
	}
	if m.unresponsive {
		m.orders = orderHealth{} // it may have been out of reach, which is over
	}
	m.unresponsive, m.fencePending = false, false
	if m.tasksRecorded {
		m.tasksRecorded = false
		e.recordMachine(m) // it takes new work once the record no longer names its runs
	}
	m.moreEnds = result.MoreEnds
	if result.Unreadable == 0 && !result.MoreEnds {
		m.mayHaveFormerRuns = false
	}
	m.answeredAt = now
	m.clock.observe(result.Clock, now)
	processed := m.processedEnds
	for _, end := range result.Ended {
		if end.Number > m.processedEnds {
			e.runEnded(m, end, now)
			m.processedEnds = end.Number
		}
	}
	listed := make(map[runKey]bool, len(result.Running))
	m.unsizedRuns = result.Unreadable // each row may be a run of unknown size
	for _, report := range result.Running {
		listed[runKey{report.Task, report.Run}] = true
		e.runReported(m, report, now)
	}
	m.noteMissing(result, listed, m.processedEnds > processed, now)
	if result.Unreadable > 0 {
		e.log.Warn().Str("event", "rows_unreadable").Str("machine", id).Int("rows", result.Unreadable).Send()
		return
	}
	if result.MoreEnds {
		unlisted := lo.CountBy(lo.Keys(m.runs), func(k runKey) bool { return !listed[k] })
		e.log.Info().Str("event", "more_ends_expected").Str("machine", id).Int("ended", len(result.Ended)).
			Int64("up_to", m.processedEnds).Int("runs_unlisted", unlisted).Send()
		return // the unlisted runs may be among the further ends
	}
	for _, r := range m.sortedRuns() {
		if listed[runKey{r.task.name, r.number}] {
			continue
		}
		switch {
		case r.token < m.token:
			e.closeRun(r, now, "superseded")
		case r.stopAnsweredAt != 0 && result.Sent > r.stopAnsweredAt:
			e.closeRun(r, now, "stopped_before_start")
		case r.confirmedAt != 0 && result.Sent > r.confirmedAt:
			e.closeRun(r, now, "vanished")
		}
	}
}

// runReported takes one entry of the list of runs into account.
func (e *Engine) runReported(m *machineState, report RunReport, now time.Duration) {
	r := m.runs[runKey{report.Task, report.Run}]
	if r == nil {
		r = e.adoptRun(m, report, now)
		if r == nil {
			return
		}
	}
	if r.state == runOrdered || r.state == runUncertain {
		e.confirmRun(r, now)
	}
	r.listed, r.token = true, m.token
	if report.Percent > r.percent || r.percentAt == 0 {
		r.progressedAt, r.task.step.progressedAt = now, now
	}
	r.percent, r.percentAt = report.Percent, now
	if report.Checkpoint != "" {
		r.checkpoint, r.task.checkpoint = report.Checkpoint, report.Checkpoint
	}
}

// confirmRun marks a run as started, and its job as running.
func (e *Engine) confirmRun(r *run, now time.Duration) {
	r.confirmedAt = now
	if r.state != runStopping {
		r.state = runConfirmed
	}
	r.percentAt, r.progressedAt = now, now
	r.task.step.progressedAt = now
	j := r.task.step.occ.job
	j.begun = true
	if j.state == Queued {
		j.state = Running
	}
}

// adoptRun adds a run that this leader did not order. An unwanted one is stopped; it
// holds its capacity, and its task waits, until it has ended. If the task is unknown or
// has another run, adoptRun only stops the run and returns nil; the machine then takes no
// new work until a poll no longer lists the run. The first adopted member of a gang
// without an attempt sets the run number of the attempt.
func (e *Engine) adoptRun(m *machineState, report RunReport, now time.Duration) *run {
	t := e.findTask(report.Task)
	if t == nil || t.run != nil {
		m.unsizedRuns++
		e.orders.Stops = append(e.orders.Stops, Stop{m.spec, m.token, report.Task, report.Run})
		e.log.Warn().Str("event", "unknown_run_stopped").Str("machine", m.spec.ID).Str("task", report.Task).
			Int64("run", report.Run).Bool("task_known", t != nil).Send()
		return nil
	}
	r := &run{task: t, machine: m, number: report.Run, token: m.token, orderedAt: now}
	t.run, t.lastRun = r, max(t.lastRun, report.Run)
	m.addRun(r)
	gang := t.step.spec.Gang
	unwanted := ""
	switch {
	case t.done || t.step.occ.job.state.final():
		unwanted = "not_wanted"
	case gang && t.step.attempt.runNumber != 0 && t.step.attempt.runNumber != report.Run:
		unwanted = "other_attempt"
	case gang && t.step.attempt.runNumber == 0:
		t.step.attempt.runNumber, t.step.attempt.startedAt = report.Run, now
		t.step.updateGangReservation()
	}
	e.log.Info().Str("event", "run_adopted").Str("machine", m.spec.ID).Str("task", report.Task).Int64("run", report.Run).
		Str("unwanted", unwanted).Send()
	if unwanted != "" {
		e.stopRun(r, unwanted, now)
	}
	return r
}

// runEnded takes one entry of the list of ends into account.
func (e *Engine) runEnded(m *machineState, end EndReport, now time.Duration) {
	e.stats.Ends[end.Kind]++
	r := m.runs[runKey{end.Task, end.Run}]
	t := e.findTask(end.Task)
	if r != nil {
		t = r.task
	}
	if t == nil {
		return
	}
	if end.Checkpoint != "" && (r != nil || t.checkpoint == "") {
		t.checkpoint = end.Checkpoint
	}
	ev := e.log.Info().Str("event", "run_ended").Str("machine", m.spec.ID).Str("task", end.Task).Int64("run", end.Run).
		Str("how", string(end.Kind)).Int64("number", end.Number).Bool("known", r != nil)
	if t.lastRun > end.Run {
		e.stats.LateEnds[end.Kind]++
		ev.Int64("started_again_as", t.lastRun).Bool("task_done", t.done)
	}
	ev.Send()
	if r != nil {
		if end.Kind == EndDone && r.confirmedAt != 0 {
			t.runTime, t.ranOn = now-r.confirmedAt, m
			e.estimator.learn(t.step, t.runTime)
			if e.shedsLoad() {
				e.estimator.fit(t.step, t.runTime)
			}
		}
		e.releaseRun(r)
	}
	t.lastRun = max(t.lastRun, end.Run)
	e.applyEnd(m, t, end, now)
	e.endNewerRuns(m, t, end, now)
}

// applyEnd updates the task, its gang and its job after the end of a run. If one member
// of a gang is done, all are.
func (e *Engine) applyEnd(m *machineState, t *task, end EndReport, now time.Duration) {
	j := t.step.occ.job

	j.begun = true
	if j.state.final() {
		return
	}
	if j.state == Queued {
		j.state = Running
	}
	switch {
	case end.Kind == EndDone && t.step.spec.Persistent:
		// a persistent task is placed again, however it ended
	case end.Kind == EndDone:
		m.health.succeeded()
		if t.step.spec.Gang {
			for _, member := range t.step.tasks {
				e.taskDone(member, now)
			}
			return
		}
		e.taskDone(t, now)
	case end.Kind == EndFailed:
		e.taskFailed(m, t, end.Run, now)
	}
	if t.step.spec.Gang && !t.done && end.Run == t.step.attempt.runNumber {
		e.abortGang(t.step, "member_"+string(end.Kind), now, false)
	}
}

// taskFailed counts a failed attempt and fails the job after too many. The attempts of a
// gang are counted at its first task, those of a persistent task are not counted.
func (e *Engine) taskFailed(m *machineState, t *task, run int64, now time.Duration) {
	j := t.step.occ.job
	m.health.failed(now, j.spec.ID)
	previous := t.avoidMachine
	t.avoidMachine = m.spec.ID
	if t.step.spec.Persistent {
		return
	}
	if len(t.failedRuns) > 0 && previous != "" && previous != m.spec.ID {
		// The task has failed on two machines: these are not at fault.
		if other := e.machines[previous]; other != nil {
			other.health.forgetFailuresOf(j.spec.ID)
		}
		m.health.forgetFailuresOf(j.spec.ID)
	}
	counted := t
	if t.step.spec.Gang {
		counted = t.step.tasks[0]
	}
	if slices.Contains(counted.failedRuns, run) {
		return
	}
	counted.failedRuns = append(counted.failedRuns, run)
	e.progressChanged(counted)
	if len(counted.failedRuns) >= j.queue.MaxAttempts {
		e.finish(j, Failed, "task "+t.name+" has failed in all its attempts", now)
	}
}

// closeRun releases a run whose end the machine will not report. If the run was a
// confirmed member of a gang, the attempt is aborted.
func (e *Engine) closeRun(r *run, now time.Duration, reason string) {
	e.log.Info().Str("event", "run_closed").Str("machine", r.machine.spec.ID).Str("task", r.task.name).
		Int64("run", r.number).Str("reason", reason).Int64("age_ms", (now - r.orderedAt).Milliseconds()).Send()
	confirmed := r.confirmedAt != 0
	e.releaseRun(r)
	s := r.task.step
	if s.spec.Gang && !r.task.done && confirmed {
		e.abortGang(s, reason, now, true)
	}
}

// releaseRun frees the capacity of a run, so that its task can be placed again, on another
// machine if possible after a stuck, slow or unanswered run. With the last run of an
// aborted gang the attempt is over.
func (e *Engine) releaseRun(r *run) {
	r.machine.removeRun(r)
	if r.task.run == r {
		r.task.run = nil
	}
	if r.stopReason == "stuck" || r.stopReason == "slow" || r.stopReason == reasonStartUnanswered {
		r.task.avoidMachine = r.machine.spec.ID
	}
	s := r.task.step
	s.noSearchBefore = 0
	if s.spec.Gang && s.attempt.runNumber != 0 {
		for _, t := range s.tasks {
			if t.run != nil {
				return
			}
		}
		if s.attempt.aborting {
			s.attempt.runNumber, s.attempt.aborting = 0, false
		}
	}
}
