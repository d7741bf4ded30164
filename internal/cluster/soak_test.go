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
	soakFor  = flag.Duration("soak", 15*time.Second, "length of the random schedule of faults")
	soakSeed = flag.Uint64("seed", 1, "seed of the random schedule of faults")
)

// fault is something that goes wrong and is healed after a while.
type fault struct {
	name string
	do   func(x *cell, r *rand.Rand) (heal func())
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// logFault sets a fault of the log.
func logFault(f standin.LogFaults) func(*cell, *rand.Rand) func() {
	return func(x *cell, _ *rand.Rand) func() {
		x.post(func() error { return x.SetLogFaults(x.ctx, f) })
		return func() { x.post(func() error { return x.SetLogFaults(x.ctx, standin.LogFaults{}) }) }
	}
}

func linkFault(s LinkState) func(*cell, *rand.Rand) func() {
	return func(x *cell, _ *rand.Rand) func() {
		x.SetLinkState(s)
		return func() { x.SetLinkState(LinkUp) }
	}
}

// silenceAnswer is the wait for the answer of a call that silences its own connection.
const silenceAnswer = 300 * time.Millisecond

func silentExecutor(x *cell, r *rand.Rand) func() {
	n := pick(r, x.Executors)
	x.silence(n)
	return func() {
		x.post(func() error {
			return x.Send(x.ctx, http.MethodPost, n.URL()+"/v1/faults", standin.ExecutorFaults{}, nil)
		})
	}
}

// silence makes the open connections of an executor silent, that of the call included.
func (x *cell) silence(n *Node) {
	ctx, cancel := context.WithTimeout(x.ctx, silenceAnswer)
	defer cancel()
	_ = x.Send(ctx, http.MethodPost, n.URL()+"/v1/faults", standin.ExecutorFaults{Silent: true}, nil)
}

func executorFault(f standin.ExecutorFaults) func(*cell, *rand.Rand) func() {
	return func(x *cell, r *rand.Rand) func() {
		url := pick(r, x.Executors).URL() + "/v1/faults"
		x.post(func() error { return x.Send(x.ctx, http.MethodPost, url, f, nil) })
		return func() {
			x.post(func() error { return x.Send(x.ctx, http.MethodPost, url, standin.ExecutorFaults{}, nil) })
		}
	}
}

func workerFault(f standin.WorkerFaults) func(*cell, *rand.Rand) func() {
	return func(x *cell, r *rand.Rand) func() {
		url := pick(r, x.Workers).URL() + "/v1/faults"
		x.post(func() error { return x.Send(x.ctx, http.MethodPost, url, f, nil) })
		return func() {
			x.post(func() error { return x.Send(x.ctx, http.MethodPost, url, standin.WorkerFaults{}, nil) })
		}
	}
}

// killed ends a daemon without warning and starts it again to heal.
func killed(x *cell, r *rand.Rand) func() {
	n := pick(r, x.Daemons)
	if !n.Running() {
		return func() {}
	}
	n.Kill()
	x.balance(n, false)
	return func() {
		x.post(func() error { return x.StartDaemon(x.ctx, n) })
		x.balance(n, true)
	}
}

func paused(x *cell, r *rand.Rand) func() {
	n := pick(r, x.Daemons)
	n.Pause()
	return n.Resume
}

var faults = []fault{
	{"daemon killed", killed},
	{"daemon paused", paused},
	{"log down", logFault(standin.LogFaults{Down: true})},
	{"log slow", logFault(standin.LogFaults{DelayMS: 300})},
	{"log answers lost", logFault(standin.LogFaults{LoseAnswers: -1})},
	{"link cut", linkFault(LinkCut)},
	{"link silent", linkFault(LinkSilent)},
	{"executor answers late", executorFault(standin.ExecutorFaults{AnswerDelayMS: 400})},
	{"executor answers crossed", executorFault(standin.ExecutorFaults{CrossID: true})},
	{"executor answers cut off", executorFault(standin.ExecutorFaults{Truncate: true})},
	{"executor slow", executorFault(standin.ExecutorFaults{SlowFactor: 20})},
	{"executor connections silent", silentExecutor},
	{"worker loses answers", workerFault(standin.WorkerFaults{LoseEveryNthAnswer: 3})},
	{"worker unreachable", workerFault(standin.WorkerFaults{Unreachable: true})},
	{"worker slow", workerFault(standin.WorkerFaults{DelayMS: 200})},
}

// post runs fn and ends the test if it fails.
func (x *cell) post(fn func() error) {
	if err := fn(); err != nil {
		x.t.Errorf("inject fault: %s", err)
	}
}

// Guards against faults that only a combination shows: a seeded schedule of
// overlapping faults under load, then the checks of all records.
func TestSoak(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	r := rand.New(rand.NewPCG(*soakSeed, 0))
	var heals []func()
	end := time.Now().Add(*soakFor)
	for wave := 0; time.Now().Before(end); wave++ {
		f := pick(r, faults)
		t.Logf("fault: %s", f.name)
		heals = append(heals, f.do(x, r))
		time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
		// Two faults at a time at most, healed in the order of their start.
		if len(heals) > 1 {
			heals[0]()
			heals = heals[1:]
		}
		if wave%4 == 0 {
			x.healAll(heals)
			heals = nil
			x.wave(wave)
		}
	}
	x.healAll(heals)
	x.awaitOwners()
	x.finish()
}

func (x *cell) healAll(heals []func()) {
	for _, heal := range heals {
		heal()
	}
}

// Guards against calls that stay open for good when a device between the two
// ends loses track of the connections while new ones work.
func TestConnectionsLostTrackOf(t *testing.T) {
	x := startCell(t, fiveDaemons...)
	x.wave(0)
	x.links.mu.Lock()
	for _, f := range x.links.byTarget {
		f.SilenceOpenConnections()
	}
	x.links.mu.Unlock()
	for _, n := range x.Executors {
		x.silence(n)
	}
	ctx, cancel := context.WithTimeout(x.ctx, testLimit)
	defer cancel()
	x.awaitAnswers(ctx, 50)
	x.wave(1)
	x.finish()
}

// awaitAnswers waits until the executors have started n more runs.
func (x *cell) awaitAnswers(ctx context.Context, n int) {
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
			x.t.Fatal("calls did not go on")
		}
		time.Sleep(100 * time.Millisecond)
	}
}
