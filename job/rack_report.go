package job

import (
	"context"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// maxReportEvents bounds one report.
const maxReportEvents = 512

// report sends the news of the rack to every job scheduler of the region. One
// that does not answer does not hold up the others.
func (t *rackTenure) report(reports *sync.WaitGroup) {
	if _, ok := t.deadline(); !ok {
		return
	}
	for _, shard := range t.reportShards() {
		owner, _, ok := t.rack.cfg.Ownership.Owner(contract.Key(shard))
		if !ok || owner == "" {
			continue
		}
		t.mu.Lock()
		busy := t.reporting[shard]
		t.missed[shard] = busy
		t.mu.Unlock()
		if busy {
			continue
		}
		req := t.collect(shard)
		if len(req.Events)+len(req.Nodes) == 0 {
			continue
		}
		t.setReporting(shard, true)
		reports.Go(func() {
			defer t.setReporting(shard, false)
			t.reportTo(owner, req)
		})
	}
}

func (t *rackTenure) setReporting(shard string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reporting[shard] = on
	if !on && t.missed[shard] {
		t.changed()
	}
}

func (t *rackTenure) reportTo(owner string, req *rpc.ReportRequest) {
	ctx, cancel := context.WithTimeout(t.ctx, t.rack.cfg.WorkerTimeout)
	defer cancel()
	t.rack.counts.add("report_bytes", "", proto.Size(req))
	reply, err := t.rack.sendReport(ctx, owner, req)
	if err != nil {
		t.rack.counts.inc("report_failed", errkind.ReasonOf(err))
		t.changed()
		return
	}
	t.reported(req.GetShard(), req, reply)
}

func (r *RackOwner) sendReport(ctx context.Context, owner string, req *rpc.ReportRequest) (*rpc.ReportReply, error) {
	if owner == r.cfg.Peers.Self().ID && r.local != nil {
		reply, err := r.local.Report(ctx, req)
		return reply, fromWire(err)
	}
	conn, err := r.cfg.Peers.Conn(ctx, owner)
	if err != nil {
		return nil, fromWire(err)
	}
	reply, err := rpc.NewDRPCJobSchedulerClient(conn).Report(ctx, req)
	return reply, fromWire(err)
}

// reportShards returns the shards of the region and those of tasks of the rack.
func (t *rackTenure) reportShards() []string {
	set := make(map[string]bool, t.rack.cfg.Shards)
	for n := range t.rack.cfg.Shards {
		set[string(contract.JobsKey(t.rack.cfg.Region, n))] = true
	}
	t.mu.Lock()
	for _, w := range t.workers {
		for _, h := range w.tasks {
			set[h.task.Shard] = true
		}
	}
	t.mu.Unlock()
	out := make([]string, 0, len(set))
	for s := range set {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// collect returns the events that are new or not settled, and the changed
// capacities as far as the byte budget allows.
func (t *rackTenure) collect(shard string) *rpc.ReportRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	req := &rpc.ReportRequest{Rack: string(t.key), RackEpoch: uint64(t.epoch), Shard: shard, Revision: t.revision}
	now := t.rack.cfg.Now()
	view := t.shard(shard)
	ids := make([]string, 0, len(t.workers))
	for id, w := range t.workers {
		ids = append(ids, id)
		for _, h := range w.tasks {
			if h.task.Shard != shard || h.settled || h.state == stateReserved || len(req.Events) == maxReportEvents {
				continue
			}
			again := !h.holds() && now.Sub(h.reportedAt) >= t.rack.cfg.ResendEvery
			if h.state != statePending && (h.reported != h.state || again) {
				req.Events = append(req.Events, event(h))
			}
		}
	}
	if len(req.Events) == maxReportEvents {
		t.changed()
	}
	sort.Strings(ids)
	for i := range ids {
		// Start at another worker each time, so that the budget serves all.
		w := t.workers[ids[(i+t.deltaStart)%len(ids)]]
		if !w.reached && !w.reachable {
			continue // nothing is known yet
		}
		n := t.node(w, shard)
		if old := view.sent[n.Id]; old != nil && proto.Equal(old, n) {
			continue
		}
		if !t.rack.budget.AllowN(now, proto.Size(n)) {
			t.rack.counts.inc("delta_deferred", "byte_budget")
			t.deltaStart = (i + t.deltaStart) % len(ids)
			t.changed()
			break
		}
		req.Nodes = append(req.Nodes, n)
	}
	return req
}

// reported notes what the job scheduler has settled and stops what it does not want.
func (t *rackTenure) reported(shard string, req *rpc.ReportRequest, reply *rpc.ReportReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.rack.cfg.Now()
	for _, e := range req.GetEvents() {
		if h := t.find(e); h != nil {
			h.reported, h.reportedAt = e.GetState(), now
		}
	}
	for _, n := range req.GetNodes() {
		t.shard(shard).sent[n.GetId()] = n
	}
	for _, e := range reply.GetSettled() {
		h := t.find(e)
		if h == nil || h.holds() {
			continue
		}
		h.settled = true
		// A worker that returns after its lease has lapsed reports the end again.
		if h.state == stateNotStarted || !h.worker.reachable {
			h.worker.forget(h)
		}
	}
	for _, e := range reply.GetStop() {
		t.stopLocked(&rpc.TaskEvent{Task: e.GetTask(), Attempt: e.GetAttempt(), Node: e.GetNode()})
	}
}

func (t *rackTenure) find(e *rpc.TaskEvent) *held {
	w := t.workers[e.GetNode()]
	if w == nil {
		return nil
	}
	return w.tasks[machine.TaskRef{Task: e.GetTask(), Attempt: int(e.GetAttempt())}]
}
