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

// hostCache caches the workers of one region from the host list, by rack.
type hostCache struct {
	hosts    upstream.HostList
	topology *zone.Topology
	region   zone.Region

	mu    sync.Mutex
	racks map[contract.Key][]upstream.Host
	known bool // the list was read at least once
}

// refresh reads the host list. After an error, the cache keeps the previous workers.
func (c *hostCache) refresh(ctx context.Context) error {
	all, err := c.hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	racks := make(map[contract.Key][]upstream.Host)
	for _, h := range all {
		if h.Kind != upstream.WorkerHost {
			continue
		}
		if r, ok := c.topology.Region(h.Zone); ok && r == c.region {
			k := contract.RackKey(h.Zone, h.Rack)
			racks[k] = append(racks[k], h)
		}
	}
	c.mu.Lock()
	c.racks, c.known = racks, true
	c.mu.Unlock()
	return nil
}

// run refreshes the cache until ctx ends and calls changed after every successful refresh.
func (c *hostCache) run(ctx context.Context, every time.Duration, changed func()) {
	for {
		if err := c.refresh(ctx); err == nil {
			changed()
		}
		if !pause.For(ctx, every) {
			return
		}
	}
}

// workers returns the workers of a rack, and whether the host list was read at least once.
func (c *hostCache) workers(k contract.Key) ([]upstream.Host, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.racks[k], c.known
}

// rackKeys returns the racks of the region in ascending order, and whether the host list was
// read at least once.
func (c *hostCache) rackKeys() ([]contract.Key, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]contract.Key, 0, len(c.racks))
	for k := range c.racks {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, c.known
}
