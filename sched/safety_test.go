package sched

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

// simulationSeeds is the number of the seeds of each case of the simulation, which begin at firstSimulationSeed.
var (
	simulationSeeds     = flag.Uint64("simulation-seeds", 25, "seeds of each case of the simulation")
	firstSimulationSeed = flag.Uint64("first-simulation-seed", 0, "first of these seeds")
)

// seedsToSimulate returns the seeds of each case of the simulation.
func seedsToSimulate() []uint64 {
	count := *simulationSeeds
	if testing.Short() {
		count = 3
	}
	var seeds []uint64
	for i := range count {
		seeds = append(seeds, *firstSimulationSeed+i)
	}
	return seeds
}

// TestGuaranteesHoldUnderFaults guards against tasks with two runs at the same time,
// exceeded capacity or attempts, lost jobs and wrong final states while orders are late,
// answers are lost, machines crash or are cut off, and leaders die.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	cases := map[string]faultRates{
		"calm":     {failedRun: 0.03, failingJob: 0.03},
		"late":     {lateOrder: 0.08, failedRun: 0.03, failingJob: 0.03},
		"lost":     {lostAnswer: 0.15, failedRun: 0.03, failingJob: 0.03},
		"machines": {machineCrash: 0.04, machineCutOff: 0.04, failedRun: 0.03, failingJob: 0.03},
		"leaders":  {leaderCrash: 0.25, failedRun: 0.05, failingJob: 0.05},
		"all": {lateOrder: 0.05, lostAnswer: 0.05, machineCrash: 0.03, machineCutOff: 0.03, leaderCrash: 0.15,
			failedRun: 0.05, failingJob: 0.03},
	}
	for name, f := range cases {
		for _, seed := range seedsToSimulate() {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, seed, f)
				sim.runWithFaults(20*time.Second, 30*time.Second)
				sim.checkFinalStates()
				if len(sim.accepted) < 20 || sim.startCount < 100 {
					t.Errorf("only %d jobs accepted and %d tasks started, want at least 20 and 100", len(sim.accepted), sim.startCount)
				}
				if len(sim.violations) > 0 {
					t.Errorf("%d violations, the first:\n%s", len(sim.violations),
						strings.Join(sim.violations[:min(5, len(sim.violations))], "\n"))
				}
			})
		}
	}
}

// TestWithdraw guards against a withdrawn job that runs, and against withdrawing a job
// that may be stored or that another caller waits for.
func TestWithdraw(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"))
	submit := func(id string) {
		if err := f.engine.Submit(Job{ID: id, Queue: "q", Steps: []Step{smallStep(1)}, Accepted: f.now.Milliseconds()}, f.now,
			time.UnixMilli(f.now.Milliseconds()), func(error) {}); err != nil {
			t.Fatal(err)
		}
	}
	submit("1")
	if !f.engine.Withdraw("1") {
		t.Error("a job that Flush has not returned cannot be withdrawn")
	}
	submit("2")
	submit("2")
	if f.engine.Withdraw("2") {
		t.Error("a job that two callers wait for was withdrawn")
	}
	submit("3")
	batch, _, err := f.engine.Flush(time.UnixMilli(f.now.Milliseconds()))
	if err != nil {
		t.Fatal(err)
	}
	if f.engine.Withdraw("3") {
		t.Error("a job that is being stored was withdrawn")
	}
	f.engine.BatchStored(batch, f.now)
	f.planAndConfirm()
	if _, known := f.engine.State("1"); known || f.engine.Stats().Starts != 2 {
		t.Errorf("withdrawn job known: %v, %d starts, want false and 2", known, f.engine.Stats().Starts)
	}
}
