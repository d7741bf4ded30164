package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// TestAdviceEndsSearchDelay guards against a step that waits for its next search after
// the advisor has allowed a machine with free capacity.
func TestAdviceEndsSearchDelay(t *testing.T) {
	f := newEngineFixture(t, []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{TicketLife: time.Second}}}, worker("a"))
	step := smallStep(1)
	step.Estimate = time.Minute
	f.submit(step)
	if got := f.planAndConfirm(); len(got) != 0 {
		t.Fatalf("started %v before the advisor was asked", got)
	}
	request, ok := f.engine.NextAdviceRequest(time.Hour, false, f.now)
	if !ok {
		t.Fatal("no advice request for a waiting step")
	}
	f.engine.AdviceAnswered(request, map[string]string{"a": "ticket"}, time.Second, true, f.now, f.now)
	if got := f.planAndConfirm(); len(got) != 1 {
		t.Errorf("started %v in the pass after the answer, want one task", got)
	}
}

// TestSmallCellSendsOneAdviceRequest guards against a second advice request of a gang in
// a cell where one request can name all machines: it would take a daemon that other
// gangs need.
func TestSmallCellSendsOneAdviceRequest(t *testing.T) {
	machines := make([]Machine, 48)
	for i := range machines {
		machines[i] = worker(fmt.Sprintf("w-%03d", i))
	}
	f := newEngineFixture(t, []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{BaseDuration: 310 * time.Millisecond, DurationPerMachine: 4 * time.Millisecond,
			TicketLife: 2 * time.Second}}}, machines...)
	f.submit(Step{Count: 3, Gang: true, Estimate: 5 * time.Second,
		Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	requests := 0
	for range 5 {
		f.now += adviceSearchInterval
		f.planAndConfirm()
		if _, ok := f.engine.NextAdviceRequest(time.Hour, true, f.now); ok {
			requests++
		}
	}
	if requests != 1 {
		t.Errorf("%d advice requests in flight, want 1", requests)
	}
}

// TestAdviceRequestsOfGangCombine guards against wide gangs that send one advice request
// after the other, so that the tickets of the first have expired when the last one is
// answered, and against extra requests without a spare daemon.
func TestAdviceRequestsOfGangCombine(t *testing.T) {
	machines := make([]Machine, 250)
	for i := range machines {
		machines[i] = worker(fmt.Sprintf("w-%03d", i))
	}
	queues := []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{BaseDuration: 490 * time.Millisecond, DurationPerMachine: 7 * time.Millisecond,
			TicketLife: 2 * time.Second}}}
	f := newEngineFixture(t, queues, machines...)
	f.submit(Step{Count: 60, Gang: true, Estimate: 5 * time.Second,
		Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	var requests []AdviceRequest
	for range 2 * maxGangRequests {
		f.now += adviceSearchInterval
		f.planAndConfirm()
		if request, ok := f.engine.NextAdviceRequest(time.Hour, len(requests) > 0, f.now); ok {
			requests = append(requests, request)
		}
		if request, ok := f.engine.NextAdviceRequest(time.Hour, false, f.now); ok {
			t.Fatalf("an extra advice request about %d machines without a spare daemon", len(request.Machines))
		}
	}
	if len(requests) != maxGangRequests {
		t.Fatalf("%d advice requests in flight, want %d", len(requests), maxGangRequests)
	}
	named := map[string]bool{}
	for _, request := range requests {
		tickets := map[string]string{}
		for i, id := range request.Machines {
			if named[id] {
				t.Errorf("machine %s is named in two requests", id)
			}
			named[id] = true
			if i%3 == 0 {
				tickets[id] = "ticket"
			}
		}
		f.engine.AdviceAnswered(request, tickets, 2*time.Second, true, f.now, f.now)
	}
	if got := f.planAndConfirm(); len(got) != 60 {
		t.Errorf("%d tasks start once all answers together allow enough machines, want 60", len(got))
	}
}

// TestGangStartsAfterAdvisorIsTakenAway guards against a leader that ends with a panic, as its successors
// do, because a configuration takes away the advisor of a queue while a gang has answers of it.
func TestGangStartsAfterAdvisorIsTakenAway(t *testing.T) {
	f := newEngineFixture(t, []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2,
		Advisor: &Advisor{TicketLife: time.Second}}}, worker("a"), worker("b"))
	f.submit(Step{Count: 2, Gang: true, Estimate: time.Minute, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	f.planAndConfirm()
	request, ok := f.engine.NextAdviceRequest(time.Hour, false, f.now)
	if !ok {
		t.Fatal("no advice request for a waiting gang")
	}
	f.engine.AdviceAnswered(request, map[string]string{"a": "ticket"}, time.Second, true, f.now, f.now)
	f.engine.SetQueues(2, plainQueues)
	f.now += time.Second
	if got := f.planAndConfirm(); len(got) != 2 {
		t.Errorf("started %v, want both members on machines of a queue without an advisor", got)
	}
}
