package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// BenchmarkPlanBacklog measures one pass while many jobs wait for full machines,
// which is when the leader must not fall behind.
func BenchmarkPlanBacklog(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{48, 300}, {350, 1000}} {
		b.Run(fmt.Sprintf("%dmachines%djobs", size.machines, size.jobs), func(b *testing.B) {
			e, now := backlog(b, size.machines, size.jobs)
			for b.Loop() {
				now += 10 * time.Microsecond // small steps: machines take no new work after maxAnswerAge
				e.Plan(now)
			}
		})
	}
}

// backlog returns an engine with full machines and waiting jobs of three kinds.
func backlog(tb testing.TB, machines, jobs int) (*Engine, time.Duration) {
	now := time.Second
	wall := time.UnixMilli(1_700_000_000_000)
	e := New(Config{Token: 256, Lease: 6 * time.Second, GangWait: 3 * time.Second, SpreadFactor: 3,
		Logger: zerolog.Nop()}, now)
	e.SetQueues(1, []Queue{
		{Name: "quick", Service: "s", MaxAttempts: 3, Stretch: 1.5,
			Advisor: &Advisor{BaseDuration: 7 * time.Millisecond, DurationPerMachine: 100 * time.Microsecond}},
		{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 4,
			Advisor: &Advisor{BaseDuration: 66 * time.Millisecond, DurationPerMachine: time.Millisecond}},
		{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2,
			Advisor: &Advisor{BaseDuration: 510 * time.Millisecond, DurationPerMachine: 7 * time.Millisecond}},
	})
	var list []Machine
	for i := range machines {
		list = append(list, Machine{ID: fmt.Sprintf("i-%04d", i), Born: 1, Service: "s", Rack: fmt.Sprintf("r%d", i/8),
			Capacity: machine.Resources{CPUMilli: 16000, MemoryMiB: 32768}})
	}
	e.SetMachines(list, now)
	flush := func() {
		batch, _, err := e.Flush(wall)
		if err != nil {
			tb.Fatal(err)
		}
		e.BatchStored(batch, now)
	}
	flush()
	for _, m := range list {
		e.PollAnswered(m.ID, 256, PollResult{Born: 1, Clock: 1}, now)
	}
	for i := range jobs + machines {
		j := Job{ID: fmt.Sprintf("%016d", i), Accepted: wall.UnixMilli()}
		switch i % 3 {
		case 0:
			j.Queue, j.Steps = "quick", []Step{{Count: 2, Estimate: 640 * time.Millisecond,
				Need: machine.Resources{CPUMilli: 1400, MemoryMiB: 2600}}}
		case 1:
			j.Queue, j.Steps = "wide", []Step{{Count: 10, Estimate: 2700 * time.Millisecond,
				Need: machine.Resources{CPUMilli: 980, MemoryMiB: 1400}}}
		default:
			j.Queue, j.Steps = "gang", []Step{{Count: 6, Gang: true, Estimate: 6200 * time.Millisecond,
				Need: machine.Resources{CPUMilli: 4500, MemoryMiB: 6400}}}
		}
		if err := e.Submit(j, now, wall, func(error) {}); err != nil {
			tb.Fatal(err)
		}
	}
	flush()
	// Answer every advice request until the machines are full.
	for range 20 {
		e.Plan(now)
		for {
			request, ok := e.NextAdviceRequest(time.Hour, false, now)
			if !ok {
				break
			}
			tickets := make(map[string]string)
			for i, id := range request.Machines {
				if i%2 == 0 {
					tickets[id] = "t"
				}
			}
			e.AdviceAnswered(request, tickets, time.Hour, true, now, now)
		}
	}
	if s := e.Stats(); s.WaitingSteps < jobs/3 {
		tb.Fatalf("only %d steps wait, want at least a third of the jobs", s.WaitingSteps)
	}
	return e, now
}

// TestBlockedStepsSearchSeldom guards against passes that search all machines again for
// every waiting step, which under a backlog takes too much of the leader's processor time.
func TestBlockedStepsSearchSeldom(t *testing.T) {
	e, now := backlog(t, 48, 300)
	const passes, gap = 100, time.Millisecond
	before := e.Stats().Searches
	for range passes {
		now += gap
		e.Plan(now)
	}
	waiting := int64(e.Stats().WaitingSteps)
	// The shortest declared run time is 640 ms, so a step searches at most every 10 ms.
	maxSearches := waiting * passes * int64(gap) / int64(10*time.Millisecond)
	if got := e.Stats().Searches - before; got > maxSearches+waiting {
		t.Errorf("%d searches for free capacity in %d passes over %d waiting steps, want at most %d",
			got, passes, waiting, maxSearches+waiting)
	}
}
