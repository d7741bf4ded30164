package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// maxMachinesPerRequest is how many machines the advisor accepts in one request.
	maxMachinesPerRequest = 100
	// initialAllowedShare is the share of machines that the advisor of a queue is assumed
	// to allow before there are answers.
	initialAllowedShare = 0.5
	// allowedShareLearningRate is the weight of one answer in the learned share.
	allowedShareLearningRate = 0.1
	// spareMachinesFactor times the machines that the tasks need is how many allowed
	// machines a request aims for, so that some have free capacity when the answer arrives.
	spareMachinesFactor = 3
	// adviceSearchInterval is the shortest time between two searches of a step for
	// machines to request advice about, and maxAdviceSearches the number of searches of
	// one pass. They bound the processor time of a pass while many steps wait.
	adviceSearchInterval = 40 * time.Millisecond
	maxAdviceSearches    = 24
	// maxGangRequests is how many requests of one gang may be in flight together.
	maxGangRequests = 3
	// adviceBackoff is how long a step waits after a request that has failed.
	adviceBackoff = 100 * time.Millisecond
)

// advice is what the advisor has answered about a step, and what the step requests next.
type advice struct {
	answers          map[*machineState]answer // the last one for each machine; nil before the first
	allowed          []*machineState          // machines with an answer that allows them, in the order of the answers
	nextMachines     []string                 // ids of the machines for the next request
	inFlightMachines map[*machineState]bool   // machines of requests that are not answered yet
	inFlightRequests int                      // requests that are not answered yet
	noRequestBefore  time.Duration            // set after a failed request
	searchedAt       time.Duration            // last search for machines without an answer
}

// answer is what the advisor has answered about one incarnation of a machine.
type answer struct {
	born       int64 // Unix ms, identifies the incarnation
	allowed    bool
	ticket     string
	answeredAt time.Duration
	validUntil time.Duration // when the ticket expires
}

// allowingAnswer returns the last answer that allows the current incarnation of m, and
// false if there is none. Its ticket may have expired.
func (a *advice) allowingAnswer(m *machineState) (answer, bool) {
	x, ok := a.answers[m]
	return x, ok && x.allowed && x.born == m.spec.Born
}

// allows reports whether an answer allows a start on m now: its ticket is valid for at least minTicketLife.
func (a *advice) allows(m *machineState, now time.Duration) bool {
	x, ok := a.allowingAnswer(m)
	return ok && now+minTicketLife < x.validUntil
}

// allowed reports whether a task of s may start on m now as far as the advisor of its queue is concerned. The queue has
// none any more if the configuration has taken it away.
func (s *step) allowed(m *machineState, now time.Duration) bool {
	return s.occ.job.queue.Advisor == nil || s.advice.allows(m, now)
}

// dropAnswers forgets what the advisor has answered. Requests in flight stay in flight.
func (a *advice) dropAnswers() { a.answers, a.allowed, a.nextMachines = nil, nil, nil }

// forget removes the answer about m.
func (a *advice) forget(m *machineState) {
	if a.answers[m].allowed {
		a.allowed = slices.DeleteFunc(a.allowed, func(x *machineState) bool { return x == m })
	}
	delete(a.answers, m)
}

// update replaces the answer about m.
func (a *advice) update(m *machineState, x answer) {
	switch was := a.answers[m].allowed; {
	case x.allowed && !was:
		a.allowed = append(a.allowed, m)
	case !x.allowed && was:
		a.forget(m)
	}
	a.answers[m] = x
}

// prepareAdviceRequest sets the machines of the next request of a step: those of stale,
// which are allowed machines whose tickets must be renewed because they have expired or
// would expire too soon, or, for a blocked step, machines without an answer. Machines of
// requests in flight are left out. Machines without an answer are searched only within
// the limits of requests in flight and of searches. It changes nothing if the queue has
// no advisor, or within adviceBackoff after a failed request.
func (p *pass) prepareAdviceRequest(s *step, stale []*machineState, blocked bool) {
	q := s.occ.job.queue
	if q.Advisor == nil || p.now < s.advice.noRequestBefore {
		return
	}
	stale = lo.Filter(stale, func(m *machineState, _ int) bool { return !s.advice.inFlightMachines[m] })
	if len(stale) > 0 {
		s.advice.nextMachines = lo.Uniq(lo.Map(stale, func(m *machineState, _ int) string { return m.spec.ID }))
		return
	}
	if blocked && s.advice.inFlightRequests < p.maxInFlightRequests(s) && p.adviceSearchesLeft > 0 &&
		p.now-s.advice.searchedAt >= adviceSearchInterval {
		p.adviceSearchesLeft--
		s.advice.searchedAt = p.now
		s.advice.nextMachines = p.machinesWithoutAnswer(s)
	}
}

// maxInFlightRequests returns the limit of requests in flight for a step. A step that has
// reached it asks about no further machines. Requests that renew tickets count towards the
// limit, but are not held back by it. A wide gang needs many allowed machines at the same
// time, so its requests are sent together. Where one request can name all machines, a
// second one would only occupy a daemon.
func (p *pass) maxInFlightRequests(s *step) int {
	if s.spec.Gang && len(p.service(s.occ.job.queue.Service).machines) > maxMachinesPerRequest {
		return maxGangRequests
	}
	return 1
}

// machinesWithoutAnswer returns the ids of machines that s has no answer about, those
// with most free slots first, as many as one request should name. It returns none while the
// machines that are already allowed suffice.
func (p *pass) machinesWithoutAnswer(s *step) []string {
	type choice struct {
		machine   *machineState
		freeSlots int // at most enoughSlots: beyond that the score matters more
		score     float64
	}
	const enoughSlots = 2
	var unasked []choice
	allowedSlots := 0
	for _, m := range p.service(s.occ.job.queue.Service).machines {
		if !p.eligible(s, m) {
			continue
		}
		if last, asked := s.advice.answers[m]; asked && last.born == m.spec.Born {
			if last.allowed {
				allowedSlots += slotsInTime(s, m)
			}
			continue
		}
		if s.advice.inFlightMachines[m] {
			continue
		}
		unasked = append(unasked, choice{m, min(p.freeSlots(s, m), enoughSlots), p.score(s, m)})
	}
	if !s.spec.Gang && allowedSlots >= enoughCapacityFactor*len(s.tasks) {
		if p.now-s.blockedSince < roomPatience {
			return nil // the allowed machines suffice, they are only full
		}
		unasked = slices.DeleteFunc(unasked, func(c choice) bool { return c.freeSlots == 0 })
	}
	slices.SortFunc(unasked, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.score, b.score),
			cmp.Compare(a.machine.spec.ID, b.machine.spec.ID))
	})
	slots := 0
	for _, c := range unasked {
		slots += slotsWhenEmpty(s, c.machine)
	}
	n := min(p.e.requestSize(s, len(unasked), slots), len(unasked), maxMachinesPerRequest)
	return lo.Map(unasked[:n], func(c choice, _ int) string { return c.machine.spec.ID })
}

const (
	// enoughCapacityFactor times the tasks of a step is the number of slots on allowed
	// machines, counted with those that become free by themselves, from which on no further
	// machines are asked about. Gangs have no such limit: they need all their slots at the same time.
	enoughCapacityFactor = 3
	// roomPatience is how long a step waits for these slots before it asks about
	// further machines that have free slots now: the work on the allowed ones may take hours.
	roomPatience = 1500 * time.Millisecond
)

// slotsInTime returns how many tasks of s fit on m once the runs have ended that end by
// themselves.
func slotsInTime(s *step, m *machineState) int {
	n := countFitting(s, m.spec.Capacity.Sub(m.lasting))
	if s.spec.MaxPerMachine > 0 {
		taken := 0
		if s.spec.Persistent {
			taken = m.runsPerStep[s]
		}
		n = min(n, s.spec.MaxPerMachine-taken)
	}
	return max(n, 0)
}

// requestSize returns how many machines a request names out of a number of unasked ones,
// which together have so many slots if they are empty. The result can exceed unasked.
func (e *Engine) requestSize(s *step, unasked, slots int) int {
	if unasked == 0 {
		return 0
	}
	tasksPerMachine := math.Max(float64(slots)/float64(unasked)/2, 1) // about half of a machine is in use
	needed := float64(len(s.tasks))/tasksPerMachine + 1
	share, ok := e.allowedShare[s.occ.job.queue.Name]
	if !ok {
		share = initialAllowedShare
	}
	return int(math.Ceil(needed*spareMachinesFactor/math.Max(share, 0.1))) + 1
}

// NextAdviceRequest returns the most urgent request whose expected duration is at most
// limit, and false if there is none. A step that has a request in flight gets another one
// only if allowExtra is set and no step without one has such a request. The request is in
// flight until AdviceAnswered, which must also be called if it fails.
func (e *Engine) NextAdviceRequest(limit time.Duration, allowExtra bool, now time.Duration) (AdviceRequest, bool) {
	var extra *step
	for _, s := range e.waitingSteps {
		q := s.occ.job.queue
		if q.Advisor == nil || len(s.advice.nextMachines) == 0 || now < s.advice.noRequestBefore ||
			s.occ.job.state.final() || q.Advisor.CallDuration(len(s.advice.nextMachines)) > limit {
			continue
		}
		if s.advice.inFlightRequests == 0 {
			return e.takeAdviceRequest(s), true
		}
		if extra == nil {
			extra = s
		}
	}
	if extra != nil && allowExtra {
		return e.takeAdviceRequest(extra), true
	}
	return AdviceRequest{}, false
}

// takeAdviceRequest returns the next request of a step and counts it as in flight.
func (e *Engine) takeAdviceRequest(s *step) AdviceRequest {
	request := AdviceRequest{
		Step: s.name, Machines: s.advice.nextMachines,
		Expected: s.occ.job.queue.Advisor.CallDuration(len(s.advice.nextMachines)), step: s,
	}
	s.advice.nextMachines = nil
	s.advice.inFlightRequests++
	if s.advice.inFlightMachines == nil {
		s.advice.inFlightMachines = make(map[*machineState]bool, len(request.Machines))
	}
	for _, id := range request.Machines {
		if m := e.machines[id]; m != nil {
			s.advice.inFlightMachines[m] = true
		}
	}
	e.stats.AdviceRequests++
	return request
}

// AdviceAnswered takes the answer to a request into account. tickets maps the ids of the
// allowed machines to tickets that are valid for validFor. The other machines of the
// request count as not allowed. ok is false if the request failed; tickets and validFor
// are not used then. sent is when it was sent.
func (e *Engine) AdviceAnswered(request AdviceRequest, tickets map[string]string, validFor time.Duration, ok bool,
	sent, now time.Duration) {
	s := request.step
	s.advice.inFlightRequests, s.noSearchBefore = s.advice.inFlightRequests-1, 0
	for _, id := range request.Machines {
		delete(s.advice.inFlightMachines, e.machines[id])
	}
	if !ok {
		s.advice.noRequestBefore = now + adviceBackoff
		e.log.Warn().Str("event", "advice_failed").Str("step", request.Step).Int("machines", len(request.Machines)).
			Int64("took_ms", (now - sent).Milliseconds()).Send()
		return
	}
	if s.advice.answers == nil {
		s.advice.answers = make(map[*machineState]answer, len(request.Machines))
	}
	newlyAsked := 0
	for _, id := range request.Machines {
		m := e.machines[id]
		if m == nil {
			continue
		}
		if _, asked := s.advice.answers[m]; !asked {
			newlyAsked++
		}
		ticket, ok := tickets[id]
		// The life of the ticket is counted from the expected end of the call: the advisor
		// issues it after the request has arrived, not when it is sent.
		s.advice.update(m, answer{m.spec.Born, ok, ticket, now, sent + request.Expected + validFor})
	}
	if newlyAsked == len(request.Machines) && newlyAsked > 0 {
		name := s.occ.job.queue.Name
		share, known := e.allowedShare[name]
		if !known {
			share = initialAllowedShare
		}
		e.allowedShare[name] = share + allowedShareLearningRate*(float64(len(tickets))/float64(newlyAsked)-share)
	}
	e.log.Info().Str("event", "advice_answered").Str("step", request.Step).Int("machines", len(request.Machines)).
		Int("allowed", len(tickets)).Int64("valid_ms", validFor.Milliseconds()).
		Int64("took_ms", (now - sent).Milliseconds()).Send()
}
