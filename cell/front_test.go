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

// claimant runs a daemon that answers others and does not lead, since its log is
// down, and returns it with a second one that takes it for the leader.
func claimant(t *testing.T) (other, d *Daemon) {
	down := newMemoryLog()
	down.fail = func(bool) (error, bool) { return errkind.New(errkind.LogUnavailable, "down", "down"), false }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	other = New(Settings{Name: "b", IP: "127.0.0.1", Port: port, Log: down, Logger: zerolog.Nop()})
	run, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- other.Run(run) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	d = New(Settings{Name: "a", IP: "127.0.0.1", Log: down, Logger: zerolog.Nop()})
	d.tenure.leader = Leader{Daemon: "b", Incarnation: 1, Address: joinPort("127.0.0.1", port), Term: 1}
	within(t, "the other daemon answers", 5*time.Second, func() bool {
		_, err := d.peers.call(context.Background(), d.tenure.leader.Address, rpcHello, &call{})
		return errkind.Of(err) == errkind.NotOwner
	})
	return other, d
}

// TestRefusalWithoutLeaderIsDefinite guards against callers with a short deadline
// who are told that the outcome is not known although nothing was handed over.
func TestRefusalWithoutLeaderIsDefinite(t *testing.T) {
	_, d := claimant(t)
	for _, deadline := range []time.Duration{leaderPoll * 3 / 2, submitPatience / 2, 2 * submitPatience} {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		err := d.Submit(ctx, &sched.Job{ID: "0000000000000001"})
		cancel()
		if errkind.Of(err) != errkind.NotOwner {
			t.Errorf("deadline of %v: %v, want not_owner", deadline, err)
		}
	}
}
