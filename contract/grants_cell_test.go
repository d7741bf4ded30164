package contract_test

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

func shards() []contract.Key {
	var out []contract.Key
	for i := range 4 {
		out = append(out, contract.IDsKey("lombardy", i))
	}
	return out
}

// ranges returns the range of every shard that d may run.
func ranges(d *daemon) map[contract.Key][2]int64 {
	out := make(map[contract.Key][2]int64)
	for _, k := range shards() {
		if from, to, _, ok := d.grants.Range(k); ok {
			out[k] = [2]int64{from, to}
		}
	}
	return out
}

// Guards against a successor that runs ids which its predecessor may have run: a
// killed recorder's span stays its own until it is gone, and the part that the
// successor gets then starts after everything that the predecessor ran.
func TestGrantsAfterDeath(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.settled(a, b, d)
	eventually(t, "every shard is granted", func() bool { return len(ranges(a))+len(ranges(b))+len(ranges(d)) == 4 })
	victim := a
	for _, x := range []*daemon{b, d} {
		if len(ranges(x)) > len(ranges(victim)) {
			victim = x
		}
	}
	var others []*daemon
	for _, x := range []*daemon{a, b, d} {
		if x != victim {
			others = append(others, x)
		}
	}
	old := ranges(victim)
	ran := time.Now().UnixMilli()
	victim.stop()
	eventually(t, "keys taken over", holdAll(keysOfCell, others...))
	for k := range old {
		eventually(t, "successor knows the span of "+string(k), func() bool {
			owner, _, m := others[0].grants.OwnerOfMint(k, ran)
			return m == contract.MintGranted && owner == victim.id
		})
		for _, o := range others {
			if r, ok := ranges(o)[k]; ok && r[0] < old[k][1] {
				t.Errorf("%s: successor's range %v overlaps %v", k, r, old[k])
			}
		}
	}
	c.hosts.Set(upstream.Host{ID: victim.id, Kind: upstream.DaemonHost, Zone: "lom-bergamo", State: upstream.Gone})
	// The cut is MaxMintAhead + MaxClockSkew after now, far before the end of the 120 s grant.
	for k := range old {
		eventually(t, "span of "+string(k)+" is cut", func() bool {
			owner, _, m := others[0].grants.OwnerOfMint(k, time.Now().Add(30*time.Second).UnixMilli())
			return m == contract.MintGranted && owner != victim.id
		})
		if owner, _, _ := others[0].grants.OwnerOfMint(k, ran); owner != victim.id {
			t.Errorf("%s: an id minted before the death now belongs to %q", k, owner)
		}
	}
}

// Guards against a grant that lasts to its end after a planned stop.
func TestGrantsAfterDrain(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.settled(a, b)
	eventually(t, "every shard is granted", func() bool { return len(ranges(a))+len(ranges(b)) == 4 })
	old := ranges(b)
	if err := b.claimer.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := len(ranges(b)); n != 0 {
		t.Errorf("drained daemon may run ids of %d shards", n)
	}
	for k, r := range old {
		eventually(t, "successor has the rest of "+string(k), func() bool {
			owner, _, m := a.grants.OwnerOfMint(k, r[1]+30_000)
			return m == contract.MintGranted && owner == "a"
		})
		if owner, _, _ := a.grants.OwnerOfMint(k, r[1]-1); owner != "b" {
			t.Errorf("%s: the last mint time that b could run belongs to %q", k, owner)
		}
	}
}

// Guards against a release that is in the log before the recorder has closed its
// range, and against a successor that cannot tell whose release named it.
func TestReleaseIsAnnouncedFirst(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.settled(a, b)
	eventually(t, "every shard is granted", func() bool { return len(ranges(a))+len(ranges(b)) == 4 })
	old := ranges(b)
	announced := make(map[contract.Key]contract.Release)
	b.grants.OnRelease(func(_ context.Context, rs []contract.Release) {
		for _, r := range rs {
			if owner, e, _ := a.claimer.Owner(r.Shard); owner != "b" || e != r.Epoch {
				t.Errorf("%s is released by its owner %q at epoch %d before the announcement", r.Shard, owner, e)
			}
			if _, _, _, ok := b.grants.Range(r.Shard); ok {
				t.Errorf("%s may still be run while its release is announced", r.Shard)
			}
			announced[r.Shard] = r
		}
	})
	if err := b.claimer.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(old) == 0 || len(announced) != len(old) {
		t.Fatalf("%d of %d releases announced", len(announced), len(old))
	}
	for k, r := range old {
		if n := announced[k]; n.To != "a" || n.FromMS != r[0] || n.CutMS < r[1] {
			t.Errorf("%s: announced %+v, ran ids of [%d, %d)", k, n, r[0], r[1])
		}
		eventually(t, "a follows b for "+string(k), func() bool {
			predecessor, own, ok := a.grants.Predecessor(k)
			return ok && predecessor == announced[k].Epoch && own > predecessor
		})
	}
}

// Guards against an id of the future or from before the first grant that is taken
// for one that a recorder holds, and against a recorder that runs far into the future.
func TestMintTimesOutsideGrants(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	c.settled(a)
	short := contract.NewGrants(a.claimer, contract.GrantsConfig{GrantLength: time.Second, ExtendBefore: 700 * time.Millisecond,
		MaxMintAhead: 50 * time.Millisecond, Interval: 20 * time.Millisecond})
	k := contract.IDsKey("lombardy", 0)
	eventually(t, "granted", func() bool { _, _, _, ok := a.grants.Range(k); return ok })
	from, _, _, _ := a.grants.Range(k)
	if _, _, m := a.grants.OwnerOfMint(k, time.Now().Add(time.Hour).UnixMilli()); m != contract.MintBeyondGrants {
		t.Errorf("an id of the next hour is %s, want later", m)
	}
	if _, _, m := a.grants.OwnerOfMint(k, from-1); m != contract.MintUnknown {
		t.Errorf("an id before the first span is %s, want unknown", m)
	}
	if _, to, _, ok := short.Range(k); !ok || to > time.Now().Add(time.Second).UnixMilli() {
		t.Errorf("range ends at %d, which is further ahead than MintAhead", to)
	}
}
