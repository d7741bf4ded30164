package request

import (
	"container/heap"
	"container/list"
)

// fairQueue holds waiting calls. It serves customers in proportion to their
// weights (start-time fair queueing) and each customer in order of arrival.
// Every operation but heaviest is at most logarithmic in the number of customers.
type fairQueue struct {
	flows   map[string]*flow
	past    map[string]float64 // tags of customers that left, if above virtual
	order   flowHeap
	virtual float64
	length  int
	weights int // sum over the waiting customers
}

// flow is the queue of one customer.
type flow struct {
	customer string
	weight   int
	calls    list.List // of *waiter
	tag      float64   // virtual start time of the first call
	index    int
}

// waiter is a call that waits for an executor.
type waiter struct {
	req     *request
	flow    *flow
	element *list.Element
	ready   chan grant
}

// grant is what a waiter gets: an executor with a reserved slot, or an error.
type grant struct {
	exec *executor
	err  error
}

// maxPast bounds the remembered tags; older ones are dropped once virtual has passed them.
const maxPast = 4096

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[string]*flow), past: make(map[string]float64)}
}

func (q *fairQueue) push(w *waiter) {
	f := q.flows[w.req.customer]
	if f == nil {
		// The tag outlives the flow, so that a customer with one waiting call at a
		// time gets no more than its share.
		f = &flow{customer: w.req.customer, weight: max(1, w.req.weight),
			tag: max(q.virtual, q.past[w.req.customer])}
		delete(q.past, f.customer)
		q.flows[f.customer] = f
		q.weights += f.weight
		heap.Push(&q.order, f)
	}
	w.flow = f
	w.element = f.calls.PushBack(w)
	q.length++
}

// pop returns the next call in fair order, or nil.
func (q *fairQueue) pop() *waiter {
	if len(q.order) == 0 {
		return nil
	}
	f := q.order[0]
	w := f.calls.Front().Value.(*waiter)
	q.virtual = f.tag
	f.tag += 1 / float64(f.weight)
	heap.Fix(&q.order, 0)
	q.remove(w)
	return w
}

// remove takes w out; false if it is no longer in the queue.
func (q *fairQueue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	f := w.flow
	f.calls.Remove(w.element)
	w.element = nil
	q.length--
	if f.calls.Len() == 0 {
		heap.Remove(&q.order, f.index)
		delete(q.flows, f.customer)
		q.weights -= f.weight
		q.remember(f)
	}
	return true
}

func (q *fairQueue) remember(f *flow) {
	if len(q.past) >= maxPast {
		for customer, tag := range q.past {
			if tag <= q.virtual {
				delete(q.past, customer)
			}
		}
	}
	if f.tag > q.virtual && len(q.past) < maxPast {
		q.past[f.customer] = f.tag
	}
}

// heaviest returns the customer with the most waiting calls per weight.
func (q *fairQueue) heaviest() *flow {
	var worst *flow
	for _, f := range q.order {
		if worst == nil || f.load(0) > worst.load(0) {
			worst = f
		}
	}
	return worst
}

func (f *flow) load(more int) float64 { return float64(f.calls.Len()+more) / float64(f.weight) }

// ahead estimates how many calls are served before a new one of the customer.
func (q *fairQueue) ahead(customer string, weight int) int {
	own, sum, weight := 0, q.weights, max(1, weight)
	if f := q.flows[customer]; f != nil {
		own = f.calls.Len()
	} else {
		sum += weight
	}
	return min(q.length, (own+1)*sum/weight-1)
}

// flowHeap orders flows by tag.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}
