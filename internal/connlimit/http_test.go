package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serveTest starts a server whose limits are those that the returned pointer holds.
func serveTest(t *testing.T) (string, *atomic.Pointer[HeadLimits]) {
	limits := &atomic.Pointer[HeadLimits]{}
	limits.Store(&HeadLimits{MaxBytes: 8 << 10, Timeout: time.Minute, Idle: time.Minute})
	l, err := Listen("127.0.0.1:0", Options{Heads: func() HeadLimits { return *limits.Load() }, BufferBytes: 16 << 10,
		Budget: NewBudget(1<<20, func(int64) {})})
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{MaxHeaderBytes: 1 << 30, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	ServeHTTP(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), limits
}

// TestHeadLimitsFollowConfiguration guards against limits that stay those of the time when the server started.
func TestHeadLimitsFollowConfiguration(t *testing.T) {
	address, limits := serveTest(t)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	reader := bufio.NewReader(conn)
	get := func(padding int) int {
		if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-A: %s\r\n\r\n", strings.Repeat("a", padding)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	if status := get(7 << 10); status != http.StatusOK {
		t.Errorf("status %d below the limit, want 200", status)
	}
	limits.Store(&HeadLimits{MaxBytes: 32 << 10, Timeout: time.Minute, Idle: time.Minute})
	if status := get(30 << 10); status != http.StatusOK {
		t.Errorf("status %d below the new limit, want 200", status)
	}
	limits.Store(&HeadLimits{MaxBytes: 8 << 10, Timeout: time.Minute, Idle: time.Minute})
	if status := get(30 << 10); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d above the limit, want 431", status)
	}
}

// TestUnfinishedHeadIsClosed guards against heads that come without end, and idle connections, which are kept beyond
// their time limits.
func TestUnfinishedHeadIsClosed(t *testing.T) {
	address, limits := serveTest(t)
	for name, c := range map[string]struct {
		limits HeadLimits
		send   string
	}{
		"idle":         {HeadLimits{MaxBytes: 8 << 10, Timeout: time.Minute, Idle: 50 * time.Millisecond}, ""},
		"after a call": {HeadLimits{MaxBytes: 8 << 10, Timeout: time.Minute, Idle: 50 * time.Millisecond}, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		"head":         {HeadLimits{MaxBytes: 8 << 10, Timeout: 50 * time.Millisecond, Idle: time.Minute}, "GET / HTTP/1.1\r\nX: "},
	} {
		limits.Store(&c.limits)
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second)) // below the minute of the other limit
		if _, err := io.WriteString(conn, c.send); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("%s: not closed: %v", name, err)
		}
		_ = conn.Close()
	}
}
