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
			Advisor: &Advisor{16 * time.Millisecond, 230 * time.Microsecond, 2 * time.Second}}, rate: 98.6, count: 3, length: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 3900, MemoryMiB: 15000}, goodShare: 0.7,
			spread: &spread{width: 0.8, cpu: 0.45, memory: 0.6, length: 0.5, estimate: 0.2, uneven: 0.3, fails: 0.05}},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
			Advisor: &Advisor{140 * time.Millisecond, 2 * time.Millisecond, 2 * time.Second}}, rate: 11.1, count: 19, length: 2700 * time.Millisecond, chained: 0.5,
			need: machine.Resources{CPUMilli: 2800, MemoryMiB: 7900}, goodShare: 0.45,
			spread: &spread{width: 0.6, cpu: 0.45, memory: 0.6, length: 0.5, estimate: 0.5, uneven: 0.15, fails: 0.005}},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advisor: &Advisor{490 * time.Millisecond, 7 * time.Millisecond, 2 * time.Second}}, rate: 6.65, count: 20, length: 5 * time.Second, gang: true, chained: 0.2,
			need: machine.Resources{CPUMilli: 4500, MemoryMiB: 17000}, goodShare: 0.3,
			spread: &spread{width: 0.8, cpu: 0.4, memory: 0.5, length: 0.5, estimate: 0.5, uneven: 0.15, fails: 0.02}},
	}
}

// largeLoad returns that load with a burst of gangs. A third of the machines is fast.
func largeLoad(seed uint64) *load {
	kinds := largeKinds()
	kinds[2].burst, kinds[2].burstFrom, kinds[2].burstUntil = 1.8, 12*time.Second, 16*time.Second
	l := newLoad(seed, 540, machine.Resources{CPUMilli: 16000, MemoryMiB: 65536}, 97, kinds)
	l.quicken()
	return l
}

// earns checks that each kind of job earns the worth that the users ask for on
// their large deployment.
func (l *load) earns(t *testing.T) {
	const target = 0.76
	credit := l.credit()
	t.Logf("credit %.3f, stats %+v", credit, l.e.Stats())
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
	l.earns(t)
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
func TestAnswerEndsTheWaitForRoom(t *testing.T) {
	b := newBench(t, []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Advisor: &Advisor{TicketLife: time.Second}}}, worker("a"))
	step := small(1)
	step.Estimate = time.Minute
	b.submit(step)
	if got := b.plan(); len(got) != 0 {
		t.Fatalf("started %v before the advisor was asked", got)
	}
	ask, ok := b.e.NextAdviceRequest(time.Hour, false, b.now)
	if !ok {
		t.Fatal("no question for a step that waits")
	}
	b.e.AdviceAnswered(ask, map[string]string{"a": "ticket"}, time.Second, true, b.now, b.now)
	if got := b.plan(); len(got) != 1 {
		t.Errorf("started %v in the pass after the answer, want one task", got)
	}
}

// TestBookingOutlastsTheSearch guards against later work that takes the room of a
// booked gang in the passes in which the gang does not look for room itself.
func TestBookingOutlastsTheSearch(t *testing.T) {
	b := newBench(t, plainQueue, worker("a"), worker("b"))
	long := Step{Count: 2, Estimate: time.Second, Need: machine.Resources{CPUMilli: 3000, MemoryMiB: 100}}
	b.submit(long)
	if got := b.plan(); len(got) != 2 {
		t.Fatalf("started %v, want both tasks", got)
	}
	gang := b.submit(Step{Count: 2, Gang: true, Estimate: 4 * time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	b.plan()
	b.submit(Step{Count: 2, Estimate: time.Minute, Need: machine.Resources{CPUMilli: 1000, MemoryMiB: 100}})
	for range 3 {
		for task := range b.plan() {
			t.Errorf("task %s takes room that gang %s has booked", task, gang)
		}
	}
}

// TestSmallCellAsksOneQuestion guards against second questions of a gang in a cell
// whose machines all fit into one: they take the daemons that other gangs need.
func TestSmallCellAsksOneQuestion(t *testing.T) {
	machines := make([]Machine, 48)
	for i := range machines {
		machines[i] = worker(fmt.Sprintf("w-%03d", i))
	}
	b := newBench(t, []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{BaseDuration: 310 * time.Millisecond, DurationPerMachine: 4 * time.Millisecond, TicketLife: 2 * time.Second}}}, machines...)
	b.submit(Step{Count: 3, Gang: true, Estimate: 5 * time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	asks := 0
	for range 5 {
		b.now += searchEvery
		b.plan()
		if _, ok := b.e.NextAdviceRequest(time.Hour, true, b.now); ok {
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
func TestGangQuestionsAddUp(t *testing.T) {
	machines := make([]Machine, 250)
	for i := range machines {
		machines[i] = worker(fmt.Sprintf("w-%03d", i))
	}
	advised := []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{BaseDuration: 490 * time.Millisecond, DurationPerMachine: 7 * time.Millisecond, TicketLife: 2 * time.Second}}}
	b := newBench(t, advised, machines...)
	b.submit(Step{Count: 60, Gang: true, Estimate: 5 * time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	var asks []AdviceRequest
	for range 2 * gangQuestions {
		b.now += searchEvery
		b.plan()
		if ask, ok := b.e.NextAdviceRequest(time.Hour, len(asks) > 0, b.now); ok {
			asks = append(asks, ask)
		}
		if ask, ok := b.e.NextAdviceRequest(time.Hour, false, b.now); ok {
			t.Fatalf("a further question about %d machines without a spare daemon", len(ask.Machines))
		}
	}
	if len(asks) != gangQuestions {
		t.Fatalf("%d questions at once, want %d", len(asks), gangQuestions)
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
		b.e.AdviceAnswered(a, good, 2*time.Second, true, b.now, b.now)
	}
	if got := b.plan(); len(got) != 60 {
		t.Errorf("%d tasks start once the machines of all answers are enough, want 60", len(got))
	}
}

// TestOverloadServesWhatCanBeOnTime guards against room that goes to work that will
// end just too late, while more callers could be served with it. The load is a
// fifth above that of the large deployment, on fewer machines.
func TestOverloadServesWhatCanBeOnTime(t *testing.T) {
	kinds := largeKinds()
	kinds[0].burst, kinds[0].burstFrom, kinds[0].burstUntil = 1.6, 4*time.Second, 8*time.Second
	kinds[2].burst, kinds[2].burstFrom, kinds[2].burstUntil = 1.8, 12*time.Second, 16*time.Second
	for i := range kinds {
		kinds[i].rate *= 1.2
	}
	l := newLoad(1, 500, machine.Resources{CPUMilli: 16000, MemoryMiB: 65536}, 97, kinds)
	l.quicken()
	l.run(20*time.Second, 36*time.Second)
	l.earns(t)
}

// TestLateStepsBySize guards against a late step with much work that keeps smaller
// late ones waiting, and against late work before work that can be on time.
func TestLateStepsBySize(t *testing.T) {
	b := newBench(t, plainQueue, worker("a"))
	task := func(count int) Step {
		return Step{Count: count, Estimate: time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}}
	}
	large, smaller := b.submit(task(4)), b.submit(task(1))
	b.now += 3 * time.Second
	b.look("a", nil, nil)
	onTime := b.submit(task(1))
	var order []string
	for range 3 {
		for name := range b.plan() {
			order = append(order, name[:16])
			b.now += 10 * time.Millisecond
			b.look("a", nil, []EndReport{{Number: int64(len(order)), Task: name, Run: 1, Kind: EndDone}})
		}
	}
	if want := []string{onTime, smaller, large}; !slices.Equal(order, want) {
		t.Errorf("started in the order %v, want %v", order, want)
	}
}

// TestWorkWithoutMarginComesLater guards against room for work that will end just too
// late, while other work could be on time with it.
func TestWorkWithoutMarginComesLater(t *testing.T) {
	b := newBench(t, plainQueue, worker("a")) // the objective is 1 s and twice the run time
	task := func(length time.Duration) Step {
		return Step{Count: 1, Estimate: length, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}}
	}
	tight := b.submit(task(4 * time.Second))
	b.now += 4500 * time.Millisecond // 4.5 s are left for 4 s of work
	b.look("a", nil, nil)
	ample := b.submit(task(3 * time.Second))
	for name := range b.plan() {
		if name[:16] != ample {
			t.Errorf("job %s starts, want %s: %s has a margin of an eighth only", name[:16], ample, tight)
		}
	}
}
