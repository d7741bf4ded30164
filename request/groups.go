package request

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// groups holds the executor groups that this daemon owns.
type groups struct {
	s  *Service
	mu sync.Mutex
	m  map[contract.Key]*group
	// hosts are the executors of every group in the host list.
	hosts map[contract.Key][]upstream.Host

	changesMu sync.Mutex
	changes   []contract.OwnerChange
	changed   chan struct{}
}

func newGroups(s *Service) *groups {
	return &groups{s: s, m: make(map[contract.Key]*group), changed: make(chan struct{}, 1)}
}

// notify takes in a change of ownership. It only queues the change, because the
// caller may hold locks that the work on groups needs.
func (o *groups) notify(c contract.OwnerChange) {
	if c.Key.Kind() != contract.Exec {
		return
	}
	o.changesMu.Lock()
	o.changes = append(o.changes, c)
	o.changesMu.Unlock()
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// changeLoop applies the queued changes in order.
func (o *groups) changeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.changed:
		}
		o.changesMu.Lock()
		list := o.changes
		o.changes = nil
		o.changesMu.Unlock()
		for _, c := range list {
			o.change(c)
		}
	}
}

// change creates or closes the group of a key.
func (o *groups) change(c contract.OwnerChange) {
	o.mu.Lock()
	old := o.m[c.Key]
	if old != nil && (!c.Held || old.epoch != c.Epoch) {
		delete(o.m, c.Key)
	} else {
		old = nil
	}
	if c.Held && o.m[c.Key] == nil {
		fresh := newGroup(o.s, c.Key, c.Epoch)
		fresh.setHosts(o.hosts[c.Key])
		o.m[c.Key] = fresh
	}
	o.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// setHosts takes in the host list.
func (o *groups) setHosts(hosts []upstream.Host) {
	byKey := lo.GroupBy(lo.Filter(hosts, func(h upstream.Host, _ int) bool { return h.Kind == upstream.ExecutorHost }),
		func(h upstream.Host) contract.Key { return contract.ExecKey(h.Zone, h.Group) })
	o.mu.Lock()
	o.hosts = byKey
	own := lo.Values(o.m)
	o.mu.Unlock()
	for _, g := range own {
		g.setHosts(byKey[g.key])
	}
}

func (o *groups) get(k contract.Key) *group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.m[k]
}

func (o *groups) all() []*group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return lo.Values(o.m)
}

// run runs r on the group k, if this daemon owns it.
func (o *groups) run(ctx context.Context, k contract.Key, r *request) reply {
	g := o.get(k)
	if g == nil {
		return failed(errkind.New(errkind.NotOwner, "not_group_owner", "%s", k))
	}
	return g.run(ctx, r)
}

// probeLoop says hello to the executors of the own groups.
func (o *groups) probeLoop(ctx context.Context) {
	every(ctx, o.s.cfg.ProbeInterval/20, func() {
		for _, g := range o.all() {
			g.probe(ctx)
		}
	})
}

// reportOverhead is the estimated size of a report without its messages, in
// bytes: the name of the call, frame headers and acknowledgement.
const reportOverhead = 64

// farReports is how many reports within the region go with one to other regions.
const farReports = 5

// reportLoop sends the loads of the own groups to the other daemons, within
// Config.LoadBytes per second.
func (o *groups) reportLoop(ctx context.Context) {
	var budget float64
	var next, round int
	last := time.Now()
	busy := make(map[string]chan struct{}) // by peer: the report in progress
	every(ctx, o.s.cfg.LoadInterval, func() {
		now := time.Now()
		limit := float64(o.s.cfg.LoadBytes)
		budget = min(limit, budget+limit*now.Sub(last).Seconds())
		last = now
		round++
		report := &rpc.GroupLoadReport{}
		for _, g := range o.all() {
			report.Loads = append(report.Loads, g.load())
		}
		if len(report.Loads) == 0 {
			return
		}
		o.s.loads.update(report.Loads...)
		size := float64(proto.Size(report) + reportOverhead)
		peers := o.reportPeers(round%farReports == 0)
		for range peers {
			if budget < size {
				return
			}
			next = (next + 1) % len(peers)
			p := peers[next]
			if c := busy[p]; c != nil {
				select {
				case <-c:
				default:
					continue // the last report has not been answered
				}
			}
			budget -= size
			o.s.metrics.reportBytes.Add(size)
			c := make(chan struct{})
			busy[p] = c
			go func() { defer close(c); o.report(ctx, p, report) }()
		}
	})
}

func (o *groups) reportPeers(far bool) []string {
	self := o.s.cfg.Peers.Self()
	var out []string
	for _, m := range o.s.cfg.Peers.Members() {
		if m.ID != self.ID && m.State == link.Alive && (far || m.Region == self.Region) {
			out = append(out, m.ID)
		}
	}
	return out
}

func (o *groups) report(ctx context.Context, peer string, report *rpc.GroupLoadReport) {
	ctx, cancel := context.WithTimeout(ctx, o.s.cfg.SilentAfter)
	defer cancel()
	conn, err := o.s.cfg.Peers.Conn(ctx, peer)
	if err != nil {
		return // the next report replaces this one
	}
	if _, err := rpc.NewDRPCRequestPathClient(conn).ReportLoad(ctx, report); err != nil {
		o.s.cfg.Log.Debug().Str("event", "load_report_failed").Str("peer", peer).Err(err).Send()
	}
}

// every calls fn in intervals of d until ctx ends.
func every(ctx context.Context, d time.Duration, fn func()) {
	t := time.NewTicker(max(d, time.Millisecond))
	defer t.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
