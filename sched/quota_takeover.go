package sched

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/machine"
)

// formerUsage is what the engine knows of runs of former leaders that it has not adopted.
type formerUsage struct {
	tasks []*task         // tasks that may run on machines that did not answer a former leader
	jobs  []*job          // restored jobs that had not ended; tasks of theirs may have unknown runs
	ended []formerHolding // jobs that had ended while they had runs
}

// formerHolding is what the runs of a job held when its final record was stored. The record has it,
// since a new leader cannot tell from it which runs the job had, and these are still being stopped.
type formerHolding struct {
	Tenant string            `cbor:"1,keyasint,omitempty"`
	Held   machine.Resources `cbor:"2,keyasint"`
}

// maxAmount bounds sums over many jobs, in the unit of each resource. It is far above what the
// machines of a cell have, and two such sums do not overflow.
const maxAmount = 1 << 61

// addBounded returns a + b, each resource at most maxAmount.
func addBounded(a, b machine.Resources) machine.Resources {
	return minResources(a.Add(b), machine.Resources{CPUMilli: maxAmount, MemoryMiB: maxAmount, Accelerators: maxAmount})
}

// minResources returns the smaller amount of each resource.
func minResources(a, b machine.Resources) machine.Resources {
	return machine.Resources{CPUMilli: min(a.CPUMilli, b.CPUMilli), MemoryMiB: min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators)}
}

// maxResources returns the larger amount of each resource.
func maxResources(a, b machine.Resources) machine.Resources {
	return machine.Resources{CPUMilli: max(a.CPUMilli, b.CPUMilli), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators)}
}

// mayHaveFormerRun reports whether t may still run on a machine that did not answer the former leader.
func (t *task) mayHaveFormerRun() bool {
	return lo.SomeBy(t.mayRunOn, func(m *machineState) bool { return m.mayHaveFormerRuns })
}

// refreshUsage sets those parts of the usage of all tenants that are not updated with each change of
// a run: what runs of former leaders hold that are not known. It does nothing once there are none.
func (e *Engine) refreshUsage(now time.Duration) {
	f := &e.former
	if e.runsResolved {
		f.jobs = nil
	}
	if len(f.tasks)+len(f.jobs)+len(f.ended) == 0 && !e.formerCounted {
		return
	}
	for _, t := range e.tenants {
		t.usage.former, t.usage.unknown = machine.Resources{}, machine.Resources{}
	}
	f.tasks = slices.DeleteFunc(f.tasks, func(t *task) bool { return !t.mayHaveFormerRun() })
	for _, t := range f.tasks {
		// A member of an active attempt is counted with its gang.
		if t.run == nil && !t.done && !t.step.attemptActive() {
			u := &t.step.occ.job.tenant.usage
			u.former = u.former.Add(t.step.spec.Need)
		}
	}
	if e.anyCap {
		e.boundUnknownRuns()
		e.boundEndedJobs(now)
	}
	e.formerCounted = len(f.tasks)+len(f.jobs)+len(f.ended) > 0
}

// boundUnknownRuns adds an upper bound of the unknown runs of restored jobs to the usage of the
// tenants with a cap: what their tasks without a known run need, but no more than the machines have
// that may run them. The processors of fillers are not part of what a machine gives away, so that
// these are bounded by the need alone.
func (e *Engine) boundUnknownRuns() {
	type need struct{ all, fillers machine.Resources }
	needs := make(map[*tenantState]need)
	for _, j := range e.former.jobs {
		if j.tenant.Cap.IsZero() {
			continue
		}
		n := needs[j.tenant]
		add := func(s *Step, tasks int) {
			x := s.Need.Scale(int64(tasks))
			n.all = addBounded(n.all, x)
			if s.Filler {
				n.fillers.CPUMilli = min(n.fillers.CPUMilli+x.CPUMilli, maxAmount)
			}
		}
		for _, o := range j.open {
			for _, s := range o.steps {
				add(s.spec, s.tasksWithoutKnownRun())
			}
		}
		unopened := j.unopened()
		for i := range j.spec.Steps {
			add(&j.spec.Steps[i], unopened*j.spec.Steps[i].Count)
		}
		needs[j.tenant] = n
	}
	if len(needs) == 0 {
		return
	}
	capacity, _ := e.unknownCapacity(func(m *machineState) bool { return m.mayHaveFormerRuns && !m.tasksRecorded })
	for t, n := range needs {
		all := maxResources(n.all.Sub(t.usage.former), machine.Resources{})
		t.usage.unknown = minResources(all, capacity.Add(n.fillers))
	}
}

// boundEndedJobs adds an upper bound of the runs of jobs that had ended under a former leader to the
// usage of the tenants with a cap. Such a run may exist while a machine has not answered with all its
// lists, and from then on until it is stopped, while its machine has runs of unknown size. That is
// not waited for longer than endedJobsHorizon, since a row that cannot be read may stay forever.
func (e *Engine) boundEndedJobs(now time.Duration) {
	f := &e.former
	if len(f.ended) == 0 {
		return
	}
	capacity, machines := e.unknownCapacity(func(m *machineState) bool { return m.mayHaveFormerRuns || m.unsizedRuns > 0 })
	if machines == 0 || now-e.termStart > e.endedJobsHorizon() {
		f.ended = nil
		return
	}
	needs := make(map[*tenantState]machine.Resources)
	for _, h := range f.ended {
		if t := e.tenants[h.Tenant]; t != nil && !t.Cap.IsZero() {
			needs[t] = addBounded(needs[t], h.Held)
		}
	}
	for t, n := range needs {
		t.usage.unknown = t.usage.unknown.Add(minResources(n, capacity))
	}
}

// endedJobsHorizon returns the time after the start of a term in which runs of jobs that had ended
// before are stopped: the lease of a machine that answers only just before it ends, and the stop.
func (e *Engine) endedJobsHorizon() time.Duration {
	return e.leaseHorizon() + e.cfg.StopLimit + 2*stopRetryInterval
}

// unknownCapacity returns the capacity, less that of the runs that the machines have confirmed, of
// those machines for which maybe is true, and the number of these machines.
func (e *Engine) unknownCapacity(maybe func(*machineState) bool) (machine.Resources, int) {
	var sum machine.Resources
	n := 0
	for _, m := range e.byID {
		if !maybe(m) {
			continue
		}
		n++
		free := m.spec.Capacity
		for _, r := range m.runs {
			if r.listed || r.confirmedAt != 0 {
				free = free.Sub(r.demand())
			}
		}
		sum = addBounded(sum, maxResources(free, machine.Resources{}))
	}
	return sum, n
}

// tasksWithoutKnownRun returns the number of tasks of s that are not done and have no known run, 0
// for a gang whose members are counted as held.
func (s *step) tasksWithoutKnownRun() int {
	if s.attemptActive() {
		return 0
	}
	if s.heldRuns == 0 {
		return len(s.tasks) - s.doneTasks
	}
	n := 0
	for _, t := range s.tasks {
		if !t.done && t.run == nil {
			n++
		}
	}
	return n
}

// holdingAtEnd returns what the runs of an ended job hold, or may hold, when its final record is
// stored, and nil if that is nothing or the job has no tenant.
func (e *Engine) holdingAtEnd(j *job) *formerHolding {
	if j.spec.Tenant == "" {
		return nil
	}
	h := formerHolding{Tenant: j.spec.Tenant}
	if j.restored && !e.runsResolved {
		unopened := j.unopened()
		for i := range j.spec.Steps {
			h.Held = h.Held.Add(j.spec.Steps[i].Need.Scale(int64(unopened * j.spec.Steps[i].Count)))
		}
	}
	for _, o := range j.open {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				unknown := !t.done && (j.restored && !e.runsResolved || t.mayHaveFormerRun())
				if t.run != nil || unknown {
					h.Held = h.Held.Add(s.spec.Need)
				}
			}
		}
	}
	if h.Held.IsZero() {
		return nil
	}
	return &h
}
