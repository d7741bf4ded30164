package request

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// initialRunTime is assumed until the first answers give a mean.
const initialRunTime = 20 * time.Millisecond

// group is the owner's side of one group of executors: it holds the queue and is
// the only one that opens run connections to the executors.
type group struct {
	key   contract.Key
	epoch contract.Epoch
	s     *Service

	mu       sync.Mutex
	execs    map[string]*executor
	queue    *fairQueue
	runTime  float64 // moving mean in seconds
	closed   bool
	sequence uint64
}

func newGroup(s *Service, key contract.Key, e contract.Epoch) *group {
	return &group{key: key, epoch: e, s: s, execs: make(map[string]*executor), queue: newFairQueue(),
		runTime: initialRunTime.Seconds()}
}

// setHosts takes in the executors of the group in the host list.
func (g *group) setHosts(hosts []upstream.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]bool)
	for _, h := range hosts {
		if h.State == upstream.Gone {
			continue
		}
		seen[h.ID] = true
		x := g.execs[h.ID]
		if x == nil || x.host.Address != h.Address {
			if x != nil {
				x.removed = true
				x.client.CloseIdle()
			}
			x = newExecutor(h, g.s.cfg.ExecutorConns, int64(g.s.cfg.MaxAnswerBytes))
			g.execs[h.ID] = x
		}
		x.leaving = h.State == upstream.Leaving
	}
	for id, x := range g.execs {
		if !seen[id] {
			// Calls in flight go on; they no longer need the entry.
			x.removed = true
			x.client.CloseIdle()
			delete(g.execs, id)
		}
	}
	g.assign()
}

// run queues r, sends it to an executor and waits for the answer. The run itself
// does not end with ctx, because the executor would go on anyway.
func (g *group) run(ctx context.Context, r *request) reply {
	arrived := time.Now()
	w := &waiter{req: r, ready: make(chan grant, 1)}
	if err := g.enqueue(w); err != nil {
		return failed(err)
	}
	timer := time.NewTimer(time.Until(r.deadline))
	defer timer.Stop()
	var got grant
	select {
	case got = <-w.ready:
	case <-ctx.Done():
		g.leave(w)
		return failed(errkind.New(errkind.Cancelled, "cancelled_waiting", "caller is gone"))
	case <-timer.C:
		g.leave(w)
		return failed(errkind.New(errkind.DeadlineUnmet, "deadline_waiting", "still queued at the deadline"))
	}
	if got.err != nil {
		return failed(got.err)
	}
	waited := time.Since(arrived)
	result := make(chan reply, 1)
	if err := g.start(got.exec, r, waited, result); err != nil {
		return failed(err)
	}
	select {
	case rep := <-result:
		return rep
	case <-ctx.Done():
		return failed(errkind.New(errkind.Cancelled, "cancelled_running", "caller is gone"))
	case <-timer.C:
		return failed(errkind.New(errkind.OutcomeUnknown, "deadline_running", "no answer before the deadline"))
	}
}

// enqueue admits w or refuses it at once.
func (g *group) enqueue(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errkind.New(errkind.NotOwner, "group_released", "%s", g.key)
	}
	slots, usable := g.slots()
	if usable == 0 {
		return errkind.New(errkind.NotReady, "no_executor", "%s has no usable executor", g.key)
	}
	r := w.req
	ahead := g.queue.ahead(r.customer, r.weight)
	wait := time.Duration(float64(ahead) * g.runTime / float64(slots) * float64(time.Second))
	if g.queue.length > 0 && wait > time.Until(r.deadline) {
		return errkind.New(errkind.DeadlineUnmet, "wait_exceeds_deadline", "expected wait %s", wait)
	}
	if g.queue.length >= slots*g.s.cfg.QueuePerSlot {
		if err := g.makeRoom(r); err != nil {
			return err
		}
	}
	g.queue.push(w)
	g.assign()
	return nil
}

// makeRoom refuses the newest call of the customer that uses most of the queue,
// or r itself if its customer would be that one.
func (g *group) makeRoom(r *request) error {
	worst := g.queue.heaviest()
	own := 1 / float64(max(1, r.weight))
	if f := g.queue.flows[r.customer]; f != nil {
		own = f.load(1)
	}
	if worst == nil || own >= worst.load(0) {
		return errkind.New(errkind.Overloaded, "queue_full", "%d calls wait for %s", g.queue.length, g.key)
	}
	victim := worst.calls.Back().Value.(*waiter)
	g.queue.remove(victim)
	victim.ready <- grant{err: errkind.New(errkind.Overloaded, "queue_share", "%d calls wait for %s", g.queue.length, g.key)}
	return nil
}

// leave withdraws w; a slot that it already got is given back.
func (g *group) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(w) {
		return
	}
	if got := <-w.ready; got.exec != nil {
		got.exec.held--
		g.assign()
	}
}

// slots returns the usable slots and the number of usable executors.
func (g *group) slots() (slots, usable int) {
	for _, x := range g.execs {
		if x.usable() {
			slots += x.slots
			usable++
		}
	}
	return slots, usable
}

// assign hands free slots to waiting calls.
func (g *group) assign() {
	for g.queue.length > 0 {
		x := g.pick()
		if x == nil {
			return
		}
		w := g.queue.pop()
		x.held++ // until start turns it into a call
		w.ready <- grant{exec: x}
	}
}

// pick returns an executor with the largest share of free slots, or nil.
func (g *group) pick() *executor {
	var best *executor
	var share float64
	ties := 0
	for _, x := range g.execs {
		f := x.free()
		if f == 0 {
			continue
		}
		switch {
		case best == nil || f > share:
			best, share, ties = x, f, 1
		case f == share:
			ties++
			if g.s.rng.intN(ties) == 0 {
				best = x
			}
		}
	}
	return best
}

// close refuses the waiting calls; calls in flight go on.
func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		w.ready <- grant{err: errkind.New(errkind.NotOwner, "group_released", "%s", g.key)}
	}
	for _, x := range g.execs {
		x.client.CloseIdle()
	}
}

// load returns a summary for the entries.
func (g *group) load() *rpc.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	l := &rpc.GroupLoad{Key: string(g.key), Epoch: uint64(g.epoch), Sequence: g.sequence,
		Queued: int32(g.queue.length), ServiceUs: int32(g.runTime * 1e6)}
	for _, x := range g.execs {
		if x.usable() {
			l.Slots += int32(x.slots)
			l.Busy += int32(min(x.slots, x.inUse()+x.held))
		}
	}
	return l
}
