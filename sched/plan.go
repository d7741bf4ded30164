package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minTicketLife is the remaining life that a ticket must have when a start is sent:
	// the transfer to the machine across regions and the queue in front of it.
	minTicketLife = 120 * time.Millisecond
	// refusalBackoff is how long a step waits after a machine has refused a start.
	refusalBackoff = 50 * time.Millisecond
	// nonUrgentRunTimeWeight is the weight of a machine's relative run time in the score
	// for steps that are neither of priority 0 nor gangs. It leaves the fast machines to
	// urgent work and to gangs, which wait for their slowest member.
	nonUrgentRunTimeWeight = 0.2
	// searchIntervalShare is the share of its expected run time after which a step that
	// found no free capacity searches again, and maxSearchInterval the longest such wait.
	// A start that is later by that share costs the caller little; a search costs the
	// leader much.
	searchIntervalShare = 1.0 / 64
	maxSearchInterval   = 60 * time.Millisecond
	// waitLogInterval is how long a job must have waited before the reason is logged, and
	// the shortest time between two such lines of one step.
	waitLogInterval = 3 * time.Second
	// idleMachineCost is the score of an idle machine above that of a full one. It
	// keeps whole machines free for large tasks.
	idleMachineCost = 0.05
)

// Plan makes one pass over all waiting steps, the most urgent first, and returns the
// orders to send, among them the stops that other calls have caused since the last pass.
// Before that it expires leases, drops ended jobs and checks the runs.
func (e *Engine) Plan(now time.Duration) Orders {
	e.expireLeases(now)
	e.dropEndedJobs(now)
	e.watchRuns(now)
	e.refreshUsage(now)
	e.releaseEnded()
	e.refreshWaiting(now)
	e.passes++
	p := &pass{
		e: e, number: e.passes, now: now, reservations: newReservations(), services: make(map[string]*servicePass),
		adviceSearchesLeft: maxAdviceSearches,
	}
	e.stepsAtCap = 0
	for _, s := range e.waitingSteps {
		switch {
		case s.occ.job.state.final():
		case e.anyCap && e.atCap(s):
			p.waitForCap(s)
		case now < s.noStartBefore:
		case now < s.noSearchBefore:
			p.keepReservations(s)
		default:
			s.reservedSlots = s.reservedSlots[:0]
			e.stats.Searches++
			p.place(s)
		}
	}
	if e.shedsLoad() {
		e.refreshRoom(now)
	}
	orders := e.orders
	e.orders = Orders{}
	e.stats.Starts += int64(len(orders.Starts))
	e.stats.Stops += int64(len(orders.Stops))
	return orders
}

// refreshWaiting lists the steps that have tasks to place, the most urgent first.
// Jobs that are not stored yet are left out, and restored jobs until RunsResolved.
func (e *Engine) refreshWaiting(now time.Duration) {
	e.waitingSteps = e.waitingSteps[:0]
	for _, j := range e.liveJobs {
		if !j.stored || j.state.final() || (j.restored && !e.runsResolved) {
			continue
		}
		e.openDue(j, now)
		for _, o := range j.open {
			if now < o.due || o.doneSteps == len(o.steps) {
				continue
			}
			for _, s := range o.steps {
				if s.doneTasks < len(s.tasks) && s.ready(now) && s.hasPlaceableTask() {
					e.waitingSteps = append(e.waitingSteps, s)
				}
			}
		}
	}
	for _, s := range e.waitingSteps {
		s.urgency = e.urgencyOf(s, now)
	}
	slices.SortStableFunc(e.waitingSteps, func(a, b *step) int { return a.urgency.compare(b.urgency) })
	e.orderByShare()
}

// pass is the state of one call of Plan.
type pass struct {
	e                  *Engine
	number             int64
	now                time.Duration
	services           map[string]*servicePass
	reservations       reservations
	adviceSearchesLeft int // further searches for machines to request advice about
}

// servicePass holds what the steps of one service share within a pass.
type servicePass struct {
	machines       []*machineState
	reservingSteps int // steps with reservations
}

// service returns the machines that may take work of a service in this pass, in a fixed
// order, and marks them as usable.
func (p *pass) service(name string) *servicePass {
	shared := p.services[name]
	if shared != nil {
		return shared
	}
	shared = &servicePass{}
	var suspects []*machineState
	for _, m := range p.e.byID {
		if m.spec.Service != name || !m.inHostList || m.spec.Draining || !m.polled || m.unstoredRecords > 0 ||
			m.unresponsive || m.unsizedRuns > 0 || m.leaseWithheld || m.orders.paused(p.now) {
			continue
		}
		if p.now-m.answeredAt > maxAnswerAge {
			continue
		}
		if m.health.suspect(p.now) {
			suspects = append(suspects, m)
			continue
		}
		shared.machines = append(shared.machines, m)
	}
	// If most machines are suspect, the fault is with the work, and they are used.
	if len(suspects) > len(shared.machines) {
		shared.machines = append(shared.machines, suspects...)
	}
	for _, m := range shared.machines {
		m.usableInPass = p.number
	}
	p.services[name] = shared
	return shared
}

// usable reports whether m may take work of a service in this pass. The service of
// a queue may have changed since the advisor allowed m.
func (p *pass) usable(service string, m *machineState) bool {
	p.service(service) // sets usableInPass
	return m.usableInPass == p.number && m.spec.Service == service
}

// allowedMachines returns the machines that s may use if they have free capacity: all
// of its service, or those that the advisor has allowed, also if their tickets have expired.
func (p *pass) allowedMachines(s *step) []*machineState {
	q := s.occ.job.queue
	machines := p.service(q.Service).machines
	if q.Advisor == nil {
		return machines
	}
	out := make([]*machineState, 0, len(s.advice.allowed))
	for _, m := range s.advice.allowed {
		if _, ok := s.advice.allowingAnswer(m); ok && p.usable(q.Service, m) {
			out = append(out, m)
		}
	}
	return out
}

// maxAnswerAge is the age of the last answer to a poll beyond which a machine takes no
// new work, even if no poll has failed. A poll waits up to 2 s for a run to end.
const maxAnswerAge = 3 * time.Second

// eligible reports whether m may run tasks of s, regardless of its free capacity.
func (p *pass) eligible(s *step, m *machineState) bool {
	if s.spec.Label != "" && !slices.Contains(m.spec.Labels, s.spec.Label) {
		return false
	}
	// Filler tasks slow down tasks that serve users, by an unknown amount.
	if (s.spec.Filler && m.servingRuns > 0) || (s.spec.LatencyTarget > 0 && m.fillerRuns > 0) {
		return false
	}
	return s.spec.Need.Fits(m.spec.Capacity)
}

// freeSlots returns how many more tasks of s fit on m now.
func (p *pass) freeSlots(s *step, m *machineState) int {
	n := countFitting(s, m.freeCapacity())
	if s.spec.MaxPerMachine > 0 {
		n = min(n, s.spec.MaxPerMachine-m.runsPerStep[s])
	}
	return max(n, 0)
}

// place starts the tasks of s that can start now, and prepares an advice request for the
// others. Persistent tasks that cannot start get a reservation.
func (p *pass) place(s *step) {
	if s.spec.Gang {
		p.placeGang(s)
		return
	}
	expected := p.e.estimator.expected(s.occ.job.queue, s.spec)
	candidates := p.candidates(s, expected)
	var stale []*machineState
	blocked, unplaced := false, 0
	allowed := p.e.quotaAllows(s, len(s.tasks))
	for _, t := range s.tasks {
		if !t.placeable() {
			continue
		}
		if allowed == 0 {
			p.heldByCap(s)
			break
		}
		allowed--
		m := p.takeSlot(t, candidates)
		if m == nil {
			blocked = true
			unplaced++
			continue
		}
		if !s.allowed(m, p.now) {
			stale = append(stale, m)
			continue
		}
		p.startTask(t, m, t.lastRun+1)
	}
	switch {
	case !blocked:
		s.blockedSince = 0
	case s.blockedSince == 0:
		s.blockedSince = p.now
	}
	if blocked && s.spec.Persistent {
		p.reserveSlots(s, unplaced)
	}
	if blocked {
		p.retryLater(s, expected, "no_room_on_allowed_machines")
	}
	p.prepareAdviceRequest(s, stale, blocked)
}

// retryLater delays the next search for free capacity, and logs the reason. An answer of the advisor,
// a failed advice request or the end of a run of the step ends the delay.
func (p *pass) retryLater(s *step, expected time.Duration, reason string) {
	s.noSearchBefore = p.now + min(time.Duration(searchIntervalShare*float64(expected)), maxSearchInterval)
	p.logWait(s, reason)
}

// logWait logs why a step waits, once every waitLogInterval.
func (p *pass) logWait(s *step, reason string) {
	if waited := p.now - s.occ.job.arrived; waited > waitLogInterval && p.now-s.waitLoggedAt > waitLogInterval {
		s.waitLoggedAt = p.now
		p.e.log.Info().Str("event", "step_waits").Str("step", s.name).Str("reason", reason).
			Int("tasks", len(s.tasks)-s.doneTasks).Str("need", s.spec.Need.String()).
			Int("allowed", len(s.advice.allowed)).Int("asked", len(s.advice.answers)).
			Int("questions", s.advice.inFlightRequests).
			Int("tier", s.urgency.tier).Int64("waited_ms", waited.Milliseconds()).
			Int64("to_objective_ms", (s.objective() - p.now).Milliseconds()).Send()
	}
}

// candidate is a machine that may take tasks of a step, with its score.
type candidate struct {
	machine   *machineState
	score     float64 // lower is better
	freeSlots int     // more tasks that it can take in this pass
}

// candidates returns the machines that can take a task of s now, the best first.
// Machines whose tickets must be renewed are included.
func (p *pass) candidates(s *step, expected time.Duration) []candidate {
	var out []candidate
	for _, m := range p.allowedMachines(s) {
		if !p.eligible(s, m) {
			continue
		}
		n := min(p.freeSlots(s, m), p.unreservedSlots(s, m, expected))
		if n == 0 {
			continue
		}
		out = append(out, candidate{m, p.score(s, m), n})
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.machine.spec.ID, b.machine.spec.ID))
	})
	return out
}

// score returns the expected run time on m relative to an average machine near the
// data, plus penalties for recent failures, idle capacity and a ticket to request.
func (p *pass) score(s *step, m *machineState) float64 {
	score := 1.0
	if m.relativeRunTime > 0 {
		weight := nonUrgentRunTimeWeight
		if s.occ.job.queue.Priority == 0 || s.spec.Gang {
			weight = 1
		}
		score += weight * (m.relativeRunTime - 1)
	}
	if s.spec.DataRack != "" && s.spec.DataRack != m.spec.Rack {
		score *= p.e.cfg.SpreadFactor
	}
	score += float64(len(m.health.failures)) * 0.5
	if total := m.spec.Capacity.CPUMilli; total > 0 {
		score += idleMachineCost * float64(m.freeCapacity().CPUMilli) / float64(total)
	}
	if !s.allowed(m, p.now) {
		score += 0.25 // needs a new ticket first
	}
	return score
}

// takeSlot returns the first candidate with a free slot and takes the slot, or returns
// nil. The machine that t avoids is the last choice.
func (p *pass) takeSlot(t *task, candidates []candidate) *machineState {
	for _, skipAvoided := range []bool{true, false} {
		for i := range candidates {
			c := &candidates[i]
			if c.freeSlots == 0 || (skipAvoided && c.machine.spec.ID == t.avoidMachine) {
				continue
			}
			c.freeSlots--
			return c.machine
		}
		if t.avoidMachine == "" {
			break
		}
	}
	return nil
}

// startTask adds a run of t to m and emits the start order. A restored task of which no
// run is known is numbered from the fencing token, above the runs of former leaders.
func (p *pass) startTask(t *task, m *machineState, runNumber int64) {
	e, j := p.e, t.step.occ.job
	runNumber = max(runNumber, 1)
	if j.restored && t.lastRun == 0 {
		runNumber = max(runNumber, e.cfg.Token)
	}
	r := &run{task: t, machine: m, number: runNumber, token: m.token, orderedAt: p.now}
	t.run, t.lastRun = r, runNumber
	m.addRun(r)
	var ticket string
	var ticketAge time.Duration
	if advisorAnswer, ok := t.step.advice.allowingAnswer(m); ok {
		ticket, ticketAge = advisorAnswer.ticket, p.now-advisorAnswer.answeredAt
	}
	e.orders.Starts = append(e.orders.Starts, Start{
		Machine: m.spec, Token: m.token, Task: t.name, Run: runNumber, Payload: j.spec.Payload,
		Checkpoint: t.checkpoint, Ticket: ticket,
	})
	line := e.log.Info().Str("event", "task_placed").Str("task", t.name).Int64("run", runNumber).
		Str("machine", m.spec.ID).Int64("token", m.token).Str("free", m.freeCapacity().String()).
		Int64("machine_view_ms", (p.now-m.answeredAt).Milliseconds()).Int64("waited_ms", (p.now - j.arrived).Milliseconds())
	if ticket != "" {
		line.Int64("ticket_age_ms", ticketAge.Milliseconds())
	}
	line.Send()
}
