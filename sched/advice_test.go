package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

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
