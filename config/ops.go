package config

import (
	"maps"
	"slices"
	"sort"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/workload"
)

// EntryKind is the kind of an entry of the configuration.
type EntryKind string

// The kinds of entry.
const (
	CustomerEntry  EntryKind = "customer"
	TeamEntry      EntryKind = "team"
	IntentionEntry EntryKind = "intention"
	DrainEntry     EntryKind = "drain"
)

// Ref names one entry.
type Ref struct {
	Kind EntryKind `json:"kind"`
	Key  string    `json:"key"` // as in the maps of State
}

// String returns "kind key".
func (r Ref) String() string { return string(r.Kind) + " " + r.Key }

// Op sets or removes one entry. Exactly one field is set.
type Op struct {
	Customer  *Customer  `json:"customer,omitempty"`
	Team      *Team      `json:"team,omitempty"`
	Intention *Intention `json:"intention,omitempty"`
	Drain     *Drain     `json:"drain,omitempty"`
	Remove    *Ref       `json:"remove,omitempty"`
}

// IntentionKey returns the key of an intention in State.Intentions.
func IntentionKey(team, name string) string { return team + "/" + name }

// Ref returns the entry that o changes, and false if o is not well formed.
func (o Op) Ref() (Ref, bool) {
	var refs []Ref
	if o.Customer != nil {
		refs = append(refs, Ref{CustomerEntry, o.Customer.Name})
	}
	if o.Team != nil {
		refs = append(refs, Ref{TeamEntry, o.Team.Name})
	}
	if o.Intention != nil {
		refs = append(refs, Ref{IntentionEntry, IntentionKey(o.Intention.Job.Team, o.Intention.Name)})
	}
	if o.Drain != nil {
		refs = append(refs, Ref{DrainEntry, o.Drain.Target})
	}
	if o.Remove != nil {
		refs = append(refs, *o.Remove)
	}
	if len(refs) != 1 || refs[0].Key == "" {
		return Ref{}, false
	}
	return refs[0], true
}

// Validate reports the first fault of o as a BadInput error.
func (o Op) Validate() error {
	bad := func(format string, args ...any) error {
		return errkind.New(errkind.BadInput, "op_invalid", format, args...)
	}
	ref, ok := o.Ref()
	switch {
	case !ok:
		return bad("an op sets or removes exactly one entry with a key")
	case o.Intention != nil:
		return o.Intention.validate()
	case o.Team != nil && (o.Team.Quota.Negative() || o.Team.Weight < 0):
		return bad("%s: quota and weight must not be negative", ref)
	case o.Customer != nil && o.Customer.Weight < 0:
		return bad("%s: weight must not be negative", ref)
	}
	if o.Customer != nil {
		for class, l := range o.Customer.Limits {
			if !(l.PerSecond >= 0) || l.Burst < 0 || l.Concurrent < 0 {
				return bad("%s: limits of class %q must not be negative", ref, class)
			}
		}
	}
	return nil
}

func (it *Intention) validate() error {
	bad := func(format string, args ...any) error {
		return errkind.New(errkind.BadInput, "intention_invalid", format, args...)
	}
	j := it.Job
	j.ID = "x" // the id is derived when the job is due
	if err := j.Validate(); err != nil {
		return err
	}
	if it.Name == "" || len(it.Name) > workload.MaxNameBytes {
		return bad("name must have 1 to %d bytes", workload.MaxNameBytes)
	}
	if _, err := parseDate(it.Day); err != nil {
		return bad("day must be YYYY-MM-DD, got %q", it.Day)
	}
	if it.At == "" {
		if j.Kind == workload.Batch {
			return bad("a batch needs a start time")
		}
		return nil
	}
	if j.Kind == workload.Service {
		return bad("a service has no start time")
	}
	if _, _, err := parseClock(it.At); err != nil {
		return bad("start time must be HH:MM, got %q", it.At)
	}
	if it.Grace <= 0 || it.Grace > MaxGrace {
		return bad("grace must be above 0 and at most %s, got %s", MaxGrace, it.Grace)
	}
	for _, d := range it.Days {
		if d != LastDay && (d < 1 || d > 31) {
			return bad("days must be 1 to 31 or %d for the last day, got %d", LastDay, d)
		}
	}
	return nil
}

// equalDefinition compares what planners write, not what the fold fills in.
func equalDefinition(a, b Intention) bool {
	return a.Name == b.Name && equalJob(a.Job, b.Job) && slices.Equal(a.Days, b.Days) && a.At == b.At && a.Grace == b.Grace
}

func equalJob(a, b workload.Job) bool {
	return a.Team == b.Team && a.Family == b.Family && a.Kind == b.Kind && a.Count == b.Count &&
		a.Resources == b.Resources && a.Priority == b.Priority && a.RunTime == b.RunTime &&
		slices.Equal(a.Zones, b.Zones) && a.Retries == b.Retries && a.Preemptible == b.Preemptible
}

// sameRun reports whether b continues the running job of a. A change of size,
// zones or calendar needs a new job; a change of count does so only for a gang.
func sameRun(a, b Intention) bool {
	return a.Job.Kind == b.Job.Kind && a.Job.Resources == b.Job.Resources && slices.Equal(a.Job.Zones, b.Job.Zones) &&
		a.At == b.At && (a.Job.Kind != workload.Gang || a.Job.Count == b.Job.Count)
}

func equalCustomer(a, b Customer) bool {
	return a.Name == b.Name && a.Home == b.Home && a.Weight == b.Weight && maps.Equal(a.Limits, b.Limits)
}

// Changes reports whether o has an effect on c.
func (o Op) Changes(c Content) bool {
	switch {
	case o.Customer != nil:
		old, ok := c.Customers[o.Customer.Name]
		return !ok || !equalCustomer(old, *o.Customer)
	case o.Team != nil:
		old, ok := c.Teams[o.Team.Name]
		return !ok || old != *o.Team
	case o.Intention != nil:
		old, ok := c.Intentions[IntentionKey(o.Intention.Job.Team, o.Intention.Name)]
		return !ok || !equalDefinition(old, *o.Intention)
	case o.Drain != nil:
		old, ok := c.Drains[o.Drain.Target]
		return !ok || old != *o.Drain
	case o.Remove != nil:
		return c.has(*o.Remove)
	}
	return false
}

func (c Content) has(r Ref) bool {
	var ok bool
	switch r.Kind {
	case CustomerEntry:
		_, ok = c.Customers[r.Key]
	case TeamEntry:
		_, ok = c.Teams[r.Key]
	case IntentionEntry:
		_, ok = c.Intentions[r.Key]
	case DrainEntry:
		_, ok = c.Drains[r.Key]
	}
	return ok
}

// DiffContent returns the ops that turn from into to, in a fixed order. Drains
// that an operator set are left alone unless to names the same target.
func DiffContent(from, to Content) []Op {
	var out []Op
	add := func(o Op) {
		if o.Changes(from) {
			out = append(out, o)
		}
	}
	for _, k := range sortedKeys(to.Customers) {
		v := to.Customers[k]
		add(Op{Customer: &v})
	}
	for _, k := range sortedKeys(to.Teams) {
		v := to.Teams[k]
		add(Op{Team: &v})
	}
	for _, k := range sortedKeys(to.Intentions) {
		v := to.Intentions[k]
		add(Op{Intention: &v})
	}
	for _, k := range sortedKeys(to.Drains) {
		v := to.Drains[k]
		if old, ok := from.Drains[k]; ok && old.Operator {
			continue
		}
		add(Op{Drain: &v})
	}
	out = append(out, removals(IntentionEntry, from.Intentions, to.Intentions)...)
	out = append(out, removals(TeamEntry, from.Teams, to.Teams)...)
	out = append(out, removals(CustomerEntry, from.Customers, to.Customers)...)
	return append(out, removals(DrainEntry, sheetDrains(from.Drains), to.Drains)...)
}

func removals[V any](kind EntryKind, from, to map[string]V) []Op {
	var out []Op
	for _, k := range sortedKeys(from) {
		if _, ok := to[k]; !ok {
			out = append(out, Op{Remove: &Ref{kind, k}})
		}
	}
	return out
}

func sheetDrains(all map[string]Drain) map[string]Drain {
	out := make(map[string]Drain)
	for k, d := range all {
		if !d.Operator {
			out[k] = d
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := slices.Collect(maps.Keys(m))
	sort.Strings(keys)
	return keys
}
