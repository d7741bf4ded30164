package bed

import (
	"net"
	"sync"
)

// gate is a listener of a machine that can lose its power. Its open connections go silent then, without a reset. A
// machine that is back resets a connection of its former life when a packet comes on it.
type gate struct {
	net.Listener

	mu   sync.Mutex
	off  bool
	open map[*gatedConn]bool
}

// gatedConn is a connection of a gate.
type gatedConn struct {
	net.Conn
	gate *gate
	dead bool // of a life that is over; gate.mu is held to read or change it
	sent bool // the peer has sent something since then
}

func newGate(l net.Listener) *gate { return &gate{Listener: l, open: map[*gatedConn]bool{}} }

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &gatedConn{Conn: conn, gate: g, dead: g.off}
	g.open[c] = true
	return c, nil
}

// powerOff makes all connections silent, and those that peers open from now on.
func (g *gate) powerOff() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.off = true
	for c := range g.open {
		c.dead = true
	}
}

// powerOn lets new connections work.
func (g *gate) powerOn() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.off = false
	for c := range g.open {
		if c.dead && c.sent {
			c.reset()
		}
	}
}

// reset resets the connection. The caller holds gate.mu.
func (c *gatedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	delete(c.gate.open, c)
}

// Read implements net.Conn. On a dead connection it returns only when the connection has been reset.
func (c *gatedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.gate.mu.Lock()
		if !c.dead || err != nil {
			c.gate.mu.Unlock()
			return n, err
		}
		c.sent = true
		if !c.gate.off {
			c.reset()
		}
		c.gate.mu.Unlock()
	}
}

// Write implements net.Conn. What a former life writes is lost.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.mu.Lock()
	dead := c.dead
	c.gate.mu.Unlock()
	if dead {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A connection of a former life stays as it is.
func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.dead {
		return nil
	}
	delete(c.gate.open, c)
	return c.Conn.Close()
}
