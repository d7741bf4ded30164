package cell

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/sched"
)

// TestReportsReachANewLeaderAtOnce guards against a new leader that has no other
// daemon to ask the advisor through for half a second, because their first reports
// came while it was still reading the job state.
func TestReportsReachANewLeaderAtOnce(t *testing.T) {
	leader, d := claimant(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.greet(ctx)
	time.Sleep(helloEvery / 4) // the claimant reads the job state
	l := &lead{d: leader, log: zerolog.Nop(), clock: HostClock, peers: make(map[string]*peer),
		engine: sched.New(sched.Config{Logger: zerolog.Nop()}, HostClock())}
	leader.lead.Store(l)
	defer leader.lead.Store(nil)
	within(t, "the report arrives", helloEvery/2, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.peers) == 1
	})
}
