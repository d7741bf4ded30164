// Package daemon joins the parts of sassafraslb into the process that runs on
// every entry host: wiring, the HTTP interface, health, and the planned stop.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"golang.org/x/sync/errgroup"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/job"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/request"
	"github.com/sassafraslb/sassafraslb/settings"
)

// Daemon is one process of the system.
type Daemon struct {
	set      *settings.Settings
	log      zerolog.Logger
	injector *do.RootScope
	draining atomic.Bool
	started  time.Time
	listener net.Listener // of the HTTP interface
}

// New returns a Daemon with its listeners open, so that a port in use is
// reported at once.
func New(set *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	l, err := net.Listen("tcp", set.HTTPAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	d := &Daemon{set: set, log: log, started: time.Now(), listener: l}
	if d.injector, err = wire(set, log); err != nil {
		return nil, errors.Wrap(err, "wire daemon")
	}
	return d, nil
}

// Run serves until ctx ends, then stops as planned: it tells the balancer, hands
// over its keys, finishes open calls and returns.
func (d *Daemon) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	for name, run := range d.runners() {
		group.Go(func() error {
			// A part that ends with its context has stopped as asked.
			if err := run(work); err != nil && work.Err() == nil {
				return errors.Wrap(err, name)
			}
			return nil
		})
	}
	server := &http.Server{Handler: d.closeWhileDraining(d.handler()), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error {
		if err := server.Serve(d.listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	d.log.Info().Str("event", "daemon_started").Str("zone", string(d.set.Zone)).
		Str("http", d.set.HTTPAddress).Str("rpc", d.set.RPCAddress).Send()
	select {
	case <-ctx.Done():
		d.drain(work)
	case <-work.Done():
	}
	d.closeServer(server)
	stop()
	return group.Wait()
}

// runners returns the long-running parts by name.
func (d *Daemon) runners() map[string]func(context.Context) error {
	i := d.injector
	return map[string]func(context.Context) error{
		"link server":   do.MustInvoke[*link.Server](i).Run,
		"members":       do.MustInvoke[*link.Membership](i).Run,
		"claimer":       do.MustInvoke[*contract.Claimer](i).Run,
		"grants":        do.MustInvoke[*contract.Grants](i).Run,
		"configuration": do.MustInvoke[*config.Store](i).Run,
		"publisher":     do.MustInvoke[*config.Publisher](i).Run,
		"snapshots":     do.MustInvoke[*config.Snapshotter](i).Run,
		"rack owner":    do.MustInvoke[*job.RackOwner](i).Run,
		"job scheduler": do.MustInvoke[*job.Scheduler](i).Run,
		"requests":      do.MustInvoke[*request.Service](i).Run,
	}
}

// drain is the planned stop up to the closing of the listeners.
func (d *Daemon) drain(ctx context.Context) {
	d.draining.Store(true)
	d.log.Info().Str("event", "drain_started").Send()
	// The balancer must see /readyz fail before calls are refused.
	pause.For(ctx, d.set.DrainNotice.Std())
	ctx, cancel := context.WithTimeout(ctx, d.set.DrainLimit.Std())
	defer cancel()
	if err := do.MustInvoke[*contract.Claimer](d.injector).Drain(ctx); err != nil {
		// The other daemons take the keys over once this one is silent.
		d.log.Warn().Str("event", "handover_failed").Err(err).Send()
	}
	if err := do.MustInvoke[*request.Service](d.injector).Drain(ctx); err != nil {
		d.log.Error().Str("event", "drain_limit_reached").Err(err).Send()
	}
	// Other daemons may still send calls here until they have read of the handover;
	// these are refused as not run, which a closed connection could not say.
	pause.For(ctx, d.set.DrainNotice.Std())
	if err := do.MustInvoke[*contract.Claimer](d.injector).Leave(ctx); err != nil {
		// The other daemons find out by missing heartbeats or from the host list.
		d.log.Warn().Str("event", "leave_not_appended").Err(err).Send()
	}
	d.log.Info().Str("event", "drain_finished").Send()
}

// closeWhileDraining asks callers to use another connection once the stop has
// begun. A request that is sent on an idle connection while the server closes it
// gets no answer, and the caller cannot know whether it ran.
func (d *Daemon) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), d.set.DrainLimit.Std())
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		d.log.Error().Str("event", "http_shutdown_failed").Err(err).Send()
	}
}
