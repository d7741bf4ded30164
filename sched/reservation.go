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
	// overdue is how long a run is expected to go on that has outlived its expected
	// run time.
	minRemainingTime = 200 * time.Millisecond
	// machinesPerBooking bounds the steps that room is kept for to one for so many
	// machines of a service. It bounds the processor time of a pass.
	machinesPerReservingStep = 10
	// backfillMargin lengthens the expected run time of a task that uses booked room
	// before the gang can start: declared run times are off by up to a half.
	backfillMargin = 1.5
	// ticketLead is how long before its start, beyond the duration of the question, a
	// booked gang asks for its tickets.
	ticketLeadTime = 50 * time.Millisecond
	// bookingNews is how much later the expected start of a step must become to be
	// logged again.
	reservationLogThreshold = time.Second
)

// bookings keep room for gangs and lasting tasks that do not fit yet. They are made
// anew, from what is running then, whenever the step looks for room again. A later step may
// use booked room if it ends before the booked start (backfilling).
type reservations struct {
	releases  map[*machineState][]release // expected ends of runs, the first one first
	byMachine map[*machineState][]reservation
}

func newReservations() reservations {
	return reservations{releases: make(map[*machineState][]release), byMachine: make(map[*machineState][]reservation)}
}

// release is room that becomes free when a run ends.
type release struct {
	at       time.Duration
	capacity machine.Resources
}

// booking is room on a machine that is kept for one task from a time on.
type reservation struct {
	from     time.Duration
	capacity machine.Resources
}

// expectedEnd returns when a run will probably end, and false if it lasts.
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

// releases returns the expected ends of the runs on m.
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

// unbooked returns how many tasks of s m can take now without room that others
// have booked and need before they end.
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

// notBooked returns the free room of m less all that is booked. It can be below zero.
func (p *pass) unreservedCapacity(m *machineState) machine.Resources {
	free := m.freeCapacity()
	for _, b := range p.reservations.byMachine[m] {
		free = free.Sub(b.capacity)
	}
	return free
}

// fits returns how many tasks of s fit into room, all of them at most.
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

// slot is room for one task on a machine, free from a time on.
type slot struct {
	from    time.Duration
	machine *machineState
}

// book keeps room for n tasks that start together or as soon as they can, on those
// allowed machines that can hold all of them first. It asks for tickets in time.
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

// keepBooking enters the room that s has booked in this pass or the last one that
// looked for its room.
func (p *pass) keepReservations(s *step) {
	if len(s.reservedSlots) == 0 {
		return
	}
	p.service(s.occ.job.queue.Service).reservingSteps++
	for _, x := range s.reservedSlots {
		p.reservations.byMachine[x.machine] = append(p.reservations.byMachine[x.machine], reservation{x.from, s.spec.demand()})
	}
}

// futureSlots appends the room for tasks of s on m, now and as its runs end.
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
