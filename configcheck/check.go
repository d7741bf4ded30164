// Package configcheck examines a configuration before it is sent to the cell: it reports faults, entries
// that can never take effect and limits that contradict each other, and compares two versions.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/cell"
)

// Severity says how serious a finding is.
type Severity string

// The severities. A configuration with an error does not do what its author wants.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is a fault of a configuration, or something in it that has no effect.
type Finding struct {
	Severity Severity `json:"severity"`
	Entry    string   `json:"entry"` // such as route "r-a" or limits
	Message  string   `json:"message"`
}

// Options are facts about the deployment that are not in the configuration.
type Options struct {
	// MaxRecordBytes bounds the record of a job in the log, 0 if it is not known.
	MaxRecordBytes int64
}

// checker collects the findings of one configuration.
type checker struct {
	config   *cell.Config
	options  Options
	findings []Finding
}

// Check returns the findings of a configuration in the order of its entries. It never shows keys.
func Check(config *cell.Config, options Options) []Finding {
	c := &checker{config: config, options: options, findings: []Finding{}}
	if config.Version <= 0 {
		c.add(Error, "version", "the version is %d, it must be above 0", config.Version)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkLimits()
	c.checkTenants()
	return c.findings
}

func (c *checker) add(severity Severity, entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{severity, entry, fmt.Sprintf(format, args...)})
}

// entryName names an entry by its own name, or by its place in the list if it has none.
func entryName(kind, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s at index %d", kind, index)
	}
	return fmt.Sprintf("%s %q", kind, name)
}

func (c *checker) checkRoutes() {
	if len(c.config.Routes) == 0 {
		c.add(Warning, "routes", "there are no routes, so every call is answered with 404")
	}
	seen := make(map[string]bool)
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		entry := entryName("route", route.Queue.Name, i)
		switch {
		case route.Queue.Name == "":
			c.add(Error, entry, "it has no name")
		case seen[route.Queue.Name]:
			c.add(Error, entry, "another route has the same name; the jobs of both are planned by the policy of the last one")
		}
		seen[route.Queue.Name] = true
		if route.Host == "" {
			c.add(Error, entry, "it has no host, so no call matches it")
		}
		if !strings.HasPrefix(route.PathPrefix, "/") {
			c.add(Error, entry, "its path prefix %q does not begin with a slash, so no call matches it", route.PathPrefix)
		}
		c.checkPolicy(entry, route)
		c.checkMatching(entry, i)
	}
}

// checkPolicy checks by which service and objective the jobs of a route run.
func (c *checker) checkPolicy(entry string, route *cell.Route) {
	q := &route.Queue
	switch {
	case q.Service == "":
		c.add(Error, entry, "it has no service, so its jobs never start")
	case !slices.Contains(c.config.Services, q.Service):
		c.add(Error, entry, "its service %q is not in the list of services", q.Service)
	}
	if q.Priority < 0 {
		c.add(Warning, entry, "its priority is %d; 0 comes first", q.Priority)
	}
	switch {
	case q.Stretch < 0:
		c.add(Error, entry, "its stretch is %g, below 0", q.Stretch)
	case q.Stretch < 1 && q.Target == 0:
		c.add(Warning, entry, "its stretch is %g and it has no target latency, so no job can end by its objective", q.Stretch)
	}
}

// checkMatching checks whether calls can match the route at index i, and whether it takes calls for jobs of
// another one. Of the routes that match a call, the first of those with the longest prefix gets it.
func (c *checker) checkMatching(entry string, i int) {
	route := &c.config.Routes[i]
	for k := range c.config.Routes {
		other := &c.config.Routes[k]
		if k == i || !strings.EqualFold(other.Host, route.Host) {
			continue
		}
		otherEntry := entryName("route", other.Queue.Name, k)
		if other.PathPrefix == route.PathPrefix && k < i {
			c.add(Error, entry, "no call matches it, since %s has the same host and path prefix", otherEntry)
		}
		rest, longer := strings.CutPrefix(route.PathPrefix, other.PathPrefix)
		if longer && rest != "" && strings.Trim(rest, "0123456789abcdefABCDEF") == "" {
			c.add(Warning, entry, "it takes the calls of %s for jobs whose ids begin with %q", otherEntry, rest)
		}
	}
}

func (c *checker) checkServices() {
	for i, name := range c.config.Services {
		entry := entryName("service", name, i)
		if name == "" {
			c.add(Error, entry, "it has no name")
			continue
		}
		if slices.Index(c.config.Services, name) < i {
			c.add(Error, entry, "another service has the same name")
		}
		if !lo.ContainsBy(c.config.Routes, func(r cell.Route) bool { return r.Queue.Service == name }) {
			c.add(Warning, entry, "no route uses it")
		}
	}
}

func (c *checker) checkLimits() {
	l := c.config.Limits
	const entry = "limits"
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"the limit of heads", int64(l.MaxHeaderBytes)}, {"the limit of bodies", l.MaxBodyBytes},
		{"the time-out of heads", int64(l.HeaderTimeout)}, {"the time-out of idle connections", int64(l.IdleTimeout)},
	} {
		switch {
		case limit.value < 0:
			c.add(Error, entry, "%s is below 0", limit.name)
		case limit.value == 0:
			c.add(Warning, entry, "%s is not set, so the default of the daemon applies", limit.name)
		}
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.add(Warning, entry, "idle connections are closed after %v, before the time-out of heads, %v", l.IdleTimeout, l.HeaderTimeout)
	}
	if record := c.options.MaxRecordBytes; record > 0 && l.MaxBodyBytes > record {
		c.add(Warning, entry, "bodies of up to %d bytes are read, but a job of more than %d bytes cannot be stored", l.MaxBodyBytes, record)
	}
}

func (c *checker) checkTenants() {
	keyless := lo.CountBy(c.config.Routes, func(r cell.Route) bool { return r.Anonymous })
	if c.config.Tenants == nil {
		if keyless > 0 {
			c.add(Warning, "tenants", "there is no list of tenants, so no route needs keys; %d are anonymous", keyless)
		}
		return
	}
	if len(c.config.Tenants) == 0 && keyless < len(c.config.Routes) {
		c.add(Error, "tenants", "the list is empty, so every call on the %d routes that need keys is refused", len(c.config.Routes)-keyless)
	}
	if len(c.config.Tenants) > 0 && len(c.config.Routes) > 0 && keyless == len(c.config.Routes) {
		c.add(Warning, "tenants", "all routes are anonymous, so no key is ever asked for")
	}
	names := make(map[string]bool)
	holders := make(map[cell.KeyHash]string) // entry of the tenant that has a key
	for i := range c.config.Tenants {
		t := &c.config.Tenants[i]
		entry := entryName("tenant", t.Name, i)
		switch {
		case t.Name == "":
			c.add(Error, entry, "it has no name, so its jobs count as those of anonymous callers")
		case names[t.Name]:
			c.add(Error, entry, "another tenant has the same name")
		}
		names[t.Name] = true
		c.checkShare(entry, t)
		if len(t.Keys) == 0 {
			c.add(Warning, entry, "it has no keys, so its callers are refused on all routes that need one")
		}
		for n, key := range t.Keys {
			holder, taken := holders[key]
			switch {
			case taken && holder != entry:
				c.add(Error, entry, "its key at index %d is also a key of %s", n, holder)
			case taken:
				c.add(Warning, entry, "its key at index %d is listed twice", n)
			case key == cell.HashKey(""):
				c.add(Error, entry, "its key at index %d is empty", n)
			}
			holders[key] = entry
		}
	}
}

// checkShare checks the weight and the cap of a tenant.
func (c *checker) checkShare(entry string, t *cell.Tenant) {
	if t.Weight < 0 {
		c.add(Error, entry, "its weight is %g, below 0", t.Weight)
	} else if t.Weight == 0 {
		c.add(Warning, entry, "its weight is 0, so it has no share when the machines are full")
	}
	if t.Cap.CPUMilli < 0 || t.Cap.MemoryMiB < 0 || t.Cap.Accelerators < 0 {
		c.add(Error, entry, "its cap is below 0: %s", t.Cap)
	} else if (t.Cap.CPUMilli > 0) != (t.Cap.MemoryMiB > 0) {
		c.add(Warning, entry, "its cap bounds only one of processors and memory: %s", t.Cap)
	}
}
