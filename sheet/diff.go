package sheet

import (
	"fmt"
	"strings"

	"github.com/sassafraslb/sassafraslb/config"
)

// Change is one entry of a Difference.
type Change struct {
	Action string     `json:"action"` // "add", "change" or "remove"
	Ref    config.Ref `json:"ref"`
	Before string     `json:"before,omitempty"` // short form of the entry; empty for "add"
	After  string     `json:"after,omitempty"`  // short form of the entry; empty for "remove"
}

// Difference is what a sheet would change in the configuration.
type Difference struct {
	Day     string         `json:"day"`
	Base    config.Version `json:"base"` // version that the sheet was compared with
	Changes []Change       `json:"changes"`
	Ops     []config.Op    `json:"-"` // one per change, in the same order
	content config.Content // of the sheet
}

// Diff compares s with the content that st holds for the day of s (State.ContentAsOf):
// the plan of that day or of the latest day before it, else the content in force.
func Diff(s *Sheet, st *config.State) Difference {
	base := st.ContentAsOf(s.Day)
	d := Difference{Day: s.Day, Base: st.Version, Ops: config.DiffContent(base, s.Content), content: s.Content}
	for _, o := range d.Ops {
		ref, _ := o.Ref()
		c := Change{Action: "change", Ref: ref, Before: describe(base, ref), After: describe(s.Content, ref)}
		if c.Before == "" {
			c.Action = "add"
		} else if o.Remove != nil {
			c.Action, c.After = "remove", ""
		}
		d.Changes = append(d.Changes, c)
	}
	return d
}

// Proposal returns the proposal of a single change, so that the sheet takes effect as a
// whole or not at all. id is a new ULID of the caller; by names the operator. The
// proposal is based on the version that the sheet was compared with.
func (d Difference) Proposal(id, by, summary string) config.Proposal {
	return config.Proposal{ID: id, Base: d.Base, Mode: config.Sheet, Day: d.Day, Content: &d.content, By: by, Summary: summary}
}

// String returns a heading and one line per change.
func (d Difference) String() string {
	if len(d.Changes) == 0 {
		return fmt.Sprintf("no change for %s against version %d\n", d.Day, d.Base)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "changes for %s against version %d: %d\n", d.Day, d.Base, len(d.Changes))
	for _, c := range d.Changes {
		fmt.Fprintf(&b, "%-6s %s", c.Action, c.Ref)
		switch c.Action {
		case "add":
			fmt.Fprintf(&b, ": %s", c.After)
		case "remove":
			fmt.Fprintf(&b, ": was %s", c.Before)
		default:
			fmt.Fprintf(&b, ": %s -> %s", c.Before, c.After)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// describe returns the entry r in short form, or "" if c does not have it.
func describe(c config.Content, r config.Ref) string {
	switch r.Kind {
	case config.CustomerEntry:
		if v, ok := c.Customers[r.Key]; ok {
			return describeCustomer(v)
		}
	case config.TeamEntry:
		if v, ok := c.Teams[r.Key]; ok {
			return fmt.Sprintf("region=%s quota %s weight=%d", v.Home, v.Quota, max(v.Weight, 1))
		}
	case config.IntentionEntry:
		if v, ok := c.Intentions[r.Key]; ok {
			return describeIntention(v)
		}
	case config.DrainEntry:
		if v, ok := c.Drains[r.Key]; ok {
			return fmt.Sprintf("reason=%q", v.Reason)
		}
	}
	return ""
}

func describeCustomer(v config.Customer) string {
	out := fmt.Sprintf("region=%s weight=%d", v.Home, max(v.Weight, 1))
	for _, class := range requestClasses {
		if l, ok := v.Limits[class]; ok {
			out += fmt.Sprintf(" %s(per_second=%g burst=%d concurrent=%d)", class, l.PerSecond, l.Burst, l.Concurrent)
		}
	}
	return out
}

func describeIntention(v config.Intention) string {
	j := v.Job
	out := fmt.Sprintf("%s count=%d %s priority=%d retries=%d preemptible=%t", j.Kind, j.Count, j.Resources, j.Priority, j.Retries, j.Preemptible)
	if v.StartTime != "" {
		out += fmt.Sprintf(" at=%s days=%v grace=%s", v.StartTime, v.Days, v.Grace)
	}
	if j.RunTime > 0 {
		out += fmt.Sprintf(" run_time=%s", j.RunTime)
	}
	if len(j.Zones) > 0 {
		out += fmt.Sprintf(" zones=%v", j.Zones)
	}
	if j.Family != "" {
		out += " family=" + j.Family
	}
	return out
}
