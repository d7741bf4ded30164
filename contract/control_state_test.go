package contract

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// testLog is a control stream in memory. It folds every record into state when it is added.
type testLog struct {
	records []upstream.Record
	state   *ControlState
}

func newTestLog() *testLog { return &testLog{state: NewControlState(0)} }

func (l *testLog) add(kind string, v any) {
	e, err := upstream.NewEnvelope(kind, v)
	if err != nil {
		panic(err)
	}
	l.addEnvelope(e)
}

func (l *testLog) addEnvelope(e upstream.Envelope) {
	data, err := e.Encode()
	if err != nil {
		panic(err)
	}
	r := upstream.Record{Offset: upstream.Offset(len(l.records)), Data: data}
	l.records = append(l.records, r)
	l.state.Apply(r)
}

// snapshot appends a snapshot of state.
func (l *testLog) snapshot() {
	parts, err := l.state.Snapshot()
	if err != nil {
		panic(err)
	}
	for _, e := range parts {
		l.addEnvelope(e)
	}
}

// readFrom returns the state of a reader that starts at offset from.
func (l *testLog) readFrom(from int) *ControlState {
	cs := NewControlState(upstream.Offset(from))
	for _, r := range l.records[from:] {
		cs.Apply(r)
	}
	return cs
}

// Guards against two owners of one key, and against a claim that an owner could not foresee.
// Of several claims on the same epoch the first valid one in the log wins; claims by daemons
// that have not joined, are outside the electorate or run in an older incarnation are not valid.
func TestFirstValidClaimWins(t *testing.T) {
	l := newTestLog()
	for _, id := range []string{"a", "b"} {
		l.add(kindJoin, Daemon{ID: id, Incarnation: 1})
	}
	k := RackKey("z", "r")
	for _, id := range []string{"b", "a"} {
		l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: id, Incarnation: 1, Electorate: []string{"a", "b"}})
	}
	if s := l.state.Key(k); s.Owner != "b" || s.Epoch != 3 {
		t.Errorf("owner %q at epoch %d, want b at 3", s.Owner, s.Epoch)
	}
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "c", Incarnation: 1})
	l.add(kindJoin, Daemon{ID: "c", Incarnation: 1})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "c", Incarnation: 1})
	if s := l.state.Key(k); s.Owner != "b" {
		t.Errorf("the claim of a daemon outside the electorate won the key")
	}
	l.add(kindElectorate, electorateRecord{Keys: []epochKey{{Key: k, Epoch: 3}}, Daemons: []string{"b", "c"}})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "a", Incarnation: 1})
	if s := l.state.Key(k); s.Owner != "b" || s.Epoch != 3 {
		t.Errorf("the claim of a daemon removed from the electorate won the key")
	}
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "c", Incarnation: 1})
	if s := l.state.Key(k); s.Owner != "c" {
		t.Errorf("owner %q, want c, which the electorate names", s.Owner)
	}
	l.add(kindElectorate, electorateRecord{Keys: []epochKey{{Key: k, Epoch: l.state.Key(k).Epoch}}, Daemons: []string{"a"}})
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 2})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: l.state.Key(k).Epoch}}, Daemon: "a", Incarnation: 1})
	if s := l.state.Key(k); s.Owner != "c" {
		t.Errorf("the claim of a former incarnation won the key")
	}
}

// Guards against keys that go to a draining daemon, by its own claim or by a release to it,
// while it finishes its open calls, and against a daemon that still counts as draining
// after its restart.
func TestDrainingDaemonGetsNoKeys(t *testing.T) {
	l := newTestLog()
	for _, id := range []string{"a", "b"} {
		l.add(kindJoin, Daemon{ID: id, Incarnation: 1})
	}
	k := RackKey("z", "r")
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: "b", Incarnation: 1, Electorate: []string{"a", "b"}})
	l.add(kindDrain, leaveRecord{"a", 1})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: l.state.Key(k).Epoch}}, Daemon: "a", Incarnation: 1})
	if s := l.state.Key(k); s.Owner != "b" {
		t.Errorf("the claim of a draining daemon won the key")
	}
	l.add(kindRelease, releaseRecord{Keys: []epochKey{{Key: k, Epoch: l.state.Key(k).Epoch}}, From: "b", To: "a"})
	if s := l.state.Key(k); s.Owner != "" {
		t.Errorf("owner %q, want none: the release names a draining daemon", s.Owner)
	}
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 2})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: l.state.Key(k).Epoch}}, Daemon: "a", Incarnation: 2})
	if s := l.state.Key(k); s.Owner != "a" {
		t.Errorf("owner %q, want a, which has joined again", s.Owner)
	}
}

// addRandom appends a random record of a daemon, with a current or a stale epoch and with
// mint times that may overlap those of other grants.
func (l *testLog) addRandom(t *rapid.T, keys []Key) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon")
	k := rapid.SampledFrom(keys).Draw(t, "key")
	s := l.state.Key(k)
	epoch := s.Epoch
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		epoch = Epoch(rapid.IntRange(0, len(l.records)+1).Draw(t, "epoch"))
	}
	d, _ := l.state.Daemon(id)
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		l.add(kindJoin, Daemon{ID: id, Incarnation: d.Incarnation + uint64(rapid.IntRange(0, 1).Draw(t, "inc"))})
	case 1:
		l.add(kindLeave, leaveRecord{id, d.Incarnation})
	case 2, 3:
		c := claimKey{Key: k, PrevEpoch: epoch}
		if rapid.Bool().Draw(t, "outside") {
			c.ElectorateVersion = s.ElectorateVersion
		}
		l.add(kindClaim, claimRecord{Keys: []claimKey{c}, Daemon: id, Incarnation: d.Incarnation, Electorate: []string{id, "b"}})
	case 4:
		to := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "to")
		cut := rapid.Int64Range(0, 300).Draw(t, "cut")
		l.add(kindRelease, releaseRecord{Keys: []epochKey{{Key: k, Epoch: epoch, CutMS: cut}}, From: s.Owner, To: to})
	case 5:
		l.add(kindElectorate, electorateRecord{Keys: []epochKey{{Key: k, Epoch: epoch}}, Daemons: []string{id, "c"}})
	default:
		from := rapid.Int64Range(0, 300).Draw(t, "from")
		l.add(kindGrant, grantRecord{Shard: k, Epoch: epoch, FromMS: from, ToMS: from + rapid.Int64Range(-5, 50).Draw(t, "length"),
			Cut: rapid.Bool().Draw(t, "cutGrant")})
	}
}

// Guards against readers that disagree on the owners: a reader that starts at any offset and
// finds a usable snapshot must get the same state as a reader of the whole log.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLog()
		keys := []Key{RackKey("z", "1"), IDsKey("r", 0)}
		for range rapid.IntRange(1, 80).Draw(t, "records") {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				l.snapshot()
			}
			l.addRandom(t, keys)
		}
		for from := range l.records {
			cs := l.readFrom(from)
			if !cs.Ready() {
				continue
			}
			if diff := cmp.Diff([]any{l.state.keys, l.state.daemons, l.state.grants}, []any{cs.keys, cs.daemons, cs.grants}); diff != "" {
				t.Fatalf("state of the reader from offset %d differs (-whole log +reader):\n%s", from, diff)
			}
		}
	})
}

// Guards against an id that two recorders may run: the spans of a shard must never overlap,
// whatever records are appended.
func TestGrantsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLog()
		shard := IDsKey("r", 0)
		for range rapid.IntRange(1, 120).Draw(t, "records") {
			l.addRandom(t, []Key{shard})
			spans := l.state.grants[shard]
			for i := 1; i < len(spans); i++ {
				if spans[i].FromMS < spans[i-1].ToMS {
					t.Fatalf("spans overlap: %v", spans)
				}
			}
			if !slices.IsSortedFunc(spans, func(a, b GrantedSpan) int { return int(a.FromMS - b.FromMS) }) {
				t.Fatalf("spans are not sorted: %v", spans)
			}
		}
	})
}

// Guards against state that is loaded from a part of a snapshot, or from a snapshot after
// which records are missing because the reader started behind them.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	l := newTestLog()
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 1})
	for i := range maxKeysPerSnapshotPart + 1 {
		l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: RackKey("z", fmt.Sprint(i))}}, Daemon: "a", Incarnation: 1})
	}
	first := len(l.records)
	l.snapshot()
	if n := len(l.records) - first; n != 2 {
		t.Fatalf("snapshot has %d parts, want 2", n)
	}
	if cs := l.readFrom(first); !cs.Ready() {
		t.Error("a complete snapshot was not used")
	}
	if cs := l.readFrom(first + 1); cs.Ready() {
		t.Error("the second part alone was used")
	}
	parts, err := l.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	l.addEnvelope(parts[0])
	l.add(kindLeave, leaveRecord{"a", 1})
	l.addEnvelope(parts[1])
	if cs := l.readFrom(first + 1); cs.Ready() {
		t.Error("parts that are not contiguous were used")
	}
	if cs := l.readFrom(len(l.records) - 2); cs.Ready() {
		t.Error("a snapshot was used although records after its position are missing")
	}
}
