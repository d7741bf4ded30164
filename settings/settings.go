// Package settings reads the settings file of a daemon, which is JSON with
// comments. All faults of a file are reported together, each with its field and line.
package settings

import (
	"time"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/zone"
)

// Settings holds all settings of a daemon. docs/settings.md lists each field by its
// JSON name with its unit, default and bounds.
type Settings struct {
	DaemonID string    `json:"daemon_id"`
	Zone     zone.Name `json:"zone"`

	HTTPAddress string `json:"http_address"` // IP:port of the API for callers and operators
	RPCAddress  string `json:"rpc_address"`  // IP:port of the RPC server for the other daemons
	LogURL      string `json:"log_url"`      // base URL of the platform's log
	HostsURL    string `json:"hosts_url"`    // base URL of the platform's host list

	TimeZone  string                      `json:"time_zone"`  // IANA name; a day of the calendar begins at midnight there
	LogRegion zone.Region                 `json:"log_region"` // region that the log is in
	Regions   map[zone.Region][]zone.Name `json:"regions"`    // availability zones by region

	JobShards int `json:"job_shards"` // per region
	IDShards  int `json:"id_shards"`  // per region

	Ownership Ownership `json:"ownership"`
	Tasks     Tasks     `json:"tasks"`
	Requests  Requests  `json:"requests"`
	Platform  Platform  `json:"platform"`

	DrainNotice Duration `json:"drain_notice"` // from the first 503 of /readyz to the release of the owned keys
	DrainLimit  Duration `json:"drain_limit"`  // longest wait for the handover and for open calls during a drain
	LogLevel    string   `json:"log_level"`
}

// Ownership holds the times of claims on keys, of the tenure and of membership.
type Ownership struct {
	Tenure       Duration `json:"tenure"`        // how long an owner may act without renewing its tenure
	TakeoverWait Duration `json:"takeover_wait"` // wait of a new owner until the tenure of the former one is over
	ClockDrift   float64  `json:"clock_drift"`   // largest drift between two clocks, as a fraction
	Heartbeat    Duration `json:"heartbeat"`     // between two heartbeats to a peer
	SuspectAfter Duration `json:"suspect_after"` // time without a heartbeat after which a peer is suspected
	Stability    Duration `json:"stability"`     // how long a daemon that has come back is not eligible to own keys
	IDGrant      Duration `json:"id_grant"`      // span of mint times that one grant of request ids covers
}

// Tasks holds the times of the leases of workers and the use of learned sizes.
type Tasks struct {
	Lease         Duration `json:"lease"` // of the tasks of a worker, from each renewal on
	RenewInterval Duration `json:"renew"` // between two renewals of a lease
	// LearnSizes places tasks by learned sizes instead of declared ones. It is off by
	// default, because nothing stops a running task that outgrows its learned size.
	LearnSizes    bool    `json:"learn_sizes"`
	LearnedMargin float64 `json:"learned_margin"` // fraction added to learned sizes
}

// Requests holds the limits and times of the request path.
type Requests struct {
	DefaultDeadline Duration `json:"default_deadline"`  // of a request without a deadline, from its arrival on
	MaxBodyBytes    int64    `json:"max_body_bytes"`    // of a request
	MaxAnswerBytes  int64    `json:"max_answer_bytes"`  // of an executor
	QueuePerSlot    int      `json:"queue_per_slot"`    // waiting calls per slot of a group
	CrossRegionWait Duration `json:"cross_region_wait"` // wait that sending a call to another region must save
	ProbeInterval   Duration `json:"probe_every"`       // between two probes of an executor, and two frames of an open call
	SilentAfter     Duration `json:"silent_after"`      // silence after which a link or executor counts as lost
	RetryBudget     float64  `json:"retry_budget"`      // retries as a fraction of calls
}

// Platform holds the times for the use of the platform's log and host list.
type Platform struct {
	LogTimeout      Duration `json:"log_timeout"`   // of one call to the log
	HostsInterval   Duration `json:"hosts_every"`   // between two reads of the host list
	SnapshotRecords int      `json:"snapshot_each"` // log records between two snapshots
}

// Default returns the default settings. Required fields, which have none, are empty.
func Default() Settings {
	return Settings{
		HTTPAddress: "127.0.0.1:8080",
		RPCAddress:  "127.0.0.1:9080",
		TimeZone:    "UTC",
		JobShards:   4,
		IDShards:    4,
		Ownership: Ownership{
			Tenure:       Duration(1500 * time.Millisecond),
			TakeoverWait: Duration(2 * time.Second),
			ClockDrift:   0.01,
			Heartbeat:    Duration(500 * time.Millisecond),
			SuspectAfter: Duration(1500 * time.Millisecond),
			Stability:    Duration(5 * time.Second),
			IDGrant:      Duration(2 * time.Minute),
		},
		Tasks: Tasks{Lease: Duration(30 * time.Second), RenewInterval: Duration(5 * time.Second), LearnedMargin: 0.15},
		Requests: Requests{
			DefaultDeadline: Duration(10 * time.Second),
			MaxBodyBytes:    1 << 20,
			MaxAnswerBytes:  8 << 20,
			QueuePerSlot:    8,
			CrossRegionWait: Duration(50 * time.Millisecond),
			ProbeInterval:   Duration(time.Second),
			SilentAfter:     Duration(3 * time.Second),
			RetryBudget:     0.1,
		},
		Platform: Platform{
			LogTimeout:      Duration(2 * time.Second),
			HostsInterval:   Duration(time.Second),
			SnapshotRecords: 1000,
		},
		DrainNotice: Duration(2 * time.Second),
		DrainLimit:  Duration(30 * time.Second),
		LogLevel:    "info",
	}
}

// Region returns the region of the daemon's own zone, or "" if the zone is in no region.
func (s *Settings) Region() zone.Region {
	for r, zones := range s.Regions {
		if lo.Contains(zones, s.Zone) {
			return r
		}
	}
	return ""
}

// Topology returns the regions as a zone.Topology, or an error if a zone is in two
// regions.
func (s *Settings) Topology() (*zone.Topology, error) { return zone.NewTopology(s.Regions) }

// Location returns the time zone named by TimeZone, or an error if the name is unknown.
func (s *Settings) Location() (*time.Location, error) { return time.LoadLocation(s.TimeZone) }
