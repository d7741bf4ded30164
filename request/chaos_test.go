package request

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
)

// Guards against wrong outcomes while executors fail, groups and id shards move, a
// link goes silent and a daemon dies: no request reported as "not run" may have run by
// then, or run later without a further call, no non-repeatable request may have run twice,
// and every answer must be the caller's own.
func TestChaosOutcomesMatchRuns(t *testing.T) {
	c, ds := newThreeDaemonCell(t, standin.ExecutorConfig{Slots: 4, ServiceTime: 5 * time.Millisecond, Exponential: true}, nil)
	rng := rand.New(rand.NewPCG(3, 3))
	type result struct {
		class Class
		err   error
		runs  int // of the id, when the call ended
	}
	isNotRun := func(r result) bool { return r.err != nil && errkind.ResponseOf(r.err).Outcome == errkind.NotRun }
	var mu sync.Mutex
	results := map[string][]result{}
	call := func(d *testDaemon, class Class, id string) {
		a, err := doCall(d, class, id, id, 1500*time.Millisecond)
		if err == nil && (string(a.Body) != id || a.ID != id) {
			t.Errorf("request %s got the answer %q, want the id as body and as id of the answer", id, a.Body)
		}
		runs := c.runCounts()[id]
		mu.Lock()
		defer mu.Unlock()
		results[id] = append(results[id], result{class, err, runs})
	}
	faults := []standin.ExecutorFaults{{}, {FailFastShare: 0.5}, {CrossID: true}, {Truncate: true}, {AnswerDelayMS: 300}, {Silent: true}, {SlowFactor: 20}}
	groups := []contract.Key{contract.ExecKey("w1", "a"), contract.ExecKey("w2", "b")}
	var wg sync.WaitGroup
	for step := range 60 {
		for range 10 {
			d, class, id := ds[rng.IntN(2)], []Class{Valuation, Quote, Nudge}[rng.IntN(3)], ulid.Make().String()
			repeatVia := ds[rng.IntN(2)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				call(d, class, id)
				if !class.Repeatable() {
					call(repeatVia, class, id)
				}
			}()
		}
		hosts, _ := c.Hosts(t.Context())
		c.executors[hosts[rng.IntN(len(hosts))].ID].SetFaults(faults[rng.IntN(len(faults))])
		switch {
		case step == 30: // d3 dies, with the groups that it may own
			c.setMemberState("d3", link.Dead)
			ds[2].stop()
			for _, k := range groups {
				c.setOwner("d1", k)
			}
		case step%7 == 3:
			c.setOwner([]string{"d1", "d2", "d3"}[rng.IntN(2+max(0, 1-step/30))], groups[rng.IntN(2)])
		case step%13 == 5:
			c.setOwner([]string{"d1", "d2"}[rng.IntN(2)], contract.IDsKey("west", rng.IntN(4)))
		case step%20 == 10:
			ds[1].silenced.Store(new(chan struct{}))
		case step%20 == 12:
			ds[1].silenced.Store(nil)
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	c.setFaults(standin.ExecutorFaults{})
	for _, d := range ds[:2] {
		if err := d.svc.Drain(t.Context()); err != nil {
			t.Error(err)
		}
	}
	runs, answered := c.runCounts(), 0
	for id, list := range results {
		for i, r := range list {
			if r.err == nil {
				answered++
			}
			if isNotRun(r) && r.runs > 0 {
				t.Errorf("%s %s was reported as not run (%v) but had run %d times", r.class, id, r.err, r.runs)
			}
			// A caller may call again after a refusal, and that call may run.
			if runs[id] > 0 && lo.EveryBy(list[i:], isNotRun) {
				t.Errorf("%s %s was reported as not run (%v) and not called again, but ran %d times", r.class, id, r.err, runs[id])
			}
			if !r.class.Repeatable() && runs[id] > 1 {
				t.Errorf("%s %s ran %d times, want at most once", r.class, id, runs[id])
			}
		}
	}
	if answered < len(results)/4 {
		t.Errorf("only %d calls were answered, for %d ids, want at least a quarter", answered, len(results))
	}
	c.checkExecutorLimits(4)
}
