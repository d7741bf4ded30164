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

// SchedulerConfig configures a Scheduler. Zero fields take the defaults given.
type SchedulerConfig struct {
	Ownership  contract.Ownership
	Peers      link.Peers
	Hosts      upstream.HostList
	Log        upstream.Log
	Topology   *zone.Topology
	Region     zone.Region
	Intentions Intentions
	NewEngine  func() Engine
	Shards     int // job shards per region; default 4

	CallTimeout time.Duration // of one call to a rack owner; default 3 s
	RetryPause  time.Duration // pause after a failed call; default 200 ms
	HostsEvery  time.Duration // default 2 s
	// AdoptEvery is how often a rack with workers whose tasks are not known is
	// asked again. An answer lists all tasks of the shard, so it is not sent more
	// often. Default 2 s.
	AdoptEvery time.Duration
	// ReconcileEvery is the pause between two comparisons with the intentions. Default 1 s.
	ReconcileEvery time.Duration
	// SnapshotAfter is the age at which the record of an open job is appended anew,
	// well below the retention of the log. Default 1 h.
	SnapshotAfter time.Duration
	// EndedRetention is how long ended jobs are remembered, so that a batch does not
	// run twice for one calendar slot. Default 48 h.
	EndedRetention time.Duration
	// MaxProposals bounds the proposals of one decision, which holds the lock of
	// the shard. Default 256.
	MaxProposals int
	Now          func() time.Time
	Registerer   prometheus.Registerer
	Logger       zerolog.Logger
}

func (c SchedulerConfig) withDefaults() SchedulerConfig {
	def(&c.Shards, 4)
	def(&c.CallTimeout, 3*time.Second)
	def(&c.RetryPause, 200*time.Millisecond)
	def(&c.HostsEvery, 2*time.Second)
	def(&c.AdoptEvery, 2*time.Second)
	def(&c.ReconcileEvery, time.Second)
	def(&c.SnapshotAfter, time.Hour)
	def(&c.EndedRetention, 48*time.Hour)
	def(&c.MaxProposals, 256)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Scheduler is the job scheduler of every job shard that this daemon holds.
type Scheduler struct {
	cfg    SchedulerConfig
	fleet  *fleet
	holder holder
	writer *upstream.Writer
	local  rpc.DRPCRackOwnerServer
	counts *counters

	mu     sync.Mutex
	shards map[contract.Key]*shard
}

var _ rpc.DRPCJobSchedulerServer = (*Scheduler)(nil)

// NewScheduler returns a Scheduler. Register it with rpc.DRPCRegisterJobScheduler.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg = cfg.withDefaults()
	return &Scheduler{
		cfg:    cfg,
		fleet:  &fleet{hosts: cfg.Hosts, topology: cfg.Topology, region: cfg.Region},
		writer: upstream.NewWriter(upstream.WriterConfig{Log: cfg.Log, Stream: upstream.StreamJobs, Logger: cfg.Logger}),
		counts: newCounters(cfg.Registerer, "scheduler"),
		shards: make(map[contract.Key]*shard),
	}
}

// ConnectInProcess lets the RackOwner and the Scheduler of one daemon call each other
// without the network.
// Call it before Run.
func ConnectInProcess(r *RackOwner, s *Scheduler) { r.local, s.local = s, r }

// Run serves the job shards held until ctx ends.
func (s *Scheduler) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var writer sync.WaitGroup
	writer.Go(func() { _ = s.writer.Run(ctx) })
	stop := s.cfg.Ownership.Watch(func(c contract.Change) {
		if c.Key.Kind() == contract.Jobs {
			s.holder.change(ctx, c, s.serve)
		}
	})
	s.fleet.run(ctx, s.cfg.HostsEvery, s.hostsChanged)
	stop()
	cancel()
	s.holder.stopAll()
	writer.Wait()
	return ctx.Err()
}

func (s *Scheduler) hostsChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sh := range s.shards {
		sh.setRacks()
	}
}

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

// shard returns a shard that this daemon may act for and that has read its records.
func (s *Scheduler) shard(key string) (*shard, error) {
	s.mu.Lock()
	sh := s.shards[contract.Key(key)]
	s.mu.Unlock()
	if sh == nil || !sh.tenure() {
		return nil, errkind.New(errkind.NotOwner, "shard_not_held", "job shard %s is not held here", key)
	}
	select {
	case <-sh.journal.folded:
		return sh, nil
	default:
		return nil, errkind.New(errkind.NotReady, "shard_recovering", "job shard %s reads its records", key)
	}
}

// ShardOf returns the key of the job shard of a team.
func ShardOf(home zone.Region, team string, shards int) contract.Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return contract.JobsKey(home, int(h.Sum32()%uint32(shards)))
}
