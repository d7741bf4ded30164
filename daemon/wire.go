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

// directLog is the log without relay.
type directLog struct{ upstream.Log }

// incarnation grows with every start of the daemon.
type incarnation uint64

// wire provides all parts and registers the services for the other daemons.
func wire(set *settings.Settings, log zerolog.Logger) (*do.RootScope, error) {
	i := do.New()
	do.ProvideValue(i, set)
	do.ProvideValue(i, log)
	do.ProvideValue(i, prometheus.NewRegistry())
	do.ProvideValue(i, incarnation(time.Now().UnixNano()))
	do.ProvideValue(i, &link.Counters{})
	do.Provide(i, func(do.Injector) (*zone.Topology, error) { return set.Topology() })
	do.Provide(i, func(do.Injector) (*time.Location, error) { return set.Location() })
	do.Provide(i, provideLinkServer)
	do.Provide(i, provideMembers)
	do.Provide(i, provideDirectLog)
	do.Provide(i, provideLog)
	do.Provide(i, provideRelay)
	do.Provide(i, provideHosts)
	do.Provide(i, provideClaimer)
	do.Provide(i, provideGrants)
	do.Provide(i, provideConfigPeers)
	do.Provide(i, provideStore)
	do.Provide(i, providePublisher)
	do.Provide(i, provideSnapshotter)
	do.Provide(i, provideRack)
	do.Provide(i, provideScheduler)
	do.Provide(i, provideRequests)
	if err := registerServices(i); err != nil {
		return nil, err
	}
	return i, nil
}

// registerServices builds every part and adds its services to the link server.
func registerServices(i do.Injector) error {
	server, err := do.Invoke[*link.Server](i)
	if err != nil {
		return err
	}
	rack, err := do.Invoke[*job.RackOwner](i)
	if err != nil {
		return err
	}
	scheduler, err := do.Invoke[*job.Scheduler](i)
	if err != nil {
		return err
	}
	job.ConnectInProcess(rack, scheduler)
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
	peer := config.NewPeerServer(do.MustInvoke[*config.Store](i))
	for _, add := range []func(*drpcmux.Mux) error{
		do.MustInvoke[*link.Members](i).Register,
		do.MustInvoke[*contract.Claimer](i).Register,
		do.MustInvoke[*link.Relay](i).Register,
		func(m *drpcmux.Mux) error { return rpc.DRPCRegisterConfigPeer(m, peer) },
		func(m *drpcmux.Mux) error { return rpc.DRPCRegisterRackOwner(m, rack) },
		func(m *drpcmux.Mux) error { return rpc.DRPCRegisterJobScheduler(m, scheduler) },
		func(m *drpcmux.Mux) error { return requests.Register(m) },
	} {
		if err := server.Register(add); err != nil {
			return errors.Wrap(err, "register service")
		}
	}
	return nil
}

func provideLinkServer(i do.Injector) (*link.Server, error) {
	set := do.MustInvoke[*settings.Settings](i)
	l, err := net.Listen("tcp", set.RPCAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for daemons")
	}
	return link.NewServer(link.ServerConfig{
		Listener: l, Zone: set.Zone, Topology: do.MustInvoke[*zone.Topology](i),
		Counters: do.MustInvoke[*link.Counters](i), Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideMembers(i do.Injector) (*link.Members, error) {
	set := do.MustInvoke[*settings.Settings](i)
	o := &set.Ownership
	return link.NewMembers(link.Config{
		Self:        link.Member{ID: set.DaemonID, Address: set.RPCAddress, Zone: set.Zone, Region: set.Region(), State: link.Alive},
		Incarnation: uint64(do.MustInvoke[incarnation](i)),
		Topology:    do.MustInvoke[*zone.Topology](i),
		Counters:    do.MustInvoke[*link.Counters](i),

		HeartbeatInterval: o.Heartbeat.Std(),
		SuspectAfter:      o.SuspectAfter.Std(),
		SilentAfter:       o.SuspectAfter.Std() / 2,
		Stability:         o.Stability.Std(),
		Logger:            do.MustInvoke[zerolog.Logger](i),
	}), nil
}

// countingClient returns an HTTP client whose bytes are counted at distance d.
func countingClient(c *link.Counters, d zone.Distance) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c.Count(conn, d), nil
		},
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     90 * time.Second,
	}}
}

// logDistance is how far the log is from this daemon. Its zone is not known.
func logDistance(set *settings.Settings) zone.Distance {
	if set.Region() == set.LogRegion {
		return zone.SameRegion
	}
	return zone.CrossRegion
}

func provideDirectLog(i do.Injector) (directLog, error) {
	set := do.MustInvoke[*settings.Settings](i)
	return directLog{upstream.NewLogClient(upstream.ClientConfig{
		BaseURL: set.LogURL, Timeout: set.Platform.LogTimeout.Std(),
		HTTP: countingClient(do.MustInvoke[*link.Counters](i), logDistance(set)),
	})}, nil
}

func provideLog(i do.Injector) (upstream.Log, error) {
	set := do.MustInvoke[*settings.Settings](i)
	return link.NewLog(link.LogConfig{
		Direct: do.MustInvoke[directLog](i).Log, Peers: do.MustInvoke[*link.Members](i), LogRegion: set.LogRegion,
	}), nil
}

func provideRelay(i do.Injector) (*link.Relay, error) {
	return link.NewRelay(link.RelayConfig{
		Direct: do.MustInvoke[directLog](i).Log, Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideHosts(i do.Injector) (upstream.HostList, error) {
	set := do.MustInvoke[*settings.Settings](i)
	client := upstream.NewHostClient(upstream.ClientConfig{
		BaseURL: set.HostsURL, HTTP: countingClient(do.MustInvoke[*link.Counters](i), logDistance(set)),
	})
	return &cachedHosts{from: client, every: set.Platform.HostsEvery.Std(), log: do.MustInvoke[zerolog.Logger](i)}, nil
}

func provideClaimer(i do.Injector) (*contract.Claimer, error) {
	set := do.MustInvoke[*settings.Settings](i)
	o := &set.Ownership
	return contract.NewClaimer(contract.Config{
		Members:           do.MustInvoke[*link.Members](i),
		Incarnation:       uint64(do.MustInvoke[incarnation](i)),
		Log:               do.MustInvoke[upstream.Log](i),
		Hosts:             do.MustInvoke[upstream.HostList](i),
		Topology:          do.MustInvoke[*zone.Topology](i),
		JobShards:         set.JobShards,
		IDShards:          set.IDShards,
		Tenure:            o.Tenure.Std(),
		TakeoverWait:      o.TakeoverWait.Std(),
		ClockDrift:        o.ClockDrift,
		PostIsolationWait: o.SuspectAfter.Std(),
		HostsInterval:     set.Platform.HostsEvery.Std(),
		SnapshotRecords:   set.Platform.SnapshotEach,
		Logger:            do.MustInvoke[zerolog.Logger](i),
	})
}

func provideGrants(i do.Injector) (*contract.Grants, error) {
	set := do.MustInvoke[*settings.Settings](i)
	return contract.NewGrants(do.MustInvoke[*contract.Claimer](i), contract.GrantsConfig{
		GrantLength: set.Ownership.IDGrant.Std(), ExtendBefore: set.Ownership.IDGrant.Std() / 2,
	}), nil
}

func provideConfigPeers(i do.Injector) (*config.Peers, error) {
	return config.NewPeers(config.PeersConfig{Links: do.MustInvoke[*link.Members](i)})
}

func provideStore(i do.Injector) (*config.Store, error) {
	return config.NewStore(config.StoreConfig{
		Log: do.MustInvoke[upstream.Log](i), Location: do.MustInvoke[*time.Location](i),
		Peers: do.MustInvoke[*config.Peers](i), Logger: do.MustInvoke[zerolog.Logger](i),
		ReadWait: configReadWait, Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

func providePublisher(i do.Injector) (*config.Publisher, error) {
	return config.NewPublisher(config.PublisherConfig{
		Store: do.MustInvoke[*config.Store](i), Log: do.MustInvoke[directLog](i).Log,
		Logger: do.MustInvoke[zerolog.Logger](i), Registerer: do.MustInvoke[*prometheus.Registry](i),
	})
}

func provideSnapshotter(i do.Injector) (*config.Snapshotter, error) {
	set := do.MustInvoke[*settings.Settings](i)
	return config.NewSnapshotter(config.SnapshotterConfig{
		Store: do.MustInvoke[*config.Store](i), Log: do.MustInvoke[directLog](i).Log,
		EveryRecords: set.Platform.SnapshotEach, Logger: do.MustInvoke[zerolog.Logger](i),
	})
}

// nonZero replaces 0, which the packages take for their default, by a value that is too small to have an effect.
func nonZero(f float64) float64 {
	if f == 0 {
		return math.SmallestNonzeroFloat64
	}
	return f
}

// newEngine returns the placement policy of one job shard.
func newEngine(set *settings.Settings) func() job.Engine {
	return func() job.Engine {
		return placement.New(placement.Config{DeclaredSizes: !set.Tasks.LearnSizes, SizeMargin: nonZero(set.Tasks.Margin)})
	}
}

func provideRack(i do.Injector) (*job.RackOwner, error) {
	set := do.MustInvoke[*settings.Settings](i)
	return job.NewRackOwner(job.RackOwnerConfig{
		Ownership: do.MustInvoke[*contract.Claimer](i), Peers: do.MustInvoke[*link.Members](i),
		Hosts:    &drainedHosts{from: do.MustInvoke[upstream.HostList](i), view: do.MustInvoke[*config.Store](i)},
		Topology: do.MustInvoke[*zone.Topology](i), Region: set.Region(), NewEngine: newEngine(set),
		Shards: set.JobShards, Lease: set.Tasks.Lease.Std(), RenewEvery: set.Tasks.Renew.Std(),
		HostsEvery: set.Platform.HostsEvery.Std(), ClockDrift: set.Ownership.ClockDrift,
		Registerer: do.MustInvoke[*prometheus.Registry](i), Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideScheduler(i do.Injector) (*job.Scheduler, error) {
	set := do.MustInvoke[*settings.Settings](i)
	return job.NewScheduler(job.SchedulerConfig{
		Ownership: do.MustInvoke[*contract.Claimer](i), Peers: do.MustInvoke[*link.Members](i),
		Hosts: do.MustInvoke[upstream.HostList](i), Log: do.MustInvoke[directLog](i).Log,
		Topology: do.MustInvoke[*zone.Topology](i), Region: set.Region(),
		Intentions: &intentions{view: do.MustInvoke[*config.Store](i), loc: do.MustInvoke[*time.Location](i)},
		NewEngine:  newEngine(set), Shards: set.JobShards, HostsEvery: set.Platform.HostsEvery.Std(),
		Registerer: do.MustInvoke[*prometheus.Registry](i), Logger: do.MustInvoke[zerolog.Logger](i),
	}), nil
}

func provideRequests(i do.Injector) (*request.Service, error) {
	set := do.MustInvoke[*settings.Settings](i)
	cfg := requestLimits(&set.Requests)
	cfg.Peers, cfg.Ownership = do.MustInvoke[*link.Members](i), do.MustInvoke[*contract.Claimer](i)
	cfg.Grants, cfg.View = do.MustInvoke[*contract.Grants](i), do.MustInvoke[*config.Store](i)
	cfg.Hosts = &drainedHosts{from: do.MustInvoke[upstream.HostList](i), view: do.MustInvoke[*config.Store](i)}
	cfg.Topology, cfg.Log = do.MustInvoke[*zone.Topology](i), do.MustInvoke[zerolog.Logger](i)
	cfg.Metrics, cfg.Shards = do.MustInvoke[*prometheus.Registry](i), set.IDShards
	cfg.HostsInterval = set.Platform.HostsEvery.Std()
	return request.New(cfg)
}

// requestLimits returns the part of the configuration of requests that comes from their settings alone.
func requestLimits(r *settings.Requests) request.Config {
	cfg := request.Config{
		DefaultDeadline: r.DefaultDeadline.Std(),
		MaxBodyBytes:    int(r.MaxBodyBytes),
		MaxAnswerBytes:  int(r.MaxAnswerBytes),
		QueuePerSlot:    r.QueuePerSlot,
		CrossRegionWait: max(r.CrossRegionWait.Std(), time.Nanosecond), // 0 would be the default
		ProbeInterval:   r.ProbeEvery.Std(),
		SilentAfter:     r.SilentAfter.Std(),
		RetryRatio:      nonZero(r.RetryBudget),
	}
	if r.RetryBudget == 0 {
		cfg.RetryBurst = nonZero(0) // the default allows 20 retries before the share counts
	}
	return cfg
}
