package cell

import (
	"context"
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

func (w *lossyWorkers) Look(ctx context.Context, _ sched.Machine, _, _, _ int64, _ time.Duration) (sched.Look, error) {
	if w.looks.Add(1) < 3 {
		<-ctx.Done()
		return sched.Look{}, ctx.Err()
	}
	return sched.Look{Born: 1, Clock: 1}, nil
}

// TestLostLooksAreRepeatedSoon guards against accepted work that waits seconds
// after a change of the leader because one machine has left a look unanswered.
func TestLostLooksAreRepeatedSoon(t *testing.T) {
	workers := &lossyWorkers{}
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: newMemoryLog(), Workers: workers, Logger: zerolog.Nop()})
	l := &lead{d: d, log: zerolog.Nop(), clock: HostClock, stored: make(chan struct{}), began: HostClock(),
		engine:   sched.New(sched.Config{Lease: time.Second, Logger: zerolog.Nop()}, HostClock()),
		planSoon: make(chan struct{}, 1), flushSoon: make(chan struct{}, 1)}
	l.engine.SetMachines([]sched.Machine{{ID: "m", Born: 1, Service: "s"}}, HostClock())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.look(ctx, "m"); close(done) }()
	within(t, "a machine that lost two looks has answered", time.Second, func() bool { return workers.looks.Load() >= 3 })
	cancel()
	<-done
}
