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

// pool holds the connections to one peer. A drpc connection carries one call at
// a time, so that concurrent calls use several connections.
type pool struct {
	dial         func(ctx context.Context) (*drpcconn.Conn, error)
	probeIdle    time.Duration // an idle connection older than this is probed before use
	probeTimeout time.Duration
	maxIdle      int

	mu      sync.Mutex
	idle    []idleConn
	all     map[*drpcconn.Conn]struct{}
	retired bool // no new call; a connection is closed when its call ends
}

type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// take returns a connection that answered recently. Errors are of kind
// unreachable; nothing of the caller's request was sent.
func (p *pool) take(ctx context.Context) (*drpcconn.Conn, error) {
	p.mu.Lock()
	retired := p.retired
	p.mu.Unlock()
	if retired {
		return nil, errkind.New(errkind.Unreachable, "peer_left", "the peer has left")
	}
	for {
		ic, ok := p.pop()
		if !ok {
			break
		}
		if time.Since(ic.since) < p.probeIdle || p.probe(ctx, ic.conn) {
			return ic.conn, nil
		}
		p.drop(ic.conn)
	}
	c, err := p.dial(ctx)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "dial", err)
	}
	p.mu.Lock()
	p.all[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

func (p *pool) pop() (idleConn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		ic := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !closed(ic.conn) {
			return ic, true
		}
		delete(p.all, ic.conn)
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

// put returns a connection after a call.
func (p *pool) put(c *drpcconn.Conn) {
	p.mu.Lock()
	_, known := p.all[c]
	keep := known && !p.retired && !closed(c) && len(p.idle) < p.maxIdle
	if keep {
		p.idle = append(p.idle, idleConn{c, time.Now()})
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

func (p *pool) drop(c *drpcconn.Conn) {
	p.mu.Lock()
	delete(p.all, c)
	p.mu.Unlock()
	_ = c.Close()
}

// closeIdle closes the idle connections, closeAll also those in use, whose calls fail.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, ic := range idle {
		p.drop(ic.conn)
	}
}

// retire refuses new calls and closes each connection when its call has ended.
func (p *pool) retire() {
	p.mu.Lock()
	p.retired = true
	p.mu.Unlock()
	p.closeIdle()
}

func (p *pool) closeAll() {
	p.mu.Lock()
	all := p.all
	p.idle, p.all = nil, make(map[*drpcconn.Conn]struct{})
	p.mu.Unlock()
	for c := range all {
		_ = c.Close()
	}
}

func closed(c drpc.Conn) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// pooled is the drpc.Conn given to callers. It is safe for concurrent calls.
type pooled struct {
	pool  *pool
	ended chan struct{}
	once  sync.Once
}

var _ drpc.Conn = (*pooled)(nil)

// Close implements drpc.Conn. The connections of the pool stay open.
func (c *pooled) Close() error {
	c.once.Do(func() { close(c.ended) })
	return nil
}

// Closed implements drpc.Conn.
func (c *pooled) Closed() <-chan struct{} { return c.ended }

// Invoke implements drpc.Conn.
func (c *pooled) Invoke(ctx context.Context, name string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, err := c.pool.take(ctx)
	if err != nil {
		return err
	}
	err = conn.Invoke(ctx, name, enc, in, out)
	c.pool.put(conn)
	return err
}

// NewStream implements drpc.Conn. The stream has a connection of its own, which
// is closed when the stream ends.
func (c *pooled) NewStream(ctx context.Context, name string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, err := c.pool.take(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.NewStream(ctx, name, enc)
	if err != nil {
		c.pool.drop(conn)
		return nil, err
	}
	context.AfterFunc(stream.Context(), func() { c.pool.drop(conn) })
	return stream, nil
}
