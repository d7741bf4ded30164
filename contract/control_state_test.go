package contract

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// testLog collects records and folds them as they are added.
type testLog struct {
	records []upstream.Record
	book    *ControlState
}

func newTestLog() *testLog { return &testLog{book: NewControlState(0)} }

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
	l.book.Apply(r)
}

func (l *testLog) snapshot() {
	parts, err := l.book.Snapshot()
	if err != nil {
		panic(err)
	}
	for _, e := range parts {
		l.addEnvelope(e)
	}
}

func (l *testLog) readFrom(from int) *ControlState {
	b := NewControlState(upstream.Offset(from))
	for _, r := range l.records[from:] {
		b.Apply(r)
	}
	return b
}

// Guards against two winners of one claim: claims on one epoch, first in log order wins.
func TestOneWinnerOfTwoClaims(t *testing.T) {
	l := newTestLog()
	for _, id := range []string{"a", "b"} {
		l.add(kindJoin, Daemon{ID: id, Incarnation: 1})
	}
	k := RackKey("z", "r")
	for _, id := range []string{"b", "a"} {
		l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: id, Incarnation: 1, Electorate: []string{"a", "b"}})
	}
	if s := l.book.Key(k); s.Owner != "b" || s.Epoch != 3 {
		t.Errorf("owner %q at epoch %d, want b at 3", s.Owner, s.Epoch)
	}
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "c", Incarnation: 1})
	l.add(kindJoin, Daemon{ID: "c", Incarnation: 1})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "c", Incarnation: 1})
	if s := l.book.Key(k); s.Owner != "b" {
		t.Errorf("a daemon outside the electorate won the key")
	}
	l.add(kindElectorate, electorateRecord{Keys: []epochKey{{Key: k, Epoch: 3}}, Daemons: []string{"b", "c"}})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "a", Incarnation: 1})
	if s := l.book.Key(k); s.Owner != "b" || s.Epoch != 3 {
		t.Errorf("a daemon removed from the electorate won the key")
	}
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: 3}}, Daemon: "c", Incarnation: 1})
	if s := l.book.Key(k); s.Owner != "c" {
		t.Errorf("owner %q, want c, which the electorate names", s.Owner)
	}
	l.add(kindElectorate, electorateRecord{Keys: []epochKey{{Key: k, Epoch: l.book.Key(k).Epoch}}, Daemons: []string{"a"}})
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 2})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: l.book.Key(k).Epoch}}, Daemon: "a", Incarnation: 1})
	if s := l.book.Key(k); s.Owner != "c" {
		t.Errorf("a claim of a former incarnation won")
	}
}

// Guards against keys that go back to a daemon while it finishes its open calls,
// and against a mark that outlasts its restart.
func TestDrainingDaemonGetsNoKeys(t *testing.T) {
	l := newTestLog()
	for _, id := range []string{"a", "b"} {
		l.add(kindJoin, Daemon{ID: id, Incarnation: 1})
	}
	k := RackKey("z", "r")
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: "b", Incarnation: 1, Electorate: []string{"a", "b"}})
	l.add(kindDrain, leaveRecord{"a", 1})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: l.book.Key(k).Epoch}}, Daemon: "a", Incarnation: 1})
	if s := l.book.Key(k); s.Owner != "b" {
		t.Errorf("a draining daemon won a claim")
	}
	l.add(kindRelease, releaseRecord{Keys: []epochKey{{Key: k, Epoch: l.book.Key(k).Epoch}}, From: "b", To: "a"})
	if s := l.book.Key(k); s.Owner != "" {
		t.Errorf("owner %q, want none: the release names a draining daemon", s.Owner)
	}
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 2})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k, PrevEpoch: l.book.Key(k).Epoch}}, Daemon: "a", Incarnation: 2})
	if s := l.book.Key(k); s.Owner != "a" {
		t.Errorf("owner %q, want a, which has joined again", s.Owner)
	}
}

// addRandom appends a record that some daemon could append, with stale and
// current epochs, and times that overlap.
func (l *testLog) addRandom(t *rapid.T, keys []Key) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "daemon")
	k := rapid.SampledFrom(keys).Draw(t, "key")
	s := l.book.Key(k)
	epoch := s.Epoch
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		epoch = Epoch(rapid.IntRange(0, len(l.records)+1).Draw(t, "epoch"))
	}
	d, _ := l.book.Daemon(id)
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

// Guards against readers that disagree: a reader that starts at any offset and
// finds a usable snapshot holds the same state as the reader of the whole log.
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
			b := l.readFrom(from)
			if !b.Ready() {
				continue
			}
			if diff := cmp.Diff([]any{l.book.keys, l.book.daemons, l.book.grants}, []any{b.keys, b.daemons, b.grants}); diff != "" {
				t.Fatalf("reader from %d differs: %s", from, diff)
			}
		}
	})
}

// Guards against an id that two recorders may run: spans never overlap, whatever
// records are appended, and no mint time moves from one recorder to another
// except through a cut or a release.
func TestGrantsNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLog()
		shard := IDsKey("r", 0)
		for range rapid.IntRange(1, 120).Draw(t, "records") {
			l.addRandom(t, []Key{shard})
			spans := l.book.grants[shard]
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

// Guards against state from half a snapshot and from one that is too old.
func TestTornSnapshotIsIgnored(t *testing.T) {
	l := newTestLog()
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 1})
	for i := range maxKeysPerSnapshotPart + 1 {
		l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: RackKey("z", fmt.Sprint(i))}}, Daemon: "a", Incarnation: 1})
	}
	at := len(l.records)
	l.snapshot()
	if n := len(l.records) - at; n != 2 {
		t.Fatalf("snapshot has %d parts, want 2", n)
	}
	if b := l.readFrom(at); !b.Ready() {
		t.Error("a whole snapshot was not used")
	}
	if b := l.readFrom(at + 1); b.Ready() {
		t.Error("the second part alone was used")
	}
	parts, err := l.book.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	l.addEnvelope(parts[0])
	l.add(kindLeave, leaveRecord{"a", 1})
	l.addEnvelope(parts[1])
	if b := l.readFrom(at + 1); b.Ready() {
		t.Error("parts that are not contiguous were used")
	}
	if b := l.readFrom(len(l.records) - 2); b.Ready() {
		t.Error("a snapshot was used although records after its position are missing")
	}
}
