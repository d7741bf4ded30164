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

// placer is the part of the engine that the replay drives; the baselines
// implement it too.
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

// arrival is a job with what its tasks really use. Declarations may be wrong.
type arrival struct {
	at    time.Duration
	class string
	job   workload.Job
	size  machine.Resources // real peak of a task
	run   []time.Duration   // real run time per task
}

type simEvent struct {
	at   time.Duration
	seq  int
	arr  *arrival
	task *simTask
	att  int
}

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

type simTask struct {
	arr     *arrival
	now     workload.Task
	node    string
	started time.Duration
	left    time.Duration // real run time that is left
	first   bool          // it has started at least once
	failing bool
}

// sim replays arrivals and finishes against a placer. It models no network, no
// daemons and no failures but those of wrong declarations: a task that is given
// less memory than it uses fails halfway, one that is given fewer processors
// runs longer.
type sim struct {
	tb      testing.TB
	p       placer
	nodes   map[string]Node
	held    map[string]machine.Resources
	on      map[string]map[string]*simTask
	tasks   map[string]*simTask
	events  simEvents
	seq     int
	now     time.Duration
	wake    time.Duration
	total   machine.Resources
	alloc   machine.Resources
	real    machine.Resources
	waiting int
	out     outcome
}

// outcome is what a replay measures.
type outcome struct {
	waits    map[string]*hdrhistogram.Histogram // milliseconds, by class
	decide   *hdrhistogram.Histogram            // nanoseconds per call of Decide(now, 1)
	placed   int
	failed   int // runs lost to a wrong size
	refused  int
	late     int           // tasks that ended after the deadline and the grace window
	busy     time.Duration // spent in the placer
	makespan time.Duration
	waitTime time.Duration // during which work waited
	allocArea,
	realArea float64 // allocated and really used share while work waited, times seconds
}

func newSim(tb testing.TB, p placer, nodes []Node, in []arrival) *sim {
	s := &sim{tb: tb, p: p, nodes: map[string]Node{}, held: map[string]machine.Resources{},
		on: map[string]map[string]*simTask{}, tasks: map[string]*simTask{}}
	s.out.waits = map[string]*hdrhistogram.Histogram{}
	s.out.decide = hdrhistogram.New(1, 1e10, 3)
	for _, n := range nodes {
		p.SetNode(n)
		s.nodes[n.ID] = n
		s.on[n.ID] = map[string]*simTask{}
		s.total = s.total.Add(n.Total)
	}
	for i := range in {
		s.push(simEvent{at: in[i].at, arr: &in[i]})
	}
	return s
}

func (s *sim) push(e simEvent) {
	s.seq++
	e.seq = s.seq
	heap.Push(&s.events, e)
}

func (s *sim) time() time.Time { return start.Add(s.now) }

// timed runs f and counts its time as the placer's.
func (s *sim) timed(f func()) time.Duration {
	t := time.Now()
	f()
	d := time.Since(t)
	s.out.busy += d
	return d
}

// run replays until nothing is left to do or limit tasks were placed.
func (s *sim) run(limit int) outcome {
	for len(s.events) > 0 && (limit == 0 || s.out.placed < limit) {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > 3*time.Hour {
			s.tb.Fatalf("%d tasks still wait after three hours", s.waiting)
		}
		s.pass(e.at)
		s.handle(e)
		if len(s.events) > 0 && s.events[0].at == s.now {
			continue
		}
		s.decide()
	}
	if limit == 0 && s.waiting > 0 {
		s.tb.Fatalf("%d tasks never started", s.waiting)
	}
	s.out.makespan = s.now
	return s.out
}

func (s *sim) pass(to time.Duration) {
	if d := to - s.now; d > 0 && s.waiting > 0 {
		s.out.waitTime += d
		s.out.allocArea += dominant(s.alloc, s.total) * d.Seconds()
		s.out.realArea += dominant(s.real, s.total) * d.Seconds()
	}
	s.now = to
}

func (s *sim) handle(e simEvent) {
	switch {
	case e.arr != nil:
		s.submit(e.arr)
	case e.task != nil && e.task.node != "" && e.task.now.Attempt == e.att:
		t := e.task
		r := TaskResult{State: workload.Finished, Ran: t.arr.run[0], Used: t.arr.size}
		r.Ran = s.now - t.started
		if t.failing {
			r.State, r.Used.MemoryMiB = workload.Failed, t.now.Resources.MemoryMiB
			s.out.failed++
		} else {
			t.left = 0
			if d := t.arr.job.Deadline; !d.IsZero() && s.time().After(d.Add(t.arr.job.Grace)) {
				s.out.late++
			}
		}
		s.leave(t)
		s.timed(func() { s.p.Finish(t.now.ID, t.now.Attempt, r, s.time()) })
	}
}

func (s *sim) submit(a *arrival) {
	var err error
	s.timed(func() { err = s.p.Submit(a.job, s.time()) })
	if err != nil {
		s.out.refused++
		return
	}
	for i := range a.job.Count {
		s.tasks[workload.TaskID(a.job.ID, i)] = &simTask{arr: a, left: a.run[i]}
	}
	s.waiting += a.job.Count
}

func (s *sim) leave(t *simTask) {
	delete(s.on[t.node], t.now.ID)
	s.held[t.node] = s.held[t.node].Sub(t.now.Resources)
	s.alloc, s.real = s.alloc.Sub(t.now.Resources), s.real.Sub(t.arr.size)
	t.node = ""
	if t.left > 0 && !t.failing {
		s.waiting++
	}
}

func (s *sim) decide() {
	for {
		var props []Proposal
		d := s.timed(func() { props = s.p.Decide(s.time(), 1) })
		_ = s.out.decide.RecordValue(int64(d))
		for _, p := range props {
			for _, a := range p.Assignments {
				s.start(a)
			}
		}
		for _, st := range s.p.TakeStopRequests() {
			if t := s.tasks[st.Task.ID]; t.node != "" && t.now.Attempt == st.Task.Attempt {
				s.takeOff(t)
			}
		}
		if len(props) == 0 {
			break
		}
	}
	if at, ok := s.p.NextWake(); ok {
		if d := max(at.Sub(start), s.now+time.Millisecond); s.wake <= s.now || d < s.wake {
			s.wake = d
			s.push(simEvent{at: d})
		}
	}
}

// takeOff checkpoints t: it waits again with the run time that is left.
func (s *sim) takeOff(t *simTask) {
	t.left -= s.now - t.started
	t.left = max(t.left, time.Millisecond)
	s.leave(t)
	s.timed(func() { s.p.Finish(t.now.ID, t.now.Attempt, TaskResult{State: workload.Checkpointed}, s.time()) })
}

func (s *sim) start(a Assignment) {
	t := s.tasks[a.Task.ID]
	free := s.nodes[a.Node].Total.Sub(s.held[a.Node])
	if a.Preempt {
		var running []workload.Task
		for _, o := range s.on[a.Node] {
			running = append(running, o.now)
		}
		victims, ok := s.p.(*Engine).Victims(running, free, a.Task.Resources, a.Task.Priority)
		if !ok {
			s.p.Reject(a.Task.ID, a.Task.Attempt, "no_victims", s.time())
			return
		}
		for _, v := range victims {
			s.takeOff(s.tasks[v.Task.ID])
		}
		free = s.nodes[a.Node].Total.Sub(s.held[a.Node])
	}
	if !a.Task.Resources.Fits(free) || t.node != "" {
		s.tb.Fatalf("%s needs %s, %s has %s free", a.Task.ID, a.Task.Resources, a.Node, free)
	}
	s.timed(func() { s.p.Commit(a.Task.ID, a.Task.Attempt) })
	t.now, t.node, t.started = a.Task, a.Node, s.now
	s.on[a.Node][a.Task.ID] = t
	s.held[a.Node] = s.held[a.Node].Add(a.Task.Resources)
	s.alloc, s.real = s.alloc.Add(a.Task.Resources), s.real.Add(t.arr.size)
	s.out.placed++
	if !t.failing {
		s.waiting--
	}
	if !t.first {
		t.first = true
		s.wait(t.arr)
	}
	d := t.left
	if c := a.Task.Resources.CPUMilli; c < t.arr.size.CPUMilli {
		d = d * time.Duration(t.arr.size.CPUMilli) / time.Duration(c)
	}
	if t.failing = a.Task.Resources.MemoryMiB < t.arr.size.MemoryMiB; t.failing {
		d /= 2
	}
	s.push(simEvent{at: s.now + d, task: t, att: a.Task.Attempt})
}

func (s *sim) wait(a *arrival) {
	h := s.out.waits[a.class]
	if h == nil {
		h = hdrhistogram.New(1, 1e9, 3)
		s.out.waits[a.class] = h
	}
	_ = h.RecordValue(max(int64((s.now-a.at)/time.Millisecond), 1))
}

// bound is the shortest time in which the arrivals could end on the nodes: their
// declared sizes times their real run times over the capacity, and no job before
// its arrival plus its longest task.
func bound(nodes []Node, in []arrival) time.Duration {
	var total machine.Resources
	for _, n := range nodes {
		total = total.Add(n.Total)
	}
	var cpu, mem, acc float64
	var last time.Duration
	for _, a := range in {
		for _, d := range a.run {
			cpu += float64(a.job.Resources.CPUMilli) * d.Seconds()
			mem += float64(a.job.Resources.MemoryMiB) * d.Seconds()
			acc += float64(a.job.Resources.Accelerators) * d.Seconds()
			last = max(last, a.at+d)
		}
	}
	v := max(cpu/float64(total.CPUMilli), mem/float64(total.MemoryMiB))
	if total.Accelerators > 0 {
		v = max(v, acc/float64(total.Accelerators))
	}
	return max(last, time.Duration(v*float64(time.Second)))
}

var errNoRoom = errors.New("fits no worker")

func workers(n, perRack int, zones []string, total machine.Resources) []Node {
	out := make([]Node, n)
	for i := range out {
		r := i / perRack
		out[i] = Node{ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", r), Zone: zoneName(zones[r%len(zones)]), Total: total}
	}
	return out
}
