package contract_test

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// afterAnyTenure is a time after which every tenure that was confirmed before it has ended.
// The tenure of the fixture is 500 ms.
const afterAnyTenure = 4 * 500 * time.Millisecond

// waitStable waits until ds together hold all keys of the log region, and the control
// stream has had no new record for a second.
func (c *cell) waitStable(ds ...*daemon) {
	c.t.Helper()
	last, since := upstream.Offset(0), time.Now()
	hold := holdExactly(logRegionKeys, ds...)
	eventually(c.t, "all keys held and no new records", func() bool {
		if head := c.head(); head != last || !hold() {
			last, since = head, time.Now()
		}
		return time.Since(since) > time.Second
	})
}

// head returns the offset of the next record of the control stream.
func (c *cell) head() upstream.Offset {
	head, err := upstream.Head(context.Background(), upstream.NewLogClient(upstream.ClientConfig{BaseURL: c.logURL}), upstream.StreamControl)
	if err != nil {
		c.t.Fatal(err)
	}
	return head
}

// Guards against a daemon that loses its keys because it alone cannot reach the log. It
// must read the log through the relay of a peer.
func TestTenureThroughRelay(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.waitStable(a, b, d)
	d.logBlocked.Store(true)
	time.Sleep(afterAnyTenure)
	eventually(t, "keys held through the relay", holdExactly(logRegionKeys, a, b, d))
	// The tenure must be confirmed through the relay and not by promises: the daemon reads a
	// record that was appended after it was cut off from the log.
	e := c.start("e", "lom-monza", 1)
	eventually(t, "daemon learns of a new owner through the relay", func() bool {
		for _, k := range e.claimer.Held() {
			if owner, _, _ := d.claimer.Owner(k); owner == "e" {
				return true
			}
		}
		return false
	})
}

// Guards against tenure that is lost in an outage of the log although all members of the
// electorate promise not to claim, and against tenure that is kept while a member which
// could claim is unresponsive.
func TestTenureByPromises(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.waitStable(a, b, d)
	c.log.SetFaults(standin.LogFaults{Down: true})
	time.Sleep(afterAnyTenure)
	eventually(t, "keys held by promises", holdExactly(logRegionKeys, a, b, d))

	d.stop()
	eventually(t, "no key held while a member is unresponsive", holdExactly(0, a, b))
	time.Sleep(afterAnyTenure)
	if n := len(a.claimer.Held()) + len(b.claimer.Held()); n != 0 {
		t.Errorf("%d keys held while a member is unresponsive", n)
	}
	owned := c.countOwned(a) + c.countOwned(b)
	c.hosts.Set(upstream.Host{ID: "d", Kind: upstream.DaemonHost, Zone: "lom-bergamo", State: upstream.Gone})
	eventually(t, "keys held again when the member is gone", holdExactly(owned, a, b))
}

// countOwned returns the number of keys of the log region that d owns according to the log,
// with or without tenure.
func (c *cell) countOwned(d *daemon) int {
	n := 0
	for _, k := range allKeys() {
		if owner, _, _ := d.claimer.Owner(k); owner == d.id {
			n++
		}
	}
	return n
}

// allKeys returns the keys of lombardy, the region of the log.
func allKeys() []contract.Key {
	var keys []contract.Key
	for i := range 4 {
		keys = append(keys, contract.JobsKey("lombardy", i), contract.IDsKey("lombardy", i),
			contract.RackKey("lom-bergamo", "r"+string(rune('0'+i))))
	}
	return keys
}

// Guards against a region that loses its keys while it is partitioned from the region of the
// log, and against a daemon that claims keys of another region.
func TestTenureInPartition(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	x, y := c.start("x", "ven-treviso", 1), c.start("y", "ven-treviso", 1)
	regionHolds := func(n int) func() bool { return holdExactly(n, x, y) }
	eventually(t, "both regions hold their keys", func() bool { return regionHolds(8)() && holdExactly(logRegionKeys, a)() })
	c.waitNoNewRecords(x, y)
	c.partitioned.Store(true)
	x.logBlocked.Store(true)
	y.logBlocked.Store(true)
	time.Sleep(afterAnyTenure)
	eventually(t, "partitioned region holds its keys", regionHolds(8))
	eventually(t, "log region holds its keys", holdExactly(logRegionKeys, a))
	for _, k := range a.claimer.Held() {
		if k.Location() == "veneto" {
			t.Errorf("%s is held by a daemon of another region", k)
		}
	}
}

// waitNoNewRecords waits until the control stream has had no new record for a second, so
// that the electorates are up to date.
func (c *cell) waitNoNewRecords(...*daemon) {
	last, since := c.head(), time.Now()
	eventually(c.t, "no new records", func() bool {
		if head := c.head(); head != last {
			last, since = head, time.Now()
		}
		return time.Since(since) > time.Second
	})
}

// Guards against a paused owner that acts after it resumes although another daemon has taken
// its keys over: its tenure must end before the other daemon may act, and only the log may
// confirm it again.
func TestTenureAfterPause(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.waitStable(a, b, d)
	deadlines := make(map[contract.Key]time.Time)
	keys := d.claimer.Held()
	d.setIsolated(true) // so that no goroutine of its server answers either
	d.stop()
	for _, k := range keys {
		if tenure, ok := d.claimer.Tenure(k); ok {
			deadlines[k] = tenure.Deadline
		}
	}
	if len(deadlines) == 0 {
		t.Fatal("the paused daemon held no key")
	}
	for k, deadline := range deadlines {
		eventually(t, string(k)+" taken over", func() bool {
			_, okA := a.claimer.Tenure(k)
			_, okB := b.claimer.Tenure(k)
			if (okA || okB) && time.Now().Before(deadline) {
				t.Errorf("two daemons may act for %s", k)
			}
			return okA || okB
		})
		if _, ok := d.claimer.Tenure(k); ok {
			t.Errorf("paused daemon still has a tenure for %s", k)
		}
	}
	d.setIsolated(false)
	d.run(d.members.Run, d.claimer.Run)
	eventually(t, "resumed daemon sees that it lost the keys", func() bool {
		for k := range deadlines {
			if owner, _, _ := d.claimer.Owner(k); owner == "d" {
				if _, ok := d.claimer.Tenure(k); ok && len(d.claimer.Held()) == 0 {
					t.Errorf("resumed daemon acts for %s", k)
				}
				return false
			}
		}
		return true
	})
}
