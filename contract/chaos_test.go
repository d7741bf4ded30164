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

// twoOwners looks for a key for which two daemons have tenure at one moment: the
// first has it at the same epoch before and after the second is seen to have it.
func twoOwners(ds []*daemon) string {
	for _, k := range allKeys() {
		for _, d := range ds {
			first, ok := d.claimer.Tenure(k)
			if !ok {
				continue
			}
			for _, o := range ds {
				second, has := o.claimer.Tenure(k)
				again, still := d.claimer.Tenure(k)
				if o != d && has && still && again.Epoch == first.Epoch {
					return fmt.Sprintf("%s: %s at epoch %d and %s at epoch %d", k, d.id, first.Epoch, o.id, second.Epoch)
				}
			}
		}
	}
	return ""
}

// Guards against two daemons that act for one key while the log fails, answers
// are lost, and daemons are isolated or paused, several at once.
func TestNeverTwoOwners(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			c := newCell(t, standin.LogConfig{})
			ds := []*daemon{c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1), c.start("e", "lom-monza", 1)}
			eventually(t, "all keys held", holdAll(keysOfCell, ds...))
			ended := make(chan struct{})
			var wg sync.WaitGroup
			wg.Go(func() {
				for {
					select {
					case <-ended:
						return
					default:
					}
					if found := twoOwners(ds); found != "" {
						t.Error(found)
						return
					}
					time.Sleep(time.Millisecond)
				}
			})
			r := rand.New(rand.NewPCG(seed, 1))
			for range 12 {
				c.randomFault(r, ds)
			}
			c.log.SetFaults(standin.LogFaults{})
			eventually(t, "all keys held after the faults", holdAll(keysOfCell, ds...))
			close(ended)
			wg.Wait()
		})
	}
}

// randomFault makes up to two faults at once, lets them last, and ends them.
func (c *cell) randomFault(r *rand.Rand, ds []*daemon) {
	c.log.SetFaults([]standin.LogFaults{{}, {Down: true}, {LoseAnswers: -1}, {DelayMS: 200}, {AnswerDelayMS: 500}}[r.IntN(5)])
	d := ds[r.IntN(len(ds))]
	fault := r.IntN(4)
	switch fault {
	case 0:
		d.isolatePeers(true)
	case 1:
		d.logCut.Store(true)
	case 2:
		d.stop()
	}
	time.Sleep(time.Duration(300+r.IntN(1500)) * time.Millisecond)
	switch fault {
	case 0:
		d.isolatePeers(false)
	case 1:
		d.logCut.Store(false)
	case 2:
		d.run(d.members.Run, d.claimer.Run, d.grants.Run)
	}
}

// Guards against a daemon that continues with the keys of its former incarnation.
func TestRestartClaimsAnew(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.settled(a, b)
	epochs := make(map[contract.Key]contract.Epoch)
	for _, k := range a.claimer.Held() {
		_, epochs[k], _ = a.claimer.Owner(k)
	}
	a.stop()
	again := c.start("a", "lom-bergamo", 2)
	eventually(t, "all keys held", holdAll(keysOfCell, again, b))
	for k, old := range epochs {
		if _, e, _ := again.claimer.Owner(k); e <= old {
			t.Errorf("%s still has epoch %d of the former incarnation", k, old)
		}
	}
}

// Guards against a drain that leaves keys without an owner when answers are lost,
// or when the log was down at first.
func TestDrainWithLogFaults(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.settled(a, b)
	held := len(b.claimer.Held())
	c.log.SetFaults(standin.LogFaults{Down: true})
	if err := b.claimer.Drain(t.Context()); err == nil {
		t.Error("drain succeeded while the log is down")
	}
	eventually(t, "b serves its keys while the log is down", func() bool { return len(b.claimer.Held()) == held })
	c.log.SetFaults(standin.LogFaults{LoseAnswers: -1})
	eventually(t, "drained", func() bool { return b.claimer.Drain(t.Context()) == nil })
	eventually(t, "a holds all keys", holdAll(keysOfCell, a))
}

// Guards against a cell that stops when every daemon is replaced one by one.
func TestRollingReplacement(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	old := []*daemon{c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)}
	c.settled(old...)
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
	eventually(t, "the new daemons hold all keys", holdAll(keysOfCell, fresh...))
}
