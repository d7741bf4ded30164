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

// loadStale is the age at which a summary is no longer used.
const loadStale = 5 * time.Second

// avoidTime is how long a group whose owner refused or could not be reached is
// used only if there is no other.
const avoidTime = 500 * time.Millisecond

// loadTable is the entry's view of all executor groups.
type loadTable struct {
	s     *Service
	mu    sync.Mutex
	views map[contract.Key]*groupView
	tiers [3][]*groupView // by distance
	down  map[string]bool // daemons that membership takes for dead or suspects
}

// groupView is what the entry knows about one group.
type groupView struct {
	key     contract.Key
	nominal int // slots of the live executors in the host list
	load    *rpc.GroupLoad
	at      time.Time
	mine    int // own calls in progress
	mineAt  int // mine when load arrived
	avoid   time.Time
}

func newLoadTable(s *Service) *loadTable {
	return &loadTable{s: s, views: make(map[contract.Key]*groupView)}
}

// setHosts takes in the host list.
func (t *loadTable) setHosts(hosts []upstream.Host) {
	nominal := make(map[contract.Key]int)
	zones := make(map[contract.Key]zone.Name)
	for _, h := range hosts {
		if h.Kind != upstream.ExecutorHost {
			continue
		}
		k := contract.ExecKey(h.Zone, h.Group)
		zones[k] = h.Zone
		if h.State == upstream.Live {
			nominal[k] += h.Slots
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
		v.nominal = nominal[k]
		if v.nominal > 0 {
			d := t.s.cfg.Topology.Distance(self, z)
			t.tiers[d] = append(t.tiers[d], v)
		}
	}
	for k, v := range t.views {
		if _, ok := zones[k]; !ok && v.mine == 0 {
			delete(t.views, k)
		}
	}
}

// setMembers takes in the membership.
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

// update takes in summaries; older ones are ignored.
func (t *loadTable) update(loads ...*rpc.GroupLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range loads {
		v := t.views[contract.Key(l.GetKey())]
		if v == nil || l.Slots < 0 || l.Busy < 0 || l.Queued < 0 || l.ServiceUs < 0 {
			continue
		}
		if o := v.load; o != nil && (l.Epoch < o.Epoch || l.Epoch == o.Epoch && l.Sequence <= o.Sequence) {
			continue
		}
		v.load, v.at, v.mineAt = l, time.Now(), v.mine
	}
}

// wait estimates how long a new call waits in the group. The second value is
// the load per slot, which decides between groups without a wait.
func (v *groupView) wait(now time.Time) (time.Duration, float64) {
	slots, all, service := v.nominal, v.mine, int32(initialRunTime.Microseconds())
	if v.load != nil && now.Sub(v.at) < loadStale {
		slots = int(v.load.Slots)
		all = max(v.mine, int(v.load.Busy+v.load.Queued)+v.mine-v.mineAt)
		service = v.load.ServiceUs
	}
	if slots <= 0 {
		return time.Hour, 1
	}
	ahead := max(0, all-slots+1)
	return time.Duration(ahead) * time.Duration(service) * time.Microsecond / time.Duration(slots), float64(all) / float64(slots)
}

// target is a group and its owner.
type target struct {
	key    contract.Key
	epoch  contract.Epoch
	daemon string
	dist   zone.Distance
}

// pick chooses a group: at every distance the better of two random groups, and
// among these the one with the least wait after the cost of the distance. Groups
// in tried are taken only if there is no other.
func (t *loadTable) pick(tried map[contract.Key]bool) (target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if best, ok := t.pickFrom(func(v *groupView, now time.Time) bool { return !tried[v.key] && now.After(v.avoid) }); ok {
		return best, true
	}
	return t.pickFrom(func(*groupView, time.Time) bool { return true })
}

func (t *loadTable) pickFrom(allow func(*groupView, time.Time) bool) (best target, ok bool) {
	now := time.Now()
	cost := [3]time.Duration{0, t.s.cfg.CrossZoneWait, t.s.cfg.CrossRegionWait}
	var least time.Duration
	for d, tier := range t.tiers {
		c, w, found := t.twoChoices(tier, allow, now)
		if found && (!ok || w+cost[d] < least) {
			c.dist = zone.Distance(d)
			best, least, ok = c, w+cost[d], true
		}
	}
	return best, ok
}

func (t *loadTable) twoChoices(tier []*groupView, allow func(*groupView, time.Time) bool, now time.Time) (target, time.Duration, bool) {
	var out target
	var wait time.Duration
	var load float64
	found := 0
	// A random rotation visits the groups until two usable ones are found.
	if len(tier) == 0 {
		return out, 0, false
	}
	start, step := t.s.rng.intN(len(tier)), 1
	if len(tier) > 2 {
		step = t.s.rng.step(len(tier))
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
		w, l := v.wait(now)
		if found == 0 || w < wait || w == wait && l < load {
			out, wait, load = target{key: v.key, epoch: epoch, daemon: owner}, w, l
		}
		found++
	}
	return out, wait, found > 0
}

// begin counts an own call on the group; the returned function ends it.
func (t *loadTable) begin(k contract.Key) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.views[k]
	if v == nil {
		return func() {}
	}
	v.mine++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		v.mine--
	}
}

// avoidFor keeps calls away from the group for a short time.
func (t *loadTable) avoidFor(k contract.Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.views[k]; v != nil {
		v.avoid = time.Now().Add(avoidTime)
	}
}
