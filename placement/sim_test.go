package placement

import (
	"container/heap"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// placer is the part of the engine that a simulation uses. The baselines implement it
// too.
type placer interface {
	SetNode(Node)
	Submit(workload.Job, time.Time) error
	Decide(time.Time, int) []Proposal
	Commit(string, int)
	Reject(string, int, string, time.Time)
	Finish(string, int, TaskResult, time.Time)
	NextWake() (time.Time, bool)
	TakeStopRequests() []StopRequest
}

// arrival is a job that is submitted in a simulation, with what its tasks really use.
// The job's declarations may be wrong.
type arrival struct {
	at       time.Duration // since startTime
	class    string        // wait times are measured per class
	job      workload.Job
	peak     machine.Resources // real peak usage of a task
	runTimes []time.Duration   // real run time per task
}

// simEvent is a submission if arrival is set, the end of a task's attempt if task is
// set, and else a call of Decide.
type simEvent struct {
	at      time.Duration // since startTime
	seq     int           // order of events at the same time
	arrival *arrival
	task    *simTask
	attempt int // of task; the event is ignored if the task has another one by then
}

// simEvents is a heap of events by time.
type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(v any)   { *h = append(*h, v.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

// simTask is a task of a submitted job in a simulation.
type simTask struct {
	arrival     *arrival
	current     workload.Task // as last placed
	node        string        // empty while it does not run
	started     time.Duration // since startTime
	remaining   time.Duration // real run time that is left
	startedOnce bool          // at least one attempt has started
	failing     bool          // its latest attempt has too little memory and fails
}

// sim simulates the submission and the end of tasks against a placer. It models no
// network, no daemons and no failures but those of wrong declarations: a task that is
// given less memory than it uses fails after half of its run time, one that is given
// fewer processors runs longer.
type sim struct {
	tb        testing.TB
	placer    placer
	nodes     map[string]Node
	held      map[string]machine.Resources   // by running tasks, per worker
	tasksOn   map[string]map[string]*simTask // by worker and task id
	tasks     map[string]*simTask            // by task id
	events    simEvents
	seq       int
	now       time.Duration // since startTime
	nextWake  time.Duration // time of the latest event made for placer.NextWake
	total     machine.Resources
	allocated machine.Resources // held by running tasks
	real      machine.Resources // really used by running tasks
	waiting   int               // tasks
	outcome   outcome
}

// outcome is what a simulation measures.
type outcome struct {
	waits           map[string]*hdrhistogram.Histogram // milliseconds from arrival to first start, by class
	decideTimes     *hdrhistogram.Histogram            // nanoseconds per call of Decide(now, 1)
	placed          int                                // attempts started
	failed          int                                // attempts that failed for lack of memory
	refused         int                                // jobs refused by Submit
	late            int                                // tasks that ended after the deadline and the grace window
	placerTime      time.Duration                      // real time spent in the placer
	makespan        time.Duration                      // when the last event was handled
	timeWithWaiting time.Duration                      // during which at least one task waited
	allocatedShareSeconds,
	usedShareSeconds float64 // allocated and really used share of the cell, integrated over timeWithWaiting
}

func newSim(tb testing.TB, p placer, nodes []Node, arrivals []arrival) *sim {
	s := &sim{tb: tb, placer: p, nodes: map[string]Node{}, held: map[string]machine.Resources{},
		tasksOn: map[string]map[string]*simTask{}, tasks: map[string]*simTask{}}
	s.outcome.waits = map[string]*hdrhistogram.Histogram{}
	s.outcome.decideTimes = hdrhistogram.New(1, 1e10, 3)
	for _, n := range nodes {
		p.SetNode(n)
		s.nodes[n.ID] = n
		s.tasksOn[n.ID] = map[string]*simTask{}
		s.total = s.total.Add(n.Total)
	}
	for i := range arrivals {
		s.push(simEvent{at: arrivals[i].at, arrival: &arrivals[i]})
	}
	return s
}

func (s *sim) push(e simEvent) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

// simTime returns the simulated time.
func (s *sim) simTime() time.Time { return startTime.Add(s.now) }

// timed runs f, adds the real time that it takes to outcome.placerTime and returns it.
func (s *sim) timed(f func()) time.Duration {
	began := time.Now()
	f()
	elapsed := time.Since(began)
	s.outcome.placerTime += elapsed
	return elapsed
}

// run simulates until there are no more events or limit attempts were started; 0 is no
// limit. Without a limit the test fails if a task never starts.
func (s *sim) run(limit int) outcome {
	for len(s.events) > 0 && (limit == 0 || s.outcome.placed < limit) {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > 3*time.Hour {
			s.tb.Fatalf("%d tasks still wait after three simulated hours", s.waiting)
		}
		s.advanceTo(e.at)
		s.applyEvent(e)
		if len(s.events) > 0 && s.events[0].at == s.now {
			continue
		}
		s.decide()
	}
	if limit == 0 && s.waiting > 0 {
		s.tb.Fatalf("%d tasks never started", s.waiting)
	}
	s.outcome.makespan = s.now
	return s.outcome
}

// advanceTo sets the simulated time and adds to the measured shares.
func (s *sim) advanceTo(to time.Duration) {
	if d := to - s.now; d > 0 && s.waiting > 0 {
		s.outcome.timeWithWaiting += d
		s.outcome.allocatedShareSeconds += dominantShare(s.allocated, s.total) * d.Seconds()
		s.outcome.usedShareSeconds += dominantShare(s.real, s.total) * d.Seconds()
	}
	s.now = to
}

// applyEvent carries out a submission or the end of an attempt.
func (s *sim) applyEvent(e simEvent) {
	switch {
	case e.arrival != nil:
		s.submit(e.arrival)
	case e.task != nil && e.task.node != "" && e.task.current.Attempt == e.attempt:
		t := e.task
		result := TaskResult{State: workload.Finished, Ran: t.arrival.runTimes[0], Used: t.arrival.peak}
		result.Ran = s.now - t.started
		if t.failing {
			result.State, result.Used.MemoryMiB = workload.Failed, t.current.Resources.MemoryMiB
			s.outcome.failed++
		} else {
			t.remaining = 0
			if deadline := t.arrival.job.Deadline; !deadline.IsZero() && s.simTime().After(deadline.Add(t.arrival.job.Grace)) {
				s.outcome.late++
			}
		}
		s.removeTask(t)
		s.timed(func() { s.placer.Finish(t.current.ID, t.current.Attempt, result, s.simTime()) })
	}
}

func (s *sim) submit(a *arrival) {
	var err error
	s.timed(func() { err = s.placer.Submit(a.job, s.simTime()) })
	if err != nil {
		s.outcome.refused++
		return
	}
	for i := range a.job.Count {
		s.tasks[workload.TaskID(a.job.ID, i)] = &simTask{arrival: a, remaining: a.runTimes[i]}
	}
	s.waiting += a.job.Count
}

// removeTask takes t off its worker. It waits again if it has run time left; a task
// whose attempt failed is not counted as waiting.
func (s *sim) removeTask(t *simTask) {
	delete(s.tasksOn[t.node], t.current.ID)
	s.held[t.node] = s.held[t.node].Sub(t.current.Resources)
	s.allocated, s.real = s.allocated.Sub(t.current.Resources), s.real.Sub(t.arrival.peak)
	t.node = ""
	if t.remaining > 0 && !t.failing {
		s.waiting++
	}
}

// decide calls Decide until nothing more is proposed, starts what is proposed, and
// adds an event for NextWake.
func (s *sim) decide() {
	for {
		var props []Proposal
		duration := s.timed(func() { props = s.placer.Decide(s.simTime(), 1) })
		_ = s.outcome.decideTimes.RecordValue(int64(duration))
		for _, p := range props {
			for _, a := range p.Assignments {
				s.startTask(a)
			}
		}
		for _, stop := range s.placer.TakeStopRequests() {
			if t := s.tasks[stop.Task.ID]; t.node != "" && t.current.Attempt == stop.Task.Attempt {
				s.checkpoint(t)
			}
		}
		if len(props) == 0 {
			break
		}
	}
	if at, ok := s.placer.NextWake(); ok {
		if wake := max(at.Sub(startTime), s.now+time.Millisecond); s.nextWake <= s.now || wake < s.nextWake {
			s.nextWake = wake
			s.push(simEvent{at: wake})
		}
	}
}

// checkpoint takes t off its worker. It waits again with the run time that is left.
func (s *sim) checkpoint(t *simTask) {
	t.remaining -= s.now - t.started
	t.remaining = max(t.remaining, time.Millisecond)
	s.removeTask(t)
	s.timed(func() {
		s.placer.Finish(t.current.ID, t.current.Attempt, TaskResult{State: workload.Checkpointed}, s.simTime())
	})
}

// startTask starts a task as proposed, after preempting others if the assignment asks
// for that. It fails the test if the task does not fit or runs already.
func (s *sim) startTask(a Assignment) {
	t := s.tasks[a.Task.ID]
	free := s.nodes[a.Node].Total.Sub(s.held[a.Node])
	if a.Preempt {
		var running []workload.Task
		for _, other := range s.tasksOn[a.Node] {
			running = append(running, other.current)
		}
		victims, ok := s.placer.(*Engine).Victims(running, free, a.Task.Resources, a.Task.Priority)
		if !ok {
			s.placer.Reject(a.Task.ID, a.Task.Attempt, "no_victims", s.simTime())
			return
		}
		for _, v := range victims {
			s.checkpoint(s.tasks[v.Task.ID])
		}
		free = s.nodes[a.Node].Total.Sub(s.held[a.Node])
	}
	if !a.Task.Resources.Fits(free) || t.node != "" {
		s.tb.Fatalf("%s needs %s but is proposed for %s with %s free, or it runs already", a.Task.ID, a.Task.Resources, a.Node, free)
	}
	s.timed(func() { s.placer.Commit(a.Task.ID, a.Task.Attempt) })
	t.current, t.node, t.started = a.Task, a.Node, s.now
	s.tasksOn[a.Node][a.Task.ID] = t
	s.held[a.Node] = s.held[a.Node].Add(a.Task.Resources)
	s.allocated, s.real = s.allocated.Add(a.Task.Resources), s.real.Add(t.arrival.peak)
	s.outcome.placed++
	if !t.failing {
		s.waiting--
	}
	if !t.startedOnce {
		t.startedOnce = true
		s.recordWait(t.arrival)
	}
	runTime := t.remaining
	if cpu := a.Task.Resources.CPUMilli; cpu < t.arrival.peak.CPUMilli {
		runTime = runTime * time.Duration(t.arrival.peak.CPUMilli) / time.Duration(cpu)
	}
	if t.failing = a.Task.Resources.MemoryMiB < t.arrival.peak.MemoryMiB; t.failing {
		runTime /= 2
	}
	s.push(simEvent{at: s.now + runTime, task: t, attempt: a.Task.Attempt})
}

// recordWait records the time from the arrival of a job to the first start of one of
// its tasks.
func (s *sim) recordWait(a *arrival) {
	h := s.outcome.waits[a.class]
	if h == nil {
		h = hdrhistogram.New(1, 1e9, 3)
		s.outcome.waits[a.class] = h
	}
	_ = h.RecordValue(max(int64((s.now-a.at)/time.Millisecond), 1))
}

// makespanBound returns a lower bound of the time in which the arrivals can end with
// their declared sizes: the sum of declared size times real run time, divided by the
// capacity, and not before any task's arrival plus its run time.
func makespanBound(nodes []Node, arrivals []arrival) time.Duration {
	var total machine.Resources
	for _, n := range nodes {
		total = total.Add(n.Total)
	}
	var cpu, memory, accelerators float64
	var last time.Duration
	for _, a := range arrivals {
		for _, runTime := range a.runTimes {
			cpu += float64(a.job.Resources.CPUMilli) * runTime.Seconds()
			memory += float64(a.job.Resources.MemoryMiB) * runTime.Seconds()
			accelerators += float64(a.job.Resources.Accelerators) * runTime.Seconds()
			last = max(last, a.at+runTime)
		}
	}
	volumeBound := max(cpu/float64(total.CPUMilli), memory/float64(total.MemoryMiB))
	if total.Accelerators > 0 {
		volumeBound = max(volumeBound, accelerators/float64(total.Accelerators))
	}
	return max(last, time.Duration(volumeBound*float64(time.Second)))
}

var errFitsNoWorker = errors.New("fits no worker")

// newWorkers returns n workers of the same size, perRack of them in each rack. The
// racks are spread over the zones in turn.
func newWorkers(n, perRack int, zones []string, total machine.Resources) []Node {
	out := make([]Node, n)
	for i := range out {
		rack := i / perRack
		out[i] = Node{ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", rack), Zone: zoneName(zones[rack%len(zones)]), Total: total}
	}
	return out
}
