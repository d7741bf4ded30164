package sched

import (
	"slices"
	"time"
)

const (
	// stopRetryInterval is the wait before an unanswered stop is sent again. An answered one
	// is sent again if the run has not ended within Config.StopLimit and twice this time.
	stopRetryInterval = 400 * time.Millisecond
	// stuckAfter is the shortest time without progress after which a run counts as stuck.
	// Polls of a machine are at most 2 s apart.
	stuckAfter = 1800 * time.Millisecond
	// stuckAfterShare is the share of its expected run time for which a run may show no
	// progress: that is reported in whole percent, and expected run times are off by a half.
	stuckAfterShare = 0.05
	// slowFactor is how many times longer a run must take than its siblings, or the runs
	// of a machine than expected, to count as slow. Tasks of a step differ by less.
	slowFactor = 2.5
	// minSiblings is the number of siblings with a known run time that the comparison with
	// siblings needs, and minMeasuredSteps the number of steps with runs on a machine that
	// the comparison with expected run times needs.
	minSiblings, minMeasuredSteps = 2, 3
	// restartOverhead is added to the expected time of a new run, which waits in the queue
	// again.
	restartOverhead = 700 * time.Millisecond
	// minProjectionAge is the age of a run from which its run time is projected from its
	// progress.
	minProjectionAge = 600 * time.Millisecond
	// maxMoves is how many times a task is moved to another machine.
	maxMoves = 2
)

// reasonStartUnanswered is the reason for stopping a run whose start was not answered.
const reasonStartUnanswered = "start_unanswered"

// StartDue reports whether a start order is still to be sent: its run waits for it, and its task is not done.
func (e *Engine) StartDue(o Start) bool {
	m := e.machines[o.Machine.ID]
	if m == nil {
		return false
	}
	r := m.runs[runKey{o.Task, o.Run}]
	return r != nil && r.token == o.Token && r.state == runOrdered && !r.task.done
}

// StartAnswered takes the outcome of a start order into account. A run whose start was
// not answered is stopped, since it may start later. A run whose start was refused is
// released, unless the machine has confirmed it already. The outcome is ignored if the
// run is no longer held, or if a poll has listed it under a higher fencing token.
func (e *Engine) StartAnswered(o Start, outcome StartOutcome, now time.Duration) {
	m := e.machines[o.Machine.ID]
	if m == nil {
		return
	}
	switch outcome {
	case NotSent, MachineSilent: // nothing is known of the machine
	case Unreached, Unanswered:
		e.orderFailed(m, "start_"+string(outcome), now)
	default:
		e.orderAnswered(m)
	}
	r := m.runs[runKey{o.Task, o.Run}]
	if r == nil || r.token != o.Token {
		return
	}
	if outcome != Started {
		e.stats.Refusals[string(outcome)]++
		e.log.Warn().Str("event", "start_not_confirmed").Str("task", o.Task).Int64("run", o.Run).
			Str("machine", o.Machine.ID).Str("outcome", string(outcome)).
			Int64("took_ms", (now - r.orderedAt).Milliseconds()).Send()
	}
	switch outcome {
	case Started:
		e.confirmRun(r, now)
	case Unanswered:
		if r.state == runOrdered {
			r.state = runUncertain
			e.stopRun(r, reasonStartUnanswered, now)
		}
	default:
		if r.confirmedAt != 0 {
			return // a poll has already confirmed the run
		}
		e.startRefused(m, r, outcome, now)
	}
}

// startRefused releases a run that does not exist. Unless it is a gang, the step waits
// for refusalBackoff before its next start. If a machine refuses the run number of a
// gang as too low, the attempt is aborted.
func (e *Engine) startRefused(m *machineState, r *run, outcome StartOutcome, now time.Duration) {
	t, s := r.task, r.task.step
	e.releaseRun(r)
	switch outcome {
	case RefusedTicket:
		s.advice.forget(m)
	case RefusedUnhealthy, RefusedOther:
		m.health.failed(now, s.occ.job.spec.ID)
		t.avoidMachine = m.spec.ID
	case RefusedNoCapacity, MachineSilent, Unreached:
		t.avoidMachine = m.spec.ID
	}
	if !s.spec.Gang {
		s.noStartBefore = now + refusalBackoff
	}
	if outcome == RefusedOldRun && s.spec.Gang {
		e.abortGang(s, "number_too_low", now, true)
	}
}

// stopRun emits an order to stop a run or to keep it from starting, unless one was sent
// less than stopRetryInterval ago. The first reason is kept.
func (e *Engine) stopRun(r *run, reason string, now time.Duration) {
	if r.state == runStopping && now-r.stopSentAt < stopRetryInterval {
		return
	}
	if r.stopReason == "" {
		r.stopReason = reason
		e.log.Info().Str("event", "run_stopping").Str("machine", r.machine.spec.ID).Str("task", r.task.name).
			Int64("run", r.number).Str("reason", reason).Bool("confirmed", r.confirmedAt != 0).Int("percent", r.percent).Send()
	}
	if r.stoppingSince == 0 {
		r.stoppingSince = now
	}
	r.state, r.stopSentAt = runStopping, now
	e.orders.Stops = append(e.orders.Stops, Stop{r.machine.spec, r.machine.token, r.task.name, r.number})
}

// StopAnswered takes the answer to a stop order into account. ok is false if the order
// failed; it is then sent again. If it is not certain that the run exists, the machine is
// fenced meanwhile, so that its next lists decide.
func (e *Engine) StopAnswered(o Stop, ok bool, now time.Duration) {
	m := e.machines[o.Machine.ID]
	if m == nil {
		return
	}
	if ok {
		e.orderAnswered(m)
	} else {
		e.orderFailed(m, "stop_unanswered", now)
	}
	r := m.runs[runKey{o.Task, o.Run}]
	if r == nil || r.state != runStopping {
		return
	}
	switch {
	case !ok && r.confirmedAt == 0 && !r.listed:
		e.fence(m, r)
	case ok && r.stopAnsweredAt == 0:
		r.stopAnsweredAt = now
	}
}

// NeedsPoll reports whether the machine should be polled without delay: it has answered
// a stop of a run that was not confirmed, or was fenced, and only its lists show whether the run
// exists; or its last answer showed a restart, and its lists were not read.
func (e *Engine) NeedsPoll(id string) bool {
	m := e.machines[id]
	if m == nil {
		return false
	}
	if m.onlyShowedRestart || m.fencePending {
		return true
	}
	for _, r := range m.runs {
		if r.state == runStopping && r.stopAnsweredAt != 0 && r.confirmedAt == 0 {
			return true
		}
	}
	return false
}

// watchRuns repeats stops that have no effect, stops runs on machines that will leave,
// moves runs that are stuck or slow, and stops the members of aborted gangs. It does
// nothing within watchInterval after its last check.
func (e *Engine) watchRuns(now time.Duration) {
	if now-e.runsWatchedAt < watchInterval {
		return
	}
	e.runsWatchedAt = now
	for _, m := range e.byID {
		e.measureSlowdown(m)
		e.checkLease(m, now)
		for _, r := range m.sortedRuns() {
			s := r.task.step
			switch {
			case r.state == runStopping && r.stopAnsweredAt == 0 && now-r.stopSentAt > stopRetryInterval:
				e.stopRun(r, r.stopReason, now)
			case r.state == runStopping && now-r.stopSentAt > e.cfg.StopLimit+2*stopRetryInterval:
				e.stopRun(r, r.stopReason, now)
			case r.state == runConfirmed && e.mustStopForDrain(m, r, now):
				e.stopRun(r, "machine_leaves", now)
			case r.state == runConfirmed:
				if reason := e.moveReason(r, now); reason != "" {
					e.moveRun(r, reason, now)
				}
			}
			if s.spec.Gang && s.attempt.aborting && now-s.attempt.abortedAt > abortGracePeriod {
				e.abortGang(s, "gang_aborted", now, true)
			}
		}
	}
}

// watchInterval is the shortest time between two checks of all runs.
const watchInterval = 100 * time.Millisecond

// drainStopMargin is how long before a machine leaves, beyond Config.StopLimit, its runs
// are stopped, so that their checkpoints are known in time.
const drainStopMargin = 900 * time.Millisecond

// mustStopForDrain reports whether a run on a draining machine should be stopped. A run
// that saves its progress, is persistent or has not reported progress goes on until
// shortly before the machine leaves; one that would lose its progress is stopped as soon
// as it is not expected to end in time.
func (e *Engine) mustStopForDrain(m *machineState, r *run, now time.Duration) bool {
	if m.leavesAt == 0 || r.task.done {
		return false
	}
	timeLeft := m.leavesAt - now - e.cfg.StopLimit - drainStopMargin
	if timeLeft <= 0 {
		return true
	}
	s := r.task.step
	if s.spec.SavesProgress || s.spec.Persistent || r.percent <= 0 || r.percentAt <= r.confirmedAt {
		return false
	}
	age := r.percentAt - r.confirmedAt
	remaining := age*time.Duration(100-r.percent)/time.Duration(r.percent) - (now - r.percentAt)
	return remaining > m.leavesAt-now
}

// moveReason returns "stuck" or "slow" if a run should be moved, else an empty string.
func (e *Engine) moveReason(r *run, now time.Duration) string {
	s := r.task.step
	if s.spec.Persistent || r.task.moves >= maxMoves || r.percentAt == 0 {
		return ""
	}
	gangStarted := !s.spec.Gang || r.percent > 0
	limit := max(stuckAfter, time.Duration(stuckAfterShare*float64(e.estimator.expected(s.occ.job.queue, s.spec))))
	progressedAt := r.progressedAt
	if s.spec.Gang {
		progressedAt = s.progressedAt // a member that has done its part waits for the others
	}
	if gangStarted && r.percent < 100 && r.percentAt-progressedAt > limit {
		return "stuck"
	}
	runTime, ok := r.projected()
	if !ok || s.spec.Gang {
		return ""
	}
	// Declared run times are too inaccurate to judge a single run by them.
	var rerunTime time.Duration
	if median, n := siblingRunTime(r); n >= minSiblings && float64(runTime) > slowFactor*float64(median) {
		rerunTime = median
	} else if r.machine.slowdown > slowFactor {
		rerunTime = time.Duration(float64(runTime) / r.machine.slowdown)
	} else {
		return ""
	}
	remaining := runTime*time.Duration(100-r.percent)/100 - (now - r.percentAt)
	if s.spec.SavesProgress && r.checkpoint != "" {
		rerunTime = rerunTime * time.Duration(100-r.percent) / 100
	}
	if remaining > rerunTime+rerunTime/4+restartOverhead {
		return "slow"
	}
	return ""
}

// projected returns the total run time of r projected from its progress, and false if r
// is not confirmed, is younger than minProjectionAge or reports 0 or 100 percent.
func (r *run) projected() (time.Duration, bool) {
	age := r.percentAt - r.confirmedAt
	if r.confirmedAt == 0 || age < minProjectionAge || r.percent <= 0 || r.percent >= 100 {
		return 0, false
	}
	return age * 100 / time.Duration(r.percent), true
}

// maxSiblings bounds the tasks that are compared with one run, so that watching a step takes
// time in proportion to its tasks.
const maxSiblings = 100

// siblingRunTime returns the median run time, real or projected, of those other tasks of the
// step for which one is known, among the maxSiblings next to the task of r, and the number of
// these, 0 and 0 if there are none. Tasks that still run on the machine of r are left out.
func siblingRunTime(r *run) (time.Duration, int) {
	var runTimes []time.Duration
	tasks := r.task.step.tasks
	first := max(min(r.task.index-maxSiblings/2, len(tasks)-maxSiblings-1), 0)
	for _, t := range tasks[first:min(first+maxSiblings+1, len(tasks))] {
		if t == r.task {
			continue
		}
		if t.runTime > 0 {
			runTimes = append(runTimes, t.runTime)
		} else if t.run != nil && t.run.machine != r.machine {
			if d, ok := t.run.projected(); ok {
				runTimes = append(runTimes, d)
			}
		}
	}
	if len(runTimes) == 0 {
		return 0, 0
	}
	slices.Sort(runTimes)
	return runTimes[len(runTimes)/2], len(runTimes)
}

// measureSlowdown sets m.slowdown to the median ratio of projected to expected run time
// over the steps with runs on m, or to 0 if there are too few. The median tells a slow
// machine from a single step whose declared run time is too short.
func (e *Engine) measureSlowdown(m *machineState) {
	var ratios []float64
	var lastStep *step // runs are sorted by task; one per step counts, since its tasks share a wrong estimate
	for _, r := range m.sortedRuns() {
		s := r.task.step
		if s == lastStep {
			continue
		}
		lastStep = s
		if projected, ok := r.projected(); ok && !s.spec.Persistent {
			if expected := e.estimator.expected(s.occ.job.queue, s.spec); expected > 0 {
				ratios = append(ratios, float64(projected)/float64(expected))
			}
		}
	}
	m.slowdown = 0
	if len(ratios) >= minMeasuredSteps {
		slices.Sort(ratios)
		m.slowdown = ratios[len(ratios)/2]
	}
}

// moveRun stops a run so that its task is placed on another machine. The members of a
// gang are stopped together.
func (e *Engine) moveRun(r *run, reason string, now time.Duration) {
	r.task.moves++
	if reason == "stuck" {
		r.machine.health.runStuck(now)
	}
	e.stopRun(r, reason, now)
	if r.task.step.spec.Gang {
		e.abortGang(r.task.step, "member_"+reason, now, true)
	}
}
