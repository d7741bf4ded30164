package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Config configures a Service. The first group of fields is required; a zero value
// of any other field means its default.
type Config struct {
	Peers     link.Peers
	Ownership contract.Ownership
	Grants    Grants
	Hosts     upstream.HostList
	View      config.View
	Topology  *zone.Topology

	Log     zerolog.Logger
	Metrics prometheus.Registerer // default: a new registry
	Seed    uint64                // of random choices, but not of ids; default random

	Shards          int           // id shards per region, the same at all daemons; default 4
	DefaultDeadline time.Duration // default 30 s
	MaxDeadline     time.Duration // later deadlines are shortened to it; default 5 min
	MaxBodyBytes    int           // default 1 MiB
	MaxAnswerBytes  int           // default 8 MiB
	MaxOpenCalls    int           // open calls accepted by this entry; default 20000

	ExecutorConns   int           // connections for runs per executor; default 16
	QueuePerSlot    int           // longest queue of a group, in calls per slot; default 8
	CrossRegionWait time.Duration // least wait saved that justifies another region; default 50 ms
	CrossZoneWait   time.Duration // least wait saved that justifies another zone; default 2 ms

	HostsInterval            time.Duration // between reads of the host list; default 500 ms
	ProbeInterval            time.Duration // between empty frames on open calls, and between hellos to an executor; default 1 s
	SilentAfter              time.Duration // no data for this long makes a link silent and ends its calls; default 3 s
	LoadReportInterval       time.Duration // between load reports; default 200 ms
	LoadReportBytesPerSecond int           // upper limit for load reports sent; default 1024

	MaxAttempts      int           // attempts per call; default 4
	RetryRatio       float64       // retries allowed per call, over time; default 0.1
	RetryBurst       float64       // retries that can be saved up; default 20
	RetryBaseBackoff time.Duration // mean backoff before the first retry; doubles per attempt; default 5 ms

	MaxOwnerWait time.Duration // longest wait for a new owner of an id shard; default 5 s, the target time of a takeover

	EjectAfterFailures int           // consecutive failures that eject an executor; default 5
	EjectSlowFactor    float64       // run time, as a multiple of the group median, that ejects; default 4
	MaxEjectedShare    float64       // largest share of the executors of a group that may be ejected or on trial; default 1/3
	BaseEjectionTime   time.Duration // of the first ejection; doubles up to 16 times this; default 5 s

	RecordRetention    time.Duration // how long a recorder remembers an id; default 10 min
	MaxRecordedIDs     int           // ids that a recorder remembers; default 1<<20
	MaxKeptAnswerBytes int64         // total of the answers that a recorder keeps; default 32 MiB
}

// orDefault sets *v to d if it has the zero value of its type.
func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// setDefaults sets the default of every field that is zero. It returns an error if a
// required field is missing.
func (c *Config) setDefaults() error {
	if c.Peers == nil || c.Ownership == nil || c.Grants == nil || c.Hosts == nil || c.View == nil || c.Topology == nil {
		return errors.New("request: Peers, Ownership, Grants, Hosts, View and Topology are required")
	}
	if c.Metrics == nil {
		c.Metrics = prometheus.NewRegistry()
	}
	orDefault(&c.Seed, rand.Uint64())
	orDefault(&c.Shards, 4)
	orDefault(&c.DefaultDeadline, 30*time.Second)
	orDefault(&c.MaxDeadline, 5*time.Minute)
	orDefault(&c.MaxBodyBytes, 1<<20)
	orDefault(&c.MaxAnswerBytes, 8<<20)
	orDefault(&c.MaxOpenCalls, 20000)
	orDefault(&c.ExecutorConns, 16)
	orDefault(&c.QueuePerSlot, 8)
	orDefault(&c.CrossRegionWait, 50*time.Millisecond)
	orDefault(&c.CrossZoneWait, 2*time.Millisecond)
	orDefault(&c.HostsInterval, 500*time.Millisecond)
	orDefault(&c.ProbeInterval, time.Second)
	orDefault(&c.SilentAfter, 3*time.Second)
	orDefault(&c.LoadReportInterval, 200*time.Millisecond)
	orDefault(&c.LoadReportBytesPerSecond, 1024)
	orDefault(&c.MaxAttempts, 4)
	orDefault(&c.RetryRatio, 0.1)
	orDefault(&c.RetryBurst, 20)
	orDefault(&c.RetryBaseBackoff, 5*time.Millisecond)
	orDefault(&c.MaxOwnerWait, 5*time.Second)
	orDefault(&c.EjectAfterFailures, 5)
	orDefault(&c.EjectSlowFactor, 4)
	orDefault(&c.MaxEjectedShare, 1.0/3)
	orDefault(&c.BaseEjectionTime, 5*time.Second)
	orDefault(&c.RecordRetention, 10*time.Minute)
	orDefault(&c.MaxRecordedIDs, 1<<20)
	orDefault(&c.MaxKeptAnswerBytes, 32<<20)
	return nil
}

// lockedRand is a seeded source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRand(seed uint64) *lockedRand { return &lockedRand{rng: rand.New(rand.NewPCG(seed, 1))} }

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

func (l *lockedRand) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// coprimeStep returns a random number in 1 to n-1 that is coprime to n. Steps of
// this size modulo n visit all of 0 to n-1. n must be at least 2.
func (l *lockedRand) coprimeStep(n int) int {
	for {
		s := 1 + l.intN(n-1)
		a, b := n, s
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return s
		}
	}
}
