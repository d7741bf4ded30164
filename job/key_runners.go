package job

import (
	"context"
	"sync"

	"github.com/sassafraslb/sassafraslb/contract"
)

// keyRunners runs one goroutine per key that this daemon owns.
type keyRunners struct {
	mu      sync.Mutex
	running map[contract.Key]*keyRunner
}

// keyRunner is the goroutine of one key during one tenure.
type keyRunner struct {
	epoch contract.Epoch
	stop  context.CancelFunc
	done  chan struct{}
}

// ownershipChanged starts or stops the goroutine of a key. run must return when its context
// ends. A new tenure of a key starts after the goroutine of the previous one has returned.
func (r *keyRunners) ownershipChanged(
	ctx context.Context, c contract.OwnerChange, run func(context.Context, contract.Key, contract.Epoch),
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.running[c.Key]
	if old != nil && c.Held && old.epoch == c.Epoch {
		return
	}
	if old != nil {
		old.stop()
		delete(r.running, c.Key)
	}
	if !c.Held || ctx.Err() != nil {
		return
	}
	runCtx, cancel := context.WithCancel(ctx)
	runner := &keyRunner{epoch: c.Epoch, stop: cancel, done: make(chan struct{})}
	if r.running == nil {
		r.running = make(map[contract.Key]*keyRunner)
	}
	r.running[c.Key] = runner
	go func() {
		defer close(runner.done)
		if old != nil {
			<-old.done
		}
		run(runCtx, c.Key, c.Epoch)
	}()
}

// stopAll stops every goroutine and waits until all have returned.
func (r *keyRunners) stopAll() {
	r.mu.Lock()
	runners := r.running
	r.running = nil
	r.mu.Unlock()
	for _, runner := range runners {
		runner.stop()
		<-runner.done
	}
}
