package contract

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// newIdleClaimer returns a Claimer of daemon "a" with the state of l. Its loops don't run.
func newIdleClaimer(l *testLog) *Claimer {
	c := &Claimer{cfg: Config{Incarnation: 1}.withDefaults(), self: link.Member{ID: "a"}, state: l.state, confirmedAt: time.Now(),
		gone: make(map[string]bool), promisedUntil: make(map[Key]time.Time), promisesRequestedAt: make(map[Key]time.Time), vacantSince: make(map[Key]time.Time),
		readiness: make(map[Key]readiness), stoppedEpoch: make(map[Key]Epoch)}
	c.pending.init()
	return c
}

// newLogWithOwnerB returns a log in which "b" owns k at epoch 3 and "a" may claim it.
func newLogWithOwnerB(k Key) *testLog {
	l := newTestLog()
	for _, id := range []string{"a", "b"} {
		l.add(kindJoin, Daemon{ID: id, Incarnation: 1})
	}
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: "b", Incarnation: 1, Electorate: []string{"a", "b"}})
	return l
}

// Guards against a takeover without the wait while the former owner may still act, and
// against a wait where no former owner can act.
func TestTakeoverWait(t *testing.T) {
	k, now := RackKey("z", "1"), time.Now()
	for _, tc := range []struct {
		name string
		last func(l *testLog) // appends the record by which "a" gets the key
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
			l := newLogWithOwnerB(k)
			c := newIdleClaimer(l)
			before := cloneKeys(l.state.keys)
			tc.last(l)
			c.handleOwnerChanges(before, now)
			r := c.readiness[k]
			want := now
			if tc.wait {
				want = now.Add(c.cfg.withDrift(c.cfg.TakeoverWait))
			}
			if r.epoch != l.state.Key(k).Epoch || !r.actFrom.Equal(want) {
				t.Errorf("may act after %v, want %v", r.actFrom.Sub(now), want.Sub(now))
			}
		})
	}
}

// Guards against a promise that this daemon has already broken by a claim, or breaks later,
// and against one that it gives without knowing its own earlier claims.
func TestPromise(t *testing.T) {
	k := RackKey("z", "1")
	requestPromise := func(c *Claimer, e uint64) bool {
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
	c, now := newIdleClaimer(newLogWithOwnerB(k)), time.Now()
	if !due(c, now) {
		t.Error("key of a dead owner not claimed")
	}
	if !requestPromise(c, 3) {
		t.Error("promise refused to the owner")
	}
	if due(c, time.Now()) {
		t.Error("key claimed although the promise still holds")
	}
	if !due(c, now.Add(time.Minute)) {
		t.Error("key not claimed after the promise has ended")
	}
	if requestPromise(c, 2) {
		t.Error("promise given to an owner of an older epoch")
	}
	c.pending.add("claim", k, 3, nil, time.Now())
	if requestPromise(c, 3) {
		t.Error("promise given while a claim may still take effect")
	}
	c.pending.resolve("claim")
	c.confirmedAt = time.Time{}
	if requestPromise(c, 3) {
		t.Error("promise given by a daemon that has not read the log since its start")
	}
	c.confirmedAt, c.rebuilding = time.Now(), NewControlState(5)
	if requestPromise(c, 3) {
		t.Error("promise given by a daemon whose state is rebuilt because records were trimmed")
	}
}

// Guards against tenure by promises without the promise of a daemon that a pending update,
// whose outcome is unknown, may have added to the electorate: it could claim the key.
func TestPendingElectorateIsAsked(t *testing.T) {
	k := RackKey("z", "1")
	l := newLogWithOwnerB(k)
	before := cloneKeys(l.state.keys)
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "a", Incarnation: 1, Electorate: []string{"b"}})
	c := newIdleClaimer(l)
	c.handleOwnerChanges(before, time.Now())
	c.confirmedAt = time.Now().Add(-time.Hour)
	c.pending.add("update", k, 4, []string{"a", "z"}, time.Now())
	asked := func() []string {
		keys := c.unconfirmedKeys(time.Now())
		if len(keys) != 1 {
			t.Fatalf("%d keys to confirm, want 1", len(keys))
		}
		return keys[0].electors
	}
	if diff := cmp.Diff([]string{"b", "z"}, asked()); diff != "" {
		t.Error(diff)
	}
	c.pending.resolve("update")
	c.gone["b"] = true
	if m := asked(); len(m) != 0 {
		t.Errorf("%v asked, but the update is resolved and b is gone", m)
	}
}
