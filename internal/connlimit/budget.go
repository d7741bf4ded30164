// Package connlimit bounds what the clients of a listener may take of a host: open connections, and memory for requests
// that are not served yet. It makes room for new clients by closing connections that have made no progress for longest.
package connlimit

import (
	"sync"
	"time"
)

const (
	// SmallRequestBytes is the size up to which a request is admitted when larger ones are not. The jobs of ordinary
	// callers have up to some thousand bytes.
	SmallRequestBytes = 16 << 10
	// largePercent is the part of a Budget, in percent, that requests above SmallRequestBytes may hold together.
	largePercent = 75
	// stallTime is after how long without a byte a sender loses its memory to others that need it. It is longer than a
	// round trip between regions and than a lost packet takes to be sent again.
	stallTime = 300 * time.Millisecond
	// slowAge and slowRate, in bytes per second, say the same of a sender that sends little: after slowAge its average
	// rate must not be below slowRate. Thirty callers that share a link of 2 Mbit/s reach it.
	slowAge, slowRate = time.Second, 8 << 10
)

// Budget bounds the memory of requests of several connections together.
type Budget struct {
	limit, largeLimit int64 // bytes
	onChange          func(used int64)

	mu              sync.Mutex
	used, usedLarge int64 // bytes
	holders         map[*Conn]struct{}
}

// NewBudget returns a Budget of limit bytes. onChange, which must not block, is called with the bytes in use.
func NewBudget(limit int64, onChange func(used int64)) *Budget {
	return &Budget{limit: limit, largeLimit: limit * largePercent / 100, onChange: onChange, holders: make(map[*Conn]struct{})}
}

// reserve raises what c holds to total bytes and reports whether that is within the budget. If it is not, it first takes
// the memory of connections that do not send. A request is always admitted if it holds the memory alone, so that one
// request within the limits is served on every host.
func (b *Budget) reserve(c *Conn, total int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if total <= c.reserved {
		return true
	}
	for !b.fits(c, total) {
		victim := b.slowest(c, total > SmallRequestBytes)
		if victim == nil {
			return false
		}
		b.set(victim, 0)
		victim.drop(DroppedStalled)
	}
	b.set(c, total)
	return true
}

// lower gives back what c holds above total bytes.
func (b *Budget) lower(c *Conn, total int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if total < c.reserved {
		b.set(c, total)
	}
}

// set makes c hold total bytes. b.mu must be held.
func (b *Budget) set(c *Conn, total int64) {
	b.used += total - c.reserved
	if c.reserved > SmallRequestBytes {
		b.usedLarge -= c.reserved
	}
	if total > SmallRequestBytes {
		b.usedLarge += total
	}
	if c.reserved = total; total > 0 {
		b.holders[c] = struct{}{}
	} else {
		delete(b.holders, c)
	}
	b.onChange(b.used)
}

// fits reports whether c may hold total bytes. b.mu must be held.
func (b *Budget) fits(c *Conn, total int64) bool {
	others, othersLarge := b.used-c.reserved, b.usedLarge
	if c.reserved > SmallRequestBytes {
		othersLarge -= c.reserved
	}
	if total <= SmallRequestBytes {
		return others+total <= b.limit
	}
	return othersLarge == 0 || othersLarge+total <= b.largeLimit && others+total <= b.limit
}

// slowest returns the connection other than c that has not sent for longest, of those that may lose their memory, or
// nil. If large is set, only connections with large requests count. b.mu must be held.
func (b *Budget) slowest(c *Conn, large bool) *Conn {
	var victim *Conn
	now := time.Now()
	for h := range b.holders {
		if h == c || large && h.reserved <= SmallRequestBytes || !h.stalled(now) {
			continue
		}
		if victim == nil || h.lastProgress.Load() < victim.lastProgress.Load() {
			victim = h
		}
	}
	return victim
}
