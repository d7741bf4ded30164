package config

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against a lost answer that is taken for a failure or that makes a second change.
func TestLostAnswersAreSettled(t *testing.T) {
	for name, f := range map[string]faults{
		"took effect":               {loseAnswer: 1},
		"did not take effect":       {dropAppend: 1},
		"several, some with effect": {dropAppend: 2, loseAnswer: 2},
		"no answer at all":          {slow: true},
	} {
		d := startDaemon(t, newFakeLog(), func(_ *StoreConfig, pc *PublisherConfig) { pc.AppendTimeout = time.Hour }).awaitReady(t)
		d.log.set(f)
		res := d.submit(t, proposal("1", 0, Strict, teamOp("a", 4)))
		next := d.submit(t, proposal("2", res.Version, Strict, teamOp("b", 4)))
		if h := d.History(10); len(h) != 2 || h[1].Version != res.Version || h[0].Version != next.Version {
			t.Errorf("%s: history is %+v", name, h)
		}
	}
}

// Guards against a record that was given up as lost, arrives after a later change
// and brings the old content back.
func TestLateRecordChangesNothing(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	dropped := make(chan []byte, 100)
	a.log.set(faults{dropAppend: 1000, late: func(r []byte) {
		select {
		case dropped <- r:
		default:
		}
	}})
	answer := make(chan error, 1)
	go func() {
		_, err := a.pub.Submit(context.Background(), proposal("old", 0, Strict, teamOp("a", 1)))
		answer <- err
	}()
	late := <-dropped
	won := b.submit(t, proposal("new", 0, Strict, teamOp("a", 2)))
	if winner, ok := ConflictingChange(<-answer); !ok || winner.ID != "new" {
		t.Fatalf("the loser was not told that change new won")
	}
	l.add(late)
	for _, d := range []*daemon{a, b} {
		eventually(t, "the late record is folded", func() bool { return d.Status().Next == l.head() })
		if st := d.Current(); st.Version != won.Version || st.Teams["a"].Quota.CPUMilli != 2000 {
			t.Errorf("a late record reverted the configuration to %+v", st)
		}
	}
}

// Guards against a change that is called accepted, or certainly refused, in an
// outage before, during or after its append.
func TestLogDownAroundAChange(t *testing.T) {
	l := newFakeLog()
	settle := func(_ *StoreConfig, pc *PublisherConfig) { pc.CommitTimeout = 50 * time.Millisecond }
	d := startDaemon(t, l, settle).awaitReady(t)
	ctx := context.Background()

	d.log.set(faults{down: true})
	if _, err := d.pub.Submit(ctx, proposal("before", 0, Strict, teamOp("a", 1))); errkind.Of(err) != errkind.LogUnavailable {
		t.Fatalf("down before the append: %v", err)
	}
	if d.Ready() != nil {
		t.Error("a daemon with a configuration is not ready in an outage")
	}

	// The append takes effect, but nothing can be read back.
	d.log.set(faults{loseAnswer: 1, staleHead: 1})
	l.add([]byte("not a change")) // a head of 1 hides what follows
	if _, err := d.pub.Submit(ctx, proposal("during", 0, Strict, teamOp("a", 2))); errkind.Of(err) != errkind.AppendUnknown {
		t.Fatalf("no read-back: %v", err)
	}
	if d.Current().Version != 0 {
		t.Fatal("a change is in force that was not read back")
	}

	d.log.set(faults{down: true})
	if _, err := d.pub.Submit(ctx, proposal("after", 0, Strict, teamOp("a", 3))); errkind.Of(err) != errkind.LogUnavailable {
		t.Fatalf("down after the append: %v", err)
	}
	d.log.set(faults{})
	eventually(t, "the change is in force after the outage", func() bool { return d.Current().Version > 0 })
	if res := d.submit(t, proposal("during", 0, Strict, teamOp("a", 2))); !res.Repeated {
		t.Errorf("the repeat with the same id was not settled: %+v", res)
	}
	if h := d.History(10); len(h) != 1 || h[0].ID != "during" {
		t.Errorf("history is %+v", h)
	}
}

// Guards against an old view of the log, as a relay or a cache may give, that
// takes a version back, and against watchers that see versions out of order.
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
		res := a.submit(t, proposal(string(rune('a'+i)), Version(i), Strict, teamOp("a", int64(i+1))))
		if i == 10 {
			b.awaitVersion(t, res.Version)
			b.log.set(faults{staleHead: 3})
			eventually(t, "the stale read is refused", func() bool { return errkind.ReasonOf(b.Status().LogErr) == "stale_read" })
			if b.Current().Version != res.Version {
				t.Fatalf("version went from %d to %d", res.Version, b.Current().Version)
			}
			b.log.set(faults{})
		}
	}
	<-done
	for i, v := range seen[1:] {
		if v != seen[i]+1 {
			t.Fatalf("versions seen: %v", seen)
		}
	}
}

// Guards against daemons of an older release that skip a record they cannot
// read and then disagree with the others.
func TestFoldStopsAtNewerFormat(t *testing.T) {
	l := newFakeLog()
	d := startDaemon(t, l, nil).awaitReady(t)
	res := d.submit(t, proposal("1", 0, Strict, teamOp("a", 1)))
	l.add([]byte(`C{"v":99,"base_version":1}`), []byte("C{broken"))
	eventually(t, "the fold stops", func() bool { return d.Status().FoldErr != nil })
	if f := d.Status(); f.Version != res.Version || uint64(f.Next) != 1 {
		t.Errorf("in force %+v", f)
	}
}

// Guards against a sheet for a day that has passed replacing a later one.
func TestPassedDayIsRefused(t *testing.T) {
	d := startDaemon(t, newFakeLog(), nil).awaitReady(t)
	p := proposal("1", 0, Merge, teamOp("a", 1))
	p.Day = "2026-12-03"
	if _, err := d.pub.Submit(context.Background(), p); errkind.ReasonOf(err) != "day_passed" {
		t.Errorf("publisher: %v", err)
	}
	rec := changeRecord{FormatVersion: 1, Today: "2026-12-04", Changes: []change{{ID: "x", Day: "2026-12-03", Ops: p.Ops}}}
	data, err := encodeChange(rec)
	if err != nil {
		t.Fatal(err)
	}
	d.log.add(data)
	eventually(t, "the record is folded", func() bool { return d.Status().Next == 1 })
	if d.Current().Version != 0 {
		t.Error("the fold accepted a change for a day that has passed")
	}
}
