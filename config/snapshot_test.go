package config

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// snapshotter returns a snapshotter with small parts that is not running. configure may
// change its configuration.
func (d *daemon) snapshotter(t testing.TB, configure func(*SnapshotterConfig)) *Snapshotter {
	t.Helper()
	c := SnapshotterConfig{Store: d.Store, Log: d.log, PartBytes: 64, Delay: func() time.Duration { return 0 }}
	if configure != nil {
		configure(&c)
	}
	s, err := NewSnapshotter(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// publishChanges submits n changes of teams and returns the version of the last one.
func (d *daemon) publishChanges(t testing.TB, n int) Version {
	t.Helper()
	v := d.Current().Version
	for range n {
		v = d.submit(t, newProposal(fmt.Sprint("p", v), v, Strict, teamOp(fmt.Sprint("t", v%7), int64(v)+1))).Version
	}
	return v
}

// Guards against a daemon that cannot start because retention has removed old records,
// although there is a snapshot, and against the use of incomplete or damaged snapshots
// or of one whose next record has been removed.
func TestStartFromSnapshotAfterRetention(t *testing.T) {
	l := newFakeLog()
	a := startDaemon(t, l, nil).awaitReady(t)
	a.publishChanges(t, 10)
	s := a.snapshotter(t, nil)
	if err := s.Write(context.Background()); err != nil {
		t.Fatal(err)
	}
	firstKept := upstream.Offset(10) // the snapshot follows the first ten records
	v := a.publishChanges(t, 3)

	im, _ := a.Image()
	incomplete, err := encodeSnapshot("incomplete", im, testNow(), 64)
	if err != nil {
		t.Fatal(err)
	}
	l.appendRecords(incomplete[:len(incomplete)-1]...)
	im.State = im.State.clone() // a different content, so that its use would be noticed
	im.State.Teams["damaged"] = Team{Name: "damaged"}
	damaged, err := encodeSnapshot("damaged", im, testNow(), 64)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range damaged {
		r[bytes.Index(r, []byte(`"sum":"`))+len(`"sum":"`)] = 'g' // no hexadecimal digit, so the checksum is wrong
	}
	l.appendRecords(damaged...)
	l.trim(firstKept)

	b := startDaemon(t, l, nil).awaitReady(t)
	if b.Current().Version != v {
		t.Fatalf("version %d after the start, want %d", b.Current().Version, v)
	}
	ia, _ := a.Image()
	ib, _ := b.Image()
	if d := cmp.Diff(ia.State, ib.State); d != "" {
		t.Errorf("state folded from the snapshot differs:\n%s", d)
	}
	if d := cmp.Diff(ia.History, ib.History); d != "" {
		t.Errorf("history differs:\n%s", d)
	}

	late, err := encodeSnapshot("late", ia, testNow(), 64)
	if err != nil {
		t.Fatal(err)
	}
	a.publishChanges(t, 1) // a record after the image of the snapshot and before its parts
	first := l.appendRecords(late...)
	l.trim(first) // the snapshot is complete, but the record before its parts is gone
	c := startDaemon(t, l, nil)
	eventually(t, "the start fails", func() bool { return errkind.ReasonOf(c.Status().LogErr) == "no_snapshot" })
	if errkind.Of(c.Ready()) != errkind.NotReady {
		t.Error("a daemon without a usable snapshot is ready")
	}
}

// Guards against a daemon that does not resume from a snapshot, or reverts its version,
// after it was paused until retention removed the records at its position.
func TestDaemonPausedBeyondRetention(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	v := a.publishChanges(t, 5)
	b.awaitVersion(t, v)
	b.log.setFaults(faults{down: true})
	v = a.publishChanges(t, 5)
	if err := a.snapshotter(t, nil).Write(context.Background()); err != nil {
		t.Fatal(err)
	}
	l.trim(10)
	var seen []Version
	done := make(chan struct{})
	lastVersion := VersionAt(l.head()) // version of the change published below
	stop := b.Watch(func(st *State) {
		if seen = append(seen, st.Version); st.Version == lastVersion {
			close(done)
		}
	})
	defer stop()
	b.log.setFaults(faults{})
	b.awaitVersion(t, v)
	a.publishChanges(t, 1)
	<-done
	for i := 1; i < len(seen); i++ {
		if seen[i] <= seen[i-1] {
			t.Errorf("watcher saw versions %v, want increasing ones", seen)
		}
	}
}

// Guards against snapshots that are due too late or too often, and against one daemon
// writing a snapshot right after another daemon has written one.
func TestSnapshotsAreWrittenWhenDue(t *testing.T) {
	l := newFakeLog()
	now := testNow()
	clock := func(sc *StoreConfig, _ *PublisherConfig) { sc.Now = func() time.Time { return now } }
	a, b := startDaemon(t, l, clock).awaitReady(t), startDaemon(t, l, clock).awaitReady(t)
	every := func(c *SnapshotterConfig) { c.EveryRecords = 5 }
	sa, sb := a.snapshotter(t, every), b.snapshotter(t, every)
	if sa.due() {
		t.Error("a snapshot is due for an empty log")
	}
	write := func(reason string) {
		t.Helper()
		for _, d := range []*daemon{a, b} {
			eventually(t, "every daemon has caught up", func() bool { return d.Status().Next == l.head() })
		}
		if !sa.due() || !sb.due() {
			t.Fatalf("no snapshot is due at both daemons, want one: %s", reason)
		}
		if err := sa.Write(context.Background()); err != nil {
			t.Fatal(err)
		}
		eventually(t, "both see the snapshot", func() bool { return !sa.due() && !sb.due() })
	}
	a.publishChanges(t, 1)
	write("no snapshot yet")
	a.publishChanges(t, 4)
	if sa.due() {
		t.Error("a snapshot is due after 4 of 5 records")
	}
	a.publishChanges(t, 1)
	write("5 records")
	a.publishChanges(t, 1)
	l.trim(l.head() - 2)
	a.publishChanges(t, 1) // its read gives the store the new oldest offset
	write("retention")
	now = now.Add(time.Hour)
	write("age")
	for _, r := range l.records {
		if _, payload, ok := decodePart(r.Data); ok && len(payload) > 64 {
			t.Errorf("part of %d bytes, limit is 64", len(payload))
		}
	}
}

// Guards against a fold whose result depends on where a reader starts. Any stream with
// accepted, refused and damaged records, and with a base that does not exist yet, must
// give the same image from its beginning and from a snapshot at any point. Versions
// must never decrease.
func TestFoldIsTheSameFromAnySnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		im := emptyImage()
		var atCut Image
		n := rapid.IntRange(2, 30).Draw(t, "records")
		cut := rapid.IntRange(0, n-1).Draw(t, "cut")
		var records []upstream.Record
		for i := range n {
			r := upstream.Record{Offset: upstream.Offset(i), Data: drawRecord(t, im.State)}
			records = append(records, r)
			if i == cut {
				atCut = im
			}
			before := im.State.Version
			var err error
			if im, _, err = im.fold(r, 5); err != nil {
				t.Fatal(err)
			}
			if im.State.Version < before || len(im.History) > 5 {
				t.Fatalf("version %d after version %d, history of %d entries; want no lower version and at most 5 entries", im.State.Version, before, len(im.History))
			}
		}
		data, err := encodeImage(atCut)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := decodeImage(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records[cut:] {
			if restored, _, err = restored.fold(r, 5); err != nil {
				t.Fatal(err)
			}
		}
		if d := cmp.Diff(im.State, restored.State); d != "" {
			t.Fatalf("states differ:\n%s", d)
		}
		if im.Floor != restored.Floor || im.Next != restored.Next || len(im.History) != len(restored.History) {
			t.Fatal("images differ in floor, next or length of history, want them equal")
		}
	})
}

// drawRecord draws a change record based on st, or one with a wrong base or damaged data.
func drawRecord(t *rapid.T, st *State) []byte {
	if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Filter(func(b []byte) bool { return len(b) == 0 || b[0] != tagChange }).Draw(t, "bytes")
	}
	day := func(label string) string { return fmt.Sprintf("2026-12-%02d", rapid.IntRange(4, 9).Draw(t, label)) }
	rec := changeRecord{FormatVersion: 1, Base: st.Version, Today: day("today")}
	if rapid.IntRange(0, 3).Draw(t, "wrong base") == 0 {
		rec.Base += Version(rapid.IntRange(1, 3).Draw(t, "base offset"))
	}
	for range rapid.IntRange(1, 3).Draw(t, "changes") {
		c := change{ID: rapid.StringN(1, 5, 8).Draw(t, "id"), Day: day("day")}
		for range rapid.IntRange(0, 3).Draw(t, "ops") {
			key := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")
			it := newIntention("batch", key, "06:00", time.Duration(rapid.IntRange(1, 60).Draw(t, "grace"))*time.Hour)
			c.Ops = append(c.Ops, rapid.SampledFrom([]Op{
				teamOp(key, int64(rapid.IntRange(1, 3).Draw(t, "cores"))), putIntention(it),
				{Drain: &Drain{Target: key, Operator: rapid.Bool().Draw(t, "operator")}},
				{Remove: &Ref{IntentionEntry, IntentionKey("a", key)}}, {Remove: &Ref{DrainEntry, key}},
			}).Draw(t, "op"))
		}
		rec.Changes = append(rec.Changes, c)
	}
	data, err := encodeChange(rec)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
