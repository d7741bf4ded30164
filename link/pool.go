package link

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// pool holds the connections to one peer. A drpc connection serves one call at a time, so
// concurrent calls use several connections.
type pool struct {
	dial           func(ctx context.Context) (*drpcconn.Conn, error)
	probeIdleAfter time.Duration // a connection that was idle for longer is probed before use
	probeTimeout   time.Duration
	maxIdleConns   int

	mu      sync.Mutex
	idle    []idleConn                  // last used at the end
	open    map[*drpcconn.Conn]struct{} // all connections, idle or in use
	retired bool                        // no new calls; each connection is closed when its call ends
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time // end of its last call
}

// acquire returns an idle connection that answered recently, or dials a new one. Errors are
// of kind unreachable: nothing of the caller's request was sent.
func (p *pool) acquire(ctx context.Context) (*drpcconn.Conn, error) {
	p.mu.Lock()
	retired := p.retired
	p.mu.Unlock()
	if retired {
		return nil, errkind.New(errkind.Unreachable, "peer_left", "the peer has left")
	}
	for {
		ic, ok := p.popIdle()
		if !ok {
			break
		}
		if time.Since(ic.since) < p.probeIdleAfter || p.probe(ctx, ic.conn) {
			return ic.conn, nil
		}
		p.discard(ic.conn)
	}
	c, err := p.dial(ctx)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "dial", err)
	}
	p.mu.Lock()
	p.open[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// popIdle removes and returns the idle connection that was used last. It forgets those that
// are closed, and reports false if none is left.
func (p *pool) popIdle() (idleConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		ic := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !isClosed(ic.conn) {
			return ic, true
		}
		delete(p.open, ic.conn)
	}
	return idleConn{}, false
}

// probe reports whether the far end answers on c.
func (p *pool) probe(ctx context.Context, c *drpcconn.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, p.probeTimeout)
	defer cancel()
	_, err := rpc.NewDRPCLinkClient(c).Probe(ctx, &rpc.ProbeRequest{})
	return err == nil
}

// release gives a connection back after a call, or closes it if the pool cannot reuse it.
func (p *pool) release(c *drpcconn.Conn) {
	p.mu.Lock()
	_, known := p.open[c]
	keep := known && !p.retired && !isClosed(c) && len(p.idle) < p.maxIdleConns
	if keep {
		p.idle = append(p.idle, idleConn{c, time.Now()})
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// discard removes c from the pool and closes it.
func (p *pool) discard(c *drpcconn.Conn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.Close()
}

// closeIdle closes the idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, ic := range idle {
		p.discard(ic.conn)
	}
}

// retire refuses new calls and closes each connection when its call has ended.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle()
}

// closeAll closes all connections. Calls in flight on them fail.
func (p *pool) closeAll() {
	p.mu.Lock()
	conns := p.open
	p.idle, p.open = nil, make(map[*drpcconn.Conn]struct{})
	p.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
}

func isClosed(c drpc.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// pooledConn is the drpc.Conn given to callers. It takes a connection of the pool for each
// call, and is safe for concurrent calls.
type pooledConn struct {
	pool      *pool
	closed    chan struct{}
	closeOnce sync.Once
}

var _ drpc.Conn = (*pooledConn)(nil)

// Close implements drpc.Conn. The connections of the pool stay open.
func (c *pooledConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// Closed implements drpc.Conn.
func (c *pooledConn) Closed() <-chan struct{} { return c.closed }

// Invoke implements drpc.Conn. It gives the connection back to the pool after the call.
func (c *pooledConn) Invoke(ctx context.Context, name string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, err := c.pool.acquire(ctx)
	if err != nil {
		return err
	}
	err = conn.Invoke(ctx, name, enc, in, out)
	c.pool.release(conn)
	return err
}

// NewStream implements drpc.Conn. The stream has a connection of its own, which
// is closed when the stream ends.
func (c *pooledConn) NewStream(ctx context.Context, name string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, err := c.pool.acquire(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.NewStream(ctx, name, enc)
	if err != nil {
		c.pool.discard(conn)
		return nil, err
	}
	context.AfterFunc(stream.Context(), func() { c.pool.discard(conn) })
	return stream, nil
}
