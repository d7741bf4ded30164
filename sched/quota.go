package sched

import (
	"slices"

	"github.com/sassafraslb/sassafraslb/machine"
)

// tenantUsage is what the tasks of a tenant hold on all machines together. Unlike the capacity that
// a machine gives to a run, it counts the full Need of each task, also the processors of fillers.
type tenantUsage struct {
	// runs is held by runs, by placements of gangs that wait for tickets, and by members of gangs
	// whose attempt has begun and that have no run at present.
	runs machine.Resources
	// former is held by tasks without a known run that may run on machines that did not answer a
	// former leader. refreshUsage sets it in each pass.
	former machine.Resources
}

// held returns what the tasks of t hold, or may hold, on all machines together. It is exact within a
// pass; between two passes it can count a run twice that was adopted since the last one.
func (t *tenantState) held() machine.Resources { return t.usage.runs.Add(t.usage.former) }

// hold adds n tasks of s to the usage of its tenant. It removes them if n is negative.
func (s *step) hold(n int) {
	u := &s.occ.job.tenant.usage
	u.runs = u.runs.Add(s.spec.Need.Scale(int64(n)))
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
	if n != s.attempt.reservedMembers {
		s.hold(n - s.attempt.reservedMembers)
		s.attempt.reservedMembers = n
	}
}

// attemptActive reports whether s is a gang with an attempt that may still start members. If one
// member is done, all are.
func (s *step) attemptActive() bool {
	return s.attempt.runNumber != 0 && !s.attempt.aborting && s.doneTasks == 0 && !s.occ.job.state.final()
}

// mayHaveFormerRun reports whether t may still run on a machine that did not answer the former leader.
func (t *task) mayHaveFormerRun() bool {
	return slices.ContainsFunc(t.mayRunOn, func(m *machineState) bool { return m.mayHaveFormerRuns })
}

// refreshUsage sets the part of the usage of all tenants that is not updated with each change of a
// run. It does nothing once no runs of former leaders are possible.
func (e *Engine) refreshUsage() {
	if len(e.formerTasks) == 0 {
		return
	}
	for _, t := range e.tenants {
		t.usage.former = machine.Resources{}
	}
	e.formerTasks = slices.DeleteFunc(e.formerTasks, func(t *task) bool { return !t.mayHaveFormerRun() })
	for _, t := range e.formerTasks {
		// A member of an active attempt is counted with its gang.
		if t.run == nil && !t.done && !t.step.attemptActive() {
			u := &t.step.occ.job.tenant.usage
			u.former = u.former.Add(t.step.spec.Need)
		}
	}
}
