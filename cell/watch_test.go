package cell

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// pagedLog has one newest entry a page. Every second call fails.
type pagedLog struct {
	*memoryLog
	calls, keys int
}

func (l *pagedLog) Newest(_ context.Context, _ Stream, after string) (Page, error) {
	if l.calls++; l.calls%2 == 1 {
		return Page{}, errkind.New(errkind.LogUnavailable, "no_answer", "lost")
	}
	n := 0
	if after != "" {
		if _, err := fmt.Sscanf(after, "k%d", &n); err != nil {
			return Page{}, err
		}
	}
	n++
	return Page{Entries: []Entry{{Key: fmt.Sprintf("k%d", n), Offset: int64(n)}}, End: int64(100 + n), More: n < l.keys}, nil
}

// TestNewestGoesOnAfterFailure guards against a reading of the job state that is
// begun anew with each failure and never ends, and against news that are skipped
// because later pages end later.
func TestNewestGoesOnAfterFailure(t *testing.T) {
	l := &pagedLog{memoryLog: newMemoryLog(), keys: 5}
	page, ok := readAllNewest(context.Background(), l, StreamState, zerolog.Nop())
	if !ok || len(page.Entries) != 5 || page.End != 101 {
		t.Errorf("%d entries up to %d, %v; want 5 up to 101", len(page.Entries), page.End, ok)
	}
	if l.calls != 10 {
		t.Errorf("%d calls for 5 pages of which each failed once, want 10", l.calls)
	}
}
