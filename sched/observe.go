package sched

import (
	"slices"
	"time"
)

// PollResult is what a machine answered to a look at its lists.
type PollResult struct {
	Born    int64
	Clock   int64 // the machine's steady clock in ms
	Sent    time.Duration
	Running []RunReport
	Ended   []EndReport
	// Unreadable is the number of rows that were dropped. What is not listed may then
	// be there.
	Unreadable int
}

// PollAnswered takes a machine's lists into account.
func (e *Engine) PollAnswered(id string, token int64, l PollResult, now time.Duration) {
	m := e.machines[id]
	if m == nil || token != m.token {
		return
	}
	if m.spec.Born != 0 && l.Born > m.spec.Born {
		e.rebirth(m, l.Born, now)
		return
	}
	if l.Born != 0 && l.Born < m.spec.Born {
		return
	}
	if m.spec.Born == 0 {
		m.spec.Born = l.Born
	}
	if !m.looked {
		m.looked = true
		e.log.Info().Str("event", "machine_in_touch").Str("machine", id).Int64("token", token).
			Int("running", len(l.Running)).Int("ended", len(l.Ended)).Send()
	}
	m.silent = false
	if m.named {
		m.named = false
		e.record(m) // it takes new work once the record no longer names its runs
	}
	if l.Unreadable == 0 {
		m.foreign = false
	}
	m.lookedAt = now
	m.clock.observe(l.Clock, now)
	for _, end := range l.Ended {
		if end.Number > m.processed {
			e.ended(m, end, now)
			m.processed = end.Number
		}
	}
	present := make(map[runKey]bool, len(l.Running))
	m.strangers = l.Unreadable // each may be a run of unknown size
	for _, rep := range l.Running {
		present[runKey{rep.Task, rep.Run}] = true
		e.listed(m, rep, now)
	}
	if l.Unreadable > 0 {
		e.log.Warn().Str("event", "rows_unreadable").Str("machine", id).Int("rows", l.Unreadable).Send()
		return
	}
	for _, r := range m.sortedRuns() {
		if present[runKey{r.task.name, r.number}] {
			continue
		}
		switch {
		case r.token < m.token:
			e.closeRun(r, now, "superseded")
		case r.stopAnswer != 0 && l.Sent > r.stopAnswer:
			e.closeRun(r, now, "stopped_before_start")
		case r.started != 0 && l.Sent > r.started:
			e.closeRun(r, now, "vanished")
		}
	}
}

// listed takes one running entry into account.
func (e *Engine) listed(m *machineState, rep RunReport, now time.Duration) {
	r := m.runs[runKey{rep.Task, rep.Run}]
	if r == nil {
		r = e.adopt(m, rep, now)
		if r == nil {
			return
		}
	}
	if r.state == runOrdered || r.state == runDoubtful {
		e.confirm(r, now)
	}
	r.inLook, r.token = true, m.token
	if rep.Percent > r.percent || r.seenAt == 0 {
		r.movedAt = now
	}
	r.percent, r.seenAt = rep.Percent, now
	if rep.Checkpoint != "" {
		r.checkpoint, r.task.checkpoint = rep.Checkpoint, rep.Checkpoint
	}
}

// confirm marks a run as running.
func (e *Engine) confirm(r *run, now time.Duration) {
	r.started = now
	if r.state != runStopping {
		r.state = runListed
	}
	r.seenAt, r.movedAt = now, now
	j := r.task.step.occ.job
	j.begun = true
	if j.state == Queued {
		j.state = Running
	}
}

// adopt takes over a run that this leader did not order. An unwanted one is
// stopped; it holds its room, and its task waits, until it has ended. It returns
// nil if the size of the run is not known.
func (e *Engine) adopt(m *machineState, rep RunReport, now time.Duration) *run {
	t := e.findTask(rep.Task)
	if t == nil || t.run != nil {
		m.strangers++
		e.orders.Stops = append(e.orders.Stops, Stop{m.spec, m.token, rep.Task, rep.Run})
		e.log.Warn().Str("event", "unknown_run_stopped").Str("machine", m.spec.ID).Str("task", rep.Task).
			Int64("run", rep.Run).Bool("task_known", t != nil).Send()
		return nil
	}
	r := &run{task: t, machine: m, number: rep.Run, token: m.token, ordered: now}
	t.run, t.lastRun = r, max(t.lastRun, rep.Run)
	m.reserve(r)
	gang := t.step.spec.Gang
	why := ""
	switch {
	case t.done || t.step.occ.job.state.final():
		why = "not_wanted"
	case gang && t.step.gang.run != 0 && t.step.gang.run != rep.Run:
		why = "other_attempt"
	case gang && t.step.gang.run == 0:
		t.step.gang.run, t.step.gang.began = rep.Run, now
	}
	e.log.Info().Str("event", "run_adopted").Str("machine", m.spec.ID).Str("task", rep.Task).Int64("run", rep.Run).
		Str("unwanted", why).Send()
	if why != "" {
		e.stop(r, why, now)
	}
	return r
}

// ended takes one ended entry into account.
func (e *Engine) ended(m *machineState, end EndReport, now time.Duration) {
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
	e.log.Info().Str("event", "run_ended").Str("machine", m.spec.ID).Str("task", end.Task).Int64("run", end.Run).
		Str("how", string(end.Kind)).Int64("number", end.Number).Bool("known", r != nil).Send()
	if r != nil {
		if end.Kind == EndDone && r.started != 0 {
			t.took, t.ranOn = now-r.started, m
			e.speeds.learn(t.step, t.took)
		}
		e.dropRun(r)
	}
	t.lastRun = max(t.lastRun, end.Run)
	e.settleEnd(m, t, end, now)
}

// settleEnd moves the task on after an end.
func (e *Engine) settleEnd(m *machineState, t *task, end EndReport, now time.Duration) {
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
	if t.step.spec.Gang && !t.done && end.Run == t.step.gang.run {
		e.abortGang(t.step, "member_"+string(end.Kind), now, false)
	}
}

// taskFailed counts a failed attempt and fails the job after too many. The
// attempts of a gang are counted at its first task.
func (e *Engine) taskFailed(m *machineState, t *task, run int64, now time.Duration) {
	j := t.step.occ.job
	m.health.failed(now, j.spec.ID)
	first := t.avoid
	t.avoid = m.spec.ID
	if t.step.spec.Persistent {
		return
	}
	if len(t.failed) > 0 && first != "" && first != m.spec.ID {
		// The task fails wherever it runs: the machines are not at fault.
		if f := e.machines[first]; f != nil {
			f.health.forgive(j.spec.ID)
		}
		m.health.forgive(j.spec.ID)
	}
	counter := t
	if t.step.spec.Gang {
		counter = t.step.tasks[0]
	}
	if slices.Contains(counter.failed, run) {
		return
	}
	counter.failed = append(counter.failed, run)
	e.journal.dirty[j] = true
	if len(counter.failed) >= j.queue.MaxAttempts {
		e.finish(j, Failed, "task "+t.name+" has used its attempts", now)
	}
}

// closeRun ends a run that the machine will not report.
func (e *Engine) closeRun(r *run, now time.Duration, why string) {
	e.log.Info().Str("event", "run_closed").Str("machine", r.machine.spec.ID).Str("task", r.task.name).
		Int64("run", r.number).Str("reason", why).Int64("age_ms", (now - r.ordered).Milliseconds()).Send()
	began := r.started != 0
	e.dropRun(r)
	s := r.task.step
	if s.spec.Gang && !r.task.done && began {
		e.abortGang(s, why, now, true)
	}
}

// dropRun frees the room of a run.
func (e *Engine) dropRun(r *run) {
	r.machine.release(r)
	if r.task.run == r {
		r.task.run = nil
	}
	if r.reason == "stuck" || r.reason == "slow" || r.reason == reasonUnanswered {
		r.task.avoid = r.machine.spec.ID
	}
	s := r.task.step
	s.retryAt = 0
	if s.spec.Gang && s.gang.run != 0 {
		for _, t := range s.tasks {
			if t.run != nil {
				return
			}
		}
		if s.gang.aborting {
			s.gang.run, s.gang.aborting = 0, false
		}
	}
}
