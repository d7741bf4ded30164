package sched

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// gangReserve is the part of Config.GangWait after which a member that is still
	// missing ends the attempt, so that no member waits in vain on its machine.
	gangReserve = 0.6
	// abortPatience is how long the members of a gang are given to end by
	// themselves after one has ended. Then they are stopped.
	abortPatience = 300 * time.Millisecond
	// gangPause is how long a gang waits after an attempt that did not come together.
	gangPause = 200 * time.Millisecond
)

// placeGang starts all members of a gang, or replaces members that are missing
// from a young attempt, or keeps machines free for it.
func (p *pass) placeGang(s *step) {
	e := p.e
	if s.gang.run != 0 {
		if !s.gang.aborting {
			p.completeGang(s)
		}
		return
	}
	if lo.SomeBy(s.tasks, func(t *task) bool { return !t.placeable() }) {
		e.releasePlan(s)
		return // runs of an earlier attempt still hold room
	}
	expected := e.speeds.expected(s.occ.job.queue, s.spec)
	if s.gang.plan != nil && !p.ripe(s) {
		p.retryLater(s, expected, "tickets_asked")
		return
	}
	plan, whole := p.fitGang(s, p.candidates(s, expected), len(s.tasks))
	if !whole {
		p.book(s, len(s.tasks))
		p.retryLater(s, expected, "no_room_for_all_members")
		p.wantAdvice(s, nil, true)
		return
	}
	if stale := p.stale(s, lo.Uniq(plan)); len(stale) > 0 {
		p.reservePlan(s, plan)
		p.retryLater(s, expected, "tickets_too_old")
		p.wantAdvice(s, stale, false)
		return
	}
	number := int64(1)
	for _, t := range s.tasks {
		number = max(number, t.lastRun+1)
	}
	if s.occ.job.restored {
		number = max(number, e.cfg.Token)
	}
	s.gang = gangState{run: number, began: p.now}
	saved := gangCheckpoint(s)
	for i, t := range s.tasks {
		t.checkpoint = saved
		p.start(t, plan[i], number)
	}
}

// planSlack is how long a gang holds the room of its plan beyond the expected
// duration of the question for its tickets: the wait for a daemon that is free.
const planSlack = 1200 * time.Millisecond

// stale returns the machines whose tickets have to be renewed before the gang can
// start: all that do not outlive a question, if any is missing now.
func (p *pass) stale(s *step, machines []*machineState) []*machineState {
	if lo.EveryBy(machines, func(m *machineState) bool { return s.advice.allows(m, p.now) }) {
		return nil
	}
	cost := s.occ.job.queue.Advisor.CallDuration(len(machines)) + planSlack/2
	return lo.Filter(machines, func(m *machineState, _ int) bool { return !s.advice.allows(m, p.now+cost) })
}

// reservePlan holds room for all members while their tickets are asked for, so
// that the gang finds it when the answer is there.
func (p *pass) reservePlan(s *step, plan []*machineState) {
	s.gang.plan, s.gang.planUntil = plan, p.now+s.occ.job.queue.Advisor.CallDuration(len(plan))+planSlack
	for _, m := range plan {
		m.used = m.used.Add(s.spec.holds())
	}
}

// releasePlan frees the room that is held for a gang.
func (e *Engine) releasePlan(s *step) {
	for _, m := range s.gang.plan {
		m.used = m.used.Sub(s.spec.holds())
	}
	s.gang.plan = nil
}

// ripe reports whether the plan of a gang is settled: either its tickets are there
// and the gang can start, or it was given up. Its room is free then.
func (p *pass) ripe(s *step) bool {
	service := s.occ.job.queue.Service
	sound := lo.EveryBy(s.gang.plan, func(m *machineState) bool { return p.usable(service, m) })
	allowed := lo.EveryBy(s.gang.plan, func(m *machineState) bool { return s.advice.allows(m, p.now) })
	asking := s.advice.inFlight > 0 || len(s.advice.want) > 0
	if sound && !allowed && asking && p.now < s.gang.planUntil {
		return false
	}
	p.e.releasePlan(s)
	return true
}

// gangCheckpoint returns one checkpoint for all members: that of the first that has one.
func gangCheckpoint(s *step) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// fitGang assigns n tasks to candidates. For a rack-local gang, a single rack is
// tried first.
func (p *pass) fitGang(s *step, cands []candidate, n int) ([]*machineState, bool) {
	if s.spec.RackLocal {
		racks := lo.GroupBy(cands, func(c candidate) string { return c.m.spec.Rack })
		names := lo.Keys(racks)
		slices.Sort(names)
		for _, r := range names {
			if plan, ok := fill(s, racks[r], n); ok {
				return plan, true
			}
		}
	}
	return fill(s, cands, n)
}

// fill takes slots of the candidates in order.
func fill(s *step, cands []candidate, n int) ([]*machineState, bool) {
	var plan []*machineState
	for _, c := range cands {
		for range c.left {
			if len(plan) == n {
				return plan, true
			}
			plan = append(plan, c.m)
		}
	}
	return plan, len(plan) >= n
}

// completeGang places members that were refused or lost before the gang came
// together, under the number of the attempt.
func (p *pass) completeGang(s *step) {
	e := p.e
	if p.now-s.gang.began > time.Duration(gangReserve*float64(e.cfg.GangWait)) {
		e.abortGang(s, "gang_incomplete", p.now, true)
		return
	}
	cands := p.candidates(s, 0)
	var missing []*machineState
	for _, t := range s.tasks {
		if !t.placeable() {
			continue
		}
		m := p.best(t, cands)
		if m == nil || m.spec.ID == t.avoid {
			return // a machine that has closed this number refuses it
		}
		if !s.advice.allows(m, p.now) {
			missing = append(missing, m)
			continue
		}
		p.start(t, m, s.gang.run)
	}
	p.wantAdvice(s, missing, false)
}

// abortGang ends the current attempt of a gang. With stop, the members are
// stopped at once; otherwise they are expected to end by themselves.
func (e *Engine) abortGang(s *step, why string, now time.Duration, stop bool) {
	if s.gang.run == 0 || s.occ.job.state.final() {
		return
	}
	if !s.gang.aborting {
		s.gang.aborting, s.gang.since = true, now
		s.notBefore = max(s.notBefore, now+gangPause)
		e.log.Info().Str("event", "gang_aborted").Str("step", s.name).Int64("run", s.gang.run).Str("reason", why).
			Int64("age_ms", (now - s.gang.began).Milliseconds()).Send()
	}

	left := 0
	for _, t := range s.tasks {
		if t.run == nil {
			continue
		}
		left++
		if stop {
			e.stop(t.run, why, now)
		}
	}
	if left == 0 {
		s.gang.run, s.gang.aborting = 0, false
	}
}

// wholeSlots returns how many tasks of s fit on an empty m.
func wholeSlots(s *step, m *machineState) int {
	n := fits(s, m.spec.Capacity)
	if s.spec.MaxPerMachine > 0 {
		n = min(n, s.spec.MaxPerMachine)
	}
	return n
}
