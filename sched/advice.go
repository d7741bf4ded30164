package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// askLimit is the most machines that the advisor takes in one question.
	maxMachinesPerRequest = 100
	// firstGoodRate is the assumed share of allowed machines of a queue before
	// answers are known.
	initialAllowedShare = 0.5
	// goodRateWeight is the weight of one answer in the learned share.
	allowedShareLearningRate = 0.1
	// askSpare is how many more allowed machines a first question aims for than the
	// tasks need, so that some have room when the answer is there.
	spareMachinesFactor = 3
	// searchEvery is the shortest time between two searches of a step for machines
	// to ask about, and searchLimit the number of searches of one pass. They bound
	// the processor time of a pass while many steps wait.
	adviceSearchInterval = 40 * time.Millisecond
	maxAdviceSearches    = 24
	// gangQuestions is how many questions of one gang may be open at once.
	maxGangRequests = 3
	// askPause is the wait after a question that was not answered.
	adviceBackoff = 100 * time.Millisecond
)

// advice is what the advisor has said about a step.
type advice struct {
	answers          map[*machineState]answer // for each machine named in a question; nil before the first answer
	allowed          []*machineState          // machines with an answer that allows them, in the order of the answers
	nextMachines     []string                 // machines for the next question
	inFlightMachines map[*machineState]bool   // machines of questions that are not answered
	inFlightRequests int                      // questions that are not answered
	noRequestBefore  time.Duration            // no question before this time
	searchedAt       time.Duration            // when unasked machines were last looked for
}

// answer is what the advisor has said about one incarnation of a machine.
type answer struct {
	born       int64
	allowed    bool
	ticket     string
	answeredAt time.Duration
	validUntil time.Duration
}

// find returns the last answer that allows the present incarnation of m, and false
// if there is none. Its ticket may have run out.
func (a *advice) allowingAnswer(m *machineState) (answer, bool) {
	x, ok := a.answers[m]
	return x, ok && x.allowed && x.born == m.spec.Born
}

// allows reports whether a task may start on m now.
func (a *advice) allows(m *machineState, now time.Duration) bool {
	if a.answers == nil {
		return true // the queue has no advisor
	}
	x, ok := a.allowingAnswer(m)
	return ok && now+minTicketLife < x.validUntil
}

// forget removes what is known about m.
func (a *advice) forget(m *machineState) {
	if a.answers[m].allowed {
		a.allowed = slices.DeleteFunc(a.allowed, func(x *machineState) bool { return x == m })
	}
	delete(a.answers, m)
}

// learn replaces what is known about m.
func (a *advice) update(m *machineState, x answer) {
	switch was := a.answers[m].allowed; {
	case x.allowed && !was:
		a.allowed = append(a.allowed, m)
	case !x.allowed && was:
		a.forget(m)
	}
	a.answers[m] = x
}

// wantAdvice sets the next question of a step: about missing, which are allowed
// machines with too old tickets, or about machines that it has not asked for yet.
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
	if blocked && s.advice.inFlightRequests < p.maxOpenRequests(s) && p.adviceSearchesLeft > 0 && p.now-s.advice.searchedAt >= adviceSearchInterval {
		p.adviceSearchesLeft--
		s.advice.searchedAt = p.now
		s.advice.nextMachines = p.machinesToAsk(s)
	}
}

// questionsAtOnce is how many questions of a step may be open. A wide gang needs
// many allowed machines at one moment, so that its questions go out together; where
// one question can name all machines, a second one only takes a daemon from others.
func (p *pass) maxOpenRequests(s *step) int {
	if s.spec.Gang && len(p.service(s.occ.job.queue.Service).machines) > maxMachinesPerRequest {
		return maxGangRequests
	}
	return 1
}

// unasked chooses machines that s has not asked about, those with most room first.
func (p *pass) machinesToAsk(s *step) []string {
	type choice struct {
		m         *machineState
		freeSlots int // tasks that fit now; beyond a few the speed matters more
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
				allowedSlots += slotsWhenEmpty(s, m)
			}
			continue
		}
		if s.advice.inFlightMachines[m] {
			continue
		}
		unasked = append(unasked, choice{m, min(p.freeSlots(s, m), enoughSlots), p.score(s, m)})
	}
	if !s.spec.Gang && allowedSlots >= enoughCapacityFactor*len(s.tasks) {
		return nil // they are only full
	}
	slices.SortFunc(unasked, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.score, b.score), cmp.Compare(a.m.spec.ID, b.m.spec.ID))
	})
	slots := 0
	for _, c := range unasked {
		slots += slotsWhenEmpty(s, c.m)
	}
	n := min(p.e.requestSize(s, len(unasked), slots), len(unasked), maxMachinesPerRequest)
	return lo.Map(unasked[:n], func(c choice, _ int) string { return c.m.spec.ID })
}

// knownEnough times the tasks of a step is the room on allowed machines, were they
// empty, beyond which no further machines are asked about. A gang needs all its
// room at once and asks on.
const enoughCapacityFactor = 3

// questionSize returns how many of the open machines, which could hold a number of
// tasks if they were empty, a first question names.
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

// NextAdviceRequest returns the most urgent question whose expected duration is at most
// limit, and false if there is none. Unless spare is set, steps with an open
// question are left out.
func (e *Engine) NextAdviceRequest(limit time.Duration, allowExtra bool, now time.Duration) (AdviceRequest, bool) {
	var extra *step
	for _, s := range e.waitingSteps {
		q := s.occ.job.queue
		if q.Advisor == nil || len(s.advice.nextMachines) == 0 || now < s.advice.noRequestBefore || s.occ.job.state.final() ||
			q.Advisor.CallDuration(len(s.advice.nextMachines)) > limit {
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

// ask hands the next question of a step out.
func (e *Engine) takeAdviceRequest(s *step) AdviceRequest {
	request := AdviceRequest{Step: s.name, Machines: s.advice.nextMachines, Expected: s.occ.job.queue.Advisor.CallDuration(len(s.advice.nextMachines)), step: s}
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

// AdviceAnswered takes the answer to a question into account. good maps machine ids to
// tickets that are valid for validFor from sent. An error is reported as ok false.
func (e *Engine) AdviceAnswered(request AdviceRequest, tickets map[string]string, validFor time.Duration, ok bool, sent, now time.Duration) {
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
		// The ticket was written after the question arrived, not before sent.
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
		Int("allowed", len(tickets)).Int64("valid_ms", validFor.Milliseconds()).Int64("took_ms", (now - sent).Milliseconds()).Send()
}
