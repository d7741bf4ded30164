package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// lossyLog passes every append on to memoryLog, but does not answer the calls, counted from 1, for
// which loseAnswer is true.
type lossyLog struct {
	*memoryLog
	calls      atomic.Int64
	loseAnswer func(call int64) bool
}

func (l *lossyLog) Append(ctx context.Context, s Stream, entries []Entry, f Fence) error {
	call := l.calls.Add(1)
	err := l.memoryLog.Append(ctx, s, entries, f)
	if l.loseAnswer(call) {
		<-ctx.Done()
		return errkind.New(errkind.AppendUnknown, "no_answer", "lost")
	}
	return err
}

// TestLostAppendAnswersAreHedged guards against a leader that waits for the lost answer to an append
// until its tenure is over, and against copies of appends that the log has answered.
func TestLostAppendAnswersAreHedged(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fence      Fence
		loseAnswer func(int64) bool
		refuse     bool
		kind       errkind.Kind // empty for none
		calls      int64
	}{
		{"first answer lost", Fence{Epoch: 1, Sequence: 1}, func(n int64) bool { return n == 1 }, false, "", 2},
		{"two answers lost", Fence{Epoch: 1, Sequence: 1}, func(n int64) bool { return n < 3 }, false, "", 3},
		{"stored at its offset without an answer", Fence{At: 0}, func(n int64) bool { return n == 1 }, false, errkind.Conflict, 2},
		{"answered", Fence{Epoch: 1, Sequence: 1}, func(int64) bool { return false }, false, "", 1},
		{"refused", Fence{Epoch: 1, Sequence: 1}, func(int64) bool { return false }, true, errkind.LogUnavailable, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &lossyLog{memoryLog: newMemoryLog(), loseAnswer: tc.loseAnswer}
			if tc.refuse {
				l.fail = func(bool) (error, bool) { return errkind.New(errkind.LogUnavailable, "refused", "down"), false }
			}
			r := &routedLog{direct: l, conns: newConnPool(), clock: HostClock, logger: zerolog.Nop()}
			ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
			defer cancel()
			began := time.Now()
			err := r.Append(ctx, StreamTenure, []Entry{{Value: []byte("x")}}, tc.fence)
			if (err != nil || tc.kind != "") && errkind.Of(err) != tc.kind {
				t.Errorf("append: %v, want kind %q", err, tc.kind)
			}
			if took := time.Since(began); took > tenureDuration/2 {
				t.Errorf("answered after %v, want at most half of tenureDuration", took)
			}
			if n := l.calls.Load(); n != tc.calls {
				t.Errorf("%d calls, want %d", n, tc.calls)
			}
		})
	}
}
