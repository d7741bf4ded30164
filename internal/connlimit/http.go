package connlimit

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// ServeHTTP prepares server for connections of a Listener with Heads. The time limits of the server for heads and idle
// connections must be 0.
func ServeHTTP(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			c.phase.Store(phaseServing)
			c.bodyEnded = false
		case http.StateIdle:
			c.lower(0)
			c.proven.Store(true)
			c.lastProgress.Store(time.Now().UnixNano())
			c.expectHead()
		}
	}
}

// FromContext returns the connection of a request, or nil if it is none of a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// BeginBody marks that the body of a request is received from now on.
func (c *Conn) BeginBody() {
	now := time.Now().UnixNano()
	c.received.Store(0)
	c.lastProgress.Store(now)
	c.receivedFrom.Store(now)
	c.phase.Store(phaseReceiving)
}

// ReserveBody raises the memory that the body of the request holds to n bytes, and reports whether that is within the
// budget.
func (c *Conn) ReserveBody(n int64) bool { return c.reserve(c.headMemory + n) }

// EndBody marks that the whole body has been received. It still holds its memory. EndBody reports false if c has lost
// it to others meanwhile.
func (c *Conn) EndBody() bool {
	c.bodyEnded = true
	c.startServing()
	return !c.Dropped()
}

// LowerBody gives back what the body holds above n bytes.
func (c *Conn) LowerBody(n int64) { c.lower(c.headMemory + n) }

// DrainBody bounds the time in which the rest of a body that is not needed is received, so that the client can read the
// answer. Other connections may take the place of c meanwhile.
func (c *Conn) DrainBody(limit time.Duration) {
	if c.bodyEnded {
		return
	}
	c.BeginBody()
	c.LowerBody(0)
	_ = c.SetReadDeadline(time.Now().Add(limit))
}

// CountTimeout counts a body that took too long.
func (c *Conn) CountTimeout() { c.listener.dropped(DroppedTimeout) }
