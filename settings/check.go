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

// maxShards bounds the shards per region. More shards than daemons several times over only add claims.
const maxShards = 256

// maxDeadline is the deadline to which the request path cuts longer ones (request.Config.MaxDeadline).
const maxDeadline = 5 * time.Minute

// logLevels are the levels of zerolog except those that hide errors.
var logLevels = []string{"trace", "debug", "info", "warn", "error"}

// checker collects faults of settings that decoded well.
type checker struct {
	lines  map[string]int
	faults Faults
}

func (c *checker) fail(field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Field: field, Line: c.lines[field], Text: fmt.Sprintf(format, args...)})
}

func (c *checker) require(field, v string) {
	if v == "" {
		c.fail(field, "is required")
	}
}

func (c *checker) between(field string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		c.fail(field, "must be %s to %s, got %s", low, high, d.Std())
	}
}

func (c *checker) number(field string, v, low, high float64) {
	if v < low || v > high {
		c.fail(field, "must be %g to %g, got %g", low, high, v)
	}
}

func (c *checker) address(field, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		c.fail(field, `must be an IP number and port such as "10.0.0.1:8080", got %q`, v)
	}
}

func (c *checker) httpURL(field, v string) {
	u, err := url.Parse(v)
	if v == "" || err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.fail(field, `must be an http or https URL, got %q`, v)
	}
}

// check returns the faults of values and of combinations of values.
func check(s *Settings, lines map[string]int) Faults {
	c := &checker{lines: lines}
	c.require("daemon_id", s.DaemonID)
	c.require("zone", string(s.Zone))
	c.address("http_address", s.HTTPAddress)
	c.address("rpc_address", s.RPCAddress)
	if s.HTTPAddress == s.RPCAddress {
		c.fail("rpc_address", "must differ from http_address")
	}
	c.httpURL("log_url", s.LogURL)
	c.httpURL("hosts_url", s.HostsURL)
	if _, err := s.Location(); err != nil {
		c.fail("time_zone", `must be an IANA name such as "Europe/Rome", got %q`, s.TimeZone)
	}
	c.topology(s)
	c.number("job_shards", float64(s.JobShards), 1, maxShards)
	c.number("id_shards", float64(s.IDShards), 1, maxShards)
	c.ownership(s)
	c.tasks(s)
	c.requests(s)
	c.between("platform.log_timeout", s.Platform.LogTimeout, 10*time.Millisecond, time.Minute)
	c.between("platform.hosts_every", s.Platform.HostsInterval, 50*time.Millisecond, time.Minute)
	c.number("platform.snapshot_each", float64(s.Platform.SnapshotRecords), 10, 1e6)
	c.between("drain_notice", s.DrainNotice, 0, time.Minute)
	c.between("drain_limit", s.DrainLimit, time.Second, time.Hour)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.fail("log_level", "must be one of %s, got %q", strings.Join(logLevels, ", "), s.LogLevel)
	}
	return c.faults
}

func (c *checker) topology(s *Settings) {
	if len(s.Regions) == 0 {
		c.fail("regions", "must name at least one region with its availability zones")
		return
	}
	if _, err := s.Topology(); err != nil {
		c.fail("regions", "%s", err)
		return
	}
	if s.Zone != "" && s.Region() == "" {
		c.fail("zone", "is in no region; known zones: %s", strings.Join(allZones(s), ", "))
	}
	if _, ok := s.Regions[s.LogRegion]; !ok {
		c.fail("log_region", "must be one of the regions, got %q", s.LogRegion)
	}
}

func (c *checker) ownership(s *Settings) {
	o := &s.Ownership
	c.between("ownership.tenure", o.Tenure, 10*time.Millisecond, time.Minute)
	c.between("ownership.takeover_wait", o.TakeoverWait, 10*time.Millisecond, 2*time.Minute)
	c.number("ownership.clock_drift", o.ClockDrift, 0.0001, 0.2)
	if o.TakeoverWait.Std() <= scale(o.Tenure.Std(), 1+o.ClockDrift) {
		c.fail("ownership.takeover_wait", "must be longer than tenure (%s) x (1 + clock_drift), or two daemons could act for one machine", o.Tenure.Std())
	}
	c.between("ownership.heartbeat", o.Heartbeat, 5*time.Millisecond, 30*time.Second)
	if o.SuspectAfter < 2*o.Heartbeat {
		c.fail("ownership.suspect_after", "must be at least two heartbeats (%s), or one late heartbeat raises suspicion", 2*o.Heartbeat.Std())
	}
	c.between("ownership.stability", o.Stability, 100*time.Millisecond, 5*time.Minute)
	c.between("ownership.id_grant", o.IDGrant, time.Second, time.Hour)
}

func (c *checker) tasks(s *Settings) {
	c.between("tasks.lease", s.Tasks.Lease, 100*time.Millisecond, time.Hour)
	c.number("tasks.learned_margin", s.Tasks.LearnedMargin, 0, 5)
	if s.Tasks.Lease < 3*s.Tasks.RenewInterval {
		c.fail("tasks.renew", "must be at most a third of lease (%s), so that two lost renewals do not stop tasks", s.Tasks.Lease.Std())
	}
	c.between("tasks.renew", s.Tasks.RenewInterval, 10*time.Millisecond, time.Hour)
}

func (c *checker) requests(s *Settings) {
	r := &s.Requests
	c.between("requests.default_deadline", r.DefaultDeadline, 10*time.Millisecond, maxDeadline)
	c.number("requests.max_body_bytes", float64(r.MaxBodyBytes), 1, 64<<20)
	c.number("requests.max_answer_bytes", float64(r.MaxAnswerBytes), 1, 64<<20)
	c.number("requests.queue_per_slot", float64(r.QueuePerSlot), 1, 1000)
	c.between("requests.cross_region_wait", r.CrossRegionWait, 0, time.Minute)
	c.between("requests.probe_every", r.ProbeInterval, 10*time.Millisecond, time.Minute)
	if r.SilentAfter < 2*r.ProbeInterval {
		c.fail("requests.silent_after", "must be at least two probes (%s)", 2*r.ProbeInterval.Std())
	}
	c.number("requests.retry_budget", r.RetryBudget, 0, 1)
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

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
