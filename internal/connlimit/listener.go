package connlimit

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// The reasons for which connections are closed.
const (
	DroppedForOthers = "made_room"      // the longest without progress, closed for a new connection at the limit
	DroppedStalled   = "stalled"        // sent too slowly while others needed its memory
	DroppedFull      = "full"           // a new connection at the limit, with requests in progress on all others
	DroppedMemory    = "no_memory"      // no memory for the head of a request, or for a message
	DroppedHead      = "head_too_large" // the head of a request was over the limit of bytes
	DroppedMessage   = "message_too_large"
	DroppedTimeout   = "timeout" // a head, a body or a message took too long
)

// HeadLimits bounds the heads of HTTP requests.
type HeadLimits struct {
	MaxBytes int           // of the request line and the header lines
	Timeout  time.Duration // from the first byte of a head to its end
	Idle     time.Duration // without a byte before a head
}

// Options are the limits of a Listener.
type Options struct {
	MaxConns    int     // open connections, 0 for no limit
	BufferBytes int     // that the kernel holds for a connection in each direction, 0 for its default
	Budget      *Budget // of memory, nil for none
	// Heads returns the limits of the heads of HTTP requests at the moment. If it is nil, the connections do not carry
	// HTTP: each message is bounded by MaxMessage bytes and MessageTime, from its first byte to its end.
	Heads       func() HeadLimits
	MaxMessage  int64
	MessageTime time.Duration
	// The functions are called for each connection that is closed because of a limit, and with the number of open
	// connections when it changes. They may be nil and must not block.
	OnDrop func(reason string)
	OnOpen func(open int)
}

// Listener is a net.Listener whose connections are bounded.
type Listener struct {
	net.Listener
	opts Options

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Listen listens on a TCP address.
func Listen(address string, opts Options) (*Listener, error) {
	config := net.ListenConfig{}
	if opts.BufferBytes > 0 {
		// Connections inherit the buffers of the socket that listens, so that the first window that a client is told
		// follows from them, too.
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
					if setErr == nil {
						setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, opts.BufferBytes)
					}
				}
			})
			if err != nil {
				return err
			}
			return setErr
		}
	}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: inner, opts: opts, conns: make(map[*Conn]struct{})}, nil
}

// Accept implements net.Listener. At the limit of connections it closes the one that has made no progress for longest,
// or the new one if requests are in progress on all others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l, inner)
		if victim, ok := l.add(c); !ok {
			l.dropped(DroppedFull)
			_ = inner.Close()
			continue
		} else if victim != nil {
			victim.drop(DroppedForOthers)
			_ = victim.Close()
		}
		return c, nil
	}
}

// add registers a new connection. At the limit it returns the connection to close for it, and false if there is none.
func (l *Listener) add(c *Conn) (*Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var victim *Conn
	if l.opts.MaxConns > 0 && len(l.conns) >= l.opts.MaxConns {
		for other := range l.conns {
			if !other.isBusy() && (victim == nil || other.goesBefore(victim)) {
				victim = other
			}
		}
		if victim == nil {
			return nil, false
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	l.opened()
	return victim, true
}

// remove forgets a closed connection.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.opened()
}

// opened reports the number of open connections. l.mu must be held.
func (l *Listener) opened() {
	if l.opts.OnOpen != nil {
		l.opts.OnOpen(len(l.conns))
	}
}

// dropped counts a connection that is closed.
func (l *Listener) dropped(reason string) {
	if l.opts.OnDrop != nil {
		l.opts.OnDrop(reason)
	}
}
