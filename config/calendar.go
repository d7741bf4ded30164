package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // the entry hosts may have no time zone database

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/workload"
)

// MaxGrace is the longest Intention.Grace. It bounds the number of dates that DesiredJobs inspects.
const MaxGrace = 31 * 24 * time.Hour

// DesiredJobs returns the jobs that should exist at now, sorted by id: services, gang
// jobs without a start time, and one job for each calendar slot of a batch or gang job,
// from the start of the slot until start + grace. loc is the time zone of the
// deployment. Every daemon derives the same id for the same run, see JobID.
//
// A job that has left the list because its grace is over must not be started any
// more, but if it has been started it continues.
func DesiredJobs(st *State, now time.Time, loc *time.Location) []workload.Job {
	c := newCalendar(now, loc)
	st = st.AsOf(c.today)
	var out []workload.Job
	for _, it := range st.Intentions {
		out = c.appendDue(out, it)
	}
	for _, list := range st.Retired {
		for _, it := range list {
			out = c.appendDue(out, it)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// calendar tells which jobs are due at one instant.
type calendar struct {
	now   time.Time
	loc   *time.Location
	today string
	dates map[time.Time]localDate // cache, by civilDate
}

// localDate is one date in the deployment's time zone.
type localDate struct {
	civil       time.Time // midnight of the date in UTC
	text        string
	fixedOffset bool // the offset from UTC does not change near the date
	offset      time.Duration
}

func newCalendar(now time.Time, loc *time.Location) *calendar {
	return &calendar{now: now, loc: loc, today: LocalDate(now, loc), dates: make(map[time.Time]localDate)}
}

// date returns the cached localDate of a civil date.
func (c *calendar) date(d time.Time) localDate {
	out, ok := c.dates[d]
	if !ok {
		_, before := d.Add(-maxUTCOffset).In(c.loc).Zone()
		_, after := d.AddDate(0, 0, 1).Add(maxUTCOffset).In(c.loc).Zone()
		out = localDate{d, d.Format(dateLayout), before == after, time.Duration(before) * time.Second}
		c.dates[d] = out
	}
	return out
}

// start returns the instant of a clock time on d. It gives the same result as
// StartInstant, but is faster for dates without a change of offset.
func (c *calendar) start(d localDate, clock string) (time.Time, error) {
	if !d.fixedOffset {
		return StartInstant(d.text, clock, c.loc)
	}
	hour, minute, err := parseClock(clock)
	return d.civil.Add(time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute - d.offset), err
}

// appendDue appends the jobs of an intention that are due at c.now.
func (c *calendar) appendDue(out []workload.Job, it Intention) []workload.Job {
	if it.StartTime == "" {
		if it.Day <= c.today && it.Until == "" {
			j := it.Job
			j.ID = JobID(j.Team, it.Name, it.Day, "v"+strconv.FormatUint(uint64(it.Since), 10))
			out = append(out, j)
		}
		return out
	}
	// At a change of offset, the local date of a slot can differ by up to a day from the date of its start.
	first := civilDate(c.now.Add(-it.Grace).In(c.loc)).AddDate(0, 0, -1)
	last := civilDate(c.now.In(c.loc)).AddDate(0, 0, 1)
	for date := first; !date.After(last); date = date.AddDate(0, 0, 1) {
		d := c.date(date)
		if d.text < it.Day || it.Until != "" && d.text > it.Until || !matchesDay(it.Days, date) {
			continue
		}
		start, err := c.start(d, it.StartTime)
		if err != nil || start.After(c.now) || !c.now.Before(start.Add(it.Grace)) {
			continue
		}
		j := it.Job
		// The id does not depend on the start time, so that a batch whose start time is moved on the day of its run
		// does not run twice.
		j.ID = JobID(j.Team, it.Name, d.text, "0")
		j.Deadline, j.Grace = start.In(c.loc), it.Grace
		out = append(out, j)
	}
	return out
}

// civilDate returns midnight UTC of the date that t shows in its own location.
func civilDate(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
}

// matchesDay reports whether the days of an intention select the date d.
func matchesDay(days []int, d time.Time) bool {
	if len(days) == 0 || slices.Contains(days, d.Day()) {
		return true
	}
	return slices.Contains(days, LastDay) && d.AddDate(0, 0, 1).Day() == 1
}

// JobID derives the id of a job from an intention, a local date and a discriminator:
// "0" for the slot of that date, "v" and the version for a job without a start time.
// Length prefixes keep different tuples from having the same hash input.
func JobID(team, name, date, discriminator string) string {
	h := sha256.New()
	for _, s := range []string{team, name, date, discriminator} {
		h.Write([]byte(strconv.Itoa(len(s)) + ":" + s))
	}
	return "plan-" + date + "-" + hex.EncodeToString(h.Sum(nil)[:16])
}

// maxUTCOffset exceeds every offset from UTC. The offsets that hold this long before
// and after a local time, read as if in UTC, are those on both sides of a change near it.
const maxUTCOffset = 26 * time.Hour

// StartInstant returns the instant of a local clock time "HH:MM" on a date
// "2006-01-02". A time that occurs twice gives the first occurrence; a time that is
// skipped gives the end of the gap.
func StartInstant(date, clock string, loc *time.Location) (time.Time, error) {
	d, err := parseDate(date)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "parse date")
	}
	hour, minute, err := parseClock(clock)
	if err != nil {
		return time.Time{}, err
	}
	wall := d.Add(time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute)
	before := withUTCOffsetOf(wall, wall.Add(-maxUTCOffset), loc)
	after := withUTCOffsetOf(wall, wall.Add(maxUTCOffset), loc)
	var earliest time.Time
	for _, t := range []time.Time{before, after} {
		if sameWallClock(t.In(loc), wall) && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	if !earliest.IsZero() {
		return earliest.In(loc), nil
	}
	gapEnd, _ := before.In(loc).ZoneBounds()
	return gapEnd.In(loc), nil
}

// withUTCOffsetOf returns the instant of the clock time wall, given as if in UTC, with
// the offset that loc has at another instant.
func withUTCOffsetOf(wall, at time.Time, loc *time.Location) time.Time {
	_, offset := at.In(loc).Zone()
	return wall.Add(-time.Duration(offset) * time.Second)
}

// sameWallClock reports whether t shows the same day and minute as wall.
func sameWallClock(t, wall time.Time) bool {
	return t.Minute() == wall.Minute() && t.Hour() == wall.Hour() && t.Day() == wall.Day() && t.Month() == wall.Month()
}

// parseClock parses a clock time "HH:MM", 00:00 to 23:59.
func parseClock(s string) (hour, minute int, err error) {
	h, m, ok := strings.Cut(s, ":")
	hour, herr := strconv.Atoi(h)
	minute, merr := strconv.Atoi(m)
	if !ok || len(h) != 2 || len(m) != 2 || herr != nil || merr != nil || hour < 0 || hour > 23 || minute < 0 || minute > 59 {
		return 0, 0, errors.Errorf("clock time must be HH:MM, got %q", s)
	}
	return hour, minute, nil
}
