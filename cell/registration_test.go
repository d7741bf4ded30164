package cell

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/sched"
)

// TestRegistrationsReachNewLeaderSoon guards against a new leader that has no other
// daemon to ask the advisor through for half a second, because their first reports
// came while it was still reading the job state.
func TestRegistrationsReachNewLeaderSoon(t *testing.T) {
	leader, d := startAssumedLeader(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.keepRegistered(ctx)
	time.Sleep(registrationInterval / 4) // the claimant reads the job state
	l := &leadership{daemon: leader, logger: zerolog.Nop(), clock: HostClock, peers: make(map[string]*peer),
		engine: sched.New(sched.Config{Logger: zerolog.Nop()}, HostClock())}
	leader.leadership.Store(l)
	defer leader.leadership.Store(nil)
	eventually(t, "the report arrives", registrationInterval/2, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.peers) == 1
	})
}
