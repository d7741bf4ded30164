package config

import (
	"sync"
)

// watcher delivers states to one function, in order, from its own goroutine.
type watcher struct {
	mu      sync.Mutex
	pending []*State      // not delivered yet, oldest first
	wake    chan struct{} // capacity 1; signals that pending is not empty
	done    chan struct{} // closed when the watch is stopped
	stop    sync.Once
}

// Watch implements View. The first call of fn gets the state in force, if the store is
// ready. A call of fn may still be in progress when stop returns.
func (s *Store) Watch(fn func(*State)) (stop func()) {
	w := &watcher{wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.mu.Lock()
	s.watchers[w] = struct{}{}
	if s.ready {
		w.push(s.current)
	}
	s.mu.Unlock()
	go w.run(fn)
	return func() {
		s.mu.Lock()
		delete(s.watchers, w)
		s.mu.Unlock()
		w.stop.Do(func() { close(w.done) })
	}
}

// push queues a state. It does not wait for fn.
func (w *watcher) push(st *State) {
	w.mu.Lock()
	w.pending = append(w.pending, st)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run delivers queued states until the watch is stopped.
func (w *watcher) run(fn func(*State)) {
	for {
		select {
		case <-w.done:
			return
		case <-w.wake:
		}
		w.mu.Lock()
		states := w.pending
		w.pending = nil
		w.mu.Unlock()
		for _, st := range states {
			select {
			case <-w.done:
				return
			default:
				fn(st)
			}
		}
	}
}

// waiter waits for the outcome of one record.
type waiter struct {
	base    Version // of the record
	outcome chan recordOutcome
}

// recordOutcome tells whether a record was accepted.
type recordOutcome struct {
	accepted bool
	known    bool    // false if the history no longer reaches back to the record's base
	version  Version // zero unless accepted
}

// addWaiter returns a channel that gets the outcome of the record on base whose first
// change has the given id. The caller must call removeWaiter in the end.
func (s *Store) addWaiter(id string, base Version) <-chan recordOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{base, make(chan recordOutcome, 1)}
	s.waiters[id] = w
	s.resolveWaitersLocked("")
	return w.outcome
}

func (s *Store) removeWaiter(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// resolveWaitersLocked answers the waiters whose outcome is certain. A record that is
// not in the history can no longer be accepted once its base is not the current version,
// even if it arrives later. refusedID is the id of the first change of a record that
// was just refused; it may be empty.
func (s *Store) resolveWaitersLocked(refusedID string) {
	for id, w := range s.waiters {
		if e, ok := s.image.entryByID(id); ok {
			w.resolve(recordOutcome{accepted: true, known: true, version: e.Version})
		} else if s.image.State.Version != w.base {
			w.resolve(recordOutcome{known: s.image.Floor <= w.base})
		} else if id == refusedID {
			w.resolve(recordOutcome{known: true})
		}
	}
}

// resolve delivers the outcome. Only the first call has an effect.
func (w *waiter) resolve(outcome recordOutcome) {
	select {
	case w.outcome <- outcome:
	default:
	}
}
