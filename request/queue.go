package request

import (
	"container/heap"
	"container/list"
)

// fairQueue holds waiting calls. It serves customers in proportion to their
// weights (start-time fair queueing) and each customer in order of arrival. All
// operations but heaviest take at most logarithmic time in the number of customers;
// the pruning of departedTags when it is full is the exception. It is not safe for
// concurrent use.
type fairQueue struct {
	flows        map[string]*flow
	departedTags map[string]float64 // tags of customers without waiting calls, if above virtualTime
	byTag        flowHeap
	virtualTime  float64 // tag of the call that was served last
	length       int     // waiting calls of all customers
	totalWeight  int     // sum over the customers with waiting calls
}

// flow is the queue of one customer.
type flow struct {
	customer string
	weight   int
	calls    list.List // of *waiter
	tag      float64   // virtual start time of the first call
	index    int       // in flowHeap
}

// waiter is a call that waits for an executor.
type waiter struct {
	req      *request
	flow     *flow
	element  *list.Element   // in flow.calls; nil once the call has left the queue
	assigned chan assignment // buffered; receives one assignment, unless the call is withdrawn while queued
}

// assignment is what a waiter gets: an executor with a slot held for it, or an error.
type assignment struct {
	exec *executor
	err  error
}

// maxDepartedTags bounds departedTags, whose entries have no effect any more once
// virtualTime has passed them.
const maxDepartedTags = 4096

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[string]*flow), departedTags: make(map[string]float64)}
}

// push appends w to the queue of its customer.
func (q *fairQueue) push(w *waiter) {
	f := q.flows[w.req.customer]
	if f == nil {
		// The tag outlives the flow, so that a customer with one waiting call at a
		// time gets no more than its share.
		f = &flow{customer: w.req.customer, weight: max(1, w.req.weight),
			tag: max(q.virtualTime, q.departedTags[w.req.customer])}
		delete(q.departedTags, f.customer)
		q.flows[f.customer] = f
		q.totalWeight += f.weight
		heap.Push(&q.byTag, f)
	}
	w.flow = f
	w.element = f.calls.PushBack(w)
	q.length++
}

// pop removes and returns the next call in fair order, or nil if there is none.
func (q *fairQueue) pop() *waiter {
	if len(q.byTag) == 0 {
		return nil
	}
	f := q.byTag[0]
	w := f.calls.Front().Value.(*waiter)
	q.virtualTime = f.tag
	f.tag += 1 / float64(f.weight)
	heap.Fix(&q.byTag, 0)
	q.remove(w)
	return w
}

// remove removes w from the queue. It returns false if w is no longer in it.
func (q *fairQueue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	f := w.flow
	f.calls.Remove(w.element)
	w.element = nil
	q.length--
	if f.calls.Len() == 0 {
		heap.Remove(&q.byTag, f.index)
		delete(q.flows, f.customer)
		q.totalWeight -= f.weight
		q.rememberTag(f)
	}
	return true
}

// rememberTag keeps the tag of a flow that has become empty, if it is above
// virtualTime and departedTags has space for it.
func (q *fairQueue) rememberTag(f *flow) {
	if len(q.departedTags) >= maxDepartedTags {
		for customer, tag := range q.departedTags {
			if tag <= q.virtualTime {
				delete(q.departedTags, customer)
			}
		}
	}
	if f.tag > q.virtualTime && len(q.departedTags) < maxDepartedTags {
		q.departedTags[f.customer] = f.tag
	}
}

// heaviest returns the flow with the most waiting calls per weight, or nil.
func (q *fairQueue) heaviest() *flow {
	var heaviest *flow
	for _, f := range q.byTag {
		if heaviest == nil || f.callsPerWeight(0) > heaviest.callsPerWeight(0) {
			heaviest = f
		}
	}
	return heaviest
}

// callsPerWeight returns the waiting calls, with extra more, divided by the weight.
func (f *flow) callsPerWeight(extra int) float64 {
	return float64(f.calls.Len()+extra) / float64(f.weight)
}

// callsAhead estimates how many calls are served before a new one of the customer.
func (q *fairQueue) callsAhead(customer string, weight int) int {
	own, sum, weight := 0, q.totalWeight, max(1, weight)
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
