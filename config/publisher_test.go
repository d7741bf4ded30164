package config

import (
	"context"
	"fmt"
	"sync"
	"testing"

	dto "github.com/prometheus/client_model/go"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against a change that is reported as accepted before the publisher's own store
// has it in force, and against stores that fold the same stream to different states.
func TestChangeReachesEveryStore(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	res := a.submit(t, newProposal("1", 0, Strict, teamOp("a", 4)))
	if a.Current().Version != res.Version || a.Current().Teams["a"].Quota.CPUMilli != 4000 {
		t.Fatalf("the change is accepted, but the publisher's store has %+v", a.Current())
	}
	b.awaitVersion(t, res.Version)
	if b.Current().Teams["a"] != a.Current().Teams["a"] {
		t.Fatal("the two stores hold different values of team a")
	}
}

// Guards against two conflicting changes on the same base that are both accepted, and
// against conflict errors that do not name the accepted change.
func TestConcurrentChangesHaveOneWinner(t *testing.T) {
	for _, operators := range []int{2, 5} {
		for _, mode := range []Mode{Strict, Sheet, Merge} {
			l := newFakeLog()
			results := make([]error, operators)
			var wg sync.WaitGroup
			for i := range operators {
				d := startDaemon(t, l, nil).awaitReady(t)
				wg.Go(func() {
					p := newProposal(fmt.Sprint("op", i), 0, mode, teamOp("a", int64(i+1)))
					p.By = fmt.Sprint("operator ", i)
					_, results[i] = d.publisher.Submit(context.Background(), p)
				})
			}
			wg.Wait()
			d := startDaemon(t, l, nil).awaitReady(t)
			history := d.History(10)
			if len(history) != 1 {
				t.Fatalf("%d operators, mode %d: %d changes accepted, want 1", operators, mode, len(history))
			}
			for i, err := range results {
				accepted := history[0].ID == fmt.Sprint("op", i)
				conflict, ok := ConflictingChange(err)
				if accepted != (err == nil) || !accepted && (!ok || conflict.ID != history[0].ID || errkind.Of(err) != errkind.Conflict) {
					t.Errorf("%d operators, mode %d: operator %d accepted=%t, error %v; want no error if accepted, else a conflict with the accepted change", operators, mode, i, accepted, err)
				}
			}
		}
	}
}

// Guards against conflicts between small changes of different entries. With them, an
// operator's change would fail whenever others change something else.
func TestMergesOfDifferentEntriesDoNotConflict(t *testing.T) {
	l := newFakeLog()
	const daemons, each = 4, 25
	var wg sync.WaitGroup
	for i := range daemons {
		d := startDaemon(t, l, nil).awaitReady(t)
		for j := range each {
			wg.Go(func() {
				name := fmt.Sprintf("t%d-%d", i, j)
				if _, err := d.publisher.Submit(context.Background(), newProposal(name, 0, Merge, teamOp(name, 1))); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			})
		}
	}
	wg.Wait()
	if d := startDaemon(t, l, nil).awaitReady(t); len(d.Current().Teams) != daemons*each {
		t.Fatalf("%d teams, want %d", len(d.Current().Teams), daemons*each)
	}
}

// Guards against a sheet with unchanged content that makes a new version, and against
// a repeated id that is applied again.
func TestSameContentOrSameIDMakesNoChange(t *testing.T) {
	d := startDaemon(t, newFakeLog(), nil).awaitReady(t)
	first := d.submit(t, newProposal("1", 0, Sheet, teamOp("a", 4)))
	if res := d.submit(t, newProposal("2", 0, Sheet, teamOp("a", 4))); !res.NoChange || res.Version != first.Version {
		t.Fatalf("same content gave %+v, want no change and the first version", res)
	}
	d.submit(t, newProposal("3", first.Version, Strict, teamOp("a", 5)))
	if res := d.submit(t, newProposal("1", 0, Sheet, teamOp("a", 4))); !res.Repeated || res.Version != first.Version {
		t.Fatalf("same id gave %+v, want a repeat with the first version", res)
	}
	if d.Current().Teams["a"].Quota.CPUMilli != 5000 || len(d.History(10)) != 2 {
		t.Fatal("a repeat changed the configuration")
	}
}

// Guards against a sheet that is applied without one of its entries, because another
// change altered that entry after the sheet's base and the sheet holds its old value.
func TestConflictingSheetIsNotAppliedInPart(t *testing.T) {
	d := startDaemon(t, newFakeLog(), nil).awaitReady(t)
	base := d.submit(t, newProposal("1", 0, Sheet, teamOp("a", 4))).Version
	d.submit(t, newProposal("2", base, Merge, teamOp("a", 5)))
	_, err := d.publisher.Submit(context.Background(), newProposal("3", base, Sheet, teamOp("a", 4), teamOp("b", 1)))
	if winner, ok := ConflictingChange(err); !ok || winner.ID != "2" {
		t.Fatalf("got %v, want a conflict with change 2", err)
	}
	if len(d.Current().Teams) != 1 {
		t.Error("a part of the refused sheet is in force")
	}
}

// Guards against queued changes that fail because more changes than the history holds
// are accepted while they wait.
func TestQueuedChangesSurviveShortHistory(t *testing.T) {
	d := newDaemon(t, newFakeLog(), func(sc *StoreConfig, pc *PublisherConfig) { sc.HistoryLimit, pc.MaxProposals = 2, 1 })
	for i, err := range d.queueThenRun(t, 20, func(i int) Op { return teamOp(fmt.Sprint("t", i), 1) }) {
		if err != nil {
			t.Errorf("t%d: %v", i, err)
		}
	}
	if _, err := d.publisher.Submit(context.Background(), newProposal("t0", 0, Merge, teamOp("t0", 2))); errkind.Of(err) != errkind.OutcomeUnknown {
		t.Errorf("a repeat of an id that has left the history: %v, want outcome_unknown", err)
	}
	if res := d.submit(t, newProposal("any", AnyBase, Merge, teamOp("t0", 3))); res.Version != d.Current().Version {
		t.Errorf("a change on any base gave %+v, want the version in force", res)
	}
}

// Guards against missed conflicts between queued changes of the same entry: if they
// shared a record, they would not be checked against each other.
func TestQueuedChangesOfOneEntryHaveOneWinner(t *testing.T) {
	d := newDaemon(t, newFakeLog(), nil)
	accepted := 0
	for _, err := range d.queueThenRun(t, 5, func(i int) Op { return teamOp("a", int64(i+1)) }) {
		if err == nil {
			accepted++
		} else if _, ok := ConflictingChange(err); !ok {
			t.Error(err)
		}
	}
	if accepted != 1 {
		t.Errorf("%d changes accepted, want 1", accepted)
	}
}

// queueThenRun queues n changes, in the order of their numbers, before the publisher runs and returns their errors.
func (d *daemon) queueThenRun(t *testing.T, n int, op func(int) Op) []error {
	d.setReady()
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			_, errs[i] = d.publisher.Submit(context.Background(), newProposal(fmt.Sprint("t", i), 0, Merge, op(i)))
		})
		eventually(t, "the change is queued", func() bool {
			d.publisher.mu.Lock()
			defer d.publisher.mu.Unlock()
			return len(d.publisher.queue) == i+1
		})
	}
	d.run(t)
	wg.Wait()
	return errs
}

// Guards against a daemon that does not measure the delay until a change is in force,
// and against one that counts changes of the history, read at its start, as slow.
func TestInForceDelayIsMeasured(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	res := a.submit(t, newProposal("1", 0, Strict, teamOp("a", 4)))
	b.awaitVersion(t, res.Version)
	late := startDaemon(t, l, nil).awaitReady(t)
	late.awaitVersion(t, res.Version)
	for name, c := range map[string]struct {
		d    *daemon
		want uint64
	}{"publisher": {a, 1}, "reader": {b, 1}, "late start": {late, 0}} {
		var m dto.Metric
		if err := c.d.metrics.inForceDelay.Write(&m); err != nil {
			t.Fatal(err)
		}
		if got := m.GetHistogram().GetSampleCount(); got != c.want {
			t.Errorf("%s: %d changes measured, want %d", name, got, c.want)
		}
	}
}
