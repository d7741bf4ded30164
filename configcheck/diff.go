package configcheck

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/cell"
)

// Change is a difference between the version in force and the one to be sent.
type Change struct {
	Entry   string `json:"entry"`
	Message string `json:"message"`
}

// Diff returns what the next configuration changes, without showing keys. Entries are compared by name.
func Diff(inForce, next *cell.Config) []Change {
	var d differ
	if next.Version <= inForce.Version {
		d.add("version", "%d is not above %d, which is in force, so the daemons ignore the configuration", next.Version, inForce.Version)
	} else {
		d.add("version", "%d, was %d", next.Version, inForce.Version)
	}
	compareNamed(&d, "route", inForce.Routes, next.Routes, func(r cell.Route) string { return r.Queue.Name }, d.compareRoutes)
	removed, added := lo.Difference(inForce.Services, next.Services)
	for _, name := range removed {
		d.add(entryName("service", name, 0), "removed")
	}
	for _, name := range added {
		d.add(entryName("service", name, 0), "added")
	}
	d.compareLimits(inForce.Limits, next.Limits)
	switch {
	case inForce.Tenants == nil && next.Tenants != nil:
		d.add("tenants", "routes that are not anonymous need a key from now on")
	case inForce.Tenants != nil && next.Tenants == nil:
		d.add("tenants", "the list is gone, so no route needs a key any more")
	}
	compareNamed(&d, "tenant", inForce.Tenants, next.Tenants, func(t cell.Tenant) string { return t.Name }, d.compareTenants)
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(entry, format string, args ...any) {
	d.changes = append(d.changes, Change{entry, fmt.Sprintf(format, args...)})
}

// compareField reports a field of an entry whose value has changed.
func compareField[T comparable](d *differ, entry, field string, old, current T) {
	if old != current {
		d.add(entry, "%s: %v, was %v", field, current, old)
	}
}

// compareNamed reports the entries of two lists that were removed or added, and compares those in both.
func compareNamed[T any](d *differ, kind string, old, current []T, name func(T) string, compare func(entry string, old, current T)) {
	byName := lo.KeyBy(current, name)
	for i, o := range old {
		entry := entryName(kind, name(o), i)
		if c, ok := byName[name(o)]; ok {
			compare(entry, o, c)
		} else {
			d.add(entry, "removed")
		}
	}
	known := lo.KeyBy(old, name)
	for i, c := range current {
		if _, ok := known[name(c)]; !ok {
			d.add(entryName(kind, name(c), i), "added")
		}
	}
}

func (d *differ) compareRoutes(entry string, old, current cell.Route) {
	compareField(d, entry, "host", old.Host, current.Host)
	compareField(d, entry, "path prefix", old.PathPrefix, current.PathPrefix)
	compareField(d, entry, "anonymous", old.Anonymous, current.Anonymous)
	a, b := old.Queue, current.Queue
	compareField(d, entry, "service", a.Service, b.Service)
	compareField(d, entry, "priority", a.Priority, b.Priority)
	compareField(d, entry, "attempts", a.MaxAttempts, b.MaxAttempts)
	compareField(d, entry, "stretch", a.Stretch, b.Stretch)
	compareField(d, entry, "target latency", a.Target, b.Target)
	switch {
	case a.Advisor == nil && b.Advisor != nil:
		d.add(entry, "its jobs need advice from now on")
	case a.Advisor != nil && b.Advisor == nil:
		d.add(entry, "its jobs need no advice any more")
	case a.Advisor != nil:
		compareField(d, entry, "time of a call for advice", a.Advisor.BaseDuration, b.Advisor.BaseDuration)
		compareField(d, entry, "time of a call for advice for each worker", a.Advisor.DurationPerMachine, b.Advisor.DurationPerMachine)
		compareField(d, entry, "life of tickets", a.Advisor.TicketLife, b.Advisor.TicketLife)
	}
}

func (d *differ) compareLimits(old, current cell.Limits) {
	const entry = "limits"
	compareField(d, entry, "bytes of heads", old.MaxHeaderBytes, current.MaxHeaderBytes)
	compareField(d, entry, "bytes of bodies", old.MaxBodyBytes, current.MaxBodyBytes)
	compareField(d, entry, "time-out of heads", old.HeaderTimeout, current.HeaderTimeout)
	compareField(d, entry, "time-out of idle connections", old.IdleTimeout, current.IdleTimeout)
}

func (d *differ) compareTenants(entry string, old, current cell.Tenant) {
	compareField(d, entry, "weight", old.Weight, current.Weight)
	compareField(d, entry, "cap", old.Cap, current.Cap)
	removed := lo.CountBy(old.Keys, func(k cell.KeyHash) bool { return !slices.Contains(current.Keys, k) })
	added := lo.CountBy(current.Keys, func(k cell.KeyHash) bool { return !slices.Contains(old.Keys, k) })
	if removed > 0 || added > 0 {
		d.add(entry, "keys: %d added, %d removed, %d kept", added, removed, len(old.Keys)-removed)
	}
}
