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

// lossyMachines answers the looks at a machine from the third on.
type lossyMachines struct{ polls atomic.Int64 }

func (*lossyMachines) Start(context.Context, sched.Start, int64) (sched.StartOutcome, error) {
	return sched.NotSent, nil
}

func (*lossyMachines) Stop(context.Context, sched.Stop) error { return nil }

func (w *lossyMachines) Poll(ctx context.Context, _ sched.Machine, _, _, _ int64, _ time.Duration) (sched.PollResult, error) {
	if w.polls.Add(1) < 3 {
		<-ctx.Done()
		return sched.PollResult{}, ctx.Err()
	}
	return sched.PollResult{Born: 1, Clock: 1}, nil
}

// newPollingLeadership returns the work of a leader that looks at machines, and a context
// that ends with the test.
func newPollingLeadership(t *testing.T, machines MachineClient) (*leadership, context.Context) {
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: newMemoryLog(), Machines: machines, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return &leadership{daemon: d, logger: zerolog.Nop(), clock: HostClock, recordsStored: make(chan struct{}), startedAt: HostClock(),
		engine:     sched.New(sched.Config{Lease: time.Second, Logger: zerolog.Nop()}, HostClock()),
		planSignal: make(chan struct{}, 1), flushSignal: make(chan struct{}, 1), pollSlots: make(chan struct{}, maxConcurrentPolls)}, ctx
}

// TestLostPollsAreRepeatedSoon guards against accepted work that waits seconds
// after a change of the leader because one machine has left a look unanswered.
func TestLostPollsAreRepeatedSoon(t *testing.T) {
	machines := &lossyMachines{}
	l, ctx := newPollingLeadership(t, machines)
	l.engine.SetMachines([]sched.Machine{{ID: "m", Born: 1, Service: "s"}}, HostClock())
	go l.pollMachine(ctx, "m")
	eventually(t, "a machine that lost two looks has answered", time.Second, func() bool { return machines.polls.Load() >= 3 })
}

// countingMachines answers looks after a while and remembers how many were under way.
type countingMachines struct {
	lossyMachines
	inFlight, maxInFlight atomic.Int64
}

func (w *countingMachines) Poll(_ context.Context, _ sched.Machine, _, _, _ int64, wait time.Duration) (sched.PollResult, error) {
	if wait == 0 {
		n := w.inFlight.Add(1)
		defer w.inFlight.Add(-1)
		for most := w.maxInFlight.Load(); n > most && !w.maxInFlight.CompareAndSwap(most, n); most = w.maxInFlight.Load() {
		}
	}
	w.polls.Add(1)
	time.Sleep(20 * time.Millisecond)
	return sched.PollResult{Born: 1, Clock: 1}, nil
}

// TestFirstPollsAreBounded guards against a new leader of thousands of machines that
// looks at all of them at once: the answers run out of time in the queue in front of
// its own processor, are asked for again, and no machine is ever in touch.
func TestFirstPollsAreBounded(t *testing.T) {
	const machineCount = 4 * maxConcurrentPolls
	machines := &countingMachines{}
	l, ctx := newPollingLeadership(t, machines)
	var list []sched.Machine
	for i := range machineCount {
		list = append(list, sched.Machine{ID: fmt.Sprint("m", i), Born: 1, Service: "s"})
	}
	l.engine.SetMachines(list, HostClock())
	for _, m := range list {
		go l.pollMachine(ctx, m.ID)
	}
	eventually(t, "all machines have answered", 5*time.Second, func() bool { return machines.polls.Load() >= machineCount })
	if n := machines.maxInFlight.Load(); n > maxConcurrentPolls {
		t.Errorf("%d looks at once, want at most %d", n, maxConcurrentPolls)
	}
}
