package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// reservation holds workers for the first job of a blocked shape, so that a
// stream of smaller work cannot starve it. It reserves a time, not free
// resources: until then, other work that ends early enough, or that leaves the
// reserved room, may use the workers (backfill).
type reservation struct {
	shape    *shape
	priority workload.Priority
	at       time.Time // when the room is expected
	nodes    []*node
}

// reserveNodes bounds the workers that are considered for one reservation in a
// large cell; a gang considers four times the workers that it needs.
const reserveNodes = 64

// considerAt makes Decide look for reservations at the time t, if not earlier.
func (e *Engine) considerAt(t time.Time) {
	if e.nextReserve.IsZero() || t.Before(e.nextReserve) {
		e.nextReserve = t
	}
}

// reserveBlocked gives reservations to the first jobs among the blocked shapes
// and renews those whose time has passed.
func (e *Engine) reserveBlocked(now time.Time) {
	if e.nextReserve.IsZero() || now.Before(e.nextReserve) {
		return
	}
	e.nextReserve = time.Time{}
	for _, r := range slices.Clone(e.resvs) {
		if now.After(r.at) {
			e.dropReservation(r.shape)
		} else {
			e.considerAt(r.at.Add(time.Millisecond))
		}
	}
	for _, c := range e.reserveCandidates(now) {
		if len(e.resvs) >= e.cfg.MaxReservations {
			return
		}
		// Workers drain at a cost; a second gang waits for those of the first.
		if c.shape.kind == workload.Gang && slices.ContainsFunc(e.resvs, func(r *reservation) bool { return r.shape.kind == workload.Gang }) {
			continue
		}
		if !e.reserve(c.shape, c.job, now) {
			e.considerAt(now.Add(10 * e.cfg.ReserveAfter))
		}
	}
}

// reserveCandidate is the first waiting job of a blocked shape.
type reserveCandidate struct {
	shape *shape
	job   *job
}

// reserveCandidates returns the jobs that have waited long enough for a
// reservation, in the order of their turn, and lets teams below their quota take
// borrowed resources back.
func (e *Engine) reserveCandidates(now time.Time) []reserveCandidate {
	var out []reserveCandidate
	for _, s := range e.blocked {
		e.stats.QueueSteps++
		if !s.doomed.IsZero() {
			continue
		}
		for _, g := range s.groups {
			e.reclaim(g, now)
		}
		if s.resv != nil {
			continue
		}
		if due := s.since.Add(e.cfg.ReserveAfter); due.After(now) {
			e.considerAt(due)
			continue
		}
		if j := s.first(); j != nil {
			out = append(out, reserveCandidate{s, j})
		}
	}
	slices.SortFunc(out, func(a, b reserveCandidate) int {
		if before(a.job, b.job) {
			return -1
		}
		return 1
	})
	return out
}

// first returns the first waiting job of s over all teams, or nil.
func (s *shape) first() *job {
	var best *job
	for _, g := range s.groups {
		if j := g.head(); j != nil && !g.parked && (best == nil || before(j, best)) {
			best = j
		}
	}
	return best
}

// release is the expected end of a task.
type expectedEnd struct {
	at   time.Time
	node int
	res  machine.Resources
}

// reserve finds the earliest time at which the candidates hold s, going by the
// expected ends of their tasks, and reserves the workers with the most room then.
func (e *Engine) reserve(s *shape, j *job, now time.Time) bool {
	nodes := e.reservable(s)
	free := make([]machine.Resources, len(nodes))
	slots := make([]int, len(nodes))
	var ends []expectedEnd
	sum := 0
	for i, n := range nodes {
		free[i] = n.free()
		slots[i] = times(s.need, free[i])
		sum += slots[i]
		for _, t := range n.tasks {
			if at, ok := t.end(now); ok {
				ends = append(ends, expectedEnd{at, i, t.res})
			}
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	at := now
	for _, end := range ends {
		if sum >= s.tasks {
			break
		}
		e.stats.QueueSteps++
		i := end.node
		free[i] = free[i].Add(end.res)
		sum -= slots[i]
		slots[i] = times(s.need, free[i])
		sum += slots[i]
		at = end.at
	}
	if sum < s.tasks {
		return false
	}
	order := make([]int, len(nodes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(slots[b], slots[a]) })
	r := &reservation{shape: s, priority: j.spec.Priority, at: at}
	for left := s.tasks; left > 0; {
		i := order[0]
		order = order[1:]
		n := nodes[i]
		n.resv, n.slots = r, min(slots[i], left)
		left -= n.slots
		r.nodes = append(r.nodes, n)
	}
	s.resv = r
	e.resvs = append(e.resvs, r)
	e.considerAt(at.Add(time.Millisecond))
	return true
}

// reservable returns workers that could hold tasks of s and are not reserved.
func (e *Engine) reservable(s *shape) []*node {
	var out []*node
	room := 0
	for _, p := range e.poolList {
		if !s.allowsPool(p.key) || len(p.slots) == 0 {
			continue
		}
		start := 0
		if e.known > e.cfg.ExactSearchWorkers {
			start = e.rng.IntN(len(p.slots))
		}
		for i := range p.slots {
			n := p.slots[(start+i)%len(p.slots)]
			e.stats.NodesExamined++
			if n == nil || !n.open() || n.resv != nil || n.health.state != healthy {
				continue
			}
			if k := times(s.need, n.Total); k > 0 {
				out = append(out, n)
				room += k
			}
			if e.known > e.cfg.ExactSearchWorkers && len(out) >= reserveNodes && room >= 4*s.tasks {
				return out
			}
		}
	}
	return out
}

// dropReservation ends the reservation of s, if it has one, and wakes what its
// workers can now take.
func (e *Engine) dropReservation(s *shape) {
	r := s.resv
	if r == nil {
		return
	}
	s.resv = nil
	e.resvs = removeItem(e.resvs, r)
	for _, n := range r.nodes {
		n.resv, n.slots = nil, 0
	}
	for _, n := range r.nodes {
		e.freed(n, none)
	}
	if len(e.blocked) > 0 {
		e.considerAt(e.clock.Add(e.cfg.ReserveAfter))
	}
}

// backfills reports whether a task of s may go to n in spite of a reservation:
// it is of the reserved shape or of higher priority, ends before the reserved
// time, or leaves the reserved room.
func (e *Engine) backfills(n *node, s *shape, j *job, now time.Time) bool {
	r := n.resv
	if r == nil || r.shape == s || j.spec.Priority > r.priority {
		return true
	}
	if s.run > 0 && s.kind != workload.Service && !now.Add(s.run).After(r.at) {
		return true
	}
	// A gang may take several slots of the worker, so only single tasks are
	// compared with the room that is left.
	if s.kind == workload.Gang {
		return false
	}
	then := n.free()
	for _, t := range n.tasks {
		if at, ok := t.end(now); ok && !at.After(r.at) {
			then = then.Add(t.res)
		}
	}
	return r.shape.need.Scale(int64(n.slots)).Fits(then.Sub(s.need))
}
