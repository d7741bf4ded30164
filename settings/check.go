package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/zone"
)

// maxShards bounds the job shards and the id shards per region. More than several shards per
// daemon only add claims.
const maxShards = 256

// maxDeadline is the default of request.Config.MaxDeadline, to which the request path shortens longer deadlines.
const maxDeadline = 5 * time.Minute

// logLevels are the levels of zerolog without those that suppress errors.
var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checker collects the faults in the values of decoded settings.
type checker struct {
	lines  map[string]int // line of each field by dotted path
	faults Faults
}

func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Field: field, Line: c.lines[field], Text: fmt.Sprintf(format, args...)})
}

func (c *checker) require(field, v string) {
	if v == "" {
		c.addFault(field, "is required")
	}
}

// durationInRange adds a fault unless low <= d <= high.
func (c *checker) durationInRange(field string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.addFault(field, "must be %s to %s, got %s", low, high, d.Std())
	}
}

// numberInRange adds a fault unless low <= v <= high.
func (c *checker) numberInRange(field string, v, low, high float64) {
	if v < low || v > high {
		c.addFault(field, "must be %g to %g, got %g", low, high, v)
	}
}

// address adds a fault unless v is an IP number and port.
func (c *checker) address(field, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.addFault(field, `must be an IP number and port such as "10.0.0.1:8080", got %q`, v)
	}
}

// httpURL adds a fault unless v is an http or https URL with a host.
func (c *checker) httpURL(field, v string) {
	u, err := url.Parse(v)
	if v == "" || err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.addFault(field, `must be an http or https URL, got %q`, v)
	}
}

// check returns the faults of single values and of values that contradict each other.
// lines holds the line of each field by dotted path.
func check(s *Settings, lines map[string]int) Faults {
	c := &checker{lines: lines}
	c.require("daemon_id", s.DaemonID)
	c.require("zone", string(s.Zone))
	c.address("http_address", s.HTTPAddress)
	c.address("rpc_address", s.RPCAddress)
	if s.HTTPAddress == s.RPCAddress {
		c.addFault("rpc_address", "must differ from http_address")
	}
	c.httpURL("log_url", s.LogURL)
	c.httpURL("hosts_url", s.HostsURL)
	if _, err := s.Location(); err != nil {
		c.addFault("time_zone", `must be an IANA name such as "Europe/Rome", got %q`, s.TimeZone)
	}
	c.topology(s)
	c.numberInRange("job_shards", float64(s.JobShards), 1, maxShards)
	c.numberInRange("id_shards", float64(s.IDShards), 1, maxShards)
	c.ownership(s)
	c.tasks(s)
	c.requests(s)
	c.durationInRange("platform.log_timeout", s.Platform.LogTimeout, 10*time.Millisecond, time.Minute)
	c.durationInRange("platform.hosts_every", s.Platform.HostsInterval, 50*time.Millisecond, time.Minute)
	c.numberInRange("platform.snapshot_each", float64(s.Platform.SnapshotRecords), 10, 1e6)
	c.durationInRange("drain_notice", s.DrainNotice, 0, time.Minute)
	c.durationInRange("drain_limit", s.DrainLimit, time.Second, time.Hour)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.addFault("log_level", "must be one of %s, got %q", strings.Join(logLevels, ", "), s.LogLevel)
	}
	return c.faults
}

func (c *checker) topology(s *Settings) {
	if len(s.Regions) == 0 {
		c.addFault("regions", "must name at least one region with its availability zones")
		return
	}
	if _, err := s.Topology(); err != nil {
		c.addFault("regions", "%s", err)
		return
	}
	if s.Zone != "" && s.Region() == "" {
		c.addFault("zone", "is in no region; known zones: %s", strings.Join(allZones(s), ", "))
	}
	if _, ok := s.Regions[s.LogRegion]; !ok {
		c.addFault("log_region", "must be one of the regions, got %q", s.LogRegion)
	}
}

func (c *checker) ownership(s *Settings) {
	o := &s.Ownership
	c.durationInRange("ownership.tenure", o.Tenure, 10*time.Millisecond, time.Minute)
	c.durationInRange("ownership.takeover_wait", o.TakeoverWait, 10*time.Millisecond, 2*time.Minute)
	c.numberInRange("ownership.clock_drift", o.ClockDrift, 0.0001, 0.2)
	if o.TakeoverWait.Std() <= scale(o.Tenure.Std(), 1+o.ClockDrift) {
		c.addFault("ownership.takeover_wait", "must be longer than tenure (%s) x (1 + clock_drift), or two daemons could act for one machine", o.Tenure.Std())
	}
	c.durationInRange("ownership.heartbeat", o.Heartbeat, 5*time.Millisecond, 30*time.Second)
	if o.SuspectAfter < 2*o.Heartbeat {
		c.addFault("ownership.suspect_after", "must be at least two heartbeats (%s), or one late heartbeat raises suspicion", 2*o.Heartbeat.Std())
	}
	c.durationInRange("ownership.stability", o.Stability, 100*time.Millisecond, 5*time.Minute)
	c.durationInRange("ownership.id_grant", o.IDGrant, time.Second, time.Hour)
}

func (c *checker) tasks(s *Settings) {
	c.durationInRange("tasks.lease", s.Tasks.Lease, 100*time.Millisecond, time.Hour)
	c.numberInRange("tasks.learned_margin", s.Tasks.LearnedMargin, 0, 5)
	if s.Tasks.Lease < 3*s.Tasks.RenewInterval {
		c.addFault("tasks.renew", "must be at most a third of lease (%s), so that two lost renewals do not stop tasks", s.Tasks.Lease.Std())
	}
	c.durationInRange("tasks.renew", s.Tasks.RenewInterval, 10*time.Millisecond, time.Hour)
}

func (c *checker) requests(s *Settings) {
	r := &s.Requests
	c.durationInRange("requests.default_deadline", r.DefaultDeadline, 10*time.Millisecond, maxDeadline)
	c.numberInRange("requests.max_body_bytes", float64(r.MaxBodyBytes), 1, 64<<20)
	c.numberInRange("requests.max_answer_bytes", float64(r.MaxAnswerBytes), 1, 64<<20)
	c.numberInRange("requests.queue_per_slot", float64(r.QueuePerSlot), 1, 1000)
	c.durationInRange("requests.cross_region_wait", r.CrossRegionWait, 0, time.Minute)
	c.durationInRange("requests.probe_every", r.ProbeInterval, 10*time.Millisecond, time.Minute)
	if r.SilentAfter < 2*r.ProbeInterval {
		c.addFault("requests.silent_after", "must be at least twice probe_every (%s)", 2*r.ProbeInterval.Std())
	}
	c.numberInRange("requests.retry_budget", r.RetryBudget, 0, 1)
}

// scale returns d multiplied by f.
func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// allZones returns the zones of all regions, sorted.
func allZones(s *Settings) []string {
	var out []string
	for _, zones := range s.Regions {
		for _, z := range zones {
			out = append(out, string(zone.Name(z)))
		}
	}
	sort.Strings(out)
	return out
}
