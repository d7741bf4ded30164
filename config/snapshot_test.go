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

func (d *daemon) snapshotter(t testing.TB, change func(*SnapshotterConfig)) *Snapshotter {
	t.Helper()
	c := SnapshotterConfig{Store: d.Store, Log: d.log, PartBytes: 64, Delay: func() time.Duration { return 0 }}
	if change != nil {
		change(&c)
	}
	s, err := NewSnapshotter(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (d *daemon) publish(t testing.TB, n int) Version {
	t.Helper()
	v := d.Current().Version
	for range n {
		v = d.submit(t, proposal(fmt.Sprint("p", v), v, Strict, teamOp(fmt.Sprint("t", v%7), int64(v)+1))).Version
	}
	return v
}

// Guards against a start that needs records which retention has removed, and
// against torn, damaged or unusable snapshots that are taken for whole ones.
func TestStartFromSnapshotAfterRetention(t *testing.T) {
	l := newFakeLog()
	a := startDaemon(t, l, nil).awaitReady(t)
	a.publish(t, 10)
	s := a.snapshotter(t, nil)
	if err := s.Write(context.Background()); err != nil {
		t.Fatal(err)
	}
	cut := upstream.Offset(10) // the whole snapshot follows the first ten records
	v := a.publish(t, 3)

	im, _ := a.Image()
	torn, err := encodeSnapshot("torn", im, testNow(), 64)
	if err != nil {
		t.Fatal(err)
	}
	l.add(torn[:len(torn)-1]...)
	im.State = im.State.clone() // content that no checksum of the header covers
	im.State.Teams["damaged"] = Team{Name: "damaged"}
	damaged, err := encodeSnapshot("damaged", im, testNow(), 64)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range damaged {
		r[bytes.Index(r, []byte(`"sum":"`))+len(`"sum":"`)] = 'g' // never a digit of a checksum
	}
	l.add(damaged...)
	l.trim(cut)

	b := startDaemon(t, l, nil).awaitReady(t)
	if b.Current().Version != v {
		t.Fatalf("version %d after the start, want %d", b.Current().Version, v)
	}
	ia, _ := a.Image()
	ib, _ := b.Image()
	if d := cmp.Diff(ia.State, ib.State); d != "" {
		t.Errorf("state from snapshot and tail differs:\n%s", d)
	}
	if d := cmp.Diff(ia.History, ib.History); d != "" {
		t.Errorf("history differs:\n%s", d)
	}

	late, err := encodeSnapshot("late", ia, testNow(), 64)
	if err != nil {
		t.Fatal(err)
	}
	a.publish(t, 1) // between what the snapshot holds and its parts
	first := l.add(late...)
	l.trim(first) // the snapshot is whole, but the record between is gone
	c := startDaemon(t, l, nil)
	eventually(t, "the start is refused", func() bool { return errkind.ReasonOf(c.Status().LogErr) == "no_snapshot" })
	if errkind.Of(c.Ready()) != errkind.NotReady {
		t.Error("a daemon without a usable snapshot is ready")
	}
}

// Guards against a daemon that was paused past the retention: it must neither
// stop following nor go back.
func TestPausedPastRetention(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	v := a.publish(t, 5)
	b.awaitVersion(t, v)
	b.log.set(faults{down: true})
	v = a.publish(t, 5)
	if err := a.snapshotter(t, nil).Write(context.Background()); err != nil {
		t.Fatal(err)
	}
	l.trim(10)
	var seen []Version
	done := make(chan struct{})
	last := VersionAt(l.head()) // of the change below
	stop := b.Watch(func(st *State) {
		if seen = append(seen, st.Version); st.Version == last {
			close(done)
		}
	})
	defer stop()
	b.log.set(faults{})
	b.awaitVersion(t, v)
	a.publish(t, 1)
	<-done
	for i := 1; i < len(seen); i++ {
		if seen[i] <= seen[i-1] {
			t.Errorf("versions seen: %v", seen)
		}
	}
}

// Guards against snapshots that are written too late, too often, or by every daemon.
func TestSnapshotsAreWrittenWhenDue(t *testing.T) {
	l := newFakeLog()
	now := testNow()
	clock := func(sc *StoreConfig, _ *PublisherConfig) { sc.Now = func() time.Time { return now } }
	a, b := startDaemon(t, l, clock).awaitReady(t), startDaemon(t, l, clock).awaitReady(t)
	every := func(c *SnapshotterConfig) { c.EveryRecords = 5 }
	sa, sb := a.snapshotter(t, every), b.snapshotter(t, every)
	if sa.due() {
		t.Error("due in an empty log")
	}
	write := func(why string) {
		t.Helper()
		for _, d := range []*daemon{a, b} {
			eventually(t, "caught up", func() bool { return d.Status().Next == l.head() })
		}
		if !sa.due() || !sb.due() {
			t.Fatalf("not due: %s", why)
		}
		if err := sa.Write(context.Background()); err != nil {
			t.Fatal(err)
		}
		eventually(t, "both see the snapshot", func() bool { return !sa.due() && !sb.due() })
	}
	a.publish(t, 1)
	write("no snapshot yet")
	a.publish(t, 4)
	if sa.due() {
		t.Error("due after 4 of 5 records")
	}
	a.publish(t, 1)
	write("5 records")
	a.publish(t, 1)
	l.trim(l.head() - 2)
	a.publish(t, 1) // a read tells the store that retention comes close
	write("retention")
	now = now.Add(time.Hour)
	write("age")
	for _, r := range l.records {
		if _, payload, ok := decodePart(r.Data); ok && len(payload) > 64 {
			t.Errorf("part of %d bytes, limit is 64", len(payload))
		}
	}
}

// Guards against a fold that depends on where a reader starts: any stream with
// accepted, beaten, damaged and future records must give the same image from its
// beginning and from a snapshot at any point, and versions must only grow.
func TestFoldIsTheSameFromAnySnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		im := emptyImage()
		var middle Image
		n := rapid.IntRange(2, 30).Draw(t, "records")
		cut := rapid.IntRange(0, n-1).Draw(t, "cut")
		var records []upstream.Record
		for i := range n {
			r := upstream.Record{Offset: upstream.Offset(i), Data: drawRecord(t, im.State)}
			records = append(records, r)
			if i == cut {
				middle = im
			}
			before := im.State.Version
			var err error
			if im, _, err = im.fold(r, 5); err != nil {
				t.Fatal(err)
			}
			if im.State.Version < before || len(im.History) > 5 {
				t.Fatalf("version %d after %d, history of %d", im.State.Version, before, len(im.History))
			}
		}
		data, err := encodeImage(middle)
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeImage(data)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records[cut:] {
			if again, _, err = again.fold(r, 5); err != nil {
				t.Fatal(err)
			}
		}
		if d := cmp.Diff(im.State, again.State); d != "" {
			t.Fatalf("states differ:\n%s", d)
		}
		if im.Floor != again.Floor || im.Next != again.Next || len(im.History) != len(again.History) {
			t.Fatal("images differ")
		}
	})
}

func drawRecord(t *rapid.T, st *State) []byte {
	if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Filter(func(b []byte) bool { return len(b) == 0 || b[0] != tagChange }).Draw(t, "bytes")
	}
	day := func(label string) string { return fmt.Sprintf("2026-12-%02d", rapid.IntRange(4, 9).Draw(t, label)) }
	rec := changeRecord{FormatVersion: 1, Base: st.Version, Today: day("today")}
	if rapid.IntRange(0, 3).Draw(t, "beaten") == 0 {
		rec.Base += Version(rapid.IntRange(1, 3).Draw(t, "off"))
	}
	for range rapid.IntRange(1, 3).Draw(t, "parts") {
		p := change{ID: rapid.StringN(1, 5, 8).Draw(t, "id"), Day: day("day")}
		for range rapid.IntRange(0, 3).Draw(t, "ops") {
			key := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key")
			it := intention("batch", key, "06:00", time.Duration(rapid.IntRange(1, 60).Draw(t, "grace"))*time.Hour)
			p.Ops = append(p.Ops, rapid.SampledFrom([]Op{
				teamOp(key, int64(rapid.IntRange(1, 3).Draw(t, "cores"))), putIntention(it),
				{Drain: &Drain{Target: key, Operator: rapid.Bool().Draw(t, "operator")}},
				{Remove: &Ref{IntentionEntry, IntentionKey("a", key)}}, {Remove: &Ref{DrainEntry, key}},
			}).Draw(t, "op"))
		}
		rec.Changes = append(rec.Changes, p)
	}
	data, err := encodeChange(rec)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
