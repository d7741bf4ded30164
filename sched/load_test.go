package sched

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// loadSimulation submits jobs of several kinds to an engine, in virtual time, with
// machines that carry out each order and daemons that call the advisor. Machines and
// calls never fail, runs may. It shows how many jobs are completed in time.
type loadSimulation struct {
	arrivalRNG      *rand.Rand // for arrivals and the shape of jobs
	runRNG          *rand.Rand // for run times and failures of runs
	engine          *Engine
	now             time.Duration
	machines        []Machine
	relativeRunTime map[string]float64 // machine id to its run time relative to an average machine
	daemonFreeAt    []time.Duration    // when each daemon can send its next advice request
	kinds           []loadKind
	running         []*simulatedRun
	pendingAnswers  []pendingAnswer
	jobCount        int
	jobs            map[string]*loadJob
	refused         int       // jobs that Submit refused
	pressure        *pressure // nil for loads without tenants, retries and stops
}

const (
	// loadTick is the step of the virtual time.
	loadTick = 10 * time.Millisecond
	// ticksPerPoll is the number of ticks between two polls of a machine on which no run
	// ends.
	ticksPerPoll = 10
)

// loadKind describes the jobs of one queue.
type loadKind struct {
	queue        Queue
	rate         float64 // jobs per second
	count        int     // mean number of tasks
	runTime      time.Duration
	need         machine.Resources
	gang         bool
	allowedShare float64 // share of the machines that the advisor allows
	burstFrom    time.Duration
	burstUntil   time.Duration
	burstFactor  float64    // multiplies rate between burstFrom and burstUntil; 0 for no burst
	variation    *variation // nil for equal tasks whose run time is known
	chainedShare float64    // share of the jobs with a second step like the first
	gangShare    float64    // share of the jobs that are gangs, if gang is false
	worth        float64    // of a job, relative to other kinds; only pressureReport uses it
}

// variation says how much the jobs of a kind differ.
type variation struct {
	taskCount, cpu, memory, runTime float64 // standard deviation relative to the mean
	estimateError                   float64 // declared run times are off by up to this share
	taskDifference                  float64 // run times of the tasks of a step differ by up to this share
	failureShare                    float64 // share of runs, or of attempts of a gang, that fail
}

// simulatedRun is a run with its end, which is known from the start.
type simulatedRun struct {
	machine   string
	task      *task
	run       int64
	startedAt time.Duration
	endsAt    time.Duration
	endKind   EndKind
}

// pendingAnswer is the answer to an advice request that was sent and arrives at a time.
type pendingAnswer struct {
	at, sent   time.Duration
	request    AdviceRequest
	tickets    map[string]string
	ticketLife time.Duration
}

// loadJob is what the simulation knows about a submitted job.
type loadJob struct {
	kind        int
	submittedAt time.Duration
	objective   time.Duration
	completedAt time.Duration
	runTime     time.Duration // of a task on an average machine
	work        float64       // core-seconds
	tenant      int           // index into pressure.tenants
	beyondRate  bool          // sent beyond the rate of its tenant
}

// newLoadSimulation returns a simulation of equal machines, eight to a rack.
func newLoadSimulation(seed uint64, machines int, capacity machine.Resources, daemons int,
	kinds []loadKind) *loadSimulation {
	l := &loadSimulation{
		arrivalRNG: rand.New(rand.NewPCG(seed, 7)), runRNG: rand.New(rand.NewPCG(seed, 8)), kinds: kinds,
		daemonFreeAt: make([]time.Duration, daemons), jobs: map[string]*loadJob{}, relativeRunTime: map[string]float64{},
	}
	for i := range machines {
		l.relativeRunTime[fmt.Sprintf("i-%04d", i)] = 1
		l.machines = append(l.machines, Machine{ID: fmt.Sprintf("i-%04d", i), Born: 1, Service: "s",
			Rack: fmt.Sprintf("r%d", i/8), Capacity: capacity})
	}
	l.newEngine(Config{}, nil)
	return l
}

// newEngine replaces the engine by an empty one with the gates of cfg and these tenants.
func (l *loadSimulation) newEngine(cfg Config, tenants []Tenant) {
	cfg.Token, cfg.Lease, cfg.GangWait, cfg.SpreadFactor = 256, 6*time.Second, 3*time.Second, 3
	cfg.FinalStateRetention, cfg.Logger = time.Hour, zerolog.Nop()
	l.engine = New(cfg, 0)
	l.engine.SetTenants(1, tenants)
	queues := make([]Queue, len(l.kinds))
	for i := range l.kinds {
		queues[i] = l.kinds[i].queue
	}
	l.engine.SetQueues(1, queues)
	l.engine.SetMachines(l.machines, 0)
	l.flush()
}

func (l *loadSimulation) wall() time.Time { return time.UnixMilli(1_700_000_000_000).Add(l.now) }

func (l *loadSimulation) flush() {
	b, changed, err := l.engine.Flush(l.wall())
	if err != nil {
		panic(err)
	}
	if changed {
		l.engine.BatchStored(b, l.now)
	}
}

// allowed returns the advisor's decision about a step on a machine, which never changes.
func (l *loadSimulation) allowed(step, machine string, share float64) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + "|" + machine)) // a hash does not fail
	return float64(h.Sum32()%1000) < share*1000
}

// run simulates until the time given; jobs arrive until arrivals.
func (l *loadSimulation) run(arrivals, until time.Duration) {
	for ; l.now < until; l.now += loadTick {
		if l.now < arrivals {
			l.submitArrivals(loadTick)
		}
		l.resubmit()
		l.flush()
		l.reportRuns()
		l.flush()
		l.deliverAnswers()
		orders := l.engine.Plan(l.now)
		for _, o := range orders.Starts {
			l.start(o)
		}
		l.stopRuns(orders.Stops)
		l.sendAdviceRequests()
	}
}

// submitArrivals submits the jobs that arrive in a tick, at most one of each kind.
func (l *loadSimulation) submitArrivals(tick time.Duration) {
	if l.pressure != nil {
		l.submitPressure(tick)
		return
	}
	for i := range l.kinds {
		k := &l.kinds[i]
		rate := k.rate
		if k.burstFactor > 0 && l.now >= k.burstFrom && l.now < k.burstUntil {
			rate *= k.burstFactor
		}
		if l.arrivalRNG.Float64() >= rate*tick.Seconds() {
			continue
		}
		job, lj := l.drawJob(i)
		l.jobs[job.ID] = lj
		if err := l.engine.Submit(job, l.now, l.wall(), func(error) {}); err != nil {
			l.refused++
		}
	}
}

// drawJob draws a job of a kind.
func (l *loadSimulation) drawJob(kind int) (Job, *loadJob) {
	k := &l.kinds[kind]
	l.jobCount++
	j := Job{ID: fmt.Sprintf("%016d", l.jobCount), Queue: k.queue.Name, Accepted: l.wall().UnixMilli()}
	var step Step
	var runTime time.Duration
	if k.variation != nil {
		step, runTime = l.randomStep(k)
	} else {
		count := 1 + int(l.arrivalRNG.ExpFloat64()*float64(k.count-1)+0.5)
		runTime = time.Duration((0.6 + 0.8*l.arrivalRNG.Float64()) * float64(k.runTime))
		step = Step{Count: min(count, 6*k.count), Estimate: runTime, Need: k.need, Gang: k.gang}
	}
	if k.gangShare > 0 {
		step.Gang = l.arrivalRNG.Float64() < k.gangShare
	}
	j.Steps = []Step{step}
	if k.chainedShare > 0 && l.arrivalRNG.Float64() < k.chainedShare {
		step.DependsOn = []int{0}
		j.Steps = append(j.Steps, step)
	}
	chain := time.Duration(len(j.Steps)) * (runTime + k.queue.Advisor.CallDuration(30))
	return j, &loadJob{kind: kind, submittedAt: l.now, runTime: runTime,
		objective: l.now + k.queue.Target + time.Duration(k.queue.Stretch*float64(chain)),
		work:      float64(len(j.Steps)*step.Count) * runTime.Seconds() * float64(step.Need.CPUMilli) / 1000}
}

// lognormal draws a number from a log-normal distribution with this mean and this
// standard deviation relative to the mean, at most five times the mean.
func (l *loadSimulation) lognormal(mean, deviation float64) float64 {
	variance := math.Log(1 + deviation*deviation)
	return min(mean*math.Exp(math.Sqrt(variance)*l.arrivalRNG.NormFloat64()-variance/2), 5*mean)
}

// randomStep draws a step, and the run time of its tasks on an average machine. A task
// needs at most half of a machine.
func (l *loadSimulation) randomStep(k *loadKind) (Step, time.Duration) {
	v := k.variation
	limit := func(v float64, most int64) int64 { return min(int64(v), most/2) }
	runTime := time.Duration(l.lognormal(float64(k.runTime), v.runTime))
	estimateFactor := 1 + v.estimateError*(2*l.arrivalRNG.Float64()-1)
	return Step{
		Count: max(1, int(l.lognormal(float64(k.count), v.taskCount)+0.5)), Gang: k.gang,
		Estimate: time.Duration(float64(runTime) * estimateFactor),
		Need: machine.Resources{
			CPUMilli:  limit(l.lognormal(float64(k.need.CPUMilli), v.cpu), l.machines[0].Capacity.CPUMilli),
			MemoryMiB: limit(l.lognormal(float64(k.need.MemoryMiB), v.memory), l.machines[0].Capacity.MemoryMiB),
		},
	}, runTime
}

// start starts a run and determines its end. The members of a gang end together, with the
// slowest or with the failure of the first member.
func (l *loadSimulation) start(o Start) {
	t := l.engine.findTask(o.Task)
	j := l.jobs[t.step.occ.job.spec.ID]
	k := l.kinds[j.kind]
	r := &simulatedRun{machine: o.Machine.ID, task: t, run: o.Run, startedAt: l.now, endsAt: l.now + j.runTime,
		endKind: EndDone}
	if k.variation != nil {
		difference := 1 + k.variation.taskDifference*(2*l.runRNG.Float64()-1)
		r.endsAt = l.now + time.Duration(float64(j.runTime)*difference*l.relativeRunTime[o.Machine.ID])
		if l.runRNG.Float64() < k.variation.failureShare && (!t.step.spec.Gang || t.index == 0) {
			r.endKind = EndFailed
			r.endsAt = l.now + time.Duration(l.runRNG.Float64()*float64(r.endsAt-l.now))
		}
	}
	l.applyBadMachine(r)
	if t.step.spec.Gang {
		for _, other := range l.running {
			if other.task.step != t.step || other.run != o.Run {
				continue
			}
			if other.endKind == EndFailed {
				r.endKind, r.endsAt = EndGangBroken, other.endsAt
				break
			}
			r.endsAt = max(r.endsAt, other.endsAt)
			other.endsAt = r.endsAt
		}
	}
	l.running = append(l.running, r)
	l.engine.StartAnswered(o, Started, l.now)
}

// reportRuns ends runs whose time is over, polls the machines, and notes which jobs the
// engine reports as completed.
func (l *loadSimulation) reportRuns() {
	ended := map[string][]EndReport{}
	running := map[string][]RunReport{}
	unfinished := l.running[:0]
	for _, r := range l.running {
		if r.endsAt <= l.now {
			l.countLost(r)
			ended[r.machine] = append(ended[r.machine], EndReport{Task: r.task.name, Run: r.run, Kind: r.endKind})
			continue
		}
		unfinished = append(unfinished, r)
		running[r.machine] = append(running[r.machine], RunReport{Task: r.task.name, Run: r.run,
			Percent: int(100 * (l.now - r.startedAt) / (r.endsAt - r.startedAt))})
	}
	l.running = unfinished
	for i, m := range l.machines {
		if len(ended[m.ID]) == 0 && (int(l.now/loadTick)+i)%ticksPerPoll != 0 {
			continue
		}
		l.engine.GrantLease(m.ID, l.now)
		view := l.engine.machines[m.ID]
		for i := range ended[m.ID] {
			ended[m.ID][i].Number = view.processedEnds + int64(i) + 1
		}
		l.engine.PollAnswered(m.ID, 256, PollResult{Born: 1, Clock: l.now.Milliseconds() + 1, Sent: l.now,
			Running: running[m.ID], Ended: ended[m.ID]}, l.now)
	}
	for id, j := range l.jobs {
		if j.completedAt == 0 {
			if state, ok := l.engine.State(id); ok && state == Completed {
				j.completedAt = l.now
			}
		}
	}
}

// sendAdviceRequests sends an advice request from each free daemon. The first daemon is
// kept for short ones; extra requests of a step need more than a quarter of the daemons
// free.
func (l *loadSimulation) sendAdviceRequests() {
	free := 0
	for _, until := range l.daemonFreeAt {
		if until <= l.now {
			free++
		}
	}
	for i, until := range l.daemonFreeAt {
		if until > l.now {
			continue
		}
		limit := time.Hour
		if i == 0 {
			limit = 40 * time.Millisecond
		}
		request, ok := l.engine.NextAdviceRequest(limit, free > max(1, len(l.daemonFreeAt)/4), l.now)
		if !ok {
			continue
		}
		l.daemonFreeAt[i] = l.now + request.Expected
		share, ticketLife := 0.0, time.Duration(0)
		for k := range l.kinds {
			if l.kinds[k].queue.Name == request.step.occ.job.spec.Queue {
				share, ticketLife = l.kinds[k].allowedShare, l.kinds[k].queue.Advisor.TicketLife
			}
		}
		tickets := map[string]string{}
		for _, id := range request.Machines {
			if l.allowed(request.Step, id, share) {
				tickets[id] = "t"
			}
		}
		l.pendingAnswers = append(l.pendingAnswers,
			pendingAnswer{l.now + request.Expected, l.now, request, tickets, ticketLife})
	}
}

// deliverAnswers passes the answers that have arrived to the engine.
func (l *loadSimulation) deliverAnswers() {
	waiting := l.pendingAnswers[:0]
	for _, p := range l.pendingAnswers {
		if p.at <= l.now {
			l.engine.AdviceAnswered(p.request, p.tickets, p.ticketLife, true, p.sent, l.now)
		} else {
			waiting = append(waiting, p)
		}
	}
	l.pendingAnswers = waiting
}
