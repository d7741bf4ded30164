// Package cell is the daemon of a cell whose log and machines belong to a
// platform. Every daemon takes requests of callers; one of them, the leader,
// runs the scheduler for all machines (see Tenure).
package cell

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// Settings configure a Daemon.
type Settings struct {
	Name           string // of the host
	IP             string
	Port           int     // for calls between daemons
	Cores          float64 // processor capacity, 0 if not known
	Log            Log
	Machines       MachineClient
	Advisor        Advisor // nil if no queue has an advisor
	Decoder        Decoder
	ConfigKey      string // key of the configuration in its stream
	Clock          Clock  // default HostClock
	Engine         sched.Config
	MaxAppendBytes int // bytes of one append
	// MemoryLimited means that the runtime keeps to a memory limit, so that the leader
	// may let its heap grow.
	MemoryLimited bool
	Logger        zerolog.Logger
	Metrics       *Metrics
}

const (
	// helloEvery is the interval at which daemons report to the leader.
	helloEvery = 500 * time.Millisecond
	// helloRetry is the interval while the daemon that has claimed leadership does not
	// lead yet: it reads the job state first, and then needs the others at once.
	helloRetry = 80 * time.Millisecond
	// helloRetries is the number of reports in a row at that interval.
	helloRetries = 12
	// helloTimeout bounds one report.
	helloTimeout = 700 * time.Millisecond
	// readyFor is how long after the last answer of the leader a daemon counts as
	// ready. It is longer than a change of the leader takes.
	readyFor = 2 * time.Second
	// configWait is how long one read waits for a new configuration. A read whose
	// connection has gone silent must end within the time in which a configuration
	// has to be in force, 2.5 s.
	configWait = time.Second
)

// Daemon is one daemon of the cell.
type Daemon struct {
	set    Settings
	log    zerolog.Logger
	clock  Clock
	peers  *peers
	route  *routedLog
	tenure *Tenure
	config atomic.Pointer[Config]
	lead   atomic.Pointer[lead] // set while this daemon leads

	mu        sync.Mutex
	pending   map[string]int // jobs without a started task, by queue
	pendingAt time.Duration
	leaderAt  time.Duration // last answer of the leader
	newConfig chan struct{}
	draining  atomic.Bool
}

// New returns a Daemon that does nothing until Run.
func New(set Settings) *Daemon {
	if set.Clock == nil {
		set.Clock = HostClock
	}
	if set.Metrics == nil {
		set.Metrics = NewMetrics()
	}
	d := &Daemon{set: set, log: set.Logger, clock: set.Clock, peers: newPeers(), newConfig: make(chan struct{}, 1)}
	d.route = &routedLog{direct: set.Log, peers: d.peers, clock: set.Clock, log: set.Logger}
	d.route.onCopy = func() { set.Metrics.Retries.WithLabelValues("append_copy").Inc() }
	d.route.onSilence = func() {
		if d.lead.Load() != nil {
			d.tenure.Resign("the log does not answer this daemon")
		}
	}
	d.tenure = NewTenure(TenureConfig{
		Self:  Leader{Daemon: set.Name, Incarnation: time.Now().UnixNano(), Address: joinPort(set.IP, set.Port)},
		Cores: set.Cores, Log: d.route, Clock: set.Clock, Lead: d.runLead, Logger: set.Logger,
	})
	return d
}

// Run serves the other daemons and follows the log until ctx ends. Leadership is
// given up before Run returns.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", joinPort(d.set.IP, d.set.Port))
	if err != nil {
		return errors.Wrap(err, "listen for daemons")
	}
	mux := drpcmux.New()
	if err := mux.Register(&shape{}, d.service()); err != nil {
		return errors.Wrap(err, "register calls")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Log: func(err error) {
		d.log.Debug().Str("event", "daemon_connection_ended").Err(err).Send()
	}})
	var group sync.WaitGroup
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group.Go(func() {
		if err := server.Serve(serving, listener); err != nil && serving.Err() == nil {
			d.log.Error().Str("event", "daemon_listener_failed").Err(err).Send()
		}
	})
	group.Go(func() { d.watchConfig(ctx) })
	group.Go(func() { d.greet(ctx) })
	d.tenure.Run(ctx)
	stopServing()
	group.Wait()
	return nil
}

func (d *Daemon) service() service {
	return service{
		{rpcSubmit, d.handleSubmit},
		{rpcState, d.handleState},
		{rpcCancel, d.handleCancel},
		{rpcHello, d.handleHello},
		{rpcAsk, d.handleAsk},
		{rpcLog, func(ctx context.Context, c *call) (*reply, error) {
			if c.Log == nil {
				return nil, errkind.New(errkind.BadInput, "log_call", "no call given")
			}
			return serveLog(ctx, d.set.Log, c.Log)
		}},
	}
}

// watchConfig follows the configuration.
func (d *Daemon) watchConfig(ctx context.Context) {
	w := &watcher{
		log: d.route, stream: StreamConfig, longest: configWait, logger: d.log,
		reset: func() {}, done: func() {}, apply: d.applyConfig,
	}
	w.run(ctx)
}

// applyConfig puts a newer configuration in force.
func (d *Daemon) applyConfig(e Entry) {
	if e.Key != d.set.ConfigKey || len(e.Value) == 0 {
		return
	}
	c, err := d.set.Decoder.Config(e.Value)
	if err != nil {
		d.log.Error().Str("event", "config_unreadable").Int64("offset", e.Offset).Err(err).Send()
		return
	}
	old := d.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	d.config.Store(c)
	ev := d.log.Info().Str("event", "config_applied").Int64("version", c.Version).Int64("offset", e.Offset).Int("routes", len(c.Routes))
	if old != nil {
		ev.Int64("replaced", old.Version)
	}
	ev.Send()
	if l := d.lead.Load(); l != nil {
		l.setConfig(c)
	}
	select {
	case d.newConfig <- struct{}{}:
	default:
	}
}

// Config returns the configuration in force, or nil.
func (d *Daemon) Config() *Config { return d.config.Load() }

// Ready reports whether the daemon can serve callers.
func (d *Daemon) Ready() bool {
	if d.draining.Load() || d.config.Load() == nil {
		return false
	}
	if d.lead.Load() != nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaderAt != 0 && d.clock()-d.leaderAt < readyFor
}

// Drain makes the daemon report that it is not ready.
func (d *Daemon) Drain() { d.draining.Store(true) }

// greet reports to the leader, which answers with what this daemon needs to know.
func (d *Daemon) greet(ctx context.Context) {
	refused := 0 // reports in a row to a daemon that does not lead yet
	changed := d.tenure.Changed()
	for wait := time.Duration(0); ctx.Err() == nil; wait = helloEvery {
		if refused > 0 && refused <= helloRetries {
			wait = helloRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-changed: // a new leader needs the other daemons at once
			refused = 0
		case <-time.After(wait):
		}
		changed = d.tenure.Changed() // before the leader is read, so that no change is missed
		l, ok := d.tenure.Leader()
		if !ok || l.Incarnation == d.tenure.cfg.Self.Incarnation {
			continue
		}
		err := d.report(ctx, l)
		if err == nil {
			refused = 0
			continue
		}
		refused++
		if errkind.Of(err) != errkind.NotOwner {
			refused = 0
			d.log.Debug().Str("event", "leader_silent").Str("leader", l.Daemon).Err(err).Send()
		}
	}
}

// report makes one report to the leader and takes its answer over.
func (d *Daemon) report(ctx context.Context, l Leader) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	out, err := d.peers.call(ctx, l.Address, rpcHello, &call{
		Daemon: d.set.Name, Address: joinPort(d.set.IP, d.set.Port), Reach: d.route.reaches(), Cores: d.set.Cores,
	})
	if err != nil {
		return err
	}
	d.route.setRelays(out.Peers)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending, d.pendingAt, d.leaderAt = out.Pending, d.clock(), d.clock()
	return nil
}

// Resign gives leadership up and leaves it to others.
func (d *Daemon) Resign() { d.tenure.Resign("this daemon stops") }
