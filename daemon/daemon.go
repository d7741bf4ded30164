// Package daemon assembles the packages of sassafraslb into the process that runs
// on every entry host. It holds the dependency injection, the HTTP interface, the
// health checks and the graceful shutdown.
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

// Daemon is one sassafraslbd process: the listeners for callers and for the other
// daemons, and all components behind them.
type Daemon struct {
	settings     *settings.Settings
	log          zerolog.Logger
	injector     *do.RootScope
	draining     atomic.Bool
	started      time.Time
	httpListener net.Listener // for callers, operators and the balancer
}

// New builds all components of a Daemon and opens its listeners, so that a port in
// use is reported before Run.
func New(settings *settings.Settings, log zerolog.Logger) (*Daemon, error) {
	l, err := net.Listen("tcp", settings.HTTPAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	d := &Daemon{settings: settings, log: log, started: time.Now(), httpListener: l}
	if d.injector, err = wire(settings, log); err != nil {
		return nil, errors.Wrap(err, "wire daemon")
	}
	return d, nil
}

// Run serves until ctx ends or a component fails. When ctx ends, it shuts down
// gracefully: it reports not ready to the balancer, hands over its keys, finishes
// open calls and stops the components. It returns the first error of a component, if any.
func (d *Daemon) Run(ctx context.Context) error {
	// The components go on during the shutdown, so their context outlives ctx.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	for name, run := range d.runners() {
		group.Go(func() error {
			// A component that returns after its context has ended was asked to stop.
			if err := run(workCtx); err != nil && workCtx.Err() == nil {
				return errors.Wrap(err, name)
			}
			return nil
		})
	}
	server := &http.Server{Handler: d.closeConnectionsWhileDraining(d.handler()), ReadHeaderTimeout: 5 * time.Second}
	group.Go(func() error {
		if err := server.Serve(d.httpListener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
	d.log.Info().Str("event", "daemon_started").Str("zone", string(d.settings.Zone)).
		Str("http", d.settings.HTTPAddress).Str("rpc", d.settings.RPCAddress).Send()
	select {
	case <-ctx.Done():
		d.drain(workCtx)
	case <-workCtx.Done():
	}
	d.shutdownServer(server)
	stop()
	return group.Wait()
}

// runners returns the Run methods of the long-running components by name. The names
// prefix the errors that Run returns.
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

// drain performs the graceful shutdown up to the closing of the listeners. The steps
// after the first wait for the balancer share the drain limit. A step that fails is
// logged, and the next one follows.
func (d *Daemon) drain(ctx context.Context) {
	d.draining.Store(true)
	d.log.Info().Str("event", "drain_started").Send()
	// Give the balancer time to see /readyz fail before calls are refused.
	pause.For(ctx, d.settings.DrainNotice.Std())
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainLimit.Std())
	defer cancel()
	if err := do.MustInvoke[*contract.Claimer](d.injector).Drain(ctx); err != nil {
		// The other daemons take over the keys once this one has stopped sending heartbeats.
		d.log.Warn().Str("event", "handover_failed").Err(err).Send()
	}
	if err := do.MustInvoke[*request.Service](d.injector).Drain(ctx); err != nil {
		d.log.Error().Str("event", "drain_limit_reached").Err(err).Send()
	}
	// Other daemons send calls here until they have read the handover records. These
	// calls are refused as not run, which a closed connection could not tell them.
	pause.For(ctx, d.settings.DrainNotice.Std())
	if err := do.MustInvoke[*contract.Claimer](d.injector).Leave(ctx); err != nil {
		// The other daemons notice by missing heartbeats or from the host list.
		d.log.Warn().Str("event", "leave_not_appended").Err(err).Send()
	}
	d.log.Info().Str("event", "drain_finished").Send()
}

// closeConnectionsWhileDraining adds "Connection: close" to the answers once the
// shutdown has begun. Without it, a request sent on an idle connection that the server
// closes at the same time gets no answer, and the caller cannot know whether it ran.
func (d *Daemon) closeConnectionsWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdownServer closes the HTTP listener and waits for open calls, at most for the drain limit.
func (d *Daemon) shutdownServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainLimit.Std())
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		d.log.Error().Str("event", "http_shutdown_failed").Err(err).Send()
	}
}
