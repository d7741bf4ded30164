package config

import (
	"maps"
	"slices"
	"time"
)

const dateLayout = "2006-01-02"

// content returns the entries in force before any plan.
func (st *State) content() Content {
	return Content{st.Customers, st.Teams, st.Intentions, st.Drains}
}

func (st *State) setContent(c Content) {
	st.Customers, st.Teams, st.Intentions, st.Drains = c.Customers, c.Teams, c.Intentions, c.Drains
}

func (c Content) clone() Content {
	return Content{cloneMap(c.Customers), cloneMap(c.Teams), cloneMap(c.Intentions), cloneMap(c.Drains)}
}

// cloneMap never returns nil, so that entries can be added.
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

// AsOf returns the state as it holds on a local date: plans up to the date replace
// the content of earlier days. Drains that an operator set stay.
func (st *State) AsOf(date string) *State {
	due := slices.ContainsFunc(sortedKeys(st.Plans), func(d string) bool { return d <= date })
	if !due {
		return st
	}
	out := st.clone()
	out.promote(date)
	return out
}

// promote moves the plans up to date into the content, oldest first.
func (st *State) promote(date string) {
	for _, day := range sortedKeys(st.Plans) {
		if day > date {
			break
		}
		next := st.Plans[day].clone()
		next.Drains = sheetDrains(next.Drains) // an operator may have ended a drain since the plan was made
		for target, d := range st.Drains {
			if d.Operator {
				next.Drains[target] = d
			}
		}
		for key, old := range st.Intentions {
			if now, ok := next.Intentions[key]; !ok || now.Day != old.Day || !equalDefinition(now, old) {
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

// retire keeps an intention with a calendar for the slots before day, whose grace
// may still be open.
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

func (st *State) purgeRetired() {
	for key, list := range st.Retired {
		kept := slices.DeleteFunc(slices.Clone(list), func(it Intention) bool {
			until, err := parseDate(it.Until)
			// Two days more than the grace cover any offset between local dates and instants.
			return err != nil || until.Add(it.Grace).AddDate(0, 0, 2).Format(dateLayout) < st.Today
		})
		if len(kept) == 0 {
			delete(st.Retired, key)
		} else {
			st.Retired[key] = kept
		}
	}
}

// ContentAsOf returns the content that a sheet for date starts from: the latest
// plan up to date, else the content in force.
func (st *State) ContentAsOf(date string) Content {
	return st.AsOf(date).content()
}

// applyOps applies the ops of one change to c, which the caller owns. retire is
// called for each intention that is replaced or removed; it may be nil.
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
			remove(c, *o.Remove, retire)
		}
	}
}

func setIntention(c Content, it Intention, day string, v Version, retire func(string, Intention)) {
	key := IntentionKey(it.Job.Team, it.Name)
	it.Day, it.Since, it.Until, it.Job.ID = day, v, "", ""
	old, ok := c.Intentions[key]
	if ok && sameRun(old, it) {
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

func remove(c Content, r Ref, retire func(string, Intention)) {
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

func parseDate(s string) (time.Time, error) { return time.Parse(dateLayout, s) }

// LocalDate returns the date of now at loc as "2006-01-02".
func LocalDate(now time.Time, loc *time.Location) string { return now.In(loc).Format(dateLayout) }
