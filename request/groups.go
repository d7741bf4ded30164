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

// ownedGroups holds the executor groups that this daemon owns.
type ownedGroups struct {
	s     *Service
	mu    sync.Mutex
	byKey map[contract.Key]*group
	// hostsByKey holds the executors of every group in the host list, owned or not.
	hostsByKey map[contract.Key][]upstream.Host

	changesMu sync.Mutex
	changes   []contract.OwnerChange
	changed   chan struct{} // signals that changes is not empty
}

func newOwnedGroups(s *Service) *ownedGroups {
	return &ownedGroups{s: s, byKey: make(map[contract.Key]*group), changed: make(chan struct{}, 1)}
}

// queueChange queues a change of ownership for changeLoop. It does not apply the
// change itself, because the caller may hold locks that the work on groups needs.
func (o *ownedGroups) queueChange(c contract.OwnerChange) {
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
func (o *ownedGroups) changeLoop(ctx context.Context) {
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
			o.applyChange(c)
		}
	}
}

// applyChange creates or closes the group of a key.
func (o *ownedGroups) applyChange(c contract.OwnerChange) {
	o.mu.Lock()
	old := o.byKey[c.Key]
	if old != nil && (!c.Held || old.epoch != c.Epoch) {
		delete(o.byKey, c.Key)
	} else {
		old = nil
	}
	if c.Held && o.byKey[c.Key] == nil {
		created := newGroup(o.s, c.Key, c.Epoch)
		created.setHosts(o.hostsByKey[c.Key])
		o.byKey[c.Key] = created
	}
	o.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// setHosts passes the executors of the host list to the owned groups.
func (o *ownedGroups) setHosts(hosts []upstream.Host) {
	hostsByKey := lo.GroupBy(
		lo.Filter(hosts, func(h upstream.Host, _ int) bool { return h.Kind == upstream.ExecutorHost }),
		func(h upstream.Host) contract.Key { return contract.ExecKey(h.Zone, h.Group) })
	o.mu.Lock()
	o.hostsByKey = hostsByKey
	own := lo.Values(o.byKey)
	o.mu.Unlock()
	for _, g := range own {
		g.setHosts(hostsByKey[g.key])
	}
}

// get returns the group k, or nil if this daemon does not own it.
func (o *ownedGroups) get(k contract.Key) *group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byKey[k]
}

func (o *ownedGroups) all() []*group {
	o.mu.Lock()
	defer o.mu.Unlock()
	return lo.Values(o.byKey)
}

// run runs r on the group k, if this daemon owns it.
func (o *ownedGroups) run(ctx context.Context, k contract.Key, r *request) reply {
	g := o.get(k)
	if g == nil {
		return failed(errkind.New(errkind.NotOwner, "not_group_owner", "this daemon does not own %s", k))
	}
	return g.run(ctx, r)
}

// probeLoop sends hellos to the executors of the owned groups until ctx ends.
func (o *ownedGroups) probeLoop(ctx context.Context) {
	every(ctx, o.s.cfg.ProbeInterval/20, func() {
		for _, g := range o.all() {
			g.probeExecutors(ctx)
		}
	})
}

// reportOverheadBytes is the estimated size of a load report beyond its message: the
// name of the call, frame headers and the acknowledgement.
const reportOverheadBytes = 64

// crossRegionReportRounds is the number of rounds of load reports of which one goes
// to the peers in all regions; the others stay within the region.
const crossRegionReportRounds = 5

// reportLoop sends the loads of the owned groups to the other daemons until ctx ends,
// at most Config.LoadReportBytesPerSecond. The peers take turns.
func (o *ownedGroups) reportLoop(ctx context.Context) {
	var budget float64  // bytes that may be sent now
	var next, round int // index of the latest peer, number of the round
	last := time.Now()
	inProgress := make(map[string]chan struct{}) // by peer; closed when its report has ended
	every(ctx, o.s.cfg.LoadReportInterval, func() {
		now := time.Now()
		limit := float64(o.s.cfg.LoadReportBytesPerSecond)
		budget = min(limit, budget+limit*now.Sub(last).Seconds())
		last = now
		round++
		report := &rpc.GroupLoadReport{}
		for _, g := range o.all() {
			report.Loads = append(report.Loads, g.loadSummary())
		}
		if len(report.Loads) == 0 {
			return
		}
		o.s.loads.update(report.Loads...)
		size := float64(proto.Size(report) + reportOverheadBytes)
		peers := o.reportPeers(round%crossRegionReportRounds == 0)
		for range peers {
			if budget < size {
				return
			}
			next = (next + 1) % len(peers)
			p := peers[next]
			if c := inProgress[p]; c != nil {
				select {
				case <-c:
				default:
					continue // the previous report is still in progress
				}
			}
			budget -= size
			o.s.metrics.reportBytes.Add(size)
			done := make(chan struct{})
			inProgress[p] = done
			go func() { defer close(done); o.sendReport(ctx, p, report) }()
		}
	})
}

// reportPeers returns the ids of the live peers in the own region, or in all regions.
func (o *ownedGroups) reportPeers(allRegions bool) []string {
	self := o.s.cfg.Peers.Self()
	var out []string
	for _, m := range o.s.cfg.Peers.Members() {
		if m.ID != self.ID && m.State == link.Alive && (allRegions || m.Region == self.Region) {
			out = append(out, m.ID)
		}
	}
	return out
}

// sendReport sends report to one peer.
func (o *ownedGroups) sendReport(ctx context.Context, peer string, report *rpc.GroupLoadReport) {
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

// every calls fn immediately and then at intervals of d until ctx ends.
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
