package contract

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/link"
)

// Guards against a grant that runs out while its key is held, and against one
// that is appended before it is due.
func TestNextGrant(t *testing.T) {
	l, k := newTestLog(), IDsKey("r", 0)
	l.add(kindJoin, Daemon{ID: "a", Incarnation: 1})
	l.add(kindClaim, claimRecord{Keys: []claimKey{{Key: k}}, Daemon: "a", Incarnation: 1})
	c := &Claimer{self: link.Member{ID: "a"}, state: l.book, gone: make(map[string]bool)}
	g := NewGrants(c, GrantsConfig{})
	now := time.UnixMilli(1_000_000_000)
	grants := 0
	for range 600 {
		rec, due := g.nextGrant(k, l.book.Key(k), now)
		if due {
			grants++
			l.add(kindGrant, rec)
		}
		spans := l.book.grants[k]
		if last := spans[len(spans)-1]; last.ToMS <= now.UnixMilli() {
			t.Fatalf("span %v has run out at %v", last, now.UnixMilli())
		}
		now = now.Add(time.Second)
	}
	if grants > 600/60+1 {
		t.Errorf("%d grants in 600 s, want one a minute", grants)
	}
	if n := len(l.book.grants[k]); n != 1 {
		t.Errorf("%d spans for one recorder, want 1", n)
	}
}
