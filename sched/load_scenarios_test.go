package sched

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// variedKinds returns a load for a few hundred machines of 64 processors, with jobs of
// varied sizes and run times.
func variedKinds() []loadKind {
	return []loadKind{
		{queue: Queue{Name: "quick", Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 300 * time.Millisecond,
			Advisor: &Advisor{9 * time.Millisecond, 130 * time.Microsecond, 1500 * time.Millisecond}},
			rate: 100, count: 3, runTime: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 9900, MemoryMiB: 14000}, allowedShare: 0.7,
			variation: &variation{taskCount: 0.8, cpu: 0.45, memory: 0.6, runTime: 0.5,
				estimateError: 0.5, taskDifference: 0.15, failureShare: 0.02}},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 4, Target: 3 * time.Second,
			Advisor: &Advisor{80 * time.Millisecond, 1100 * time.Microsecond, 1500 * time.Millisecond}},
			rate: 16.8, count: 25, runTime: 2200 * time.Millisecond,
			need: machine.Resources{CPUMilli: 6900, MemoryMiB: 7100}, allowedShare: 0.45,
			variation: &variation{taskCount: 0.8, cpu: 0.45, memory: 0.6, runTime: 0.5,
				estimateError: 0.5, taskDifference: 0.15, failureShare: 0.05}},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advisor: &Advisor{340 * time.Millisecond, 4900 * time.Microsecond, 1500 * time.Millisecond}},
			rate: 6.5, count: 20, runTime: 4 * time.Second, gang: true,
			need: machine.Resources{CPUMilli: 18000, MemoryMiB: 33000}, allowedShare: 0.3,
			variation: &variation{taskCount: 0.8, cpu: 0.4, memory: 0.5, runTime: 0.5,
				estimateError: 0.2, taskDifference: 0.3, failureShare: 0.05}},
	}
}

// variedLoad returns a simulation of that load with a burst of gangs, on 350 machines of
// 64 processors, a third of them fast.
func variedLoad(seed uint64) *loadSimulation {
	kinds := variedKinds()
	kinds[2].burstFactor, kinds[2].burstFrom, kinds[2].burstUntil = 1.8, 12*time.Second, 16*time.Second
	l := newLoadSimulation(seed, 350, machine.Resources{CPUMilli: 64000, MemoryMiB: 131072}, 40, kinds)
	l.speedUpThird()
	return l
}

// speedUpThird makes a third of the machines 1.3 times as fast as the others.
func (l *loadSimulation) speedUpThird() {
	for i, m := range l.machines {
		if i%3 == 0 {
			l.relativeRunTime[m.ID] = 1 / 1.3
		}
	}
}

// uniformKinds returns a load whose tasks need the same resources and have known run
// times: jobs of few short tasks, jobs of many tasks, and gangs.
func uniformKinds() []loadKind {
	return []loadKind{
		{queue: Queue{Name: "quick", Service: "s", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 400 * time.Millisecond,
			Advisor: &Advisor{8 * time.Millisecond, 120 * time.Microsecond, 2 * time.Second}},
			rate: 100, count: 3, runTime: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 2500, MemoryMiB: 4000}, allowedShare: 0.7},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
			Advisor: &Advisor{80 * time.Millisecond, time.Millisecond, 2 * time.Second}},
			rate: 11, count: 30, runTime: 2700 * time.Millisecond,
			need: machine.Resources{CPUMilli: 1700, MemoryMiB: 3000}, allowedShare: 0.45},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advisor: &Advisor{340 * time.Millisecond, 5 * time.Millisecond, 2 * time.Second}},
			rate: 5.5, count: 20, runTime: 5 * time.Second, gang: true,
			need: machine.Resources{CPUMilli: 4500, MemoryMiB: 30000}, allowedShare: 0.3},
	}
}

// TestGangsKeepUpUnderVariedLoad guards against gangs that wait while machines are idle,
// because each machine is reserved for the one gang that comes first.
func TestGangsKeepUpUnderVariedLoad(t *testing.T) {
	const (
		target = 0.77 // share of the worth that users require of each kind
		seeds  = 2
	)
	meanCredit := make([]float64, 3)
	for seed := range uint64(seeds) {
		l := variedLoad(seed + 1)
		l.run(20*time.Second, 45*time.Second)
		credit := l.credit()
		for i := range meanCredit {
			meanCredit[i] += credit[i] / seeds
		}
		t.Logf("seed %d: credit %.3f, advice requests %d", seed+1, credit, l.engine.Stats().AdviceRequests)
	}
	for i, k := range variedKinds() {
		if meanCredit[i] < target {
			t.Errorf("%s jobs earn %.3f of their worth, target %.2f", k.queue.Name, meanCredit[i], target)
		}
	}
}

// TestLargeGangsFinish guards against gangs that never start although the machines are
// free, because the gangs reserve machines that other gangs need.
func TestLargeGangsFinish(t *testing.T) {
	l := newLoadSimulation(1, 350, machine.Resources{CPUMilli: 16000, MemoryMiB: 65536}, 37, uniformKinds())
	l.run(20*time.Second, 45*time.Second)
	inTime, late, oldest := l.servedShares()
	t.Logf("in time %.3f, late %.3f, age of the oldest live job %v, stats %+v", inTime, late, oldest, l.engine.Stats())
	if oldest > 0 {
		t.Errorf("a job has not completed %v after its submission, 25 s after the last arrival", oldest)
	}
}

// largeKinds returns a load for more than 500 machines of 16 processors, with jobs of
// varied sizes and run times.
func largeKinds() []loadKind {
	return []loadKind{
		{queue: Queue{Name: "quick", Service: "s", Priority: 0, MaxAttempts: 2, Stretch: 1.5, Target: 400 * time.Millisecond,
			Advisor: &Advisor{16 * time.Millisecond, 230 * time.Microsecond, 2 * time.Second}},
			rate: 98.6, count: 3, runTime: 800 * time.Millisecond,
			need: machine.Resources{CPUMilli: 3900, MemoryMiB: 15000}, allowedShare: 0.7,
			variation: &variation{taskCount: 0.8, cpu: 0.45, memory: 0.6, runTime: 0.5,
				estimateError: 0.2, taskDifference: 0.3, failureShare: 0.05}},
		{queue: Queue{Name: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 4, Target: 3 * time.Second,
			Advisor: &Advisor{140 * time.Millisecond, 2 * time.Millisecond, 2 * time.Second}},
			rate: 11.1, count: 19, runTime: 2700 * time.Millisecond, chainedShare: 0.5,
			need: machine.Resources{CPUMilli: 2800, MemoryMiB: 7900}, allowedShare: 0.45,
			variation: &variation{taskCount: 0.6, cpu: 0.45, memory: 0.6, runTime: 0.5,
				estimateError: 0.5, taskDifference: 0.15, failureShare: 0.005}},
		{queue: Queue{Name: "gang", Service: "s", Priority: 1, MaxAttempts: 3, Stretch: 2.2, Target: 1200 * time.Millisecond,
			Advisor: &Advisor{490 * time.Millisecond, 7 * time.Millisecond, 2 * time.Second}},
			rate: 6.65, count: 20, runTime: 5 * time.Second, gang: true, chainedShare: 0.2,
			need: machine.Resources{CPUMilli: 4500, MemoryMiB: 17000}, allowedShare: 0.3,
			variation: &variation{taskCount: 0.8, cpu: 0.4, memory: 0.5, runTime: 0.5,
				estimateError: 0.5, taskDifference: 0.15, failureShare: 0.02}},
	}
}

// largeLoad returns a simulation of that load with a burst of gangs, on 540 machines of
// 16 processors, a third of them fast.
func largeLoad(seed uint64) *loadSimulation {
	kinds := largeKinds()
	kinds[2].burstFactor, kinds[2].burstFrom, kinds[2].burstUntil = 1.8, 12*time.Second, 16*time.Second
	l := newLoadSimulation(seed, 540, machine.Resources{CPUMilli: 16000, MemoryMiB: 65536}, 97, kinds)
	l.speedUpThird()
	return l
}

// checkCredit checks that each kind of job earns the share of its worth that users
// require.
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

// TestLargeLoadIsServed guards against a leader that searches for free capacity so
// seldom, to save processor time, that jobs start and end later than they could.
func TestLargeLoadIsServed(t *testing.T) {
	l := largeLoad(1)
	l.run(20*time.Second, 36*time.Second)
	l.checkCredit(t)
}

// TestOverloadServesWhatCanBeOnTime guards against giving capacity to work that will end
// just too late while other work could be on time with it. The load is a fifth above
// that of TestLargeLoadIsServed, on fewer machines.
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
