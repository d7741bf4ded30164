package config

import (
	"context"
	"fmt"
	"sync"
	"testing"

	dto "github.com/prometheus/client_model/go"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against a change that is answered before every reader would accept it,
// and against readers that fold the same stream to different states.
func TestChangeReachesEveryStore(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	res := a.submit(t, proposal("1", 0, Strict, teamOp("a", 4)))
	if a.Current().Version != res.Version || a.Current().Teams["a"].Quota.CPUMilli != 4000 {
		t.Fatalf("accepted, but the publisher's daemon has %+v", a.Current())
	}
	b.awaitVersion(t, res.Version)
	if b.Current().Teams["a"] != a.Current().Teams["a"] {
		t.Fatal("stores differ")
	}
}

// Guards against two winners on one base, and against losers that are not told who won.
func TestOperatorsRaceOneWinner(t *testing.T) {
	for _, operators := range []int{2, 5} {
		for _, mode := range []Mode{Strict, Sheet, Merge} {
			l := newFakeLog()
			results := make([]error, operators)
			var wg sync.WaitGroup
			for i := range operators {
				d := startDaemon(t, l, nil).awaitReady(t)
				wg.Go(func() {
					p := proposal(fmt.Sprint("op", i), 0, mode, teamOp("a", int64(i+1)))
					p.By = fmt.Sprint("operator ", i)
					_, results[i] = d.pub.Submit(context.Background(), p)
				})
			}
			wg.Wait()
			d := startDaemon(t, l, nil).awaitReady(t)
			history := d.History(10)
			if len(history) != 1 {
				t.Fatalf("%d operators, mode %d: %d changes accepted, want 1", operators, mode, len(history))
			}
			for i, err := range results {
				won := history[0].ID == fmt.Sprint("op", i)
				winner, told := ConflictingChange(err)
				if won != (err == nil) || !won && (!told || winner.ID != history[0].ID || errkind.Of(err) != errkind.Conflict) {
					t.Errorf("%d operators, mode %d: operator %d won=%t, answer %v", operators, mode, i, won, err)
				}
			}
		}
	}
}

// Guards against small changes of different entries beating each other, which
// would make an operator's change fail at every tick of the others.
func TestMergeOfDifferentEntries(t *testing.T) {
	l := newFakeLog()
	const daemons, each = 4, 25
	var wg sync.WaitGroup
	for i := range daemons {
		d := startDaemon(t, l, nil).awaitReady(t)
		for j := range each {
			wg.Go(func() {
				name := fmt.Sprintf("t%d-%d", i, j)
				if _, err := d.pub.Submit(context.Background(), proposal(name, 0, Merge, teamOp(name, 1))); err != nil {
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

// Guards against a repeated sheet that makes a version, and against a repeated id that is run again.
func TestSameContentOrSameIDMakesNoChange(t *testing.T) {
	d := startDaemon(t, newFakeLog(), nil).awaitReady(t)
	first := d.submit(t, proposal("1", 0, Sheet, teamOp("a", 4)))
	if res := d.submit(t, proposal("2", 0, Sheet, teamOp("a", 4))); !res.NoChange || res.Version != first.Version {
		t.Fatalf("same content gave %+v", res)
	}
	d.submit(t, proposal("3", first.Version, Strict, teamOp("a", 5)))
	if res := d.submit(t, proposal("1", 0, Sheet, teamOp("a", 4))); !res.Repeated || res.Version != first.Version {
		t.Fatalf("same id gave %+v", res)
	}
	if d.Current().Teams["a"].Quota.CPUMilli != 5000 || len(d.History(10)) != 2 {
		t.Fatal("a repeat changed the configuration")
	}
}

// Guards against a sheet that leaves out an entry which another change altered
// after the operator looked, although the sheet names it with its old content.
func TestSheetIsNotAppliedInPart(t *testing.T) {
	d := startDaemon(t, newFakeLog(), nil).awaitReady(t)
	base := d.submit(t, proposal("1", 0, Sheet, teamOp("a", 4))).Version
	d.submit(t, proposal("2", base, Merge, teamOp("a", 5)))
	_, err := d.pub.Submit(context.Background(), proposal("3", base, Sheet, teamOp("a", 4), teamOp("b", 1)))
	if winner, ok := ConflictingChange(err); !ok || winner.ID != "2" {
		t.Fatalf("the sheet was not told that change 2 beat it: %v", err)
	}
	if len(d.Current().Teams) != 1 {
		t.Error("a part of the beaten sheet is in force")
	}
}

// Guards against changes that fail only because they waited in the queue while
// more changes than the history holds were accepted.
func TestQueuedChangesOutliveTheHistory(t *testing.T) {
	d := newDaemon(t, newFakeLog(), func(sc *StoreConfig, pc *PublisherConfig) { sc.HistoryLimit, pc.MaxProposals = 2, 1 })
	for i, err := range d.queueThenRun(t, 20, func(i int) Op { return teamOp(fmt.Sprint("t", i), 1) }) {
		if err != nil {
			t.Errorf("t%d: %v", i, err)
		}
	}
	if _, err := d.pub.Submit(context.Background(), proposal("t0", 0, Merge, teamOp("t0", 2))); errkind.Of(err) != errkind.OutcomeUnknown {
		t.Errorf("a repeat of an id that has left the history: %v, want outcome_unknown", err)
	}
	if res := d.submit(t, proposal("any", AnyBase, Merge, teamOp("t0", 3))); res.Version != d.Current().Version {
		t.Errorf("a change on any base gave %+v", res)
	}
}

// Guards against changes of one entry that share a record and so never meet.
func TestBatchedChangesOfOneEntryOneWinner(t *testing.T) {
	d := newDaemon(t, newFakeLog(), nil)
	won := 0
	for _, err := range d.queueThenRun(t, 5, func(i int) Op { return teamOp("a", int64(i+1)) }) {
		if err == nil {
			won++
		} else if _, told := ConflictingChange(err); !told {
			t.Error(err)
		}
	}
	if won != 1 {
		t.Errorf("%d winners, want 1", won)
	}
}

// queueThenRun queues n changes before the publisher runs and returns their errors.
func (d *daemon) queueThenRun(t *testing.T, n int, op func(int) Op) []error {
	d.setReady()
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			_, errs[i] = d.pub.Submit(context.Background(), proposal(fmt.Sprint("t", i), 0, Merge, op(i)))
		})
	}
	eventually(t, "every change is queued", func() bool { d.pub.mu.Lock(); defer d.pub.mu.Unlock(); return len(d.pub.queue) == n })
	d.run(t)
	wg.Wait()
	return errs
}

// Guards against a time to force that is not measured on every daemon, and
// against history read at a start being counted as slow changes.
func TestTimeToForceIsMeasured(t *testing.T) {
	l := newFakeLog()
	a, b := startDaemon(t, l, nil).awaitReady(t), startDaemon(t, l, nil).awaitReady(t)
	res := a.submit(t, proposal("1", 0, Strict, teamOp("a", 4)))
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
