package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// reservation holds workers for the first job of a blocked shape, so that a stream
// of smaller work cannot starve it. It does not hold free resources but the capacity
// that the workers will have at expectedAt: other work may use them if it ends before
// that or leaves the reserved capacity free (backfill).
type reservation struct {
	shape      *shape
	priority   workload.Priority // of the first job when the reservation was made
	expectedAt time.Time         // when the reserved capacity is expected to be free
	nodes      []*node
}

// reserveCandidateNodes is the number of workers that are considered for one
// reservation in a large cell. More are considered until they could hold, when
// empty, four times the tasks that are needed together.
const reserveCandidateNodes = 64

// scheduleReserve makes Decide call reserveBlocked at t, if it will not do so
// earlier.
func (e *Engine) scheduleReserve(t time.Time) {
	if e.nextReserve.IsZero() || t.Before(e.nextReserve) {
		e.nextReserve = t
	}
}

// reserveBlocked makes reservations for the first jobs of blocked shapes, and calls
// reclaim for their groups. It drops the reservations whose time has passed, so that
// they are made anew.
func (e *Engine) reserveBlocked(now time.Time) {
	if e.nextReserve.IsZero() || now.Before(e.nextReserve) {
		return
	}
	e.nextReserve = time.Time{}
	for _, r := range slices.Clone(e.reservations) {
		if now.After(r.expectedAt) {
			e.dropReservation(r.shape)
		} else {
			e.scheduleReserve(r.expectedAt.Add(time.Millisecond))
		}
	}
	for _, candidate := range e.reserveCandidates(now) {
		if len(e.reservations) >= e.cfg.MaxReservations {
			return
		}
		// Workers that empty for a gang are badly used meanwhile, so only one gang
		// has a reservation at a time.
		if candidate.shape.kind == workload.Gang && slices.ContainsFunc(e.reservations, func(r *reservation) bool { return r.shape.kind == workload.Gang }) {
			continue
		}
		if !e.reserve(candidate.shape, candidate.job, now) {
			e.scheduleReserve(now.Add(10 * e.cfg.ReserveAfter))
		}
	}
}

// reserveCandidate is the first waiting job of a blocked shape without a reservation.
type reserveCandidate struct {
	shape *shape
	job   *job
}

// reserveCandidates returns the jobs that have waited long enough for a reservation,
// in the order of their turn. It also calls reclaim for every group of a blocked
// shape that is not impossible.
func (e *Engine) reserveCandidates(now time.Time) []reserveCandidate {
	var out []reserveCandidate
	for _, s := range e.blocked {
		e.stats.QueueSteps++
		if !s.impossibleSince.IsZero() {
			continue
		}
		for _, g := range s.groups {
			e.reclaim(g, now)
		}
		if s.reservation != nil {
			continue
		}
		if eligibleAt := s.blockedSince.Add(e.cfg.ReserveAfter); eligibleAt.After(now) {
			e.scheduleReserve(eligibleAt)
			continue
		}
		if j := s.firstJob(); j != nil {
			out = append(out, reserveCandidate{s, j})
		}
	}
	slices.SortFunc(out, func(a, b reserveCandidate) int {
		if jobBefore(a.job, b.job) {
			return -1
		}
		return 1
	})
	return out
}

// firstJob returns the first waiting job of s over all groups that are not parked, or
// nil.
func (s *shape) firstJob() *job {
	var best *job
	for _, g := range s.groups {
		if j := g.head(); j != nil && !g.parked && (best == nil || jobBefore(j, best)) {
			best = j
		}
	}
	return best
}

// expectedEnd is when a task is expected to end and what it then frees.
type expectedEnd struct {
	at        time.Time
	nodeIndex int // in the list of workers that reserve considers
	freed     machine.Resources
}

// reserve finds the earliest time at which, going by the expected ends of tasks, the
// workers considered can hold s, and reserves those for s that can then hold the
// most of its tasks. It returns false if the tasks whose end can be expected do not
// free enough.
func (e *Engine) reserve(s *shape, j *job, now time.Time) bool {
	nodes := e.reservableNodes(s)
	free := make([]machine.Resources, len(nodes))
	fitsOn := make([]int, len(nodes))
	var ends []expectedEnd
	fits := 0
	for i, n := range nodes {
		free[i] = n.free()
		fitsOn[i] = countFits(s.need, free[i])
		fits += fitsOn[i]
		for _, t := range n.tasks {
			if expectedAt, ok := t.expectedEnd(now); ok {
				ends = append(ends, expectedEnd{expectedAt, i, t.held})
			}
		}
	}
	slices.SortFunc(ends, func(a, b expectedEnd) int { return a.at.Compare(b.at) })
	expectedAt := now
	for _, end := range ends {
		if fits >= s.tasks {
			break
		}
		e.stats.QueueSteps++
		i := end.nodeIndex
		free[i] = free[i].Add(end.freed)
		fits -= fitsOn[i]
		fitsOn[i] = countFits(s.need, free[i])
		fits += fitsOn[i]
		expectedAt = end.at
	}
	if fits < s.tasks {
		return false
	}
	order := make([]int, len(nodes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(fitsOn[b], fitsOn[a]) })
	r := &reservation{shape: s, priority: j.spec.Priority, expectedAt: expectedAt}
	for remaining := s.tasks; remaining > 0; {
		i := order[0]
		order = order[1:]
		n := nodes[i]
		n.reservation, n.reservedTasks = r, min(fitsOn[i], remaining)
		remaining -= n.reservedTasks
		r.nodes = append(r.nodes, n)
	}
	s.reservation = r
	e.reservations = append(e.reservations, r)
	e.scheduleReserve(expectedAt.Add(time.Millisecond))
	return true
}

// reservableNodes returns healthy workers that are not reserved and could hold tasks
// of s when empty.
func (e *Engine) reservableNodes(s *shape) []*node {
	var out []*node
	fits := 0
	for _, p := range e.poolOrder {
		if !s.allowsPool(p.key) || len(p.nodes) == 0 {
			continue
		}
		start := 0
		if e.knownNodes > e.cfg.ExactSearchWorkers {
			start = e.rng.IntN(len(p.nodes))
		}
		for i := range p.nodes {
			n := p.nodes[(start+i)%len(p.nodes)]
			e.stats.NodesExamined++
			if n == nil || !n.acceptsTasks() || n.reservation != nil || n.health.state != healthy {
				continue
			}
			if fit := countFits(s.need, n.Total); fit > 0 {
				out = append(out, n)
				fits += fit
			}
			if e.knownNodes > e.cfg.ExactSearchWorkers && len(out) >= reserveCandidateNodes && fits >= 4*s.tasks {
				return out
			}
		}
	}
	return out
}

// dropReservation ends the reservation of s, if it has one, and unblocks the shapes
// that its workers can now take.
func (e *Engine) dropReservation(s *shape) {
	r := s.reservation
	if r == nil {
		return
	}
	s.reservation = nil
	e.reservations = removeItem(e.reservations, r)
	for _, n := range r.nodes {
		n.reservation, n.reservedTasks = nil, 0
	}
	for _, n := range r.nodes {
		e.unblockFitting(n, noCapacity)
	}
	if len(e.blocked) > 0 {
		e.scheduleReserve(e.clock.Add(e.cfg.ReserveAfter))
	}
}

// reservationAllows reports whether a task of s may go to n in spite of a reservation
// of n: it is of the reserved shape or of higher priority, is expected to end before
// the reserved time, or leaves the reserved capacity free at that time.
func (e *Engine) reservationAllows(n *node, s *shape, j *job, now time.Time) bool {
	r := n.reservation
	if r == nil || r.shape == s || j.spec.Priority > r.priority {
		return true
	}
	if s.expectedRunTime > 0 && s.kind != workload.Service && !now.Add(s.expectedRunTime).After(r.expectedAt) {
		return true
	}
	// Several tasks of a gang may go to the worker, so what one task leaves free says
	// nothing about a gang.
	if s.kind == workload.Gang {
		return false
	}
	freeThen := n.free()
	for _, t := range n.tasks {
		if at, ok := t.expectedEnd(now); ok && !at.After(r.expectedAt) {
			freeThen = freeThen.Add(t.held)
		}
	}
	return r.shape.need.Scale(int64(n.reservedTasks)).Fits(freeThen.Sub(s.need))
}
