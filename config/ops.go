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

// The entry kinds.
const (
	CustomerEntry  EntryKind = "customer"
	TeamEntry      EntryKind = "team"
	IntentionEntry EntryKind = "intention"
	DrainEntry     EntryKind = "drain"
)

// Ref identifies an entry of the configuration.
type Ref struct {
	Kind EntryKind `json:"kind"`
	Key  string    `json:"key"` // key in the map of State that holds the kind
}

// String returns "kind key".
func (r Ref) String() string { return string(r.Kind) + " " + r.Key }

// Op sets or removes one entry of the configuration. Exactly one field is set.
type Op struct {
	Customer  *Customer  `json:"customer,omitempty"`
	Team      *Team      `json:"team,omitempty"`
	Intention *Intention `json:"intention,omitempty"`
	Drain     *Drain     `json:"drain,omitempty"`
	Remove    *Ref       `json:"remove,omitempty"`
}

// IntentionKey returns the key of an intention in State.Intentions.
func IntentionKey(team, name string) string { return team + "/" + name }

// Ref returns the entry that o sets or removes, and false unless o names exactly one.
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

// Validate returns an error of kind errkind.BadInput for the first fault of o, or nil.
func (o Op) Validate() error {
	invalid := func(format string, args ...any) error {
		return errkind.New(errkind.BadInput, "op_invalid", format, args...)
	}
	ref, ok := o.Ref()
	switch {
	case !ok:
		return invalid("an op must set or remove exactly one entry, and the entry must have a key")
	case o.Intention != nil:
		return o.Intention.validate()
	case o.Team != nil && (o.Team.Quota.Negative() || o.Team.Weight < 0):
		return invalid("%s: quota and weight must not be negative", ref)
	case o.Customer != nil && o.Customer.Weight < 0:
		return invalid("%s: weight must not be negative", ref)
	}
	if o.Customer != nil {
		for class, l := range o.Customer.Limits {
			if !(l.PerSecond >= 0) || l.Burst < 0 || l.Concurrent < 0 {
				return invalid("%s: limits of class %q must not be negative", ref, class)
			}
		}
	}
	return nil
}

// validate returns an error of kind errkind.BadInput for the first fault of it, or nil.
func (it *Intention) validate() error {
	invalid := func(format string, args ...any) error {
		return errkind.New(errkind.BadInput, "intention_invalid", format, args...)
	}
	j := it.Job
	j.ID = "x" // a placeholder: the id is derived when the job is due
	if err := j.Validate(); err != nil {
		return err
	}
	if it.Name == "" || len(it.Name) > workload.MaxNameBytes {
		return invalid("name must have 1 to %d bytes", workload.MaxNameBytes)
	}
	if _, err := parseDate(it.Day); err != nil {
		return invalid("day must be YYYY-MM-DD, got %q", it.Day)
	}
	if it.StartTime == "" {
		if j.Kind == workload.Batch {
			return invalid("a batch needs a start time")
		}
		return nil
	}
	if j.Kind == workload.Service {
		return invalid("a service has no start time")
	}
	if _, _, err := parseClock(it.StartTime); err != nil {
		return invalid("start time must be HH:MM, got %q", it.StartTime)
	}
	if it.Grace <= 0 || it.Grace > MaxGrace {
		return invalid("grace must be above 0 and at most %s, got %s", MaxGrace, it.Grace)
	}
	for _, d := range it.Days {
		if d != LastDay && (d < 1 || d > 31) {
			return invalid("days must be 1 to 31 or %d for the last day, got %d", LastDay, d)
		}
	}
	return nil
}

// equalDefinition compares the fields that a submitted change sets and ignores those
// that the fold fills in.
func equalDefinition(a, b Intention) bool {
	return a.Name == b.Name && equalJob(a.Job, b.Job) && slices.Equal(a.Days, b.Days) && a.StartTime == b.StartTime && a.Grace == b.Grace
}

func equalJob(a, b workload.Job) bool {
	return a.Team == b.Team && a.Family == b.Family && a.Kind == b.Kind && a.Count == b.Count &&
		a.Resources == b.Resources && a.Priority == b.Priority && a.RunTime == b.RunTime &&
		slices.Equal(a.Zones, b.Zones) && a.Retries == b.Retries && a.Preemptible == b.Preemptible
}

// continuesJob reports whether b, the replacement of a, continues the running job of
// a. A change of kind, resources, zones or start time needs a new job; a change of
// count needs one only for a gang.
func continuesJob(a, b Intention) bool {
	return a.Job.Kind == b.Job.Kind && a.Job.Resources == b.Job.Resources && slices.Equal(a.Job.Zones, b.Job.Zones) &&
		a.StartTime == b.StartTime && (a.Job.Kind != workload.Gang || a.Job.Count == b.Job.Count)
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

// DiffContent returns the ops that change the content from into the content to, in a
// fixed order. Drains that an operator set are neither changed nor removed.
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
	return append(out, removals(DrainEntry, drainsFromSheets(from.Drains), to.Drains)...)
}

// removals returns ops that remove the entries of from that are not in to.
func removals[V any](kind EntryKind, from, to map[string]V) []Op {
	var out []Op
	for _, k := range sortedKeys(from) {
		if _, ok := to[k]; !ok {
			out = append(out, Op{Remove: &Ref{kind, k}})
		}
	}
	return out
}

// drainsFromSheets returns the drains that no operator set.
func drainsFromSheets(all map[string]Drain) map[string]Drain {
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
