package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// machineState is the engine's view of one incarnation of a machine.
type machineState struct {
	spec      Machine
	token     int64
	used      machine.Resources // held by runs
	runs      map[runKey]*run
	perStep   map[*step]int // runs of each step
	clock     leaseClock
	health    health
	pace      float64       // learned run time relative to other machines, 0 if not known
	slowness  float64       // how much longer its present runs take than usual, 0 if not known
	listed    bool          // its entry is in the host list
	looked    bool          // it has answered with its lists under token
	lookedAt  time.Duration // last answer
	silent    bool          // the last look was not answered
	replaced  bool          // another incarnation answers at its address
	processed int64         // highest number of an end that was taken into account
	ackable   int64         // highest number whose record is stored
	unsaved   int           // records of the machine that are not stored yet
	leavesAt  time.Duration // least time at which a draining machine leaves, 0 if not known
	serving   int           // runs with a latency target
	filling   int           // runs of filler steps
	strangers int           // runs of unknown size that are being stopped; until they end it takes no work
	foreign   bool          // runs of former leaders may be on it that are not known
	usableIn  int64         // the last pass in which it could take work
	named     bool          // its record names all tasks that may run on it
}

type runKey struct {
	task string
	run  int64
}

// runState is what is known about a run.
type runState uint8

const (
	runOrdered  runState = iota // the start was sent and not yet answered
	runListed                   // the machine has confirmed it
	runDoubtful                 // the start was not answered; it may start later
	runStopping                 // a stop is wanted
)

// run is one start of a task. It holds room on its machine until it is closed.
type run struct {
	task       *task
	machine    *machineState
	number     int64
	token      int64 // of the order, 0 if another leader gave it
	state      runState
	ordered    time.Duration
	started    time.Duration // when it was confirmed, 0 if it was not
	stopSent   time.Duration // last stop order, 0 if none is under way
	stopAnswer time.Duration // when a stop was answered, 0 if none was
	reason     string        // of the stop
	inLook     bool          // a look has listed it, so it belongs to the incarnation that answered
	percent    int
	seenAt     time.Duration // when percent was reported
	movedAt    time.Duration // when percent last rose
	checkpoint string
}

func (m *machineState) reserve(r *run) {
	m.used = m.used.Add(r.holds())
	m.runs[runKey{r.task.name, r.number}] = r
	m.perStep[r.task.step]++
	m.count(r.task.step.spec, 1)
}

// count adds n to the numbers of serving and filling runs if s is of that sort.
func (m *machineState) count(s *Step, n int) {
	if s.LatencyTarget > 0 {
		m.serving += n
	}
	if s.Filler {
		m.filling += n
	}
}

func (m *machineState) release(r *run) {
	m.used = m.used.Sub(r.holds())
	delete(m.runs, runKey{r.task.name, r.number})
	if m.perStep[r.task.step]--; m.perStep[r.task.step] == 0 {
		delete(m.perStep, r.task.step)
	}
	m.count(r.task.step.spec, -1)
}

func (r *run) holds() machine.Resources { return r.task.step.spec.holds() }

// holds returns the room that one task takes. Processors of a filler step are
// those that others leave idle.
func (s *Step) holds() machine.Resources {
	need := s.Need
	if s.Filler {
		need.CPUMilli = 0
	}
	return need
}

// SetMachines takes over the host list. Machines that are not in it take no new
// work; their runs count until their leases have surely lapsed.
func (e *Engine) SetMachines(list []Machine, now time.Duration) {
	seen := make(map[string]bool, len(list))
	for _, spec := range list {
		seen[spec.ID] = true
		e.setMachine(spec, now)
	}
	for _, m := range e.byID {
		id := m.spec.ID
		if m.listed && !seen[id] {
			m.listed = false
			e.log.Info().Str("event", "machine_unlisted").Str("machine", id).Int("runs", len(m.runs)).Send()
		}
	}
}

func (e *Engine) setMachine(spec Machine, now time.Duration) {
	m := e.machines[spec.ID]
	if m == nil {
		m = e.addMachine(spec, now)
		e.log.Info().Str("event", "machine_listed").Str("machine", spec.ID).Str("service", spec.Service).
			Str("rack", spec.Rack).Str("room", spec.Capacity.String()).Bool("draining", spec.Draining).Send()
	}
	if spec.Born > m.spec.Born && m.spec.Born != 0 {
		e.rebirth(m, spec.Born, now)
	}
	if spec.Born < m.spec.Born {
		return // an entry of a former incarnation
	}
	if spec.Draining && spec.Remaining > 0 && (m.leavesAt == 0 || spec.Remaining != m.spec.Remaining) {
		m.leavesAt = now + spec.Remaining
	}
	if spec.Draining != m.spec.Draining {
		e.log.Info().Str("event", "machine_draining").Str("machine", spec.ID).Bool("draining", spec.Draining).Send()
	}
	m.spec, m.listed = spec, !m.replaced
}

func (e *Engine) addMachine(spec Machine, now time.Duration) *machineState {
	m := &machineState{
		spec: spec, token: e.cfg.Token, runs: make(map[runKey]*run), perStep: make(map[*step]int), lookedAt: now,
	}
	m.clock.maxLease = e.cfg.Lease
	e.insert(m)
	e.record(m)
	return m
}

// rebirth handles a new incarnation under the same id: nothing of before runs. An
// order may have reached the new incarnation, so a run that no look has listed
// stays until a look under the higher token shows whether it is there.
func (e *Engine) rebirth(m *machineState, born int64, now time.Duration) {
	e.log.Warn().Str("event", "machine_restarted").Str("machine", m.spec.ID).Int64("born", born).
		Int("runs_lost", len(m.runs)).Send()
	m.token++
	m.spec.Born = born
	m.looked, m.processed, m.ackable = false, 0, 0
	m.clock = leaseClock{maxLease: e.cfg.Lease}
	for _, r := range m.sortedRuns() {
		if r.inLook {
			e.closeRun(r, now, "machine_restarted")
		}
	}
	m.health.crashed(now)
}

// sortedRuns returns the runs of m in a fixed order.
func (m *machineState) sortedRuns() []*run {
	out := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.task.name, b.task.name) })
	return out
}

// record hands the record of a machine to the journal. Until it is stored the
// machine takes no new work.
func (e *Engine) record(m *machineState) {
	m.unsaved++
	e.journal.machines = append(e.journal.machines, m)
}

// PollUnanswered takes into account that a look at a machine was not answered. The
// machine takes no new work. The tasks that may run on it are recorded, so that
// the next leader need not hold all others back while it cannot reach the machine.
func (e *Engine) PollUnanswered(id string) {
	m := e.machines[id]
	if m == nil || m.silent {
		return
	}
	m.silent = true
	if !m.foreign { // otherwise what runs on it is not known
		m.named = true
		e.record(m)
	}
}

// UnresponsiveMachines returns how many machines do not answer, and how many there are.
func (e *Engine) UnresponsiveMachines() (silent, all int) {
	for _, m := range e.byID {
		if m.listed && !m.spec.Draining {
			all++
			if m.silent {
				silent++
			}
		}
	}
	return silent, all
}

// Machine returns the current incarnation of a machine and the token for calls to it.
func (e *Engine) Machine(id string) (MachineView, bool) {
	m := e.machines[id]
	if m == nil {
		return MachineView{}, false
	}
	return MachineView{m.spec, m.token}, true
}

// MachineReplaced takes into account that another incarnation answers at the address of
// a machine: the one that was known there is gone with all that ran on it.
func (e *Engine) MachineReplaced(id string, now time.Duration) {
	m := e.machines[id]
	if m == nil || m.replaced {
		return
	}
	m.replaced, m.listed, m.foreign = true, false, false
	e.log.Warn().Str("event", "machine_replaced").Str("machine", id).Str("address", m.spec.Address).Int("runs_lost", len(m.runs)).Send()
	for _, r := range m.sortedRuns() {
		e.closeRun(r, now, "machine_replaced")
	}
}

// insert adds a machine; byID stays in the order of the ids.
func (e *Engine) insert(m *machineState) {
	e.machines[m.spec.ID] = m
	at, _ := slices.BinarySearchFunc(e.byID, m.spec.ID, compareID)
	e.byID = slices.Insert(e.byID, at, m)
}

func (e *Engine) remove(m *machineState) {
	delete(e.machines, m.spec.ID)
	if at, ok := slices.BinarySearchFunc(e.byID, m.spec.ID, compareID); ok {
		e.byID = slices.Delete(e.byID, at, at+1)
	}
}

func compareID(m *machineState, id string) int { return strings.Compare(m.spec.ID, id) }
