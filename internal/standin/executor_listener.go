package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener counts connections, closes those above the limit, and can make
// open connections silent.
type limitListener struct {
	net.Listener
	limit int

	mu      sync.Mutex
	conns   map[*silentConn]struct{}
	most    int
	refused int
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, limit: limit, conns: make(map[*silentConn]struct{})}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if s := l.add(c); s != nil {
			return s, nil
		}
		_ = c.Close()
	}
}

func (l *limitListener) add(c net.Conn) *silentConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit {
		l.refused++
		return nil
	}
	s := &silentConn{Conn: c, owner: l}
	l.conns[s] = struct{}{}
	l.most = max(l.most, len(l.conns))
	return s
}

func (l *limitListener) counts() (most, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most, l.refused
}

func (l *limitListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *limitListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// silentConn drops everything in both directions once silent is set.
type silentConn struct {
	net.Conn
	owner  *limitListener
	silent atomic.Bool
}

// Read drops what arrives on a silent connection.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write drops b on a silent connection.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and frees its place.
func (c *silentConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
