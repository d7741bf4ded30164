package link

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sassafraslb/sassafraslb/zone"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener   // required
	Zone     zone.Name      // of this daemon; required
	Topology *zone.Topology // required
	Counters *ByteCounters  // shared with Membership; required
	// KeepaliveInterval is the time without received bytes after which a connection is pinged.
	// Default 1 s.
	KeepaliveInterval time.Duration
	// KeepaliveTimeout is how long such a ping may stay unanswered before the connection is
	// closed. Default 3 s.
	KeepaliveTimeout time.Duration
	Logger           zerolog.Logger
}

// Server accepts the drpc connections of the other daemons.
type Server struct {
	cfg ServerConfig
	mux *drpcmux.Mux
}

// NewServer returns a Server without services.
func NewServer(cfg ServerConfig) *Server {
	if cfg.KeepaliveInterval <= 0 {
		cfg.KeepaliveInterval = time.Second
	}
	if cfg.KeepaliveTimeout <= 0 {
		cfg.KeepaliveTimeout = 3 * time.Second
	}
	return &Server{cfg: cfg, mux: drpcmux.New()}
}

// Register adds a service by calling add with the mux. It must be called before Run.
func (s *Server) Register(add func(mux *drpcmux.Mux) error) error { return add(s.mux) }

// Address returns the address of the listener.
func (s *Server) Address() string { return s.cfg.Listener.Addr().String() }

// Run serves until ctx ends, and closes the listener. It returns an error only if the listener
// fails before.
func (s *Server) Run(ctx context.Context) error {
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Log: func(err error) {
		event := s.cfg.Logger.Debug().Str("event", "drpc_connection_ended")
		var peerErr *peerError
		if errors.As(err, &peerErr) {
			event.Str("peer", peerErr.address)
		}
		event.Err(err).Send()
	}})
	return server.Serve(ctx, wrappingListener{s.cfg.Listener, func(c net.Conn) net.Conn {
		return peerConn{newFramedConn(&acceptedConn{countedConn: newCountedConn(c, s.cfg.Counters, zone.CrossRegion),
			topology: s.cfg.Topology, self: s.cfg.Zone}, s.cfg.KeepaliveInterval, s.cfg.KeepaliveTimeout)}
	}})
}

// peerError is an error of a connection together with the address of the far end, which
// drpcserver does not pass to its log function.
type peerError struct {
	address string
	err     error
}

// Error implements error.
func (e *peerError) Error() string { return e.err.Error() }

// Unwrap returns the error of the connection.
func (e *peerError) Unwrap() error { return e.err }

// peerConn adds the address of the far end to the errors of reads.
type peerConn struct{ net.Conn }

// Read implements net.Conn.
func (c peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		err = &peerError{c.RemoteAddr().String(), err}
	}
	return n, err
}
