package cell

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/sched"
)

// sizedLog notes the sizes of appends.
type sizedLog struct {
	*memoryLog
	most, records int
}

func (l *sizedLog) Append(_ context.Context, _ Stream, entries []Entry, _ Fence) error {
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	l.most, l.records = max(l.most, size), l.records+len(entries)
	return nil
}

// TestLargeBatchesAreSplit guards against an append after an outage that is too
// large to end in time over a slow link, and is repeated for good.
func TestLargeBatchesAreSplit(t *testing.T) {
	log := &sizedLog{memoryLog: newMemoryLog()}
	l := &lead{d: New(Settings{Name: "a", Log: log, MaxAppendBytes: 2 << 20, Logger: zerolog.Nop()}), log: zerolog.Nop(), clock: HostClock}
	var records []sched.Record
	for i := range 300 {
		records = append(records, sched.Record{Key: fmt.Sprint(i), Value: make([]byte, 4000)})
	}
	if _, ok := l.store(context.Background(), records, 1); !ok {
		t.Fatal("not stored")
	}
	if log.records != 300 || log.most > appendBytes {
		t.Errorf("%d records in appends of up to %d bytes, want 300 in %d", log.records, log.most, appendBytes)
	}
}
