package contract

import (
	"sync"
	"time"
)

// watchers delivers owner changes to functions, to each in order from a goroutine of its
// own. Claimer.mu guards the fields.
type watchers struct {
	nextID int
	byID   map[int]*watcher
}

// watcher queues owner changes, without a limit, for one function.
type watcher struct {
	mu      sync.Mutex
	queue   []OwnerChange
	queued  chan struct{} // of capacity 1; signals that queue is not empty
	stopped chan struct{} // closed when the watch ends
}

// send queues change for every watcher. The caller holds Claimer.mu.
func (w *watchers) send(change OwnerChange) {
	for _, registered := range w.byID {
		registered.push(change)
	}
}

func (w *watcher) push(change OwnerChange) {
	w.mu.Lock()
	w.queue = append(w.queue, change)
	w.mu.Unlock()
	select {
	case w.queued <- struct{}{}:
	default:
	}
}

// run calls fn for every queued change until the watch ends.
func (w *watcher) run(fn func(OwnerChange)) {
	for {
		select {
		case <-w.stopped:
			return
		case <-w.queued:
		}
		w.mu.Lock()
		queue := w.queue
		w.queue = nil
		w.mu.Unlock()
		for _, change := range queue {
			fn(change)
		}
	}
}

// Watch implements Ownership.
func (c *Claimer) Watch(fn func(OwnerChange)) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &watcher{queued: make(chan struct{}, 1), stopped: make(chan struct{})}
	now := time.Now()
	for _, k := range sortedKeys(c.readiness) {
		if s, mine := c.owned(k); mine && !now.Before(c.readiness[k].actFrom) {
			w.push(OwnerChange{Key: k, Epoch: s.Epoch, Owner: s.Owner, Held: true})
		}
	}
	if c.watchers.byID == nil {
		c.watchers.byID = make(map[int]*watcher)
	}
	id := c.watchers.nextID
	c.watchers.nextID++
	c.watchers.byID[id] = w
	go w.run(fn)
	var once sync.Once
	return func() {
		once.Do(func() {
			c.mu.Lock()
			delete(c.watchers.byID, id)
			c.mu.Unlock()
			close(w.stopped)
		})
	}
}
