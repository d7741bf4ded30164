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

// Look is what a machine answered to a look at its lists.
type Look struct {
	Born    int64
	Clock   int64 // the machine's steady clock in ms
	Sent    time.Duration
	Running []RunReport
	Ended   []EndReport
}

// Observe takes a machine's lists into account.
func (e *Engine) Observe(id string, token int64, l Look, now time.Duration) {
	m := e.machines[id]
	if m == nil || token != m.token {
		return
	}
	if m.spec.Born != 0 && l.Born > m.spec.Born {
		e.rebirth(m, l.Born, now)
		return
	}
	if l.Born != 0 && l.Born < m.spec.Born {
		return
	}
	if m.spec.Born == 0 {
		m.spec.Born = l.Born
	}
	if !m.looked {
		m.looked = true

		e.log.Info().Str("event", "machine_in_touch").Str("machine", id).Int64("token", token).
			Int("running", len(l.Running)).Int("ended", len(l.Ended)).Send()
	}
	m.silent = false
	if m.named {
		m.named = false
		e.record(m) // it takes new work once the record no longer names its runs
	}
	m.foreign = false
	m.lookedAt = now
	m.clock.observe(l.Clock, now)
	for _, end := range l.Ended {
		if end.Number > m.processed {
			e.ended(m, end, now)
			m.processed = end.Number
		}
	}
	present := make(map[runKey]bool, len(l.Running))
	m.strangers = 0
	for _, rep := range l.Running {
		present[runKey{rep.Task, rep.Run}] = true
		e.listed(m, rep, now)
	}
	for _, r := range m.sortedRuns() {
		if present[runKey{r.task.name, r.number}] {
			continue
		}
		switch {
		case r.token < m.token:
			e.closeRun(r, now, "superseded")
		case r.stopAnswer != 0 && l.Sent > r.stopAnswer:
			e.closeRun(r, now, "stopped_before_start")
		case r.started != 0 && l.Sent > r.started:
			e.closeRun(r, now, "vanished")
		}
	}
}

// listed takes one running entry into account.
func (e *Engine) listed(m *machineState, rep RunReport, now time.Duration) {
	r := m.runs[runKey{rep.Task, rep.Run}]
	if r == nil {
		r = e.adopt(m, rep, now)
		if r == nil {
			return
		}
	}
	if r.state == runOrdered || r.state == runDoubtful {
		e.confirm(r, now)
	}
	r.inLook, r.token = true, m.token
	if rep.Percent > r.percent || r.seenAt == 0 {
		r.movedAt = now
	}
	r.percent, r.seenAt = rep.Percent, now
	if rep.Checkpoint != "" {
		r.checkpoint, r.task.checkpoint = rep.Checkpoint, rep.Checkpoint
	}
}

// confirm marks a run as running.
func (e *Engine) confirm(r *run, now time.Duration) {
	r.started = now
	if r.state != runStopping {
		r.state = runListed
	}
	r.seenAt, r.movedAt = now, now
	j := r.task.step.occ.job
	j.begun = true
	if j.state == Queued {
		j.state = Running
	}
}

// adopt takes over a run that this leader did not order. An unwanted one is
// stopped; it holds its room, and its task waits, until it has ended. It returns
// nil if the size of the run is not known.
func (e *Engine) adopt(m *machineState, rep RunReport, now time.Duration) *run {
	t := e.findTask(rep.Task)
	if t == nil || t.run != nil {
		m.strangers++
		e.orders.Stops = append(e.orders.Stops, Stop{m.spec, m.token, rep.Task, rep.Run})
		e.log.Warn().Str("event", "unknown_run_stopped").Str("machine", m.spec.ID).Str("task", rep.Task).
			Int64("run", rep.Run).Bool("task_known", t != nil).Send()
		return nil
	}
	r := &run{task: t, machine: m, number: rep.Run, token: m.token, ordered: now}
	t.run, t.lastRun = r, max(t.lastRun, rep.Run)
	m.reserve(r)
	gang := t.step.spec.Gang
	why := ""
	switch {
	case t.done || t.step.occ.job.state.final():
		why = "not_wanted"
	case gang && t.step.gang.run != 0 && t.step.gang.run != rep.Run:
		why = "other_attempt"
	case gang && t.step.gang.run == 0:
		t.step.gang.run, t.step.gang.began = rep.Run, now
	}
	e.log.Info().Str("event", "run_adopted").Str("machine", m.spec.ID).Str("task", rep.Task).Int64("run", rep.Run).
		Str("unwanted", why).Send()
	if why != "" {
		e.stop(r, why, now)
	}
	return r
}

// ended takes one ended entry into account.
func (e *Engine) ended(m *machineState, end EndReport, now time.Duration) {
	e.stats.Ends[end.Kind]++
	r := m.runs[runKey{end.Task, end.Run}]
	t := e.findTask(end.Task)
	if r != nil {
		t = r.task
	}
	if t == nil {
		return
	}
	if end.Checkpoint != "" && (r != nil || t.checkpoint == "") {
		t.checkpoint = end.Checkpoint
	}
	e.log.Info().Str("event", "run_ended").Str("machine", m.spec.ID).Str("task", end.Task).Int64("run", end.Run).
		Str("how", string(end.Kind)).Int64("number", end.Number).Bool("known", r != nil).Send()
	if r != nil {
		if end.Kind == EndDone && r.started != 0 {
			t.took, t.ranOn = now-r.started, m
			e.speeds.learn(t.step, t.took)
		}
		e.dropRun(r)
	}
	t.lastRun = max(t.lastRun, end.Run)
	e.settleEnd(m, t, end, now)
}

// settleEnd moves the task on after an end.
func (e *Engine) settleEnd(m *machineState, t *task, end EndReport, now time.Duration) {
	j := t.step.occ.job

	j.begun = true
	if j.state.final() {
		return
	}
	if j.state == Queued {
		j.state = Running
	}
	switch {
	case end.Kind == EndDone && t.step.spec.Persistent:
		// a persistent task is placed again, however it ended
	case end.Kind == EndDone:
		m.health.succeeded()
		if t.step.spec.Gang {
			for _, member := range t.step.tasks {
				e.taskDone(member, now)
			}
			return
		}
		e.taskDone(t, now)
	case end.Kind == EndFailed:
		e.taskFailed(m, t, end.Run, now)
	}
	if t.step.spec.Gang && !t.done && end.Run == t.step.gang.run {
		e.abortGang(t.step, "member_"+string(end.Kind), now, false)
	}
}

// taskFailed counts a failed attempt and fails the job after too many. The
// attempts of a gang are counted at its first task.
func (e *Engine) taskFailed(m *machineState, t *task, run int64, now time.Duration) {
	j := t.step.occ.job
	m.health.failed(now, j.spec.ID)
	first := t.avoid
	t.avoid = m.spec.ID
	if t.step.spec.Persistent {
		return
	}
	if len(t.failed) > 0 && first != "" && first != m.spec.ID {
		// The task fails wherever it runs: the machines are not at fault.
		if f := e.machines[first]; f != nil {
			f.health.forgive(j.spec.ID)
		}
		m.health.forgive(j.spec.ID)
	}
	counter := t
	if t.step.spec.Gang {
		counter = t.step.tasks[0]
	}
	if slices.Contains(counter.failed, run) {
		return
	}
	counter.failed = append(counter.failed, run)
	e.journal.dirty[j] = true
	if len(counter.failed) >= j.queue.MaxAttempts {
		e.finish(j, Failed, "task "+t.name+" has used its attempts", now)
	}
}

// closeRun ends a run that the machine will not report.
func (e *Engine) closeRun(r *run, now time.Duration, why string) {
	e.log.Info().Str("event", "run_closed").Str("machine", r.machine.spec.ID).Str("task", r.task.name).
		Int64("run", r.number).Str("reason", why).Int64("age_ms", (now - r.ordered).Milliseconds()).Send()
	began := r.started != 0
	e.dropRun(r)

	s := r.task.step
	if s.spec.Gang && !r.task.done && began {
		e.abortGang(s, why, now, true)
	}
}

// dropRun frees the room of a run.
func (e *Engine) dropRun(r *run) {
	r.machine.release(r)
	if r.task.run == r {
		r.task.run = nil
	}
	if r.reason == "stuck" || r.reason == "slow" || r.reason == reasonUnanswered {
		r.task.avoid = r.machine.spec.ID
	}
	s := r.task.step
	if s.spec.Gang && s.gang.run != 0 {
		for _, t := range s.tasks {
			if t.run != nil {
				return
			}
		}
		if s.gang.aborting {
			s.gang.run, s.gang.aborting = 0, false
		}
	}
}

// leaseClock relates a machine's steady clock to the engine's clock.
type leaseClock struct {
	maxLease time.Duration
	known    bool
	reading  int64         // ms on the machine's clock
	at       time.Duration // when the reading arrived; the machine's clock was at least there
	sent     int64         // latest lease end that was sent, ms on the machine's clock
}

func (c *leaseClock) observe(reading int64, now time.Duration) {
	if !c.known {
		// A former leader may have granted a full lease just before.
		c.sent = max(c.sent, reading+c.maxLease.Milliseconds())
	}
	if !c.known || reading >= c.reading {
		c.known, c.reading, c.at = true, reading, now
	}
}

// renewWindow is the time after the last answer of a machine up to which leases
// get longer. It covers a look that waits and is repeated once. Orders to a
// machine that stays silent must not extend its lease without end.
const renewWindow = 3 * time.Second

// lease returns the end of a full lease on the machine's clock, and remembers
// that it may have been granted.
func (c *leaseClock) lease(now time.Duration) int64 {
	if !c.known {
		return 0
	}
	end := c.reading + (min(now-c.at, renewWindow) + c.maxLease).Milliseconds()
	c.sent = max(c.sent, end)
	return end
}

// lapsed reports whether every lease that was sent has surely ended, also on a
// clock that is slow by clockDrift.
func (c *leaseClock) lapsed(now time.Duration) bool {
	if !c.known {
		return false
	}
	least := c.reading + int64(float64((now-c.at).Milliseconds())*(1-clockDrift))
	return least > c.sent+settleSlack.Milliseconds()
}

// LeaseFor returns what a look at a machine carries: the end of the lease on the
// machine's clock (0 if the clock is not known yet), the number up to which ends
// are stored, and whether ends wait for being stored.
func (e *Engine) LeaseFor(id string, now time.Duration) (end, ackable int64, waiting bool) {
	m := e.machines[id]
	if m == nil {
		return 0, 0, false
	}
	return m.clock.lease(now), m.ackable, m.processed > m.ackable
}

// Acknowledged reports the number up to which ends of a machine are stored.
func (e *Engine) Acknowledged(id string) (ackable, processed int64) {
	if m := e.machines[id]; m != nil {
		return m.ackable, m.processed
	}
	return 0, 0
}

// expire closes the runs of machines whose leases have lapsed, and forgets
// machines that are gone.
func (e *Engine) expire(now time.Duration) {
	for _, m := range slices.Clone(e.byID) {
		id := m.spec.ID
		if len(m.runs) > 0 && m.looked && m.clock.lapsed(now) {
			e.log.Warn().Str("event", "machine_lapsed").Str("machine", id).Int("runs", len(m.runs)).
				Int64("silent_ms", (now - m.lookedAt).Milliseconds()).Send()
			for _, r := range m.sortedRuns() {
				e.closeRun(r, now, "lease_lapsed")
			}
			m.health.crashed(now)
		}
		gone := !m.listed && len(m.runs) == 0 && now-m.lookedAt > e.horizon()
		if gone && !m.foreign {
			e.remove(m)
			e.journal.drops = append(e.journal.drops, machineKey(id))
			e.log.Info().Str("event", "machine_forgotten").Str("machine", id).Send()
		}
	}
	if now-e.started > e.horizon() {
		for _, m := range e.byID {
			if m.foreign && m.silent && !m.named {
				m.named = true // nothing of former leaders runs on it any more
				e.record(m)
			}
			m.foreign = false
		}
	}
	if !e.settled {
		e.settle(now)
	}
}

// record hands the record of a machine to the journal. Until it is stored the
// machine takes no new work.
func (e *Engine) record(m *machineState) {
	m.unsaved++
	e.journal.machines = append(e.journal.machines, m)
}

// Unanswered takes into account that a look at a machine was not answered. The
// machine takes no new work. The tasks that may run on it are recorded, so that
// the next leader need not hold all others back while it cannot reach the machine.
func (e *Engine) Unanswered(id string) {
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

// Silent returns how many machines do not answer, and how many there are.
func (e *Engine) Silent() (silent, all int) {
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

// horizon is the time after which a lease granted before has surely ended.
func (e *Engine) horizon() time.Duration {
	return time.Duration(float64(e.cfg.Lease)*(1+clockDrift)) + settleSlack
}

// settle checks whether runs of former leaders can still be unknown.
func (e *Engine) settle(now time.Duration) {
	if now-e.started <= e.horizon() {
		for _, m := range e.byID {
			if m.foreign && !m.named {
				return
			}
		}
	}
	e.settled = true
	e.log.Info().Str("event", "runs_settled").Int64("after_ms", (now - e.started).Milliseconds()).Send()
}

// Settled reports whether every run of former leaders is known or has ended.
func (e *Engine) Settled() bool { return e.settled }

// Machine returns the current incarnation of a machine and the token for calls to it.
func (e *Engine) Machine(id string) (MachineView, bool) {
	m := e.machines[id]
	if m == nil {
		return MachineView{}, false
	}
	return MachineView{m.spec, m.token}, true
}

// Replaced takes into account that another incarnation answers at the address of
// a machine: the one that was known there is gone with all that ran on it.
func (e *Engine) Replaced(id string, now time.Duration) {
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
