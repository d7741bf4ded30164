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

// hostsLoop reads the host list: the key set, and which daemons are gone.
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

func (c *Claimer) applyHosts(hosts []upstream.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostsOK = true
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

// publishMembers tells Members the daemons of the host list and of the join
// records. A join record is newer than the list, which lags; but the address of a
// listed daemon is that of the list, because the platform may route regions
// to a daemon differently.
func (c *Claimer) publishMembers() {
	known := make(map[string]link.Member)
	for id, m := range c.hosts {
		known[id] = m
	}
	for id, d := range c.book.daemons {
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

// KeySet returns the keys of a region: the racks and executor groups on the host
// list, and the job and id shards.
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

// region returns the daemons of this region that are neither gone nor left, and
// how many of them this daemon hears, itself included.
func (c *Claimer) region() (known []link.Member, heard int) {
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

// majoritySince reports whether more than half of the members, this daemon among
// them, have been heard after t.
func (c *Claimer) majoritySince(known []link.Member, t time.Time) bool {
	heard := 0
	for _, m := range known {
		if m.ID == c.self.ID || c.cfg.Members.HeardSince(m.ID, t) {
			heard++
		}
	}
	return 2*heard > len(known)
}

// candidates returns the daemons that may be ranked for keys of this region.
func (c *Claimer) candidates(known []link.Member) []string {
	var ids []string
	for _, m := range known {
		d, joined := c.book.Daemon(m.ID)
		if joined && !d.Left && !d.Draining && !c.leaving[m.ID] && m.State == link.Alive && c.cfg.Members.Eligible(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// fresh reports whether the book is complete and its last read is recent.
func (c *Claimer) fresh(now time.Time) bool {
	return c.book.Ready() && c.rebuild == nil && now.Sub(c.confirmed) < c.cfg.Tenure
}
