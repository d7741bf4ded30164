package placement

import (
	"cmp"
	"slices"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// searchPreempt returns a worker on which preemption makes an urgent task of s fit,
// or nil: the one of which the smallest share has to be freed. Only urgent work
// preempts and urgent work is never a victim, so no preemption causes another one.
func (e *Engine) searchPreempt(s *shape, j *job) *node {
	var best *node
	bestCost := 0.0
	for _, p := range e.poolOrder {
		if !s.allowsPool(p.key) || len(p.nodes) == 0 {
			continue
		}
		start, scored := 0, 0
		if e.knownNodes > e.cfg.ExactSearchWorkers {
			start = e.rng.IntN(len(p.nodes))
		}
		for i := p.preemptIndex.next(start, s.need); scored < e.preemptionCandidates(); i = p.preemptIndex.next(i+1, s.need) {
			if i < 0 {
				if start == 0 {
					break
				}
				start, i = 0, -1 // wrap around once
				continue
			}
			n := p.nodes[i]
			e.stats.NodesExamined++
			if !n.probationAllows(s) {
				continue
			}
			scored++
			if cost := preemptCost(n, s.need) + e.failurePenalty(n, j); best == nil || cost < bestCost {
				best, bestCost = n, cost
			}
		}
	}
	return best
}

// preemptCost is the sum, over the dimensions, of the share of n that must be freed
// for need.
func preemptCost(n *node, need machine.Resources) float64 {
	free := n.free()
	return fraction(max(need.CPUMilli-free.CPUMilli, 0), n.Total.CPUMilli) +
		fraction(max(need.MemoryMiB-free.MemoryMiB, 0), n.Total.MemoryMiB) +
		fraction(max(need.Accelerators-free.Accelerators, 0), n.Total.Accelerators)
}

// maxExactVictims is the number of candidate victims up to which all their sets are
// compared; with more of them, a greedy search is used.
const maxExactVictims = 10

// Victims returns the cheapest set of running tasks of one worker whose preemption
// makes need fit into its free resources, for work of priority p, and false if there
// is none. If need fits already, the set is empty. Checkpoints are preferred to
// throttling and throttling to stopping; within a mode, fewer tasks, then lower
// priority, then less freed resources are preferred. With more than maxExactVictims
// candidates the set may not be the cheapest. Only urgent work preempts, and only
// preemptible tasks that are not urgent are victims.
func (e *Engine) Victims(running []workload.Task, free, need machine.Resources, p workload.Priority) ([]Victim, bool) {
	if need.Fits(free) {
		return nil, true
	}
	if p < workload.Urgent {
		return nil, false
	}
	var candidates []workload.Task
	for _, t := range running {
		if t.Preemptible && t.Priority < workload.Urgent {
			candidates = append(candidates, t)
		}
	}
	// The first level allows only the cheapest mode; later levels allow more expensive ones.
	for level := range preemptLevels {
		var options []Victim
		for _, t := range candidates {
			if m, ok := e.modeAtLevel(t, level); ok {
				options = append(options, Victim{Task: t, Mode: m})
			}
		}
		if v := e.cheapestVictims(options, free, need); v != nil {
			return v, true
		}
	}
	return nil, false
}

// preemptLevels is the number of levels of modeAtLevel: checkpoints only, also
// throttling, and stops instead of throttling.
const preemptLevels = 3

// modeAtLevel returns how t is preempted at a level, and false if it is not. A batch
// task writes a checkpoint. A service task keeps serving while it is throttled, but
// at the last level it is stopped. A gang is only stopped, because a slow or absent
// member holds up all others.
func (e *Engine) modeAtLevel(t workload.Task, level int) (PreemptMode, bool) {
	switch {
	case t.Kind == workload.Batch:
		return PreemptCheckpoint, true
	case level >= 1 && level < 2 && t.Kind == workload.Service && e.cfg.ThrottleFreesPermille > 0:
		return PreemptThrottle, true
	case level >= 2:
		return PreemptStop, true
	}
	return "", false
}

// freedBy returns what preempting v frees.
func (e *Engine) freedBy(v Victim) machine.Resources {
	if v.Mode == PreemptThrottle {
		return e.freedByThrottling(v.Task.Resources)
	}
	return v.Task.Resources
}

// freedByThrottling returns the part of res that throttling frees.
func (e *Engine) freedByThrottling(res machine.Resources) machine.Resources {
	return machine.Resources{CPUMilli: res.CPUMilli * e.cfg.ThrottleFreesPermille / 1000}
}

// cheapestVictims returns the cheapest subset of options that makes need fit, or nil.
func (e *Engine) cheapestVictims(options []Victim, free, need machine.Resources) []Victim {
	if len(options) > maxExactVictims {
		return e.greedyVictims(options, free, need)
	}
	best, bestCost := uint32(0), 0.0
	for set := uint32(1); set < 1<<len(options); set++ {
		sum, cost := free, 0.0
		for i, v := range options {
			if set&(1<<i) != 0 {
				freed := e.freedBy(v)
				sum = sum.Add(freed)
				cost += victimCost(v, freed)
			}
		}
		if need.Fits(sum) && (best == 0 || cost < bestCost) {
			best, bestCost = set, cost
		}
	}
	if best == 0 {
		return nil
	}
	var out []Victim
	for i, v := range options {
		if best&(1<<i) != 0 {
			out = append(out, v)
		}
	}
	return out
}

// victimCost orders victims by the mode, then the priority, then what they free. The
// constant per victim makes fewer victims cheaper.
func victimCost(v Victim, frees machine.Resources) float64 {
	size := float64(frees.CPUMilli) + float64(frees.MemoryMiB) + 1000*float64(frees.Accelerators)
	return modeCost[v.Mode] + 1 + float64(v.Task.Priority)/100 + size/1e9
}

// modeCost keeps the modes apart in victimCost.
var modeCost = map[PreemptMode]float64{PreemptCheckpoint: 0, PreemptThrottle: 1e2, PreemptStop: 1e4}

// greedyVictims adds victims, the cheapest first, until need fits, and then removes
// those that are not needed, the most expensive first. Of victims of the same mode and
// priority, it takes the largest first. It returns nil if all options together are not
// enough.
func (e *Engine) greedyVictims(options []Victim, free, need machine.Resources) []Victim {
	slices.SortStableFunc(options, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(modeCost[a.Mode], modeCost[b.Mode]), cmp.Compare(a.Task.Priority, b.Task.Priority),
			cmp.Compare(dominantShare(b.Task.Resources, need), dominantShare(a.Task.Resources, need)))
	})
	sum := free
	var out []Victim
	for _, v := range options {
		if need.Fits(sum) {
			break
		}
		sum = sum.Add(e.freedBy(v))
		out = append(out, v)
	}
	if !need.Fits(sum) {
		return nil
	}
	for i := len(out) - 1; i >= 0; i-- {
		if less := sum.Sub(e.freedBy(out[i])); need.Fits(less) {
			sum = less
			out = append(out[:i], out[i+1:]...)
		}
	}
	return out
}

// setThrottled records that t is throttled, or that it runs at full speed again, and
// adjusts what it holds.
func (e *Engine) setThrottled(t *task, on bool) {
	if t.throttled == on {
		return
	}
	n := t.node
	delta := e.freedByThrottling(t.held)
	if on {
		delta = delta.Scale(-1)
	} else {
		delta = e.freedByThrottling(t.unthrottled)
	}
	freeBefore := n.free()
	t.throttled = on
	if on {
		t.unthrottled = t.held
	}
	t.held = t.held.Add(delta)
	e.addUsage(t, n, delta)
	e.unblockFitting(n, freeBefore)
}
