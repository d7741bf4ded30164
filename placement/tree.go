package placement

import "github.com/sassafraslb/sassafraslb/machine"

// none marks a slot that fits nothing.
var none = machine.Resources{CPUMilli: -1, MemoryMiB: -1, Accelerators: -1}

// maxTree is a binary tree over slots in which every inner entry holds the
// maximum of its children per dimension. It finds the next slot that fits a need
// without visiting subtrees that hold none.
type maxTree struct {
	size  int // slots, a power of two
	nodes []machine.Resources
	steps *int64
}

func newMaxTree(steps *int64) *maxTree {
	t := &maxTree{steps: steps}
	t.grow(8)
	return t
}

func (t *maxTree) grow(size int) {
	old, oldSize := t.nodes, t.size
	t.size = size
	t.nodes = make([]machine.Resources, 2*size)
	for i := range t.nodes {
		t.nodes[i] = none
	}
	for i := range oldSize {
		t.nodes[size+i] = old[oldSize+i]
	}
	for i := size - 1; i >= 1; i-- {
		t.nodes[i] = maxOf(t.nodes[2*i], t.nodes[2*i+1])
	}
}

func (t *maxTree) set(slot int, v machine.Resources) {
	for slot >= t.size {
		t.grow(2 * t.size)
	}
	i := t.size + slot
	if t.nodes[i] == v {
		return
	}
	t.nodes[i] = v
	for i /= 2; i >= 1; i /= 2 {
		*t.steps++
		m := maxOf(t.nodes[2*i], t.nodes[2*i+1])
		if t.nodes[i] == m {
			return
		}
		t.nodes[i] = m
	}
}

// next returns the first slot at or after from that fits need, or -1.
func (t *maxTree) next(from int, need machine.Resources) int {
	if from >= t.size {
		return -1
	}
	i := t.size + max(from, 0)
	for {
		*t.steps++
		if need.Fits(t.nodes[i]) {
			if i >= t.size {
				return i - t.size
			}
			i *= 2
			continue
		}
		// Leave this subtree: up while it is a right child, then to the sibling.
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

func maxOf(a, b machine.Resources) machine.Resources {
	return machine.Resources{
		CPUMilli:     max(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func minOf(a, b machine.Resources) machine.Resources {
	return machine.Resources{
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// times returns how often need fits into free.
func times(need, free machine.Resources) int {
	n := int64(1 << 30)
	for _, d := range [3][2]int64{
		{need.CPUMilli, free.CPUMilli},
		{need.MemoryMiB, free.MemoryMiB},
		{need.Accelerators, free.Accelerators},
	} {
		if d[0] > 0 {
			n = min(n, max(d[1], 0)/d[0])
		} else if d[1] < 0 {
			return 0
		}
	}
	return int(n)
}
