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

// assumedRunTime is the mean run time that is assumed before the first answers.
const assumedRunTime = 20 * time.Millisecond

// group is the owner's side of one executor group: it holds the queue and is the
// only one that sends runs to the executors.
type group struct {
	key   contract.Key
	epoch contract.Epoch
	s     *Service

	mu             sync.Mutex
	executors      map[string]*executor
	queue          *fairQueue
	meanRunSeconds float64 // exponential moving average over the answers, in seconds
	closed         bool
	sequence       uint64 // of the latest load summary
}

func newGroup(s *Service, key contract.Key, e contract.Epoch) *group {
	return &group{key: key, epoch: e, s: s, executors: make(map[string]*executor), queue: newFairQueue(),
		meanRunSeconds: assumedRunTime.Seconds()}
}

// setHosts updates the executors from the entries of the group in the host list.
func (g *group) setHosts(hosts []upstream.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make(map[string]bool)
	for _, h := range hosts {
		if h.State == upstream.Gone {
			continue
		}
		seen[h.ID] = true
		x := g.executors[h.ID]
		if x == nil || x.host.Address != h.Address {
			if x != nil {
				x.removed = true
				x.client.CloseIdle()
			}
			x = newExecutor(h, g.s.cfg.ExecutorConns, int64(g.s.cfg.MaxAnswerBytes))
			g.executors[h.ID] = x
		}
		x.leaving = h.State == upstream.Leaving
	}
	for id, x := range g.executors {
		if !seen[id] {
			// Runs in flight go on; they no longer need the map entry.
			x.removed = true
			x.client.CloseIdle()
			delete(g.executors, id)
		}
	}
	g.assign()
}

// run queues r, sends it to an executor and waits for the answer. If ctx ends first,
// run returns, but the run on the executor is not cancelled, because the executor
// would go on anyway.
func (g *group) run(ctx context.Context, r *request) reply {
	arrived := time.Now()
	w := &waiter{req: r, assigned: make(chan assignment, 1)}
	if err := g.enqueue(w); err != nil {
		return failed(err)
	}
	timer := time.NewTimer(time.Until(r.deadline))
	defer timer.Stop()
	var assigned assignment
	select {
	case assigned = <-w.assigned:
	case <-ctx.Done():
		g.withdraw(w)
		return failed(errkind.New(errkind.Cancelled, "cancelled_waiting", "the caller went away while the call was queued"))
	case <-timer.C:
		g.withdraw(w)
		return failed(errkind.New(errkind.DeadlineUnmet, "deadline_waiting", "still queued at the deadline"))
	}
	if assigned.err != nil {
		return failed(assigned.err)
	}
	waited := time.Since(arrived)
	result := make(chan reply, 1)
	if err := g.startRun(assigned.exec, r, waited, result); err != nil {
		return failed(err)
	}
	select {
	case rep := <-result:
		return rep
	case <-ctx.Done():
		return failed(errkind.New(errkind.Cancelled, "cancelled_running", "the caller went away while the call ran"))
	case <-timer.C:
		return failed(errkind.New(errkind.OutcomeUnknown, "deadline_running", "no answer before the deadline"))
	}
}

// enqueue adds w to the queue, or returns the error with which it is refused.
func (g *group) enqueue(w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errkind.New(errkind.NotOwner, "group_released", "this daemon no longer owns %s", g.key)
	}
	slots, usable := g.usableSlots()
	if usable == 0 {
		return errkind.New(errkind.NotReady, "no_executor", "%s has no usable executor", g.key)
	}
	r := w.req
	ahead := g.queue.callsAhead(r.customer, r.weight)
	wait := time.Duration(float64(ahead) * g.meanRunSeconds / float64(slots) * float64(time.Second))
	if g.queue.length > 0 && wait > time.Until(r.deadline) {
		return errkind.New(errkind.DeadlineUnmet, "wait_exceeds_deadline", "the expected wait of %s ends after the deadline", wait)
	}
	if g.queue.length >= slots*g.s.cfg.QueuePerSlot {
		if err := g.refuseHeaviest(r); err != nil {
			return err
		}
	}
	g.queue.push(w)
	g.assign()
	return nil
}

// refuseHeaviest refuses the newest call of the customer that uses most of the queue
// by weight, or returns an error that refuses r if its customer would be that one. g.mu
// must be held.
func (g *group) refuseHeaviest(r *request) error {
	heaviest := g.queue.heaviest()
	own := 1 / float64(max(1, r.weight))
	if f := g.queue.flows[r.customer]; f != nil {
		own = f.callsPerWeight(1)
	}
	if heaviest == nil || own >= heaviest.callsPerWeight(0) {
		return errkind.New(errkind.Overloaded, "queue_full", "%d calls wait for %s", g.queue.length, g.key)
	}
	victim := heaviest.calls.Back().Value.(*waiter)
	g.queue.remove(victim)
	victim.assigned <- assignment{err: errkind.New(errkind.Overloaded, "queue_share",
		"%d calls wait for %s, and this customer has the most for its weight", g.queue.length, g.key)}
	return nil
}

// withdraw removes w from the queue, or gives back the slot that it already got.
func (g *group) withdraw(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(w) {
		return
	}
	if assigned := <-w.assigned; assigned.exec != nil {
		assigned.exec.held--
		g.assign()
	}
}

// usableSlots returns the slots of the usable executors and the number of these
// executors. g.mu must be held.
func (g *group) usableSlots() (slots, usable int) {
	for _, x := range g.executors {
		if x.usable() {
			slots += x.slots
			usable++
		}
	}
	return slots, usable
}

// assign gives free slots to waiting calls. g.mu must be held.
func (g *group) assign() {
	for g.queue.length > 0 {
		x := g.pickExecutor()
		if x == nil {
			return
		}
		w := g.queue.pop()
		x.held++ // until startRun turns it into a run
		w.assigned <- assignment{exec: x}
	}
}

// pickExecutor returns an executor with the largest share of free slots, a random
// one among equals, or nil if no slot is free. g.mu must be held.
func (g *group) pickExecutor() *executor {
	var best *executor
	var share float64
	ties := 0
	for _, x := range g.executors {
		f := x.freeShare()
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

// close refuses the waiting calls and all later ones; runs in flight go on.
func (g *group) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for w := g.queue.pop(); w != nil; w = g.queue.pop() {
		w.assigned <- assignment{err: errkind.New(errkind.NotOwner, "group_released", "this daemon no longer owns %s", g.key)}
	}
	for _, x := range g.executors {
		x.client.CloseIdle()
	}
}

// loadSummary returns the load of the group for the entries, with the next sequence
// number.
func (g *group) loadSummary() *rpc.GroupLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	l := &rpc.GroupLoad{Key: string(g.key), Epoch: uint64(g.epoch), Sequence: g.sequence,
		Queued: int32(g.queue.length), ServiceUs: int32(g.meanRunSeconds * 1e6)}
	for _, x := range g.executors {
		if x.usable() {
			l.Slots += int32(x.slots)
			l.Busy += int32(min(x.slots, x.busySlots()+x.held))
		}
	}
	return l
}
