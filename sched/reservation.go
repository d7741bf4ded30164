package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/machine"
)

const (
	// minRemainingTime is how much longer a run is expected to take that has exceeded its
	// expected run time.
	minRemainingTime = 200 * time.Millisecond
	// machinesPerReservingStep limits the steps with reservations to about one for each so
	// many machines of a service. It bounds the processor time of a pass.
	machinesPerReservingStep = 10
	// backfillMargin multiplies the expected run time of a task that is to use reserved
	// capacity until the reservation starts: declared run times are off by up to a half.
	backfillMargin = 1.5
	// ticketLeadTime is how long before the start of its reservation, beyond the duration
	// of the advice request, a step requests its tickets.
	ticketLeadTime = 50 * time.Millisecond
	// reservationLogThreshold is how much later the expected start of a step must become to
	// be logged again.
	reservationLogThreshold = time.Second
)

// reservations hold capacity for gangs and persistent tasks that do not fit yet. Each
// search of such a step makes them again from what is running then. A later step may use
// reserved capacity if it ends before the reservation starts (backfilling).
type reservations struct {
	releases  map[*machineState][]release // the earliest first; computed on demand
	byMachine map[*machineState][]reservation
}

func newReservations() reservations {
	return reservations{releases: make(map[*machineState][]release), byMachine: make(map[*machineState][]reservation)}
}

// release is capacity that becomes free when a run ends.
type release struct {
	at       time.Duration // expected
	capacity machine.Resources
}

// reservation is capacity on a machine that is held for one task from a time on.
type reservation struct {
	from     time.Duration
	capacity machine.Resources
}

// expectedEnd returns when a run will probably end, and false if it is persistent and
// not being stopped.
func (e *Engine) expectedEnd(r *run, now time.Duration) (time.Duration, bool) {
	s := r.task.step
	switch {
	case r.state == runStopping:
		return now + e.cfg.StopLimit, true
	case s.spec.Persistent:
		return 0, false
	}
	runTime, ok := r.projected()
	if !ok {
		runTime = e.estimator.expected(s.occ.job.queue, s.spec)
	}
	start := r.confirmedAt
	if start == 0 {
		start = now
	}
	return max(start+runTime, now+minRemainingTime), true
}

// releases returns the expected releases of the runs on m, the earliest first.
func (p *pass) releases(m *machineState) []release {
	if out, ok := p.reservations.releases[m]; ok {
		return out
	}
	out := make([]release, 0, len(m.runs))
	for _, r := range m.runs {
		if end, ok := p.e.expectedEnd(r, p.now); ok {
			out = append(out, release{end, r.demand()})
		}
	}
	slices.SortFunc(out, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	p.reservations.releases[m] = out
	return out
}

// unreservedSlots returns how many tasks of s can run on m from now on without using
// capacity that is reserved from a time before they end. It does not check that the
// capacity is free now.
func (p *pass) unreservedSlots(s *step, m *machineState, expected time.Duration) int {
	n := len(s.tasks)
	end := p.now + time.Duration(backfillMargin*float64(expected))
	if s.spec.Persistent {
		end = math.MaxInt64
	}
	for _, b := range p.reservations.byMachine[m] {
		if end <= b.from {
			continue
		}
		free := p.unreservedCapacity(m)
		for _, r := range p.releases(m) {
			if r.at > b.from {
				break
			}
			free = free.Add(r.capacity)
		}
		n = min(n, countFitting(s, free))
	}
	return n
}

// unreservedCapacity returns the free capacity of m less all reservations, whenever they
// start. It can be negative.
func (p *pass) unreservedCapacity(m *machineState) machine.Resources {
	free := m.freeCapacity()
	for _, b := range p.reservations.byMachine[m] {
		free = free.Sub(b.capacity)
	}
	return free
}

// countFitting returns how many tasks of s fit into capacity, at most all of them.
func countFitting(s *step, capacity machine.Resources) int {
	need := s.spec.demand()
	n := len(s.tasks)
	fit := func(need, free int64) {
		if need > 0 {
			n = min(n, int(max(free, 0)/need))
		}
	}
	fit(need.CPUMilli, capacity.CPUMilli)
	fit(need.MemoryMiB, capacity.MemoryMiB)
	fit(need.Accelerators, capacity.Accelerators)
	return n
}

// slot is capacity for one task on a machine that is free from a time on.
type slot struct {
	from    time.Duration
	machine *machineState
}

// reserveSlots reserves capacity for n tasks of s that start together, on those allowed
// machines whose slots become free first. All slots are reserved from the time at which
// the last one is free. It requests tickets early enough for that start. It reserves
// nothing if enough steps have reservations, or if the machines never have n slots.
func (p *pass) reserveSlots(s *step, n int) {
	q := s.occ.job.queue
	shared := p.service(q.Service)
	if shared.reservingSteps > len(shared.machines)/machinesPerReservingStep {
		return
	}
	var slots []slot
	for _, m := range p.allowedMachines(s) {
		if p.eligible(s, m) {
			slots = p.futureSlots(slots, s, m)
		}
	}
	if len(slots) < n {
		return
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.from, b.from) })
	slots = slots[:n]
	start := slots[len(slots)-1].from
	for _, x := range slots {
		s.reservedSlots = append(s.reservedSlots, slot{start, x.machine})
	}
	p.keepReservations(s)
	machines := lo.Uniq(lo.Map(slots, func(x slot, _ int) *machineState { return x.machine }))
	if start > s.loggedStart+reservationLogThreshold {
		s.loggedStart = start
		p.e.log.Info().Str("event", "room_booked").Str("step", s.name).Int("tasks", n).Int("machines", len(machines)).
			Int("allowed", len(s.advice.allowed)).Int64("expected_start_ms", (start-p.now).Milliseconds()).
			Int64("waited_ms", (p.now - s.occ.job.arrived).Milliseconds()).Send()
	}
	if q.Advisor != nil && start-p.now < q.Advisor.CallDuration(len(machines))+ticketLeadTime {
		p.prepareAdviceRequest(s, p.staleTickets(s, machines), false)
	}
}

// keepReservations adds the slots that the last search of s has reserved to the
// reservations of this pass, and claims the room for them below the cap of the tenant.
func (p *pass) keepReservations(s *step) {
	if len(s.reservedSlots) > 0 {
		s.reservedSlots = s.reservedSlots[:p.e.quotaAllows(s, len(s.reservedSlots))]
	}
	if len(s.reservedSlots) == 0 {
		return
	}
	p.claimRoom(s, len(s.reservedSlots))
	p.service(s.occ.job.queue.Service).reservingSteps++
	for _, x := range s.reservedSlots {
		p.reservations.byMachine[x.machine] = append(p.reservations.byMachine[x.machine],
			reservation{x.from, s.spec.demand()})
	}
}

// futureSlots appends the slots for tasks of s on m that are free now or become free as
// runs end.
func (p *pass) futureSlots(slots []slot, s *step, m *machineState) []slot {
	maxSlots := slotsWhenEmpty(s, m)
	if s.spec.MaxPerMachine > 0 {
		maxSlots = min(maxSlots, s.spec.MaxPerMachine-m.runsPerStep[s])
	}
	n, free := 0, p.unreservedCapacity(m)
	add := func(at time.Duration) {
		for k := min(countFitting(s, free), maxSlots); n < k; n++ {
			slots = append(slots, slot{at, m})
		}
	}
	add(p.now)
	for _, r := range p.releases(m) {
		if n >= maxSlots {
			break
		}
		free = free.Add(r.capacity)
		add(r.at)
	}
	return slots
}
