package daemon

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"storj.io/drpc/drpcmux"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/job"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/request"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/settings"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// directLog is the client that calls the log itself. The upstream.Log that link.NewRelayedLog
// returns can also reach the log through other daemons.
type directLog struct{ upstream.Log }

// incarnation tells the starts of one daemon apart: it is the start time in nanoseconds
// since 1970, so a later start has a larger number.
type incarnation uint64

// wire provides all components to a dependency injector and registers the services for
// the other daemons. It opens the listener for the other daemons.
func wire(settings *settings.Settings, log zerolog.Logger) (*do.RootScope, error) {
	i := do.New()
	do.ProvideValue(i, settings)
	do.ProvideValue(i, log)
	do.ProvideValue(i, prometheus.NewRegistry())
	do.ProvideValue(i, incarnation(time.Now().UnixNano()))
	do.ProvideValue(i, &link.ByteCounters{})
	do.Provide(i, func(do.Injector) (*zone.Topology, error) { return settings.Topology() })
	do.Provide(i, func(do.Injector) (*time.Location, error) { return settings.Location() })
	do.Provide(i, provideLinkServer)
	do.Provide(i, provideMembers)
	do.Provide(i, provideDirectLog)
	do.Provide(i, provideLog)
	do.Provide(i, provideRelay)
	do.Provide(i, provideHostList)
	do.Provide(i, provideClaimer)
	do.Provide(i, provideGrants)
	do.Provide(i, provideConfigPeers)
	do.Provide(i, provideConfigStore)
	do.Provide(i, provideConfigPublisher)
	do.Provide(i, provideConfigSnapshotter)
	do.Provide(i, provideRackOwner)
	do.Provide(i, provideJobScheduler)
	do.Provide(i, provideRequestService)
	if err := registerServices(i); err != nil {
		return nil, err
	}
	return i, nil
}

// registerServices builds the components with services for the other daemons, connects
// them, and registers their services with the link server.
func registerServices(i do.Injector) error {
	server, err := do.Invoke[*link.Server](i)
	if err != nil {
		return err
	}
	rackOwner, err := do.Invoke[*job.RackOwner](i)
	if err != nil {
		return err
	}
	scheduler, err := do.Invoke[*job.Scheduler](i)
	if err != nil {
		return err
	}
	job.ConnectInProcess(rackOwner, scheduler)
	requests, err := do.Invoke[*request.Service](i)
	if err != nil {
		return err
	}
	do.MustInvoke[*contract.Grants](i).OnRelease(requests.HandOver)
	if _, err := do.Invoke[*config.Snapshotter](i); err != nil {
		return err
	}
	if err := registerMetrics(i); err != nil {
		return err
	}
	configPeer := config.NewPeerServer(do.MustInvoke[*config.Store](i))
	for _, register := range []func(*drpcmux.Mux) error{
		do.MustInvoke[*link.Membership](i).Register,
		do.MustInvoke[*contract.Claimer](i).Register,
		do.MustInvoke[*link.Relay](i).Register,
		func(m *drpcmux.Mux) error { return rpc.DRPCRegisterConfigPeer(m, configPeer) },
		func(m *drpcmux.Mux) error { return rpc.DRPCRegisterRackOwner(m, rackOwner) },
		func(m *drpcmux.Mux) error { return rpc.DRPCRegisterJobScheduler(m, scheduler) },
		func(m *drpcmux.Mux) error { return requests.Register(m) },
	} {
		if err := server.Register(register); err != nil {
			return errors.Wrap(err, "register service")
		}
	}
	return nil
}

// provideLinkServer opens the listener for the other daemons.
func provideLinkServer(i do.Injector) (*link.Server, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	listener, err := net.Listen("tcp", settings.RPCAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for daemons")
	}
	return link.NewServer(link.ServerConfig{
		Listener: listener, Zone: settings.Zone, Topology: do.MustInvoke[*zone.Topology](i),
		Counters: do.MustInvoke[*link.ByteCounters](i), Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideMembers(i do.Injector) (*link.Membership, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	ownership := &settings.Ownership
	return link.NewMembership(link.Config{
		Self:        link.Member{ID: settings.DaemonID, Address: settings.RPCAddress, Zone: settings.Zone, Region: settings.Region(), State: link.Alive},
		Incarnation: uint64(do.MustInvoke[incarnation](i)),
		Topology:    do.MustInvoke[*zone.Topology](i),
		Counters:    do.MustInvoke[*link.ByteCounters](i),

		HeartbeatInterval: ownership.Heartbeat.Std(),
		SuspectAfter:      ownership.SuspectAfter.Std(),
		EchoTimeout:       ownership.SuspectAfter.Std() / 2,
		Stability:         ownership.Stability.Std(),
		Logger:            do.MustInvoke[zerolog.Logger](i),
	}), nil
}

// countingClient returns an HTTP client whose sent and received bytes are added to counters
// under distance.
func countingClient(counters *link.ByteCounters, distance zone.Distance) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counters.CountConn(conn, distance), nil
		},
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// logDistance returns the network distance from this daemon to the platform's log, and to
// the host list, which is counted alike. Only the region of the log is known, not its zone.
func logDistance(settings *settings.Settings) zone.Distance {
	if settings.Region() == settings.LogRegion {
		return zone.SameRegion
	}
	return zone.CrossRegion
}

func provideDirectLog(i do.Injector) (directLog, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	return directLog{upstream.NewLogClient(upstream.ClientConfig{
		BaseURL: settings.LogURL, Timeout: settings.Platform.LogTimeout.Std(),
		HTTP: countingClient(do.MustInvoke[*link.ByteCounters](i), logDistance(settings)),
	})}, nil
}

func provideLog(i do.Injector) (upstream.Log, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	return link.NewRelayedLog(link.RelayedLogConfig{
		Direct: do.MustInvoke[directLog](i).Log, Peers: do.MustInvoke[*link.Membership](i), LogRegion: settings.LogRegion,
	}), nil
}

func provideRelay(i do.Injector) (*link.Relay, error) {
	return link.NewRelay(link.RelayConfig{
		Direct: do.MustInvoke[directLog](i).Log, Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideHostList(i do.Injector) (upstream.HostList, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	client := upstream.NewHostClient(upstream.ClientConfig{
		BaseURL: settings.HostsURL, HTTP: countingClient(do.MustInvoke[*link.ByteCounters](i), logDistance(settings)),
	})
	return &cachedHostList{source: client, maxAge: settings.Platform.HostsInterval.Std(), log: do.MustInvoke[zerolog.Logger](i)}, nil
}

func provideClaimer(i do.Injector) (*contract.Claimer, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	o := &settings.Ownership
	return contract.NewClaimer(contract.Config{
		Members:           do.MustInvoke[*link.Membership](i),
		Incarnation:       uint64(do.MustInvoke[incarnation](i)),
		Log:               do.MustInvoke[upstream.Log](i),
		Hosts:             do.MustInvoke[upstream.HostList](i),
		Topology:          do.MustInvoke[*zone.Topology](i),
		JobShards:         settings.JobShards,
		IDShards:          settings.IDShards,
		Tenure:            o.Tenure.Std(),
		TakeoverWait:      o.TakeoverWait.Std(),
		ClockDrift:        o.ClockDrift,
		PostIsolationWait: o.SuspectAfter.Std(),
		HostsInterval:     settings.Platform.HostsInterval.Std(),
		SnapshotRecords:   settings.Platform.SnapshotRecords,
		Logger:            do.MustInvoke[zerolog.Logger](i),
	})
}

func provideGrants(i do.Injector) (*contract.Grants, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	return contract.NewGrants(do.MustInvoke[*contract.Claimer](i), contract.GrantsConfig{
		GrantLength: settings.Ownership.IDGrant.Std(), ExtendBefore: settings.Ownership.IDGrant.Std() / 2,
	}), nil
}

func provideConfigPeers(i do.Injector) (*config.Peers, error) {
	return config.NewPeers(config.PeersConfig{Links: do.MustInvoke[*link.Membership](i)})
}

func provideConfigStore(i do.Injector) (*config.Store, error) {
	return config.NewStore(config.StoreConfig{
		Log: do.MustInvoke[upstream.Log](i), Location: do.MustInvoke[*time.Location](i),
		Peers: do.MustInvoke[*config.Peers](i), Logger: do.MustInvoke[zerolog.Logger](i),
		ReadWait: configLongPoll, Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

func provideConfigPublisher(i do.Injector) (*config.Publisher, error) {
	return config.NewPublisher(config.PublisherConfig{
		Store: do.MustInvoke[*config.Store](i), Log: do.MustInvoke[directLog](i).Log,
		Logger: do.MustInvoke[zerolog.Logger](i), Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

func provideConfigSnapshotter(i do.Injector) (*config.Snapshotter, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	return config.NewSnapshotter(config.SnapshotterConfig{
		Store: do.MustInvoke[*config.Store](i), Log: do.MustInvoke[directLog](i).Log,
		EveryRecords: settings.Platform.SnapshotRecords, Logger: do.MustInvoke[zerolog.Logger](i),
	})
}

// nonZero replaces 0 by a value that is too small to have an effect, because the packages
// take 0 for "use the default".
func nonZero(f float64) float64 {
	if f == 0 {
		return math.SmallestNonzeroFloat64
	}
	return f
}

// engineFactory returns a function that creates the placement engine of one job shard.
func engineFactory(settings *settings.Settings) func() job.Engine {
	return func() job.Engine {
		return placement.New(placement.Config{DeclaredSizes: !settings.Tasks.LearnSizes, SizeMargin: nonZero(settings.Tasks.LearnedMargin)})
	}
}

func provideRackOwner(i do.Injector) (*job.RackOwner, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	return job.NewRackOwner(job.RackOwnerConfig{
		Ownership: do.MustInvoke[*contract.Claimer](i), Peers: do.MustInvoke[*link.Membership](i),
		Hosts:    &drainAwareHostList{source: do.MustInvoke[upstream.HostList](i), view: do.MustInvoke[*config.Store](i)},
		Topology: do.MustInvoke[*zone.Topology](i), Region: settings.Region(), NewEngine: engineFactory(settings),
		Shards: settings.JobShards, Lease: settings.Tasks.Lease.Std(), RenewEvery: settings.Tasks.RenewInterval.Std(),
		HostsEvery: settings.Platform.HostsInterval.Std(), ClockDrift: settings.Ownership.ClockDrift,
		Registerer: do.MustInvoke[*prometheus.Registry](i), Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideJobScheduler(i do.Injector) (*job.Scheduler, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	return job.NewScheduler(job.SchedulerConfig{
		Ownership: do.MustInvoke[*contract.Claimer](i), Peers: do.MustInvoke[*link.Membership](i),
		Hosts: do.MustInvoke[upstream.HostList](i), Log: do.MustInvoke[directLog](i).Log,
		Topology: do.MustInvoke[*zone.Topology](i), Region: settings.Region(),
		Intentions: &configIntentions{view: do.MustInvoke[*config.Store](i), location: do.MustInvoke[*time.Location](i)},
		NewEngine:  engineFactory(settings), Shards: settings.JobShards, HostsEvery: settings.Platform.HostsInterval.Std(),
		Registerer: do.MustInvoke[*prometheus.Registry](i), Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideRequestService(i do.Injector) (*request.Service, error) {
	settings := do.MustInvoke[*settings.Settings](i)
	cfg := requestConfig(&settings.Requests)
	cfg.Peers, cfg.Ownership = do.MustInvoke[*link.Membership](i), do.MustInvoke[*contract.Claimer](i)
	cfg.Grants, cfg.View = do.MustInvoke[*contract.Grants](i), do.MustInvoke[*config.Store](i)
	cfg.Hosts = &drainAwareHostList{source: do.MustInvoke[upstream.HostList](i), view: do.MustInvoke[*config.Store](i)}
	cfg.Topology, cfg.Log = do.MustInvoke[*zone.Topology](i), do.MustInvoke[zerolog.Logger](i)
	cfg.Metrics, cfg.Shards = do.MustInvoke[*prometheus.Registry](i), settings.IDShards
	cfg.HostsInterval = settings.Platform.HostsInterval.Std()
	return request.New(cfg)
}

// requestConfig returns the fields of request.Config that come from the settings of requests.
// provideRequestService adds the others.
func requestConfig(r *settings.Requests) request.Config {
	cfg := request.Config{
		DefaultDeadline: r.DefaultDeadline.Std(),
		MaxBodyBytes:    int(r.MaxBodyBytes),
		MaxAnswerBytes:  int(r.MaxAnswerBytes),
		QueuePerSlot:    r.QueuePerSlot,
		CrossRegionWait: max(r.CrossRegionWait.Std(), time.Nanosecond), // 0 would mean the default
		ProbeInterval:   r.ProbeInterval.Std(),
		SilentAfter:     r.SilentAfter.Std(),
		RetryRatio:      nonZero(r.RetryBudget),
	}
	if r.RetryBudget == 0 {
		cfg.RetryBurst = nonZero(0) // the default allows 20 retries before RetryRatio limits them
	}
	return cfg
}
