package config

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// fold returns the state after changes at the given local dates.
type scenario struct {
	t  testing.TB
	im Image
}

func newScenario(t testing.TB) *scenario { return &scenario{t, emptyImage()} }

func (s *scenario) change(today, day string, ops ...Op) {
	s.t.Helper()
	rec := changeRecord{FormatVersion: 1, Base: s.im.State.Version, Today: today, Changes: []change{{ID: fmt.Sprint(s.im.Next), Day: day, Ops: ops}}}
	data, err := encodeChange(rec)
	if err != nil {
		s.t.Fatal(err)
	}
	im, v, err := s.im.fold(upstream.Record{Offset: s.im.Next, Data: data}, 100)
	if err != nil || !v.accepted {
		s.t.Fatalf("change was not accepted: %v", err)
	}
	s.im = im
}

// runs counts how often each id becomes due between two instants.
func (s *scenario) runs(from, to time.Time, step time.Duration, loc *time.Location) map[string]int {
	runs, due := make(map[string]int), make(map[string]bool)
	for now := from; now.Before(to); now = now.Add(step) {
		current := make(map[string]bool)
		for _, j := range DesiredJobs(s.im.State, now, loc) {
			current[j.ID] = true
			if !due[j.ID] {
				runs[j.ID]++
			}
		}
		due = current
	}
	return runs
}

// Guards against slots that are lost or doubled when clocks change: every quarter
// of an hour of the three days around a change must start exactly once, at the
// first instant at which a local clock shows that time or a later one.
func TestEachSlotOnceAcrossClockChanges(t *testing.T) {
	for _, c := range []struct{ location, day string }{
		{"Europe/Rome", "2026-03-29"}, // 02:00 to 03:00 is skipped
		{"Europe/Rome", "2026-10-25"}, // 02:00 to 03:00 occurs twice
		{"Asia/Almaty", "2024-02-29"}, // the last hour of the date occurs twice
		{"Asia/Almaty", "2026-12-04"}, // no change
	} {
		loc := mustLocation(c.location)
		day, _ := parseDate(c.day)
		s := newScenario(t)
		first := day.AddDate(0, 0, -1).Format(dateLayout)
		var ops []Op
		for m := 0; m < 24*60; m += 15 {
			at := fmt.Sprintf("%02d:%02d", m/60, m%60)
			ops = append(ops, putIntention(intention(workload.Batch, "at"+at[:2]+at[3:], at, 30*time.Minute)))
		}
		s.change(first, first, ops...)
		from := time.Date(day.Year(), day.Month(), day.Day()-1, 0, 0, 0, 0, loc)
		runs := s.runs(from, from.AddDate(0, 0, 3), 5*time.Minute, loc)
		if len(runs) != 3*96 {
			t.Errorf("%s %s: %d slots started, want %d", c.location, c.day, len(runs), 3*96)
		}
		for id, n := range runs {
			if n != 1 {
				t.Errorf("%s: slot %s became due %d times", c.location, id, n)
			}
		}
	}
	for _, c := range []struct{ date, at, want string }{
		{"2026-03-29", "02:30", "2026-03-29T01:00:00Z"},
		{"2026-03-29", "03:00", "2026-03-29T01:00:00Z"},
		{"2026-10-25", "02:30", "2026-10-25T00:30:00Z"},
		{"2026-10-25", "03:00", "2026-10-25T02:00:00Z"},
		{"2026-12-04", "06:00", "2026-12-04T05:00:00Z"},
	} {
		got, err := StartInstant(c.date, c.at, rome)
		if err != nil || got.UTC().Format(time.RFC3339) != c.want {
			t.Errorf("%s %s starts at %s (%v), want %s", c.date, c.at, got.UTC().Format(time.RFC3339), err, c.want)
		}
	}
}

// Guards against a batch that is dropped before its grace is over, at midnight or
// when the next sheet no longer names it, and against one that lasts longer.
func TestBatchStaysDueUntilGraceEnds(t *testing.T) {
	s := newScenario(t)
	s.change("2026-12-04", "2026-12-04", putIntention(intention(workload.Batch, "late", "23:00", 4*time.Hour)))
	s.change("2026-12-04", "2026-12-05", Op{Remove: &Ref{IntentionEntry, "a/late"}})
	at := func(day, hour, minute int) []workload.Job {
		return DesiredJobs(s.im.State, time.Date(2026, 12, day, hour, minute, 0, 0, rome), rome)
	}
	start := time.Date(2026, 12, 4, 23, 0, 0, 0, rome)
	before, first, last, after := at(4, 22, 59), at(4, 23, 0), at(5, 2, 59), at(5, 3, 0)
	if len(before) != 0 || len(first) != 1 || len(last) != 1 || len(after) != 0 {
		t.Fatalf("due: %d before the start, %d at it, %d at the end of grace, %d after", len(before), len(first), len(last), len(after))
	}
	if first[0].ID != last[0].ID || !first[0].Deadline.Equal(start) || first[0].Grace != 4*time.Hour {
		t.Errorf("jobs %+v and %+v", first[0], last[0])
	}
	if jobs := at(5, 23, 30); len(jobs) != 0 {
		t.Errorf("the removed batch is due again: %+v", jobs)
	}
	s.change("2026-12-05", "2026-12-05", teamOp("a", 1))
	if len(at(5, 2, 0)) != 1 {
		t.Error("a later change dropped the batch in grace")
	}
	s.change("2026-12-09", "2026-12-09", teamOp("a", 2))
	if len(s.im.State.Retired) != 0 {
		t.Error("a batch past its grace is kept for ever")
	}
}

// Guards against a second run of a batch whose time was moved after it started.
func TestMovedBatchKeepsItsSlot(t *testing.T) {
	s := newScenario(t)
	s.change("2026-12-04", "2026-12-04", putIntention(intention(workload.Batch, "b", "06:00", time.Hour)))
	early := DesiredJobs(s.im.State, time.Date(2026, 12, 4, 6, 0, 0, 0, rome), rome)
	s.change("2026-12-04", "2026-12-04", putIntention(intention(workload.Batch, "b", "11:00", time.Hour)))
	late := DesiredJobs(s.im.State, time.Date(2026, 12, 4, 11, 0, 0, 0, rome), rome)
	if len(early) != 1 || len(late) != 1 || early[0].ID != late[0].ID {
		t.Errorf("ids %v and %v, want one and the same", early, late)
	}
}

// Guards against days that a month does not have, and days with a name.
func TestDaysOfTheMonth(t *testing.T) {
	it := intention(workload.Batch, "m", "06:00", time.Hour)
	it.Days, it.Day = []int{1, 30, LastDay}, "2026-01-01"
	s := newScenario(t)
	s.change("2026-01-01", "2026-01-01", putIntention(it))
	got := s.runs(time.Date(2026, 2, 1, 0, 0, 0, 0, rome), time.Date(2026, 4, 1, 0, 0, 0, 0, rome), 30*time.Minute, rome)
	for _, date := range []string{"2026-02-01", "2026-02-28", "2026-03-01", "2026-03-30", "2026-03-31"} {
		if got[JobID("a", "m", date, "0")] != 1 {
			t.Errorf("%s ran %d times", date, got[JobID("a", "m", date, "0")])
		}
	}
	if len(got) != 5 {
		t.Errorf("%d runs, want 5", len(got))
	}
}

// Guards against a service that is restarted by each morning's sheet, and against
// one that is not restarted when its size changes or when it comes back.
func TestServiceKeepsItsIDWhileItRuns(t *testing.T) {
	s := newScenario(t)
	id := func(day int) string {
		jobs := DesiredJobs(s.im.State, time.Date(2026, 12, day, 12, 0, 0, 0, rome), rome)
		if len(jobs) != 1 {
			t.Fatalf("%d services on day %d", len(jobs), day)
		}
		return jobs[0].ID
	}
	it := intention(workload.Service, "web", "", 0)
	s.change("2026-12-04", "2026-12-04", putIntention(it))
	first := id(4)
	it.Job.Count = 5
	s.change("2026-12-05", "2026-12-05", putIntention(it))
	if id(5) != first {
		t.Error("a new count gave a new job")
	}
	it.Job.Resources = machine.Resources{CPUMilli: 900, MemoryMiB: 256}
	s.change("2026-12-05", "2026-12-05", putIntention(it))
	resized := id(5)
	s.change("2026-12-05", "2026-12-05", Op{Remove: &Ref{IntentionEntry, "a/web"}})
	s.change("2026-12-05", "2026-12-05", putIntention(it))
	if resized == first || id(5) == resized {
		t.Error("a resized or returned service has the id of a job that has ended")
	}
}

// Guards against a plan that takes effect early, late or only with the next
// change, and against an operator's drain that a sheet removes.
func TestPlanTakesEffectOnItsDay(t *testing.T) {
	l := newFakeLog()
	var clock atomic.Pointer[time.Time]
	set := func(t time.Time) { clock.Store(&t) }
	set(time.Date(2026, 12, 4, 23, 59, 59, 0, rome))
	d := newDaemon(t, l, func(sc *StoreConfig, _ *PublisherConfig) { sc.Now = func() time.Time { return *clock.Load() } })
	d.run(t)
	d.awaitReady(t)
	d.submit(t, proposal("drain", 0, Merge, teamOp("a", 1), Op{Drain: &Drain{Target: "w1", Operator: true}}))
	p := proposal("plan", d.Current().Version, Sheet, teamOp("a", 2), putIntention(intention(workload.Service, "web", "", 0)))
	p.Day = "2026-12-05"
	d.submit(t, p)
	d.submit(t, proposal("today", d.Current().Version, Merge, teamOp("b", 1), Op{Drain: &Drain{Target: "w2", Operator: true}}, Op{Remove: &Ref{DrainEntry, "w1"}}))
	if st := d.Current(); st.Teams["a"].Quota.CPUMilli != 1000 || len(DesiredJobs(st, *clock.Load(), rome)) != 0 {
		t.Fatalf("the plan is in force a day early: %+v", st.Teams)
	}
	set(time.Date(2026, 12, 5, 0, 0, 0, 0, rome))
	eventually(t, "the plan is in force", func() bool { return d.Current().Teams["a"].Quota.CPUMilli == 2000 })
	st := d.Current()
	if len(st.Teams) != 1 || len(DesiredJobs(st, *clock.Load(), rome)) != 1 || len(st.Drains) != 1 || st.Drains["w2"].Target != "w2" {
		t.Fatalf("after midnight: %+v", st)
	}
}
