package cell

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/sched"
)

// lossyWorkers answers the looks at a machine from the third on.
type lossyWorkers struct{ looks atomic.Int64 }

func (*lossyWorkers) Start(context.Context, sched.Start, int64) (sched.StartOutcome, error) {
	return sched.NotSent, nil
}

func (*lossyWorkers) Stop(context.Context, sched.Stop) error { return nil }

func (w *lossyWorkers) Poll(ctx context.Context, _ sched.Machine, _, _, _ int64, _ time.Duration) (sched.PollResult, error) {
	if w.looks.Add(1) < 3 {
		<-ctx.Done()
		return sched.PollResult{}, ctx.Err()
	}
	return sched.PollResult{Born: 1, Clock: 1}, nil
}

// lookingLead returns the work of a leader that looks at machines, and a context
// that ends with the test.
func lookingLead(t *testing.T, workers MachineClient) (*lead, context.Context) {
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: newMemoryLog(), Machines: workers, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &lead{d: d, log: zerolog.Nop(), clock: HostClock, stored: make(chan struct{}), began: HostClock(),
		engine:   sched.New(sched.Config{Lease: time.Second, Logger: zerolog.Nop()}, HostClock()),
		planSoon: make(chan struct{}, 1), flushSoon: make(chan struct{}, 1), looks: make(chan struct{}, looksAtOnce)}, ctx
}

// TestLostLooksAreRepeatedSoon guards against accepted work that waits seconds
// after a change of the leader because one machine has left a look unanswered.
func TestLostLooksAreRepeatedSoon(t *testing.T) {
	workers := &lossyWorkers{}
	l, ctx := lookingLead(t, workers)
	l.engine.SetMachines([]sched.Machine{{ID: "m", Born: 1, Service: "s"}}, HostClock())
	go l.look(ctx, "m")
	within(t, "a machine that lost two looks has answered", time.Second, func() bool { return workers.looks.Load() >= 3 })
}

// crowdedWorkers answers looks after a while and remembers how many were under way.
type crowdedWorkers struct {
	lossyWorkers
	now, most atomic.Int64
}

func (w *crowdedWorkers) Poll(_ context.Context, _ sched.Machine, _, _, _ int64, wait time.Duration) (sched.PollResult, error) {
	if wait == 0 {
		n := w.now.Add(1)
		defer w.now.Add(-1)
		for most := w.most.Load(); n > most && !w.most.CompareAndSwap(most, n); most = w.most.Load() {
		}
	}
	w.looks.Add(1)
	time.Sleep(20 * time.Millisecond)
	return sched.PollResult{Born: 1, Clock: 1}, nil
}

// TestFirstLooksAreBounded guards against a new leader of thousands of machines that
// looks at all of them at once: the answers run out of time in the queue in front of
// its own processor, are asked for again, and no machine is ever in touch.
func TestFirstLooksAreBounded(t *testing.T) {
	const machines = 4 * looksAtOnce
	workers := &crowdedWorkers{}
	l, ctx := lookingLead(t, workers)
	var list []sched.Machine
	for i := range machines {
		list = append(list, sched.Machine{ID: fmt.Sprint("m", i), Born: 1, Service: "s"})
	}
	l.engine.SetMachines(list, HostClock())
	for _, m := range list {
		go l.look(ctx, m.ID)
	}
	within(t, "all machines have answered", 5*time.Second, func() bool { return workers.looks.Load() >= machines })
	if n := workers.most.Load(); n > looksAtOnce {
		t.Errorf("%d looks at once, want at most %d", n, looksAtOnce)
	}
}
