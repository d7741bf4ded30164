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

// handover is a daemon that takes another one for the leader, which takes
// connections and never answers. The returned function makes the daemon lead.
func handover(t *testing.T) (*Daemon, func()) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() }) // nothing depends on it any more
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: newMemoryLog(), Logger: zerolog.Nop()})
	d.tenure.leader = Leader{Daemon: "b", Incarnation: 1, Address: silent.Addr().String(), Term: 1}
	return d, func() {
		d.lead.Store(&lead{d: d, log: zerolog.Nop(), clock: HostClock, stored: make(chan struct{}),
			engine: sched.New(sched.Config{Logger: zerolog.Nop()}, HostClock())})
		d.tenure.mu.Lock()
		defer d.tenure.mu.Unlock()
		d.tenure.validUntil = HostClock() + time.Minute
		d.tenure.setLeader(Leader{Daemon: "a", Incarnation: d.tenure.cfg.Self.Incarnation, Term: 2})
	}
}

// underWay is long enough for a call to reach another daemon on loopback.
const underWay = 50 * time.Millisecond

// TestCallsFollowTheLeader guards against requests that wait for a leader whose host
// has lost its power until their callers have given up, although another one leads.
func TestCallsFollowTheLeader(t *testing.T) {
	d, change := handover(t)
	done := make(chan error, 1)
	go func() {
		_, _, err := d.State(context.Background(), "0000000000000001")
		done <- err
	}()
	time.Sleep(underWay)
	change()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("the successor's answer: %v", err)
		}
	case <-time.After(attemptTimeout / 2):
		t.Error("the call still waits for the former leader")
	}
}

// TestRefusalAfterSilenceIsNotDefinite guards against a caller who is told that its
// job never runs, while a copy that a silent leader has got may still be stored.
func TestRefusalAfterSilenceIsNotDefinite(t *testing.T) {
	d, change := handover(t)
	done := make(chan error, 1)
	job := &sched.Job{ID: "0000000000000001"} // a job without steps is refused
	go func() { done <- d.Submit(context.Background(), job) }()
	time.Sleep(underWay)
	change()
	if err := <-done; errkind.Of(err) != errkind.OutcomeUnknown {
		t.Errorf("got %v, want %s: the former leader may have stored the job", err, errkind.OutcomeUnknown)
	}
	if err := d.Submit(context.Background(), job); errkind.Of(err) != errkind.BadInput {
		t.Errorf("the next try got %v, want %s", err, errkind.BadInput)
	}
}
