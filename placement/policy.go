package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// policy is what differs between the kinds of job. The search runs the filter and
// score steps and returns one worker per task to place: for one task, or for all
// waiting tasks of a gang. With preempt, resources on the worker have to be freed by
// preemption. If plan is empty, missing is how many more tasks must fit before a new
// search can succeed. The plan is valid until the next search.
type policy struct {
	search func(e *Engine, s *shape, j *job, now time.Time) (plan []*node, missing int, preempt bool)
}

// policies has an entry for every kind that workload.Job.Validate accepts.
var policies = map[workload.Kind]policy{
	workload.Service: {searchService},
	workload.Batch:   {searchBatch},
	workload.Gang:    {searchGang},
}

// searchBatch packs: among the candidates it takes the worker that the task fills
// best.
func searchBatch(e *Engine, s *shape, j *job, now time.Time) ([]*node, int, bool) {
	var best *node
	bestScore := 0.0
	consider := func(n *node) bool {
		e.stats.NodesExamined++
		if !e.admits(n, s, j, now) {
			return false
		}
		if score := packScore(n, s.need) + e.failurePenalty(n, j); best == nil || score < bestScore {
			best, bestScore = n, score
		}
		return true
	}
	e.forEachCandidate(s, e.cfg.MaxCandidates/sampleStarts, consider)
	return e.singleNodePlan(best, s, j)
}

// sampleStarts is the number of random positions per pool from which a search of a
// large cell looks for candidates. From a fixed position it would pass the same full
// workers each time, at a cost that grows with the cell.
const sampleStarts = 4

// forEachCandidate calls consider for workers whose free resources hold a task of s.
// In a small cell it visits all of them, else the workers that follow random
// positions of each pool, until consider has accepted perStart of them per position.
// If none after a position is accepted, it searches the pool from its beginning for
// one, so it finds a worker if there is any.
func (e *Engine) forEachCandidate(s *shape, perStart int, consider func(*node) bool) {
	for _, p := range e.poolOrder {
		if !s.allowsPool(p.key) || len(p.nodes) == 0 {
			continue
		}
		if e.knownNodes <= e.cfg.ExactSearchWorkers {
			e.scanPool(p, s, 0, len(p.nodes), consider)
			continue
		}
		for range sampleStarts {
			start := e.rng.IntN(len(p.nodes))
			if e.scanPool(p, s, start, perStart, consider) == 0 && e.scanPool(p, s, 0, 1, consider) == 0 {
				break
			}
		}
	}
}

// scanPool calls consider for the workers of p, beginning at the index from, whose free
// resources hold a task of s. It stops when consider has accepted limit of them, and
// returns the number accepted.
func (e *Engine) scanPool(p *pool, s *shape, from, limit int, consider func(*node) bool) int {
	accepted := 0
	for i := p.freeIndex.next(from, s.need); i >= 0; i = p.freeIndex.next(i+1, s.need) {
		if consider(p.nodes[i]) {
			if accepted++; accepted >= limit {
				break
			}
		}
	}
	return accepted
}

// singleNodePlan returns a plan of the worker n. If n is nil and s is urgent, it
// looks for a worker on which preemption makes s fit.
func (e *Engine) singleNodePlan(n *node, s *shape, j *job) ([]*node, int, bool) {
	preempt := false
	if n == nil && s.urgent {
		n = e.searchPreempt(s, j)
		preempt = n != nil
	}
	if n == nil {
		return nil, 1, false
	}
	e.planBuf = append(e.planBuf[:0], n)
	return e.planBuf, 0, preempt
}

// searchService spreads the tasks of a job over zones, then racks, then workers.
// Among equals it packs, so that large free parts of workers remain for large tasks.
func searchService(e *Engine, s *shape, j *job, now time.Time) ([]*node, int, bool) {
	var best *node
	var bestScore float64
	consider := func(n *node) bool {
		e.stats.NodesExamined++
		if !e.admits(n, s, j, now) {
			return false
		}
		if score := e.spreadScore(n, s, j); best == nil || score < bestScore {
			best, bestScore = n, score
		}
		return true
	}
	e.forEachCandidate(s, 1, consider)
	return e.singleNodePlan(best, s, j)
}

// searchGang finds workers for all waiting tasks of j: in one pool, and so in one
// zone, if a pool can hold them all, else in several pools. If they do not all fit, it
// returns how many do not.
func searchGang(e *Engine, s *shape, j *job, now time.Time) ([]*node, int, bool) {
	e.planBuf = e.planBuf[:0]
	for _, p := range e.poolOrder {
		if !s.allowsPool(p.key) {
			continue
		}
		if e.addGangNodes(p, s, j, now); len(e.planBuf) == s.tasks {
			return e.planBuf, 0, false
		}
		e.planBuf = e.planBuf[:0]
	}
	for _, p := range e.poolOrder {
		if s.allowsPool(p.key) {
			e.addGangNodes(p, s, j, now)
		}
		if len(e.planBuf) == s.tasks {
			return e.planBuf, 0, false
		}
	}
	return nil, s.tasks - len(e.planBuf), false
}

// addGangNodes appends workers of p to e.planBuf, each as often as tasks of s fit
// on it, until there is one entry per task.
func (e *Engine) addGangNodes(p *pool, s *shape, j *job, now time.Time) {
	for i := p.freeIndex.next(0, s.need); i >= 0; i = p.freeIndex.next(i+1, s.need) {
		n := p.nodes[i]
		e.stats.NodesExamined++
		if !e.admits(n, s, j, now) {
			continue
		}
		for range countFits(s.need, n.free()) {
			if len(e.planBuf) == s.tasks {
				return
			}
			e.planBuf = append(e.planBuf, n)
		}
	}
}

// preemptionCandidates returns the limit of workers per pool that a search for a
// preemption scores.
func (e *Engine) preemptionCandidates() int {
	if e.knownNodes <= e.cfg.ExactSearchWorkers {
		return e.knownNodes
	}
	return e.cfg.MaxCandidates
}

// allowsPool reports whether s may run on the workers of the pool with the key k.
func (s *shape) allowsPool(k poolKey) bool {
	return s.inZone(k.zone) && (!k.accel || s.acceleratorsAllowed || s.lendingAllowed)
}

// admits is the part of the filter step that the index of free resources does not
// cover.
func (e *Engine) admits(n *node, s *shape, j *job, now time.Time) bool {
	return n.probationAllows(s) && (s.acceleratorsAllowed || s.need.Fits(s.freeOn(n))) && e.reservationAllows(n, s, j, now)
}

// packScore is lower for workers that are fuller, and whose free processors and free
// memory are more alike, with the task on them: a worker with processors but no
// memory left can take no further task.
func packScore(n *node, need machine.Resources) float64 {
	left := n.free().Sub(need)
	cpu := fraction(left.CPUMilli, n.Total.CPUMilli)
	memory := fraction(left.MemoryMiB, n.Total.MemoryMiB)
	accel := fraction(left.Accelerators, n.Total.Accelerators)
	if need.Accelerators == 0 && n.Total.Accelerators > 0 {
		accel += acceleratorNodePenalty
	}
	return cpu + memory + accel + imbalanceWeight*max(cpu-memory, memory-cpu)
}

// imbalanceWeight weighs the difference between the free shares of processors and
// memory against the sum of the free shares.
const imbalanceWeight = 1.0

// acceleratorNodePenalty puts workers with accelerators behind all others for tasks
// that need no accelerators. The rest of packScore is at most 4.
const acceleratorNodePenalty = 10

// fraction returns a divided by total, or 0 if total is not positive.
func fraction(a, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(a) / float64(total)
}

// spreadScore is lower for workers with fewer tasks of the job in their zone, then in
// their rack, then on them, then for better packing. The factors keep these levels
// apart, except that accelerators and failurePenalty can outweigh tasks on the same
// worker.
func (e *Engine) spreadScore(n *node, s *shape, j *job) float64 {
	sameJob := 0
	if j.racks[n.rack] > 0 {
		for _, t := range n.tasks {
			if t.job == j {
				sameJob++
			}
		}
	}
	return 1e6*float64(j.zones[n.Zone]) + 1e3*float64(j.racks[n.rack]) + 10*float64(sameJob) +
		packScore(n, s.need) + e.failurePenalty(n, j)
}

// failurePenalty is added to the score of workers on which the latest tasks of any job
// failed, on which j failed, or which the next task of j avoids. Without it, a worker
// on which every task fails soon would attract further tasks by being empty.
func (e *Engine) failurePenalty(n *node, j *job) float64 {
	penalty := 5 * float64(n.health.failureStreak)
	if len(j.failedOn) > 0 && j.failedOn[n.ID] {
		penalty += 100
	}
	if k := len(j.pending); k > 0 && j.tasks[j.pending[k-1]].avoidNode == n {
		penalty += 100
	}
	return penalty
}
