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
	askSpare = 1.6
	// askPause is the wait after a question that was not answered.
	askPause = 100 * time.Millisecond
)

// advice is what the advisor has said about a step.
type advice struct {
	asked    map[string]bool // machine incarnations that were named in a question
	tickets  map[string]ticket
	want     []string // machines for the next question
	inFlight bool
	after    time.Duration // no question before this time
}

// ticket allows the tasks of a step on one incarnation of a machine.
type ticket struct {
	text   string
	born   int64
	issued time.Duration
	until  time.Duration
}

// good reports whether the advisor has allowed m, with a valid ticket or not.
func (a *advice) good(m *machineState) bool {
	t, ok := a.tickets[m.spec.ID]
	return ok && t.born == m.spec.Born
}

// allows reports whether a task may start on m now.
func (a *advice) allows(m *machineState, now time.Duration) bool {
	if a.tickets == nil && a.asked == nil {
		return true
	}
	t, ok := a.tickets[m.spec.ID]
	return ok && t.born == m.spec.Born && now+ticketMargin < t.until
}

// ticket returns the ticket for m and its age, or an empty text.
func (a *advice) ticket(m *machineState, now time.Duration) (string, time.Duration) {
	t := a.tickets[m.spec.ID]
	return t.text, now - t.issued
}

// wantAdvice sets the next question of a step: about missing, which are allowed
// machines with too old tickets, or about machines that it has not asked for yet.
func (p *pass) wantAdvice(s *step, missing []*machineState, blocked bool) {
	q := s.occ.job.queue
	if q.Advice == nil || s.advice.inFlight || p.now < s.advice.after {
		return
	}
	if len(missing) > 0 {
		s.advice.want = lo.Uniq(lo.Map(missing, func(m *machineState, _ int) string { return m.spec.ID }))
		return
	}
	s.advice.want = nil
	if blocked {
		s.advice.want = p.unasked(s)
	}
}

// unasked chooses machines that s has not asked about, those with most room first.
func (p *pass) unasked(s *step) []string {
	q := s.occ.job.queue
	var open []*machineState
	known := 0
	for _, m := range p.service(q.Service).machines {
		if !p.eligible(s, m) {
			continue
		}
		if s.advice.asked[m.askKey()] {
			if s.advice.good(m) {
				known += wholeSlots(s, m)
			}
			continue
		}
		open = append(open, m)
	}
	if known >= 3*len(s.tasks) {
		return nil // enough allowed machines; they are only full
	}
	slices.SortFunc(open, func(a, b *machineState) int {
		return cmp.Or(cmp.Compare(p.roomRank(s, b), p.roomRank(s, a)), cmp.Compare(p.score(s, a), p.score(s, b)),
			cmp.Compare(a.spec.ID, b.spec.ID))
	})
	n := min(p.e.questionSize(s, open), len(open), askLimit)
	return lo.Map(open[:n], func(m *machineState, _ int) string { return m.spec.ID })
}

// roomRank is how many tasks of s fit on m now, capped: beyond some the speed matters more.
func (p *pass) roomRank(s *step, m *machineState) int { return min(p.slots(s, m), 2) }

// questionSize returns how many machines a first question names.
func (e *Engine) questionSize(s *step, open []*machineState) int {
	if len(open) == 0 {
		return 0
	}
	slots := 0
	for _, m := range open {
		slots += wholeSlots(s, m)
	}
	perMachine := math.Max(float64(slots)/float64(len(open))/2, 1) // about half of a machine is in use
	machines := float64(len(s.tasks))/perMachine + 1
	rate, ok := e.goodRate[s.occ.job.queue.Name]
	if !ok {
		rate = firstGoodRate
	}
	return int(math.Ceil(machines*askSpare/math.Max(rate, 0.1))) + 1
}

// askKey names an incarnation of a machine.
func (m *machineState) askKey() string { return m.spec.ID + "/" + time.UnixMilli(m.spec.Born).String() }

// NextAsk returns the most urgent question whose expected duration is at most
// limit, and false if there is none.
func (e *Engine) NextAsk(limit time.Duration, now time.Duration) (Ask, bool) {
	for _, s := range e.waiting {
		q := s.occ.job.queue
		if q.Advice == nil || s.advice.inFlight || len(s.advice.want) == 0 || now < s.advice.after || s.occ.job.state.final() {
			continue
		}
		cost := q.Advice.Cost(len(s.advice.want))
		if cost > limit {
			continue
		}
		s.advice.inFlight = true
		e.stats.Asks++
		a := Ask{Step: s.name, Machines: s.advice.want, Expected: cost, step: s}
		s.advice.want = nil
		return a, true
	}
	return Ask{}, false
}

// Answered takes the answer to a question into account. good maps machine ids to
// tickets that are valid for validFor from sent. An error is reported as ok false.
func (e *Engine) Answered(a Ask, good map[string]string, validFor time.Duration, ok bool, sent, now time.Duration) {
	s := a.step
	s.advice.inFlight = false

	if !ok {
		s.advice.after = now + askPause
		e.log.Warn().Str("event", "advice_failed").Str("step", a.Step).Int("machines", len(a.Machines)).
			Int64("took_ms", (now - sent).Milliseconds()).Send()
		return
	}
	if s.advice.asked == nil {
		s.advice.asked, s.advice.tickets = make(map[string]bool), make(map[string]ticket)
	}
	fresh := 0
	for _, id := range a.Machines {
		m := e.machines[id]
		if m == nil {
			continue
		}
		if !s.advice.asked[m.askKey()] {
			fresh++
		}
		s.advice.asked[m.askKey()] = true
		if text, ok := good[id]; ok {
			// The ticket was written after the question arrived, not before sent.
			s.advice.tickets[id] = ticket{text, m.spec.Born, now, sent + a.Expected + validFor}
		} else {
			delete(s.advice.tickets, id)
		}
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
