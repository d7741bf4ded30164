package contract

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Membership is the part of link.Membership that a Claimer uses.
type Membership interface {
	link.Peers
	// Eligible reports whether the daemon is alive and its stability time, which
	// follows a return, has passed.
	Eligible(id string) bool
	// HeardSince reports whether this daemon has heard from daemon id after t.
	HeardSince(id string, t time.Time) bool
	// UpdateMembers adds or updates daemons. The state Left ends the contact with a daemon.
	UpdateMembers(known ...link.Member)
}

// Config configures a Claimer.
type Config struct {
	Members     Membership        // required
	Incarnation uint64            // of this daemon, the same as in Members; required
	Log         upstream.Log      // required; may be a link.RelayedLog, which falls back to relays
	Hosts       upstream.HostList // required
	Topology    *zone.Topology    // required
	// JobShards and IDShards are the numbers of job shards and of request-id shards per
	// region. Default 4 each.
	JobShards, IDShards int
	// Tenure is how long a tenure lasts from the start of the read of the log, or of the
	// round of promises, that confirmed it. Default 1.5 s.
	Tenure time.Duration
	// TakeoverWait is the time between the read-back of a claim and the first command of
	// the new owner; the Claimer lengthens it by ClockDrift. It must be greater than
	// Tenure x (1 + ClockDrift), so that the tenure of the former owner has ended. Default 2 s.
	TakeoverWait time.Duration
	// ClockDrift is the largest drift between the monotonic clocks of two daemons, as a
	// fraction of the elapsed time. Default 0.01.
	ClockDrift float64
	// RankDelay is the wait before a claim, multiplied by the rank of the daemon for the
	// key, so that usually only the daemon of rank 0 claims it. Default 300 ms.
	RankDelay time.Duration
	// PostIsolationWait is how long a daemon claims nothing after it was isolated, so that
	// it first hears all its peers again. Default 1.5 s, the suspicion time of link.Membership.
	PostIsolationWait time.Duration
	// Tick is the time between two checks for keys to claim or a snapshot to append.
	// Default 100 ms.
	Tick time.Duration
	// PollWait is how long a read of the log waits for new records. It should be less
	// than a third of Tenure. Default 300 ms.
	PollWait time.Duration
	// HostsInterval is the time between two reads of the host list. Default 2 s.
	HostsInterval time.Duration
	// BalanceInterval is the shortest time between two updates of the electorate or
	// handovers of keys to the daemons that rank first for them. Default 5 s.
	BalanceInterval time.Duration
	// HandoverBatch is the largest number of keys handed over at a time to balance
	// the cell. Default 4.
	HandoverBatch int
	// SnapshotRecords and SnapshotInterval are the number of records and the time since
	// the last snapshot after which a new one is appended. They must be well below the
	// retention of the log. Defaults 1000 and 1 min.
	SnapshotRecords  int
	SnapshotInterval time.Duration
	// ResolveTimeout is how long the upstream.Writer searches the log for a record whose
	// append was not answered. Default 3 s.
	ResolveTimeout time.Duration
	// Linger is how long the upstream.Writer waits for more records for a batch.
	// Default 5 ms.
	Linger time.Duration
	Logger zerolog.Logger
}

// withDefaults returns c with the default for every time and number that is not positive.
func (c Config) withDefaults() Config {
	for _, d := range []struct {
		field        *time.Duration
		defaultValue time.Duration
	}{
		{&c.Tenure, 1500 * time.Millisecond}, {&c.TakeoverWait, 2 * time.Second},
		{&c.RankDelay, 300 * time.Millisecond}, {&c.PostIsolationWait, 1500 * time.Millisecond}, {&c.Tick, 100 * time.Millisecond},
		{&c.PollWait, 300 * time.Millisecond}, {&c.HostsInterval, 2 * time.Second},
		{&c.BalanceInterval, 5 * time.Second}, {&c.SnapshotInterval, time.Minute},
		{&c.ResolveTimeout, 3 * time.Second}, {&c.Linger, 5 * time.Millisecond},
	} {
		if *d.field <= 0 {
			*d.field = d.defaultValue
		}
	}
	for _, n := range []struct {
		field        *int
		defaultValue int
	}{{&c.JobShards, 4}, {&c.IDShards, 4}, {&c.HandoverBatch, 4}, {&c.SnapshotRecords, 1000}} {
		if *n.field <= 0 {
			*n.field = n.defaultValue
		}
	}
	if c.ClockDrift <= 0 {
		c.ClockDrift = 0.01
	}
	return c
}

// withDrift lengthens d by the largest clock drift.
func (c Config) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.ClockDrift))
}
