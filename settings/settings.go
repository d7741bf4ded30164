// Package settings reads the daemon's settings: JSON with comments. Faults are
// reported all at once, each with its field and line.
package settings

import (
	"time"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/zone"
)

// Settings are all settings of a daemon. The tags state units and defaults in
// docs/settings.md.
type Settings struct {
	DaemonID string    `json:"daemon_id"`
	Zone     zone.Name `json:"zone"`

	HTTPAddress string `json:"http_address"` // IP:port for callers and operators
	RPCAddress  string `json:"rpc_address"`  // IP:port for the other daemons
	LogURL      string `json:"log_url"`
	HostsURL    string `json:"hosts_url"`

	TimeZone  string                      `json:"time_zone"` // IANA name, decides when a day begins
	LogRegion zone.Region                 `json:"log_region"`
	Regions   map[zone.Region][]zone.Name `json:"regions"`

	JobShards int `json:"job_shards"` // per region
	IDShards  int `json:"id_shards"`  // per region

	Ownership Ownership `json:"ownership"`
	Tasks     Tasks     `json:"tasks"`
	Requests  Requests  `json:"requests"`
	Platform  Platform  `json:"platform"`

	DrainNotice Duration `json:"drain_notice"` // from /readyz 503 to the release of keys
	DrainLimit  Duration `json:"drain_limit"`  // longest wait for open calls at a planned stop
	LogLevel    string   `json:"log_level"`
}

// Ownership holds the times of claims, tenure and membership.
type Ownership struct {
	Tenure       Duration `json:"tenure"`
	TakeoverWait Duration `json:"takeover_wait"`
	ClockDrift   float64  `json:"clock_drift"` // fraction
	Heartbeat    Duration `json:"heartbeat"`
	SuspectAfter Duration `json:"suspect_after"`
	Stability    Duration `json:"stability"`
	IDGrant      Duration `json:"id_grant"`
}

// Tasks holds the times of leases on workers.
type Tasks struct {
	Lease         Duration `json:"lease"`
	RenewInterval Duration `json:"renew"`
	// LearnSizes packs by learned sizes instead of declared ones. Nothing stops a
	// running task that outgrows its learned size, so it is off by default.
	LearnSizes    bool    `json:"learn_sizes"`
	LearnedMargin float64 `json:"learned_margin"` // fraction added to learned sizes
}

// Requests holds the limits of the request path.
type Requests struct {
	DefaultDeadline Duration `json:"default_deadline"`
	MaxBodyBytes    int64    `json:"max_body_bytes"`
	MaxAnswerBytes  int64    `json:"max_answer_bytes"`
	QueuePerSlot    int      `json:"queue_per_slot"` // waiting calls per slot of a group
	CrossRegionWait Duration `json:"cross_region_wait"`
	ProbeInterval   Duration `json:"probe_every"`
	SilentAfter     Duration `json:"silent_after"`
	RetryBudget     float64  `json:"retry_budget"` // fraction of calls
}

// Platform holds the times for the platform's services.
type Platform struct {
	LogTimeout      Duration `json:"log_timeout"`
	HostsInterval   Duration `json:"hosts_every"`
	SnapshotRecords int      `json:"snapshot_each"` // records between snapshots
}

// Default returns the settings with every default filled in.
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

// Region returns the region of the daemon's own zone.
func (s *Settings) Region() zone.Region {
	for r, zones := range s.Regions {
		if lo.Contains(zones, s.Zone) {
			return r
		}
	}
	return ""
}

// Topology returns the regions as a zone.Topology.
func (s *Settings) Topology() (*zone.Topology, error) { return zone.NewTopology(s.Regions) }

// Location returns the deployment's time zone.
func (s *Settings) Location() (*time.Location, error) { return time.LoadLocation(s.TimeZone) }
