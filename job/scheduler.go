package job

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// SchedulerConfig configures a Scheduler. Zero fields take the defaults given; a field without
// a default is required.
type SchedulerConfig struct {
	Ownership  contract.Ownership
	Peers      link.Peers
	Hosts      upstream.HostList
	Log        upstream.Log
	Topology   *zone.Topology
	Region     zone.Region
	Intentions Intentions
	NewEngine  func() Engine
	Shards     int // job shards per region, the same in all daemons; default 4

	CallTimeout time.Duration // of one call to a rack owner; default 3 s
	RetryPause  time.Duration // pause after a failed call; default 200 ms
	HostsEvery  time.Duration // pause between two reads of the host list; default 2 s
	// AdoptEvery is the pause before a rack with workers whose tasks are not known yet is
	// adopted again. Every adoption lists all tasks of the shard on the rack, so a short
	// pause is expensive. Default 2 s.
	AdoptEvery time.Duration
	// ReconcileEvery is the pause between two comparisons of the jobs with the
	// intentions. Default 1 s.
	ReconcileEvery time.Duration
	// SnapshotAfter is the age of the newest record that holds a whole job at which a
	// snapshot of the job is appended. It must be well below the retention of the log.
	// Default 1 h.
	SnapshotAfter time.Duration
	// EndedRetention is how long ended jobs are remembered, so that a batch does not
	// run twice for one calendar slot. Default 48 h.
	EndedRetention time.Duration
	// MaxProposals is the number of proposed tasks at which one decision of the engine ends.
	// The lock of the shard is held during a decision. Default 256.
	MaxProposals int
	Now          func() time.Time      // default time.Now
	Registerer   prometheus.Registerer // default: the metrics are not registered
	Logger       zerolog.Logger        // default: nothing is logged
}

func (c SchedulerConfig) withDefaults() SchedulerConfig {
	setDefault(&c.Shards, 4)
	setDefault(&c.CallTimeout, 3*time.Second)
	setDefault(&c.RetryPause, 200*time.Millisecond)
	setDefault(&c.HostsEvery, 2*time.Second)
	setDefault(&c.AdoptEvery, 2*time.Second)
	setDefault(&c.ReconcileEvery, time.Second)
	setDefault(&c.SnapshotAfter, time.Hour)
	setDefault(&c.EndedRetention, 48*time.Hour)
	setDefault(&c.MaxProposals, 256)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Scheduler is the job scheduler of every job shard that this daemon owns.
type Scheduler struct {
	cfg            SchedulerConfig
	hosts          *hostCache
	runners        keyRunners
	writer         *upstream.Writer
	localRackOwner rpc.DRPCRackOwnerServer
	counts         *counters

	mu     sync.Mutex
	shards map[contract.Key]*shard
}

var _ rpc.DRPCJobSchedulerServer = (*Scheduler)(nil)

// NewScheduler returns a Scheduler. Register it with rpc.DRPCRegisterJobScheduler.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:    cfg,
		hosts:  &hostCache{hosts: cfg.Hosts, topology: cfg.Topology, region: cfg.Region},
		writer: upstream.NewWriter(upstream.WriterConfig{Log: cfg.Log, Stream: upstream.StreamJobs, Logger: cfg.Logger}),
		counts: newCounters(cfg.Registerer, "scheduler"),
		shards: make(map[contract.Key]*shard),
	}
}

// ConnectInProcess lets the RackOwner and the Scheduler of one daemon call each other
// without the network. Call it before Run.
func ConnectInProcess(r *RackOwner, s *Scheduler) { r.localScheduler, s.localRackOwner = s, r }

// Run serves the owned job shards until ctx ends, and returns the error of ctx.
func (s *Scheduler) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writer sync.WaitGroup
	writer.Go(func() { _ = s.writer.Run(ctx) })
	stop := s.cfg.Ownership.Watch(func(c contract.OwnerChange) {
		if c.Key.Kind() == contract.Jobs {
			s.runners.ownershipChanged(ctx, c, s.serve)
		}
	})
	s.hosts.run(ctx, s.cfg.HostsEvery, s.hostsChanged)
	stop()
	cancel()
	s.runners.stopAll()
	writer.Wait()
	return ctx.Err()
}

// hostsChanged starts sessions for new racks after the host list was read.
func (s *Scheduler) hostsChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sh := range s.shards {
		sh.startSessions()
	}
}

// serve runs one tenure of a job shard until ctx ends.
func (s *Scheduler) serve(ctx context.Context, k contract.Key, e contract.Epoch) {
	sh := newShard(ctx, s, k, e)
	s.mu.Lock()
	s.shards[k] = sh
	s.mu.Unlock()
	s.cfg.Logger.Info().Str("event", "shard_taken").Str("shard", string(k)).Uint64("epoch", uint64(e)).Send()
	sh.run()
	s.mu.Lock()
	if s.shards[k] == sh {
		delete(s.shards, k)
	}
	s.mu.Unlock()
	s.cfg.Logger.Info().Str("event", "shard_left").Str("shard", string(k)).Uint64("epoch", uint64(e)).Send()
}

// shard returns a shard that this daemon may act for and whose replay is complete. The
// error is of kind errkind.NotOwner or errkind.NotReady otherwise.
func (s *Scheduler) shard(key string) (*shard, error) {
	s.mu.Lock()
	sh := s.shards[contract.Key(key)]
	s.mu.Unlock()
	if sh == nil || !sh.tenure() {
		return nil, errkind.New(errkind.NotOwner, "shard_not_held", "job shard %s is not owned by this daemon", key)
	}
	select {
	case <-sh.journal.replayed:
		return sh, nil
	default:
		return nil, errkind.New(errkind.NotReady, "shard_recovering",
			"job shard %s is still reading its records from the log", key)
	}
}

// ShardOf returns the key of the job shard of a team in its home region. shards is the
// number of job shards of that region.
func ShardOf(home zone.Region, team string, shards int) contract.Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return contract.JobsKey(home, int(h.Sum32()%uint32(shards)))
}
