package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// team holds the quota, the usage and the waiting jobs of a team (see Engine.SetTeam).
type team struct {
	name      string
	quota     machine.Resources // zero: no quota is set
	weight    int
	used      machine.Resources
	share     float64             // largest share of the cell's capacity in any dimension, divided by the weight
	overQuota bool                // uses more than its quota in some dimension
	groups    indexedHeap[*group] // active groups, the next to be served first
	parked    []*group            // without quota for their next job; they wait for the team to use less
	heapPos   int                 // in Engine.teamHeap
}

// heapIndex implements heapItem.
func (t *team) heapIndex() *int { return &t.heapPos }

// shape describes what a search depends on. Jobs of the same shape fit the same
// workers, so one failed search blocks all of them until an event on a worker can
// help.
type shape struct {
	shapeKey
	learned             *family           // nil without a family
	need                machine.Resources // size of a task, learned or declared
	expectedRunTime     time.Duration     // learned or declared; 0 is unknown
	allowedZones        []zone.Name
	groups              []*group
	blocked             bool // its groups are in the unschedulable queue
	blockedSince        time.Time
	reservation         *reservation // nil if the shape has none
	missing             int          // how many more tasks must fit before a new search can succeed
	blockedPos          int          // in Engine.blocked
	acceleratorsAllowed bool         // may use all of an accelerator worker
	lendingAllowed      bool         // may use the lendable part of an accelerator worker
	createdSeq          uint64       // order of creation
	impossibleSince     time.Time    // since when the known workers cannot hold it; zero if they can
}

// shapeKey is what jobs of the same shape have in common.
type shapeKey struct {
	declared  machine.Resources // per task
	runTime   time.Duration     // declared; 0 is unknown
	family    string
	team      string // owner of the family; empty without a family
	learnSize bool   // the learned size may be used
	kind      workload.Kind
	tasks     int    // waiting tasks of a gang, else 1
	zones     string // allowed zones, each followed by a comma; empty allows all
	urgent    bool
}

// group holds the waiting jobs of one team and shape.
type group struct {
	team    *team
	shape   *shape
	jobs    indexedHeap[*queueEntry]
	waiting int  // entries of jobs that are not marked as removed
	heapPos int  // in team.groups
	parked  bool // in team.parked
	// lastReclaim is when reclaim last looked for resources for the group.
	lastReclaim time.Time
}

// heapIndex implements heapItem.
func (g *group) heapIndex() *int { return &g.heapPos }

// queueEntry is a job in a group. When a job leaves the queue its entry is only
// marked as removed. It is deleted when it becomes the first of the heap, or when the
// marked entries outnumber the others by more than 16, so that each of many
// cancellations has a constant amortized cost.
type queueEntry struct {
	job     *job
	removed bool
	heapPos int
}

// heapIndex implements heapItem.
func (e *queueEntry) heapIndex() *int { return &e.heapPos }

// jobBefore orders jobs by priority, then by the time by which they should start,
// then by submission.
func jobBefore(a, b *job) bool {
	if a.spec.Priority != b.spec.Priority {
		return a.spec.Priority > b.spec.Priority
	}
	if !a.startBy.Equal(b.startBy) {
		return a.startBy.Before(b.startBy)
	}
	return a.seq < b.seq
}

func entryBefore(a, b *queueEntry) bool { return jobBefore(a.job, b.job) }

func groupBefore(a, b *group) bool { return jobBefore(a.head(), b.head()) }

// teamBefore orders teams by the priority of their first job, then teams within
// their quota before teams beyond it, then by weighted dominant share.
func teamBefore(a, b *team) bool {
	jobA, jobB := a.groups.items[0].head(), b.groups.items[0].head()
	if jobA.spec.Priority != jobB.spec.Priority {
		return jobA.spec.Priority > jobB.spec.Priority
	}
	if a.overQuota != b.overQuota {
		return b.overQuota
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return jobBefore(jobA, jobB)
}

// head returns the first waiting job, or nil. It deletes removed entries ahead of
// that job.
func (g *group) head() *job {
	for g.jobs.len() > 0 {
		top := g.jobs.items[0]
		if !top.removed {
			return top.job
		}
		g.jobs.remove(top)
	}
	return nil
}

// enqueue puts j into the group of its team and shape, if it is ready and in no
// group yet.
func (e *Engine) enqueue(j *job) {
	if j.group != nil || !j.readyToQueue() {
		return
	}
	s := e.shapeOf(j)
	g := e.groupOf(j.team, s)
	j.group = g
	j.entry = &queueEntry{job: j}
	g.jobs.push(j.entry)
	g.waiting++
	e.waitingJobs++
	e.updateGroupQueue(g)
}

// dequeue takes j out of its group, if it is in one.
func (e *Engine) dequeue(j *job) {
	g := j.group
	if g == nil {
		return
	}
	e.stats.QueueSteps++
	j.entry.removed = true
	j.group, j.entry = nil, nil
	g.waiting--
	e.waitingJobs--
	if removed := g.jobs.len() - g.waiting; removed > g.waiting+16 {
		e.compact(g)
	}
	e.updateGroupQueue(g)
}

// compact deletes the removed entries of g.
func (e *Engine) compact(g *group) {
	live := g.jobs.items[:0]
	for _, entry := range g.jobs.items {
		e.stats.QueueSteps++
		if !entry.removed {
			live = append(live, entry)
		}
	}
	clear(g.jobs.items[len(live):])
	g.jobs.items = live
	g.jobs.init()
}

// addTeamUsage adds res, which is negative when resources are given back, to what t
// uses.
func (e *Engine) addTeamUsage(t *team, res machine.Resources) {
	t.used = t.used.Add(res)
	e.updateShare(t)
	if len(t.parked) > 0 && lowersAnyDimension(res) {
		e.unpark(t)
	}
}

// unpark makes the parked groups of t active, unless their shape is blocked.
func (e *Engine) unpark(t *team) {
	parked := t.parked
	t.parked = nil
	for _, g := range parked {
		g.parked = false
		e.stats.Unblocked++
		e.updateGroupQueue(g)
	}
}

// updateShare recomputes the share of t and whether it is over its quota, and its
// place among the teams.
func (e *Engine) updateShare(t *team) {
	t.share = dominantShare(t.used, e.capacity) / float64(t.weight)
	t.overQuota = !t.quota.IsZero() && !t.used.Fits(t.quota)
	if e.teamHeap.contains(t) {
		e.teamHeap.fix(t)
	}
}

// dominantShare returns the largest share of total that r takes in any dimension.
func dominantShare(r, total machine.Resources) float64 {
	share := func(a, b int64) float64 {
		if b <= 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(share(r.CPUMilli, total.CPUMilli), share(r.MemoryMiB, total.MemoryMiB),
		share(r.Accelerators, total.Accelerators))
}

// lowersAnyDimension reports whether adding r lowers some dimension.
func lowersAnyDimension(r machine.Resources) bool {
	return r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Accelerators < 0
}

// park moves g to the unschedulable queue until its team uses less or gets another
// quota.
func (e *Engine) park(g *group) {
	if !g.parked {
		g.parked = true
		g.team.parked = append(g.team.parked, g)
	}
	e.updateGroupQueue(g)
}

// updateGroupQueue puts g and its team into the active queue, takes them out of it
// or moves them within it, as their state demands. It is called after any change of
// g. A group without waiting jobs is deleted.
func (e *Engine) updateGroupQueue(g *group) {
	t := g.team
	teamWasQueued := t.groups.len() > 0
	active := g.waiting > 0 && !g.shape.blocked && !g.parked
	if active {
		g.head() // the first jobs decide the order, so removed entries are deleted first
	}
	switch queued := t.groups.contains(g); {
	case active && queued:
		t.groups.fix(g)
	case active:
		t.groups.push(g)
	case queued:
		t.groups.remove(g)
	}
	e.updateTeamQueue(t, teamWasQueued)
	// Deleting a group may end a reservation and unblock other shapes, so it comes last.
	if g.waiting == 0 {
		e.dropGroup(g)
	}
}

// updateTeamQueue puts t into the heap of teams, takes it out or moves it within.
// wasQueued says whether t had active groups before the change.
func (e *Engine) updateTeamQueue(t *team, wasQueued bool) {
	isQueued := t.groups.len() > 0
	switch {
	case isQueued && wasQueued:
		e.teamHeap.fix(t)
	case isQueued:
		e.teamHeap.push(t)
	case wasQueued:
		e.teamHeap.remove(t)
	}
}

// groupKey identifies a group.
type groupKey struct {
	team  *team
	shape *shape
}

// groupOf returns the group of t and s, which it creates if needed.
func (e *Engine) groupOf(t *team, s *shape) *group {
	k := groupKey{t, s}
	g := e.groups[k]
	if g == nil {
		g = &group{team: t, shape: s, heapPos: -1}
		g.jobs = indexedHeap[*queueEntry]{less: entryBefore, swaps: &e.stats.QueueSteps}
		e.groups[k] = g
		s.groups = append(s.groups, g)
	}
	return g
}

// dropGroup deletes an empty group, and its shape if that was the last group.
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

// removeItem deletes the first v from list, and does not keep the order.
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

// block moves every group of s to the unschedulable queue until missing more tasks
// of s fit. If s is blocked already, only missing is updated.
func (e *Engine) block(s *shape, missing int, now time.Time) {
	s.missing = missing
	if s.blocked {
		return
	}
	s.blocked, s.blockedSince = true, now
	s.blockedPos = len(e.blocked)
	e.blocked = append(e.blocked, s)
	for _, g := range s.groups {
		e.updateGroupQueue(g)
	}
}

// unblock moves the groups of s back to the active queue, except parked ones.
func (e *Engine) unblock(s *shape) {
	if !s.blocked {
		return
	}
	s.blocked = false
	last := len(e.blocked) - 1
	e.blocked[s.blockedPos] = e.blocked[last]
	e.blocked[s.blockedPos].blockedPos = s.blockedPos
	e.blocked = e.blocked[:last]
	for i := 0; i < len(s.groups); i++ {
		e.stats.Unblocked++
		e.updateGroupQueue(s.groups[i])
	}
}

// unblockFitting unblocks the shapes that the newly freed resources of n can help.
// freeBefore is what n had free until now.
func (e *Engine) unblockFitting(n *node, freeBefore machine.Resources) {
	if len(e.blocked) == 0 || !n.acceptsTasks() {
		return
	}
	free := n.free()
	if free.Fits(freeBefore) && n.Total.Accelerators == 0 {
		return
	}
	lendable, lendableBefore := n.lendable(free), n.lendable(freeBefore)
	for i := len(e.blocked) - 1; i >= 0 && i < len(e.blocked); i-- {
		s := e.blocked[i]
		e.stats.QueueSteps++
		if !s.allowsNode(n) {
			continue
		}
		usableBefore, usable := freeBefore, free
		if !s.acceleratorsAllowed {
			usableBefore, usable = lendableBefore, lendable
		}
		gain := countFits(s.need, usable) - countFits(s.need, usableBefore)
		if gain <= 0 {
			continue
		}
		if s.missing -= gain; s.missing <= 0 {
			e.unblock(s)
		}
	}
}
