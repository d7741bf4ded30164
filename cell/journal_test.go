package cell

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

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
	if _, ok := l.appendRecords(context.Background(), records, 1); !ok {
		t.Fatal("appendRecords reports that the records are not stored")
	}
	if log.records != 300 || log.largest > maxAppendBytes {
		t.Errorf("%d records in appends of up to %d bytes, want 300 in %d", log.records, log.largest, maxAppendBytes)
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
