package request

import (
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// maxLoadAge is the age from which a load summary is no longer used.
const maxLoadAge = 5 * time.Second

// avoidDuration is how long a group whose owner refused a call or could not be
// reached is used only if there is no other.
const avoidDuration = 500 * time.Millisecond

// loadTable holds what the entry knows about all executor groups in the host list.
type loadTable struct {
	s     *Service
	mu    sync.Mutex
	views map[contract.Key]*groupView
	tiers [3][]*groupView // views with live executors, by zone.Distance
	down  map[string]bool // daemons that membership does not see alive
}

// groupView is what the entry knows about one group.
type groupView struct {
	key            contract.Key
	listedSlots    int            // slots of the live executors in the host list
	load           *rpc.GroupLoad // latest summary; nil before the first
	loadReceived   time.Time      // when load arrived
	ownCalls       int            // calls of this entry in progress
	ownCallsAtLoad int            // ownCalls when load arrived
	avoidUntil     time.Time      // until then used only if there is no other group
}

func newLoadTable(s *Service) *loadTable {
	return &loadTable{s: s, views: make(map[contract.Key]*groupView)}
}

// setHosts updates the table from the host list.
func (t *loadTable) setHosts(hosts []upstream.Host) {
	listedSlots := make(map[contract.Key]int)
	zones := make(map[contract.Key]zone.Name)
	for _, h := range hosts {
		if h.Kind != upstream.ExecutorHost {
			continue
		}
		k := contract.ExecKey(h.Zone, h.Group)
		zones[k] = h.Zone
		if h.State == upstream.Live {
			listedSlots[k] += h.Slots
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tiers = [3][]*groupView{}
	self := t.s.cfg.Peers.Self().Zone
	for k, z := range zones {
		v := t.views[k]
		if v == nil {
			v = &groupView{key: k}
			t.views[k] = v
		}
		v.listedSlots = listedSlots[k]
		if v.listedSlots > 0 {
			d := t.s.cfg.Topology.Distance(self, z)
			t.tiers[d] = append(t.tiers[d], v)
		}
	}
	for k, v := range t.views {
		if _, ok := zones[k]; !ok && v.ownCalls == 0 {
			delete(t.views, k)
		}
	}
}

// setMembers updates the set of daemons that are down from the membership.
func (t *loadTable) setMembers(ms []link.Member) {
	down := make(map[string]bool)
	for _, m := range ms {
		if m.State != link.Alive {
			down[m.ID] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// update stores load summaries. It ignores those that are malformed, older than the
// stored one, or of groups that are not in the host list.
func (t *loadTable) update(loads ...*rpc.GroupLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range loads {
		v := t.views[contract.Key(l.GetKey())]
		if v == nil || l.Slots < 0 || l.Busy < 0 || l.Queued < 0 || l.ServiceUs < 0 {
			continue
		}
		if previous := v.load; previous != nil && (l.Epoch < previous.Epoch ||
			l.Epoch == previous.Epoch && l.Sequence <= previous.Sequence) {
			continue
		}
		v.load, v.loadReceived, v.ownCallsAtLoad = l, time.Now(), v.ownCalls
	}
}

// expectedWait estimates how long a new call waits in the group. The second value is
// the number of calls per slot, which decides between groups with equal waits. Own
// calls begun since the latest summary arrived are added to its counts. Without a
// recent summary only own calls are known. A group without slots gets an hour.
func (v *groupView) expectedWait(now time.Time) (time.Duration, float64) {
	slots, calls, serviceUS := v.listedSlots, v.ownCalls, int32(assumedRunTime.Microseconds())
	if v.load != nil && now.Sub(v.loadReceived) < maxLoadAge {
		slots = int(v.load.Slots)
		calls = max(v.ownCalls, int(v.load.Busy+v.load.Queued)+v.ownCalls-v.ownCallsAtLoad)
		serviceUS = v.load.ServiceUs
	}
	if slots <= 0 {
		return time.Hour, 1
	}
	ahead := max(0, calls-slots+1)
	return time.Duration(ahead) * time.Duration(serviceUS) * time.Microsecond / time.Duration(slots),
		float64(calls) / float64(slots)
}

// target is an executor group with its owner.
type target struct {
	key      contract.Key
	epoch    contract.Epoch
	daemon   string
	distance zone.Distance
}

// pickGroup chooses a group: at every distance the better of two random groups, and
// among these the one with the smallest sum of expected wait and cost of the
// distance. Groups in tried, or to be avoided, are chosen only if there is no other.
// The second result is false if no group has a live owner.
func (t *loadTable) pickGroup(tried map[contract.Key]bool) (target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if best, ok := t.pickAllowed(func(v *groupView, now time.Time) bool {
		return !tried[v.key] && now.After(v.avoidUntil)
	}); ok {
		return best, true
	}
	return t.pickAllowed(func(*groupView, time.Time) bool { return true })
}

// pickAllowed chooses a group as pickGroup does, among those that allow accepts. t.mu
// must be held.
func (t *loadTable) pickAllowed(allow func(*groupView, time.Time) bool) (best target, ok bool) {
	now := time.Now()
	cost := [3]time.Duration{0, t.s.cfg.CrossZoneWait, t.s.cfg.CrossRegionWait}
	var least time.Duration
	for d, tier := range t.tiers {
		candidate, w, found := t.betterOfTwo(tier, allow, now)
		if found && (!ok || w+cost[d] < least) {
			candidate.distance = zone.Distance(d)
			best, least, ok = candidate, w+cost[d], true
		}
	}
	return best, ok
}

// betterOfTwo returns the group with the shorter wait, and that wait, of two random
// groups of the tier that allow accepts and whose owner is alive. The last result is
// false if there is none. t.mu must be held.
func (t *loadTable) betterOfTwo(tier []*groupView, allow func(*groupView, time.Time) bool,
	now time.Time) (target, time.Duration, bool) {
	var out target
	var wait time.Duration
	var load float64
	found := 0
	if len(tier) == 0 {
		return out, 0, false
	}
	// The groups are visited in a random order until two usable ones are found.
	start, step := t.s.rng.intN(len(tier)), 1
	if len(tier) > 2 {
		step = t.s.rng.coprimeStep(len(tier))
	}
	for i := 0; i < len(tier) && found < 2; i++ {
		v := tier[(start+i*step)%len(tier)]
		if !allow(v, now) {
			continue
		}
		owner, epoch, ok := t.s.cfg.Ownership.Owner(v.key)
		if !ok || owner == "" || t.down[owner] {
			continue
		}
		w, l := v.expectedWait(now)
		if found == 0 || w < wait || w == wait && l < load {
			out, wait, load = target{key: v.key, epoch: epoch, daemon: owner}, w, l
		}
		found++
	}
	return out, wait, found > 0
}

// beginCall counts a call of this entry on the group k; end ends it.
func (t *loadTable) beginCall(k contract.Key) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.views[k]
	if v == nil {
		return func() {}
	}
	v.ownCalls++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		v.ownCalls--
	}
}

// avoidBriefly keeps calls away from the group for avoidDuration if there are others.
func (t *loadTable) avoidBriefly(k contract.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.views[k]; v != nil {
		v.avoidUntil = time.Now().Add(avoidDuration)
	}
}

// isDown reports whether membership does not see the daemon alive.
func (t *loadTable) isDown(daemon string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down[daemon]
}
