package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// neverFits is the value of shape.missing that keeps a shape blocked whatever is
// freed, because the known workers cannot hold it.
const neverFits = 1 << 40

// shapeKeyOf returns the key of the shape of a job with the given number of waiting
// tasks.
func shapeKeyOf(spec *workload.Job, tasks int, learnSize bool) shapeKey {
	k := shapeKey{
		declared: spec.Resources, runTime: spec.RunTime, family: spec.Family, learnSize: learnSize, kind: spec.Kind,
		tasks: 1, urgent: spec.Priority >= workload.Urgent,
	}
	if spec.Family != "" {
		k.team = spec.Team
	}
	if spec.Kind == workload.Gang {
		k.tasks = tasks
	}
	if len(spec.Zones) > 0 {
		var b strings.Builder
		for _, z := range spec.Zones {
			b.WriteString(string(z))
			b.WriteByte(',')
		}
		k.zones = b.String()
	}
	return k
}

// shapeOf returns the shape of the waiting tasks of j, which it creates if needed.
func (e *Engine) shapeOf(j *job) *shape {
	k := shapeKeyOf(&j.spec, len(j.pending), !j.useDeclaredSize)
	s := e.shapes[k]
	if s == nil {
		s = e.newShape(k, j.spec.Zones)
		e.shapes[k] = s
		if s.learned != nil {
			s.learned.shapes = append(s.learned.shapes, s)
		}
		e.updateImpossible(s)
	}
	return s
}

// newShape returns a shape with its estimates. The caller adds it to e.shapes.
func (e *Engine) newShape(key shapeKey, allowedZones []zone.Name) *shape {
	e.seq++
	s := &shape{shapeKey: key, allowedZones: allowedZones, learned: e.familyOf(key.team, key.family), createdSeq: e.seq}
	e.setEstimates(s)
	return s
}

// dropShape deletes s, which must be unblocked and without groups.
func (e *Engine) dropShape(s *shape) {
	delete(e.shapes, s.shapeKey)
	e.dropReservation(s)
	if s.learned != nil {
		s.learned.shapes = removeItem(s.learned.shapes, s)
	}
	if !s.impossibleSince.IsZero() {
		e.impossibleShapes--
	}
}

// setEstimates sets the size and the run time of s to those learned, else to those
// declared. A learned size that the known workers cannot hold is not used.
func (e *Engine) setEstimates(s *shape) {
	s.need, s.expectedRunTime = s.declared, s.runTime
	defer func() {
		s.lendingAllowed = s.kind == workload.Batch && s.expectedRunTime > 0 && s.expectedRunTime <= e.cfg.LendMaxRunTime
	}()
	if s.learned == nil || e.cfg.NoLearning || e.cfg.DeclaredSizes {
		return
	}
	if runTime, ok := s.learned.learnedRunTime(&e.cfg, s.runTime); ok {
		s.expectedRunTime = runTime
	}
	if !s.learnSize {
		return
	}
	if size, ok := s.learned.learnedSize(&e.cfg, s.declared); ok {
		s.need = size
		if !e.fitsEmptyNodes(s) {
			s.need = s.declared
		}
	}
}

// inZone reports whether s may run in z.
func (s *shape) inZone(z zone.Name) bool {
	return len(s.allowedZones) == 0 || slices.Contains(s.allowedZones, z)
}

// allowsNode reports whether s may run on n by its zone and its accelerators.
func (s *shape) allowsNode(n *node) bool {
	return s.inZone(n.Zone) && (n.Total.Accelerators == 0 || s.acceleratorsAllowed || s.lendingAllowed)
}

// freeOn returns the free resources of n that s may use.
func (s *shape) freeOn(n *node) machine.Resources {
	if s.acceleratorsAllowed || n.Total.Accelerators == 0 {
		return n.free()
	}
	return n.lendable(n.free())
}

// fitsEmptyNodes reports whether the known workers could hold s if they were empty,
// and sets s.acceleratorsAllowed: workers with accelerators are kept for tasks that
// need accelerators or that the other workers cannot hold.
func (e *Engine) fitsEmptyNodes(s *shape) bool {
	s.acceleratorsAllowed = s.need.Accelerators > 0
	if e.countFitsOnEmptyNodes(s) >= s.tasks {
		return true
	}
	s.acceleratorsAllowed = true
	return e.countFitsOnEmptyNodes(s) >= s.tasks
}

// countFitsOnEmptyNodes returns how many tasks of s the known workers could hold if
// they were empty.
func (e *Engine) countFitsOnEmptyNodes(s *shape) int {
	tasks := 0
	for c, count := range e.nodeClasses {
		if s.inZone(c.zone) && (s.acceleratorsAllowed || c.total.Accelerators == 0) {
			tasks += count * countFits(s.need, c.total)
		}
	}
	return tasks
}

// updateImpossible blocks s if the known workers could not even hold it when empty,
// and unblocks it when that changes.
func (e *Engine) updateImpossible(s *shape) {
	switch possible := e.fitsEmptyNodes(s); {
	case possible && !s.impossibleSince.IsZero():
		s.impossibleSince = time.Time{}
		e.impossibleShapes--
		e.unblock(s)
	case !possible && s.impossibleSince.IsZero():
		s.impossibleSince = e.clock
		e.impossibleShapes++
		e.block(s, neverFits, e.clock)
	}
}

// updateAllImpossible calls updateImpossible for every shape after a class of
// workers appeared or vanished, and ends the jobs that have been impossible for
// Config.ImpossibleGrace.
func (e *Engine) updateAllImpossible(now time.Time) {
	if e.nodeClassesChanged {
		e.nodeClassesChanged = false
		for _, s := range e.shapesByAge() {
			e.updateImpossible(s)
		}
		for _, t := range e.teams {
			e.updateShare(t)
		}
	}
	if e.impossibleShapes == 0 {
		return
	}
	for _, s := range e.shapesByAge() {
		if s.impossibleSince.IsZero() || now.Before(s.impossibleSince.Add(e.cfg.ImpossibleGrace)) {
			continue
		}
		err := e.impossibleError(s)
		for _, g := range slices.Clone(s.groups) {
			for g.waiting > 0 {
				e.stats.QueueSteps++
				e.endJob(g.head(), JobImpossible, err.Reason, err.Detail, true)
			}
		}
	}
}

// shapesByAge returns the shapes in the order of their creation, so that runs are
// repeatable.
func (e *Engine) shapesByAge() []*shape {
	out := make([]*shape, 0, len(e.shapes))
	for _, s := range e.shapes {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *shape) int { return int(a.createdSeq) - int(b.createdSeq) })
	return out
}

// admissionError returns an error if the job can never run, because of the quota of
// its team or because no known workers can hold it.
func (e *Engine) admissionError(spec *workload.Job, t *team) error {
	if len(e.nodeClasses) == 0 {
		return nil
	}
	s := &shape{shapeKey: shapeKeyOf(spec, spec.Count, false), need: spec.Resources, allowedZones: spec.Zones}
	if !e.fitsEmptyNodes(s) {
		return e.impossibleError(s)
	}
	if t.quota.IsZero() {
		return nil
	}
	// A batch can run its tasks one after the other; other jobs run them together.
	concurrent := spec.Resources
	if spec.Kind != workload.Batch {
		concurrent = concurrent.Scale(int64(spec.Count))
	}
	if !concurrent.Fits(t.quota) {
		return errkind.New(errkind.QuotaExceeded, "quota_never_fits", "job needs at least %s, but team %s has a quota of %s",
			concurrent, spec.Team, t.quota)
	}
	return nil
}

// impossibleError says why the known workers cannot hold s, with the number of
// workers excluded per reason.
func (e *Engine) impossibleError(s *shape) *errkind.Error {
	counts := make(map[string]int)
	fits := 0
	for c, n := range e.nodeClasses {
		reason := s.filterClass(c)
		counts[reason] += n
		if reason == "" {
			fits += n * countFits(s.need, c.total)
		}
	}
	if counts[""] > 0 {
		return errkind.New(errkind.Impossible, "gang_too_large", "%d tasks of %s have to run together, but the known workers can hold %d; %s",
			s.tasks, s.need, fits, formatReasons(sortReasons(counts)))
	}
	return errkind.New(errkind.Impossible, "fits_no_worker", "a task needs %s; %s", s.need, formatReasons(sortReasons(counts)))
}

// sortReasons turns counts of workers per reason into a list, most workers first.
// The empty reason is left out.
func sortReasons(counts map[string]int) []ReasonCount {
	out := make([]ReasonCount, 0, len(counts))
	for r, n := range counts {
		if r != "" && n > 0 {
			out = append(out, ReasonCount{r, n})
		}
	}
	slices.SortFunc(out, func(a, b ReasonCount) int {
		if a.Nodes != b.Nodes {
			return b.Nodes - a.Nodes
		}
		return strings.Compare(a.Reason, b.Reason)
	})
	return out
}

func formatReasons(rs []ReasonCount) string {
	parts := make([]string, len(rs))
	for i, r := range rs {
		parts[i] = fmt.Sprintf("%s on %d workers", r.Reason, r.Nodes)
	}
	return strings.Join(parts, ", ")
}

// filterClass returns why an empty worker of class c cannot hold a task of s, or ""
// if it can.
func (s *shape) filterClass(c nodeClass) string {
	switch {
	case !s.inZone(c.zone):
		return "zone_not_allowed"
	case s.need.Accelerators > c.total.Accelerators:
		return "too_few_accelerators"
	case s.need.CPUMilli > c.total.CPUMilli:
		return "worker_too_small_cpu"
	case s.need.MemoryMiB > c.total.MemoryMiB:
		return "worker_too_small_memory"
	case !s.acceleratorsAllowed && !s.lendingAllowed && c.total.Accelerators > 0:
		return "kept_for_accelerators"
	}
	return ""
}

// filter returns why n cannot take a task of s now, or "" if it can. Explanations
// use it; searches check the same conditions through the index of free resources
// and admits.
func (e *Engine) filter(s *shape, n *node, j *job, now time.Time) string {
	if reason := s.filterClass(n.class); reason != "" {
		return reason
	}
	free := n.free()
	switch {
	case n.Unreachable:
		return "unreachable"
	case n.Draining:
		return "draining"
	case !n.acceptsTasks():
		return "quarantined"
	case s.need.CPUMilli > free.CPUMilli:
		return "busy_cpu"
	case s.need.MemoryMiB > free.MemoryMiB:
		return "busy_memory"
	case s.need.Accelerators > free.Accelerators:
		return "busy_accelerators"
	case !s.need.Fits(s.freeOn(n)):
		return "kept_for_accelerators"
	case !n.probationAllows(s):
		return "quarantine_probe"
	case !e.reservationAllows(n, s, j, now):
		return "reserved"
	}
	return ""
}
