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

// keysOfCell is 4 racks, 4 job shards and 4 id shards.
const keysOfCell = 12

// Guards against keys that stay without an owner after a daemon is killed, and
// against a takeover by one daemon only.
func TestTakeoverIsSpread(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	eventually(t, "all keys held", holdAll(keysOfCell, a, b, d))
	d.stop()
	eventually(t, "all keys held by the two others", holdAll(keysOfCell, a, b))
	if na, nb := len(a.claimer.Held()), len(b.claimer.Held()); na == 0 || nb == 0 {
		t.Errorf("takeover is not spread: a holds %d, b holds %d", na, nb)
	}
}

// claims returns how many claim records of a daemon are in the log.
func (c *cell) claims(id string) int {
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

// Guards against a daemon that takes its own isolation for the death of the others.
func TestIsolatedDaemonClaimsNothing(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.settled(a, b, d)
	before := c.claims("d")
	d.isolatePeers(true) // it still reads and writes the log
	eventually(t, "the others hold all keys", holdAll(keysOfCell, a, b))
	if n := c.claims("d"); n != before {
		t.Errorf("isolated daemon appended %d claims", n-before)
	}
	if n := len(d.claimer.Held()); n != 0 {
		t.Errorf("isolated daemon holds %d keys", n)
	}
}

// Guards against keys that move back and forth with a daemon that comes and goes.
func TestNoFlapping(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.settled(a, b, d)
	state := func(want link.State) func() bool {
		return func() bool { return stateOf(a, "d") == want && stateOf(b, "d") == want }
	}
	var moved []int
	for i := range 4 {
		d.isolatePeers(true)
		eventually(t, "flapping daemon is dead", state(link.Dead))
		if i == 0 {
			// Keys move only if the daemon is away for longer than a takeover takes.
			eventually(t, "the stable daemons hold all keys", holdAll(keysOfCell, a, b))
		}
		d.isolatePeers(false)
		eventually(t, "flapping daemon is alive", state(link.Alive))
		moved = append(moved, c.claims("a")+c.claims("b")+c.claims("d"))
	}
	if !holdAll(keysOfCell, a, b)() {
		t.Error("the stable daemons do not hold all keys after the last return")
	}
	if diff := cmp.Diff([]int{moved[0], moved[0], moved[0], moved[0]}, moved); diff != "" {
		t.Errorf("claims after each return (-first +seen):\n%s", diff)
	}
	// The stability time has doubled four times: 0.5 s to 4 s. Handovers would
	// happen within BalanceInterval, 0.3 s.
	if a.members.Eligible("d") || b.members.Eligible("d") {
		t.Error("flapping daemon is eligible at once")
	}
	eventually(t, "flapping daemon is eligible in the end", func() bool { return a.members.Eligible("d") })
	eventually(t, "it gets keys again", func() bool { return len(d.claimer.Held()) > 0 })
}

func stateOf(d *daemon, id string) link.State {
	for _, m := range d.members.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

// Guards against claims that are lost or made again when answers are lost.
func TestClaimsSettleLostAnswers(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	c.log.SetFaults(standin.LogFaults{LoseAnswers: -1})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	eventually(t, "keys held although all answers are lost", holdAll(keysOfCell, a, b))
}

// Guards against a daemon that starts after the log was trimmed and sees no owners.
func TestStartFromSnapshot(t *testing.T) {
	c := newCell(t, standin.LogConfig{MaxRecords: 25})
	c.configure = func(cfg *contract.Config) { cfg.SnapshotRecords = 8 }
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.settled(a, b)
	owners := make(map[contract.Key]contract.Epoch)
	eventually(t, "log is trimmed", func() bool {
		c.appendNoise(upstream.NewLogClient(upstream.ClientConfig{BaseURL: c.logURL}))
		return c.head() > 40
	})
	for _, k := range a.claimer.Held() {
		_, e, _ := a.claimer.Owner(k)
		owners[k] = e
	}
	d := c.start("d", "lom-bergamo", 1)
	eventually(t, "new daemon sees the owners", func() bool {
		for k, e := range owners {
			if _, got, _ := d.claimer.Owner(k); got < e {
				return false
			}
		}
		return true
	})
	eventually(t, "new daemon gets keys", func() bool { return len(d.claimer.Held()) > 0 && holdAll(keysOfCell, a, b, d)() })
}

// appendNoise appends a record that no reader knows.
func (c *cell) appendNoise(client *upstream.LogClient) {
	if _, err := client.Append(context.Background(), upstream.StreamControl, [][]byte{[]byte(`{"id":"x","kind":"noise"}`)}); err != nil {
		c.t.Fatal(err)
	}
}

// Guards against a planned stop that leaves keys to the failure detector.
func TestDrainHandsOver(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.settled(a, b)
	before := c.claims("a")
	if err := b.claimer.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	if n := len(b.claimer.Held()); n != 0 {
		t.Errorf("drained daemon holds %d keys", n)
	}
	eventually(t, "a holds all keys", holdAll(keysOfCell, a))
	if n := c.claims("a"); n != before {
		t.Errorf("%d claims were needed after the drain", n-before)
	}
}

// Guards against a new daemon that stays idle, and against a handover that needs
// more than the release.
func TestBalanceForNewDaemon(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	c.settled(a)
	b := c.start("b", "lom-monza", 1)
	eventually(t, "b gets keys", func() bool { return len(b.claimer.Held()) >= 3 })
	c.settled(a, b)
	if n := c.claims("b"); n != 0 {
		t.Errorf("b appended %d claims for keys that were handed over", n)
	}
}

// Guards against changes that watchers miss or see as theirs too early.
func TestWatch(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	mine := make(chan contract.OwnerChange, 1000)
	stop := a.claimer.Watch(func(ch contract.OwnerChange) {
		if _, ok := a.claimer.Tenure(ch.Key); ch.Held && ok {
			mine <- ch
		}
	})
	defer stop()
	seen := make(map[contract.Key]bool)
	for len(seen) < keysOfCell {
		select {
		case ch := <-mine:
			seen[ch.Key] = true
		case <-time.After(patience):
			t.Fatalf("%d keys seen", len(seen))
		}
	}
}
