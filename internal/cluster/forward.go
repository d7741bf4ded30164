package cluster

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// LinkState says how the connections of a Forwarder behave.
type LinkState int32

// The states of a link between regions.
const (
	LinkUp     LinkState = iota // bytes pass after the delay
	LinkCut                     // open connections are closed, new ones are refused
	LinkSilent                  // connections stay open but carry nothing; new ones are accepted and carry nothing either
)

// Forwarder forwards TCP connections to one address with a delay. It simulates the link
// between two regions.
type Forwarder struct {
	listener net.Listener
	target   string
	delay    time.Duration // one way
	state    atomic.Int32
	bytes    atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{} // open ones, accepted and dialed
}

// NewForwarder listens on a loopback port and forwards to target with a one-way delay.
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

// Bytes returns the number of bytes forwarded in both directions.
func (f *Forwarder) Bytes() int64 { return f.bytes.Load() }

// SetState changes the state. A link that was silent closes its connections when it
// comes up, as connections that a network device has lost track of don't recover.
func (f *Forwarder) SetState(s LinkState) {
	old := LinkState(f.state.Swap(int32(s)))
	if s == LinkCut || (s == LinkUp && old == LinkSilent) {
		f.closeAll()
	}
}

// SilenceOpenConnections makes the connections that are open now permanently silent:
// they stay open but carry nothing. Connections opened later work.
func (f *Forwarder) SilenceOpenConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if s, ok := c.(*linkConn); ok {
			s.silent.Store(true)
		}
	}
}

// Close closes the listener and all connections.
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

// linkConn is an accepted connection. Once silent is set, what arrives on it or for it is
// dropped.
type linkConn struct {
	net.Conn
	silent atomic.Bool
}

// accept accepts connections until the listener is closed.
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

// serve connects to the target and copies in both directions until both connections have
// ended.
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

// track registers an open connection, or with open false removes and closes it.
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

// chunk holds the bytes of one read, to be written when they are due.
type chunk struct {
	data []byte
	due  time.Time
}

// copy copies src to dst with the delay. Bytes that are due while the link or the accepted
// connection in is silent are dropped, and in stays silent from then on.
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
		if LinkState(f.state.Load()) == LinkSilent || in.silent.Load() {
			in.silent.Store(true)
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
