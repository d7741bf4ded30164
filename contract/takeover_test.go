package contract_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// logRegionKeys is the number of keys of lombardy, the region of the log: 4 racks, 4 job
// shards and 4 id shards.
const logRegionKeys = 12

// Guards against keys that stay without an owner after a daemon is killed, and against a
// takeover of all of them by a single daemon.
func TestTakeoverIsSpread(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	eventually(t, "all keys held", holdExactly(logRegionKeys, a, b, d))
	d.stop()
	eventually(t, "all keys held by the two others", holdExactly(logRegionKeys, a, b))
	if na, nb := len(a.claimer.Held()), len(b.claimer.Held()); na == 0 || nb == 0 {
		t.Errorf("takeover is not spread: a holds %d, b holds %d", na, nb)
	}
}

// countClaims returns the number of claim records of a daemon in the log.
func (c *cell) countClaims(id string) int {
	client := upstream.NewLogClient(upstream.ClientConfig{BaseURL: c.logURL})
	b, err := client.Read(context.Background(), upstream.StreamControl, 0, 10000, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	n := 0
	for _, r := range b.Records {
		e, ok := upstream.DecodeEnvelope(r.Data)
		var body struct{ Daemon string }
		if ok && e.Kind == "claim" && json.Unmarshal(e.Body, &body) == nil && body.Daemon == id {
			n++
		}
	}
	return n
}

// Guards against a daemon that mistakes its own isolation from its peers for their death and
// claims their keys, because it can still reach the log.
func TestIsolatedDaemonClaimsNothing(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.waitStable(a, b, d)
	before := c.countClaims("d")
	d.setIsolated(true) // it can still read and write the log
	eventually(t, "the others hold all keys", holdExactly(logRegionKeys, a, b))
	if n := c.countClaims("d"); n != before {
		t.Errorf("isolated daemon appended %d claims", n-before)
	}
	if n := len(d.claimer.Held()); n != 0 {
		t.Errorf("isolated daemon holds %d keys", n)
	}
}

// Guards against keys that move back and forth with a daemon that is repeatedly isolated and
// reachable again.
func TestNoFlapping(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.waitStable(a, b, d)
	state := func(want link.State) func() bool {
		return func() bool { return stateOf(a, "d") == want && stateOf(b, "d") == want }
	}
	var claims []int
	for i := range 4 {
		d.setIsolated(true)
		eventually(t, "flapping daemon is dead", state(link.Dead))
		if i == 0 {
			// Keys move only if the daemon is unreachable for longer than a takeover takes.
			eventually(t, "the stable daemons hold all keys", holdExactly(logRegionKeys, a, b))
		}
		d.setIsolated(false)
		eventually(t, "flapping daemon is alive", state(link.Alive))
		claims = append(claims, c.countClaims("a")+c.countClaims("b")+c.countClaims("d"))
	}
	if !holdExactly(logRegionKeys, a, b)() {
		t.Error("the stable daemons do not hold all keys after the last return")
	}
	if diff := cmp.Diff([]int{claims[0], claims[0], claims[0], claims[0]}, claims); diff != "" {
		t.Errorf("claims after each return (-first +seen):\n%s", diff)
	}
	// The stability time doubles with every return: four returns, from 0.5 s to 4 s. Without
	// it, handovers would happen within BalanceInterval, 0.3 s.
	if a.members.Eligible("d") || b.members.Eligible("d") {
		t.Error("flapping daemon is eligible immediately after its last return")
	}
	eventually(t, "flapping daemon is eligible after its stability time", func() bool { return a.members.Eligible("d") })
	eventually(t, "flapping daemon gets keys again", func() bool { return len(d.claimer.Held()) > 0 })
}

func stateOf(d *daemon, id string) link.State {
	for _, m := range d.members.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

// Guards against keys without an owner, or with two, when the daemons don't get the answers
// of the log to the appends of their claims.
func TestClaimsWithLostAnswers(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	c.log.SetFaults(standin.LogFaults{LoseAnswers: -1})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	eventually(t, "keys held although all answers are lost", holdExactly(logRegionKeys, a, b))
}

// Guards against a daemon that starts after the records with the owners were trimmed from
// the log, and does not learn the owners from the snapshot.
func TestStartFromSnapshot(t *testing.T) {
	c := newCell(t, standin.LogConfig{MaxRecords: 25})
	c.configure = func(cfg *contract.Config) { cfg.SnapshotRecords = 8 }
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.waitStable(a, b)
	epochs := make(map[contract.Key]contract.Epoch)
	eventually(t, "log is trimmed", func() bool {
		c.appendUnknownRecord(upstream.NewLogClient(upstream.ClientConfig{BaseURL: c.logURL}))
		return c.head() > 40
	})
	for _, k := range a.claimer.Held() {
		_, e, _ := a.claimer.Owner(k)
		epochs[k] = e
	}
	d := c.start("d", "lom-bergamo", 1)
	eventually(t, "new daemon sees the owners", func() bool {
		for k, e := range epochs {
			if _, got, _ := d.claimer.Owner(k); got < e {
				return false
			}
		}
		return true
	})
	eventually(t, "new daemon gets keys", func() bool { return len(d.claimer.Held()) > 0 && holdExactly(logRegionKeys, a, b, d)() })
}

// appendUnknownRecord appends a record of a kind that no reader knows.
func (c *cell) appendUnknownRecord(client *upstream.LogClient) {
	if _, err := client.Append(context.Background(), upstream.StreamControl, [][]byte{[]byte(`{"id":"x","kind":"noise"}`)}); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against a planned stop after which keys have no owner until the failure detector
// finds the stopped daemon and another one claims them.
func TestDrainHandsOver(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.waitStable(a, b)
	before := c.countClaims("a")
	if err := b.claimer.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	if n := len(b.claimer.Held()); n != 0 {
		t.Errorf("drained daemon holds %d keys", n)
	}
	eventually(t, "a holds all keys", holdExactly(logRegionKeys, a))
	if n := c.countClaims("a"); n != before {
		t.Errorf("%d claims were needed after the drain", n-before)
	}
}

// Guards against a new daemon that gets no keys, and against a handover that needs a claim
// in addition to the release.
func TestBalanceForNewDaemon(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	c.waitStable(a)
	b := c.start("b", "lom-monza", 1)
	eventually(t, "b gets keys", func() bool { return len(b.claimer.Held()) >= 3 })
	c.waitStable(a, b)
	if n := c.countClaims("b"); n != 0 {
		t.Errorf("b appended %d claims for keys that were handed over", n)
	}
}

// Guards against owner changes that a watcher misses, or that tell it that this daemon may
// act before it has a tenure.
func TestWatch(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	changes := make(chan contract.OwnerChange, 1000)
	stop := a.claimer.Watch(func(change contract.OwnerChange) {
		if _, ok := a.claimer.Tenure(change.Key); change.Held && ok {
			changes <- change
		}
	})
	defer stop()
	seen := make(map[contract.Key]bool)
	for len(seen) < logRegionKeys {
		select {
		case change := <-changes:
			seen[change.Key] = true
		case <-time.After(eventTimeout):
			t.Fatalf("this daemon may act for only %d keys", len(seen))
		}
	}
}
