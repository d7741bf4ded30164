package cell

import (
	"context"
	"sync"
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
			if took := time.Since(began); took > maxTenure/2 {
				t.Errorf("answered after %v, want at most half of maxTenure", took)
			}
			if n := l.calls.Load(); n != tc.calls {
				t.Errorf("%d calls, want %d", n, tc.calls)
			}
		})
	}
}

// serialLog is a log that stores one append after the other, each in delay, and answers each.
type serialLog struct {
	*memoryLog
	delay time.Duration
	turn  sync.Mutex
	calls atomic.Int64
}

func (l *serialLog) Append(ctx context.Context, s Stream, entries []Entry, f Fence) error {
	l.calls.Add(1)
	l.turn.Lock()
	defer l.turn.Unlock()
	time.Sleep(l.delay) // also for calls that have ended: the log has received them
	err := l.memoryLog.Append(ctx, s, entries, f)
	if ctx.Err() != nil {
		return errkind.Wrap(errkind.AppendUnknown, "no_answer", ctx.Err())
	}
	return err
}

// TestSlowLogGetsFewCopies guards against copies of appends that queue at a slow log, so that it takes
// several times as long as it has to.
func TestSlowLogGetsFewCopies(t *testing.T) {
	l := &serialLog{memoryLog: newMemoryLog(), delay: 240 * time.Millisecond}
	r := &routedLog{direct: l, conns: newConnPool(), clock: HostClock, logger: zerolog.Nop()}
	const appends = 8
	for n := range int64(appends) {
		if err := r.Append(context.Background(), StreamState, []Entry{{Value: []byte("x")}}, Fence{Epoch: 1, Sequence: n}); err != nil {
			t.Fatal(err)
		}
	}
	if n := l.calls.Load(); n > appends+2 {
		t.Errorf("%d calls for %d appends, want at most two copies", n, appends)
	}
}

// silentLog never answers.
type silentLog struct{ *memoryLog }

func (silentLog) Append(ctx context.Context, _ Stream, _ []Entry, _ Fence) error {
	<-ctx.Done()
	return errkind.Wrap(errkind.AppendUnknown, "no_answer", ctx.Err())
}

// TestLeaderStaysWhileLogIsAwayForAll guards against a leader that gives up leadership because the log
// is away, although no other daemon reaches it: the cell then had no leader when the log was back.
func TestLeaderStaysWhileLogIsAwayForAll(t *testing.T) {
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: silentLog{newMemoryLog()}, Logger: zerolog.Nop()})
	d.leadership.Store(&leadership{daemon: d, logger: zerolog.Nop(), clock: HostClock})
	resigned := make(chan struct{}, 1)
	d.tenure.stopLeading = func() { notify(resigned) }
	relay, _ := startAssumedLeader(t) // its log is down
	d.platformLog.setRelays([]string{relay.tenure.cfg.Self.Address})
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
		if err := d.platformLog.Append(ctx, StreamTenure, nil, Fence{}); err == nil {
			t.Error("an append to a silent log succeeded")
		}
		cancel()
	}
	select {
	case <-resigned:
		t.Error("the leader gave up leadership")
	default:
	}
}

// TestAppendsGoThroughAnotherDaemonAtOnce guards against a leader that loses its tenure while the log
// is silent for it alone, because it waits for a direct call to time out first.
func TestAppendsGoThroughAnotherDaemonAtOnce(t *testing.T) {
	relayLog := newMemoryLog()
	relayLog.fail = func(isAppend bool) (error, bool) { // the relay itself does not lead
		if isAppend {
			return nil, false
		}
		return errkind.New(errkind.LogUnavailable, "down", "down"), false
	}
	relay := startDaemon(t, relayLog)
	r := &routedLog{direct: silentLog{newMemoryLog()}, conns: newConnPool(), clock: HostClock, logger: zerolog.Nop()}
	r.setRelays([]string{relay.tenure.cfg.Self.Address})
	for n := range int64(3) {
		began := HostClock()
		if err := r.Append(context.Background(), StreamState, []Entry{{Value: []byte("x")}}, Fence{Epoch: 100, Sequence: n}); err != nil {
			t.Fatal(err)
		}
		if took := HostClock() - began; took > maxTenure/2 {
			t.Errorf("append %d took %v, want at most half of maxTenure", n, took)
		}
	}
	if r.reachesLog() {
		t.Error("the log counts as reachable by direct calls")
	}
}
