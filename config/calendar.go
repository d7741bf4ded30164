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

// MaxGrace is the longest grace window. It bounds the dates that Desired inspects.
const MaxGrace = 31 * 24 * time.Hour

// DesiredJobs returns the jobs that the configuration wants at now, sorted by id:
// services, gang jobs without a calendar, and the slots of batches and gang jobs
// from their start until start + grace. The id derives from (team, name, local
// date, slot), so that every daemon derives the same id for the same run.
//
// A slot that has left the list because its grace is over must not be started
// any more, but a run of it that has started continues.
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

// calendar answers what is due at one instant.
type calendar struct {
	now   time.Time
	loc   *time.Location
	today string
	dates map[time.Time]localDate // by civil date
}

// localDate is one date in the deployment's time zone.
type localDate struct {
	civil  time.Time // midnight of the date, as if in UTC
	text   string
	steady bool // the offset from UTC does not change near the date
	offset time.Duration
}

func newCalendar(now time.Time, loc *time.Location) *calendar {
	return &calendar{now: now, loc: loc, today: LocalDate(now, loc), dates: make(map[time.Time]localDate)}
}

func (c *calendar) date(d time.Time) localDate {
	out, ok := c.dates[d]
	if !ok {
		_, before := d.Add(-maxOffset).In(c.loc).Zone()
		_, after := d.AddDate(0, 0, 1).Add(maxOffset).In(c.loc).Zone()
		out = localDate{d, d.Format(dateLayout), before == after, time.Duration(before) * time.Second}
		c.dates[d] = out
	}
	return out
}

// start is StartInstant, with a short cut for dates without a change of offset.
func (c *calendar) start(d localDate, at string) (time.Time, error) {
	if !d.steady {
		return StartInstant(d.text, at, c.loc)
	}
	hour, minute, err := parseClock(at)
	return d.civil.Add(time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute - d.offset), err
}

func (c *calendar) appendDue(out []workload.Job, it Intention) []workload.Job {
	if it.StartTime == "" {
		if it.Day <= c.today && it.Until == "" {
			j := it.Job
			j.ID = JobID(j.Team, it.Name, it.Day, "v"+strconv.FormatUint(uint64(it.Since), 10))
			out = append(out, j)
		}
		return out
	}
	// Local dates can differ from the date of the instant by up to a day at a change of offset.
	first := civil(c.now.Add(-it.Grace).In(c.loc)).AddDate(0, 0, -1)
	last := civil(c.now.In(c.loc)).AddDate(0, 0, 1)
	for at := first; !at.After(last); at = at.AddDate(0, 0, 1) {
		d := c.date(at)
		if d.text < it.Day || it.Until != "" && d.text > it.Until || !onDay(it.Days, at) {
			continue
		}
		start, err := c.start(d, it.StartTime)
		if err != nil || start.After(c.now) || !c.now.Before(start.Add(it.Grace)) {
			continue
		}
		j := it.Job
		// There is one slot a day, whatever its time, so that moving a batch on the day of its run does not run it twice.
		j.ID = JobID(j.Team, it.Name, d.text, "0")
		j.Deadline, j.Grace = start.In(c.loc), it.Grace
		out = append(out, j)
	}
	return out
}

func civil(t time.Time) time.Time {
	return time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC)
}

func onDay(days []int, d time.Time) bool {
	if len(days) == 0 || slices.Contains(days, d.Day()) {
		return true
	}
	return slices.Contains(days, LastDay) && d.AddDate(0, 0, 1).Day() == 1
}

// JobID derives the id of one run. Length prefixes keep different tuples apart.
func JobID(team, name, date, slot string) string {
	h := sha256.New()
	for _, s := range []string{team, name, date, slot} {
		h.Write([]byte(strconv.Itoa(len(s)) + ":" + s))
	}
	return "plan-" + date + "-" + hex.EncodeToString(h.Sum(nil)[:16])
}

// maxOffset is above every offset from UTC. The offsets this long before and after
// a local time are those on both sides of a change near it.
const maxOffset = 26 * time.Hour

// StartInstant returns the instant of a local clock time on a date. A time that
// occurs twice gives the first occurrence; a time that is skipped gives the end
// of the gap.
func StartInstant(date, at string, loc *time.Location) (time.Time, error) {
	d, err := parseDate(date)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "date")
	}
	hour, minute, err := parseClock(at)
	if err != nil {
		return time.Time{}, err
	}
	naive := d.Add(time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute)
	before := withOffsetAt(naive, naive.Add(-maxOffset), loc)
	after := withOffsetAt(naive, naive.Add(maxOffset), loc)
	var best time.Time
	for _, t := range []time.Time{before, after} {
		if sameClock(t.In(loc), naive) && (best.IsZero() || t.Before(best)) {
			best = t
		}
	}
	if !best.IsZero() {
		return best.In(loc), nil
	}
	gapEnd, _ := before.In(loc).ZoneBounds()
	return gapEnd.In(loc), nil
}

func withOffsetAt(naive, at time.Time, loc *time.Location) time.Time {
	_, offset := at.In(loc).Zone()
	return naive.Add(-time.Duration(offset) * time.Second)
}

func sameClock(t, naive time.Time) bool {
	return t.Minute() == naive.Minute() && t.Hour() == naive.Hour() && t.Day() == naive.Day() && t.Month() == naive.Month()
}

func parseClock(s string) (hour, minute int, err error) {
	h, m, ok := strings.Cut(s, ":")
	hour, herr := strconv.Atoi(h)
	minute, merr := strconv.Atoi(m)
	if !ok || len(h) != 2 || len(m) != 2 || herr != nil || merr != nil || hour < 0 || hour > 23 || minute < 0 || minute > 59 {
		return 0, 0, errors.Errorf("clock time must be HH:MM, got %q", s)
	}
	return hour, minute, nil
}
