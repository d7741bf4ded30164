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
	overdue = 200 * time.Millisecond
	// machinesPerBooking bounds the steps that room is kept for to one for so many
	// machines of a service. It bounds the processor time of a pass.
	machinesPerBooking = 10
	// backfillMargin lengthens the expected run time of a task that uses booked room
	// before the gang can start: declared run times are off by up to a half.
	backfillMargin = 1.5
	// ticketLead is how long before its start, beyond the duration of the question, a
	// booked gang asks for its tickets.
	ticketLead = 50 * time.Millisecond
	// bookingNews is how much later the expected start of a step must become to be
	// logged again.
	bookingNews = time.Second
)

// bookings keep room for gangs and lasting tasks that do not fit yet. They are made
// anew, from what is running then, whenever the step looks for room again. A later step may
// use booked room if it ends before the booked start (backfilling).
type bookings struct {
	ends map[*machineState][]release // expected ends of runs, the first one first
	room map[*machineState][]booking
}

func newBookings() bookings {
	return bookings{ends: make(map[*machineState][]release), room: make(map[*machineState][]booking)}
}

// release is room that becomes free when a run ends.
type release struct {
	at   time.Duration
	room machine.Resources
}

// booking is room on a machine that is kept for one task from a time on.
type booking struct {
	at   time.Duration
	room machine.Resources
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
	total, ok := r.projected()
	if !ok {
		total = e.speeds.expected(s.occ.job.queue, s.spec)
	}
	began := r.started
	if began == 0 {
		began = now
	}
	return max(began+total, now+overdue), true
}

// releases returns the expected ends of the runs on m.
func (p *pass) releases(m *machineState) []release {
	if out, ok := p.bookings.ends[m]; ok {
		return out
	}
	out := make([]release, 0, len(m.runs))
	for _, r := range m.runs {
		if at, ok := p.e.expectedEnd(r, p.now); ok {
			out = append(out, release{at, r.holds()})
		}
	}
	slices.SortFunc(out, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	p.bookings.ends[m] = out
	return out
}

// unbooked returns how many tasks of s m can take now without room that others
// have booked and need before they end.
func (p *pass) unbooked(s *step, m *machineState, expected time.Duration) int {
	n := len(s.tasks)
	ends := p.now + time.Duration(backfillMargin*float64(expected))
	if s.spec.Persistent {
		ends = math.MaxInt64
	}
	for _, b := range p.bookings.room[m] {
		if ends <= b.at {
			continue
		}
		free := p.notBooked(m)
		for _, r := range p.releases(m) {
			if r.at > b.at {
				break
			}
			free = free.Add(r.room)
		}
		n = min(n, fits(s, free))
	}
	return n
}

// notBooked returns the free room of m less all that is booked. It can be below zero.
func (p *pass) notBooked(m *machineState) machine.Resources {
	free := m.free()
	for _, b := range p.bookings.room[m] {
		free = free.Sub(b.room)
	}
	return free
}

// fits returns how many tasks of s fit into room, all of them at most.
func fits(s *step, room machine.Resources) int {
	need := s.spec.holds()
	n := len(s.tasks)
	fit := func(need, free int64) {
		if need > 0 {
			n = min(n, int(max(free, 0)/need))
		}
	}
	fit(need.CPUMilli, room.CPUMilli)
	fit(need.MemoryMiB, room.MemoryMiB)
	fit(need.Accelerators, room.Accelerators)
	return n
}

// slot is room for one task on a machine, free from a time on.
type slot struct {
	at time.Duration
	m  *machineState
}

// book keeps room for n tasks that start together or as soon as they can, on those
// allowed machines that can hold all of them first. It asks for tickets in time.
func (p *pass) book(s *step, n int) {
	q := s.occ.job.queue
	sp := p.service(q.Service)
	if sp.booked > len(sp.machines)/machinesPerBooking {
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
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.at, b.at) })
	slots = slots[:n]
	start := slots[len(slots)-1].at
	for _, x := range slots {
		s.kept = append(s.kept, slot{start, x.m})
	}
	p.keepBooking(s)
	machines := lo.Uniq(lo.Map(slots, func(x slot, _ int) *machineState { return x.m }))
	if start > s.booked+bookingNews {
		s.booked = start
		p.e.log.Info().Str("event", "room_booked").Str("step", s.name).Int("tasks", n).Int("machines", len(machines)).
			Int("allowed", len(s.advice.allowed)).Int64("expected_start_ms", (start-p.now).Milliseconds()).
			Int64("waited_ms", (p.now - s.occ.job.arrived).Milliseconds()).Send()
	}
	if q.Advisor != nil && start-p.now < q.Advisor.CallDuration(len(machines))+ticketLead {
		p.wantAdvice(s, p.stale(s, machines), false)
	}
}

// keepBooking enters the room that s has booked in this pass or the last one that
// looked for its room.
func (p *pass) keepBooking(s *step) {
	if len(s.kept) == 0 {
		return
	}
	p.service(s.occ.job.queue.Service).booked++
	for _, x := range s.kept {
		p.bookings.room[x.m] = append(p.bookings.room[x.m], booking{x.at, s.spec.holds()})
	}
}

// futureSlots appends the room for tasks of s on m, now and as its runs end.
func (p *pass) futureSlots(slots []slot, s *step, m *machineState) []slot {
	most := wholeSlots(s, m)
	if s.spec.MaxPerMachine > 0 {
		most = min(most, s.spec.MaxPerMachine-m.perStep[s])
	}
	n, free := 0, p.notBooked(m)
	add := func(at time.Duration) {
		for k := min(fits(s, free), most); n < k; n++ {
			slots = append(slots, slot{at, m})
		}
	}
	add(p.now)
	for _, r := range p.releases(m) {
		if n >= most {
			break
		}
		free = free.Add(r.room)
		add(r.at)
	}
	return slots
}
