package cell

import (
	"context"
	"fmt"
	"testing"

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
