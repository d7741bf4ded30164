package cell

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/sched"
)

// TestRegistrationsReachNewLeaderSoon guards against a new leader that knows no other daemon to send
// advice requests through for half a second, because their first registrations came while it was
// still reading the job state.
func TestRegistrationsReachNewLeaderSoon(t *testing.T) {
	leader, follower := startAssumedLeader(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go follower.keepRegistered(ctx)
	time.Sleep(registrationInterval / 4) // as if the new leader read the job state
	l := &leadership{daemon: leader, logger: zerolog.Nop(), clock: HostClock, peers: make(map[string]*peer),
		engine: sched.New(sched.Config{Logger: zerolog.Nop()}, HostClock())}
	leader.leadership.Store(l)
	defer leader.leadership.Store(nil)
	eventually(t, "a registration", registrationInterval/2, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.peers) == 1
	})
}
