package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// team is a customer with a quota and a weight.
type team struct {
	name   string
	quota  machine.Resources // zero: no quota is set
	weight int
	used   machine.Resources
	share  float64 // dominant share of the cell divided by the weight
	over   bool    // uses more than its quota in some dimension
	groups heapOf[*group]
	parked []*group // wait for the team's own usage to fall
	pos    int
}

func (t *team) at() *int { return &t.pos }

// shape describes jobs that fit the same workers, so that one failed search
// holds for all of them until an event on a worker can help.
type shape struct {
	shapeKey
	fam     *family
	need    machine.Resources
	run     time.Duration // expected, 0 is unknown
	allowed []zone.Name
	groups  []*group
	blocked bool
	since   time.Time // when the shape was blocked
	resv    *reservation
	missing int       // fits that must appear before a new search can succeed
	pos     int       // in Engine.blocked
	accelOK bool      // may use all of an accelerator worker
	borrows bool      // may use the lendable part of one
	born    uint64    // order of creation
	doomed  time.Time // since when no known worker can hold it; zero if one can
}

type shapeKey struct {
	declared machine.Resources
	runTime  time.Duration
	family   string
	team     string // of the family; empty without one
	learn    bool
	kind     workload.Kind
	tasks    int // of a gang, else 1
	zones    string
	urgent   bool
}

// group holds the waiting jobs of one team and shape.
type group struct {
	team   *team
	shape  *shape
	jobs   heapOf[*entry]
	live   int // jobs in the heap that still wait
	pos    int
	parked bool // in team.parked
	// reclaimed is when borrowed resources were last taken back for the group.
	reclaimed time.Time
}

func (g *group) at() *int { return &g.pos }

// entry is a job in a group. A job that leaves the queue marks its entry dead;
// the entry is dropped when it surfaces or when half the group is dead, so that
// a wave of cancellations costs a constant per job.
type entry struct {
	job  *job
	dead bool
	pos  int
}

func (t *entry) at() *int { return &t.pos }

func before(a, b *job) bool {
	if a.spec.Priority != b.spec.Priority {
		return a.spec.Priority > b.spec.Priority
	}
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
}

func entryBefore(a, b *entry) bool { return before(a.job, b.job) }

func groupBefore(a, b *group) bool { return before(a.head(), b.head()) }

// teamBefore orders teams by the priority of their first job, then teams within
// their quota before borrowers, then by weighted dominant share.
func teamBefore(a, b *team) bool {
	ja, jb := a.groups.items[0].head(), b.groups.items[0].head()
	if ja.spec.Priority != jb.spec.Priority {
		return ja.spec.Priority > jb.spec.Priority
	}
	if a.over != b.over {
		return b.over
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return before(ja, jb)
}

// head returns the first waiting job, or nil.
func (g *group) head() *job {
	for g.jobs.len() > 0 {
		top := g.jobs.items[0]
		if !top.dead {
			return top.job
		}
		g.jobs.remove(top)
	}
	return nil
}

// enqueue puts j into the queue of its shape, if it is ready and not there yet.
func (e *Engine) enqueue(j *job) {
	if j.group != nil || !j.ready() {
		return
	}
	s := e.shapeOf(j)
	g := e.groupOf(j.team, s)
	j.group = g
	j.entry = &entry{job: j}
	g.jobs.push(j.entry)
	g.live++
	e.waiting++
	e.arrange(g)
}

// dequeue takes j out of its queue.
func (e *Engine) dequeue(j *job) {
	g := j.group
	if g == nil {
		return
	}
	e.stats.QueueSteps++
	j.entry.dead = true
	j.group, j.entry = nil, nil
	g.live--
	e.waiting--
	if dead := g.jobs.len() - g.live; dead > g.live+16 {
		e.compact(g)
	}
	e.arrange(g)
}

// compact removes the dead entries of g.
func (e *Engine) compact(g *group) {
	kept := g.jobs.items[:0]
	for _, it := range g.jobs.items {
		e.stats.QueueSteps++
		if !it.dead {
			kept = append(kept, it)
		}
	}
	clear(g.jobs.items[len(kept):])
	g.jobs.items = kept
	g.jobs.init()
}

// teamUsed adds res (negative to give back) to what t uses.
func (e *Engine) teamUsed(t *team, res machine.Resources) {
	t.used = t.used.Add(res)
	e.rank(t)
	if len(t.parked) > 0 && lowers(res) {
		e.unpark(t)
	}
}

// unpark wakes the groups that wait for t to use less.
func (e *Engine) unpark(t *team) {
	woken := t.parked
	t.parked = nil
	for _, g := range woken {
		g.parked = false
		e.stats.Unblocked++
		e.arrange(g)
	}
}

// rank recomputes the order of t among the teams.
func (e *Engine) rank(t *team) {
	t.share = dominant(t.used, e.total) / float64(t.weight)
	t.over = !t.quota.IsZero() && !t.used.Fits(t.quota)
	if e.teamHeap.has(t) {
		e.teamHeap.fix(t)
	}
}

// dominant returns the largest share of total that r takes in one dimension.
func dominant(r, total machine.Resources) float64 {
	share := func(a, b int64) float64 {
		if b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(share(r.CPUMilli, total.CPUMilli), share(r.MemoryMiB, total.MemoryMiB),
		share(r.Accelerators, total.Accelerators))
}

// lowers reports whether adding r lowers some dimension.
func lowers(r machine.Resources) bool {
	return r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// park moves g to its team's own queue until the team uses less.
func (e *Engine) park(g *group) {
	if !g.parked {
		g.parked = true
		g.team.parked = append(g.team.parked, g)
	}
	e.arrange(g)
}

// arrange puts g and its team where they belong after any change: in the active
// queue, or out of it if nothing waits or the group is blocked.
func (e *Engine) arrange(g *group) {
	t := g.team
	teamIn := t.groups.len() > 0
	active := g.live > 0 && !g.shape.blocked && !g.parked
	if active {
		g.head() // the heads decide the order, so dead entries are dropped first
	}
	switch in := t.groups.has(g); {
	case active && in:
		t.groups.fix(g)
	case active:
		t.groups.push(g)
	case in:
		t.groups.remove(g)
	}
	e.arrangeTeam(t, teamIn)
	// Dropping a group may end a reservation and wake others, so it comes last.
	if g.live == 0 {
		e.dropGroup(g)
	}
}

func (e *Engine) arrangeTeam(t *team, wasIn bool) {
	isIn := t.groups.len() > 0
	switch {
	case isIn && wasIn:
		e.teamHeap.fix(t)
	case isIn:
		e.teamHeap.push(t)
	case wasIn:
		e.teamHeap.remove(t)
	}
}

type groupKey struct {
	team  *team
	shape *shape
}

func (e *Engine) groupOf(t *team, s *shape) *group {
	k := groupKey{t, s}
	g := e.groups[k]
	if g == nil {
		g = &group{team: t, shape: s, pos: -1}
		g.jobs = heapOf[*entry]{less: entryBefore, steps: &e.stats.QueueSteps}
		e.groups[k] = g
		s.groups = append(s.groups, g)
	}
	return g
}

// dropGroup forgets an empty group, and its shape if that was the last group.
func (e *Engine) dropGroup(g *group) {
	s := g.shape
	delete(e.groups, groupKey{g.team, s})
	s.groups = removeItem(s.groups, g)
	if g.parked {
		g.team.parked = removeItem(g.team.parked, g)
		g.parked = false
	}
	if len(s.groups) == 0 {
		e.unblock(s)
		e.dropShape(s)
	}
}

func removeItem[T comparable](list []T, v T) []T {
	for i, x := range list {
		if x == v {
			list[i] = list[len(list)-1]
			var zero T
			list[len(list)-1] = zero
			return list[:len(list)-1]
		}
	}
	return list
}

// block moves every group of s to the unschedulable queue until missing more
// fits have appeared.
func (e *Engine) block(s *shape, missing int, now time.Time) {
	s.missing = missing
	if s.blocked {
		return
	}
	s.blocked, s.since = true, now
	s.pos = len(e.blocked)
	e.blocked = append(e.blocked, s)
	for _, g := range s.groups {
		e.arrange(g)
	}
}

func (e *Engine) unblock(s *shape) {
	if !s.blocked {
		return
	}
	s.blocked = false
	last := len(e.blocked) - 1
	e.blocked[s.pos] = e.blocked[last]
	e.blocked[s.pos].pos = s.pos
	e.blocked = e.blocked[:last]
	for i := 0; i < len(s.groups); i++ {
		e.stats.Unblocked++
		e.arrange(s.groups[i])
	}
}

// freed wakes the shapes that the new free resources of n can help. before is
// what n had free until now.
func (e *Engine) freed(n *node, before machine.Resources) {
	if len(e.blocked) == 0 || !n.open() {
		return
	}
	free := n.free()
	if free.Fits(before) && n.Total.Accelerators == 0 {
		return
	}
	lendable, lentBefore := n.lendable(free), n.lendable(before)
	for i := len(e.blocked) - 1; i >= 0 && i < len(e.blocked); i-- {
		s := e.blocked[i]
		e.stats.QueueSteps++
		if !s.allows(n) {
			continue
		}
		was, now := before, free
		if !s.accelOK {
			was, now = lentBefore, lendable
		}
		gain := times(s.need, now) - times(s.need, was)
		if gain <= 0 {
			continue
		}
		if s.missing -= gain; s.missing <= 0 {
			e.unblock(s)
		}
	}
}
