package cell

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/sched"
)

// TestPlannedStopStoresOpenChanges guards against callers who are told that the outcome of their
// submission is not known because the leader was stopped while the log stored it.
func TestPlannedStopStoresOpenChanges(t *testing.T) {
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: &serialLog{memoryLog: newMemoryLog(), delay: 300 * time.Millisecond},
		MaxAppendBytes: maxAppendBytes, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &leadership{daemon: d, term: 1, logger: zerolog.Nop(), clock: HostClock, recordsStored: make(chan struct{}),
		engine:     sched.New(sched.Config{Logger: zerolog.Nop()}, HostClock()),
		planSignal: make(chan struct{}, 1), flushSignal: make(chan struct{}, 1)}
	l.engine.SetQueues(1, []sched.Queue{{Name: "q", Service: "s", MaxAttempts: 1}})
	d.leadership.Store(l)
	d.tenure.leader = Leader{Daemon: "a", Address: d.tenure.cfg.Self.Address, Incarnation: d.tenure.cfg.Self.Incarnation, Term: 1}
	d.tenure.validUntil, d.tenure.stopLeading = HostClock()+time.Minute, cancel
	go l.storeRecords(ctx)
	submit := func(id string, timeout time.Duration) error {
		limited, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		return d.Submit(limited, Caller{}, &sched.Job{ID: id, Queue: "q", Steps: []sched.Step{{Count: 1, Need: machine.Resources{CPUMilli: 1}}}})
	}
	first := make(chan error, 1)
	go func() { first <- submit("0000000000000001", 3*time.Second) }()
	time.Sleep(deliveryTime)
	stopped := make(chan struct{})
	go func() { d.Resign(); close(stopped) }()
	time.Sleep(deliveryTime)
	if err := submit("0000000000000002", 400*time.Millisecond); errkind.Of(err) != errkind.NotOwner {
		t.Errorf("a submission during the stop: %v, want not_owner", err)
	}
	if err := <-first; err != nil {
		t.Errorf("the submission before the stop: %v, want it stored", err)
	}
	<-stopped
	if ctx.Err() == nil {
		t.Error("the daemon still leads")
	}
}

// TestResignationFollowsHeartbeatInFlight guards against a resignation that is not stored because the
// log still stores a heartbeat: the other daemons then wait for further heartbeats.
func TestResignationFollowsHeartbeatInFlight(t *testing.T) {
	log := &serialLog{memoryLog: newMemoryLog(), delay: 150 * time.Millisecond}
	for _, name := range []string{"a", "b", "c"} {
		c := startCandidate(t, log, name)
		eventually(t, "a leader", 4*time.Second, c.leading.Load)
		time.Sleep(400 * time.Millisecond) // some heartbeats
		c.stop()
		<-c.done
		log.mu.Lock()
		entries := log.entries
		log.mu.Unlock()
		var last Leader
		if err := cbor.Unmarshal(entries[len(entries)-1].Value, &last); err != nil {
			t.Fatal(err)
		}
		if !last.Resigned {
			t.Errorf("the last entry of %s is heartbeat %d, want a resignation", name, last.Heartbeat)
		}
	}
}
