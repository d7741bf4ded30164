package contract

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// hostsLoop reads the host list, from which the keys of the region and the daemons that
// are leaving or gone follow.
func (c *Claimer) hostsLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		hosts, err := c.cfg.Hosts.Hosts(ctx)
		if err == nil {
			c.applyHosts(hosts)
		} else if ctx.Err() == nil {
			c.cfg.Logger.Debug().Str("event", "host_list_failed").Err(err).Send()
		}
		pause.For(ctx, c.cfg.HostsInterval)
	}
	return nil
}

// applyHosts replaces what is known from the host list.
func (c *Claimer) applyHosts(hosts []upstream.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostsRead = true
	c.gone, c.leaving, c.hosts = make(map[string]bool), make(map[string]bool), make(map[string]link.Member)
	for _, h := range hosts {
		if h.Kind != upstream.DaemonHost {
			continue
		}
		region, _ := c.cfg.Topology.Region(h.Zone)
		c.gone[h.ID] = h.State == upstream.Gone
		c.leaving[h.ID] = h.State == upstream.Leaving
		c.hosts[h.ID] = link.Member{ID: h.ID, Address: h.Address, Zone: h.Zone, Region: region}
	}
	c.keys = KeySet(hosts, c.cfg.Topology, c.self.Region, c.cfg.JobShards, c.cfg.IDShards)
	c.publishMembers()
}

// publishMembers passes the daemons of the host list and of the join records to Members.
// Join records are newer than the host list, which lags. But the address of a listed daemon
// is taken from the list, because the platform may route regions to a daemon differently.
// The caller holds c.mu.
func (c *Claimer) publishMembers() {
	known := make(map[string]link.Member)
	for id, m := range c.hosts {
		known[id] = m
	}
	for id, d := range c.state.daemons {
		m := link.Member{ID: id, Address: d.Address, Zone: d.Zone, Region: d.Region}
		if listed, ok := c.hosts[id]; ok {
			m.Address = listed.Address
		}
		if d.Left {
			m.State = link.Left
		}
		known[id] = m
	}
	for id, m := range known {
		if c.gone[id] {
			m.State = link.Left
		}
		c.cfg.Members.UpdateMembers(m)
	}
}

// KeySet returns the keys of region r, sorted: the racks and executor groups of its hosts
// that are not gone, its job shards and its request-id shards.
func KeySet(hosts []upstream.Host, t *zone.Topology, r zone.Region, jobShards, idShards int) []Key {
	var keys []Key
	for _, h := range hosts {
		if region, ok := t.Region(h.Zone); !ok || region != r || h.State == upstream.Gone {
			continue
		}
		switch {
		case h.Kind == upstream.WorkerHost && h.Rack != "":
			keys = append(keys, RackKey(h.Zone, h.Rack))
		case h.Kind == upstream.ExecutorHost && h.Group != "":
			keys = append(keys, ExecKey(h.Zone, h.Group))
		}
	}
	for n := range jobShards {
		keys = append(keys, JobsKey(r, n))
	}
	for n := range idShards {
		keys = append(keys, IDsKey(r, n))
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// regionMembers returns the daemons of this region that are not gone and have not left,
// and how many of them are alive as far as this daemon hears, itself included. The caller
// holds c.mu.
func (c *Claimer) regionMembers() (known []link.Member, heard int) {
	for _, m := range c.cfg.Members.Members() {
		if m.Region != c.self.Region || m.State == link.Left || c.gone[m.ID] {
			continue
		}
		known = append(known, m)
		if m.State == link.Alive {
			heard++
		}
	}
	return known, heard
}

// heardMajoritySince reports whether more than half of the known daemons have been
// heard after t. This daemon counts as heard.
func (c *Claimer) heardMajoritySince(known []link.Member, t time.Time) bool {
	heard := 0
	for _, m := range known {
		if m.ID == c.self.ID || c.cfg.Members.HeardSince(m.ID, t) {
			heard++
		}
	}
	return 2*heard > len(known)
}

// candidates returns the known daemons that may be ranked for keys of this region: those
// that have joined, are alive and eligible, and neither drain nor leave. The caller holds
// c.mu.
func (c *Claimer) candidates(known []link.Member) []string {
	var ids []string
	for _, m := range known {
		d, joined := c.state.Daemon(m.ID)
		if joined && !d.Left && !d.Draining && !c.leaving[m.ID] && m.State == link.Alive && c.cfg.Members.Eligible(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// fresh reports whether the control state is complete and the last read that reached the
// head of the log is younger than Tenure. The caller holds c.mu.
func (c *Claimer) fresh(now time.Time) bool {
	return c.state.Ready() && c.rebuilding == nil && now.Sub(c.confirmedAt) < c.cfg.Tenure
}
