package sched

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// world plays machines, the log and one leader after another in virtual time. It
// checks from what machines see that the promises to callers hold.
type simulation struct {
	t                *testing.T
	rng              *rand.Rand
	now              time.Duration
	events           events
	lastSequence     int
	machines         map[string]*fakeMachine
	machineIDs       []string
	queues           []Queue
	log              map[string][]byte // the log
	engine           *Engine
	term             int64
	faults           faultRates
	jobSpecs         map[string]Job
	accepted         map[string]bool
	cancelledAt      map[string]time.Duration // when a cancellation was acknowledged
	acknowledgedDone map[string]bool          // tasks with an acknowledged end "done"
	doneEnds         map[string]int           // tasks to ends "done"
	failedRuns       map[string]map[int64]bool
	violations       []string
	startCount       int
	logOutput        strings.Builder
}

// faults are probabilities: late, lost, failRun and poison per order or job, the
// others per second (of each machine).
type faultRates struct {
	lateOrder, lostAnswer, failedRun, machineCrash, machineCutOff, leaderCrash, failingJob float64
}

type event struct {
	at       time.Duration
	sequence int
	action   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (sim *simulation) schedule(delay time.Duration, action func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{sim.now + delay, sim.lastSequence, action})
}

func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
	}
	sim.now = until
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *simulation) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(sim.rng.Int64N(int64(to-from)+1))
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%8.3fs ", sim.now.Seconds())+fmt.Sprintf(format, args...))
}

// fakeMachine is a worker machine with the rules of the platform's executors.
type fakeMachine struct {
	sim          *simulation
	spec         Machine
	incarnation  int // rises with each crash; answers and orders of former lives are void
	bootedAt     time.Duration
	clockRate    float64 // of its clock
	token        int64
	leaseEnd     int64 // end on its clock, ms
	runs         map[runKey]*fakeRun
	highestRun   map[string]int64 // task to the highest run that was stopped or ended
	ended        []EndReport
	endCount     int64
	acknowledged int64
	cutOffUntil  time.Duration
}

type fakeRun struct {
	key          runKey
	need         machine.Resources
	startedAt    time.Duration
	runTime      time.Duration
	fails        bool
	stopping     bool
	gangComplete bool // for members of gangs: all members are there
}

func (m *fakeMachine) clock() int64 {
	return int64(float64((m.sim.now-m.bootedAt).Milliseconds())*m.clockRate) + 1000
}

func (m *fakeMachine) used() machine.Resources {
	var r machine.Resources
	for _, x := range m.runs {
		r = r.Add(x.need)
	}
	return r
}

// sorted returns the runs in a fixed order, so that a seed always plays the same.
func (m *fakeMachine) sortedRuns() []*fakeRun {
	out := make([]*fakeRun, 0, len(m.runs))
	for _, r := range m.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *fakeRun) int { return strings.Compare(a.key.task, b.key.task) })
	return out
}

// start executes a start order.
func (m *fakeMachine) start(o Start, leaseEnd int64) StartOutcome {
	sim := m.sim
	if o.Token < m.token {
		return RefusedStaleToken
	}
	m.token = o.Token
	m.leaseEnd = max(m.leaseEnd, min(leaseEnd, m.clock()+sim.leaseTime().Milliseconds()))
	key := runKey{o.Task, o.Run}
	if m.runs[key] != nil {
		return Started
	}
	if o.Run <= m.highestRun[o.Task] {
		return RefusedOldRun
	}
	if leaseEnd <= m.clock() {
		return RefusedLeaseExpired
	}
	s, j := sim.stepOf(o.Task)
	r := &fakeRun{key: key, need: s.Need, startedAt: sim.now, runTime: sim.randomDuration(s.Estimate/2, 2*s.Estimate), fails: sim.chance(sim.faults.failedRun)}
	if strings.HasSuffix(j.ID, "x") {
		r.fails = true
	}
	sim.checkStart(m, o, r)
	m.runs[key] = r
	sim.startCount++
	incarnation := m.incarnation
	if s.Gang {
		sim.memberStarted(o, s, j)
		sim.schedule(sim.gangWait(), func() {
			if m.incarnation == incarnation && m.runs[key] == r && !r.gangComplete {
				m.endRun(r, EndGangIncomplete)
			}
		})
		return Started
	}
	sim.schedule(r.runTime, func() { m.finishRun(r, incarnation) })
	return Started
}

func (m *fakeMachine) finishRun(r *fakeRun, incarnation int) {
	if m.incarnation != incarnation || m.runs[r.key] != r {
		return
	}
	kind := EndDone
	if r.fails {
		kind = EndFailed
	}
	m.endRun(r, kind)
}

func (m *fakeMachine) endRun(r *fakeRun, kind EndKind) {
	delete(m.runs, r.key)
	m.highestRun[r.key.task] = max(m.highestRun[r.key.task], r.key.run)
	m.endCount++
	m.ended = append(m.ended, EndReport{Number: m.endCount, Task: r.key.task, Run: r.key.run, Kind: kind})
	if kind == EndDone {
		m.sim.doneEnds[r.key.task]++
	}
	s, _ := m.sim.stepOf(r.key.task)
	if s.Gang && kind != EndDone {
		m.sim.endOtherMembers(r.key)
	}
}

// stop executes a stop order.
func (m *fakeMachine) stop(o Stop) bool {
	if o.Token < m.token {
		return false
	}
	m.token = o.Token
	m.highestRun[o.Task] = max(m.highestRun[o.Task], o.Run)
	if r := m.runs[runKey{o.Task, o.Run}]; r != nil && !r.stopping {
		r.stopping = true
		incarnation := m.incarnation
		m.sim.schedule(m.sim.randomDuration(10*time.Millisecond, 400*time.Millisecond), func() {
			if m.incarnation == incarnation && m.runs[r.key] == r {
				m.endRun(r, EndStopped)
			}
		})
	}
	return true
}

// look executes a look.
func (m *fakeMachine) poll(token, leaseEnd, ack int64) (PollResult, bool) {
	if token < m.token {
		return PollResult{}, false
	}
	m.token = token
	if leaseEnd > 0 {
		m.leaseEnd = max(m.leaseEnd, min(leaseEnd, m.clock()+m.sim.leaseTime().Milliseconds()))
	}
	for m.acknowledged < ack && len(m.ended) > 0 {
		e := m.ended[0]
		m.ended = m.ended[1:]
		m.acknowledged = e.Number
		m.sim.endAcknowledged(e)
	}
	result := PollResult{Born: m.spec.Born, Clock: m.clock(), Ended: slices.Clone(m.ended)}
	for _, r := range m.runs {
		percent := int(100 * (m.sim.now - r.startedAt) / max(r.runTime, 1))
		result.Running = append(result.Running, RunReport{Task: r.key.task, Run: r.key.run, Percent: min(percent, 99)})
	}
	sort.Slice(result.Running, func(i, j int) bool { return result.Running[i].Task < result.Running[j].Task })
	return result, true
}

// lapse kills everything when the lease is over.
func (m *fakeMachine) expireLease() {
	if m.leaseEnd > 0 && m.clock() > m.leaseEnd {
		for _, r := range m.sortedRuns() {
			m.endRun(r, EndLeaseExpired)
		}
	}
}

// crash restarts the machine under its old id.
func (m *fakeMachine) crash(down time.Duration) {
	m.incarnation++
	m.runs, m.highestRun, m.ended = map[runKey]*fakeRun{}, map[string]int64{}, nil
	m.cutOffUntil = m.sim.now + down
	m.sim.schedule(down, func() {
		m.token, m.leaseEnd, m.endCount, m.acknowledged = 0, 0, 0, 0
		m.bootedAt = m.sim.now
		m.spec.Born = 1_700_000_000_000 + m.sim.now.Milliseconds()
	})
}

func (sim *simulation) leaseTime() time.Duration { return 6 * time.Second }
func (sim *simulation) gangWait() time.Duration  { return 3 * time.Second }

func (sim *simulation) stepOf(task string) (*Step, Job) {
	parts := strings.Split(task, ".")
	j := sim.jobSpecs[parts[0]]
	var k, s int
	if _, err := fmt.Sscanf(parts[1]+" "+parts[2], "%d %d", &k, &s); err != nil {
		sim.t.Fatal(err)
	}
	return &j.Steps[s], j
}

// gangStarted lets a gang work once all members are there.
func (sim *simulation) memberStarted(o Start, s *Step, _ Job) {
	prefix := o.Task[:strings.LastIndex(o.Task, ".")+1]
	// The member that starts is put into its machine after this call returns.
	sim.schedule(0, func() {
		type member struct {
			m *fakeMachine
			r *fakeRun
		}
		var members []member
		for _, id := range sim.machineIDs {
			m := sim.machines[id]
			for _, r := range m.sortedRuns() {
				if strings.HasPrefix(r.key.task, prefix) && r.key.run == o.Run && !r.stopping {
					members = append(members, member{m, r})
				}
			}
		}
		if len(members) < s.Count || members[0].r.gangComplete {
			return
		}
		runTime, fails := members[0].r.runTime, members[0].r.fails
		for _, x := range members {
			x.r.gangComplete = true
		}
		incarnations := make([]int, len(members))
		for i, x := range members {
			incarnations[i] = x.m.incarnation
		}
		sim.schedule(runTime, func() {
			complete := true
			for i, x := range members {
				complete = complete && x.m.incarnation == incarnations[i] && x.m.runs[x.r.key] == x.r
			}
			if !complete {
				return
			}
			if fails {
				members[0].m.endRun(members[0].r, EndFailed)
				return
			}
			for _, x := range members {
				x.m.endRun(x.r, EndDone)
			}
		})
	})
}

// gangBroken ends the other members of a run.
func (sim *simulation) endOtherMembers(key runKey) {
	prefix := key.task[:strings.LastIndex(key.task, ".")+1]
	for _, id := range sim.machineIDs {
		m := sim.machines[id]
		for _, r := range m.sortedRuns() {
			if strings.HasPrefix(r.key.task, prefix) && r.key.run == key.run && r.key.task != key.task {
				delete(m.runs, r.key)
				m.highestRun[r.key.task] = max(m.highestRun[r.key.task], r.key.run)
				m.endCount++
				m.ended = append(m.ended, EndReport{Number: m.endCount, Task: r.key.task, Run: r.key.run, Kind: EndGangBroken})
			}
		}
	}
}

// checkStart checks the promises that a start can break.
func (sim *simulation) checkStart(m *fakeMachine, o Start, r *fakeRun) {
	s, j := sim.stepOf(o.Task)
	if !m.used().Add(r.need).Fits(m.spec.Capacity) {
		sim.reportViolation("overfull: %s run %d on %s, used %s", o.Task, o.Run, m.spec.ID, m.used())
	}
	for _, id := range sim.machineIDs {
		other := sim.machines[id]
		for _, x := range other.runs {
			if x.key.task == o.Task {
				sim.reportViolation("twice at once: %s run %d on %s and run %d on %s", o.Task, x.key.run, id, o.Run, m.spec.ID)
			}
		}
	}
	if sim.acknowledgedDone[o.Task] {
		sim.reportViolation("started after its end was acknowledged: %s run %d", o.Task, o.Run)
	}
	for _, d := range s.DependsOn {
		for i := range j.Steps[d].Count {
			if name := fmt.Sprintf("%s.0.%d.%d", j.ID, d, i); sim.doneEnds[name] == 0 && !j.Steps[d].Gang {
				sim.reportViolation("before its predecessor: %s", o.Task)
			}
		}
	}
	if at, ok := sim.cancelledAt[j.ID]; ok && sim.now-at > 3*time.Second {
		sim.reportViolation("started after cancellation: %s", o.Task)
	}
	if n := len(sim.failedRuns[o.Task]); n >= sim.queues[0].MaxAttempts {
		sim.reportViolation("attempts exceeded: %s run %d after %d failures", o.Task, o.Run, n)
	}
	if s.MaxPerMachine > 0 {
		n := 0
		prefix := o.Task[:strings.LastIndex(o.Task, ".")+1]
		for _, x := range m.runs {
			if strings.HasPrefix(x.key.task, prefix) {
				n++
			}
		}
		if n >= s.MaxPerMachine {
			sim.reportViolation("too many of a step on one machine: %s", o.Task)
		}
	}
}

func (sim *simulation) endAcknowledged(e EndReport) {
	switch e.Kind {
	case EndDone:
		sim.acknowledgedDone[e.Task] = true
	case EndFailed:
		if sim.failedRuns[e.Task] == nil {
			sim.failedRuns[e.Task] = map[int64]bool{}
		}
		sim.failedRuns[e.Task][e.Run] = true
	}
}

func newSimulation(t *testing.T, seed uint64, f faultRates) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), faults: f, machines: map[string]*fakeMachine{},
		log: map[string][]byte{}, jobSpecs: map[string]Job{}, accepted: map[string]bool{}, cancelledAt: map[string]time.Duration{},
		acknowledgedDone: map[string]bool{}, doneEnds: map[string]int{}, failedRuns: map[string]map[int64]bool{},
		queues: []Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 3, Target: time.Second}},
	}
	for i := range 8 {
		id := fmt.Sprintf("m%d", i)
		sim.machineIDs = append(sim.machineIDs, id)
		sim.machines[id] = &fakeMachine{
			sim: sim, clockRate: 0.98 + 0.02*sim.rng.Float64(), runs: map[runKey]*fakeRun{}, highestRun: map[string]int64{},
			spec: Machine{ID: id, Born: 1_700_000_000_000, Service: "s", Rack: fmt.Sprintf("r%d", i/4),
				Capacity: machine.Resources{CPUMilli: 8000, MemoryMiB: 16000}},
		}
	}
	sim.leaseLoop()
	return sim
}

// lapseLoop ends the runs of machines whose leases are over.
func (sim *simulation) leaseLoop() {
	for _, id := range sim.machineIDs {
		sim.machines[id].expireLease()
	}
	sim.schedule(10*time.Millisecond, sim.leaseLoop)
}

// elect starts a new leader from what is stored.
func (sim *simulation) startLeader() {
	sim.term++
	e := New(Config{Token: sim.term * TokensPerTenure, Lease: sim.leaseTime(), StopLimit: 400 * time.Millisecond,
		GangWait: sim.gangWait(), SpreadFactor: 3, FinalStateRetention: time.Minute, Logger: zerolog.New(&sim.logOutput)}, sim.now)
	e.SetQueues(1, sim.queues)
	var records []Record
	for k, v := range sim.log {
		records = append(records, Record{k, v})
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	e.Restore(records, sim.now, sim.wall())
	sim.engine = e
	var list []Machine
	for _, id := range sim.machineIDs {
		list = append(list, sim.machines[id].spec)
	}
	e.SetMachines(list, sim.now)
	sim.planLoop(e)
	sim.flushLoop(e)
	for _, id := range sim.machineIDs {
		sim.pollLoop(e, id)
	}
}

func (sim *simulation) wall() time.Time {
	return time.UnixMilli(1_700_000_000_000 + sim.now.Milliseconds())
}

func (sim *simulation) latency() time.Duration {
	return sim.randomDuration(time.Millisecond, 20*time.Millisecond)
}

// reachable reports whether a call to the machine gets through now.
func (sim *simulation) reachable(m *fakeMachine) bool { return sim.now >= m.cutOffUntil }

func (sim *simulation) planLoop(e *Engine) {
	if sim.engine != e {
		return
	}
	orders := e.Plan(sim.now)
	for _, o := range orders.Starts {
		sim.sendStart(e, o)
	}
	for _, o := range orders.Stops {
		sim.sendStop(e, o)
	}
	sim.schedule(10*time.Millisecond, func() { sim.planLoop(e) })
}

// deliver carries an order to a machine, perhaps late, and answers perhaps not.
func (sim *simulation) deliver(m *fakeMachine, call func() bool, answer func()) {
	if sim.chance(sim.faults.lateOrder) {
		incarnation := m.incarnation // an order that the machine leaves lying is gone after its crash
		sim.schedule(sim.randomDuration(2*time.Second, 12*time.Second), func() {
			if sim.reachable(m) && m.incarnation == incarnation {
				call()
			}
		})
		return
	}
	sim.schedule(sim.latency(), func() {
		if !sim.reachable(m) {
			return
		}
		if call() && !sim.chance(sim.faults.lostAnswer) {
			sim.schedule(sim.latency(), answer)
		}
	})
}

func (sim *simulation) sendStart(e *Engine, o Start) {
	m := sim.machines[o.Machine.ID]
	end, _ := e.GrantLease(o.Machine.ID, sim.now)
	answered := false
	var outcome StartOutcome
	sim.deliver(m, func() bool {
		if o.Machine.ID != m.spec.ID {
			return false
		}
		outcome = m.start(o, end)
		return true
	}, func() {
		if !answered && sim.engine == e {
			answered = true
			e.StartAnswered(o, outcome, sim.now)
		}
	})
	sim.schedule(350*time.Millisecond, func() {
		if !answered && sim.engine == e {
			answered = true
			e.StartAnswered(o, Unanswered, sim.now)
		}
	})
}

func (sim *simulation) sendStop(e *Engine, o Stop) {
	m := sim.machines[o.Machine.ID]
	sim.deliver(m, func() bool { return m.stop(o) }, func() {
		if sim.engine == e {
			e.StopAnswered(o, true, sim.now)
		}
	})
}

func (sim *simulation) pollLoop(e *Engine, id string) {
	if sim.engine != e {
		return
	}
	m := sim.machines[id]
	view, ok := e.Machine(id)
	end, ack := e.GrantLease(id, sim.now)
	sent := sim.now
	if ok {
		answered := false
		sim.schedule(sim.latency(), func() {
			if !sim.reachable(m) {
				return
			}
			result, ok := m.poll(view.Token, end, ack)
			result.Sent = sent
			if ok && !sim.chance(sim.faults.lostAnswer) {
				sim.schedule(sim.latency(), func() {
					answered = true
					if sim.engine == e {
						e.PollAnswered(id, view.Token, result, sim.now)
					}
				})
			}
		})
		sim.schedule(600*time.Millisecond, func() {
			if !answered && sim.engine == e {
				e.PollUnanswered(id)
			}
		})
	}
	sim.schedule(sim.randomDuration(30*time.Millisecond, 300*time.Millisecond), func() { sim.pollLoop(e, id) })
}

func (sim *simulation) flushLoop(e *Engine) {
	if sim.engine != e {
		return
	}
	b, changed, err := e.Flush(sim.wall())
	if err != nil {
		sim.t.Fatal(err)
	}
	if !changed {
		sim.schedule(10*time.Millisecond, func() { sim.flushLoop(e) })
		return
	}
	sim.schedule(sim.latency(), func() {
		if sim.engine != e && sim.chance(0.5) {
			return // the append was refused: another leader has taken over
		}
		if sim.engine != e {
			return
		}
		for _, r := range b.Records {
			if len(r.Value) == 0 {
				delete(sim.log, r.Key)
			} else {
				sim.log[r.Key] = r.Value
			}
		}
		sim.schedule(sim.latency(), func() {
			if sim.engine == e {
				e.BatchStored(b, sim.now)
				sim.flushLoop(e)
			}
		})
	})
}

// randomJob returns a job of a random shape.
func (sim *simulation) randomJob(n int) Job {
	j := Job{ID: fmt.Sprintf("%016d", n), Queue: "q", Payload: "p", Accepted: sim.wall().UnixMilli()}
	if sim.chance(sim.faults.failingJob) {
		j.ID = fmt.Sprintf("%015dx", n)
	}
	for i := range 1 + sim.rng.IntN(2) {
		s := Step{Count: 1 + sim.rng.IntN(5), Estimate: sim.randomDuration(200*time.Millisecond, 2*time.Second),
			Need: machine.Resources{CPUMilli: 500 + sim.rng.Int64N(3000), MemoryMiB: 100 + sim.rng.Int64N(4000)}}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		s.Gang = sim.chance(0.3)
		if !s.Gang && sim.chance(0.2) {
			s.MaxPerMachine = 1 + sim.rng.IntN(2)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// play submits jobs for a time under faults, then lets everything come to an end.
func (sim *simulation) play(faultTime, quietTime time.Duration) {
	sim.startLeader()
	jobCount := 0
	var submit func()
	submit = func() {
		if sim.now > faultTime {
			return
		}
		if sim.engine == nil {
			sim.schedule(100*time.Millisecond, submit)
			return
		}
		jobCount++
		j := sim.randomJob(jobCount)
		sim.jobSpecs[j.ID] = j
		if err := sim.engine.Submit(j, sim.now, sim.wall(), func() { sim.accepted[j.ID] = true }); err != nil {
			sim.t.Fatal(err)
		}
		if sim.chance(0.05) {
			e := sim.engine
			sim.schedule(sim.randomDuration(0, time.Second), func() {
				if sim.engine == e && sim.accepted[j.ID] {
					e.Cancel(j.ID, sim.now, func() { sim.cancelledAt[j.ID] = sim.now })
				}
			})
		}
		sim.schedule(sim.randomDuration(100*time.Millisecond, 400*time.Millisecond), submit)
	}
	submit()
	var injectFaults func()
	injectFaults = func() {
		for _, id := range sim.machineIDs {
			m := sim.machines[id]
			if sim.now > faultTime || sim.now < m.cutOffUntil {
				continue
			}
			switch {
			case sim.chance(sim.faults.machineCrash / 100):
				m.crash(sim.randomDuration(100*time.Millisecond, 4*time.Second))
			case sim.chance(sim.faults.machineCutOff / 100):
				m.cutOffUntil = sim.now + sim.randomDuration(100*time.Millisecond, 8*time.Second)
			}
		}
		if sim.now < faultTime && sim.chance(sim.faults.leaderCrash/100) {
			sim.engine = nil
			sim.schedule(sim.randomDuration(900*time.Millisecond, 2*time.Second), sim.startLeader)
			sim.schedule(2100*time.Millisecond, injectFaults)
			return
		}
		sim.schedule(10*time.Millisecond, injectFaults)
	}
	injectFaults()
	var updateHostList func()
	updateHostList = func() {
		if sim.engine != nil {
			var list []Machine
			for _, id := range sim.machineIDs {
				list = append(list, sim.machines[id].spec)
			}
			sim.engine.SetMachines(list, sim.now)
		}
		sim.schedule(400*time.Millisecond, updateHostList)
	}
	updateHostList()
	// Submissions need a leader: pause them with it.
	step := 10 * time.Millisecond
	for sim.now < faultTime+quietTime {
		sim.runUntil(sim.now + step)
	}
}

// checkEnds checks that every accepted job has come to a truthful end.
func (sim *simulation) checkFinalStates() {
	for id := range sim.accepted {
		state, known := sim.engine.State(id)
		_, cancelled := sim.cancelledAt[id]
		switch {
		case !known:
			sim.reportViolation("accepted job %s is not known", id)
		case cancelled:
		case !state.final():
			sim.reportViolation("job %s is still %s", id, state)
		case state == Completed:
			for i, s := range sim.jobSpecs[id].Steps {
				for n := range s.Count {
					if name := fmt.Sprintf("%s.0.%d.%d", id, i, n); sim.doneEnds[name] == 0 && !s.Gang {
						sim.reportViolation("job %s is shown as completed, but %s has not ended so", id, name)
					}
				}
			}
		}
	}
}
