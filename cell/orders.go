package cell

import (
	"context"
	"sync"

	"github.com/samber/lo"
)

const (
	// maxOrdersInFlight bounds the orders that wait for an answer of their machines. An order needs a
	// connection and some 50 kB of memory; the machines answer in milliseconds.
	maxOrdersInFlight = 512
	// maxOrdersPerMachine bounds the same for one machine and kind of order, so that those to machines that do not
	// answer leave room for others, and so that few connections are needed: a machine takes a number of them from all
	// daemons together.
	maxOrdersPerMachine = 3
)

// order is an order to a machine that waits to be sent.
type order struct {
	key  orderKey
	send func()
	skip func() // called instead of send if the machine does not answer other orders, may be nil
}

// orderKey identifies an order to a machine. An order that is given again while it waits is sent once.
type orderKey struct {
	machine, task string
	run           int64
}

// orderQueue sends orders to machines: those to one machine in their order, as many at a time as the bounds
// allow, and in turn to all machines that have some. So the connections and the memory that orders need do
// not depend on how many are given at the same time.
type orderQueue struct {
	group *sync.WaitGroup // of the goroutines that send

	mu       sync.Mutex
	waiting  map[string][]order // by machine
	known    map[orderKey]bool  // of the waiting orders
	inFlight map[string]int     // by machine
	turns    []string           // machines with waiting orders, the next first
	total    int                // in flight
}

func newOrderQueue(group *sync.WaitGroup) *orderQueue {
	return &orderQueue{group: group, waiting: make(map[string][]order), known: make(map[orderKey]bool), inFlight: make(map[string]int)}
}

// add queues an order, unless the same one waits already. Orders that wait when ctx ends are dropped.
func (q *orderQueue) add(ctx context.Context, o order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.known[o.key] {
		return
	}
	q.known[o.key] = true
	machine := o.key.machine
	if len(q.waiting[machine]) == 0 {
		q.turns = append(q.turns, machine)
	}
	q.waiting[machine] = append(q.waiting[machine], o)
	q.startSending(ctx)
}

// skipWaiting skips the waiting orders to a machine that does not answer.
func (q *orderQueue) skipWaiting(machine string) {
	q.mu.Lock()
	orders := q.waiting[machine]
	delete(q.waiting, machine)
	q.turns = lo.Without(q.turns, machine)
	for _, o := range orders {
		delete(q.known, o.key)
	}
	q.mu.Unlock()
	for _, o := range orders {
		if o.skip != nil {
			o.skip()
		}
	}
}

// startSending starts as many waiting orders as the bounds allow. q.mu must be held.
func (q *orderQueue) startSending(ctx context.Context) {
	for busy := 0; q.total < maxOrdersInFlight && busy < len(q.turns); {
		machine := q.turns[0]
		q.turns = q.turns[1:]
		if q.inFlight[machine] >= maxOrdersPerMachine {
			q.turns = append(q.turns, machine)
			busy++
			continue
		}
		busy = 0
		orders := q.waiting[machine]
		o := orders[0]
		delete(q.known, o.key)
		if len(orders) > 1 {
			q.waiting[machine] = orders[1:]
			q.turns = append(q.turns, machine)
		} else {
			delete(q.waiting, machine)
		}
		q.inFlight[machine]++
		q.total++
		q.group.Go(func() { q.send(ctx, o) })
	}
}

// send sends one order and then starts others.
func (q *orderQueue) send(ctx context.Context, o order) {
	if ctx.Err() == nil {
		o.send()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.total--
	if q.inFlight[o.key.machine]--; q.inFlight[o.key.machine] == 0 {
		delete(q.inFlight, o.key.machine)
	}
	if ctx.Err() == nil {
		q.startSending(ctx)
	}
}
