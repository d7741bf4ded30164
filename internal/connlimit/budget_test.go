package connlimit

import (
	"net"
	"testing"
	"time"
)

// newTestConn returns a connection that has received something at the given age.
func newTestConn(l *Listener, age time.Duration) *Conn {
	a, _ := net.Pipe()
	c := newConn(l, a)
	c.lastProgress.Store(time.Now().Add(-age).UnixNano())
	c.receivedFrom.Store(time.Now().Add(-age).UnixNano())
	c.phase.Store(phaseReceiving)
	return c
}

func newTestListener(limit int64) (*Listener, *Budget, map[string]int) {
	drops := map[string]int{}
	b := NewBudget(limit, func(int64) {})
	return &Listener{conns: map[*Conn]struct{}{}, opts: Options{Budget: b, OnDrop: func(reason string) { drops[reason]++ },
		Heads: func() HeadLimits { return HeadLimits{MaxBytes: 1 << 10, Timeout: time.Second, Idle: time.Second} }}}, b, drops
}

// TestBudgetKeepsRoomForSmallRequests guards against large requests that take the whole budget.
func TestBudgetKeepsRoomForSmallRequests(t *testing.T) {
	l, b, _ := newTestListener(1 << 20)
	for i := range 3 {
		if !newTestConn(l, 0).reserve(1 << 18) {
			t.Fatalf("large request %d refused, though it fits", i)
		}
	}
	if newTestConn(l, 0).reserve(1 << 18) {
		t.Error("a large request got the memory that is kept for small ones")
	}
	small := newTestConn(l, 0)
	if !small.reserve(SmallRequestBytes) {
		t.Error("a small request was refused while large ones held their part")
	}
	if small.lower(0); b.used != 3<<18 || b.usedLarge != 3<<18 {
		t.Errorf("%d and %d bytes in use, want %d", b.used, b.usedLarge, 3<<18)
	}
}

// TestBudgetTakesMemoryOfStalledSenders guards against senders that stop and keep the memory from others, and against
// senders that lose it though they send, or though their request is complete.
func TestBudgetTakesMemoryOfStalledSenders(t *testing.T) {
	l, b, drops := newTestListener(1 << 20)
	stalled, sending, complete := newTestConn(l, time.Second), newTestConn(l, 0), newTestConn(l, time.Minute)
	for _, c := range []*Conn{stalled, sending, complete} {
		if !c.reserve(1 << 18) {
			t.Fatal("refused, though it fits")
		}
	}
	complete.startServing()
	if !newTestConn(l, 0).reserve(1<<18) || !stalled.Dropped() || drops[DroppedStalled] != 1 {
		t.Errorf("stalled sender dropped: %v, drops %v", stalled.Dropped(), drops)
	}
	if newTestConn(l, 0).reserve(1<<18) || sending.Dropped() || complete.Dropped() {
		t.Error("memory was taken from a sender that sends, or from a complete request")
	}
	if b.used != 3<<18 {
		t.Errorf("%d bytes in use, want %d", b.used, 3<<18)
	}
}

// TestBudgetAdmitsOneRequestOfAnySize guards against limits of the configuration that a small host never serves.
func TestBudgetAdmitsOneRequestOfAnySize(t *testing.T) {
	l, _, _ := newTestListener(1 << 20)
	first := newTestConn(l, 0)
	if !first.reserve(SmallRequestBytes) || !first.reserve(1<<22) {
		t.Error("a single request was refused")
	}
	if newTestConn(l, 0).reserve(1 << 22) {
		t.Error("a second one was admitted")
	}
	if first.lower(0); !newTestConn(l, 0).reserve(1 << 22) {
		t.Error("refused after the first one had ended")
	}
}

// TestOldestWithoutProgressMakesRoom guards against new connections that are refused while others do nothing, and
// against connections that are closed during a request.
func TestOldestWithoutProgressMakesRoom(t *testing.T) {
	l, _, _ := newTestListener(1 << 20)
	l.opts.MaxConns = 4
	serving, proven, older, newer := newTestConn(l, time.Hour), newTestConn(l, time.Minute), newTestConn(l, time.Second), newTestConn(l, 0)
	serving.startServing()
	proven.proven.Store(true)
	for _, c := range []*Conn{serving, proven, older, newer} {
		if victim, ok := l.add(c); !ok || victim != nil {
			t.Fatal("no room below the limit")
		}
	}
	proven.lastProgress.Store(newer.lastProgress.Load() + 1)
	if victim, _ := l.add(newTestConn(l, 0)); victim != older {
		t.Error("of callers, another one than that without progress for longest was closed")
	}
	l.conns = map[*Conn]struct{}{serving: {}, proven: {}, older: {}, newer: {}}
	proven.lastProgress.Store(0)
	l.opts.Heads = nil // the port of daemons: connections that never completed a call go first
	for i, want := range []*Conn{older, newer, proven} {
		c := newTestConn(l, 0)
		c.startServing()
		if victim, ok := l.add(c); !ok || victim != want {
			t.Errorf("connection %d: another one than expected was closed", i)
		}
	}
	if _, ok := l.add(newTestConn(l, 0)); ok {
		t.Error("a connection was closed during a request")
	}
	serving.writingSince.Store(time.Now().Add(-time.Minute).UnixNano())
	if victim, _ := l.add(newTestConn(l, 0)); victim != serving {
		t.Error("a client that does not read its answer kept its connection")
	}
}
