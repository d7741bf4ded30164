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

// TestReportsReachANewLeaderAtOnce guards against a new leader that has no other
// daemon to ask the advisor through for half a second, because their first reports
// came while it was still reading the job state.
func TestReportsReachANewLeaderAtOnce(t *testing.T) {
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
	leader := New(Settings{Name: "b", IP: "127.0.0.1", Port: port, Log: down, Logger: zerolog.Nop()})
	run, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- leader.Run(run) }()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: down, Logger: zerolog.Nop()})
	address := joinPort("127.0.0.1", port)
	within(t, "the claimant answers", 5*time.Second, func() bool {
		_, err := d.peers.call(context.Background(), address, rpcHello, &call{})
		return errkind.Of(err) == errkind.NotOwner
	})
	go d.greet(run)
	d.tenure.mu.Lock()
	d.tenure.setLeader(Leader{Daemon: "b", Life: 1, Address: address, Term: 1})
	d.tenure.mu.Unlock()
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
