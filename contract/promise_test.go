package contract

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// unitClaimer returns a Claimer "a" whose book is that of l, without goroutines.
func unitClaimer(l *testLog) *Claimer {
	c := &Claimer{cfg: Config{Incarnation: 1}.withDefaults(), self: link.Member{ID: "a"}, state: l.book, confirmedAt: time.Now(),
		gone: make(map[string]bool), promisedUntil: make(map[Key]time.Time), promisesReceivedAt: make(map[Key]time.Time), vacantSince: make(map[Key]time.Time),
		readiness: make(map[Key]readiness), stoppedEpoch: make(map[Key]Epoch)}
	c.pending.init()
	return c
}

// ownedByB returns a log in which b owns k at epoch 3 and a may claim it.
func ownedByB(k Key) *testLog {
	l := newTestLog()
	for _, id := range []string{"a", "b"} {
		l.add(kindJoin, Daemon{ID: id, Incarnation: 1})
	}
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: "b", Incarnation: 1, Electorate: []string{"a", "b"}})
	return l
}

// Guards against a takeover without the wait, and against a wait where nobody
// could still be acting.
func TestTakeoverWait(t *testing.T) {
	k, now := RackKey("z", "1"), time.Now()
	for _, tc := range []struct {
		name string
		last func(l *testLog)
		wait bool
	}{
		{"claim after another owner", func(l *testLog) {
			l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "a", Incarnation: 1})
		}, true},
		{"release to this daemon", func(l *testLog) {
			l.add(kindRelease, releaseRecord{Keys: []epochKey{{Key: k, Epoch: 3}}, From: "b", To: "a"})
		}, false},
		{"claim of a free key", func(l *testLog) {
			l.add(kindRelease, releaseRecord{Keys: []epochKey{{Key: k, Epoch: 3}}, From: "b"})
			l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 4}}, Daemon: "a", Incarnation: 1})
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := ownedByB(k)
			c := unitClaimer(l)
			before := cloneKeys(l.book.keys)
			tc.last(l)
			c.handleOwnerChanges(before, now)
			r := c.readiness[k]
			want := now
			if tc.wait {
				want = now.Add(c.cfg.withDrift(c.cfg.TakeoverWait))
			}
			if r.epoch != l.book.Key(k).Epoch || !r.actFrom.Equal(want) {
				t.Errorf("may act after %v, want %v", r.actFrom.Sub(now), want.Sub(now))
			}
		})
	}
}

// Guards against a promise that this daemon has broken already or breaks later.
func TestPromise(t *testing.T) {
	k := RackKey("z", "1")
	ask := func(c *Claimer, e uint64) bool {
		resp, err := tenureService{c}.Promise(context.Background(), &rpc.PromiseRequest{Daemon: "b", ForMs: 1500,
			Keys: []*rpc.PromiseKey{{Key: string(k), Epoch: e}}})
		if err != nil {
			t.Fatal(err)
		}
		return resp.Granted[0]
	}
	dead := map[string]link.State{"a": link.Alive, "b": link.Dead}
	due := func(c *Claimer, now time.Time) bool {
		_, ok := c.dueClaim(k, now, []string{"a"}, dead)
		return ok
	}
	c, now := unitClaimer(ownedByB(k)), time.Now()
	if !due(c, now) {
		t.Error("the key of a dead owner is not claimed")
	}
	if !ask(c, 3) {
		t.Error("promise refused to the owner")
	}
	if due(c, time.Now()) {
		t.Error("key claimed in spite of the promise")
	}
	if !due(c, now.Add(time.Minute)) {
		t.Error("key not claimed after the promise has ended")
	}
	if ask(c, 2) {
		t.Error("promise given to an owner of an older epoch")
	}
	c.pending.add("claim", k, 3, nil, time.Now())
	if ask(c, 3) {
		t.Error("promise given while a claim may still take effect")
	}
	c.pending.resolve("claim")
	c.confirmedAt = time.Time{}
	if ask(c, 3) {
		t.Error("promise given by a daemon that has not read the log since its start")
	}
	c.confirmedAt, c.rebuilding = time.Now(), NewControlState(5)
	if ask(c, 3) {
		t.Error("promise given by a daemon whose book is behind the retention limit")
	}
}

// Guards against tenure by promises that leaves out a daemon which an unsettled
// update may have added to the electorate.
func TestUnsettledElectorateIsAsked(t *testing.T) {
	k := RackKey("z", "1")
	l := ownedByB(k)
	before := cloneKeys(l.book.keys)
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "a", Incarnation: 1, Electorate: []string{"b"}})
	c := unitClaimer(l)
	c.handleOwnerChanges(before, time.Now())
	c.confirmedAt = time.Now().Add(-time.Hour)
	c.pending.add("update", k, 4, []string{"a", "z"}, time.Now())
	asked := func() []string {
		keys := c.unconfirmedKeys(time.Now())
		if len(keys) != 1 {
			t.Fatalf("%d keys to confirm, want 1", len(keys))
		}
		return keys[0].members
	}
	if diff := cmp.Diff([]string{"b", "z"}, asked()); diff != "" {
		t.Error(diff)
	}
	c.pending.resolve("update")
	c.gone["b"] = true
	if m := asked(); len(m) != 0 {
		t.Errorf("%v asked, but the update is settled and b is gone", m)
	}
}
