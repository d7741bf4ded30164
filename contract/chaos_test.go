package contract_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// findTwoOwners describes a key for which two daemons have tenure at the same time, or
// returns "". Since the daemons are asked one after another, the first must have tenure at
// the same epoch before and after the second is asked.
func findTwoOwners(ds []*daemon) string {
	for _, k := range allKeys() {
		for _, d := range ds {
			first, ok := d.claimer.Tenure(k)
			if !ok {
				continue
			}
			for _, other := range ds {
				second, has := other.claimer.Tenure(k)
				again, still := d.claimer.Tenure(k)
				if other != d && has && still && again.Epoch == first.Epoch {
					return fmt.Sprintf("%s: both %s at epoch %d and %s at epoch %d have tenure", k, d.id, first.Epoch, other.id, second.Epoch)
				}
			}
		}
	}
	return ""
}

// Guards against two daemons that may act for one key at the same time, while the log is down,
// slow or loses answers, and daemons are isolated, cut off from the log or paused, up to two of
// these faults at a time.
func TestNeverTwoOwners(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			c := newCell(t, standin.LogConfig{})
			ds := []*daemon{c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1), c.start("e", "lom-monza", 1)}
			eventually(t, "all keys held", holdExactly(logRegionKeys, ds...))
			ended := make(chan struct{})
			var wg sync.WaitGroup
			wg.Go(func() {
				for {
					select {
					case <-ended:
						return
					default:
					}
					if found := findTwoOwners(ds); found != "" {
						t.Error(found)
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
			r := rand.New(rand.NewPCG(seed, 1))
			for range 12 {
				c.injectRandomFaults(r, ds)
			}
			c.log.SetFaults(standin.LogFaults{})
			eventually(t, "all keys held after the faults", holdExactly(logRegionKeys, ds...))
			close(ended)
			wg.Wait()
		})
	}
}

// injectRandomFaults causes at most one fault of the log and one of a daemon together, waits
// 0.3 to 1.8 s, and ends the fault of the daemon.
func (c *cell) injectRandomFaults(r *rand.Rand, ds []*daemon) {
	c.log.SetFaults([]standin.LogFaults{{}, {Down: true}, {LoseAnswers: -1}, {DelayMS: 200}, {AnswerDelayMS: 500}}[r.IntN(5)])
	d := ds[r.IntN(len(ds))]
	fault := r.IntN(4)
	switch fault {
	case 0:
		d.setIsolated(true)
	case 1:
		d.logBlocked.Store(true)
	case 2:
		d.stop()
	}
	time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
	switch fault {
	case 0:
		d.setIsolated(false)
	case 1:
		d.logBlocked.Store(false)
	case 2:
		d.run(d.members.Run, d.claimer.Run, d.grants.Run)
	}
}

// Guards against a restarted daemon that acts at the epochs of its former incarnation.
func TestRestartClaimsAnew(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.waitStable(a, b)
	epochs := make(map[contract.Key]contract.Epoch)
	for _, k := range a.claimer.Held() {
		_, epochs[k], _ = a.claimer.Owner(k)
	}
	a.stop()
	restarted := c.start("a", "lom-bergamo", 2)
	eventually(t, "all keys held", holdExactly(logRegionKeys, restarted, b))
	for k, old := range epochs {
		if _, e, _ := restarted.claimer.Owner(k); e <= old {
			t.Errorf("%s still has epoch %d of the former incarnation", k, old)
		}
	}
}

// Guards against a drain that leaves keys without an owner because the log is down at first,
// and then loses the answers to the appends.
func TestDrainWithLogFaults(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.waitStable(a, b)
	held := len(b.claimer.Held())
	c.log.SetFaults(standin.LogFaults{Down: true})
	if err := b.claimer.Drain(t.Context()); err == nil {
		t.Error("drain succeeded while the log is down")
	}
	eventually(t, "b holds its keys again after the failed drain", func() bool { return len(b.claimer.Held()) == held })
	c.log.SetFaults(standin.LogFaults{LoseAnswers: -1})
	eventually(t, "drained", func() bool { return b.claimer.Drain(t.Context()) == nil })
	eventually(t, "a holds all keys", holdExactly(logRegionKeys, a))
}

// Guards against keys that no daemon may claim any more when all daemons are replaced one by
// one: their electorates must be passed on to the new daemons.
func TestRollingReplacement(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	old := []*daemon{c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)}
	c.waitStable(old...)
	fresh := []*daemon{c.start("x", "lom-bergamo", 1)}
	eventually(t, "x gets keys", func() bool { return len(fresh[0].claimer.Held()) > 0 })
	for i, d := range old {
		d.stop()
		c.hosts.Set(upstream.Host{ID: d.id, Kind: upstream.DaemonHost, Zone: "lom-bergamo", State: upstream.Gone})
		if i == 0 {
			fresh = append(fresh, c.start("y", "lom-monza", 1))
			eventually(t, "y gets keys", func() bool { return len(fresh[1].claimer.Held()) > 0 })
		}
	}
	eventually(t, "the new daemons hold all keys", holdExactly(logRegionKeys, fresh...))
}
