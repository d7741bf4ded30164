package placement

import (
	"cmp"
	"slices"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// searchPreempt returns the worker on which preemption frees room for an urgent
// task of s with the smallest shortfall, or nil. Only urgent work preempts and
// urgent work is never a victim, so no preemption causes another one.
func (e *Engine) searchPreempt(s *shape, j *job) *node {
	var best *node
	bestCost := 0.0
	for _, p := range e.poolList {
		if !s.allowsPool(p.key) || len(p.slots) == 0 {
			continue
		}
		start, seen := 0, 0
		if e.known > e.cfg.ExactSearchWorkers {
			start = e.rng.IntN(len(p.slots))
		}
		for i := p.reach.next(start, s.need); seen < e.candidates(); i = p.reach.next(i+1, s.need) {
			if i < 0 {
				if start == 0 {
					break
				}
				start, i = 0, -1 // wrap around once
				continue
			}
			n := p.slots[i]
			e.stats.NodesExamined++
			if !n.probeable(s) {
				continue
			}
			seen++
			if c := preemptCost(n, s.need) + e.distrust(n, j); best == nil || c < bestCost {
				best, bestCost = n, c
			}
		}
	}
	return best
}

// preemptCost is the share of n that must be freed for need.
func preemptCost(n *node, need machine.Resources) float64 {
	free := n.free()
	return fraction(max(need.CPUMilli-free.CPUMilli, 0), n.Total.CPUMilli) +
		fraction(max(need.MemoryMiB-free.MemoryMiB, 0), n.Total.MemoryMiB) +
		fraction(max(need.Accelerators-free.Accelerators, 0), n.Total.Accelerators)
}

// exactVictims is the number of candidates up to which every set is compared.
const exactVictims = 10

// Victims returns the cheapest set of running tasks of one worker whose
// preemption makes need fit into its free resources, for work of priority p, and
// false if there is none. Checkpoints are preferred to throttling and that to
// stopping; within a mode, fewer tasks, lower priority and less surplus win.
// Only urgent work preempts, only preemptible tasks below it are victims.
func (e *Engine) Victims(running []workload.Task, free, need machine.Resources, p workload.Priority) ([]Victim, bool) {
	if need.Fits(free) {
		return nil, true
	}
	if p < workload.Urgent {
		return nil, false
	}
	var cands []workload.Task
	for _, t := range running {
		if t.Preempt && t.Priority < workload.Urgent {
			cands = append(cands, t)
		}
	}
	// The cheapest modes come first; a later level allows more of them.
	for level := range modeLevels {
		var opts []Victim
		for _, t := range cands {
			if m, ok := e.modeAt(t, level); ok {
				opts = append(opts, Victim{Task: t, Mode: m})
			}
		}
		if v := e.cheapest(opts, free, need); v != nil {
			return v, true
		}
	}
	return nil, false
}

// modeLevels counts the levels of modeAt: checkpoints, also throttling, also stops.
const modeLevels = 3

// modeAt returns how t is preempted at a level. Batches write checkpoints; a
// service keeps serving while it is throttled; a gang is only stopped, because a
// slow or absent member holds up all others.
func (e *Engine) modeAt(t workload.Task, level int) (PreemptMode, bool) {
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

// frees returns what preempting v frees.
func (e *Engine) frees(v Victim) machine.Resources {
	if v.Mode == PreemptThrottle {
		return e.throttled(v.Task.Resources)
	}
	return v.Task.Resources
}

// throttled returns the part of res that throttling frees.
func (e *Engine) throttled(res machine.Resources) machine.Resources {
	return machine.Resources{CPUMilli: res.CPUMilli * e.cfg.ThrottleFreesPermille / 1000}
}

// cheapest returns the best subset of opts that makes need fit, or nil.
func (e *Engine) cheapest(opts []Victim, free, need machine.Resources) []Victim {
	if len(opts) > exactVictims {
		return e.greedyVictims(opts, free, need)
	}
	best, bestCost := uint32(0), 0.0
	for set := uint32(1); set < 1<<len(opts); set++ {
		sum, cost := free, 0.0
		for i, v := range opts {
			if set&(1<<i) != 0 {
				f := e.frees(v)
				sum = sum.Add(f)
				cost += victimCost(v, f)
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
	for i, v := range opts {
		if best&(1<<i) != 0 {
			out = append(out, v)
		}
	}
	return out
}

// victimCost grows with the mode, then the priority, then the size.
func victimCost(v Victim, frees machine.Resources) float64 {
	size := float64(frees.CPUMilli) + float64(frees.MemoryMiB) + 1000*float64(frees.Accelerators)
	return modeCost[v.Mode] + 1 + float64(v.Task.Priority)/100 + size/1e9
}

var modeCost = map[PreemptMode]float64{PreemptCheckpoint: 0, PreemptThrottle: 1e2, PreemptStop: 1e4}

// greedyVictims adds the cheapest victims until need fits and then takes back
// those that turn out to be superfluous, dearest first.
func (e *Engine) greedyVictims(opts []Victim, free, need machine.Resources) []Victim {
	slices.SortStableFunc(opts, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(modeCost[a.Mode], modeCost[b.Mode]), cmp.Compare(a.Task.Priority, b.Task.Priority),
			cmp.Compare(dominant(b.Task.Resources, need), dominant(a.Task.Resources, need)))
	})
	sum := free
	var out []Victim
	for _, v := range opts {
		if need.Fits(sum) {
			break
		}
		sum = sum.Add(e.frees(v))
		out = append(out, v)
	}
	if !need.Fits(sum) {
		return nil
	}
	for i := len(out) - 1; i >= 0; i-- {
		if less := sum.Sub(e.frees(out[i])); need.Fits(less) {
			sum = less
			out = append(out[:i], out[i+1:]...)
		}
	}
	return out
}

// throttle records that t was throttled, or runs at full speed again.
func (e *Engine) throttle(t *task, on bool) {
	if t.throttled == on {
		return
	}
	n := t.node
	part := e.throttled(t.res)
	if on {
		part = part.Scale(-1)
	} else {
		part = e.throttled(t.full)
	}
	before := n.free()
	t.throttled = on
	if on {
		t.full = t.res
	}
	t.res = t.res.Add(part)
	e.charge(t, n, part)
	e.freed(n, before)
}
