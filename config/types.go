// Package config holds the configuration of the cell: customers, teams, intentions
// and drains. Every daemon folds it from the log's stream config in the same way.
// The package also publishes changes, writes snapshots, and derives the jobs that
// are due from the calendar of the intentions.
package config

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Version is the log offset of the record that produced a State, plus one. Zero is the empty state.
type Version uint64

// VersionAt returns the version that the record at offset o produces if it is accepted.
func VersionAt(o upstream.Offset) Version { return Version(o) + 1 }

// Limit bounds the requests of one customer and class in the whole cell. Each entry
// enforces an equal share of it.
type Limit struct {
	PerSecond  float64 `json:"per_second"` // requests admitted per second; 0 means no limit
	Burst      int     `json:"burst"`      // requests admitted at once under PerSecond; at least 1 per entry
	Concurrent int     `json:"concurrent"` // open requests; 0 means no limit
}

// Customer is a caller of the request path.
type Customer struct {
	Name   string      `json:"name"`
	Home   zone.Region `json:"home"`   // region of its request-id shards
	Weight int         `json:"weight"` // relative share under overload; 0 means 1
	// Limits holds the limits by request class. The entry "*" holds for the classes not
	// listed; without it they have no limit.
	Limits map[string]Limit `json:"limits"`
}

// Team owns jobs and a quota.
type Team struct {
	Name   string            `json:"name"`
	Home   zone.Region       `json:"home"`   // region of its job shard
	Quota  machine.Resources `json:"quota"`  // the zero value means no quota
	Weight int               `json:"weight"` // relative fair share; 0 means 1
}

// Intention is a job that the configuration declares, with its calendar. A job with a
// start time has one calendar slot, and so one run, on each date that the calendar
// selects. A job without a start time is desired for as long as the intention holds.
type Intention struct {
	Name      string        `json:"name"`            // unique within the team
	Job       workload.Job  `json:"job"`             // ID is filled in when the job is due
	Days      []int         `json:"days,omitempty"`  // days of the month; empty means every day, LastDay the last day
	StartTime string        `json:"at,omitempty"`    // local start time "HH:MM"; required for a batch, not allowed for a service
	Day       string        `json:"day"`             // first local date on which it holds, "2006-01-02"
	Grace     time.Duration `json:"grace,omitempty"` // how long after its start time a run may still be started
	Until     string        `json:"until,omitempty"` // last local date on which it holds; set only for retired intentions
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

// Content holds the entries of the configuration for one day. Changes edit it.
type Content struct {
	Customers  map[string]Customer  `json:"customers"`
	Teams      map[string]Team      `json:"teams"`
	Intentions map[string]Intention `json:"intentions"`
	Drains     map[string]Drain     `json:"drains"`
}

// State is the configuration at one version: the content in force and the plans for
// later days. It is immutable once published.
type State struct {
	Version    Version              `json:"version"`
	Customers  map[string]Customer  `json:"customers"`
	Teams      map[string]Team      `json:"teams"`
	Intentions map[string]Intention `json:"intentions"` // by "team/name"
	Drains     map[string]Drain     `json:"drains"`     // by target
	// Today is the latest local date of any accepted change. Plans up to that date are part of the fields above.
	Today string `json:"today,omitempty"`
	// Plans holds the whole content of days after Today, by local date.
	Plans map[string]Content `json:"plans,omitempty"`
	// Retired holds replaced or removed intentions with a start time, by "team/name", while the grace of one of
	// their slots may be open.
	Retired map[string][]Intention `json:"retired,omitempty"`
}

// View gives other packages the configuration in force.
type View interface {
	// Current returns the configuration in force today, never nil. Callers must not change it.
	Current() *State
	// Watch calls fn with the state in force, if there is one, and then with each new state,
	// in order, from one goroutine, until stop is called.
	Watch(fn func(*State)) (stop func())
}
