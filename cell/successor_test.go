package cell

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// newUnresponsiveLeader returns a daemon that takes an unresponsive one, which accepts connections and
// never answers, for the leader. The returned function makes the daemon itself the leader.
func newUnresponsiveLeader(t *testing.T) (*Daemon, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test is over, an error has no effect
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: newMemoryLog(), Logger: zerolog.Nop()})
	d.tenure.leader = Leader{Daemon: "b", Incarnation: 1, Address: listener.Addr().String(), Term: 1}
	return d, func() {
		d.leadership.Store(&leadership{daemon: d, logger: zerolog.Nop(), clock: HostClock, recordsStored: make(chan struct{}),
			engine: sched.New(sched.Config{Logger: zerolog.Nop()}, HostClock())})
		d.tenure.mu.Lock()
		defer d.tenure.mu.Unlock()
		d.tenure.validUntil = HostClock() + time.Minute
		d.tenure.setLeader(Leader{Daemon: "a", Address: d.tenure.cfg.Self.Address, Incarnation: d.tenure.cfg.Self.Incarnation, Term: 2})
	}
}

// deliveryTime is enough for a call to reach another daemon over loopback.
const deliveryTime = 50 * time.Millisecond

// TestCallsFollowTheLeader guards against requests that wait for a leader whose host has lost its
// power until their callers give up, although another daemon leads by then.
func TestCallsFollowTheLeader(t *testing.T) {
	d, takeLeadership := newUnresponsiveLeader(t)
	done := make(chan error, 1)
	go func() {
		_, _, err := d.State(context.Background(), Caller{}, "0000000000000001")
		done <- err
	}()
	time.Sleep(deliveryTime)
	takeLeadership()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("answer of the new leader: %v", err)
		}
	case <-time.After(leaderCallTimeout / 2):
		t.Error("the call still waits for the former leader")
	}
}

// TestRefusalAfterUnansweredCallIsOutcomeUnknown guards against a caller that is told that its job
// never runs, while an unresponsive leader may still store a copy that it has received.
func TestRefusalAfterUnansweredCallIsOutcomeUnknown(t *testing.T) {
	d, takeLeadership := newUnresponsiveLeader(t)
	done := make(chan error, 1)
	job := &sched.Job{ID: "0000000000000001"} // a job without steps is refused
	go func() { done <- d.Submit(context.Background(), Caller{}, job) }()
	time.Sleep(deliveryTime)
	takeLeadership()
	if err := <-done; errkind.Of(err) != errkind.OutcomeUnknown {
		t.Errorf("got %v, want %s: the former leader may have stored the job", err, errkind.OutcomeUnknown)
	}
	if err := d.Submit(context.Background(), Caller{}, job); errkind.Of(err) != errkind.BadInput {
		t.Errorf("a second submission got %v, want %s", err, errkind.BadInput)
	}
}

// TestLeaderThatStartedAtTheSameTime guards against a daemon that takes another one for itself because
// both were started at the same time, and so refuses all requests that the leader would accept.
func TestLeaderThatStartedAtTheSameTime(t *testing.T) {
	leader, follower := startAssumedLeader(t)
	self := follower.tenure.cfg.Self
	follower.tenure.leader = Leader{Daemon: "b", Address: leader.tenure.cfg.Self.Address, Incarnation: self.Incarnation, Term: 1}
	leader.leadership.Store(&leadership{daemon: leader, logger: zerolog.Nop(), clock: HostClock,
		engine: sched.New(sched.Config{Logger: zerolog.Nop()}, HostClock())})
	defer leader.leadership.Store(nil)
	leader.tenure.mu.Lock()
	leader.tenure.validUntil = HostClock() + time.Minute
	leader.tenure.mu.Unlock()
	if _, known, err := follower.State(context.Background(), Caller{}, "0000000000000001"); err != nil || known {
		t.Errorf("state of an unknown job: %v, %v, want not known", known, err)
	}
}
