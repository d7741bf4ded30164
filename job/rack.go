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

// RackOwnerConfig configures a RackOwner. Zero fields take the defaults given.
type RackOwnerConfig struct {
	Ownership contract.Ownership
	Peers     link.Peers
	Hosts     upstream.HostList
	Topology  *zone.Topology
	Region    zone.Region
	NewEngine func() Engine // used to choose preemption victims
	Shards    int           // job shards per region; default 4

	Lease         time.Duration // default 30 s
	RenewEvery    time.Duration // default 5 s
	ProbeEvery    time.Duration // retry of an unreachable worker; default 1 s
	WorkerTimeout time.Duration // of one command to a worker; default 2 s
	// PlaceWait bounds how long an answer to a job scheduler waits for workers;
	// later outcomes are reported. Default 300 ms.
	PlaceWait      time.Duration
	ReservationTTL time.Duration // of a gang reservation; default 5 s
	ReportEvery    time.Duration // least pause between two passes of reports; default 50 ms
	ResendEvery    time.Duration // repeat of an unsettled end; default 1 s
	HostsEvery     time.Duration // default 2 s
	// DeltaBytesPerSecond bounds the capacity deltas of this daemon. Default 2048.
	DeltaBytesPerSecond int
	ClockDrift          float64 // default machine.ClockDrift
	// Draining reports whether the configuration takes a worker out of use.
	// Default: none.
	Draining func(h upstream.Host) bool
	// NewTransport makes the HTTP transport of one worker. Default: one
	// connection per worker.
	NewTransport func() http.RoundTripper
	Now          func() time.Time
	Registerer   prometheus.Registerer
	Logger       zerolog.Logger
}

func (c RackOwnerConfig) withDefaults() RackOwnerConfig {
	def(&c.Shards, 4)
	def(&c.Lease, 30*time.Second)
	def(&c.RenewEvery, 5*time.Second)
	def(&c.ProbeEvery, time.Second)
	def(&c.WorkerTimeout, 2*time.Second)
	def(&c.PlaceWait, 300*time.Millisecond)
	def(&c.ReservationTTL, 5*time.Second)
	def(&c.ReportEvery, 50*time.Millisecond)
	def(&c.ResendEvery, time.Second)
	def(&c.HostsEvery, 2*time.Second)
	def(&c.DeltaBytesPerSecond, 2048)
	def(&c.ClockDrift, machine.MaxClockDrift)
	if c.Draining == nil {
		c.Draining = func(upstream.Host) bool { return false }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func def[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// RackOwner is the rack owner of every rack that this daemon owns.
type RackOwner struct {
	cfg    RackOwnerConfig
	fleet  *fleet
	holder holder
	budget *rate.Limiter
	local  rpc.DRPCJobSchedulerServer
	counts *counters

	mu      sync.Mutex
	tenures map[contract.Key]*rackTenure
	engine  Engine // only Victims, under engineMu

	engineMu sync.Mutex
}

var _ rpc.DRPCRackOwnerServer = (*RackOwner)(nil)

// NewRackOwner returns a RackOwner. Register it with rpc.DRPCRegisterRackOwner.
func NewRackOwner(cfg RackOwnerConfig) *RackOwner {
	cfg = cfg.withDefaults()
	return &RackOwner{
		cfg:     cfg,
		fleet:   &fleet{hosts: cfg.Hosts, topology: cfg.Topology, region: cfg.Region},
		budget:  rate.NewLimiter(rate.Limit(cfg.DeltaBytesPerSecond), max(4*cfg.DeltaBytesPerSecond, 8192)),
		counts:  newCounters(cfg.Registerer, "rack"),
		tenures: make(map[contract.Key]*rackTenure),
		engine:  cfg.NewEngine(),
	}
}

// Run serves the racks held until ctx ends.
func (r *RackOwner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := r.cfg.Ownership.Watch(func(c contract.Change) {
		if c.Key.Kind() == contract.Rack {
			r.holder.change(ctx, c, r.serve)
		}
	})
	r.fleet.run(ctx, r.cfg.HostsEvery, r.hostsChanged)
	stop()
	cancel()
	r.holder.stopAll()
	return ctx.Err()
}

func (r *RackOwner) hostsChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tenures {
		t.setHosts()
	}
}

// serve runs one tenure of a rack until ctx ends.
func (r *RackOwner) serve(ctx context.Context, k contract.Key, e contract.Epoch) {
	t := newRackTenure(ctx, r, k, e)
	r.mu.Lock()
	r.tenures[k] = t
	r.mu.Unlock()
	r.cfg.Logger.Info().Str("event", "rack_taken").Str("rack", string(k)).Uint64("epoch", uint64(e)).Send()
	t.setHosts()
	t.run()
	r.mu.Lock()
	if r.tenures[k] == t {
		delete(r.tenures, k)
	}
	r.mu.Unlock()
	t.workersDone.Wait()
	r.cfg.Logger.Info().Str("event", "rack_left").Str("rack", string(k)).Uint64("epoch", uint64(e)).Send()
}

// tenure returns the running tenure of a rack if this daemon may act for it.
func (r *RackOwner) tenure(rack string) (*rackTenure, error) {
	r.mu.Lock()
	t := r.tenures[contract.Key(rack)]
	r.mu.Unlock()
	if t == nil {
		return nil, errkind.New(errkind.NotOwner, "rack_not_held", "rack %s is not held here", rack)
	}
	if _, ok := t.deadline(); !ok {
		return nil, errkind.New(errkind.NotOwner, "tenure_passed", "tenure of rack %s has passed", rack)
	}
	return t, nil
}
