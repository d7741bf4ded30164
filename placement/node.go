package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// rack identifies a rack: its workers point to the same rack value.
type rack struct{ name string } // "<zone>/<rack>"

// node is a worker and the tasks that this engine has on it.
type node struct {
	Node
	known           bool // false after RemoveNode, or if only adopted tasks refer to it
	rack            *rack
	pool            *pool
	poolIndex       int // in pool.nodes
	class           nodeClass
	used            machine.Resources // by the tasks below
	preemptibleUsed machine.Resources // part of used that urgent work may preempt
	tasks           []*task           // proposed or running
	heldForMoves    machine.Resources // for tasks that drain stops elsewhere to place them here
	reservation     *reservation      // nil if n is not reserved
	reservedTasks   int               // tasks of the reservation's shape for which n is reserved
	health          health
}

// free returns the resources of n that nothing uses. It may be negative while a
// preemption is in progress: the preempting task is counted already and its
// victims still are.
func (n *node) free() machine.Resources {
	return n.Total.Sub(n.Foreign).Sub(n.used).Sub(n.heldForMoves)
}

// acceleratorSharePermille is how much of an accelerator's even share of the worker's
// processors and memory is kept, while it is free, for tasks that need accelerators. It
// is a half, because in the simulation of hardMix (see mix_test.go) these tasks use at
// most half of that share.
const acceleratorSharePermille = 500

// lendable returns the part of free, the free resources of n, that is open to tasks
// that need no accelerators.
func (n *node) lendable(free machine.Resources) machine.Resources {
	if n.Total.Accelerators == 0 {
		return free
	}
	withheld := func(total int64) int64 {
		return total * acceleratorSharePermille * max(free.Accelerators, 0) / (n.Total.Accelerators * 1000)
	}
	free.CPUMilli -= withheld(n.Total.CPUMilli)
	free.MemoryMiB -= withheld(n.Total.MemoryMiB)
	return free
}

// freeWithPreemption returns what is free for urgent work if everything is
// preempted that may be.
func (n *node) freeWithPreemption() machine.Resources {
	return n.free().Add(n.preemptibleUsed).Add(minResources(n.Preemptible, n.Foreign))
}

// acceptsTasks reports whether n takes new tasks.
func (n *node) acceptsTasks() bool {
	return n.known && !n.Draining && !n.Unreachable && n.health.admitsTask(n)
}

// pool indexes the workers of one zone that have, or that lack, accelerators.
type pool struct {
	key          poolKey
	nodes        []*node  // nil where a worker was removed
	vacant       []int    // indices of the nil entries of nodes
	freeIndex    *maxTree // over nodes, by node.free
	preemptIndex *maxTree // over nodes, by node.freeWithPreemption
	count        int      // workers in nodes
}

// poolKey is what the workers of a pool have in common.
type poolKey struct {
	zone  zone.Name
	accel bool // the workers have accelerators
}

// nodeClass groups workers that can hold the same tasks when empty.
type nodeClass struct {
	total machine.Resources
	zone  zone.Name
}

// poolOf returns the pool with the key k, which it creates if needed.
func (e *Engine) poolOf(k poolKey) *pool {
	p := e.pools[k]
	if p == nil {
		p = &pool{key: k, freeIndex: newMaxTree(&e.stats.IndexSteps), preemptIndex: newMaxTree(&e.stats.IndexSteps)}
		e.pools[k] = p
		e.poolOrder = append(e.poolOrder, p)
	}
	return p
}

// add puts n into p at a vacant index, or else at the end. The caller updates the
// trees.
func (p *pool) add(n *node) {
	if k := len(p.vacant); k > 0 {
		n.poolIndex = p.vacant[k-1]
		p.vacant = p.vacant[:k-1]
		p.nodes[n.poolIndex] = n
	} else {
		n.poolIndex = len(p.nodes)
		p.nodes = append(p.nodes, n)
	}
	n.pool = p
	p.count++
}

// remove takes n out of p and its trees.
func (p *pool) remove(n *node) {
	p.freeIndex.set(n.poolIndex, noCapacity)
	p.preemptIndex.set(n.poolIndex, noCapacity)
	p.nodes[n.poolIndex] = nil
	p.vacant = append(p.vacant, n.poolIndex)
	n.pool = nil
	p.count--
}

// updateIndex sets the entries of n in the trees of its pool.
func (n *node) updateIndex() {
	if n.pool == nil {
		return
	}
	if !n.acceptsTasks() {
		n.pool.freeIndex.set(n.poolIndex, noCapacity)
		n.pool.preemptIndex.set(n.poolIndex, noCapacity)
		return
	}
	n.pool.freeIndex.set(n.poolIndex, n.free())
	n.pool.preemptIndex.set(n.poolIndex, n.freeWithPreemption())
}

// SetNode adds a worker, or updates the one with the same id, and makes waiting
// jobs active that the change can help.
func (e *Engine) SetNode(update Node) {
	n := e.nodes[update.ID]
	if n == nil {
		n = &node{}
		e.nodes[update.ID] = n
	}
	freeBefore := n.free()
	acceptedBefore, knownBefore := n.acceptsTasks(), n.known
	key := poolKey{update.Zone, update.Total.Accelerators > 0}
	class := nodeClass{update.Total, update.Zone}
	if n.pool != nil && n.pool.key != key {
		n.pool.remove(n)
	}
	if knownBefore {
		e.countClass(n.class, -1)
		e.capacity = e.capacity.Sub(n.Total)
	}
	n.Node, n.known, n.class = update, true, class
	n.rack = e.rackOf(update.Zone, update.Rack)
	e.countClass(class, 1)
	e.capacity = e.capacity.Add(update.Total)
	if !knownBefore {
		e.knownNodes++
	}
	if n.pool == nil {
		e.poolOf(key).add(n)
	}
	e.setDraining(n)
	n.updateIndex()
	if !acceptedBefore {
		freeBefore = noCapacity
	}
	e.unblockFitting(n, freeBefore)
}

// RemoveNode removes a worker. Its tasks stay known until Finish or Reject. It does
// nothing for an unknown id.
func (e *Engine) RemoveNode(id string) {
	n := e.nodes[id]
	if n == nil || !n.known {
		return
	}
	if n.reservation != nil {
		e.dropReservation(n.reservation.shape)
	}
	n.health.reset(e, n)
	n.pool.remove(n)
	n.known = false
	e.setDraining(n)
	e.knownNodes--
	e.countClass(n.class, -1)
	e.capacity = e.capacity.Sub(n.Total)
	e.forgetNode(n)
}

// forgetNode deletes n if it is removed or was never added, and holds no task.
func (e *Engine) forgetNode(n *node) {
	if !n.known && len(n.tasks) == 0 {
		delete(e.nodes, n.ID)
	}
}

// rackOf returns the rack with the name in z, which it creates if needed.
func (e *Engine) rackOf(z zone.Name, name string) *rack {
	k := string(z) + "/" + name
	r := e.racks[k]
	if r == nil {
		r = &rack{name: k}
		e.racks[k] = r
	}
	return r
}

// countClass adds delta to the number of workers of class k.
func (e *Engine) countClass(k nodeClass, delta int) {
	count := e.nodeClasses[k] + delta
	if count > 0 {
		e.nodeClasses[k] = count
	} else {
		delete(e.nodeClasses, k)
	}
	if count == 0 || count == delta { // the class vanished or appeared
		e.nodeClassesChanged = true
	}
}

// holdResources assigns t to n and counts res as used there.
func (e *Engine) holdResources(t *task, n *node, res machine.Resources, now time.Time) {
	freeBefore := n.free()
	t.node, t.held, t.stateTime = n, res, now
	t.pos = len(n.tasks)
	n.tasks = append(n.tasks, t)
	e.addUsage(t, n, res)
	if res.Accelerators > 0 {
		e.unblockFitting(n, freeBefore) // the share kept for a free accelerator becomes lendable
	}
	j := t.job
	j.placed++
	if j.racks != nil {
		j.racks[n.rack]++
		j.zones[n.Zone]++
	}
}

// addUsage adds res, which is negative when resources are given back, to the usage
// of n, of the engine and of the team of t.
func (e *Engine) addUsage(t *task, n *node, res machine.Resources) {
	n.used = n.used.Add(res)
	e.used = e.used.Add(res)
	if t.job.preemptible() {
		n.preemptibleUsed = n.preemptibleUsed.Add(res)
	}
	e.addTeamUsage(t.job.team, res)
	n.updateIndex()
}

// preemptible reports whether urgent work may preempt the tasks of j.
func (j *job) preemptible() bool { return j.spec.Preemptible && j.spec.Priority < workload.Urgent }

// releaseResources takes t off its node, gives back what t holds and makes waiting
// jobs active that it can help.
func (e *Engine) releaseResources(t *task) {
	n, j := t.node, t.job
	last := len(n.tasks) - 1
	n.tasks[t.pos] = n.tasks[last]
	n.tasks[t.pos].pos = t.pos
	n.tasks[last] = nil
	n.tasks = n.tasks[:last]
	freeBefore := n.free()
	acceptedBefore := n.acceptsTasks()
	n.health.taskEnded(t)
	e.addUsage(t, n, t.held.Scale(-1))
	j.placed--
	if j.racks != nil {
		j.racks[n.rack]--
		j.zones[n.Zone]--
	}
	t.node, t.pos, t.held, t.preempt, t.throttled, t.stopping, t.beyondQuota = nil, -1, machine.Resources{}, false, false, false, false
	delete(e.placedTasks, t.id)
	if !acceptedBefore {
		freeBefore = noCapacity
	}
	e.unblockFitting(n, freeBefore)
	e.forgetNode(n)
}
