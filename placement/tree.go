package placement

import "github.com/sassafraslb/sassafraslb/machine"

// noCapacity marks a slot of a maxTree into which nothing fits, not even a need of
// zero. Given to unblockFitting as the resources that were free before, it says that
// the worker took no tasks.
var noCapacity = machine.Resources{CPUMilli: -1, MemoryMiB: -1, Accelerators: -1}

// maxTree is a segment tree over slots, each of which holds the resources of one
// worker. Every inner entry holds the maximum of its children per dimension, so the
// next slot that fits a need is found without visiting most subtrees that have no
// such slot.
type maxTree struct {
	size    int                 // slots, a power of two
	entries []machine.Resources // the root is 1, the children of i are 2i and 2i+1, slot k is size+k
	visits  *int64              // is increased for each entry visited
}

func newMaxTree(visits *int64) *maxTree {
	t := &maxTree{visits: visits}
	t.grow(8)
	return t
}

// grow gives t the number of slots size, a power of two.
func (t *maxTree) grow(size int) {
	old, oldSize := t.entries, t.size
	t.size = size
	t.entries = make([]machine.Resources, 2*size)
	for i := range t.entries {
		t.entries[i] = noCapacity
	}
	for i := range oldSize {
		t.entries[size+i] = old[oldSize+i]
	}
	for i := size - 1; i >= 1; i-- {
		t.entries[i] = maxResources(t.entries[2*i], t.entries[2*i+1])
	}
}

// set stores the resources of a slot. The tree grows if needed.
func (t *maxTree) set(slot int, free machine.Resources) {
	for slot >= t.size {
		t.grow(2 * t.size)
	}
	i := t.size + slot
	if t.entries[i] == free {
		return
	}
	t.entries[i] = free
	for i /= 2; i >= 1; i /= 2 {
		*t.visits++
		larger := maxResources(t.entries[2*i], t.entries[2*i+1])
		if t.entries[i] == larger {
			return
		}
		t.entries[i] = larger
	}
}

// next returns the first slot at or after from into which need fits, or -1.
func (t *maxTree) next(from int, need machine.Resources) int {
	if from >= t.size {
		return -1
	}
	i := t.size + max(from, 0)
	for {
		*t.visits++
		if need.Fits(t.entries[i]) {
			if i >= t.size {
				return i - t.size
			}
			i *= 2
			continue
		}
		// Skip this subtree: go up while i is a right child, then to the sibling.
		for i&1 == 1 {
			i /= 2
			if i == 0 {
				return -1
			}
		}
		if i == 0 {
			return -1
		}
		i++
	}
}

// maxResources returns the larger value per dimension.
func maxResources(a, b machine.Resources) machine.Resources {
	return machine.Resources{
		CPUMilli:     max(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// minResources returns the smaller value per dimension.
func minResources(a, b machine.Resources) machine.Resources {
	return machine.Resources{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// countFits returns how many times need fits into free, at most 1<<30 times. A
// dimension in which need is zero counts only if free is negative there; then nothing
// fits.
func countFits(need, free machine.Resources) int {
	n := int64(1 << 30)
	for _, dimension := range [3][2]int64{
		{need.CPUMilli, free.CPUMilli},
		{need.MemoryMiB, free.MemoryMiB},
		{need.Accelerators, free.Accelerators},
	} {
		if dimension[0] > 0 {
			n = min(n, max(dimension[1], 0)/dimension[0])
		} else if dimension[1] < 0 {
			return 0
		}
	}
	return int(n)
}
