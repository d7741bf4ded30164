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

// maxReportEvents is the maximum number of events in one report.
const maxReportEvents = 512

// sendReports sends what has changed on the rack to the job schedulers of shardsToReport, each
// in a goroutine of its own, so that one that does not answer does not delay the others. A
// job scheduler that has not answered the previous report is skipped.
func (t *rackTenure) sendReports(reports *sync.WaitGroup) {
	if _, ok := t.commandDeadline(); !ok {
		return
	}
	for _, shard := range t.shardsToReport() {
		daemon, _, ok := t.owner.cfg.Ownership.Owner(contract.Key(shard))
		if !ok || daemon == "" {
			continue
		}
		t.mu.Lock()
		busy := t.reporting[shard]
		t.skipped[shard] = busy
		t.mu.Unlock()
		if busy {
			continue
		}
		req := t.buildReport(shard)
		if len(req.Events)+len(req.Nodes) == 0 {
			continue
		}
		t.setReporting(shard, true)
		reports.Go(func() {
			defer t.setReporting(shard, false)
			t.reportTo(daemon, req)
		})
	}
}

// setReporting marks that a report to a shard is being sent, or that it has ended. If the
// shard was skipped meanwhile, another pass follows.
func (t *rackTenure) setReporting(shard string, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reporting[shard] = on
	if !on && t.skipped[shard] {
		t.notifyChanged()
	}
}

// reportTo sends one report and applies the answer. After a failure, the next pass reports
// again.
func (t *rackTenure) reportTo(daemon string, req *rpc.ReportRequest) {
	ctx, cancel := context.WithTimeout(t.ctx, t.owner.cfg.WorkerTimeout)
	defer cancel()
	t.owner.counts.add("report_bytes", "", proto.Size(req))
	reply, err := t.owner.sendReport(ctx, daemon, req)
	if err != nil {
		t.owner.counts.inc("report_failed", errkind.ReasonOf(err))
		t.notifyChanged()
		return
	}
	t.applyReportReply(req.GetShard(), req, reply)
}

// sendReport calls the job scheduler in the daemon with that id.
func (r *RackOwner) sendReport(ctx context.Context, daemon string, req *rpc.ReportRequest) (*rpc.ReportReply, error) {
	if daemon == r.cfg.Peers.Self().ID && r.localScheduler != nil {
		reply, err := r.localScheduler.Report(ctx, req)
		return reply, fromWire(err)
	}
	conn, err := r.cfg.Peers.Conn(ctx, daemon)
	if err != nil {
		return nil, fromWire(err)
	}
	reply, err := rpc.NewDRPCJobSchedulerClient(conn).Report(ctx, req)
	return reply, fromWire(err)
}

// shardsToReport returns the shards of the region and the other shards that have attempts on
// the rack, in ascending order.
func (t *rackTenure) shardsToReport() []string {
	shards := make(map[string]bool, t.owner.cfg.Shards)
	for n := range t.owner.cfg.Shards {
		shards[string(contract.JobsKey(t.owner.cfg.Region, n))] = true
	}
	t.mu.Lock()
	for _, w := range t.workers {
		for _, a := range w.attempts {
			shards[a.task.Shard] = true
		}
	}
	t.mu.Unlock()
	out := make([]string, 0, len(shards))
	for s := range shards {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// buildReport returns a report with the attempts whose state is not reported yet, the ends
// that are due to be reported again, and the changed states of workers as far as the byte
// budget allows.
func (t *rackTenure) buildReport(shard string) *rpc.ReportRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision++
	req := &rpc.ReportRequest{Rack: string(t.key), RackEpoch: uint64(t.epoch), Shard: shard, Revision: t.revision}
	now := t.owner.cfg.Now()
	view := t.viewOf(shard)
	ids := make([]string, 0, len(t.workers))
	for id, w := range t.workers {
		ids = append(ids, id)
		for _, a := range w.attempts {
			if a.task.Shard != shard || a.endRecorded || a.state == attemptReserved || len(req.Events) == maxReportEvents {
				continue
			}
			resend := !a.holdsResources() && now.Sub(a.reportedAt) >= t.owner.cfg.ResendEvery
			if a.state != attemptPending && (a.reportedState != a.state || resend) {
				req.Events = append(req.Events, toTaskEvent(a))
			}
		}
	}
	if len(req.Events) == maxReportEvents {
		t.notifyChanged()
	}
	sort.Strings(ids)
	for i := range ids {
		// Start at the worker at which the budget was last used up, so that it serves all in turn.
		w := t.workers[ids[(i+t.deltaStart)%len(ids)]]
		if !w.adopted && !w.reachable {
			continue // nothing is known about the worker yet
		}
		n := t.nodeState(w, shard)
		if old := view.nodesSent[n.Id]; old != nil && proto.Equal(old, n) {
			continue
		}
		if !t.owner.deltaBudget.AllowN(now, proto.Size(n)) {
			t.owner.counts.inc("delta_deferred", "byte_budget")
			t.deltaStart = (i + t.deltaStart) % len(ids)
			t.notifyChanged()
			break
		}
		req.Nodes = append(req.Nodes, n)
	}
	return req
}

// applyReportReply marks what the job scheduler has received and recorded, and stops the
// attempts that it does not know.
func (t *rackTenure) applyReportReply(shard string, req *rpc.ReportRequest, reply *rpc.ReportReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.cfg.Now()
	for _, e := range req.GetEvents() {
		if a := t.attemptOf(e); a != nil {
			a.reportedState, a.reportedAt = e.GetState(), now
		}
	}
	for _, n := range req.GetNodes() {
		t.viewOf(shard).nodesSent[n.GetId()] = n
	}
	for _, e := range reply.GetSettled() {
		a := t.attemptOf(e)
		if a == nil || a.holdsResources() {
			continue
		}
		a.endRecorded = true
		// An attempt that did not start needs no acknowledgement by the worker, and an
		// unreachable worker lists its ends again when it returns.
		if a.state == attemptNotStarted || !a.worker.reachable {
			a.worker.remove(a)
		}
	}
	for _, e := range reply.GetStop() {
		t.queueStop(&rpc.TaskEvent{Task: e.GetTask(), Attempt: e.GetAttempt(), Node: e.GetNode()})
	}
}

// attemptOf returns the attempt that e names, nil if it is not known.
func (t *rackTenure) attemptOf(e *rpc.TaskEvent) *rackAttempt {
	w := t.workers[e.GetNode()]
	if w == nil {
		return nil
	}
	return w.attempts[machine.TaskRef{Task: e.GetTask(), Attempt: int(e.GetAttempt())}]
}
