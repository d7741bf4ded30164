package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// largeKinds is the load of the users' deployment of hundreds of machines, with
// its spread of sizes and run times.
func largeKinds() []loadKind {
	return []loadKind{
		{queue: Queue{Name: "quick", Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 400 * time.Millisecond,
			Advisor: &Advisor{16 * time.Millisecond, 230 * time.Microsecond, 2 * time.Second}}, rate: 98.6, count: 3, runTime: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 3900, MemoryMiB: 15000}, allowedShare: 0.7,
			variation: &variation{taskCount: 0.8, cpu: 0.45, memory: 0.6, runTime: 0.5, estimateError: 0.2, taskDifference: 0.3, failureShare: 0.05}},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
			Advisor: &Advisor{140 * time.Millisecond, 2 * time.Millisecond, 2 * time.Second}}, rate: 11.1, count: 19, runTime: 2700 * time.Millisecond, chainedShare: 0.5,
			need: machine.Resources{CPUMilli: 2800, MemoryMiB: 7900}, allowedShare: 0.45,
			variation: &variation{taskCount: 0.6, cpu: 0.45, memory: 0.6, runTime: 0.5, estimateError: 0.5, taskDifference: 0.15, failureShare: 0.005}},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advisor: &Advisor{490 * time.Millisecond, 7 * time.Millisecond, 2 * time.Second}}, rate: 6.65, count: 20, runTime: 5 * time.Second, gang: true, chainedShare: 0.2,
			need: machine.Resources{CPUMilli: 4500, MemoryMiB: 17000}, allowedShare: 0.3,
			variation: &variation{taskCount: 0.8, cpu: 0.4, memory: 0.5, runTime: 0.5, estimateError: 0.5, taskDifference: 0.15, failureShare: 0.02}},
	}
}

// largeLoad returns that load with a burst of gangs. A third of the machines is fast.
func largeLoad(seed uint64) *loadSimulation {
	kinds := largeKinds()
	kinds[2].burstFactor, kinds[2].burstFrom, kinds[2].burstUntil = 1.8, 12*time.Second, 16*time.Second
	l := newLoadSimulation(seed, 540, machine.Resources{CPUMilli: 16000, MemoryMiB: 65536}, 97, kinds)
	l.speedUpThird()
	return l
}

// earns checks that each kind of job earns the worth that the users ask for on
// their large deployment.
func (l *loadSimulation) checkCredit(t *testing.T) {
	const target = 0.76
	credit := l.credit()
	t.Logf("credit %.3f, stats %+v", credit, l.engine.Stats())
	for i, k := range l.kinds {
		if credit[i] < target {
			t.Errorf("%s jobs earn %.3f of their worth, target %.2f", k.queue.Name, credit[i], target)
		}
	}
}

// TestLargeLoadIsServed guards against a leader that looks for room so seldom, to
// save processor time, that callers of the large deployment are served worse.
func TestLargeLoadIsServed(t *testing.T) {
	l := largeLoad(1)
	l.run(20*time.Second, 36*time.Second)
	l.checkCredit(t)
}

// TestBlockedStepsSearchSeldom guards against passes that walk all machines again
// for every step that waits, which takes the leader's processor under a backlog.
func TestBlockedStepsSearchSeldom(t *testing.T) {
	e, now := backlog(t, 48, 300)
	const passes, gap = 100, time.Millisecond
	before := e.Stats().Searches
	for range passes {
		now += gap
		e.Plan(now)
	}
	waiting := int64(e.Stats().WaitingSteps)
	// The shortest declared run time is 640 ms, so no step looks more often than each 10 ms.
	most := waiting * passes * int64(gap) / int64(10*time.Millisecond)
	if got := e.Stats().Searches - before; got > most+waiting {
		t.Errorf("%d searches for room in %d passes over %d waiting steps, want at most %d", got, passes, waiting, most+waiting)
	}
}

// TestAnswerEndsTheWaitForRoom guards against a step that stays off after the
// advisor has allowed a machine with room.
func TestAdviceEndsSearchDelay(t *testing.T) {
	f := newEngineFixture(t, []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Advisor: &Advisor{TicketLife: time.Second}}}, worker("a"))
	step := smallStep(1)
	step.Estimate = time.Minute
	f.submit(step)
	if got := f.planAndConfirm(); len(got) != 0 {
		t.Fatalf("started %v before the advisor was asked", got)
	}
	ask, ok := f.engine.NextAdviceRequest(time.Hour, false, f.now)
	if !ok {
		t.Fatal("no question for a step that waits")
	}
	f.engine.AdviceAnswered(ask, map[string]string{"a": "ticket"}, time.Second, true, f.now, f.now)
	if got := f.planAndConfirm(); len(got) != 1 {
		t.Errorf("started %v in the pass after the answer, want one task", got)
	}
}

// TestBookingOutlastsTheSearch guards against later work that takes the room of a
// booked gang in the passes in which the gang does not look for room itself.
func TestReservationLastsBetweenSearches(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	long := Step{Count: 2, Estimate: time.Second, Need: machine.Resources{CPUMilli: 3000, MemoryMiB: 100}}
	f.submit(long)
	if got := f.planAndConfirm(); len(got) != 2 {
		t.Fatalf("started %v, want both tasks", got)
	}
	gang := f.submit(Step{Count: 2, Gang: true, Estimate: 4 * time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	f.planAndConfirm()
	f.submit(Step{Count: 2, Estimate: time.Minute, Need: machine.Resources{CPUMilli: 1000, MemoryMiB: 100}})
	for range 3 {
		for task := range f.planAndConfirm() {
			t.Errorf("task %s takes room that gang %s has booked", task, gang)
		}
	}
}

// TestSmallCellAsksOneQuestion guards against second questions of a gang in a cell
// whose machines all fit into one: they take the daemons that other gangs need.
func TestSmallCellSendsOneAdviceRequest(t *testing.T) {
	machines := make([]Machine, 48)
	for i := range machines {
		machines[i] = worker(fmt.Sprintf("w-%03d", i))
	}
	f := newEngineFixture(t, []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{BaseDuration: 310 * time.Millisecond, DurationPerMachine: 4 * time.Millisecond, TicketLife: 2 * time.Second}}}, machines...)
	f.submit(Step{Count: 3, Gang: true, Estimate: 5 * time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	asks := 0
	for range 5 {
		f.now += adviceSearchInterval
		f.planAndConfirm()
		if _, ok := f.engine.NextAdviceRequest(time.Hour, true, f.now); ok {
			asks++
		}
	}
	if asks != 1 {
		t.Errorf("%d questions at once, want 1", asks)
	}
}

// TestGangQuestionsAddUp guards against wide gangs that ask about machines one
// question after the other, so that the tickets of the first have run out when the
// last one is answered, and against extra questions that displace others.
func TestAdviceRequestsOfGangCombine(t *testing.T) {
	machines := make([]Machine, 250)
	for i := range machines {
		machines[i] = worker(fmt.Sprintf("w-%03d", i))
	}
	advised := []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{BaseDuration: 490 * time.Millisecond, DurationPerMachine: 7 * time.Millisecond, TicketLife: 2 * time.Second}}}
	f := newEngineFixture(t, advised, machines...)
	f.submit(Step{Count: 60, Gang: true, Estimate: 5 * time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	var asks []AdviceRequest
	for range 2 * maxGangRequests {
		f.now += adviceSearchInterval
		f.planAndConfirm()
		if ask, ok := f.engine.NextAdviceRequest(time.Hour, len(asks) > 0, f.now); ok {
			asks = append(asks, ask)
		}
		if ask, ok := f.engine.NextAdviceRequest(time.Hour, false, f.now); ok {
			t.Fatalf("a further question about %d machines without a spare daemon", len(ask.Machines))
		}
	}
	if len(asks) != maxGangRequests {
		t.Fatalf("%d questions at once, want %d", len(asks), maxGangRequests)
	}
	named := map[string]bool{}
	for _, a := range asks {
		good := map[string]string{}
		for i, id := range a.Machines {
			if named[id] {
				t.Errorf("machine %s is named twice", id)
			}
			named[id] = true
			if i%3 == 0 {
				good[id] = "ticket"
			}
		}
		f.engine.AdviceAnswered(a, good, 2*time.Second, true, f.now, f.now)
	}
	if got := f.planAndConfirm(); len(got) != 60 {
		t.Errorf("%d tasks start once the machines of all answers are enough, want 60", len(got))
	}
}

// TestOverloadServesWhatCanBeOnTime guards against room that goes to work that will
// end just too late, while more callers could be served with it. The load is a
// fifth above that of the large deployment, on fewer machines.
func TestOverloadServesWhatCanBeOnTime(t *testing.T) {
	kinds := largeKinds()
	kinds[0].burstFactor, kinds[0].burstFrom, kinds[0].burstUntil = 1.6, 4*time.Second, 8*time.Second
	kinds[2].burstFactor, kinds[2].burstFrom, kinds[2].burstUntil = 1.8, 12*time.Second, 16*time.Second
	for i := range kinds {
		kinds[i].rate *= 1.2
	}
	l := newLoadSimulation(1, 500, machine.Resources{CPUMilli: 16000, MemoryMiB: 65536}, 97, kinds)
	l.speedUpThird()
	l.run(20*time.Second, 36*time.Second)
	l.checkCredit(t)
}

// TestLateStepsBySize guards against a late step with much work that keeps smaller
// late ones waiting, and against late work before work that can be on time.
func TestLateStepsAreOrderedByWork(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"))
	task := func(count int) Step {
		return Step{Count: count, Estimate: time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}}
	}
	large, smaller := f.submit(task(4)), f.submit(task(1))
	f.now += 3 * time.Second
	f.poll("a", nil, nil)
	onTime := f.submit(task(1))
	var order []string
	for range 3 {
		for name := range f.planAndConfirm() {
			order = append(order, name[:16])
			f.now += 10 * time.Millisecond
			f.poll("a", nil, []EndReport{{Number: int64(len(order)), Task: name, Run: 1, Kind: EndDone}})
		}
	}
	if want := []string{onTime, smaller, large}; !slices.Equal(order, want) {
		t.Errorf("started in the order %v, want %v", order, want)
	}
}

// TestWorkWithoutMarginComesLater guards against room for work that will end just too
// late, while other work could be on time with it.
func TestStepWithoutTimeMarginComesLater(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a")) // the objective is 1 s and twice the run time
	task := func(length time.Duration) Step {
		return Step{Count: 1, Estimate: length, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}}
	}
	tight := f.submit(task(4 * time.Second))
	f.now += 4500 * time.Millisecond // 4.5 s are left for 4 s of work
	f.poll("a", nil, nil)
	ample := f.submit(task(3 * time.Second))
	for name := range f.planAndConfirm() {
		if name[:16] != ample {
			t.Errorf("job %s starts, want %s: %s has a margin of an eighth only", name[:16], ample, tight)
		}
	}
}
