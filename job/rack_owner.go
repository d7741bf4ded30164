package job

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// RackOwnerConfig configures a RackOwner. Zero fields take the defaults given; a field without
// a default is required.
type RackOwnerConfig struct {
	Ownership contract.Ownership
	Peers     link.Peers
	Hosts     upstream.HostList
	Topology  *zone.Topology
	Region    zone.Region
	NewEngine func() Engine // used to choose preemption victims
	Shards    int           // job shards per region, the same in all daemons; default 4

	Lease         time.Duration // of the tasks of a worker, from each renewal on; default 30 s
	RenewEvery    time.Duration // pause between two renewals of a worker; default 5 s
	ProbeEvery    time.Duration // pause between two probes of an unreachable worker; default 1 s
	WorkerTimeout time.Duration // of one command to a worker, and of one report; default 2 s
	// PlaceWait bounds how long the answer to Place and Commit waits until the workers have
	// started the tasks. Later outcomes follow in reports. Default 300 ms.
	PlaceWait      time.Duration
	ReservationTTL time.Duration // time until a gang reservation expires; default 5 s
	ReportEvery    time.Duration // minimum pause between two reports; default 50 ms
	ResendEvery    time.Duration // pause before an end that is not recorded yet is reported again; default 1 s
	HostsEvery     time.Duration // pause between two reads of the host list; default 2 s
	// DeltaBytesPerSecond bounds the changed worker states, the capacity deltas, in all reports
	// of this daemon. Default 2048.
	DeltaBytesPerSecond int
	ClockDrift          float64 // maximum relative drift of a worker's clock; default machine.MaxClockDrift
	// Draining reports whether the configuration takes a worker out of use. Default: it takes
	// none out.
	Draining func(host upstream.Host) bool
	// NewTransport makes the HTTP transport of one worker. Default: the transport of
	// machine.NewWorkerClient, with one connection per worker.
	NewTransport func() http.RoundTripper
	Now          func() time.Time      // default time.Now
	Registerer   prometheus.Registerer // default: the metrics are not registered
	Logger       zerolog.Logger        // default: nothing is logged
}

func (c RackOwnerConfig) withDefaults() RackOwnerConfig {
	setDefault(&c.Shards, 4)
	setDefault(&c.Lease, 30*time.Second)
	setDefault(&c.RenewEvery, 5*time.Second)
	setDefault(&c.ProbeEvery, time.Second)
	setDefault(&c.WorkerTimeout, 2*time.Second)
	setDefault(&c.PlaceWait, 300*time.Millisecond)
	setDefault(&c.ReservationTTL, 5*time.Second)
	setDefault(&c.ReportEvery, 50*time.Millisecond)
	setDefault(&c.ResendEvery, time.Second)
	setDefault(&c.HostsEvery, 2*time.Second)
	setDefault(&c.DeltaBytesPerSecond, 2048)
	setDefault(&c.ClockDrift, machine.MaxClockDrift)
	if c.Draining == nil {
		c.Draining = func(upstream.Host) bool { return false }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// setDefault sets *v to d if it is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// RackOwner is the rack owner of every rack that this daemon owns.
type RackOwner struct {
	cfg            RackOwnerConfig
	hosts          *hostCache
	runners        keyRunners
	deltaBudget    *rate.Limiter
	localScheduler rpc.DRPCJobSchedulerServer
	counts         *counters

	mu           sync.Mutex
	tenures      map[contract.Key]*rackTenure
	victimEngine Engine // only for Victims; guarded by victimEngineMu

	victimEngineMu sync.Mutex
}

var _ rpc.DRPCRackOwnerServer = (*RackOwner)(nil)

// NewRackOwner returns a RackOwner. Register it with rpc.DRPCRegisterRackOwner.
func NewRackOwner(cfg RackOwnerConfig) *RackOwner {
	cfg = cfg.withDefaults()
	return &RackOwner{
		cfg:          cfg,
		hosts:        &hostCache{hosts: cfg.Hosts, topology: cfg.Topology, region: cfg.Region},
		deltaBudget:  rate.NewLimiter(rate.Limit(cfg.DeltaBytesPerSecond), max(4*cfg.DeltaBytesPerSecond, 8192)),
		counts:       newCounters(cfg.Registerer, "rack"),
		tenures:      make(map[contract.Key]*rackTenure),
		victimEngine: cfg.NewEngine(),
	}
}

// Run serves the owned racks until ctx ends, and returns the error of ctx.
func (r *RackOwner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := r.cfg.Ownership.Watch(func(c contract.OwnerChange) {
		if c.Key.Kind() == contract.Rack {
			r.runners.ownershipChanged(ctx, c, r.serve)
		}
	})
	r.hosts.run(ctx, r.cfg.HostsEvery, r.hostsChanged)
	stop()
	cancel()
	r.runners.stopAll()
	return ctx.Err()
}

// hostsChanged updates the workers of all racks after the host list was read.
func (r *RackOwner) hostsChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tenures {
		t.updateWorkers()
	}
}

// serve runs one tenure of a rack until ctx ends.
func (r *RackOwner) serve(ctx context.Context, k contract.Key, e contract.Epoch) {
	t := newRackTenure(ctx, r, k, e)
	r.mu.Lock()
	r.tenures[k] = t
	r.mu.Unlock()
	r.cfg.Logger.Info().Str("event", "rack_taken").Str("rack", string(k)).Uint64("epoch", uint64(e)).Send()
	t.updateWorkers()
	t.run()
	r.mu.Lock()
	if r.tenures[k] == t {
		delete(r.tenures, k)
	}
	r.mu.Unlock()
	t.workersDone.Wait()
	r.cfg.Logger.Info().Str("event", "rack_left").Str("rack", string(k)).Uint64("epoch", uint64(e)).Send()
}

// tenure returns the present tenure of a rack if this daemon may act for it, and an error of
// kind errkind.NotOwner otherwise.
func (r *RackOwner) tenure(rack string) (*rackTenure, error) {
	r.mu.Lock()
	t := r.tenures[contract.Key(rack)]
	r.mu.Unlock()
	if t == nil {
		return nil, errkind.New(errkind.NotOwner, "rack_not_held", "rack %s is not owned by this daemon", rack)
	}
	if _, ok := t.commandDeadline(); !ok {
		return nil, errkind.New(errkind.NotOwner, "tenure_passed", "tenure of rack %s has passed", rack)
	}
	return t, nil
}
