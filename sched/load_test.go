package sched

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// load plays jobs of several kinds on machines that work as ordered, with an
// advisor behind a number of daemons. Nothing fails; it shows what callers get.
type load struct {
	rng      *rand.Rand // of arrivals
	luck     *rand.Rand // of runs
	e        *Engine
	now      time.Duration
	machines []Machine
	pace     map[string]float64 // run time on a machine relative to a normal one
	lanes    []time.Duration    // when each daemon is free to ask again
	kinds    []loadKind
	open     []*openRun
	pending  []pendingAnswer
	next     int
	jobs     map[string]*loadJob
	refused  int
}

const (
	// loadTick is the step of the played time.
	loadTick = 10 * time.Millisecond
	// looksEvery is the number of steps between two looks at a machine without ends.
	looksEvery = 10
)

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
	spread     *spread // nil for equal tasks whose run time is known
	chained    float64 // share of the jobs with a second step like the first
}

// spread says how far the jobs of a kind differ.
type spread struct {
	width, cpu, memory, length float64 // standard deviation relative to the mean
	estimate                   float64 // declared run times are off by up to this share
	uneven                     float64 // tasks of a step differ by up to this share
	fails                      float64 // share of runs, or runs of a gang, that fail
}

type openRun struct {
	machine string
	task    *task
	run     int64
	began   time.Duration
	ends    time.Duration
	how     EndKind
}

type pendingAnswer struct {
	at, sent time.Duration
	ask      AdviceRequest
	good     map[string]string
	valid    time.Duration
}

type loadJob struct {
	kind      int
	submitted time.Duration
	objective time.Duration
	done      time.Duration
	length    time.Duration // of a task on a normal machine
	work      float64       // core-seconds
}

func newLoad(seed uint64, machines int, capacity machine.Resources, daemons int, kinds []loadKind) *load {
	l := &load{rng: rand.New(rand.NewPCG(seed, 7)), luck: rand.New(rand.NewPCG(seed, 8)), kinds: kinds, lanes: make([]time.Duration, daemons), jobs: map[string]*loadJob{}, pace: map[string]float64{}}
	l.e = New(Config{Token: 256, Lease: 6 * time.Second, GangWait: 3 * time.Second, SpreadFactor: 3, FinalStateRetention: time.Hour,
		Logger: zerolog.Nop()}, 0)
	queues := make([]Queue, len(kinds))
	for i := range kinds {
		queues[i] = kinds[i].queue
	}
	l.e.SetQueues(1, queues)
	for i := range machines {
		l.pace[fmt.Sprintf("i-%04d", i)] = 1
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
		l.e.BatchStored(b, l.now)
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
	for ; l.now < until; l.now += loadTick {
		if l.now < arrivals {
			l.arrive(loadTick)
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
		j := Job{ID: fmt.Sprintf("%016d", l.next), Queue: k.queue.Name, Accepted: l.wall().UnixMilli()}
		var step Step
		var length time.Duration
		if k.spread != nil {
			step, length = l.spreadStep(k)
		} else {
			count := 1 + int(l.rng.ExpFloat64()*float64(k.count-1)+0.5)
			length = time.Duration((0.6 + 0.8*l.rng.Float64()) * float64(k.length))
			step = Step{Count: min(count, 6*k.count), Estimate: length, Need: k.need, Gang: k.gang}
		}
		j.Steps = []Step{step}
		if k.chained > 0 && l.rng.Float64() < k.chained {
			step.DependsOn = []int{0}
			j.Steps = append(j.Steps, step)
		}
		chain := time.Duration(len(j.Steps)) * (length + k.queue.Advisor.CallDuration(30))
		lj := &loadJob{kind: i, submitted: l.now, length: length,
			objective: l.now + k.queue.Target + time.Duration(k.queue.Stretch*float64(chain)),
			work:      float64(len(j.Steps)*step.Count) * length.Seconds() * float64(step.Need.CPUMilli) / 1000}
		l.jobs[j.ID] = lj
		if err := l.e.Submit(j, l.now, l.wall(), func() {}); err != nil {
			l.refused++
		}
	}
}

// lognormal draws a number of the mean and the relative spread given, at most five times the mean.
func (l *load) lognormal(mean, spread float64) float64 {
	variance := math.Log(1 + spread*spread)
	return min(mean*math.Exp(math.Sqrt(variance)*l.rng.NormFloat64()-variance/2), 5*mean)
}

// spreadStep draws a step, and the run time of its tasks on a normal machine.
func (l *load) spreadStep(k *loadKind) (Step, time.Duration) {
	p := k.spread
	limit := func(v float64, most int64) int64 { return min(int64(v), most/2) }
	length := time.Duration(l.lognormal(float64(k.length), p.length))
	off := 1 + p.estimate*(2*l.rng.Float64()-1)
	return Step{
		Count: max(1, int(l.lognormal(float64(k.count), p.width)+0.5)), Gang: k.gang,
		Estimate: time.Duration(float64(length) * off),
		Need: machine.Resources{
			CPUMilli:  limit(l.lognormal(float64(k.need.CPUMilli), p.cpu), l.machines[0].Capacity.CPUMilli),
			MemoryMiB: limit(l.lognormal(float64(k.need.MemoryMiB), p.memory), l.machines[0].Capacity.MemoryMiB),
		},
	}, length
}

// start begins a run as ordered. The members of a gang end together, with the slowest.
func (l *load) start(o Start) {
	t := l.e.findTask(o.Task)
	j := l.jobs[t.step.occ.job.spec.ID]
	k := l.kinds[j.kind]
	r := &openRun{machine: o.Machine.ID, task: t, run: o.Run, began: l.now, ends: l.now + j.length, how: EndDone}
	if k.spread != nil {
		uneven := 1 + k.spread.uneven*(2*l.luck.Float64()-1)
		r.ends = l.now + time.Duration(float64(j.length)*uneven*l.pace[o.Machine.ID])
		if l.luck.Float64() < k.spread.fails && (!k.gang || t.index == 0) {
			r.how = EndFailed
			r.ends = l.now + time.Duration(l.luck.Float64()*float64(r.ends-l.now))
		}
	}
	if k.gang {
		for _, other := range l.open {
			if other.task.step != t.step || other.run != o.Run {
				continue
			}
			if other.how == EndFailed {
				r.how, r.ends = EndGangBroken, other.ends
				break
			}
			r.ends = max(r.ends, other.ends)
			other.ends = r.ends
		}
	}
	l.open = append(l.open, r)
	l.e.StartAnswered(o, Started, l.now)
}

// observe ends runs whose time is over and tells the engine.
func (l *load) observe() {
	ended := map[string][]EndReport{}
	running := map[string][]RunReport{}
	kept := l.open[:0]
	for _, r := range l.open {
		if r.ends <= l.now {
			ended[r.machine] = append(ended[r.machine], EndReport{Task: r.task.name, Run: r.run, Kind: r.how})
			continue
		}
		kept = append(kept, r)
		running[r.machine] = append(running[r.machine], RunReport{Task: r.task.name, Run: r.run,
			Percent: int(100 * (l.now - r.began) / (r.ends - r.began))})
	}
	l.open = kept
	for i, m := range l.machines {
		if len(ended[m.ID]) == 0 && (int(l.now/loadTick)+i)%looksEvery != 0 {
			continue
		}
		l.e.GrantLease(m.ID, l.now)
		view := l.e.machines[m.ID]
		for i := range ended[m.ID] {
			ended[m.ID][i].Number = view.processed + int64(i) + 1
		}
		l.e.PollAnswered(m.ID, 256, PollResult{Born: 1, Clock: l.now.Milliseconds() + 1, Sent: l.now, Running: running[m.ID], Ended: ended[m.ID]}, l.now)
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
	free := 0
	for _, until := range l.lanes {
		if until <= l.now {
			free++
		}
	}
	for i, until := range l.lanes {
		if until > l.now {
			continue
		}
		limit := time.Hour
		if i == 0 {
			limit = 40 * time.Millisecond
		}
		a, ok := l.e.NextAdviceRequest(limit, free > max(1, len(l.lanes)/4), l.now)
		if !ok {
			continue
		}
		l.lanes[i] = l.now + a.Expected
		share, valid := 0.0, time.Duration(0)
		for k := range l.kinds {
			if l.kinds[k].queue.Name == a.step.occ.job.spec.Queue {
				share, valid = l.kinds[k].goodShare, l.kinds[k].queue.Advisor.TicketLife
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
			l.e.AdviceAnswered(p.ask, p.good, p.valid, true, p.sent, l.now)
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

// credit returns for each kind the share of its worth that is earned by jobs done
// in time. A late job counts a fifth; a larger one more, up to four times the mean.
func (l *load) credit() []float64 {
	const late = 0.2
	owed, earned, mean, n := make([]float64, len(l.kinds)), make([]float64, len(l.kinds)), make([]float64, len(l.kinds)), make([]float64, len(l.kinds))
	for _, j := range l.jobs {
		mean[j.kind] += j.work
		n[j.kind]++
	}
	for _, j := range l.jobs {
		worth := min(0.3+0.7*j.work*n[j.kind]/mean[j.kind], 4)
		owed[j.kind] += worth
		span := j.objective - j.submitted
		switch {
		case j.done == 0:
		case j.done <= j.objective:
			earned[j.kind] += worth
		case j.done <= j.submitted+3*span:
			earned[j.kind] += late * worth
		}
	}
	for i := range earned {
		earned[i] /= max(owed[i], 1)
	}
	return earned
}

// unevenKinds is the load of the users' grown deployment with the larger machines,
// with its spread of sizes and run times.
func unevenKinds() []loadKind {
	return []loadKind{
		{queue: Queue{Name: "quick", Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 300 * time.Millisecond,
			Advisor: &Advisor{9 * time.Millisecond, 130 * time.Microsecond, 1500 * time.Millisecond}}, rate: 100, count: 3, length: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 9900, MemoryMiB: 14000}, goodShare: 0.7,
			spread: &spread{width: 0.8, cpu: 0.45, memory: 0.6, length: 0.5, estimate: 0.5, uneven: 0.15, fails: 0.02}},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second,
			Advisor: &Advisor{80 * time.Millisecond, 1100 * time.Microsecond, 1500 * time.Millisecond}}, rate: 16.8, count: 25, length: 2200 * time.Millisecond,
			need: machine.Resources{CPUMilli: 6900, MemoryMiB: 7100}, goodShare: 0.45,
			spread: &spread{width: 0.8, cpu: 0.45, memory: 0.6, length: 0.5, estimate: 0.5, uneven: 0.15, fails: 0.05}},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advisor: &Advisor{340 * time.Millisecond, 4900 * time.Microsecond, 1500 * time.Millisecond}}, rate: 6.5, count: 20, length: 4 * time.Second, gang: true,
			need: machine.Resources{CPUMilli: 18000, MemoryMiB: 33000}, goodShare: 0.3,
			spread: &spread{width: 0.8, cpu: 0.4, memory: 0.5, length: 0.5, estimate: 0.2, uneven: 0.3, fails: 0.05}},
	}
}

// unevenLoad returns that load with a burst of gangs. A third of the machines is fast.
func unevenLoad(seed uint64) *load {
	kinds := unevenKinds()
	kinds[2].burst, kinds[2].burstFrom, kinds[2].burstUntil = 1.8, 12*time.Second, 16*time.Second
	l := newLoad(seed, 350, machine.Resources{CPUMilli: 64000, MemoryMiB: 131072}, 40, kinds)
	l.quicken()
	return l
}

// quicken makes a third of the machines fast.
func (l *load) quicken() {
	for i, m := range l.machines {
		if i%3 == 0 {
			l.pace[m.ID] = 1 / 1.3
		}
	}
}

// TestGangsKeepUpUnderUnevenLoad guards against gangs that wait while machines
// stand idle, because each machine is kept empty for the one gang that comes first.
func TestGangsKeepUpUnderUnevenLoad(t *testing.T) {
	const (
		target = 0.77 // worth that the users ask for on their grown deployments
		seeds  = 2
	)
	mean := make([]float64, 3)
	for seed := range uint64(seeds) {
		l := unevenLoad(seed + 1)
		l.run(20*time.Second, 45*time.Second)
		credit := l.credit()
		for i := range mean {
			mean[i] += credit[i] / seeds
		}
		t.Logf("seed %d: credit %.3f, questions %d", seed+1, credit, l.e.Stats().AdviceRequests)
	}
	for i, k := range unevenKinds() {
		if mean[i] < target {
			t.Errorf("%s jobs earn %.3f of their worth, target %.2f", k.queue.Name, mean[i], target)
		}
	}
}

// grownKinds is the load of a large cell: quick work, wide work and gangs.
func grownKinds() []loadKind {
	return []loadKind{
		{queue: Queue{Name: "quick", Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 400 * time.Millisecond,
			Advisor: &Advisor{8 * time.Millisecond, 120 * time.Microsecond, 2 * time.Second}}, rate: 100, count: 3, length: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 2500, MemoryMiB: 4000}, goodShare: 0.7},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
			Advisor: &Advisor{80 * time.Millisecond, time.Millisecond, 2 * time.Second}}, rate: 11, count: 30, length: 2700 * time.Millisecond,
			need: machine.Resources{CPUMilli: 1700, MemoryMiB: 3000}, goodShare: 0.45},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advisor: &Advisor{340 * time.Millisecond, 5 * time.Millisecond, 2 * time.Second}}, rate: 5.5, count: 20, length: 5 * time.Second, gang: true,
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
