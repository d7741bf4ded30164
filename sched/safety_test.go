package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestPromisesHoldUnderFaults guards against tasks that run twice, overfull
// machines, exceeded attempts, lost jobs and untrue states while orders are late,
// answers are lost, machines crash or are cut off, and leaders die.
func TestPromisesHoldUnderFaults(t *testing.T) {
	cases := map[string]faults{
		"calm":     {failRun: 0.03, poison: 0.03},
		"late":     {late: 0.08, failRun: 0.03, poison: 0.03},
		"lost":     {lost: 0.15, failRun: 0.03, poison: 0.03},
		"machines": {crash: 0.04, cut: 0.04, failRun: 0.03, poison: 0.03},
		"leaders":  {leaderDies: 0.25, failRun: 0.05, poison: 0.05},
		"all":      {late: 0.05, lost: 0.05, crash: 0.03, cut: 0.03, leaderDies: 0.15, failRun: 0.05, poison: 0.03},
	}
	seeds := uint64(25)
	if testing.Short() {
		seeds = 3
	}
	for name, f := range cases {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, seed, f)
				w.play(20*time.Second, 30*time.Second)
				w.checkEnds()
				if len(w.accepted) < 20 || w.starts < 100 {
					t.Errorf("only %d jobs accepted and %d tasks started", len(w.accepted), w.starts)
				}
				if len(w.problems) > 0 {
					t.Errorf("%d problems, the first:\n%s", len(w.problems), strings.Join(w.problems[:min(5, len(w.problems))], "\n"))
				}
			})
		}
	}
}

// TestWithdraw guards against a withdrawn job that runs, and against a withdrawal
// of a job that may be stored or that another caller waits for.
func TestWithdraw(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"))
	submit := func(id string) {
		if err := b.e.Submit(Job{ID: id, Queue: "q", Steps: []Step{small(1)}, Accepted: b.now.Milliseconds()}, b.now,
			time.UnixMilli(b.now.Milliseconds()), func() {}); err != nil {
			t.Fatal(err)
		}
	}
	submit("1")
	if !b.e.Withdraw("1") {
		t.Error("a job that was not handed out cannot be withdrawn")
	}
	submit("2")
	submit("2")
	if b.e.Withdraw("2") {
		t.Error("a job that two callers wait for was withdrawn")
	}
	submit("3")
	batch, _, err := b.e.Flush(time.UnixMilli(b.now.Milliseconds()))
	if err != nil {
		t.Fatal(err)
	}
	if b.e.Withdraw("3") {
		t.Error("a job that is being stored was withdrawn")
	}
	b.e.BatchStored(batch, b.now)
	b.plan()
	if _, known := b.e.State("1"); known || b.e.Stats().Starts != 2 {
		t.Errorf("withdrawn job known: %v, %d starts, want 2", known, b.e.Stats().Starts)
	}
}
