package config

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against an append whose answer is lost being reported as failed, and against
// the retry of such an append making a second change.
func TestLostAppendAnswersAreResolved(t *testing.T) {
	for name, fault := range map[string]faults{
		"took effect":                    {lostAnswers: 1},
		"did not take effect":            {droppedAppends: 1},
		"several lost, some took effect": {droppedAppends: 2, lostAnswers: 2},
		"no answer at all":               {neverAnswers: true},
	} {
		d := startDaemon(t, newFakeLog(), func(_ *StoreConfig, pc *PublisherConfig) { pc.AppendTimeout = time.Hour }).awaitReady(t)
		d.log.setFaults(fault)
		res := d.submit(t, newProposal("1", 0, Strict, teamOp("a", 4)))
		next := d.submit(t, newProposal("2", res.Version, Strict, teamOp("b", 4)))
		if h := d.History(10); len(h) != 2 || h[1].Version != res.Version || h[0].Version != next.Version {
			t.Errorf("%s: history is %+v, want one entry for each of the two changes", name, h)
		}
	}
}

// Guards against a delayed record that brings old content back: its append is lost on
// the way, another change is accepted on the same base, and then the record arrives.
func TestLateRecordChangesNothing(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	dropped := make(chan []byte, 100)
	a.log.setFaults(faults{droppedAppends: 1000, onDropped: func(r []byte) {
		select {
		case dropped <- r:
		default:
		}
	}})
	answer := make(chan error, 1)
	go func() {
		_, err := a.publisher.Submit(context.Background(), newProposal("old", 0, Strict, teamOp("a", 1)))
		answer <- err
	}()
	lateRecord := <-dropped
	accepted := b.submit(t, newProposal("new", 0, Strict, teamOp("a", 2)))
	if winner, ok := ConflictingChange(<-answer); !ok || winner.ID != "new" {
		t.Fatalf("the refused change was not told that it conflicts with change new")
	}
	l.appendRecords(lateRecord)
	for _, d := range []*daemon{a, b} {
		eventually(t, "the late record is folded", func() bool { return d.Status().Next == l.head() })
		if st := d.Current(); st.Version != accepted.Version || st.Teams["a"].Quota.CPUMilli != 2000 {
			t.Errorf("a late record reverted the configuration to %+v", st)
		}
	}
}

// Guards against a wrong answer to a change during an outage of the log: a change must
// not be reported as accepted before it is read back, nor as failed when its append
// may have taken effect. The log fails before the append, after it, or answers reads
// with an old view.
func TestLogOutageAroundAChange(t *testing.T) {
	l := newFakeLog()
	shortTimeout := func(_ *StoreConfig, pc *PublisherConfig) { pc.CommitTimeout = 50 * time.Millisecond }
	d := startDaemon(t, l, shortTimeout).awaitReady(t)
	ctx := context.Background()

	d.log.setFaults(faults{down: true})
	if _, err := d.publisher.Submit(ctx, newProposal("before", 0, Strict, teamOp("a", 1))); errkind.Of(err) != errkind.LogUnavailable {
		t.Fatalf("log down before the append: %v, want log_unavailable", err)
	}
	if d.Ready() != nil {
		t.Error("a daemon with a configuration is not ready in an outage")
	}

	// The append takes effect, but nothing can be read back.
	d.log.setFaults(faults{lostAnswers: 1, staleHead: 1})
	l.appendRecords([]byte("not a change")) // staleHead 1 shows this record and hides the next one
	if _, err := d.publisher.Submit(ctx, newProposal("during", 0, Strict, teamOp("a", 2))); errkind.Of(err) != errkind.AppendUnknown {
		t.Fatalf("no read-back: %v, want append_unknown", err)
	}
	if d.Current().Version != 0 {
		t.Fatal("a change that was not read back is in force")
	}

	d.log.setFaults(faults{down: true})
	if _, err := d.publisher.Submit(ctx, newProposal("after", 0, Strict, teamOp("a", 3))); errkind.Of(err) != errkind.LogUnavailable {
		t.Fatalf("log down after the append of an earlier change: %v, want log_unavailable", err)
	}
	d.log.setFaults(faults{})
	eventually(t, "the change is in force after the outage", func() bool { return d.Current().Version > 0 })
	if res := d.submit(t, newProposal("during", 0, Strict, teamOp("a", 2))); !res.Repeated {
		t.Errorf("a repeat with the same id was not recognized: %+v", res)
	}
	if h := d.History(10); len(h) != 1 || h[0].ID != "during" {
		t.Errorf("history is %+v, want change during only", h)
	}
}

// Guards against an old view of the log, as a relay or a cache may give, that reverts
// the version, and against watchers that see versions out of order.
func TestStaleReadsNeverRevert(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	var seen []Version
	done := make(chan struct{})
	stop := b.Watch(func(st *State) {
		seen = append(seen, st.Version)
		if st.Version == 20 {
			close(done)
		}
	})
	defer stop()
	for i := range 20 {
		res := a.submit(t, newProposal(string(rune('a'+i)), Version(i), Strict, teamOp("a", int64(i+1))))
		if i == 10 {
			b.awaitVersion(t, res.Version)
			b.log.setFaults(faults{staleHead: 3})
			eventually(t, "the stale read is refused", func() bool { return errkind.ReasonOf(b.Status().LogErr) == "stale_read" })
			if b.Current().Version != res.Version {
				t.Fatalf("a stale read moved the version from %d to %d, want it unchanged", res.Version, b.Current().Version)
			}
			b.log.setFaults(faults{})
		}
	}
	<-done
	for i, v := range seen[1:] {
		if v != seen[i]+1 {
			t.Fatalf("watcher saw versions %v, want consecutive ones", seen)
		}
	}
}

// Guards against daemons of an older release that skip a record which they cannot
// decode and whose configuration then diverges from that of newer daemons.
func TestFoldStopsAtNewerFormat(t *testing.T) {
	l := newFakeLog()
	d := startDaemon(t, l, nil).awaitReady(t)
	res := d.submit(t, newProposal("1", 0, Strict, teamOp("a", 1)))
	l.appendRecords([]byte(`C{"v":99,"base_version":1}`), []byte("C{broken"))
	eventually(t, "the fold stops", func() bool { return d.Status().FoldErr != nil })
	if status := d.Status(); status.Version != res.Version || uint64(status.Next) != 1 {
		t.Errorf("status %+v, want the position before the record of the newer format", status)
	}
}

// Guards against a change for a day that is over replacing content of a later day.
// Both the publisher and the fold must refuse it.
func TestChangeForPastDayIsRefused(t *testing.T) {
	d := startDaemon(t, newFakeLog(), nil).awaitReady(t)
	p := newProposal("1", 0, Merge, teamOp("a", 1))
	p.Day = "2026-12-03"
	if _, err := d.publisher.Submit(context.Background(), p); errkind.ReasonOf(err) != "day_passed" {
		t.Errorf("publisher returned %v, want day_passed", err)
	}
	rec := changeRecord{FormatVersion: 1, Today: "2026-12-04", Changes: []change{{ID: "x", Day: "2026-12-03", Ops: p.Ops}}}
	data, err := encodeChange(rec)
	if err != nil {
		t.Fatal(err)
	}
	d.log.appendRecords(data)
	eventually(t, "the record is folded", func() bool { return d.Status().Next == 1 })
	if d.Current().Version != 0 {
		t.Error("the fold accepted a change for a day that is over")
	}
}
