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

// scenario folds changes into an image without a log.
type scenario struct {
	t     testing.TB
	image Image
}

func newScenario(t testing.TB) *scenario { return &scenario{t, emptyImage()} }

// applyChange folds a change that is published on the local date today and holds from day on.
func (s *scenario) applyChange(today, day string, ops ...Op) {
	s.t.Helper()
	rec := changeRecord{FormatVersion: 1, Base: s.image.State.Version, Today: today, Changes: []change{{ID: fmt.Sprint(s.image.Next), Day: day, Ops: ops}}}
	data, err := encodeChange(rec)
	if err != nil {
		s.t.Fatal(err)
	}
	im, result, err := s.image.fold(upstream.Record{Offset: s.image.Next, Data: data}, 100)
	if err != nil || !result.accepted {
		s.t.Fatalf("change was not accepted: %v", err)
	}
	s.image = im
}

// countRuns returns how often each job id becomes due between two instants.
func (s *scenario) countRuns(from, to time.Time, step time.Duration, loc *time.Location) map[string]int {
	runs, due := make(map[string]int), make(map[string]bool)
	for now := from; now.Before(to); now = now.Add(step) {
		current := make(map[string]bool)
		for _, j := range DesiredJobs(s.image.State, now, loc) {
			current[j.ID] = true
			if !due[j.ID] {
				runs[j.ID]++
			}
		}
		due = current
	}
	return runs
}

// Guards against slots that are lost or run twice when the offset from UTC changes.
// Batches start at every quarter of an hour on the three days around a change; each
// must start exactly once a day, at the first instant at which a local clock shows
// its start time or a later one.
func TestEachSlotStartsOnceAcrossClockChanges(t *testing.T) {
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
			ops = append(ops, putIntention(newIntention(workload.Batch, "at"+at[:2]+at[3:], at, 30*time.Minute)))
		}
		s.applyChange(first, first, ops...)
		from := time.Date(day.Year(), day.Month(), day.Day()-1, 0, 0, 0, 0, loc)
		runs := s.countRuns(from, from.AddDate(0, 0, 3), 5*time.Minute, loc)
		if len(runs) != 3*96 {
			t.Errorf("%s %s: %d slots started, want %d", c.location, c.day, len(runs), 3*96)
		}
		for id, n := range runs {
			if n != 1 {
				t.Errorf("%s: slot %s became due %d times, want once", c.location, id, n)
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

// Guards against a batch that stops being due before its grace is over, because
// midnight passes or the next day's sheet removes it, and against one that stays due
// after its grace.
func TestBatchStaysDueUntilGraceEnds(t *testing.T) {
	s := newScenario(t)
	s.applyChange("2026-12-04", "2026-12-04", putIntention(newIntention(workload.Batch, "late", "23:00", 4*time.Hour)))
	s.applyChange("2026-12-04", "2026-12-05", Op{Remove: &Ref{IntentionEntry, "a/late"}})
	at := func(day, hour, minute int) []workload.Job {
		return DesiredJobs(s.image.State, time.Date(2026, 12, day, hour, minute, 0, 0, rome), rome)
	}
	start := time.Date(2026, 12, 4, 23, 0, 0, 0, rome)
	before, first, last, after := at(4, 22, 59), at(4, 23, 0), at(5, 2, 59), at(5, 3, 0)
	if len(before) != 0 || len(first) != 1 || len(last) != 1 || len(after) != 0 {
		t.Fatalf("jobs due: %d before the start, %d at it, %d at the end of grace, %d after; want 0, 1, 1 and 0", len(before), len(first), len(last), len(after))
	}
	if first[0].ID != last[0].ID || !first[0].Deadline.Equal(start) || first[0].Grace != 4*time.Hour {
		t.Errorf("jobs %+v and %+v, want the same id, the start as deadline and a grace of 4h", first[0], last[0])
	}
	if jobs := at(5, 23, 30); len(jobs) != 0 {
		t.Errorf("the removed batch is due again: %+v", jobs)
	}
	s.applyChange("2026-12-05", "2026-12-05", teamOp("a", 1))
	if len(at(5, 2, 0)) != 1 {
		t.Error("a later change dropped the batch in grace")
	}
	s.applyChange("2026-12-09", "2026-12-09", teamOp("a", 2))
	if len(s.image.State.Retired) != 0 {
		t.Error("a batch past its grace is still kept as retired")
	}
}

// Guards against a second run of a batch whose start time is moved to later on the
// same day after it has started.
func TestMovedBatchKeepsItsSlot(t *testing.T) {
	s := newScenario(t)
	s.applyChange("2026-12-04", "2026-12-04", putIntention(newIntention(workload.Batch, "b", "06:00", time.Hour)))
	early := DesiredJobs(s.image.State, time.Date(2026, 12, 4, 6, 0, 0, 0, rome), rome)
	s.applyChange("2026-12-04", "2026-12-04", putIntention(newIntention(workload.Batch, "b", "11:00", time.Hour)))
	late := DesiredJobs(s.image.State, time.Date(2026, 12, 4, 11, 0, 0, 0, rome), rome)
	if len(early) != 1 || len(late) != 1 || early[0].ID != late[0].ID {
		t.Errorf("jobs %v and %v, want one each with the same id", early, late)
	}
}

// Guards against wrong dates for days of the month: a day that a month does not have
// is skipped, and LastDay is the last day of each month.
func TestDaysOfTheMonth(t *testing.T) {
	it := newIntention(workload.Batch, "m", "06:00", time.Hour)
	it.Days, it.Day = []int{1, 30, LastDay}, "2026-01-01"
	s := newScenario(t)
	s.applyChange("2026-01-01", "2026-01-01", putIntention(it))
	got := s.countRuns(time.Date(2026, 2, 1, 0, 0, 0, 0, rome), time.Date(2026, 4, 1, 0, 0, 0, 0, rome), 30*time.Minute, rome)
	for _, date := range []string{"2026-02-01", "2026-02-28", "2026-03-01", "2026-03-30", "2026-03-31"} {
		if got[JobID("a", "m", date, "0")] != 1 {
			t.Errorf("%s became due %d times, want 1", date, got[JobID("a", "m", date, "0")])
		}
	}
	if len(got) != 5 {
		t.Errorf("%d slots became due, want 5", len(got))
	}
}

// Guards against a service that is restarted by each morning's sheet because its job
// id changes, and against one that keeps its id although its resources change or
// it was removed in between.
func TestServiceKeepsItsIDWhileItRuns(t *testing.T) {
	s := newScenario(t)
	id := func(day int) string {
		jobs := DesiredJobs(s.image.State, time.Date(2026, 12, day, 12, 0, 0, 0, rome), rome)
		if len(jobs) != 1 {
			t.Fatalf("%d jobs desired on day %d, want 1", len(jobs), day)
		}
		return jobs[0].ID
	}
	it := newIntention(workload.Service, "web", "", 0)
	s.applyChange("2026-12-04", "2026-12-04", putIntention(it))
	first := id(4)
	it.Job.Count = 5
	s.applyChange("2026-12-05", "2026-12-05", putIntention(it))
	if id(5) != first {
		t.Error("a change of count changed the job id")
	}
	it.Job.Resources = machine.Resources{CPUMilli: 900, MemoryMiB: 256}
	s.applyChange("2026-12-05", "2026-12-05", putIntention(it))
	resized := id(5)
	s.applyChange("2026-12-05", "2026-12-05", Op{Remove: &Ref{IntentionEntry, "a/web"}})
	s.applyChange("2026-12-05", "2026-12-05", putIntention(it))
	if resized == first || id(5) == resized {
		t.Error("a service that was resized, or removed and set again, kept the job id, want a new one")
	}
}

// Guards against a plan that takes effect before its day, after it or only with the
// next change, and against a plan that removes operators' drains or restores one that
// the operator has removed.
func TestPlanTakesEffectOnItsDay(t *testing.T) {
	l := newFakeLog()
	var clock atomic.Pointer[time.Time]
	set := func(t time.Time) { clock.Store(&t) }
	set(time.Date(2026, 12, 4, 23, 59, 59, 0, rome))
	d := newDaemon(t, l, func(sc *StoreConfig, _ *PublisherConfig) { sc.Now = func() time.Time { return *clock.Load() } })
	d.run(t)
	d.awaitReady(t)
	d.submit(t, newProposal("drain", 0, Merge, teamOp("a", 1), Op{Drain: &Drain{Target: "w1", Operator: true}}))
	p := newProposal("plan", d.Current().Version, Sheet, teamOp("a", 2), putIntention(newIntention(workload.Service, "web", "", 0)))
	p.Day = "2026-12-05"
	d.submit(t, p)
	d.submit(t, newProposal("today", d.Current().Version, Merge, teamOp("b", 1), Op{Drain: &Drain{Target: "w2", Operator: true}}, Op{Remove: &Ref{DrainEntry, "w1"}}))
	if st := d.Current(); st.Teams["a"].Quota.CPUMilli != 1000 || len(DesiredJobs(st, *clock.Load(), rome)) != 0 {
		t.Fatalf("the plan is in force a day early: %+v", st.Teams)
	}
	set(time.Date(2026, 12, 5, 0, 0, 0, 0, rome))
	eventually(t, "the plan is in force", func() bool { return d.Current().Teams["a"].Quota.CPUMilli == 2000 })
	st := d.Current()
	if len(st.Teams) != 1 || len(DesiredJobs(st, *clock.Load(), rome)) != 1 || len(st.Drains) != 1 || st.Drains["w2"].Target != "w2" {
		t.Fatalf("after midnight: %+v, want team a, one service and the drain of w2 only", st)
	}
}
