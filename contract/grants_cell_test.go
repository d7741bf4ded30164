package contract_test

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// idShards returns the request-id shards of lombardy.
func idShards() []contract.Key {
	var out []contract.Key
	for i := range 4 {
		out = append(out, contract.IDsKey("lombardy", i))
	}
	return out
}

// grantedRanges returns the range of mint times, by shard, whose ids d may run.
func grantedRanges(d *daemon) map[contract.Key][2]int64 {
	out := make(map[contract.Key][2]int64)
	for _, k := range idShards() {
		if from, to, _, ok := d.grants.Range(k); ok {
			out[k] = [2]int64{from, to}
		}
	}
	return out
}

// Guards against a successor that runs ids which its killed predecessor may have run. The
// predecessor's span must stay as it is until the host list says that it is gone, and what
// the successor gets of it then must start after everything that the predecessor ran.
func TestGrantsAfterDeath(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b, d := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1), c.start("d", "lom-bergamo", 1)
	c.waitStable(a, b, d)
	eventually(t, "every shard is granted", func() bool { return len(grantedRanges(a))+len(grantedRanges(b))+len(grantedRanges(d)) == 4 })
	victim := a
	for _, candidate := range []*daemon{b, d} {
		if len(grantedRanges(candidate)) > len(grantedRanges(victim)) {
			victim = candidate
		}
	}
	var others []*daemon
	for _, other := range []*daemon{a, b, d} {
		if other != victim {
			others = append(others, other)
		}
	}
	old := grantedRanges(victim)
	lastMint := time.Now().UnixMilli() // of an id that the victim may have run
	victim.stop()
	eventually(t, "keys taken over", holdExactly(logRegionKeys, others...))
	for k := range old {
		eventually(t, "successor knows the span of "+string(k), func() bool {
			owner, _, m := others[0].grants.OwnerOfMint(k, lastMint)
			return m == contract.MintGranted && owner == victim.id
		})
		for _, other := range others {
			if r, ok := grantedRanges(other)[k]; ok && r[0] < old[k][1] {
				t.Errorf("%s: successor's range %v overlaps %v", k, r, old[k])
			}
		}
	}
	c.hosts.Set(upstream.Host{ID: victim.id, Kind: upstream.DaemonHost, Zone: "lom-bergamo", State: upstream.Gone})
	// The span is cut at MaxMintAhead + MaxClockSkew after now, long before its end, which is
	// up to 120 s after now.
	for k := range old {
		eventually(t, "span of "+string(k)+" is cut", func() bool {
			owner, _, m := others[0].grants.OwnerOfMint(k, time.Now().Add(30*time.Second).UnixMilli())
			return m == contract.MintGranted && owner != victim.id
		})
		if owner, _, _ := others[0].grants.OwnerOfMint(k, lastMint); owner != victim.id {
			t.Errorf("%s: ids minted before the death are now granted to %q", k, owner)
		}
	}
}

// Guards against a drained daemon whose grant lasts to its original end, so that nobody can
// run newly minted ids until then.
func TestGrantsAfterDrain(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.waitStable(a, b)
	eventually(t, "every shard is granted", func() bool { return len(grantedRanges(a))+len(grantedRanges(b)) == 4 })
	old := grantedRanges(b)
	if err := b.claimer.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := len(grantedRanges(b)); n != 0 {
		t.Errorf("drained daemon may still run ids of %d shards", n)
	}
	for k, r := range old {
		eventually(t, "successor is granted the rest of "+string(k), func() bool {
			owner, _, m := a.grants.OwnerOfMint(k, r[1]+30_000)
			return m == contract.MintGranted && owner == "a"
		})
		if owner, _, _ := a.grants.OwnerOfMint(k, r[1]-1); owner != "b" {
			t.Errorf("%s: the last mint time that b could run is granted to %q", k, owner)
		}
	}
}

// Guards against a release that is in the log before the recorder was told to stop running
// ids of the shard, and against a successor that does not know from which epoch the shard
// was released to it.
func TestReleaseIsAnnouncedFirst(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a, b := c.start("a", "lom-bergamo", 1), c.start("b", "lom-monza", 1)
	c.waitStable(a, b)
	eventually(t, "every shard is granted", func() bool { return len(grantedRanges(a))+len(grantedRanges(b)) == 4 })
	old := grantedRanges(b)
	announced := make(map[contract.Key]contract.Release)
	b.grants.OnRelease(func(_ context.Context, rs []contract.Release) {
		for _, r := range rs {
			if owner, e, _ := a.claimer.Owner(r.Shard); owner != "b" || e != r.Epoch {
				t.Errorf("%s was released before OnRelease was called: its owner is %q at epoch %d", r.Shard, owner, e)
			}
			if _, _, _, ok := b.grants.Range(r.Shard); ok {
				t.Errorf("ids of %s may still be run while OnRelease is called", r.Shard)
			}
			announced[r.Shard] = r
		}
	})
	if err := b.claimer.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(old) == 0 || len(announced) != len(old) {
		t.Fatalf("OnRelease was called for %d of %d shards", len(announced), len(old))
	}
	for k, r := range old {
		if release := announced[k]; release.To != "a" || release.FromMS != r[0] || release.CutMS < r[1] {
			t.Errorf("%s: OnRelease got %+v, but b ran ids of [%d, %d)", k, release, r[0], r[1])
		}
		eventually(t, "a knows b as its predecessor for "+string(k), func() bool {
			predecessor, own, ok := a.grants.Predecessor(k)
			return ok && predecessor == announced[k].Epoch && own > predecessor
		})
	}
}

// Guards against an id from the far future, or from before the first grant, that counts as
// granted to a recorder, and against a recorder that runs ids minted further ahead of its
// clock than MaxMintAhead.
func TestMintTimesOutsideGrants(t *testing.T) {
	c := newCell(t, standin.LogConfig{})
	a := c.start("a", "lom-bergamo", 1)
	c.waitStable(a)
	short := contract.NewGrants(a.claimer, contract.GrantsConfig{GrantLength: time.Second, ExtendBefore: 700 * time.Millisecond,
		MaxMintAhead: 50 * time.Millisecond, Interval: 20 * time.Millisecond})
	k := contract.IDsKey("lombardy", 0)
	eventually(t, "granted", func() bool { _, _, _, ok := a.grants.Range(k); return ok })
	from, _, _, _ := a.grants.Range(k)
	if _, _, m := a.grants.OwnerOfMint(k, time.Now().Add(time.Hour).UnixMilli()); m != contract.MintBeyondGrants {
		t.Errorf("the status of an id minted in an hour is %s, want later", m)
	}
	if _, _, m := a.grants.OwnerOfMint(k, from-1); m != contract.MintUnknown {
		t.Errorf("the status of an id minted before the first span is %s, want unknown", m)
	}
	if _, to, _, ok := short.Range(k); !ok || to > time.Now().Add(time.Second).UnixMilli() {
		t.Errorf("range ends at %d (0 if there is none), want an end at most a second ahead of the clock", to)
	}
}
