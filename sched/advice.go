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
	askLimit = 100
	// firstGoodRate is the assumed share of allowed machines of a queue before
	// answers are known.
	firstGoodRate = 0.5
	// goodRateWeight is the weight of one answer in the learned share.
	goodRateWeight = 0.1
	// askSpare is how many more allowed machines a first question aims for than the
	// tasks need, so that some have room when the answer is there.
	askSpare = 3
	// searchEvery is the shortest time between two searches of a step for machines
	// to ask about, and searchLimit the number of searches of one pass. They bound
	// the processor time of a pass while many steps wait.
	searchEvery = 40 * time.Millisecond
	searchLimit = 24
	// gangQuestions is how many questions of one gang may be open at once.
	gangQuestions = 3
	// askPause is the wait after a question that was not answered.
	askPause = 100 * time.Millisecond
)

// advice is what the advisor has said about a step.
type advice struct {
	answers  map[*machineState]answer // for each machine named in a question; nil before the first answer
	allowed  []*machineState          // machines with an answer that allows them, in the order of the answers
	want     []string                 // machines for the next question
	asking   map[*machineState]bool   // machines of questions that are not answered
	inFlight int                      // questions that are not answered
	after    time.Duration            // no question before this time
	checked  time.Duration            // when unasked machines were last looked for
}

// answer is what the advisor has said about one incarnation of a machine.
type answer struct {
	born    int64
	allowed bool
	ticket  string
	issued  time.Duration
	until   time.Duration
}

// find returns the last answer that allows the present incarnation of m, and false
// if there is none. Its ticket may have run out.
func (a *advice) find(m *machineState) (answer, bool) {
	x, ok := a.answers[m]
	return x, ok && x.allowed && x.born == m.spec.Born
}

// allows reports whether a task may start on m now.
func (a *advice) allows(m *machineState, now time.Duration) bool {
	if a.answers == nil {
		return true // the queue has no advisor
	}
	x, ok := a.find(m)
	return ok && now+ticketMargin < x.until
}

// forget removes what is known about m.
func (a *advice) forget(m *machineState) {
	if a.answers[m].allowed {
		a.allowed = slices.DeleteFunc(a.allowed, func(x *machineState) bool { return x == m })
	}
	delete(a.answers, m)
}

// learn replaces what is known about m.
func (a *advice) learn(m *machineState, x answer) {
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
func (p *pass) wantAdvice(s *step, missing []*machineState, blocked bool) {
	q := s.occ.job.queue
	if q.Advisor == nil || p.now < s.advice.after {
		return
	}
	missing = lo.Filter(missing, func(m *machineState, _ int) bool { return !s.advice.asking[m] })
	if len(missing) > 0 {
		s.advice.want = lo.Uniq(lo.Map(missing, func(m *machineState, _ int) string { return m.spec.ID }))
		return
	}
	if blocked && s.advice.inFlight < p.questionsAtOnce(s) && p.searches > 0 && p.now-s.advice.checked >= searchEvery {
		p.searches--
		s.advice.checked = p.now
		s.advice.want = p.unasked(s)
	}
}

// questionsAtOnce is how many questions of a step may be open. A wide gang needs
// many allowed machines at one moment, so that its questions go out together; where
// one question can name all machines, a second one only takes a daemon from others.
func (p *pass) questionsAtOnce(s *step) int {
	if s.spec.Gang && len(p.service(s.occ.job.queue.Service).machines) > askLimit {
		return gangQuestions
	}
	return 1
}

// unasked chooses machines that s has not asked about, those with most room first.
func (p *pass) unasked(s *step) []string {
	type choice struct {
		m     *machineState
		room  int // tasks that fit now; beyond a few the speed matters more
		score float64
	}
	const enoughRoom = 2
	var open []choice
	known := 0
	for _, m := range p.service(s.occ.job.queue.Service).machines {
		if !p.eligible(s, m) {
			continue
		}
		if x, asked := s.advice.answers[m]; asked && x.born == m.spec.Born {
			if x.allowed {
				known += wholeSlots(s, m)
			}
			continue
		}
		if s.advice.asking[m] {
			continue
		}
		open = append(open, choice{m, min(p.slots(s, m), enoughRoom), p.score(s, m)})
	}
	if !s.spec.Gang && known >= knownEnough*len(s.tasks) {
		return nil // they are only full
	}
	slices.SortFunc(open, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.room, a.room), cmp.Compare(a.score, b.score), cmp.Compare(a.m.spec.ID, b.m.spec.ID))
	})
	slots := 0
	for _, c := range open {
		slots += wholeSlots(s, c.m)
	}
	n := min(p.e.questionSize(s, len(open), slots), len(open), askLimit)
	return lo.Map(open[:n], func(c choice, _ int) string { return c.m.spec.ID })
}

// knownEnough times the tasks of a step is the room on allowed machines, were they
// empty, beyond which no further machines are asked about. A gang needs all its
// room at once and asks on.
const knownEnough = 3

// questionSize returns how many of the open machines, which could hold a number of
// tasks if they were empty, a first question names.
func (e *Engine) questionSize(s *step, open, slots int) int {
	if open == 0 {
		return 0
	}
	perMachine := math.Max(float64(slots)/float64(open)/2, 1) // about half of a machine is in use
	machines := float64(len(s.tasks))/perMachine + 1
	rate, ok := e.goodRate[s.occ.job.queue.Name]
	if !ok {
		rate = firstGoodRate
	}
	return int(math.Ceil(machines*askSpare/math.Max(rate, 0.1))) + 1
}

// NextAdviceRequest returns the most urgent question whose expected duration is at most
// limit, and false if there is none. Unless spare is set, steps with an open
// question are left out.
func (e *Engine) NextAdviceRequest(limit time.Duration, spare bool, now time.Duration) (AdviceRequest, bool) {
	var extra *step
	for _, s := range e.waiting {
		q := s.occ.job.queue
		if q.Advisor == nil || len(s.advice.want) == 0 || now < s.advice.after || s.occ.job.state.final() ||
			q.Advisor.CallDuration(len(s.advice.want)) > limit {
			continue
		}
		if s.advice.inFlight == 0 {
			return e.ask(s), true
		}
		if extra == nil {
			extra = s
		}
	}
	if extra != nil && spare {
		return e.ask(extra), true
	}
	return AdviceRequest{}, false
}

// ask hands the next question of a step out.
func (e *Engine) ask(s *step) AdviceRequest {
	a := AdviceRequest{Step: s.name, Machines: s.advice.want, Expected: s.occ.job.queue.Advisor.CallDuration(len(s.advice.want)), step: s}
	s.advice.want = nil
	s.advice.inFlight++
	if s.advice.asking == nil {
		s.advice.asking = make(map[*machineState]bool, len(a.Machines))
	}
	for _, id := range a.Machines {
		if m := e.machines[id]; m != nil {
			s.advice.asking[m] = true
		}
	}
	e.stats.AdviceRequests++
	return a
}

// AdviceAnswered takes the answer to a question into account. good maps machine ids to
// tickets that are valid for validFor from sent. An error is reported as ok false.
func (e *Engine) AdviceAnswered(a AdviceRequest, good map[string]string, validFor time.Duration, ok bool, sent, now time.Duration) {
	s := a.step
	s.advice.inFlight, s.retryAt = s.advice.inFlight-1, 0
	for _, id := range a.Machines {
		delete(s.advice.asking, e.machines[id])
	}
	if !ok {
		s.advice.after = now + askPause
		e.log.Warn().Str("event", "advice_failed").Str("step", a.Step).Int("machines", len(a.Machines)).
			Int64("took_ms", (now - sent).Milliseconds()).Send()
		return
	}
	if s.advice.answers == nil {
		s.advice.answers = make(map[*machineState]answer, len(a.Machines))
	}
	fresh := 0
	for _, id := range a.Machines {
		m := e.machines[id]
		if m == nil {
			continue
		}
		if _, asked := s.advice.answers[m]; !asked {
			fresh++
		}
		text, ok := good[id]
		// The ticket was written after the question arrived, not before sent.
		s.advice.learn(m, answer{m.spec.Born, ok, text, now, sent + a.Expected + validFor})
	}
	if fresh == len(a.Machines) && fresh > 0 {
		name := s.occ.job.queue.Name
		rate, known := e.goodRate[name]
		if !known {
			rate = firstGoodRate
		}
		e.goodRate[name] = rate + goodRateWeight*(float64(len(good))/float64(fresh)-rate)
	}
	e.log.Info().Str("event", "advice_answered").Str("step", a.Step).Int("machines", len(a.Machines)).
		Int("allowed", len(good)).Int64("valid_ms", validFor.Milliseconds()).Int64("took_ms", (now - sent).Milliseconds()).Send()
}
