package link

import (
	"context"
	"net"
	"time"

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
	Counters *Counters      // shared with Members; required
	// IdleTimeout closes an accepted connection on which nothing arrives for so
	// long. A call that takes longer is cut. Default 2 min.
	IdleTimeout time.Duration
	Logger      zerolog.Logger
}

// Server accepts the drpc connections of the other daemons.
type Server struct {
	cfg ServerConfig
	mux *drpcmux.Mux
}

// NewServer returns a Server without services.
func NewServer(cfg ServerConfig) *Server {
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = 2 * time.Minute
	}
	return &Server{cfg: cfg, mux: drpcmux.New()}
}

// Register adds services. It must be called before Run.
func (s *Server) Register(add func(mux *drpcmux.Mux) error) error { return add(s.mux) }

// Address returns the address of the listener.
func (s *Server) Address() string { return s.cfg.Listener.Addr().String() }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	server := drpcserver.NewWithOptions(s.mux, drpcserver.Options{Log: func(err error) {
		s.cfg.Logger.Debug().Str("event", "drpc_connection_ended").Err(err).Send()
	}})
	return server.Serve(ctx, countingListener{s.cfg.Listener, func(c net.Conn) net.Conn {
		return &acceptedConn{
			countedConn: countedConn{Conn: c, counters: s.cfg.Counters, distance: zone.CrossRegion},
			topology:    s.cfg.Topology, self: s.cfg.Zone, idle: s.cfg.IdleTimeout,
		}
	}})
}
