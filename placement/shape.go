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

// never is more fits than can appear; it blocks a shape that cannot run.
const never = 1 << 40

func keyOf(spec *workload.Job, tasks int, learn bool) shapeKey {
	k := shapeKey{
		declared: spec.Resources, runTime: spec.RunTime, family: spec.Family, learn: learn, kind: spec.Kind,
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

// shapeOf returns the shape of the waiting tasks of j.
func (e *Engine) shapeOf(j *job) *shape {
	k := keyOf(&j.spec, len(j.pending), !j.declared)
	s := e.shapes[k]
	if s == nil {
		s = e.newShape(k, j.spec.Zones)
		e.shapes[k] = s
		if s.fam != nil {
			s.fam.shapes = append(s.fam.shapes, s)
		}
		e.check(s)
	}
	return s
}

func (e *Engine) newShape(k shapeKey, zones []zone.Name) *shape {
	e.seq++
	s := &shape{shapeKey: k, allowed: zones, fam: e.familyOf(k.team, k.family), born: e.seq}
	e.estimate(s)
	return s
}

func (e *Engine) dropShape(s *shape) {
	delete(e.shapes, s.shapeKey)
	e.dropReservation(s)
	if s.fam != nil {
		s.fam.shapes = removeItem(s.fam.shapes, s)
	}
	if !s.doomed.IsZero() {
		e.doomed--
	}
}

// estimate sets the size and run time of s from what was learned, else from the
// declaration. A learned size that no worker holds is not used.
func (e *Engine) estimate(s *shape) {
	s.need, s.run = s.declared, s.runTime
	defer func() { s.borrows = s.kind == workload.Batch && s.run > 0 && s.run <= e.cfg.LendMaxRunTime }()
	if s.fam == nil || e.cfg.NoLearning || e.cfg.DeclaredSizes {
		return
	}
	if run, ok := s.fam.runTime(&e.cfg, s.runTime); ok {
		s.run = run
	}
	if !s.learn {
		return
	}
	if size, ok := s.fam.size(&e.cfg, s.declared); ok {
		s.need = size
		if !e.possible(s) {
			s.need = s.declared
		}
	}
}

func (s *shape) inZone(z zone.Name) bool {
	return len(s.allowed) == 0 || slices.Contains(s.allowed, z)
}

// allows reports whether the class of n may run s.
func (s *shape) allows(n *node) bool {
	return s.inZone(n.Zone) && (n.Total.Accelerators == 0 || s.accelOK || s.borrows)
}

// room returns what n, with the free resources given, offers to s.
func (s *shape) room(n *node) machine.Resources {
	if s.accelOK || n.Total.Accelerators == 0 {
		return n.free()
	}
	return n.lendable(n.free())
}

// possible reports whether the known workers could hold s if they were empty,
// and sets whether s may use accelerator workers. Those are kept for tasks that
// need accelerators, except from tasks that fit no other worker.
func (e *Engine) possible(s *shape) bool {
	s.accelOK = s.need.Accelerators > 0
	if e.slotsWhenEmpty(s) >= s.tasks {
		return true
	}
	s.accelOK = true
	return e.slotsWhenEmpty(s) >= s.tasks
}

func (e *Engine) slotsWhenEmpty(s *shape) int {
	slots := 0
	for c, count := range e.classes {
		if s.inZone(c.zone) && (s.accelOK || c.total.Accelerators == 0) {
			slots += count * times(s.need, c.total)
		}
	}
	return slots
}

// check blocks s if it can never run on the known workers, or lets it go again.
func (e *Engine) check(s *shape) {
	switch ok := e.possible(s); {
	case ok && !s.doomed.IsZero():
		s.doomed = time.Time{}
		e.doomed--
		e.unblock(s)
	case !ok && s.doomed.IsZero():
		s.doomed = e.clock
		e.doomed++
		e.block(s, never, e.clock)
	}
}

// checkAll repeats check for every shape after a class of workers came or went,
// and ends the jobs whose time for that has passed.
func (e *Engine) checkAll(now time.Time) {
	if e.classesChanged {
		e.classesChanged = false
		for _, s := range e.shapeList() {
			e.check(s)
		}
		for _, t := range e.teams {
			e.rank(t)
		}
	}
	if e.doomed == 0 {
		return
	}
	for _, s := range e.shapeList() {
		if s.doomed.IsZero() || now.Before(s.doomed.Add(e.cfg.ImpossibleGrace)) {
			continue
		}
		err := e.impossible(s)
		for _, g := range slices.Clone(s.groups) {
			for g.live > 0 {
				e.stats.QueueSteps++
				e.end(g.head(), JobImpossible, err.Reason, err.Detail, true)
			}
		}
	}
}

// shapeList returns the shapes in a fixed order, so that runs are repeatable.
func (e *Engine) shapeList() []*shape {
	out := make([]*shape, 0, len(e.shapes))
	for _, s := range e.shapes {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *shape) int { return int(a.born) - int(b.born) })
	return out
}

// refuse returns an error if the job can never run, by quota or by the workers.
func (e *Engine) refuse(spec *workload.Job, t *team) error {
	if len(e.classes) == 0 {
		return nil
	}
	s := &shape{shapeKey: keyOf(spec, spec.Count, false), need: spec.Resources, allowed: spec.Zones}
	if !e.possible(s) {
		return e.impossible(s)
	}
	if t.quota.IsZero() {
		return nil
	}
	// A batch runs its tasks one after the other if it must; others need all at once.
	all := spec.Resources
	if spec.Kind != workload.Batch {
		all = all.Scale(int64(spec.Count))
	}
	if !all.Fits(t.quota) {
		return errkind.New(errkind.QuotaExceeded, "quota_never_fits", "job needs %s at once, team %s has a quota of %s",
			all, spec.Team, t.quota)
	}
	return nil
}

// impossible explains why no known worker can hold s, by filter.
func (e *Engine) impossible(s *shape) *errkind.Error {
	counts := make(map[string]int)
	slots := 0
	for c, n := range e.classes {
		r := s.filterClass(c)
		counts[r] += n
		if r == "" {
			slots += n * times(s.need, c.total)
		}
	}
	if counts[""] > 0 {
		return errkind.New(errkind.Impossible, "gang_too_large", "%d tasks of %s needed at once, the cell holds %d; %s",
			s.tasks, s.need, slots, formatReasons(sortReasons(counts)))
	}
	return errkind.New(errkind.Impossible, "fits_no_worker", "a task needs %s; %s", s.need, formatReasons(sortReasons(counts)))
}

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

// filterClass returns why an empty worker of class c cannot hold a task of s,
// or "" if it can.
func (s *shape) filterClass(c classKey) string {
	switch {
	case !s.inZone(c.zone):
		return "zone_not_allowed"
	case s.need.Accelerators > c.total.Accelerators:
		return "too_few_accelerators"
	case s.need.CPUMilli > c.total.CPUMilli:
		return "worker_too_small_cpu"
	case s.need.MemoryMiB > c.total.MemoryMiB:
		return "worker_too_small_memory"
	case !s.accelOK && !s.borrows && c.total.Accelerators > 0:
		return "kept_for_accelerators"
	}
	return ""
}

// filter returns why n cannot take a task of s now, or "" if it can. It is the
// filter step as the explanations state it; searches use the index first and
// then the same conditions.
func (e *Engine) filter(s *shape, n *node, j *job, now time.Time) string {
	if r := s.filterClass(n.class); r != "" {
		return r
	}
	free := n.free()
	switch {
	case n.Unreachable:
		return "unreachable"
	case n.Draining:
		return "draining"
	case !n.open():
		return "quarantined"
	case s.need.CPUMilli > free.CPUMilli:
		return "busy_cpu"
	case s.need.MemoryMiB > free.MemoryMiB:
		return "busy_memory"
	case s.need.Accelerators > free.Accelerators:
		return "busy_accelerators"
	case !s.need.Fits(s.room(n)):
		return "kept_for_accelerators"
	case !n.probeable(s):
		return "quarantine_probe"
	case !e.backfills(n, s, j, now):
		return "reserved"
	}
	return ""
}
