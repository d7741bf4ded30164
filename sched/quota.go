package sched

import (
	"cmp"
	"slices"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// tenantUsage is what the tasks of a tenant hold on all machines together. Unlike the capacity that
// a machine gives to a run, it counts the full Need of each task, also the processors of fillers.
type tenantUsage struct {
	// runs is held by runs, by placements of gangs that wait for tickets, and by members of gangs
	// whose attempt has begun and that have no run at present.
	runs machine.Resources
	// persistent is the part of runs that persistent tasks hold, which do not end by themselves.
	persistent machine.Resources
	// former is held by tasks without a known run that may run on machines that did not answer a
	// former leader. refreshUsage sets it in each pass.
	former machine.Resources
	// unknown is an upper bound of what runs of former leaders hold that are neither known nor in
	// former. refreshUsage sets it in each pass, for tenants with a cap.
	unknown machine.Resources
	// claimed is the room below the cap that steps claim that wait in pass claimPass.
	claimed   machine.Resources
	claimPass int64
}

// held returns what the tasks of t hold on all machines together. Until RunsResolved it may lack runs
// of former leaders. Between two passes it can count a run twice that was adopted since the last one.
func (t *tenantState) held() machine.Resources { return t.usage.runs.Add(t.usage.former) }

// hold adds n tasks of s to the usage of its tenant. It removes them if n is negative.
func (s *step) hold(n int) {
	u := &s.occ.job.tenant.usage
	need := s.spec.Need.Scale(int64(n))
	u.runs = u.runs.Add(need)
	if s.spec.Persistent {
		u.persistent = u.persistent.Add(need)
	}
}

// countRun adds n runs of s to the usage of its tenant. It removes them if n is negative.
func (s *step) countRun(n int) {
	s.heldRuns += n
	s.hold(n)
	s.updateGangReservation()
}

// updateGangReservation makes the tenant hold what the members of a gang need that have no run,
// while an attempt is active. Otherwise another step could take the room below the cap that the
// gang needs to complete the attempt, and the members that run would wait in vain.
func (s *step) updateGangReservation() {
	n := 0
	if s.attemptActive() {
		n = max(len(s.tasks)-s.heldRuns, 0)
	}
	reserved := int(s.attempt.reservedMembers)
	if n == reserved {
		return
	}
	s.hold(n - reserved)
	s.attempt.reservedMembers = int32(n)
	if s.attemptActive() {
		return
	}
	// The attempt has ended in the middle of a pass: refreshUsage has left out its members that may
	// run on silent machines.
	for _, t := range s.tasks {
		if t.run == nil && !t.done && t.mayHaveFormerRun() {
			u := &s.occ.job.tenant.usage
			u.former = u.former.Add(s.spec.Need)
		}
	}
}

// attemptActive reports whether s is a gang with an attempt that may still start members. If one
// member is done, all are.
func (s *step) attemptActive() bool {
	return s.attempt.runNumber != 0 && !s.attempt.aborting && s.doneTasks == 0 && !s.occ.job.state.final()
}

// quotaAllows returns how many of n further tasks of s may start now without bringing its tenant above
// its cap: for a gang, all or none. The members of a gang whose attempt has begun are already counted,
// so they may always start.
func (e *Engine) quotaAllows(s *step, n int) int {
	if !e.anyCap {
		return n
	}
	t := s.occ.job.tenant
	if t.Cap.IsZero() || s.attempt.runNumber != 0 {
		return n
	}
	room := t.Cap.Sub(t.held()).Sub(t.usage.unknown)
	if t.usage.claimPass == e.passes && len(s.attempt.placement) == 0 { // a placement has its room already
		room = room.Sub(t.usage.claimed)
	}
	room = room.Add(s.spec.Need.Scale(int64(len(s.attempt.placement)))) // released before the gang starts
	allowed := n
	fit := func(limit, need, free int64) {
		if limit > 0 && need > 0 {
			allowed = int(min(int64(allowed), max(free, 0)/need))
		}
	}
	fit(t.Cap.CPUMilli, s.spec.Need.CPUMilli, room.CPUMilli)
	fit(t.Cap.MemoryMiB, s.spec.Need.MemoryMiB, room.MemoryMiB)
	fit(t.Cap.Accelerators, s.spec.Need.Accelerators, room.Accelerators)
	if s.spec.Gang && allowed < n {
		return 0
	}
	return allowed
}

// atCap reports whether the cap of its tenant lets no task of s start now.
func (e *Engine) atCap(s *step) bool {
	if s.occ.job.tenant.Cap.IsZero() {
		return false
	}
	return e.quotaAllows(s, s.startsTogether()) == 0
}

// waitForCap makes s wait for room below the cap of its tenant. It gives up capacity and machines to
// request advice about that s cannot use before. It sets no back-off: each pass checks the cap again,
// which costs no search, so that s takes its turn as soon as there is room.
func (p *pass) waitForCap(s *step) {
	p.e.releasePlacement(s)
	s.reservedSlots = s.reservedSlots[:0]
	s.advice.nextMachines = nil
	p.heldByCap(s)
}

// heldByCap counts and logs that the cap of its tenant holds up tasks of s, and claims room for them.
func (p *pass) heldByCap(s *step) {
	p.e.stepsAtCap++
	p.claimWaitingRoom(s)
	reason := "tenant_at_cap"
	if s.occ.job.tenant.exceedsCap(s.spec.Need.Scale(int64(s.startsTogether()))) {
		reason = "cap_too_low" // lowered after the job was accepted
	}
	p.logWait(s, reason)
}

// startsTogether returns how many tasks of s have to start at once: all of a gang, else one.
func (s *step) startsTogether() int {
	if s.spec.Gang {
		return len(s.tasks)
	}
	return 1
}

// claimWaitingRoom claims room for the tasks of s that start at once, if it is the first step of its
// tenant in this pass that has no room. Otherwise smaller tasks of less urgent steps would take each
// bit of room as it appears, and a gang or a large task would not start as long as there are any. A
// step that cannot get the room even when all runs have ended that end by themselves claims none.
func (p *pass) claimWaitingRoom(s *step) {
	t := s.occ.job.tenant
	need := s.spec.Need.Scale(int64(s.startsTogether()))
	if t.usage.claimPass != p.number && !t.exceedsCap(need.Add(t.usage.persistent)) {
		p.claimRoom(s, s.startsTogether())
	}
}

// claimRoom keeps the room below the cap that n tasks of s need from the steps of its tenant that come
// later in this pass.
func (p *pass) claimRoom(s *step, n int) {
	if !p.e.anyCap {
		return
	}
	u := &s.occ.job.tenant.usage
	if u.claimPass != p.number {
		u.claimed, u.claimPass = machine.Resources{}, p.number
	}
	u.claimed = u.claimed.Add(s.spec.Need.Scale(int64(n)))
}

// rejectAboveCap returns an error if a task of the job, or all members of one of its gangs together,
// need more than the cap of its tenant, so that the job could never run.
func (e *Engine) rejectAboveCap(spec *Job) error {
	t := e.tenants[spec.Tenant]
	if t == nil || t.Cap.IsZero() {
		return nil
	}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		if t.exceedsCap(s.Need) {
			return errkind.New(errkind.QuotaExceeded, "task_exceeds_cap",
				"step %d needs %s per task; the cap of tenant %s is %s, so it cannot run until the cap is raised", i, s.Need, t.Name, t.Cap)
		}
		if all := s.Need.Scale(int64(s.Count)); s.Gang && t.exceedsCap(all) {
			return errkind.New(errkind.QuotaExceeded, "gang_exceeds_cap",
				"step %d is a gang of %d tasks that need %s together; the cap of tenant %s is %s, so it cannot run until the cap is raised",
				i, s.Count, all, t.Name, t.Cap)
		}
	}
	return nil
}

// exceedsCap reports whether need exceeds the cap of t.
func (t *tenantState) exceedsCap(need machine.Resources) bool {
	above := func(limit, need int64) bool { return limit > 0 && need > limit }
	return above(t.Cap.CPUMilli, need.CPUMilli) || above(t.Cap.MemoryMiB, need.MemoryMiB) ||
		above(t.Cap.Accelerators, need.Accelerators)
}

// TenantUsage is what a tenant with a cap holds.
type TenantUsage struct {
	Name string
	Held machine.Resources // with the upper bound of unknown runs of former leaders
	Cap  machine.Resources // a resource that is 0 has no bound
}

// tenantUsages returns the usage of the tenants that have a cap, in the order of their names. A
// tenant that the configuration lacks is left out once it holds nothing.
func (e *Engine) tenantUsages() []TenantUsage {
	var out []TenantUsage
	for _, t := range e.tenants {
		held := t.held().Add(t.usage.unknown)
		if t.Cap.IsZero() || (!t.configured && held.IsZero()) {
			continue
		}
		out = append(out, TenantUsage{t.Name, held, t.Cap})
	}
	slices.SortFunc(out, func(a, b TenantUsage) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
