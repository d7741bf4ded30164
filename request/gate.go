package request

import (
	"context"
	"sync"
)

// drainGate counts open calls and refuses new ones once draining has begun.
type drainGate struct {
	mu       sync.Mutex
	open     int
	draining bool
	drained  chan struct{} // closed when draining and no call is open
}

func newDrainGate() *drainGate { return &drainGate{drained: make(chan struct{})} }

// enter counts a new call, unless the gate is draining; then it returns false.
// Each successful enter and each forceEnter needs one leave.
func (g *drainGate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.open++
	return true
}

// forceEnter counts background work of an admitted call, even while draining.
func (g *drainGate) forceEnter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
}

// leave ends what enter or forceEnter began.
func (g *drainGate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	if g.draining && g.open == 0 {
		g.closeDrained()
	}
}

// closeDrained closes g.drained, unless it is closed already. g.mu must be held.
func (g *drainGate) closeDrained() {
	select {
	case <-g.drained:
	default:
		close(g.drained)
	}
}

// drain refuses new calls and waits until the open ones have ended or ctx is done.
func (g *drainGate) drain(ctx context.Context) error {
	g.mu.Lock()
	g.draining = true
	if g.open == 0 {
		g.closeDrained()
	}
	g.mu.Unlock()
	select {
	case <-g.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// state returns the number of open calls and whether the gate is draining.
func (g *drainGate) state() (open int, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.draining
}
