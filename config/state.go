package config

import (
	"maps"
	"slices"
	"time"
)

// dateLayout is the format of local dates. Dates in it sort as strings.
const dateLayout = "2006-01-02"

// content returns the content in force, without the plans. It shares its maps with st.
func (st *State) content() Content {
	return Content{st.Customers, st.Teams, st.Intentions, st.Drains}
}

func (st *State) setContent(c Content) {
	st.Customers, st.Teams, st.Intentions, st.Drains = c.Customers, c.Teams, c.Intentions, c.Drains
}

func (c Content) clone() Content {
	return Content{cloneMap(c.Customers), cloneMap(c.Teams), cloneMap(c.Intentions), cloneMap(c.Drains)}
}

// cloneMap returns a copy of m. It is never nil, so that entries can be added.
func cloneMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m))
	maps.Copy(out, m)
	return out
}

// emptyState returns the state of version zero.
func emptyState() *State {
	st := &State{Plans: map[string]Content{}, Retired: map[string][]Intention{}}
	st.setContent(Content{}.clone())
	return st
}

func (st *State) clone() *State {
	out := &State{Version: st.Version, Today: st.Today, Plans: cloneMap(st.Plans), Retired: cloneMap(st.Retired)}
	out.setContent(st.content().clone())
	return out
}

// AsOf returns the state that holds on a local date: the latest plan up to the date
// replaces the content. Drains that an operator set stay.
func (st *State) AsOf(date string) *State {
	due := slices.ContainsFunc(sortedKeys(st.Plans), func(d string) bool { return d <= date })
	if !due {
		return st
	}
	out := st.clone()
	out.promotePlans(date)
	return out
}

// promotePlans puts the plans up to date in force, oldest first.
func (st *State) promotePlans(date string) {
	for _, day := range sortedKeys(st.Plans) {
		if day > date {
			break
		}
		next := st.Plans[day].clone()
		// Operators' drains come from the state: one in the plan may have been removed since.
		next.Drains = drainsFromSheets(next.Drains)
		for target, d := range st.Drains {
			if d.Operator {
				next.Drains[target] = d
			}
		}
		for key, old := range st.Intentions {
			if planned, ok := next.Intentions[key]; !ok || planned.Day != old.Day || !equalDefinition(planned, old) {
				st.retire(key, old, day)
			}
		}
		st.setContent(next)
		delete(st.Plans, day)
	}
	if date > st.Today {
		st.Today = date
	}
	st.purgeRetired()
}

// retire keeps an intention that is replaced or removed on day, because the grace of
// its slots before that day may still be open. An intention without a start time has
// no slots and is not kept.
func (st *State) retire(key string, old Intention, day string) {
	d, err := parseDate(day)
	if err != nil || old.StartTime == "" {
		return
	}
	old.Until = d.AddDate(0, 0, -1).Format(dateLayout)
	if old.Until >= old.Day {
		st.Retired[key] = append(slices.Clone(st.Retired[key]), old)
	}
}

// purgeRetired drops the retired intentions whose last slot is past its grace.
func (st *State) purgeRetired() {
	for key, list := range st.Retired {
		kept := slices.DeleteFunc(slices.Clone(list), func(it Intention) bool {
			until, err := parseDate(it.Until)
			// Two more days than the grace cover the difference between local dates and UTC.
			return err != nil || until.Add(it.Grace).AddDate(0, 0, 2).Format(dateLayout) < st.Today
		})
		if len(kept) == 0 {
			delete(st.Retired, key)
		} else {
			st.Retired[key] = kept
		}
	}
}

// ContentAsOf returns the content that holds on a local date: the latest plan up to
// date, else the content in force. A sheet for that date is compared with it.
func (st *State) ContentAsOf(date string) Content {
	return st.AsOf(date).content()
}

// applyOps applies the ops of a change that holds from day on and produces version v.
// It modifies the maps of c. retire is called for each intention that is replaced or
// removed; it may be nil.
func applyOps(c Content, ops []Op, day string, v Version, retire func(key string, old Intention)) {
	for _, o := range ops {
		if !o.Changes(c) {
			continue
		}
		switch {
		case o.Customer != nil:
			c.Customers[o.Customer.Name] = *o.Customer
		case o.Team != nil:
			c.Teams[o.Team.Name] = *o.Team
		case o.Drain != nil:
			c.Drains[o.Drain.Target] = *o.Drain
		case o.Intention != nil:
			setIntention(c, *o.Intention, day, v, retire)
		case o.Remove != nil:
			removeEntry(c, *o.Remove, retire)
		}
	}
}

// setIntention sets an intention and fills in Day and Since. A job that continues
// keeps its Since, and without a start time also its Day, so that its id stays the same.
func setIntention(c Content, it Intention, day string, v Version, retire func(string, Intention)) {
	key := IntentionKey(it.Job.Team, it.Name)
	it.Day, it.Since, it.Until, it.Job.ID = day, v, "", ""
	old, ok := c.Intentions[key]
	if ok && continuesJob(old, it) {
		it.Since = old.Since
		if it.StartTime == "" {
			it.Day = old.Day
		}
	}
	if ok && retire != nil {
		retire(key, old)
	}
	c.Intentions[key] = it
}

func removeEntry(c Content, r Ref, retire func(string, Intention)) {
	switch r.Kind {
	case CustomerEntry:
		delete(c.Customers, r.Key)
	case TeamEntry:
		delete(c.Teams, r.Key)
	case DrainEntry:
		delete(c.Drains, r.Key)
	case IntentionEntry:
		if old, ok := c.Intentions[r.Key]; ok && retire != nil {
			retire(r.Key, old)
		}
		delete(c.Intentions, r.Key)
	}
}

// parseDate parses a local date "2006-01-02". The result is midnight of the date in UTC.
func parseDate(s string) (time.Time, error) { return time.Parse(dateLayout, s) }

// LocalDate returns the date of now in loc as "2006-01-02".
func LocalDate(now time.Time, loc *time.Location) string { return now.In(loc).Format(dateLayout) }
