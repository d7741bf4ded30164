package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// policy is what the kinds of job do differently: the search runs the filter
// and score steps and returns a worker per task to place (one task, or all of a
// gang). Without a result it returns how many fits are missing.
type policy struct {
	search func(e *Engine, s *shape, j *job, now time.Time) (plan []*node, missing int, preempt bool)
}

var policies = map[workload.Kind]policy{
	workload.Service: {searchService},
	workload.Batch:   {searchBatch},
	workload.Gang:    {searchGang},
}

// searchBatch packs: it takes the feasible worker that the task fills best.
func searchBatch(e *Engine, s *shape, j *job, now time.Time) ([]*node, int, bool) {
	var best *node
	bestScore := 0.0
	consider := func(n *node) bool {
		e.stats.NodesExamined++
		if !e.admits(n, s, j, now) {
			return false
		}
		if sc := packScore(n, s.need) + e.distrust(n, j); best == nil || sc < bestScore {
			best, bestScore = n, sc
		}
		return true
	}
	e.each(s, e.cfg.BatchCandidates/sampleStarts, consider)
	return e.single(best, s, j)
}

// sampleStarts is the number of random places at which a search of a large cell
// looks for feasible workers, per zone. From a fixed place it would cross the
// same full workers each time, at a cost that grows with the cell.
const sampleStarts = 4

// each calls consider for the workers with room for s: for all of them in a
// small cell, else for up to run accepted workers in a row from random places of
// each zone. No worker is out of reach: if none was accepted, all are visited.
func (e *Engine) each(s *shape, run int, consider func(*node) bool) {
	for _, p := range e.poolList {
		if !s.allowsPool(p.key) || len(p.slots) == 0 {
			continue
		}
		if e.known <= e.cfg.ExactSearchWorkers {
			e.scan(p, s, 0, len(p.slots), consider)
			continue
		}
		for range sampleStarts {
			from := e.rng.IntN(len(p.slots))
			if e.scan(p, s, from, run, consider) == 0 && e.scan(p, s, 0, 1, consider) == 0 {
				break
			}
		}
	}
}

// scan calls consider for the workers of p with room for s from a slot on, until
// limit are accepted, and returns how many were.
func (e *Engine) scan(p *pool, s *shape, from, limit int, consider func(*node) bool) int {
	seen := 0
	for i := p.free.next(from, s.need); i >= 0; i = p.free.next(i+1, s.need) {
		if consider(p.slots[i]) {
			if seen++; seen >= limit {
				break
			}
		}
	}
	return seen
}

// single returns a plan of one worker, or of one found by preemption.
func (e *Engine) single(n *node, s *shape, j *job) ([]*node, int, bool) {
	preempt := false
	if n == nil && s.urgent {
		n = e.searchPreempt(s, j)
		preempt = n != nil
	}
	if n == nil {
		return nil, 1, false
	}
	e.plan = append(e.plan[:0], n)
	return e.plan, 0, preempt
}

// searchService spreads over zones, then racks, then workers. Among equals it
// packs, so that services leave large gaps for large tasks.
func searchService(e *Engine, s *shape, j *job, now time.Time) ([]*node, int, bool) {
	var best *node
	var bestScore float64
	consider := func(n *node) bool {
		e.stats.NodesExamined++
		if !e.admits(n, s, j, now) {
			return false
		}
		if sc := e.spreadScore(n, s, j); best == nil || sc < bestScore {
			best, bestScore = n, sc
		}
		return true
	}
	e.each(s, 1, consider)
	return e.single(best, s, j)
}

// searchGang finds workers for all waiting tasks of j, in one zone if one zone
// has room, or counts how many fits are missing.
func searchGang(e *Engine, s *shape, j *job, now time.Time) ([]*node, int, bool) {
	e.plan = e.plan[:0]
	for _, p := range e.poolList {
		if !s.allowsPool(p.key) {
			continue
		}
		if e.collect(p, s, j, now); len(e.plan) == s.tasks {
			return e.plan, 0, false
		}
		e.plan = e.plan[:0]
	}
	for _, p := range e.poolList {
		if s.allowsPool(p.key) {
			e.collect(p, s, j, now)
		}
		if len(e.plan) == s.tasks {
			return e.plan, 0, false
		}
	}
	return nil, s.tasks - len(e.plan), false
}

// collect adds workers of p to the plan until the gang is complete.
func (e *Engine) collect(p *pool, s *shape, j *job, now time.Time) {
	for i := p.free.next(0, s.need); i >= 0; i = p.free.next(i+1, s.need) {
		n := p.slots[i]
		e.stats.NodesExamined++
		if !e.admits(n, s, j, now) {
			continue
		}
		for range times(s.need, n.free()) {
			if len(e.plan) == s.tasks {
				return
			}
			e.plan = append(e.plan, n)
		}
	}
}

// candidates returns how many feasible workers of a pool are scored.
func (e *Engine) candidates() int {
	if e.known <= e.cfg.ExactSearchWorkers {
		return e.known
	}
	return e.cfg.BatchCandidates
}

func (s *shape) allowsPool(k poolKey) bool {
	return s.inZone(k.zone) && (!k.accel || s.accelOK || s.borrows)
}

// admits is the part of the filter step that the index does not cover.
func (e *Engine) admits(n *node, s *shape, j *job, now time.Time) bool {
	return n.probeable(s) && (s.accelOK || s.need.Fits(s.room(n))) && e.backfills(n, s, j, now)
}

// packScore is lower for workers that the task leaves fuller and in balance: a
// worker with processors but no memory left can take no further task.
func packScore(n *node, need machine.Resources) float64 {
	left := n.free().Sub(need)
	c := fraction(left.CPUMilli, n.Total.CPUMilli)
	m := fraction(left.MemoryMiB, n.Total.MemoryMiB)
	a := fraction(left.Accelerators, n.Total.Accelerators)
	if need.Accelerators == 0 && n.Total.Accelerators > 0 {
		a += lentPenalty
	}
	return c + m + a + imbalanceWeight*max(c-m, m-c)
}

// imbalanceWeight weighs the difference between free processors and free memory
// against their sum.
const imbalanceWeight = 1.0

// lentPenalty puts accelerator workers behind all others for tasks that need no
// accelerators.
const lentPenalty = 10

func fraction(a, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(a) / float64(total)
}

// spreadScore orders by tasks of the job in the zone, in the rack and on the
// worker, then by packing. The factors keep the levels apart.
func (e *Engine) spreadScore(n *node, s *shape, j *job) float64 {
	same := 0
	if j.racks[n.rack] > 0 {
		for _, t := range n.tasks {
			if t.job == j {
				same++
			}
		}
	}
	return 1e6*float64(j.zones[n.Zone]) + 1e3*float64(j.racks[n.rack]) + 10*float64(same) +
		packScore(n, s.need) + e.distrust(n, j)
}

// distrust is added to the score of workers on which the job or the last tasks
// failed, so that a worker that fails fast attracts nothing by being empty.
func (e *Engine) distrust(n *node, j *job) float64 {
	d := 5 * float64(n.health.streak)
	if len(j.failedOn) > 0 && j.failedOn[n.ID] {
		d += 100
	}
	if k := len(j.pending); k > 0 && j.tasks[j.pending[k-1]].avoid == n {
		d += 100
	}
	return d
}
