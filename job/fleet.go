package job

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// fleet caches the workers of the host list, by rack.
type fleet struct {
	hosts    upstream.HostList
	topology *zone.Topology
	region   zone.Region

	mu    sync.Mutex
	racks map[contract.Key][]upstream.Host
	known bool // the list was read at least once
}

func (f *fleet) refresh(ctx context.Context) error {
	all, err := f.hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	racks := make(map[contract.Key][]upstream.Host)
	for _, h := range all {
		if h.Kind != upstream.WorkerHost {
			continue
		}
		if r, ok := f.topology.Region(h.Zone); ok && r == f.region {
			k := contract.RackKey(h.Zone, h.Rack)
			racks[k] = append(racks[k], h)
		}
	}
	f.mu.Lock()
	f.racks, f.known = racks, true
	f.mu.Unlock()
	return nil
}

// run refreshes the cache until ctx ends and calls changed after every success.
func (f *fleet) run(ctx context.Context, every time.Duration, changed func()) {
	for {
		if err := f.refresh(ctx); err == nil {
			changed()
		}
		if !pause.For(ctx, every) {
			return
		}
	}
}

// workers returns the workers of a rack, and whether the list was ever read.
func (f *fleet) workers(k contract.Key) ([]upstream.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.racks[k], f.known
}

// keys returns the racks of the region in ascending order, and whether the list was ever read.
func (f *fleet) keys() ([]contract.Key, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]contract.Key, 0, len(f.racks))
	for k := range f.racks {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, f.known
}

// holder keeps one running part per held key.
type holder struct {
	mu    sync.Mutex
	parts map[contract.Key]*part
}

type part struct {
	epoch contract.Epoch
	stop  context.CancelFunc
	done  chan struct{}
}

// change starts or ends the part of a key. run returns when its context ends.
func (h *holder) change(ctx context.Context, c contract.OwnerChange, run func(context.Context, contract.Key, contract.Epoch)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.parts[c.Key]
	if old != nil && c.Held && old.epoch == c.Epoch {
		return
	}
	if old != nil {
		old.stop()
		delete(h.parts, c.Key)
	}
	if !c.Held || ctx.Err() != nil {
		return
	}
	pctx, cancel := context.WithCancel(ctx)
	p := &part{epoch: c.Epoch, stop: cancel, done: make(chan struct{})}
	if h.parts == nil {
		h.parts = make(map[contract.Key]*part)
	}
	h.parts[c.Key] = p
	go func() {
		defer close(p.done)
		if old != nil {
			<-old.done
		}
		run(pctx, c.Key, c.Epoch)
	}()
}

// stopAll ends every part and waits for it.
func (h *holder) stopAll() {
	h.mu.Lock()
	parts := h.parts
	h.parts = nil
	h.mu.Unlock()
	for _, p := range parts {
		p.stop()
		<-p.done
	}
}
