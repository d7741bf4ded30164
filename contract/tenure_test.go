package contract_test

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// tenures is long enough for any tenure given before to have passed.
const tenures = 4 * 500 * time.Millisecond

// settled returns once every key has a holder and no epoch has changed for a while.
func (c *cell) settled(ds ...*daemon) {
	c.t.Helper()
	last, since := upstream.Offset(0), time.Now()
	hold := holdAll(keysOfCell, ds...)
	eventually(c.t, "all keys held and no new records", func() bool {
		if head := c.head(); head != last || !hold() {
			last, since = head, time.Now()
		}
		return time.Since(since) > time.Second
	})
}

func (c *cell) head() upstream.Offset {
	head, err := upstream.Head(context.Background(), upstream.NewLogClient(upstream.ClientConfig{BaseURL: c.logURL}), upstream.StreamControl)
	if err != nil {
		c.t.Fatal(err)
	}
	return head
}

// Row 1 of the tenure table. Guards against a daemon that loses its keys because
// only its own way to the log is cut.
func TestTenureThroughPeer(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.settled(a, b, d)
	d.logCut.Store(true)
	time.Sleep(tenures)
	eventually(t, "keys held through the relay", holdAll(keysOfCell, a, b, d))
	// The relay must be what confirms: the daemon reads a record appended after the cut.
	e := c.start("e", "lom-monza", 1)
	eventually(t, "owner learns of a new owner through the relay", func() bool {
		for _, k := range e.claimer.Held() {
			if owner, _, _ := d.claimer.Owner(k); owner == "e" {
				return true
			}
		}
		return false
	})
}

// Rows 2 and 3. Guards against tenure lost in a log outage, and against tenure
// kept while a member of the electorate that could claim is silent.
func TestTenureByPromises(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.settled(a, b, d)
	c.log.SetFaults(standin.LogFaults{Down: true})
	time.Sleep(tenures)
	eventually(t, "keys held by promises", holdAll(keysOfCell, a, b, d))

	d.stop()
	eventually(t, "no key held while a member is silent", holdAll(0, a, b))
	time.Sleep(tenures)
	if n := len(a.claimer.Held()) + len(b.claimer.Held()); n != 0 {
		t.Errorf("%d keys held while a member is silent", n)
	}
	own := c.owned(a) + c.owned(b)
	c.hosts.Set(upstream.Host{ID: "d", Kind: upstream.DaemonHost, Zone: "lom-bergamo", State: upstream.Gone})
	eventually(t, "keys held again when the member is gone", holdAll(own, a, b))
}

// owned counts the keys that the log gives to d, with or without tenure.
func (c *cell) owned(d *daemon) int {
	n := 0
	for _, k := range allKeys() {
		if owner, _, _ := d.claimer.Owner(k); owner == d.id {
			n++
		}
	}
	return n
}

func allKeys() []contract.Key {
	var keys []contract.Key
	for i := range 4 {
		keys = append(keys, contract.JobsKey("lombardy", i), contract.IDsKey("lombardy", i),
			contract.RackKey("lom-bergamo", "r"+string(rune('0'+i))))
	}
	return keys
}

// Row 4. Guards against a region that loses its keys in a partition from the log,
// and against a claim across the regions.
func TestTenureInPartition(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	x, y := c.start("x", "ven-treviso", 1), c.start("y", "ven-treviso", 1)
	shards := func(n int) func() bool { return holdAll(n, x, y) }
	eventually(t, "both regions hold their keys", func() bool { return shards(8)() && holdAll(keysOfCell, a)() })
	c.waitElectorate(x, y)
	c.partitioned.Store(true)
	x.logCut.Store(true)
	y.logCut.Store(true)
	time.Sleep(tenures)
	eventually(t, "partitioned region holds its keys", shards(8))
	eventually(t, "log region holds its keys", holdAll(keysOfCell, a))
	for _, k := range a.claimer.Held() {
		if k.Location() == "veneto" {
			t.Errorf("%s is held across the regions", k)
		}
	}
}

// waitElectorate waits until no daemon has had a new record for a while.
func (c *cell) waitElectorate(...*daemon) {
	last, since := c.head(), time.Now()
	eventually(c.t, "no new records", func() bool {
		if head := c.head(); head != last {
			last, since = head, time.Now()
		}
		return time.Since(since) > time.Second
	})
}

// Row 5. Guards against a paused owner that acts after it resumes: its tenure has
// ended before another daemon may act, and it is confirmed anew only by the log.
func TestTenureAfterPause(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.settled(a, b, d)
	deadlines := make(map[contract.Key]time.Time)
	keys := d.claimer.Held()
	d.isolatePeers(true) // its server's goroutines answer nobody either
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
				t.Errorf("%s acted for by two daemons", k)
			}
			return okA || okB
		})
		if _, ok := d.claimer.Tenure(k); ok {
			t.Errorf("paused daemon keeps tenure of %s", k)
		}
	}
	d.isolatePeers(false)
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
