package cluster

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// LinkState is how the connections of a Forwarder behave.
type LinkState int32

// The states of a link.
const (
	LinkUp     LinkState = iota
	LinkCut              // open connections are closed, new ones are refused
	LinkSilent           // nothing passes and nothing is closed; new connections hang
)

// Forwarder passes TCP connections on to one address. It stands for the link
// between two regions.
type Forwarder struct {
	listener net.Listener
	target   string
	delay    time.Duration // one way
	state    atomic.Int32
	bytes    atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewForwarder listens on loopback and forwards to target with a one-way delay.
func NewForwarder(target string, delay time.Duration) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	f := &Forwarder{listener: l, target: target, delay: delay, conns: make(map[net.Conn]struct{})}
	go f.accept()
	return f, nil
}

// Address returns the address to connect to.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Bytes returns the bytes passed in both directions.
func (f *Forwarder) Bytes() int64 { return f.bytes.Load() }

// SetState changes the state. A link that comes up again closes the connections that
// were silent, as a device that lost track of them does not bring them back.
func (f *Forwarder) SetState(s LinkState) {
	old := LinkState(f.state.Swap(int32(s)))
	if s == LinkCut || (s == LinkUp && old == LinkSilent) {
		f.closeAll()
	}
}

// SilenceOpenConnections makes the connections that are open now silent for good while new ones work.
func (f *Forwarder) SilenceOpenConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if s, ok := c.(*linkConn); ok {
			s.dead.Store(true)
		}
	}
}

// Close ends the forwarder and its connections.
func (f *Forwarder) Close() {
	_ = f.listener.Close()
	f.closeAll()
}

func (f *Forwarder) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

// linkConn is an accepted connection.
type linkConn struct {
	net.Conn
	dead atomic.Bool
}

func (f *Forwarder) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		if LinkState(f.state.Load()) == LinkCut {
			_ = c.Close()
			continue
		}
		go f.serve(&linkConn{Conn: c})
	}
}

func (f *Forwarder) serve(in *linkConn) {
	f.track(in, true)
	defer f.track(in, false)
	out, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		return
	}
	f.track(out, true)
	defer f.track(out, false)
	var wg sync.WaitGroup
	wg.Go(func() { f.copy(out, in, in); _ = out.Close() })
	wg.Go(func() { f.copy(in, out, in); _ = in.Close() })
	wg.Wait()
}

func (f *Forwarder) track(c net.Conn, open bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if open {
		f.conns[c] = struct{}{}
		return
	}
	delete(f.conns, c)
	_ = c.Close()
}

// chunk is what was read at a time; it is written when the delay has passed.
type chunk struct {
	data []byte
	due  time.Time
}

// copy passes bytes on after the delay; while the link is silent they are lost.
func (f *Forwarder) copy(dst io.Writer, src io.Reader, in *linkConn) {
	queue := make(chan chunk, 1024)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- chunk{buf[:n], time.Now().Add(f.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if LinkState(f.state.Load()) == LinkSilent || in.dead.Load() {
			in.dead.Store(true)
			continue
		}
		f.bytes.Add(int64(len(c.data)))
		if _, err := dst.Write(c.data); err != nil {
			for range queue {
				// Drain the queue so that the reader can end.
			}
			return
		}
	}
}
