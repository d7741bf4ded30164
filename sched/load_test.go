package sched

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// load plays jobs of several kinds on machines that work as ordered, with an
// advisor behind a number of daemons. Nothing fails; it shows what callers get.
type load struct {
	rng      *rand.Rand
	e        *Engine
	now      time.Duration
	machines []Machine
	lanes    []time.Duration // when each daemon is free to ask again
	kinds    []loadKind
	open     []*openRun
	pending  []pendingAnswer
	next     int
	jobs     map[string]*loadJob
	refused  int
}

type loadKind struct {
	queue      Queue
	rate       float64 // jobs a second
	count      int     // mean tasks
	length     time.Duration
	need       machine.Resources
	gang       bool
	goodShare  float64
	burstFrom  time.Duration
	burstUntil time.Duration
	burst      float64
}

type openRun struct {
	machine string
	task    string
	run     int64
	began   time.Duration
	ends    time.Duration
}

type pendingAnswer struct {
	at, sent time.Duration
	ask      Ask
	good     map[string]string
	valid    time.Duration
}

type loadJob struct {
	kind      int
	submitted time.Duration
	objective time.Duration
	done      time.Duration
}

func newLoad(seed uint64, machines int, capacity machine.Resources, daemons int, kinds []loadKind) *load {
	l := &load{rng: rand.New(rand.NewPCG(seed, 7)), kinds: kinds, lanes: make([]time.Duration, daemons), jobs: map[string]*loadJob{}}
	l.e = New(Config{Token: 256, Lease: 6 * time.Second, GangWait: 3 * time.Second, SpreadFactor: 3, KeepFinal: time.Hour,
		Logger: zerolog.Nop()}, 0)
	queues := make([]Queue, len(kinds))
	for i := range kinds {
		queues[i] = kinds[i].queue
	}
	l.e.SetQueues(1, queues)
	for i := range machines {
		l.machines = append(l.machines, Machine{ID: fmt.Sprintf("i-%04d", i), Born: 1, Service: "s", Rack: fmt.Sprintf("r%d", i/8), Capacity: capacity})
	}
	l.e.SetMachines(l.machines, 0)
	l.flush()
	return l
}

func (l *load) wall() time.Time { return time.UnixMilli(1_700_000_000_000).Add(l.now) }

func (l *load) flush() {
	b, some, err := l.e.Flush(l.wall())
	if err != nil {
		panic(err)
	}
	if some {
		l.e.Flushed(b, l.now)
	}
}

// allowed is the advisor's fixed opinion.
func (l *load) allowed(step, machine string, share float64) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + "|" + machine)) // a hash does not fail
	return float64(h.Sum32()%1000) < share*1000
}

// run plays until the time given; jobs arrive until arrivals.
func (l *load) run(arrivals, until time.Duration) {
	const tick = 10 * time.Millisecond
	for ; l.now < until; l.now += tick {
		if l.now < arrivals {
			l.arrive(tick)
		}
		l.flush()
		l.observe()
		l.flush()
		l.answer()
		for _, o := range l.e.Plan(l.now).Starts {
			l.start(o)
		}
		l.asks()
	}
}

func (l *load) arrive(tick time.Duration) {
	for i := range l.kinds {
		k := &l.kinds[i]
		rate := k.rate
		if k.burst > 0 && l.now >= k.burstFrom && l.now < k.burstUntil {
			rate *= k.burst
		}
		if l.rng.Float64() >= rate*tick.Seconds() {
			continue
		}
		l.next++
		count := 1 + int(l.rng.ExpFloat64()*float64(k.count-1)+0.5)
		count = min(count, 6*k.count)
		length := time.Duration((0.6 + 0.8*l.rng.Float64()) * float64(k.length))
		j := Job{ID: fmt.Sprintf("%016d", l.next), Queue: k.queue.Name, Accepted: l.wall().UnixMilli(),
			Steps: []Step{{Count: count, Estimate: length, Need: k.need, Gang: k.gang}}}
		lj := &loadJob{kind: i, submitted: l.now, objective: l.now + k.queue.Target + time.Duration(k.queue.Stretch*float64(length))}
		l.jobs[j.ID] = lj
		if err := l.e.Submit(j, l.now, l.wall(), func() {}); err != nil {
			l.refused++
		}
	}
}

func (l *load) start(o Start) {
	t := l.e.findTask(o.Task)
	l.open = append(l.open, &openRun{o.Machine.ID, o.Task, o.Run, l.now, l.now + t.step.spec.Estimate})
	l.e.StartAnswered(o, Started, l.now)
}

// observe ends runs whose time is over and tells the engine.
func (l *load) observe() {
	ended := map[string][]EndReport{}
	running := map[string][]RunReport{}
	kept := l.open[:0]
	for _, r := range l.open {
		if r.ends <= l.now {
			ended[r.machine] = append(ended[r.machine], EndReport{Task: r.task, Run: r.run, Kind: EndDone})
			continue
		}
		kept = append(kept, r)
		running[r.machine] = append(running[r.machine], RunReport{Task: r.task, Run: r.run,
			Percent: int(100 * (l.now - r.began) / (r.ends - r.began))})
	}
	l.open = kept
	for _, m := range l.machines {
		l.e.LeaseFor(m.ID, l.now)
		view := l.e.machines[m.ID]
		for i := range ended[m.ID] {
			ended[m.ID][i].Number = view.processed + int64(i) + 1
		}
		l.e.Observe(m.ID, 256, Look{Born: 1, Clock: l.now.Milliseconds() + 1, Sent: l.now, Running: running[m.ID], Ended: ended[m.ID]}, l.now)
	}
	for id, j := range l.jobs {
		if j.done == 0 {
			if state, ok := l.e.State(id); ok && state == Completed {
				j.done = l.now
			}
		}
	}
}

func (l *load) asks() {
	for i, free := range l.lanes {
		if free > l.now {
			continue
		}
		limit := time.Hour
		if i == 0 {
			limit = 40 * time.Millisecond
		}
		a, ok := l.e.NextAsk(limit, l.now)
		if !ok {
			continue
		}
		l.lanes[i] = l.now + a.Expected
		share, valid := 0.0, time.Duration(0)
		for k := range l.kinds {
			if l.kinds[k].queue.Name == a.step.occ.job.spec.Queue {
				share, valid = l.kinds[k].goodShare, l.kinds[k].queue.Advice.Valid
			}
		}
		good := map[string]string{}
		for _, id := range a.Machines {
			if l.allowed(a.Step, id, share) {
				good[id] = "t"
			}
		}
		l.pending = append(l.pending, pendingAnswer{l.now + a.Expected, l.now, a, good, valid})
	}
}

func (l *load) answer() {
	kept := l.pending[:0]
	for _, p := range l.pending {
		if p.at <= l.now {
			l.e.Answered(p.ask, p.good, p.valid, true, p.sent, l.now)
		} else {
			kept = append(kept, p)
		}
	}
	l.pending = kept
}

// served returns for each kind the share of jobs completed within their
// objective, and within three times that, and the longest wait of an open job.
func (l *load) served() (inTime, late []float64, oldest time.Duration) {
	n := make([]int, len(l.kinds))
	inTime, late = make([]float64, len(l.kinds)), make([]float64, len(l.kinds))
	for _, j := range l.jobs {
		n[j.kind]++
		span := j.objective - j.submitted
		switch {
		case j.done == 0:
			oldest = max(oldest, l.now-j.submitted)
		case j.done <= j.objective:
			inTime[j.kind]++
		case j.done <= j.submitted+3*span:
			late[j.kind]++
		}
	}
	for i := range n {
		inTime[i] /= float64(max(n[i], 1))
		late[i] /= float64(max(n[i], 1))
	}
	return inTime, late, oldest
}

// grownKinds is the load of a large cell: quick work, wide work and gangs.
func grownKinds() []loadKind {
	return []loadKind{
		{queue: Queue{Name: "quick", Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 400 * time.Millisecond,
			Advice: &Advice{8 * time.Millisecond, 120 * time.Microsecond, 2 * time.Second}}, rate: 100, count: 3, length: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 2500, MemoryMiB: 4000}, goodShare: 0.7},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
			Advice: &Advice{80 * time.Millisecond, time.Millisecond, 2 * time.Second}}, rate: 11, count: 30, length: 2700 * time.Millisecond,
			need: machine.Resources{CPUMilli: 1700, MemoryMiB: 3000}, goodShare: 0.45},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advice: &Advice{340 * time.Millisecond, 5 * time.Millisecond, 2 * time.Second}}, rate: 5.5, count: 20, length: 5 * time.Second, gang: true,
			need: machine.Resources{CPUMilli: 4500, MemoryMiB: 30000}, goodShare: 0.3},
	}
}

// TestLargeGangsFinish guards against gangs that never start although the machines
// are free again, because the gangs hold machines back from each other.
func TestLargeGangsFinish(t *testing.T) {
	l := newLoad(1, 350, machine.Resources{CPUMilli: 16000, MemoryMiB: 65536}, 37, grownKinds())
	l.run(20*time.Second, 45*time.Second)
	inTime, late, oldest := l.served()
	t.Logf("in time %.3f, late %.3f, oldest open job %v, stats %+v", inTime, late, oldest, l.e.Stats())
	if oldest > 0 {
		t.Errorf("a job is still open after %v, 25 s after the last arrival", oldest)
	}
}
