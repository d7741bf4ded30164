package sched

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// gangWaitShare is the share of Config.GangWait after which an attempt with members
	// that are not placed is aborted. It is below 1, since the last members still have to
	// start on their machines before the others stop waiting for them.
	gangWaitShare = 0.6
	// abortGracePeriod is how long the members of a gang are given to end by
	// themselves after one has ended. Then they are stopped.
	abortGracePeriod = 300 * time.Millisecond
	// gangBackoff is how long a gang waits after an aborted attempt.
	gangBackoff = 200 * time.Millisecond
)

// placeGang starts all members of a gang, places the missing members of an attempt that
// has begun, holds capacity while tickets are requested, or reserves machines for the gang.
func (p *pass) placeGang(s *step) {
	e := p.e
	if s.attempt.runNumber != 0 {
		if !s.attempt.aborting {
			p.completeGang(s)
		}
		return
	}
	if lo.SomeBy(s.tasks, func(t *task) bool { return !t.placeable() }) {
		e.releasePlacement(s)
		return // a member has a run of an earlier attempt, or may have one of a former leader
	}
	expected := e.estimator.expected(s.occ.job.queue, s.spec)
	if s.attempt.placement != nil && !p.tryReleasePlacement(s) {
		p.retryLater(s, expected, "tickets_asked")
		return
	}
	placement, complete := p.fitGang(s, p.candidates(s, expected), len(s.tasks))
	if !complete {
		p.reserveSlots(s, len(s.tasks))
		p.retryLater(s, expected, "no_room_for_all_members")
		p.prepareAdviceRequest(s, nil, true)
		return
	}
	if stale := p.staleTickets(s, lo.Uniq(placement)); len(stale) > 0 {
		p.holdPlacement(s, placement)
		p.retryLater(s, expected, "tickets_too_old")
		p.prepareAdviceRequest(s, stale, false)
		return
	}
	runNumber := int64(1)
	for _, t := range s.tasks {
		runNumber = max(runNumber, t.lastRun+1)
	}
	if s.occ.job.restored {
		runNumber = max(runNumber, e.cfg.Token)
	}
	s.attempt = gangAttempt{runNumber: runNumber, startedAt: p.now}
	checkpoint := gangCheckpoint(s)
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		p.startTask(t, placement[i], runNumber)
	}
}

// placementSlack is how long a gang holds its placement beyond the expected duration of
// the advice request for its tickets: the wait for a daemon that is free to send it.
const placementSlack = 1200 * time.Millisecond

// staleTickets returns the machines whose tickets must be renewed before s can start on
// all of them. It returns nil if all tickets are valid now; otherwise also the tickets
// that would expire before the advice request is answered are renewed.
func (p *pass) staleTickets(s *step, machines []*machineState) []*machineState {
	if lo.EveryBy(machines, func(m *machineState) bool { return s.allowed(m, p.now) }) {
		return nil
	}
	requestTime := s.occ.job.queue.Advisor.CallDuration(len(machines)) + placementSlack/2
	return lo.Filter(machines, func(m *machineState, _ int) bool { return !s.allowed(m, p.now+requestTime) })
}

// holdPlacement holds the capacity for all members while their tickets are requested, so
// that it is still free when the answer arrives.
func (p *pass) holdPlacement(s *step, placement []*machineState) {
	s.attempt.placement, s.attempt.placementUntil = placement,
		p.now+s.occ.job.queue.Advisor.CallDuration(len(placement))+placementSlack
	for _, m := range placement {
		m.used = m.used.Add(s.spec.demand())
	}
	s.hold(len(placement))
}

// releasePlacement frees the capacity that is held for the placement of a gang, if any.
func (e *Engine) releasePlacement(s *step) {
	for _, m := range s.attempt.placement {
		m.used = m.used.Sub(s.spec.demand())
	}
	s.hold(-len(s.attempt.placement))
	s.attempt.placement = nil
}

// tryReleasePlacement releases the placement of a gang and returns true if all tickets
// have arrived, or if the placement is given up: a machine has become unusable, no
// advice is requested any more or the time is over. Otherwise it returns false.
func (p *pass) tryReleasePlacement(s *step) bool {
	service := s.occ.job.queue.Service
	usable := lo.EveryBy(s.attempt.placement, func(m *machineState) bool { return p.usable(service, m) })
	allowed := lo.EveryBy(s.attempt.placement, func(m *machineState) bool { return s.allowed(m, p.now) })
	requested := s.advice.inFlightRequests > 0 || len(s.advice.nextMachines) > 0
	if usable && !allowed && requested && p.now < s.attempt.placementUntil {
		return false
	}
	p.e.releasePlacement(s)
	return true
}

// gangCheckpoint returns the checkpoint from which all members start: that of the first
// member that has one, or an empty string.
func gangCheckpoint(s *step) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// fitGang assigns n tasks to candidates and reports whether all of them fit. For a
// rack-local gang, each single rack is tried first.
func (p *pass) fitGang(s *step, candidates []candidate, n int) ([]*machineState, bool) {
	if s.spec.RackLocal {
		racks := lo.GroupBy(candidates, func(c candidate) string { return c.machine.spec.Rack })
		names := lo.Keys(racks)
		slices.Sort(names)
		for _, r := range names {
			if placement, ok := fillSlots(s, racks[r], n); ok {
				return placement, true
			}
		}
	}
	return fillSlots(s, candidates, n)
}

// fillSlots assigns n tasks to the slots of the candidates in order, and reports whether
// all of them fit.
func fillSlots(s *step, candidates []candidate, n int) ([]*machineState, bool) {
	var placement []*machineState
	for _, c := range candidates {
		for range c.freeSlots {
			if len(placement) == n {
				return placement, true
			}
			placement = append(placement, c.machine)
		}
	}
	return placement, len(placement) >= n
}

// completeGang places members that were refused or lost before all members had started,
// under the run number of the attempt. It aborts the attempt if that takes too long.
func (p *pass) completeGang(s *step) {
	e := p.e
	if p.now-s.attempt.startedAt > time.Duration(gangWaitShare*float64(e.cfg.GangWait)) {
		e.abortGang(s, "gang_incomplete", p.now, true)
		return
	}
	candidates := p.candidates(s, 0)
	var stale []*machineState
	for _, t := range s.tasks {
		if !t.placeable() {
			continue
		}
		m := p.takeSlot(t, candidates)
		if m == nil || m.spec.ID == t.avoidMachine {
			return // the avoided machine may have closed this run number and would refuse it
		}
		if !s.allowed(m, p.now) {
			stale = append(stale, m)
			continue
		}
		p.startTask(t, m, s.attempt.runNumber)
	}
	p.prepareAdviceRequest(s, stale, false)
}

// abortGang ends the current attempt of a gang. With stopMembers, the members are
// stopped now; otherwise they are expected to end by themselves.
func (e *Engine) abortGang(s *step, reason string, now time.Duration, stopMembers bool) {
	if s.attempt.runNumber == 0 || s.occ.job.state.final() {
		return
	}
	if !s.attempt.aborting {
		s.attempt.aborting, s.attempt.abortedAt = true, now
		s.noStartBefore = max(s.noStartBefore, now+gangBackoff)
		e.log.Info().Str("event", "gang_aborted").Str("step", s.name).Int64("run", s.attempt.runNumber).Str("reason", reason).
			Int64("age_ms", (now - s.attempt.startedAt).Milliseconds()).Send()
	}

	running := 0
	for _, t := range s.tasks {
		if t.run == nil {
			continue
		}
		running++
		if stopMembers {
			e.stopRun(t.run, reason, now)
		}
	}
	if running == 0 {
		s.attempt.runNumber, s.attempt.aborting = 0, false
	}
	s.updateGangReservation()
}

// slotsWhenEmpty returns how many tasks of s fit on m if it runs nothing else.
func slotsWhenEmpty(s *step, m *machineState) int {
	n := countFitting(s, m.spec.Capacity)
	if s.spec.MaxPerMachine > 0 {
		n = min(n, s.spec.MaxPerMachine)
	}
	return n
}
