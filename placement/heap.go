package placement

// heapItem is an element of an indexedHeap that stores its own index in the heap, or
// -1 while it is in none. heapIndex returns the address of that index.
type heapItem interface{ heapIndex() *int }

// indexedHeap is a binary heap from which any element can be removed, and whose
// elements can be moved when their order changes. It adds its swaps to *swaps.
type indexedHeap[T heapItem] struct {
	items []T
	less  func(a, b T) bool
	swaps *int64
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// peek returns the first element, and false if the heap is empty.
func (h *indexedHeap[T]) peek() (v T, ok bool) {
	if len(h.items) == 0 {
		return v, false
	}
	return h.items[0], true
}

func (h *indexedHeap[T]) contains(v T) bool {
	i := *v.heapIndex()
	return i >= 0 && i < len(h.items) && heapItem(h.items[i]) == heapItem(v)
}

func (h *indexedHeap[T]) push(v T) {
	h.items = append(h.items, v)
	*v.heapIndex() = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove takes out v, which must be in the heap.
func (h *indexedHeap[T]) remove(v T) {
	i, last := *v.heapIndex(), len(h.items)-1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*v.heapIndex() = -1
	if i < last && !h.down(i) {
		h.up(i)
	}
}

// fix moves v, whose order has changed, to its place.
func (h *indexedHeap[T]) fix(v T) {
	if i := *v.heapIndex(); !h.down(i) {
		h.up(i)
	}
}

// init makes items, which may be in any order, a heap.
func (h *indexedHeap[T]) init() {
	for i := range h.items {
		*h.items[i].heapIndex() = i
	}
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	*h.swaps++
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}

// up moves the element at i towards the front as far as needed.
func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element at i towards the end as far as needed, and reports whether
// it moved.
func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
