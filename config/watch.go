package config

import (
	"sync"
)

// watcher delivers states to one function, in order, from its own goroutine.
type watcher struct {
	mu      sync.Mutex
	pending []*State
	wake    chan struct{}
	done    chan struct{}
	stop    sync.Once
}

// Watch implements View. It starts with the state in force if the store is ready.
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

func (w *watcher) push(st *State) {
	w.mu.Lock()
	w.pending = append(w.pending, st)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watcher) run(fn func(*State)) {
	for {
		select {
		case <-w.done:
			return
		case <-w.wake:
		}
		w.mu.Lock()
		batch := w.pending
		w.pending = nil
		w.mu.Unlock()
		for _, st := range batch {
			select {
			case <-w.done:
				return
			default:
				fn(st)
			}
		}
	}
}

// waiter waits until the fate of one record is certain.
type waiter struct {
	base Version
	fate chan fate
}

// fate is what became of a record.
type fate struct {
	accepted bool
	known    bool    // false: the history no longer reaches back to the record's base
	version  Version // if accepted
}

// await registers interest in the change id that was put on base.
func (s *Store) await(id string, base Version) <-chan fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{base, make(chan fate, 1)}
	s.waiters[id] = w
	s.settleLocked("")
	return w.fate
}

func (s *Store) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, id)
}

// settleLocked answers the waiters whose fate is certain. A record is lost for
// good once its base is no longer current, even if it arrives later. refused is
// the id of a record that was folded without effect; it may be empty.
func (s *Store) settleLocked(refused string) {
	for id, w := range s.waiters {
		if e, ok := s.im.byID(id); ok {
			w.settle(fate{accepted: true, known: true, version: e.Version})
		} else if s.im.State.Version != w.base {
			w.settle(fate{known: s.im.Floor <= w.base})
		} else if id == refused {
			w.settle(fate{known: true})
		}
	}
}

func (w *waiter) settle(f fate) {
	select {
	case w.fate <- f:
	default:
	}
}
