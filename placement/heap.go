package placement

// indexed is an element of a heapOf that stores its own position.
type indexed interface{ at() *int }

// heapOf is a binary heap whose elements can be moved when their order changes.
type heapOf[T indexed] struct {
	items []T
	less  func(a, b T) bool
	steps *int64
}

func (h *heapOf[T]) len() int { return len(h.items) }

func (h *heapOf[T]) peek() (v T, ok bool) {
	if len(h.items) == 0 {
		return v, false
	}
	return h.items[0], true
}

func (h *heapOf[T]) has(v T) bool {
	i := *v.at()
	return i >= 0 && i < len(h.items) && indexed(h.items[i]) == indexed(v)
}

func (h *heapOf[T]) push(v T) {
	h.items = append(h.items, v)
	*v.at() = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *heapOf[T]) remove(v T) {
	i, last := *v.at(), len(h.items)-1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*v.at() = -1
	if i < last && !h.down(i) {
		h.up(i)
	}
}

func (h *heapOf[T]) fix(v T) {
	if i := *v.at(); !h.down(i) {
		h.up(i)
	}
}

func (h *heapOf[T]) init() {
	for i := range h.items {
		*h.items[i].at() = i
	}
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *heapOf[T]) swap(i, j int) {
	*h.steps++
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].at() = i
	*h.items[j].at() = j
}

func (h *heapOf[T]) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *heapOf[T]) down(i int) bool {
	start := i
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			break
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			break
		}
		h.swap(i, c)
		i = c
	}
	return i > start
}
