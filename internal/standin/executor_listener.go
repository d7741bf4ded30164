package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener counts connections, closes those above the limit on accept, and can
// make the open ones silent.
type limitListener struct {
	net.Listener
	limit int

	mu      sync.Mutex
	conns   map[*trackedConn]struct{}
	peak    int // most connections open at the same time so far
	refused int // connections closed because of the limit
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, limit: limit, conns: make(map[*trackedConn]struct{})}
}

// Accept returns the next connection within the limit. It implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.add(c); tracked != nil {
			return tracked, nil
		}
		_ = c.Close()
	}
}

// add registers a connection, or returns nil if the limit is reached.
func (l *limitListener) add(c net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		l.refused++
		return nil
	}
	tracked := &trackedConn{Conn: c, listener: l}
	l.conns[tracked] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return tracked
}

func (l *limitListener) counts() (peak, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak, l.refused
}

// openCount returns the number of open connections.
func (l *limitListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// silenceOpen makes the connections that are open now permanently silent.
func (l *limitListener) silenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// trackedConn is a connection counted by its listener. Once silent is set, it drops
// everything in both directions.
type trackedConn struct {
	net.Conn
	listener *limitListener
	silent   atomic.Bool
}

// Read reads from the connection; on a silent one it discards what arrives and
// returns only when the connection fails or ends.
func (c *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes b to the connection; on a silent one it discards b and reports success.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection; it no longer counts toward the limit.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
