package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/machine"
)

// machineState is the engine's view of a machine.
type machineState struct {
	incarnation
	spec              Machine
	token             int64             // fencing token for calls to it; rises when it restarts
	used              machine.Resources // held by runs and by placements of gangs
	lasting           machine.Resources // part of used that runs of persistent tasks hold
	runs              map[runKey]*run
	runsPerStep       map[*step]int
	health            health
	relativeRunTime   float64       // learned run time relative to other machines, 0 if not known
	slowdown          float64       // run time of its current runs relative to the expected one, 0 if not known
	inHostList        bool          // with the entry of its current incarnation, and not replaced
	answeredAt        time.Duration // last answer to a poll; before the first, when the machine was added
	onlyShowedRestart bool          // its last answer to a poll showed a restart, the lists were not read
	leaseWithheld     bool          // its lease is not extended, see checkLease
	unresponsive      bool          // the last poll was not answered, perhaps under a former leader
	unstoredRecords   int           // records of the machine that are not stored yet
	servingRuns       int           // runs with a latency target
	fillerRuns        int           // runs of tasks that use processors left idle by others
	mayHaveFormerRuns bool          // it may have unknown runs of former leaders
	usableInPass      int64         // the last pass in which it could take work
	tasksRecorded     bool          // its record names all tasks that may run on it
}

// incarnation is what the engine knows of one lifetime of a machine. It is dropped as a
// whole when the machine restarts under its id.
type incarnation struct {
	clock         leaseClock
	polled        bool          // it has answered a poll under the machine's token
	moreEnds      bool          // its last answer may not have listed all ends
	replaced      bool          // another machine answers at its address
	processedEnds int64         // highest number of an end that was taken into account
	storedEnds    int64         // highest number of an end whose effect is stored
	heldEnds      []heldEnd     // ends that are not acknowledged yet, although they may be stored
	leavesAt      time.Duration // earliest time at which it leaves, 0 if it does not drain or this is not known
	fencePending  bool          // no poll was answered since its token was raised
	orders        orderHealth
	// incompleteSince is since when the lists leave open what has become of runs, 0 if they do not.
	incompleteSince time.Duration
	unsizedRuns     int // runs of unknown size at the last poll; while there are any it takes no work
}

// newIncarnation returns an incarnation that has not answered yet.
func (e *Engine) newIncarnation() incarnation {
	return incarnation{clock: leaseClock{maxLease: e.cfg.Lease, longest: e.cfg.LongestLease}}
}

// newMachine returns a machine without runs.
func (e *Engine) newMachine(spec Machine, now time.Duration) *machineState {
	return &machineState{
		incarnation: e.newIncarnation(), spec: spec, token: max(e.cfg.Token, e.raisedTokens[spec.ID]), runs: make(map[runKey]*run),
		runsPerStep: make(map[*step]int), answeredAt: now,
	}
}

// runKey identifies a run by its task and its number.
type runKey struct {
	task string
	run  int64
}

// runState is what is known about a run.
type runState uint8

const (
	runOrdered   runState = iota // the start was not answered yet
	runConfirmed                 // the machine has confirmed it
	runUncertain                 // the start was not answered in time, so that a stop is ordered at once
	runStopping                  // a stop was ordered
)

// run is one start of a task. It holds capacity on its machine until it is released.
type run struct {
	task           *task
	machine        *machineState
	number         int64
	token          int64 // fencing token of the order, or of the last poll that listed the run
	state          runState
	orderedAt      time.Duration // for an adopted run, when it was adopted
	confirmedAt    time.Duration // 0 if it was not confirmed
	stopSentAt     time.Duration // last stop order, 0 if none
	stoppingSince  time.Duration // first stop order, 0 if none
	stopAnsweredAt time.Duration // 0 if no stop was answered
	stopReason     string        // empty if it is not being stopped
	listed         bool          // a poll has listed it, so it belongs to the incarnation that answered
	inDoubtSince   time.Duration // when a restart of its machine was noticed before a poll had listed it, 0 if never
	percent        int           // progress
	percentAt      time.Duration // when percent was last reported, or the run was confirmed
	progressedAt   time.Duration // when percent last rose, or the run was confirmed
	checkpoint     string
}

// addRun adds r and takes its capacity.
func (m *machineState) addRun(r *run) {
	m.used = m.used.Add(r.demand())
	if r.task.step.spec.Persistent {
		m.lasting = m.lasting.Add(r.demand())
	}
	m.runs[runKey{r.task.name, r.number}] = r
	m.runsPerStep[r.task.step]++
	m.countServingAndFiller(r.task.step.spec, 1)
	r.task.step.countRun(1)
}

// countServingAndFiller adds n to servingRuns if s has a latency target, and to
// fillerRuns if it is a filler.
func (m *machineState) countServingAndFiller(s *Step, n int) {
	if s.LatencyTarget > 0 {
		m.servingRuns += n
	}
	if s.Filler {
		m.fillerRuns += n
	}
}

// removeRun removes r and frees its capacity.
func (m *machineState) removeRun(r *run) {
	m.used = m.used.Sub(r.demand())
	if r.task.step.spec.Persistent {
		m.lasting = m.lasting.Sub(r.demand())
	}
	delete(m.runs, runKey{r.task.name, r.number})
	if m.runsPerStep[r.task.step]--; m.runsPerStep[r.task.step] == 0 {
		delete(m.runsPerStep, r.task.step)
	}
	m.countServingAndFiller(r.task.step.spec, -1)
	r.task.step.countRun(-1)
}

func (r *run) demand() machine.Resources { return r.task.step.spec.demand() }

// demand returns the capacity that one task takes. A filler task takes no processors,
// since it only uses those that others leave idle.
func (s *Step) demand() machine.Resources {
	need := s.Need
	if s.Filler {
		need.CPUMilli = 0
	}
	return need
}

// freeCapacity returns the capacity of m that neither runs nor placements of gangs hold.
func (m *machineState) freeCapacity() machine.Resources { return m.spec.Capacity.Sub(m.used) }

// SetMachines replaces the host list. Machines that are not in it take no new work;
// their runs count until they end or their leases have expired.
func (e *Engine) SetMachines(list []Machine, now time.Duration) {
	seen := make(map[string]bool, len(list))
	for _, spec := range list {
		seen[spec.ID] = true
		e.updateMachine(spec, now)
	}
	for _, m := range e.byID {
		id := m.spec.ID
		if m.inHostList && !seen[id] {
			m.inHostList = false
			e.log.Info().Str("event", "machine_unlisted").Str("machine", id).Int("runs", len(m.runs)).Send()
		}
	}
}

// updateMachine applies one entry of the host list.
func (e *Engine) updateMachine(spec Machine, now time.Duration) {
	m := e.machines[spec.ID]
	if m == nil {
		m = e.addMachine(spec, now)
		e.log.Info().Str("event", "machine_listed").Str("machine", spec.ID).Str("service", spec.Service).
			Str("rack", spec.Rack).Str("room", spec.Capacity.String()).Bool("draining", spec.Draining).Send()
	}
	if spec.Born > m.spec.Born && m.spec.Born != 0 {
		e.machineRestarted(m, spec.Born, now)
	}
	if spec.Born < m.spec.Born {
		return // an entry of a former incarnation, or one that does not say when it started
	}
	switch {
	case !spec.Draining:
		m.leavesAt = 0
	case spec.Remaining > 0 && (m.leavesAt == 0 || spec.Remaining != m.spec.Remaining):
		m.leavesAt = now + spec.Remaining
	}
	if spec.Draining != m.spec.Draining {
		e.log.Info().Str("event", "machine_draining").Str("machine", spec.ID).Bool("draining", spec.Draining).Send()
	}
	m.spec, m.inHostList = spec, !m.replaced
}

// addMachine adds a machine that was not known before.
func (e *Engine) addMachine(spec Machine, now time.Duration) *machineState {
	m := e.newMachine(spec, now)
	e.insertMachine(m)
	e.recordMachine(m)
	return m
}

// machineRestarted handles a new incarnation under the same id: all runs of the former one
// are gone. A start order may have reached the new incarnation, so a run that no poll
// has listed is in doubt until a poll under the higher token shows whether it exists, or
// until it cannot exist any more (see closeRunsInDoubt).
func (e *Engine) machineRestarted(m *machineState, born int64, now time.Duration) {
	listed := lo.CountBy(m.sortedRuns(), func(r *run) bool { return r.listed })
	e.log.Warn().Str("event", "machine_restarted").Str("machine", m.spec.ID).Int64("born", born).
		Int("runs_lost", listed).Int("runs_in_doubt", len(m.runs)-listed).Send()
	m.token++
	m.spec.Born = born
	m.incarnation = e.newIncarnation()
	for _, r := range m.sortedRuns() {
		if r.listed {
			e.closeRun(r, now, "machine_restarted")
		} else if r.inDoubtSince == 0 {
			r.inDoubtSince = now
		}
	}
	m.health.reset(now)
}

// sortedRuns returns the runs of m, sorted by the name of their task.
func (m *machineState) sortedRuns() []*run {
	out := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.task.name, b.task.name) })
	return out
}

// recordMachine adds the record of a machine to the next Flush. Until it is stored the
// machine takes no new work.
func (e *Engine) recordMachine(m *machineState) {
	m.unstoredRecords++
	e.journal.machines = append(e.journal.machines, m)
}

// PollUnanswered takes into account that a poll of a machine was not answered. The
// machine takes no new work until it answers. The tasks that may run on it are recorded,
// so that a new leader that cannot reach the machine holds back only these.
func (e *Engine) PollUnanswered(id string) {
	m := e.machines[id]
	if m == nil || m.unresponsive {
		return
	}
	m.unresponsive = true
	if !m.mayHaveFormerRuns { // otherwise the tasks that may run on it are not known
		m.tasksRecorded = true
		e.recordMachine(m)
	}
}

// UnresponsiveMachines returns how many machines of the host list do not answer, and how
// many it has. Draining machines are not counted.
func (e *Engine) UnresponsiveMachines() (unresponsive, all int) {
	for _, m := range e.byID {
		if m.inHostList && !m.spec.Draining {
			all++
			if m.unresponsive {
				unresponsive++
			}
		}
	}
	return unresponsive, all
}

// Machine returns the current incarnation of a machine and the token for calls to it, and
// false if the machine is not known.
func (e *Engine) Machine(id string) (MachineView, bool) {
	m := e.machines[id]
	if m == nil {
		return MachineView{}, false
	}
	return MachineView{m.spec, m.token}, true
}

// Machines returns all known machines, which have to be polled, in the order of their ids.
// A machine that has left the host list is known until its leases have expired.
func (e *Engine) Machines() []MachineView {
	out := make([]MachineView, 0, len(e.machines))
	for _, m := range e.byID {
		out = append(out, MachineView{m.spec, m.token})
	}
	return out
}

// MachineView is a machine and the fencing token for calls to it.
type MachineView struct {
	Machine Machine
	Token   int64
}

// MachineReplaced takes into account that another incarnation answers at the address of
// a machine: the known one is gone, and so are its runs.
func (e *Engine) MachineReplaced(id string, now time.Duration) {
	m := e.machines[id]
	if m == nil || m.replaced {
		return
	}
	m.replaced, m.inHostList, m.mayHaveFormerRuns = true, false, false
	e.log.Warn().Str("event", "machine_replaced").Str("machine", id).Str("address", m.spec.Address).
		Int("runs_lost", len(m.runs)).Send()
	for _, r := range m.sortedRuns() {
		e.closeRun(r, now, "machine_replaced")
	}
}

// insertMachine adds a machine and keeps byID sorted.
func (e *Engine) insertMachine(m *machineState) {
	e.machines[m.spec.ID] = m
	i, _ := slices.BinarySearchFunc(e.byID, m.spec.ID, compareMachineID)
	e.byID = slices.Insert(e.byID, i, m)
}

// removeMachine removes a machine without runs. If it comes back under its id it refuses lower
// tokens than it has seen.
func (e *Engine) removeMachine(m *machineState) {
	if m.token > e.cfg.Token {
		e.raisedTokens[m.spec.ID] = m.token
	}
	delete(e.machines, m.spec.ID)
	if i, ok := slices.BinarySearchFunc(e.byID, m.spec.ID, compareMachineID); ok {
		e.byID = slices.Delete(e.byID, i, i+1)
	}
}

func compareMachineID(m *machineState, id string) int { return strings.Compare(m.spec.ID, id) }
