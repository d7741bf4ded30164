// Package config holds the configuration of the cell: the state folded from the
// log's config stream, publication of changes, and the calendar of batches.
package config

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Version is the offset of the change that produced a State, plus one. Zero is the empty state.
type Version uint64

// VersionAt returns the version produced by the record at offset o.
func VersionAt(o upstream.Offset) Version { return Version(o) + 1 }

// Limit bounds the requests of one customer and class.
type Limit struct {
	PerSecond  float64 `json:"per_second"` // 0 means no limit
	Burst      int     `json:"burst"`
	Concurrent int     `json:"concurrent"` // 0 means no limit
}

// Customer is a caller of the request path.
type Customer struct {
	Name   string           `json:"name"`
	Home   zone.Region      `json:"home"`   // region of its request-id shards
	Weight int              `json:"weight"` // share under overload; 0 means 1
	Limits map[string]Limit `json:"limits"` // by request class; "*" is the default
}

// Team owns jobs and a quota.
type Team struct {
	Name   string            `json:"name"`
	Home   zone.Region       `json:"home"` // region of its job shard
	Quota  machine.Resources `json:"quota"`
	Weight int               `json:"weight"` // fair share; 0 means 1
}

// Intention is a job that the sheet wants, with its calendar.
type Intention struct {
	Name      string        `json:"name"`            // unique within the team
	Job       workload.Job  `json:"job"`             // ID is filled in when the job is due
	Days      []int         `json:"days,omitempty"`  // days of the month for batches; empty means every day, LastDay the last day
	StartTime string        `json:"at,omitempty"`    // local start time "HH:MM" of a batch
	Day       string        `json:"day"`             // first local date it holds, "2006-01-02"
	Grace     time.Duration `json:"grace,omitempty"` // window after the start in which a late batch still counts
	Until     string        `json:"until,omitempty"` // last local date it holds; set only for retired intentions
	Since     Version       `json:"since,omitempty"` // version that introduced this job; part of the id of a service
}

// LastDay in Intention.Days means the last day of the month.
const LastDay = -1

// Drain takes a machine, rack or zone out of use.
type Drain struct {
	Target string `json:"target"` // host id, "rack/<zone>/<rack>" or "zone/<zone>"
	Reason string `json:"reason"`
	// Operator marks a drain that was set outside a sheet. Sheets do not remove it.
	Operator bool `json:"operator,omitempty"`
}

// Content is what a change edits: the entries of one day.
type Content struct {
	Customers  map[string]Customer  `json:"customers"`
	Teams      map[string]Team      `json:"teams"`
	Intentions map[string]Intention `json:"intentions"`
	Drains     map[string]Drain     `json:"drains"`
}

// State is the configuration in force. It is immutable once published.
type State struct {
	Version    Version              `json:"version"`
	Customers  map[string]Customer  `json:"customers"`
	Teams      map[string]Team      `json:"teams"`
	Intentions map[string]Intention `json:"intentions"` // by "team/name"
	Drains     map[string]Drain     `json:"drains"`     // by target
	// Today is the latest local date of any accepted change. Plans up to it are part of the fields above.
	Today string `json:"today,omitempty"`
	// Plans holds the whole content of later days, by local date.
	Plans map[string]Content `json:"plans,omitempty"`
	// Retired holds replaced or removed intentions with a calendar, by "team/name", while a slot may be in grace.
	Retired map[string][]Intention `json:"retired,omitempty"`
}

// View gives the configuration in force to the other packages.
type View interface {
	Current() *State
	// Watch calls fn with each new state, in order, from one goroutine.
	Watch(fn func(*State)) (stop func())
}
