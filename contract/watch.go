package contract

import (
	"sync"
	"time"
)

// watchers delivers changes, each watcher in order from a goroutine of its own.
// Claimer.mu guards the set.
type watchers struct {
	next int
	set  map[int]*watcher
}

type watcher struct {
	mu    sync.Mutex
	queue []OwnerChange
	wake  chan struct{}
	ended chan struct{}
}

func (w *watchers) send(ch OwnerChange) {
	for _, one := range w.set {
		one.push(ch)
	}
}

func (w *watcher) push(ch OwnerChange) {
	w.mu.Lock()
	w.queue = append(w.queue, ch)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watcher) run(fn func(OwnerChange)) {
	for {
		select {
		case <-w.ended:
			return
		case <-w.wake:
		}
		w.mu.Lock()
		queue := w.queue
		w.queue = nil
		w.mu.Unlock()
		for _, ch := range queue {
			fn(ch)
		}
	}
}

// Watch implements Ownership.
func (c *Claimer) Watch(fn func(OwnerChange)) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &watcher{wake: make(chan struct{}, 1), ended: make(chan struct{})}
	now := time.Now()
	for _, k := range sortedKeys(c.readyAt) {
		if s, mine := c.owned(k); mine && !now.Before(c.readyAt[k].at) {
			w.push(OwnerChange{Key: k, Epoch: s.Epoch, Owner: s.Owner, Held: true})
		}
	}
	if c.watch.set == nil {
		c.watch.set = make(map[int]*watcher)
	}
	id := c.watch.next
	c.watch.next++
	c.watch.set[id] = w
	go w.run(fn)
	var once sync.Once
	return func() {
		once.Do(func() {
			c.mu.Lock()
			delete(c.watch.set, id)
			c.mu.Unlock()
			close(w.ended)
		})
	}
}
