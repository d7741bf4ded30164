package sched

import (
	"slices"
	"time"
)

const (
	// stopRetry is the wait before an unanswered or unfinished stop is sent again.
	stopRetry = 400 * time.Millisecond
	// stallAfter is how long a run may make no progress before it counts as stuck.
	// Looks at a machine are at most 2 s apart.
	stallAfter = 1800 * time.Millisecond
	// stallShare is the share of its expected run time for which a run may show no
	// progress: it is reported in whole percent, and run times are off by a half.
	stallShare = 0.05
	// slowFactor is how much longer a run must take than its siblings, or all runs of
	// a machine than usual, to count as slow. Tasks of a step differ by less.
	slowFactor = 2.5
	// minSiblings is the number of siblings, and minGauge of steps on a machine, that
	// such a comparison needs.
	minSiblings, minGauge = 2, 3
	// slowSlack is added to the time of a new run: the way through the queue.
	slowSlack = 700 * time.Millisecond
	// minProgress is the age from which the progress of a run says how long it takes.
	minProgress = 600 * time.Millisecond
	// maxMoves is how often one task is moved off a slow machine.
	maxMoves = 2
)

// reasonUnanswered is the reason of a stop that closes a start without an answer.
const reasonUnanswered = "start_unanswered"

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
			Str("machine", o.Machine.ID).Str("outcome", string(outcome)).Int64("took_ms", (now - r.ordered).Milliseconds()).Send()
	}
	switch outcome {
	case Started:
		e.confirm(r, now)
	case Unanswered:
		if r.state == runOrdered {
			r.state = runDoubtful
			e.stop(r, reasonUnanswered, now)
		}
	default:
		if r.started != 0 {
			return // the machine has listed it meanwhile
		}
		e.refused(m, r, outcome, now)
	}
}

// refused frees a run that does not exist.
func (e *Engine) refused(m *machineState, r *run, outcome StartOutcome, now time.Duration) {
	t, s := r.task, r.task.step
	e.dropRun(r)
	switch outcome {
	case RefusedTicket:
		s.advice.forget(m)
	case RefusedUnhealthy, RefusedOther:
		m.health.failed(now, s.occ.job.spec.ID)
		t.avoid = m.spec.ID
	case RefusedNoCapacity:
		t.avoid = m.spec.ID
	}
	if !s.spec.Gang {
		s.notBefore = now + refusedPause
	}
	if outcome == RefusedOldRun && s.spec.Gang {
		e.abortGang(s, "number_too_low", now, true)
	}
}

// stop asks for the end of a run, or makes sure that it never starts.
func (e *Engine) stop(r *run, why string, now time.Duration) {
	if r.state == runStopping && now-r.stopSent < stopRetry {
		return
	}
	if r.reason == "" {
		r.reason = why
		e.log.Info().Str("event", "run_stopping").Str("machine", r.machine.spec.ID).Str("task", r.task.name).
			Int64("run", r.number).Str("reason", why).Bool("confirmed", r.started != 0).Int("percent", r.percent).Send()
	}
	r.state, r.stopSent = runStopping, now
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
	if ok && r.stopAnswer == 0 {
		r.stopAnswer = now
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
		if r.state == runStopping && r.stopAnswer != 0 && r.started == 0 {
			return true
		}
	}
	return false
}

// watchRuns repeats stops and moves runs off machines that make no progress.
func (e *Engine) watchRuns(now time.Duration) {
	if now-e.watched < watchEvery {
		return
	}
	e.watched = now
	for _, m := range e.byID {
		e.gauge(m)
		for _, r := range m.sortedRuns() {
			s := r.task.step
			switch {
			case r.state == runStopping && r.stopAnswer == 0 && now-r.stopSent > stopRetry:
				e.stop(r, r.reason, now)
			case r.state == runStopping && now-r.stopSent > e.cfg.StopLimit+2*stopRetry:
				e.stop(r, r.reason, now)
			case r.state == runListed && e.leaving(m, r, now):
				e.stop(r, "machine_leaves", now)
			case r.state == runListed:
				if why := e.lagging(r, now); why != "" {
					e.move(r, why, now)
				}
			}
			if s.spec.Gang && s.gang.aborting && now-s.gang.since > abortPatience {
				e.abortGang(s, "gang_aborted", now, true)
			}
		}
	}
}

// watchEvery is the interval of checks on running tasks.
const watchEvery = 100 * time.Millisecond

// leaveReserve is the time before a machine leaves, beyond that of a stop, at
// which its runs are stopped so that their checkpoints are known in time.
const leaveReserve = 900 * time.Millisecond

// leaving reports whether a run on a draining machine should be stopped. A run
// that keeps its progress works on until shortly before the machine leaves; one
// that would lose it is stopped as soon as it cannot end in time.
func (e *Engine) leaving(m *machineState, r *run, now time.Duration) bool {
	if m.leavesAt == 0 || r.task.done {
		return false
	}
	left := m.leavesAt - now - e.cfg.StopLimit - leaveReserve
	if left <= 0 {
		return true
	}
	s := r.task.step
	if s.spec.SavesProgress || s.spec.Persistent || r.percent <= 0 || r.seenAt <= r.started {
		return false
	}
	age := r.seenAt - r.started
	rest := age*time.Duration(100-r.percent)/time.Duration(r.percent) - (now - r.seenAt)
	return rest > m.leavesAt-now
}

// lagging returns why a run should be moved, or an empty text.
func (e *Engine) lagging(r *run, now time.Duration) string {
	s := r.task.step
	if s.spec.Persistent || r.task.moves >= maxMoves || r.seenAt == 0 {
		return ""
	}
	gangTogether := !s.spec.Gang || r.percent > 0
	patience := max(stallAfter, time.Duration(stallShare*float64(e.speeds.expected(s.occ.job.queue, s.spec))))
	if gangTogether && r.percent < 100 && r.seenAt-r.movedAt > patience {
		return "stuck"
	}
	total, ok := r.projected()
	if !ok || s.spec.Gang {
		return ""
	}
	// Declared run times are too far off to judge a single run by them.
	var again time.Duration
	if sibling, n := siblings(r); n >= minSiblings && float64(total) > slowFactor*float64(sibling) {
		again = sibling
	} else if r.machine.slowness > slowFactor {
		again = time.Duration(float64(total) / r.machine.slowness)
	} else {
		return ""
	}
	rest := total*time.Duration(100-r.percent)/100 - (now - r.seenAt)
	if s.spec.SavesProgress && r.checkpoint != "" {
		again = again * time.Duration(100-r.percent) / 100
	}
	if rest > again+again/4+slowSlack {
		return "slow"
	}
	return ""
}

// projected returns the run time of r by its progress so far, if that is known.
func (r *run) projected() (time.Duration, bool) {
	age := r.seenAt - r.started
	if r.started == 0 || age < minProgress || r.percent <= 0 || r.percent >= 100 {
		return 0, false
	}
	return age * 100 / time.Duration(r.percent), true
}

// siblings returns the median run time of the other tasks of the step on other
// machines, done or projected, and how many there are.
func siblings(r *run) (time.Duration, int) {
	var times []time.Duration
	for _, t := range r.task.step.tasks {
		if t == r.task {
			continue
		}
		if t.took > 0 {
			times = append(times, t.took)
		} else if t.run != nil && t.run.machine != r.machine {
			if d, ok := t.run.projected(); ok {
				times = append(times, d)
			}
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], len(times)
}

// gauge compares the runs on m with what their queues usually take: the median
// over all its runs tells a slow machine from a task that was declared too short.
func (e *Engine) gauge(m *machineState) {
	var ratios []float64
	var last *step // runs are sorted by task; tasks of one step share a wrong estimate
	for _, r := range m.sortedRuns() {
		s := r.task.step
		if s == last {
			continue
		}
		last = s
		if total, ok := r.projected(); ok && !s.spec.Persistent {
			if usual := e.speeds.expected(s.occ.job.queue, s.spec); usual > 0 {
				ratios = append(ratios, float64(total)/float64(usual))
			}
		}
	}
	m.slowness = 0
	if len(ratios) >= minGauge {
		slices.Sort(ratios)
		m.slowness = ratios[len(ratios)/2]
	}
}

// move stops a run so that its task is placed elsewhere.
func (e *Engine) move(r *run, why string, now time.Duration) {
	r.task.moves++
	if why == "stuck" {
		r.machine.health.stoodStill(now)
	}
	e.stop(r, why, now)
	if r.task.step.spec.Gang {
		e.abortGang(r.task.step, "member_"+why, now, true)
	}
}
