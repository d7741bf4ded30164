package sched

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// setCap gives a tenant a cap of n small steps' tasks, and no cap if n is 0.
func (f *engineFixture) setCap(tenant string, n int64) {
	f.engine.SetTenants(f.engine.configVersion, []Tenant{{Name: tenant, Weight: 1, Cap: smallStep(1).Need.Scale(n)}})
}

// mustSubmitAs is submitAs for a job that must be accepted.
func (f *engineFixture) mustSubmitAs(tenant string, steps ...Step) string {
	f.t.Helper()
	id, err := f.submitAs(tenant, steps...)
	if err != nil {
		f.t.Fatal(err)
	}
	return id
}

// end removes tasks from running, and reports their ends and the other running tasks on all machines.
func (f *engineFixture) end(running map[string]string, tasks ...string) {
	ends, listed := map[string][]EndReport{}, map[string][]RunReport{}
	for _, task := range tasks {
		m := running[task]
		number := f.engine.machines[m].processedEnds + int64(len(ends[m])) + 1
		ends[m] = append(ends[m], EndReport{Number: number, Task: task, Run: 1, Kind: EndDone})
		delete(running, task)
	}
	for task, m := range running {
		listed[m] = append(listed[m], RunReport{Task: task, Run: 1, Percent: 50})
	}
	for _, m := range f.engine.byID {
		f.poll(m.spec.ID, listed[m.spec.ID], ends[m.spec.ID])
	}
}

// gangStep returns a gang of small tasks.
func gangStep(count int) Step {
	s := smallStep(count)
	s.Gang = true
	return s
}

// TestStartsStopAtTheCap guards against starts above the cap, against searches for machines by steps that may not
// start, and against a step that misses its turn when room appears.
func TestStartsStopAtTheCap(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.setCap("x", 2)
	f.mustSubmitAs("x", smallStep(4))
	f.mustSubmitAs("y", smallStep(1))
	placed := f.planAndConfirm()
	if len(placed) != 3 || f.engine.tenant("x").held() != smallStep(1).Need.Scale(2) {
		t.Fatalf("%d tasks started, tenant x holds %s, want 3 and 2 tasks", len(placed), f.engine.tenant("x").held())
	}
	searches := f.engine.Stats().Searches
	for range 20 {
		if again := f.planAndConfirm(); len(again) > 0 {
			t.Fatalf("started at the cap: %v", again)
		}
	}
	if n := f.engine.Stats().Searches - searches; n != 0 {
		t.Errorf("%d searches for machines at the cap, want 0", n)
	}
	if s := f.engine.Stats(); s.StepsAtCap != 1 || len(s.Tenants) != 1 || s.Tenants[0].Held != s.Tenants[0].Cap {
		t.Errorf("%d steps at the cap, tenants %v; want 1 and x at its cap", s.StepsAtCap, s.Tenants)
	}
	f.end(placed, lo.Keys(placed)...)
	if again := f.planAndConfirm(); len(again) != 2 {
		t.Errorf("%d tasks started in the first pass with room, want 2", len(again))
	}
}

// TestLoweredCapStopsNothing guards against runs that are stopped, or started, after a cap was lowered below what
// the tenant holds.
func TestLoweredCapStopsNothing(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.mustSubmitAs("x", smallStep(8))
	placed := f.planAndConfirm()
	f.mustSubmitAs("x", smallStep(2))
	f.setCap("x", 2)
	for len(placed) >= 2 {
		f.now += 10 * time.Millisecond
		orders := f.engine.Plan(f.now)
		if len(orders.Stops) > 0 || len(orders.Starts) > 0 {
			t.Fatalf("with %d tasks held, %d starts and %d stops, want none", len(placed), len(orders.Starts), len(orders.Stops))
		}
		f.end(placed, lo.Keys(placed)[0])
	}
	if again := f.planAndConfirm(); len(again) != 1 {
		t.Errorf("%d tasks started with room for 1", len(again))
	}
}

// TestGangStartsWholeBelowCap guards against a gang of which some members start although the cap has no room for all.
func TestGangStartsWholeBelowCap(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.setCap("x", 4)
	f.mustSubmitAs("x", smallStep(2))
	placed := f.planAndConfirm()
	f.mustSubmitAs("x", gangStep(3))
	if again := f.planAndConfirm(); len(again) != 0 {
		t.Fatalf("%d members started with room for 2, want 0", len(again))
	}
	f.end(placed, lo.Keys(placed)...)
	if again := f.planAndConfirm(); len(again) != 3 {
		t.Errorf("%d members started, want 3", len(again))
	}
}

// TestGangKeepsRoomOfRefusedMember guards against a gang that cannot complete its attempt, because another step took
// the room below the cap after a member was refused.
func TestGangKeepsRoomOfRefusedMember(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.setCap("x", 3)
	gang := f.mustSubmitAs("x", gangStep(3))
	f.now += 10 * time.Millisecond
	starts := f.engine.Plan(f.now).Starts
	f.mustSubmitAs("x", smallStep(1))
	f.setCap("x", 1) // also the cap that was lowered meanwhile must not break the attempt
	f.engine.StartAnswered(starts[0], RefusedNoCapacity, f.now)
	f.checkHeld("x", 3, "after the refusal")
	f.now += 10 * time.Millisecond
	again := f.engine.Plan(f.now).Starts
	if len(again) != 1 || again[0].Task[:len(gang)] != gang {
		t.Errorf("started %v, want the refused member of the gang", again)
	}
	f.checkHeld("x", 3, "complete again")
}

// advisedQueues has one queue with an advisor.
var advisedQueues = []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Target: time.Second,
	Advisor: &Advisor{BaseDuration: 50 * time.Millisecond, TicketLife: time.Second}}}

// answerAdvice answers the next request with tickets for all its machines, and reports false if there is none.
func (f *engineFixture) answerAdvice(validFor time.Duration) bool {
	request, ok := f.engine.NextAdviceRequest(time.Hour, true, f.now)
	if !ok {
		return false
	}
	tickets := map[string]string{}
	for _, id := range request.Machines {
		tickets[id] = "t"
	}
	f.engine.AdviceAnswered(request, tickets, validFor, true, f.now, f.now)
	return true
}

// TestNoAdviceRequestAtCap guards against requests to the advisor, which take a daemon for their whole duration, by
// steps that may not start.
func TestNoAdviceRequestAtCap(t *testing.T) {
	f := newEngineFixture(t, advisedQueues, worker("a"), worker("b"))
	f.setCap("x", 1)
	f.mustSubmitAs("x", smallStep(1))
	f.planAndConfirm()
	f.answerAdvice(time.Second)
	if placed := f.planAndConfirm(); len(placed) != 1 {
		t.Fatalf("%d tasks started, want 1", len(placed))
	}
	f.mustSubmitAs("x", smallStep(1))
	f.mustSubmitAs("x", gangStep(1))
	f.planAndConfirm()
	if f.answerAdvice(time.Second) {
		t.Error("a step at the cap asks for advice")
	}
}

// TestGangThatWaitsForTicketsHoldsRoom guards against a gang whose members exceed the cap once its tickets are there,
// and against capacity that stays held for it after the cap was lowered.
func TestGangThatWaitsForTicketsHoldsRoom(t *testing.T) {
	f := newEngineFixture(t, advisedQueues, worker("a"), worker("b"))
	f.setCap("x", 3)
	f.mustSubmitAs("x", gangStep(3))
	f.planAndConfirm()
	f.answerAdvice(minTicketLife / 2) // too short to start with
	f.planAndConfirm()
	f.checkHeld("x", 3, "waiting for tickets")
	f.planAndConfirm()
	f.checkHeld("x", 3, "still waiting")
	f.setCap("x", 2)
	f.planAndConfirm()
	f.checkHeld("x", 0, "cap lowered")
	for _, m := range f.engine.byID {
		if !m.used.IsZero() {
			t.Errorf("machine %s holds %s for a gang that may not start", m.spec.ID, m.used)
		}
	}
	f.setCap("x", 3)
	for range 4 {
		f.planAndConfirm()
		f.answerAdvice(time.Second)
	}
	f.checkHeld("x", 3, "cap raised")
	if n := f.engine.Stats().Starts; n != 3 {
		t.Errorf("%d members started after the cap was raised, want 3", n)
	}
}

// TestUrgentStepsLeavePlacementsAlone guards against a gang that loses the capacity that it holds for its tickets to each
// more urgent step that comes to the cap, and so never starts.
func TestUrgentStepsLeavePlacementsAlone(t *testing.T) {
	queues := append([]Queue{{Name: "urgent", Service: "s", Priority: -1, MaxAttempts: 2, Stretch: 2, Target: time.Second}}, advisedQueues...)
	f := newEngineFixture(t, queues, worker("a"), worker("b"))
	f.setCap("x", 3)
	f.mustSubmitAs("x", gangStep(3))
	f.planAndConfirm()
	f.answerAdvice(minTicketLife / 2)
	f.planAndConfirm()
	f.checkHeld("x", 3, "waiting for tickets")
	if err := f.engine.Submit(Job{ID: "urgent", Queue: "urgent", Tenant: "x", Steps: []Step{smallStep(1)}, Accepted: f.now.Milliseconds()},
		f.now, time.UnixMilli(f.now.Milliseconds()), func(error) {}); err != nil {
		t.Fatal(err)
	}
	f.flush()
	f.planAndConfirm()
	if f.checkHeld("x", 3, "an urgent step waits"); f.engine.Stats().Starts != 0 || f.engine.Stats().StepsAtCap != 1 {
		t.Errorf("%d starts, %d steps at the cap; want 0 and 1", f.engine.Stats().Starts, f.engine.Stats().StepsAtCap)
	}
}

// TestLargeTasksGetRoomBelowCap guards against a gang that never starts because smaller tasks of less urgent steps
// take the room below the cap as soon as each of them ends.
func TestLargeTasksGetRoomBelowCap(t *testing.T) {
	queues := []Queue{plainQueues[0], {Name: "later", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}}
	f := newEngineFixture(t, queues, worker("a"), worker("b"))
	f.setCap("x", 4)
	submitLater := func() {
		f.jobCount++
		err := f.engine.Submit(Job{ID: "later" + string(rune('a'+f.jobCount)), Queue: "later", Tenant: "x", Steps: []Step{smallStep(20)},
			Accepted: f.now.Milliseconds()}, f.now, time.UnixMilli(f.now.Milliseconds()), func(error) {})
		if err != nil {
			t.Fatal(err)
		}
		f.flush()
	}
	submitLater()
	running := f.planAndConfirm()
	gang := f.mustSubmitAs("x", gangStep(3))
	for range 8 { // one task ends before each pass
		if len(running) > 0 {
			f.end(running, lo.Keys(running)[0])
		}
		for task, m := range f.planAndConfirm() {
			if task[:len(gang)] == gang {
				return
			}
			running[task] = m
		}
	}
	t.Error("the gang has not started although eight tasks have ended")
}

// TestPersistentTasksDoNotBlockTheCap guards against a step that holds up its tenant forever, since it waits for room
// that persistent tasks have.
func TestPersistentTasksDoNotBlockTheCap(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.setCap("x", 4)
	s := smallStep(2)
	s.Persistent = true
	f.mustSubmitAs("x", s)
	f.planAndConfirm()
	f.mustSubmitAs("x", gangStep(3))
	f.now += time.Millisecond
	f.mustSubmitAs("x", smallStep(2))
	if placed := f.planAndConfirm(); len(placed) != 2 {
		t.Errorf("%d tasks started beside a gang without a chance, want 2", len(placed))
	}
}

// TestJobsAboveTheCapAreRefused guards against accepted jobs that can never run, and against refusals of jobs that can.
func TestJobsAboveTheCapAreRefused(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.engine.SetTenants(1, []Tenant{{Name: "x", Cap: machine.Resources{CPUMilli: 2500}}})
	large := smallStep(1)
	large.Need.CPUMilli = 2501
	manyMiB := smallStep(3)
	manyMiB.Need.MemoryMiB = 8000
	cases := []struct {
		name, tenant, reason string
		step                 Step
	}{
		{"many tasks", "x", "", smallStep(20)},
		{"large task", "x", "task_exceeds_cap", large},
		{"gang that fits", "x", "", gangStep(2)},
		{"large gang", "x", "gang_exceeds_cap", gangStep(3)},
		{"memory has no cap", "x", "", manyMiB},
		{"other tenant", "y", "", gangStep(3)},
		{"no tenant", "", "", large},
	}
	for _, c := range cases {
		_, err := f.submitAs(c.tenant, c.step)
		if c.reason == "" && err != nil {
			t.Errorf("%s: refused: %v", c.name, err)
		}
		if c.reason != "" && (errkind.Of(err) != errkind.QuotaExceeded || errkind.ReasonOf(err) != c.reason) {
			t.Errorf("%s: %v, want quota_exceeded (%s)", c.name, err, c.reason)
		}
	}
	if r := errkind.Table[errkind.QuotaExceeded]; r.Status != 429 || r.Outcome != errkind.NotRun {
		t.Errorf("quota_exceeded is answered with %d, %s; want 429 and not_run", r.Status, r.Outcome)
	}
}

// TestTenantsAreBroughtIntoRange guards against an entry of the configuration that breaks the arithmetic of the engine
// or caps the jobs without a tenant.
func TestTenantsAreBroughtIntoRange(t *testing.T) {
	e := New(Config{Logger: zerolog.Nop()}, 0)
	e.SetTenants(1, []Tenant{
		{Name: "negative", Weight: -1, Cap: machine.Resources{CPUMilli: -5, MemoryMiB: 7}},
		{Name: "huge", Weight: math.Inf(1), Cap: machine.Resources{CPUMilli: math.MaxInt64, MemoryMiB: math.MinInt64}},
		{Name: "undefined", Weight: math.NaN()},
		{Name: "", Cap: machine.Resources{CPUMilli: 1}},
	})
	want := []Tenant{
		{Name: "negative", Cap: machine.Resources{MemoryMiB: 7}},
		{Name: "huge", Weight: maxWeight, Cap: machine.Resources{CPUMilli: maxResourceAmount}},
		{Name: "undefined"},
	}
	for _, w := range want {
		if got := e.tenant(w.Name).Tenant; got != w {
			t.Errorf("got %+v, want %+v", got, w)
		}
	}
	if got := e.tenant(""); !got.Cap.IsZero() {
		t.Errorf("the jobs without a tenant have the cap %s", got.Cap)
	}
	names := []string{}
	for _, u := range e.tenantUsages() {
		names = append(names, u.Name)
	}
	if !slices.Equal(names, []string{"huge", "negative"}) {
		t.Errorf("usage of %v is shown, want that of the tenants with a cap", names)
	}
}
