package sched

import (
	"slices"
	"time"
)

const (
	// stopRetry is the wait before an unanswered or unfinished stop is sent again.
	stopRetryInterval = 400 * time.Millisecond
	// stallAfter is how long a run may make no progress before it counts as stuck.
	// Looks at a machine are at most 2 s apart.
	stuckAfter = 1800 * time.Millisecond
	// stallShare is the share of its expected run time for which a run may show no
	// progress: it is reported in whole percent, and run times are off by a half.
	stuckAfterShare = 0.05
	// slowFactor is how much longer a run must take than its siblings, or all runs of
	// a machine than usual, to count as slow. Tasks of a step differ by less.
	slowFactor = 2.5
	// minSiblings is the number of siblings, and minGauge of steps on a machine, that
	// such a comparison needs.
	minSiblings, minMeasuredSteps = 2, 3
	// slowSlack is added to the time of a new run: the way through the queue.
	restartOverhead = 700 * time.Millisecond
	// minProgress is the age from which the progress of a run says how long it takes.
	minProjectionAge = 600 * time.Millisecond
	// maxMoves is how often one task is moved off a slow machine.
	maxMoves = 2
)

// reasonUnanswered is the reason of a stop that closes a start without an answer.
const reasonStartUnanswered = "start_unanswered"

// StartAnswered takes the answer to a start order into account.
func (e *Engine) StartAnswered(o Start, outcome StartOutcome, now time.Duration) {
	m := e.machines[o.Machine.ID]
	if m == nil {
		return
	}
	r := m.runs[runKey{o.Task, o.Run}]
	if r == nil || r.token != o.Token {
		return
	}
	if outcome != Started {
		e.stats.Refusals[string(outcome)]++
		e.log.Warn().Str("event", "start_not_confirmed").Str("task", o.Task).Int64("run", o.Run).
			Str("machine", o.Machine.ID).Str("outcome", string(outcome)).Int64("took_ms", (now - r.orderedAt).Milliseconds()).Send()
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
			return // the machine has listed it meanwhile
		}
		e.startRefused(m, r, outcome, now)
	}
}

// refused frees a run that does not exist.
func (e *Engine) startRefused(m *machineState, r *run, outcome StartOutcome, now time.Duration) {
	t, s := r.task, r.task.step
	e.releaseRun(r)
	switch outcome {
	case RefusedTicket:
		s.advice.forget(m)
	case RefusedUnhealthy, RefusedOther:
		m.health.failed(now, s.occ.job.spec.ID)
		t.avoidMachine = m.spec.ID
	case RefusedNoCapacity:
		t.avoidMachine = m.spec.ID
	}
	if !s.spec.Gang {
		s.noStartBefore = now + refusalBackoff
	}
	if outcome == RefusedOldRun && s.spec.Gang {
		e.abortGang(s, "number_too_low", now, true)
	}
}

// stop asks for the end of a run, or makes sure that it never starts.
func (e *Engine) stopRun(r *run, reason string, now time.Duration) {
	if r.state == runStopping && now-r.stopSentAt < stopRetryInterval {
		return
	}
	if r.stopReason == "" {
		r.stopReason = reason
		e.log.Info().Str("event", "run_stopping").Str("machine", r.machine.spec.ID).Str("task", r.task.name).
			Int64("run", r.number).Str("reason", reason).Bool("confirmed", r.confirmedAt != 0).Int("percent", r.percent).Send()
	}
	r.state, r.stopSentAt = runStopping, now
	e.orders.Stops = append(e.orders.Stops, Stop{r.machine.spec, r.machine.token, r.task.name, r.number})
}

// StopAnswered takes the answer to a stop order into account.
func (e *Engine) StopAnswered(o Stop, ok bool, now time.Duration) {
	m := e.machines[o.Machine.ID]
	if m == nil {
		return
	}
	r := m.runs[runKey{o.Task, o.Run}]
	if r == nil || r.state != runStopping {
		return
	}
	if ok && r.stopAnsweredAt == 0 {
		r.stopAnsweredAt = now
	}
}

// NeedsPoll reports whether the machine should be asked for its lists at once:
// a stop was answered and its effect is not known yet.
func (e *Engine) NeedsPoll(id string) bool {
	m := e.machines[id]
	if m == nil {
		return false
	}
	for _, r := range m.runs {
		if r.state == runStopping && r.stopAnsweredAt != 0 && r.confirmedAt == 0 {
			return true
		}
	}
	return false
}

// watchRuns repeats stops and moves runs off machines that make no progress.
func (e *Engine) watchRuns(now time.Duration) {
	if now-e.runsWatchedAt < watchInterval {
		return
	}
	e.runsWatchedAt = now
	for _, m := range e.byID {
		e.measureSlowdown(m)
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

// watchEvery is the interval of checks on running tasks.
const watchInterval = 100 * time.Millisecond

// leaveReserve is the time before a machine leaves, beyond that of a stop, at
// which its runs are stopped so that their checkpoints are known in time.
const drainStopMargin = 900 * time.Millisecond

// leaving reports whether a run on a draining machine should be stopped. A run
// that keeps its progress works on until shortly before the machine leaves; one
// that would lose it is stopped as soon as it cannot end in time.
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

// lagging returns why a run should be moved, or an empty text.
func (e *Engine) moveReason(r *run, now time.Duration) string {
	s := r.task.step
	if s.spec.Persistent || r.task.moves >= maxMoves || r.percentAt == 0 {
		return ""
	}
	gangStarted := !s.spec.Gang || r.percent > 0
	limit := max(stuckAfter, time.Duration(stuckAfterShare*float64(e.estimator.expected(s.occ.job.queue, s.spec))))
	if gangStarted && r.percent < 100 && r.percentAt-r.progressedAt > limit {
		return "stuck"
	}
	runTime, ok := r.projected()
	if !ok || s.spec.Gang {
		return ""
	}
	// Declared run times are too far off to judge a single run by them.
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

// projected returns the run time of r by its progress so far, if that is known.
func (r *run) projected() (time.Duration, bool) {
	age := r.percentAt - r.confirmedAt
	if r.confirmedAt == 0 || age < minProjectionAge || r.percent <= 0 || r.percent >= 100 {
		return 0, false
	}
	return age * 100 / time.Duration(r.percent), true
}

// siblings returns the median run time of the other tasks of the step on other
// machines, done or projected, and how many there are.
func siblingRunTime(r *run) (time.Duration, int) {
	var runTimes []time.Duration
	for _, t := range r.task.step.tasks {
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

// gauge compares the runs on m with what their queues usually take: the median
// over all its runs tells a slow machine from a task that was declared too short.
func (e *Engine) measureSlowdown(m *machineState) {
	var ratios []float64
	var lastStep *step // runs are sorted by task; tasks of one step share a wrong estimate
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

// move stops a run so that its task is placed elsewhere.
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
