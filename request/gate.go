package request

import (
	"context"
	"sync"
)

// gate counts open calls and refuses new ones once draining.
type gate struct {
	mu       sync.Mutex
	open     int
	draining bool
	empty    chan struct{} // closed when draining and no call is open
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter opens a call; false means draining.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.open++
	return true
}

// hold opens a part of a call that was admitted before.
func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	if g.draining && g.open == 0 {
		g.closeEmpty()
	}
}

func (g *gate) closeEmpty() {
	select {
	case <-g.empty:
	default:
		close(g.empty)
	}
}

// drain refuses new calls and waits for the open ones or for ctx.
func (g *gate) drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	if g.open == 0 {
		g.closeEmpty()
	}
	g.mu.Unlock()
	select {
	case <-g.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gate) state() (open int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.draining
}
