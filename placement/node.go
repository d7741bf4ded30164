package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// rack identifies the workers of one rack.
type rack struct{ name string }

// node is a worker and the tasks this engine has on it.
type node struct {
	Node
	known  bool // false after RemoveNode, or if only adopted tasks name it
	rack   *rack
	pool   *pool
	slot   int // in pool.slots
	class  classKey
	used   machine.Resources // held by tracked tasks, proposed or running
	soft   machine.Resources // part of used that urgent work may preempt
	tasks  []*task
	kept   machine.Resources // room for tasks that are being moved here
	resv   *reservation
	slots  int // tasks of the reservation that n is to hold
	health health
}

// free may be negative while a preemption is in progress: the missing part is
// already promised to the preempting task.
func (n *node) free() machine.Resources { return n.Total.Sub(n.Foreign).Sub(n.used).Sub(n.kept) }

// keepPermille is the part of the processors and memory per free accelerator that
// is kept for tasks that need accelerators: half of an even split, because in the
// hard mix accelerator tasks use at most a half of it.
const keepPermille = 500

// lendable is the part of free that n gives to tasks that need no accelerators.
func (n *node) lendable(free machine.Resources) machine.Resources {
	if n.Total.Accelerators == 0 {
		return free
	}
	keep := func(total int64) int64 {
		return total * keepPermille * max(free.Accelerators, 0) / (n.Total.Accelerators * 1000)
	}
	free.CPUMilli -= keep(n.Total.CPUMilli)
	free.MemoryMiB -= keep(n.Total.MemoryMiB)
	return free
}

// reach is what urgent work could get by preemption.
func (n *node) reach() machine.Resources {
	return n.free().Add(n.soft).Add(minOf(n.Preemptible, n.Foreign))
}

// open reports whether n takes new tasks.
func (n *node) open() bool { return n.known && !n.Draining && !n.Unreachable && n.health.admits(n) }

// pool indexes the workers of one zone that have, or lack, accelerators.
type pool struct {
	key   poolKey
	slots []*node
	holes []int
	free  *maxTree
	reach *maxTree
	count int
}

type poolKey struct {
	zone  zone.Name
	accel bool
}

// classKey groups workers that can hold the same tasks when empty.
type classKey struct {
	total machine.Resources
	zone  zone.Name
}

func (e *Engine) poolOf(k poolKey) *pool {
	p := e.pools[k]
	if p == nil {
		p = &pool{key: k, free: newMaxTree(&e.stats.IndexSteps), reach: newMaxTree(&e.stats.IndexSteps)}
		e.pools[k] = p
		e.poolList = append(e.poolList, p)
	}
	return p
}

func (p *pool) add(n *node) {
	if k := len(p.holes); k > 0 {
		n.slot = p.holes[k-1]
		p.holes = p.holes[:k-1]
		p.slots[n.slot] = n
	} else {
		n.slot = len(p.slots)
		p.slots = append(p.slots, n)
	}
	n.pool = p
	p.count++
}

func (p *pool) drop(n *node) {
	p.free.set(n.slot, none)
	p.reach.set(n.slot, none)
	p.slots[n.slot] = nil
	p.holes = append(p.holes, n.slot)
	n.pool = nil
	p.count--
}

// index brings the pool's trees up to date with n.
func (n *node) index() {
	if n.pool == nil {
		return
	}
	if !n.open() {
		n.pool.free.set(n.slot, none)
		n.pool.reach.set(n.slot, none)
		return
	}
	n.pool.free.set(n.slot, n.free())
	n.pool.reach.set(n.slot, n.reach())
}

// SetNode adds a worker or updates what is known of it.
func (e *Engine) SetNode(v Node) {
	n := e.nodes[v.ID]
	if n == nil {
		n = &node{}
		e.nodes[v.ID] = n
	}
	before := n.free()
	wasOpen, wasKnown := n.open(), n.known
	key := poolKey{v.Zone, v.Total.Accelerators > 0}
	class := classKey{v.Total, v.Zone}
	if n.pool != nil && n.pool.key != key {
		n.pool.drop(n)
	}
	if wasKnown {
		e.addClass(n.class, -1)
		e.total = e.total.Sub(n.Total)
	}
	n.Node, n.known, n.class = v, true, class
	n.rack = e.rackOf(v.Zone, v.Rack)
	e.addClass(class, 1)
	e.total = e.total.Add(v.Total)
	if !wasKnown {
		e.known++
	}
	if n.pool == nil {
		e.poolOf(key).add(n)
	}
	e.setDraining(n)
	n.index()
	if !wasOpen {
		before = none
	}
	e.freed(n, before)
}

// RemoveNode takes a worker out of the cell. Its tasks stay known until Finish.
func (e *Engine) RemoveNode(id string) {
	n := e.nodes[id]
	if n == nil || !n.known {
		return
	}
	if n.resv != nil {
		e.dropReservation(n.resv.shape)
	}
	n.health.reset(e, n)
	n.pool.drop(n)
	n.known = false
	e.setDraining(n)
	e.known--
	e.addClass(n.class, -1)
	e.total = e.total.Sub(n.Total)
	e.forgetNode(n)
}

// forgetNode drops the record of a removed worker that holds no task.
func (e *Engine) forgetNode(n *node) {
	if !n.known && len(n.tasks) == 0 {
		delete(e.nodes, n.ID)
	}
}

func (e *Engine) rackOf(z zone.Name, name string) *rack {
	k := string(z) + "/" + name
	r := e.racks[k]
	if r == nil {
		r = &rack{name: k}
		e.racks[k] = r
	}
	return r
}

func (e *Engine) addClass(k classKey, d int) {
	c := e.classes[k] + d
	if c > 0 {
		e.classes[k] = c
	} else {
		delete(e.classes, k)
	}
	if c == 0 || c == d { // a class appeared or vanished
		e.classesChanged = true
	}
}

// hold reserves res on n for t.
func (e *Engine) hold(t *task, n *node, res machine.Resources, now time.Time) {
	before := n.free()
	t.node, t.res, t.since = n, res, now
	t.pos = len(n.tasks)
	n.tasks = append(n.tasks, t)
	e.charge(t, n, res)
	if res.Accelerators > 0 {
		e.freed(n, before) // a used accelerator keeps no room any more
	}
	j := t.job
	j.placed++
	if j.racks != nil {
		j.racks[n.rack]++
		j.zones[n.Zone]++
	}
}

// charge adds res (negative to give back) to everything that counts it.
func (e *Engine) charge(t *task, n *node, res machine.Resources) {
	n.used = n.used.Add(res)
	e.used = e.used.Add(res)
	if t.job.preemptible() {
		n.soft = n.soft.Add(res)
	}
	e.teamUsed(t.job.team, res)
	n.index()
}

func (j *job) preemptible() bool { return j.spec.Preempt && j.spec.Priority < workload.Urgent }

// release frees what t holds.
func (e *Engine) release(t *task) {
	n, j := t.node, t.job
	last := len(n.tasks) - 1
	n.tasks[t.pos] = n.tasks[last]
	n.tasks[t.pos].pos = t.pos
	n.tasks[last] = nil
	n.tasks = n.tasks[:last]
	before := n.free()
	wasOpen := n.open()
	n.health.ended(t)
	e.charge(t, n, t.res.Scale(-1))
	j.placed--
	if j.racks != nil {
		j.racks[n.rack]--
		j.zones[n.Zone]--
	}
	t.node, t.pos, t.res, t.preempt, t.throttled, t.stopping, t.borrowed = nil, -1, machine.Resources{}, false, false, false, false
	delete(e.placed, t.id)
	if !wasOpen {
		before = none
	}
	e.freed(n, before)
	e.forgetNode(n)
}
