// Package cell implements the daemon of a cell: a set of hosts and worker machines with one
// scheduler, whose append-only log and machines belong to the users' platform. Every host runs a
// daemon that takes requests of callers. One daemon, the leader, runs the scheduling engine for all
// machines; Tenure decides which one. The others forward requests to it.
package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/connlimit"
	"github.com/sassafraslb/sassafraslb/internal/neterr"
	"github.com/sassafraslb/sassafraslb/sched"
)

// Settings configure a Daemon.
type Settings struct {
	Name           string // of the host; identifies the daemon
	IP             string
	Port           int     // for calls between daemons
	Cores          float64 // processor capacity of the host, 0 if not known
	Log            Log
	Machines       MachineClient
	Advisor        Advisor // nil if no queue has an advisor
	Decoder        Decoder
	ConfigKey      string       // key of the configuration in its stream
	Clock          Clock        // default HostClock
	Engine         sched.Config // Token and Logger are set for each term
	MaxAppendBytes int          // largest append that the log accepts
	// StrictRevoke means that no call is served with a key later than RevokeWithin after the log has
	// acknowledged a configuration without it, also by a daemon that is cut off; see freshness.
	StrictRevoke bool
	RevokeWithin time.Duration // 0 if there is no bound
	// MemoryLimited means that the Go runtime has a soft memory limit, so that the leader may run
	// the garbage collector less often.
	MemoryLimited bool
	// ConnLimits bound the connections for calls between daemons.
	ConnLimits connlimit.Options
	Logger     zerolog.Logger
	Metrics    *Metrics // default NewMetrics()
}

const (
	// registrationInterval is the interval at which daemons register with the leader.
	registrationInterval = 500 * time.Millisecond
	// registrationRetryWait is the interval while the daemon that has claimed leadership does not
	// lead yet: it reads the job state first, and right after that needs the other daemons.
	registrationRetryWait = 80 * time.Millisecond
	// maxQuickRegistrations bounds the attempts in a row at registrationRetryWait.
	maxQuickRegistrations = 12
	// registrationTimeout bounds one registration.
	registrationTimeout = 700 * time.Millisecond
	// readyFor is how long after the leader's last answer to a registration a daemon counts as ready.
	// It is longer than a change of the leader takes.
	readyFor = 2 * time.Second
	// configReadWait is how long one read waits for a new configuration. A configuration has to be
	// in force within 2.5 s, even if a read is lost on a silent link.
	configReadWait = time.Second
	// idleCallTimeout is after how long without a call a connection of another daemon is closed. Daemons close
	// their idle connections after idleConnExpiration, so only other clients meet it.
	idleCallTimeout = 2 * idleConnExpiration
	// keptBufferBytes is the largest write buffer that a connection keeps between calls.
	keptBufferBytes = 64 << 10
)

// Daemon is one daemon of the cell. It serves callers through Submit, State, Cancel and Pending.
type Daemon struct {
	settings    Settings
	logger      zerolog.Logger
	clock       Clock
	conns       *connPool
	platformLog *routedLog
	tenure      *Tenure
	config      atomic.Pointer[Config]
	freshness   *freshness                 // of config
	leadership  atomic.Pointer[leadership] // set while this daemon leads

	mu               sync.Mutex
	pending          map[string]int // jobs without a started task, by queue
	pendingReadAt    time.Duration  // when pending was received
	leaderAnsweredAt time.Duration  // last answer of the leader to a registration
	newConfig        chan struct{}
	draining         atomic.Bool
}

// New returns a Daemon that does nothing until Run is called.
func New(settings Settings) *Daemon {
	if settings.Clock == nil {
		settings.Clock = HostClock
	}
	if settings.Metrics == nil {
		settings.Metrics = NewMetrics()
	}
	d := &Daemon{settings: settings, logger: settings.Logger, clock: settings.Clock, conns: newConnPool(), newConfig: make(chan struct{}, 1)}
	d.freshness = newFreshness(&settings)
	d.platformLog = &routedLog{direct: settings.Log, conns: d.conns, clock: settings.Clock, logger: settings.Logger}
	d.platformLog.onAppendCopy = func() { settings.Metrics.Retries.WithLabelValues("append_copy").Inc() }
	d.platformLog.onOnlyRelayed = func() { d.handOver("the log answers other daemons but not this one", relayedChangesLimit) }
	d.tenure = NewTenure(TenureConfig{
		Self:  Leader{Daemon: settings.Name, Incarnation: time.Now().UnixNano(), Address: joinPort(settings.IP, settings.Port)},
		Cores: settings.Cores, Log: d.platformLog, Clock: settings.Clock, ReachesLog: d.platformLog.reachesLog, Lead: d.runLeadership, Logger: settings.Logger,
	})
	return d
}

// Run serves the other daemons and follows the log until ctx ends. A leader resigns before Run
// returns. An error means that this daemon cannot serve the others, for example because the port for
// calls between daemons is in use; Run then returns at once.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := connlimit.Listen(joinPort(d.settings.IP, d.settings.Port), d.settings.ConnLimits)
	if err != nil {
		return errors.Wrap(err, "listen for daemons")
	}
	mux := drpcmux.New()
	if err := mux.Register(&unaryMethod{}, d.rpcMethods()); err != nil {
		return errors.Wrap(err, "register calls")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{
			InactivityTimeout: idleCallTimeout,
			Reader:            drpcwire.ReaderOptions{MaximumBufferSize: int(d.settings.ConnLimits.MaxMessage)},
			Stream:            drpcstream.Options{MaximumBufferSize: keptBufferBytes},
		},
		Log: func(err error) {
			d.logger.Debug().Str("event", "daemon_connection_ended").Err(neterr.WithoutContent(err)).Send()
		},
	})
	var group sync.WaitGroup
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group.Go(func() {
		if err := server.Serve(serving, listener); err != nil && serving.Err() == nil {
			d.logger.Error().Str("event", "daemon_listener_failed").Err(err).Send()
		}
	})
	group.Go(func() { d.watchConfig(ctx) })
	group.Go(func() { d.watchPermit(ctx) })
	group.Go(func() { d.keepRegistered(ctx) })
	d.tenure.Run(ctx)
	stopServing()
	group.Wait()
	return nil
}

// rpcMethods returns the calls that this daemon serves to other daemons.
func (d *Daemon) rpcMethods() rpcDescription {
	return rpcDescription{
		{rpcSubmit, d.handleSubmit},
		{rpcState, d.handleState},
		{rpcCancel, d.handleCancel},
		{rpcRegister, d.handleRegister},
		{rpcAdvise, d.handleAdvise},
		{rpcLog, func(ctx context.Context, c *call) (*reply, error) {
			if c.Log == nil {
				return nil, errkind.New(errkind.BadInput, "log_call", "the request has no log call")
			}
			return serveLog(ctx, d.settings.Log, c.Log)
		}},
	}
}

// watchConfig applies new configurations until ctx ends.
func (d *Daemon) watchConfig(ctx context.Context) {
	w := &watcher{
		log: d.platformLog, stream: StreamConfig, readWait: configWait(&d.settings), logger: d.logger,
		reset: func() {}, done: func() {}, apply: d.applyConfig, clock: d.clock, current: d.freshness.prove,
	}
	w.run(ctx)
}

// applyConfig puts a configuration in force if it is newer than the active one. It ignores entries of
// other keys, and entries without a value or that cannot be decoded, so a deletion leaves the active
// configuration in force. One that cannot be decoded may remove a key, so it stops the renewal of the permit
// to serve keys until a newer version is applied; an older one in its place does not undo it.
func (d *Daemon) applyConfig(e Entry) {
	if e.Key != d.settings.ConfigKey || len(e.Value) == 0 {
		return
	}
	c, err := d.settings.Decoder.Config(e.Value)
	if err != nil {
		d.logger.Error().Str("event", "config_unreadable").Int64("offset", e.Offset).Err(err).Send()
		d.freshness.setUnreadable(true)
		return
	}
	old := d.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	c.indexKeys(d.logger)
	d.config.Store(c)
	d.freshness.setUnreadable(false)
	ev := d.logger.Info().Str("event", "config_applied").Int64("version", c.Version).Int64("offset", e.Offset).Int("routes", len(c.Routes)).Int("tenants", len(c.Tenants))
	if old != nil {
		ev.Int64("replaced", old.Version)
	}
	ev.Send()
	if l := d.leadership.Load(); l != nil {
		l.setConfig(c)
	}
	select {
	case d.newConfig <- struct{}{}:
	default:
	}
}

// Config returns the configuration in force, or nil if there is none yet.
func (d *Daemon) Config() *Config { return d.config.Load() }

// Ready reports whether the daemon can serve callers: it is not draining, has a configuration, and
// either leads or had an answer of the leader to a registration within readyFor.
func (d *Daemon) Ready() bool {
	if d.draining.Load() || d.config.Load() == nil {
		return false
	}
	if d.leadership.Load() != nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaderAnsweredAt != 0 && d.clock()-d.leaderAnsweredAt < readyFor
}

// Drain makes Ready report false from now on.
func (d *Daemon) Drain() { d.draining.Store(true) }

// keepRegistered registers this daemon with the leader at intervals until ctx ends.
func (d *Daemon) keepRegistered(ctx context.Context) {
	notLeading := 0 // registrations in a row that a daemon refused because it does not lead yet
	changed := d.tenure.Changed()
	for wait := time.Duration(0); ctx.Err() == nil; wait = registrationInterval {
		if notLeading > 0 && notLeading <= maxQuickRegistrations {
			wait = registrationRetryWait
		}
		select {
		case <-ctx.Done():
			return
		case <-changed: // a new leader needs the other daemons soon
			notLeading = 0
		case <-time.After(wait):
		}
		changed = d.tenure.Changed() // before the leader is read, so that no change is missed
		l, ok := d.tenure.Leader()
		if !ok || l.sameProcess(d.tenure.cfg.Self) {
			continue
		}
		err := d.register(ctx, l)
		if err == nil {
			notLeading = 0
			continue
		}
		notLeading++
		if errkind.Of(err) != errkind.NotOwner {
			notLeading = 0
			d.logger.Debug().Str("event", "leader_silent").Str("leader", l.Daemon).Err(err).Send()
		}
	}
}

// register registers this daemon with the leader once. The answer holds the daemons that can relay
// calls to the log, and the number of pending jobs of each queue.
func (d *Daemon) register(ctx context.Context, l Leader) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	out, err := d.conns.call(ctx, l.Address, rpcRegister, &call{
		Daemon: d.settings.Name, Address: joinPort(d.settings.IP, d.settings.Port), ReachesLog: d.platformLog.reachesLog(), Cores: d.settings.Cores,
		LogRoundTripMicros: d.tenure.LogRoundTrip().Microseconds(), Leaving: d.draining.Load(),
	})
	if err != nil {
		return err
	}
	d.platformLog.setRelays(out.Relays)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending, d.pendingReadAt, d.leaderAnsweredAt = out.Pending, d.clock(), d.clock()
	return nil
}

const (
	// openChangesLimit bounds how long a leader that hands over goes on storing the changes of jobs that
	// it has taken. It is a few appends to a slow log.
	openChangesLimit = 1500 * time.Millisecond
	// relayedChangesLimit is the same for a leader that reaches the log only through other daemons: its
	// successor stores changes sooner.
	relayedChangesLimit = 400 * time.Millisecond
)

// Resign ends this daemon's leadership, if it leads, and delays its next claim.
func (d *Daemon) Resign() {
	d.handOver("this daemon stops", openChangesLimit)
	d.tenure.Resign("this daemon stops") // also if it does not lead, so that it does not claim
}

// handOver gives up leadership, if this daemon leads, while it can still use it. The leader first takes
// no new changes of jobs, and stores those that it has taken within limit, so that their callers learn
// the outcome. why is logged.
func (d *Daemon) handOver(why string, limit time.Duration) {
	l := d.leadership.Load()
	if l == nil || !l.leaving.CompareAndSwap(false, true) {
		return
	}
	l.finishChanges(limit)
	d.tenure.Resign(why)
}
