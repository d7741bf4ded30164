package contract

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Membership is what a Claimer needs of link.Members.
type Membership interface {
	link.Peers
	// Eligible reports whether the daemon is alive and past its stability time.
	Eligible(id string) bool
	// HeardSince reports whether a sign of life of the daemon has arrived after t.
	HeardSince(id string, t time.Time) bool
	// UpdateMembers adds or updates daemons.
	UpdateMembers(known ...link.Member)
}

// Config configures a Claimer.
type Config struct {
	Members     Membership        // required
	Incarnation uint64            // the same as that of Members; required
	Log         upstream.Log      // required; may be a link.Log
	Hosts       upstream.HostList // required
	Topology    *zone.Topology    // required
	// JobShards and IDShards are the numbers of shards per region. Default 4 each.
	JobShards, IDShards int
	// Tenure is how long a confirmation lasts. Default 1.5 s.
	Tenure time.Duration
	// TakeoverWait is the time between read-back of a claim and the first command.
	// It must be greater than Tenure x (1 + Drift). Default 2 s.
	TakeoverWait time.Duration
	// Drift is the largest drift between two monotonic clocks. Default 0.01.
	Drift float64
	// RankDelay is the wait per rank before a claim. Default 300 ms.
	RankDelay time.Duration
	// ReturnWait is how long a daemon that has been isolated claims nothing, so that
	// it hears all its peers again first. Default 1.5 s, the suspicion time of link.Members.
	ReturnWait time.Duration
	// Tick is the time between two decisions. Default 100 ms.
	Tick time.Duration
	// PollWait is the long poll of the log. Below a third of Tenure. Default 300 ms.
	PollWait time.Duration
	// HostsInterval is the time between two reads of the host list. Default 2 s.
	HostsInterval time.Duration
	// BalanceInterval is the time between two handovers for balance or updates of
	// the electorate. Default 5 s.
	BalanceInterval time.Duration
	// HandoverBatch is the number of keys handed over at a time. Default 4.
	HandoverBatch int
	// SnapshotRecords and SnapshotInterval trigger a snapshot. They must be well
	// below the retention of the log. Defaults 1000 and 1 min.
	SnapshotRecords  int
	SnapshotInterval time.Duration
	// SettleTimeout is the Writer's. Default 3 s.
	SettleTimeout time.Duration
	// Linger is the Writer's. Default 5 ms.
	Linger time.Duration
	Logger zerolog.Logger
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		d   *time.Duration
		def time.Duration
	}{
		{&c.Tenure, 1500 * time.Millisecond}, {&c.TakeoverWait, 2 * time.Second},
		{&c.RankDelay, 300 * time.Millisecond}, {&c.ReturnWait, 1500 * time.Millisecond}, {&c.Tick, 100 * time.Millisecond},
		{&c.PollWait, 300 * time.Millisecond}, {&c.HostsInterval, 2 * time.Second},
		{&c.BalanceInterval, 5 * time.Second}, {&c.SnapshotInterval, time.Minute},
		{&c.SettleTimeout, 3 * time.Second}, {&c.Linger, 5 * time.Millisecond},
	} {
		if *d.d <= 0 {
			*d.d = d.def
		}
	}
	for _, n := range []struct {
		n   *int
		def int
	}{{&c.JobShards, 4}, {&c.IDShards, 4}, {&c.HandoverBatch, 4}, {&c.SnapshotRecords, 1000}} {
		if *n.n <= 0 {
			*n.n = n.def
		}
	}
	if c.Drift <= 0 {
		c.Drift = 0.01
	}
	return c
}

// drifted lengthens d by the drift of the clocks.
func (c Config) drifted(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.Drift))
}
