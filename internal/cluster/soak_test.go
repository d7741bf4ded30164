package cluster

import (
	"context"
	"flag"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/standin"
)

var (
	soakDuration = flag.Duration("soak", 15*time.Second, "length of the random schedule of faults")
	soakSeed     = flag.Uint64("seed", 1, "seed of the random schedule of faults")
)

// soakFault is a fault that the schedule can inject. inject injects it and returns a
// function that ends it.
type soakFault struct {
	name   string
	inject func(x *loadedCell, r *rand.Rand) (heal func())
}

// pick returns a random element of list.
func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// logFault returns an injector of faults of the log.
func logFault(f standin.LogFaults) func(*loadedCell, *rand.Rand) func() {
	return func(x *loadedCell, _ *rand.Rand) func() {
		x.runOrFail(func() error { return x.SetLogFaults(x.ctx, f) })
		return func() { x.runOrFail(func() error { return x.SetLogFaults(x.ctx, standin.LogFaults{}) }) }
	}
}

// linkFault returns an injector of a state of the link between the regions.
func linkFault(s LinkState) func(*loadedCell, *rand.Rand) func() {
	return func(x *loadedCell, _ *rand.Rand) func() {
		x.SetLinkState(s)
		return func() { x.SetLinkState(LinkUp) }
	}
}

// silenceCallTimeout bounds a call that silences its own connection, so that its answer
// never comes.
const silenceCallTimeout = 300 * time.Millisecond

// silenceExecutor makes the open connections of a random executor silent. Ending the fault
// doesn't bring them back; connections opened later work in any case.
func silenceExecutor(x *loadedCell, r *rand.Rand) func() {
	n := pick(r, x.Executors)
	x.silenceConnections(n)
	return func() {
		x.runOrFail(func() error {
			return x.Send(x.ctx, http.MethodPost, n.URL()+"/v1/faults", standin.ExecutorFaults{}, nil)
		})
	}
}

// silenceConnections makes the open connections of an executor silent, including that of
// the call itself, which therefore times out.
func (x *loadedCell) silenceConnections(n *Node) {
	ctx, cancel := context.WithTimeout(x.ctx, silenceCallTimeout)
	defer cancel()
	_ = x.Send(ctx, http.MethodPost, n.URL()+"/v1/faults", standin.ExecutorFaults{Silent: true}, nil)
}

// executorFault returns an injector of faults of a random executor.
func executorFault(f standin.ExecutorFaults) func(*loadedCell, *rand.Rand) func() {
	return func(x *loadedCell, r *rand.Rand) func() {
		url := pick(r, x.Executors).URL() + "/v1/faults"
		x.runOrFail(func() error { return x.Send(x.ctx, http.MethodPost, url, f, nil) })
		return func() {
			x.runOrFail(func() error { return x.Send(x.ctx, http.MethodPost, url, standin.ExecutorFaults{}, nil) })
		}
	}
}

// workerFault returns an injector of faults of a random worker.
func workerFault(f standin.WorkerFaults) func(*loadedCell, *rand.Rand) func() {
	return func(x *loadedCell, r *rand.Rand) func() {
		url := pick(r, x.Workers).URL() + "/v1/faults"
		x.runOrFail(func() error { return x.Send(x.ctx, http.MethodPost, url, f, nil) })
		return func() {
			x.runOrFail(func() error { return x.Send(x.ctx, http.MethodPost, url, standin.WorkerFaults{}, nil) })
		}
	}
}

// killDaemon kills a random daemon, unless it is not running; ending the fault starts it again.
func killDaemon(x *loadedCell, r *rand.Rand) func() {
	n := pick(r, x.Daemons)
	if !n.Running() {
		return func() {}
	}
	n.Kill()
	x.setBalanced(n, false)
	return func() {
		x.runOrFail(func() error { return x.StartDaemon(x.ctx, n) })
		x.setBalanced(n, true)
	}
}

// pauseDaemon suspends the process of a random daemon; ending the fault resumes it.
func pauseDaemon(x *loadedCell, r *rand.Rand) func() {
	n := pick(r, x.Daemons)
	n.Pause()
	return n.Resume
}

// faults holds the faults from which TestSoak draws.
var faults = []soakFault{
	{"daemon killed", killDaemon},
	{"daemon paused", pauseDaemon},
	{"log down", logFault(standin.LogFaults{Down: true})},
	{"log slow", logFault(standin.LogFaults{DelayMS: 300})},
	{"log answers lost", logFault(standin.LogFaults{LoseAnswers: -1})},
	{"link cut", linkFault(LinkCut)},
	{"link silent", linkFault(LinkSilent)},
	{"executor answers late", executorFault(standin.ExecutorFaults{AnswerDelayMS: 400})},
	{"executor answers crossed", executorFault(standin.ExecutorFaults{CrossID: true})},
	{"executor answers cut off", executorFault(standin.ExecutorFaults{Truncate: true})},
	{"executor slow", executorFault(standin.ExecutorFaults{SlowFactor: 20})},
	{"executor connections silent", silenceExecutor},
	{"worker loses answers", workerFault(standin.WorkerFaults{LoseEveryNthAnswer: 3})},
	{"worker unreachable", workerFault(standin.WorkerFaults{Unreachable: true})},
	{"worker slow", workerFault(standin.WorkerFaults{DelayMS: 200})},
}

// runOrFail runs fn, which injects or ends a fault. An error fails the test, which goes on.
func (x *loadedCell) runOrFail(fn func() error) {
	if err := fn(); err != nil {
		x.t.Errorf("inject or end a fault: %s", err)
	}
}

// Guards against failures that only a combination of faults causes. The test injects a
// random, seeded schedule of overlapping faults under load and then checks all records.
func TestSoak(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	r := rand.New(rand.NewPCG(*soakSeed, 0))
	var heals []func()
	end := time.Now().Add(*soakDuration)
	for round := 0; time.Now().Before(end); round++ {
		f := pick(r, faults)
		t.Logf("fault: %s", f.name)
		heals = append(heals, f.inject(x, r))
		time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		// At most two faults are present at a time; the older one ends first.
		if len(heals) > 1 {
			heals[0]()
			heals = heals[1:]
		}
		if round%4 == 0 {
			x.healAll(heals)
			heals = nil
			x.submitJobs(round)
		}
	}
	x.healAll(heals)
	x.awaitOwners()
	x.finish()
}

// healAll ends the faults that belong to heals, see soakFault.
func (x *loadedCell) healAll(heals []func()) {
	for _, heal := range heals {
		heal()
	}
}

// Guards against calls that never end because a network device has lost track of their
// connections: those stay open and carry nothing, while new connections work.
func TestSilentConnections(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	x.submitJobs(0)
	x.forwarders.mu.Lock()
	for _, f := range x.forwarders.byTarget {
		f.SilenceOpenConnections()
	}
	x.forwarders.mu.Unlock()
	for _, n := range x.Executors {
		x.silenceConnections(n)
	}
	ctx, cancel := context.WithTimeout(x.ctx, testTimeout)
	defer cancel()
	x.awaitRuns(ctx, 50)
	x.submitJobs(1)
	x.finish()
}

// awaitRuns waits until the executors have started n more runs, and fails the test if
// ctx ends before.
func (x *loadedCell) awaitRuns(ctx context.Context, n int) {
	x.t.Helper()
	runs := func() int {
		records, err := x.ExecutorRecords(ctx)
		if err != nil {
			x.t.Fatal(err)
		}
		total := 0
		for _, r := range records {
			total += len(r.Runs)
		}
		return total
	}
	for start := runs(); runs() < start+n; {
		if ctx.Err() != nil {
			x.t.Fatal("the executors started too few runs before the timeout")
		}
		time.Sleep(100 * time.Millisecond)
	}
}
