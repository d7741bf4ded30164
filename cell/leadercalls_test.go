package cell

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/loopback"
	"github.com/sassafraslb/sassafraslb/sched"
)

// startDaemon runs a daemon with a log, until the test ends.
func startDaemon(t *testing.T, log Log) *Daemon {
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	listenAddress, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	d := New(Settings{Name: "b", IP: "127.0.0.1", Port: listenAddress.Port, Log: log, ConfigKey: "config", Logger: zerolog.Nop()})
	runCtx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(runCtx) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	eventually(t, "the daemon listens", 5*time.Second, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			err = conn.Close()
		}
		return err == nil
	})
	return d
}

// startAssumedLeader runs a daemon that answers other daemons but cannot lead, since the log is down.
// It returns that daemon, and another one, not running, that takes it for the leader.
func startAssumedLeader(t *testing.T) (assumedLeader, follower *Daemon) {
	downLog := newMemoryLog()
	downLog.fail = func(bool) (error, bool) { return errkind.New(errkind.LogUnavailable, "down", "down"), false }
	assumedLeader = startDaemon(t, downLog)
	address := assumedLeader.tenure.cfg.Self.Address
	follower = New(Settings{Name: "a", IP: "127.0.0.1", Log: downLog, Logger: zerolog.Nop()})
	follower.tenure.leader = Leader{Daemon: "b", Incarnation: 1, Address: address, Term: 1}
	eventually(t, "an answer of the assumed leader", 5*time.Second, func() bool {
		_, err := follower.conns.call(context.Background(), follower.tenure.leader.Address, rpcRegister, &call{})
		return errkind.Of(err) == errkind.NotOwner
	})
	return assumedLeader, follower
}

// TestRefusalWithoutLeaderIsDefinite guards against callers with a short deadline who are told that
// the outcome of their request is not known, although no daemon has accepted it.
func TestRefusalWithoutLeaderIsDefinite(t *testing.T) {
	_, d := startAssumedLeader(t)
	for _, deadline := range []time.Duration{leaderRetryWait * 3 / 2, submitLeaderWait / 2, 2 * submitLeaderWait} {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		err := d.Submit(ctx, Caller{}, &sched.Job{ID: "0000000000000001"})
		cancel()
		if errkind.Of(err) != errkind.NotOwner {
			t.Errorf("deadline of %v: %v, want not_owner", deadline, err)
		}
	}
}
