package cell

import (
	"sync"
	"time"
)

// openChanges counts the changes of jobs that a leader is storing. The zero value has none and lets
// new ones in.
type openChanges struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{} // closed when closed is set and count is 0; nil before close
}

// enter adds a change, and reports false if no new ones are let in.
func (c *openChanges) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.count++
	return true
}

// leave removes a change that enter has added.
func (c *openChanges) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.closed && c.count == 0 {
		close(c.drained)
	}
}

// close lets no new changes in, and returns a channel that is closed when the open ones have left.
func (c *openChanges) close() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.drained
	}
	c.closed, c.drained = true, make(chan struct{})
	if c.count == 0 {
		close(c.drained)
	}
	return c.drained
}

// isClosed reports whether no new changes are let in.
func (c *openChanges) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// finishChanges refuses new changes of jobs and sends no more orders, and waits up to limit until the
// open changes are stored or refused.
func (l *leadership) finishChanges(limit time.Duration) {
	began := l.clock()
	drained := l.changes.close()
	notify(l.flushSignal)
	finished := true
	select {
	case <-drained:
	case <-time.After(limit):
		finished = false
	}
	l.logger.Info().Str("event", "changes_finished").Bool("all", finished).Int64("took_ms", (l.clock() - began).Milliseconds()).Send()
}
