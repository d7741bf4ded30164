package contract

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/link"
)

// Guards against a grant that ends while its recorder still owns the shard, so that the
// recorder could run no id, and against grants that are appended more often than needed.
func TestNextGrant(t *testing.T) {
	l, k := newTestLog(), IDsKey("r", 0)
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 1})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: "a", Incarnation: 1})
	c := &Claimer{self: link.Member{ID: "a"}, state: l.state, gone: make(map[string]bool)}
	g := NewGrants(c, GrantsConfig{})
	now := time.UnixMilli(1_000_000_000)
	grants := 0
	for range 600 {
		rec, due := g.nextGrant(k, l.state.Key(k), now)
		if due {
			grants++
			l.add(kindGrant, rec)
		}
		spans := l.state.grants[k]
		if last := spans[len(spans)-1]; last.ToMS <= now.UnixMilli() {
			t.Fatalf("span %v has ended at %v", last, now.UnixMilli())
		}
		now = now.Add(time.Second)
	}
	if grants > 600/60+1 {
		t.Errorf("%d grants in 600 s, want about one per minute", grants)
	}
	if n := len(l.state.grants[k]); n != 1 {
		t.Errorf("%d spans for one recorder, want 1", n)
	}
}
