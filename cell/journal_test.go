package cell

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// sizedLog records the size in bytes of the largest append, and the number of entries of all.
type sizedLog struct {
	*memoryLog
	largest, records int
}

func (l *sizedLog) Append(_ context.Context, _ Stream, entries []Entry, _ Fence) error {
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	l.largest, l.records = max(l.largest, size), l.records+len(entries)
	return nil
}

// TestLargeBatchesAreSplitIntoAppends guards against an append after an outage that is too large to
// end in time over a slow link, and so is repeated without end.
func TestLargeBatchesAreSplitIntoAppends(t *testing.T) {
	log := &sizedLog{memoryLog: newMemoryLog()}
	l := &leadership{daemon: New(Settings{Name: "a", Log: log, MaxAppendBytes: 2 << 20, Logger: zerolog.Nop()}), logger: zerolog.Nop(), clock: HostClock}
	var records []sched.Record
	for i := range 300 {
		records = append(records, sched.Record{Key: fmt.Sprint(i), Value: make([]byte, 4000)})
	}
	if _, refused, ok := l.appendRecords(context.Background(), records, 1); !ok || len(refused) > 0 {
		t.Fatalf("appendRecords reports %v, and %d refused records; want all stored", ok, len(refused))
	}
	if log.records != 300 || log.largest > maxAppendBytes {
		t.Errorf("%d records in appends of up to %d bytes, want 300 in %d", log.records, log.largest, maxAppendBytes)
	}
}

// pickyLog refuses each append with an entry whose value is "bad", and wants consecutive sequence numbers.
type pickyLog struct {
	*memoryLog
	stored       []string
	nextSequence int64
	refusals     int
}

func (l *pickyLog) Append(_ context.Context, _ Stream, entries []Entry, f Fence) error {
	for _, e := range entries {
		if string(e.Value) == "bad" {
			l.refusals++
			return errkind.New(errkind.BadInput, "refused_400", "a record is too large")
		}
	}
	if f.Sequence != l.nextSequence {
		return errkind.New(errkind.Conflict, "sequence", "got %d, want %d", f.Sequence, l.nextSequence)
	}
	l.nextSequence++
	for _, e := range entries {
		l.stored = append(l.stored, e.Key)
	}
	return nil
}

// TestRefusedRecordsBlockNoOthers guards against a leader that repeats an append which the log does not take, and
// stores nothing any more. The order of the other records stays.
func TestRefusedRecordsBlockNoOthers(t *testing.T) {
	for _, bad := range [][]int{{}, {0}, {6}, {3}, {2, 3}, {0, 6}, {0, 1, 2, 3, 4, 5, 6}} {
		log := &pickyLog{memoryLog: newMemoryLog(), nextSequence: 1}
		l := &leadership{daemon: New(Settings{Name: "a", Log: log, MaxAppendBytes: 2 << 20, Logger: zerolog.Nop()}), logger: zerolog.Nop(), clock: HostClock}
		var records []sched.Record
		var wantStored, wantRefused []string
		for i := range 7 {
			r := sched.Record{Key: fmt.Sprint(i), Value: []byte("good")}
			if slices.Contains(bad, i) {
				r.Value = []byte("bad")
				wantRefused = append(wantRefused, r.Key)
			} else {
				wantStored = append(wantStored, r.Key)
			}
			records = append(records, r)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		next, refused, ok := l.appendRecords(ctx, records, 1)
		cancel()
		if !ok || next != log.nextSequence {
			t.Errorf("bad %v: ok %v, next sequence number %d; want true and %d", bad, ok, next, log.nextSequence)
		}
		if diff := cmp.Diff(wantStored, log.stored); diff != "" {
			t.Errorf("bad %v: stored records (-want +got):\n%s", bad, diff)
		}
		if diff := cmp.Diff(wantRefused, lo.Map(refused, func(r sched.Record, _ int) string { return r.Key })); diff != "" && len(bad) > 0 {
			t.Errorf("bad %v: refused records (-want +got):\n%s", bad, diff)
		}
	}
}

// staleLog returns an old snapshot of its entries from Newest.
type staleLog struct {
	*memoryLog
	snapshot Page
}

func (l *staleLog) Newest(context.Context, Stream, string) (Page, error) { return l.snapshot, nil }

// TestTakeoverReadsWhatFormerLeaderStoredMeanwhile guards against a new leader that misses records
// which its predecessor stores while the new leader reads the job state: accepted jobs would be lost.
func TestTakeoverReadsWhatFormerLeaderStoredMeanwhile(t *testing.T) {
	log := &staleLog{memoryLog: newMemoryLog()}
	log.snapshot = Page{End: 3, Entries: []Entry{{0, "j1", []byte("old")}, {1, "j2", []byte("old")}, {2, "j3", []byte("old")}}}
	for _, e := range append(log.snapshot.Entries, Entry{Key: "j1", Value: []byte("new")}, Entry{Key: "j2"}, Entry{Key: "j0", Value: []byte("new")},
		Entry{Key: "j1", Value: []byte("newer")}) {
		e.Offset = int64(len(log.entries))
		log.entries = append(log.entries, e)
	}
	d := New(Settings{Name: "a", Log: log, MaxAppendBytes: 2 << 20, Logger: zerolog.Nop()})
	l := &leadership{daemon: d, term: 1, logger: zerolog.Nop(), clock: HostClock}
	records, ok := l.takeOver(context.Background())
	want := []sched.Record{{Key: "j0", Value: []byte("new")}, {Key: "j1", Value: []byte("newer")}, {Key: "j3", Value: []byte("old")}}
	if diff := cmp.Diff(want, records); !ok || diff != "" {
		t.Errorf("records of the former leader (-want +got):\n%s", diff)
	}
}
