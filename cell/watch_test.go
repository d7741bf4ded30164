package cell

import (
	"context"
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// pagedLog is a log whose pages of newest entries hold one entry each. The first call of Newest fails,
// and then every second one.
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

// TestNewestGoesOnAfterFailure guards against reads of the job state that start over with each failure
// and never end, and against new entries that are skipped because the end of the stream is taken from
// a later page.
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
