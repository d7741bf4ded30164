package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ticketMargin is the least life of a ticket at the start of a task: the way to
	// the machine across regions and the queue in front of it.
	ticketMargin = 120 * time.Millisecond
	// lateFactor times the objective of a job is when its completion is worth
	// nothing to its caller any more.
	lateFactor = 3
	// tailMargin times its expected run time is what a job must have left to count as
	// one that can be on time. Declared run times are off by up to a half, and work
	// that ends just too late takes the room of work that could be on time.
	tailMargin = 1.25
	// refusedPause is how long a step waits after a machine has refused a start.
	refusedPause = 50 * time.Millisecond
	// relaxedPace is the weight of a machine's speed for work that is not quick: it
	// leaves the fast machines to quick work and to gangs, which wait for their
	// slowest member.
	relaxedPace = 0.2
	// retryShare is the share of its expected run time after which a step that found
	// no room looks for it again, and retryLimit the longest such wait. A later start
	// by that share costs its caller little; a search costs the leader much.
	retryShare = 1.0 / 64
	retryLimit = 60 * time.Millisecond
	// waitNews is how long a job has waited, and the shortest time between two lines,
	// when a step that waits is logged with the reason.
	waitNews = 3 * time.Second
	// packWeight is the cost in score of an idle machine against a full one. It
	// keeps whole machines free for large tasks.
	packWeight = 0.05
)

// urgency orders steps: lasting ones first, since their users notice at once that a
// task is down; on time before late, late before worthless, and within these by
// priority and objective. Of late ones that with least work comes first: under
// overload not all can be done, and the same room serves more callers that way.
type urgency struct {
	tier      int
	priority  int
	work      float64 // core-seconds that are left, for late steps; else 0
	objective time.Duration
}

func (e *Engine) urgencyOf(s *step, now time.Duration) urgency {
	j := s.occ.job
	u := urgency{priority: j.queue.Priority, objective: s.objective()}
	finish := now + time.Duration(tailMargin*float64(s.tail))
	switch {
	case s.spec.Persistent:
		u.tier = -1
	case finish <= u.objective:
	case finish <= j.arrived+lateFactor*(u.objective-j.arrived):
		u.tier, u.work = 1, s.workLeft()
	default:
		u.tier = 2
	}
	return u
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.tier, o.tier), cmp.Compare(u.priority, o.priority), cmp.Compare(u.work, o.work),
		cmp.Compare(u.objective, o.objective))
}

// Plan makes one pass over all waiting steps and returns the orders to send.
func (e *Engine) Plan(now time.Duration) Orders {
	e.expire(now)
	e.compact(now)
	e.watchRuns(now)
	e.refreshWaiting(now)
	e.passes++
	p := &pass{e: e, number: e.passes, now: now, bookings: newBookings(), services: make(map[string]*servicePass), searches: searchLimit}
	for _, s := range e.waiting {
		switch {
		case s.occ.job.state.final() || now < s.notBefore:
		case now < s.retryAt:
			p.keepBooking(s)
		default:
			s.kept = s.kept[:0]
			e.stats.Searches++
			p.place(s)
		}
	}
	out := e.orders
	e.orders = Orders{}
	e.stats.Starts += int64(len(out.Starts))
	e.stats.Stops += int64(len(out.Stops))
	return out
}

// refreshWaiting builds the ordered list of steps that have tasks to place.
func (e *Engine) refreshWaiting(now time.Duration) {
	e.waiting = e.waiting[:0]
	for _, j := range e.live {
		if !j.stored || j.state.final() || (j.restored && !e.settled) {
			continue
		}
		for _, o := range j.occurrences {
			if now < o.due || o.doneSteps == len(o.steps) {
				continue
			}
			for _, s := range o.steps {
				if s.doneTasks < len(s.tasks) && s.ready(now) && s.waits() {
					e.waiting = append(e.waiting, s)
				}
			}
		}
	}
	for _, s := range e.waiting {
		s.urgency = e.urgencyOf(s, now)
	}
	slices.SortStableFunc(e.waiting, func(a, b *step) int { return a.urgency.compare(b.urgency) })
}

// pass is the state of one Plan.
type pass struct {
	e        *Engine
	number   int64
	now      time.Duration
	services map[string]*servicePass
	bookings bookings
	searches int // searches for machines to ask about that are left
}

// servicePass holds what the steps of one service share within a pass.
type servicePass struct {
	machines []*machineState
	booked   int // gangs that room is kept for
}

// service returns the machines that may take work of a service, in a fixed order.
func (p *pass) service(name string) *servicePass {
	sp := p.services[name]
	if sp != nil {
		return sp
	}
	sp = &servicePass{}
	var suspects []*machineState
	for _, m := range p.e.byID {
		if m.spec.Service != name || !m.listed || m.spec.Draining || !m.looked || m.unsaved > 0 || m.silent || m.strangers > 0 {
			continue
		}
		if p.now-m.lookedAt > silentAfter {
			continue
		}
		if m.health.suspect(p.now) {
			suspects = append(suspects, m)
			continue
		}
		sp.machines = append(sp.machines, m)
	}
	// Suspects are used when most machines are suspect: then the work is at fault.
	if len(suspects) > len(sp.machines) {
		sp.machines = append(sp.machines, suspects...)
	}
	for _, m := range sp.machines {
		m.usableIn = p.number
	}
	p.services[name] = sp
	return sp
}

// usable reports whether m may take work of a service in this pass. The service of
// a queue may have changed since the advisor allowed m.
func (p *pass) usable(service string, m *machineState) bool {
	p.service(service) // marks its machines
	return m.usableIn == p.number && m.spec.Service == service
}

// allowedMachines returns the machines that s may use if they have room: all of
// its service, or those that the advisor has allowed at some time.
func (p *pass) allowedMachines(s *step) []*machineState {
	q := s.occ.job.queue
	machines := p.service(q.Service).machines
	if q.Advisor == nil {
		return machines
	}
	out := make([]*machineState, 0, len(s.advice.allowed))
	for _, m := range s.advice.allowed {
		if _, ok := s.advice.find(m); ok && p.usable(q.Service, m) {
			out = append(out, m)
		}
	}
	return out
}

// silentAfter is the time without an answer after which a machine takes no new
// work. A look waits up to 2 s for an end.
const silentAfter = 3 * time.Second

// eligible reports whether m may run tasks of s at all, regardless of room.
func (p *pass) eligible(s *step, m *machineState) bool {
	if s.spec.Label != "" && !slices.Contains(m.spec.Labels, s.spec.Label) {
		return false
	}
	// Filling work slows down tasks that serve users, by amounts that are not known.
	if (s.spec.Filler && m.serving > 0) || (s.spec.LatencyTarget > 0 && m.filling > 0) {
		return false
	}
	return s.spec.Need.Fits(m.spec.Capacity)
}

// slots returns how many further tasks of s fit on m now.
func (p *pass) slots(s *step, m *machineState) int {
	n := fits(s, m.free())
	if s.spec.MaxPerMachine > 0 {
		n = min(n, s.spec.MaxPerMachine-m.perStep[s])
	}
	return max(n, 0)
}

// place starts what can be started of s now.
func (p *pass) place(s *step) {
	if s.spec.Gang {
		p.placeGang(s)
		return
	}
	expected := p.e.speeds.expected(s.occ.job.queue, s.spec)
	cands := p.candidates(s, expected)
	var missing []*machineState
	blocked, left := false, 0
	for _, t := range s.tasks {
		if !t.placeable() {
			continue
		}
		m := p.best(t, cands)
		if m == nil {
			blocked = true
			left++
			continue
		}
		if !s.advice.allows(m, p.now) {
			missing = append(missing, m)
			continue
		}
		p.start(t, m, t.lastRun+1)
	}
	if blocked && s.spec.Persistent {
		p.book(s, left)
	}
	if blocked {
		p.retryLater(s, expected, "no_room_on_allowed_machines")
	}
	p.wantAdvice(s, missing, blocked)
}

// retryLater puts the next search for room off. An answer of the advisor, or the
// end of a run of the step, makes it due at once.
func (p *pass) retryLater(s *step, expected time.Duration, why string) {
	s.retryAt = p.now + min(time.Duration(retryShare*float64(expected)), retryLimit)
	if waited := p.now - s.occ.job.arrived; waited > waitNews && p.now-s.waitSaid > waitNews {
		s.waitSaid = p.now
		p.e.log.Info().Str("event", "step_waits").Str("step", s.name).Str("reason", why).
			Int("tasks", len(s.tasks)-s.doneTasks).Str("need", s.spec.Need.String()).
			Int("allowed", len(s.advice.allowed)).Int("asked", len(s.advice.answers)).Int("questions", s.advice.inFlight).
			Int("tier", s.urgency.tier).Int64("waited_ms", waited.Milliseconds()).
			Int64("to_objective_ms", (s.objective() - p.now).Milliseconds()).Send()
	}
}

// candidate is a machine that may take tasks of a step, with its score.
type candidate struct {
	m     *machineState
	score float64 // lower is better
	left  int     // tasks that it can take in this pass
}

// candidates filters and scores the machines for s. Machines whose ticket is
// missing or too old are included if the advisor has allowed them before.
func (p *pass) candidates(s *step, expected time.Duration) []candidate {
	var out []candidate
	for _, m := range p.allowedMachines(s) {
		if !p.eligible(s, m) {
			continue
		}
		n := min(p.slots(s, m), p.unbooked(s, m, expected))
		if n == 0 {
			continue
		}
		out = append(out, candidate{m, p.score(s, m), n})
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.m.spec.ID, b.m.spec.ID))
	})
	return out
}

// score is the expected run time on m relative to a normal machine near the data.
func (p *pass) score(s *step, m *machineState) float64 {
	v := 1.0
	if m.pace > 0 {
		weight := relaxedPace
		if s.occ.job.queue.Priority == 0 || s.spec.Gang {
			weight = 1
		}
		v += weight * (m.pace - 1)
	}
	if s.spec.DataRack != "" && s.spec.DataRack != m.spec.Rack {
		v *= p.e.cfg.SpreadFactor
	}
	v += float64(len(m.health.fails)) * 0.5
	if c := m.spec.Capacity.CPUMilli; c > 0 {
		v += packWeight * float64(m.free().CPUMilli) / float64(c)
	}
	if s.occ.job.queue.Advisor != nil && !s.advice.allows(m, p.now) {
		v += 0.25 // another question is needed first
	}
	return v
}

// best returns the first candidate with room that t may use, and takes one slot.
// The machine that t avoids is the last choice.
func (p *pass) best(t *task, cands []candidate) *machineState {
	for _, strict := range []bool{true, false} {
		for i := range cands {
			c := &cands[i]
			if c.left == 0 || (strict && c.m.spec.ID == t.avoid) {
				continue
			}
			c.left--
			return c.m
		}
		if t.avoid == "" {
			break
		}
	}
	return nil
}

// start reserves room and hands out the order.
func (p *pass) start(t *task, m *machineState, number int64) {
	e, j := p.e, t.step.occ.job
	number = max(number, 1)
	if j.restored && t.lastRun == 0 {
		number = max(number, e.cfg.Token)
	}
	r := &run{task: t, machine: m, number: number, token: m.token, ordered: p.now}
	t.run, t.lastRun = r, number
	m.reserve(r)
	var ticket string
	var age time.Duration
	if x, ok := t.step.advice.find(m); ok {
		ticket, age = x.ticket, p.now-x.issued
	}
	e.orders.Starts = append(e.orders.Starts, Start{
		Machine: m.spec, Token: m.token, Task: t.name, Run: number, Payload: j.spec.Payload,
		Checkpoint: t.checkpoint, Ticket: ticket,
	})
	ev := e.log.Info().Str("event", "task_placed").Str("task", t.name).Int64("run", number).
		Str("machine", m.spec.ID).Int64("token", m.token).Str("free", m.free().String()).
		Int64("machine_view_ms", (p.now-m.lookedAt).Milliseconds()).Int64("waited_ms", (p.now - j.arrived).Milliseconds())
	if ticket != "" {
		ev.Int64("ticket_age_ms", age.Milliseconds())
	}
	ev.Send()
}
