package job

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

const (
	// commandQueue bounds the commands that wait for one worker.
	commandQueue = 256
	// preemptWait bounds the wait for victims to end, within the 3.5 s in which
	// urgent work starts.
	preemptWait = 2 * time.Second
	// preemptPoll is the pause between two inventories while victims end.
	preemptPoll = 50 * time.Millisecond
	// endSlack is how long after the declared end of a task its result is fetched.
	endSlack = 20 * time.Millisecond
	// minRenewGap bounds how often declared ends can cause a renewal.
	minRenewGap = 200 * time.Millisecond
)

// worker is one worker under one tenure. Its goroutine sends every command, one
// at a time. The fields below client are guarded by the lock of the tenure.
type worker struct {
	t        *rackTenure
	host     upstream.Host
	client   *machine.WorkerClient
	commands chan func(context.Context)
	cancel   context.CancelFunc
	ctx      context.Context

	tasks     map[machine.TaskRef]*held
	capacity  machine.Resources
	reached   bool      // an inventory was adopted in this tenure
	reachable bool      // the last renewal was answered
	lapse     time.Time // the leases have certainly lapsed, unless renewed
	leaving   bool
	soon      bool // a renewal is wanted at once
}

func newWorker(t *rackTenure, h upstream.Host) *worker {
	w := &worker{t: t, host: h, commands: make(chan func(context.Context), commandQueue), tasks: make(map[machine.TaskRef]*held)}
	w.ctx, w.cancel = context.WithCancel(t.ctx)
	w.capacity = h.Resources
	// A predecessor may have renewed until the end of its own tenure, which the
	// takeover wait has covered.
	w.lapse = t.rack.cfg.Now().Add(w.leaseBound())
	var transport http.RoundTripper
	if t.rack.cfg.NewTransport != nil {
		transport = t.rack.cfg.NewTransport()
	}
	w.client = machine.NewWorkerClient(machine.WorkerConfig{
		Transport: transport, Address: h.Address, Epoch: uint64(t.epoch), Drift: t.rack.cfg.ClockDrift, Timeout: t.rack.cfg.WorkerTimeout,
		Now: t.rack.cfg.Now, Tenure: t.deadline,
	})
	return w
}

func (w *worker) leaseBound() time.Duration {
	return time.Duration(float64(w.t.rack.cfg.Lease) * (1 + w.t.rack.cfg.ClockDrift))
}

// closing reports whether the worker takes no new tasks, because the host list
// or the configuration takes it out of use.
func (w *worker) closing() bool { return w.leaving || w.t.rack.cfg.Draining(w.host) }

func (w *worker) stop() { w.cancel() }

func (w *worker) lapsed(now time.Time) bool { return now.After(w.lapse) }

// settled reports whether the tasks of the worker are known, or certainly ended.
func (w *worker) settled(now time.Time) bool { return w.reached || w.lapsed(now) }

func (w *worker) free() machine.Resources {
	free := w.capacity
	for _, h := range w.tasks {
		if h.holds() {
			free = free.Sub(h.uses())
		}
	}
	return free
}

// room reports whether h fits beside what was started. Tasks that wait behind h
// have victims or room of their own.
func (w *worker) room(h *held) bool {
	free := w.capacity.Sub(h.uses())
	for _, o := range w.tasks {
		if o != h && o.holds() && (o.sent || o.state != statePending) {
			free = free.Sub(o.uses())
		}
	}
	return !free.Negative()
}

func (w *worker) forget(h *held) {
	if w.tasks[h.ref()] == h {
		delete(w.tasks, h.ref())
		w.t.changed()
	}
}

// enqueue hands a command to the goroutine and reports whether there was room.
func (w *worker) enqueue(cmd func(context.Context)) bool {
	select {
	case w.commands <- cmd:
		return true
	default:
		return false
	}
}

func (w *worker) run() {
	defer w.t.workersDone.Done()
	defer w.client.Close()
	defer w.cancel()
	for w.ctx.Err() == nil {
		next := w.sync(w.ctx)
		timer := time.NewTimer(next)
		for waiting := true; waiting; {
			select {
			case <-w.ctx.Done():
				waiting = false
			case <-timer.C:
				waiting = false
			case cmd := <-w.commands:
				cmd(w.ctx)
				w.t.mu.Lock()
				waiting = !w.soon
				if d := w.nextSync(); waiting && d < next {
					timer.Reset(d)
				}
				w.t.mu.Unlock()
			}
		}
		timer.Stop()
	}
}

// sync renews the lease, adopts the inventory, acknowledges settled ends and
// repeats wanted stops. It returns the time until the next one.
func (w *worker) sync(ctx context.Context) time.Duration {
	w.t.mu.Lock()
	w.soon = false
	probe := !w.reachable
	w.t.mu.Unlock()
	if probe {
		// A renewal that is not answered moves the lapse time. An unreachable
		// worker is therefore probed without extending its lease.
		if _, err := w.client.Inventory(ctx); err != nil {
			return w.unreachable(err)
		}
	}
	reply, effective, err := w.client.Renew(ctx, w.t.rack.cfg.Lease)
	w.t.mu.Lock()
	if !effective.IsZero() {
		w.lapse = effective.Add(w.leaseBound())
	}
	w.t.mu.Unlock()
	if err != nil {
		return w.unreachable(err)
	}
	acks, stops := w.adopt(reply)
	if len(acks) > 0 && w.client.Ack(ctx, acks) == nil {
		w.acknowledged(acks)
	}
	for _, h := range stops {
		w.stopTask(ctx, h)
	}
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	return w.nextSync()
}

// nextSync returns the time until the next renewal: earlier when the declared
// run time of a task ends, because a worker does not report by itself.
func (w *worker) nextSync() time.Duration {
	if w.soon {
		return 0
	}
	next := w.t.rack.cfg.RenewEvery
	if !w.reachable {
		next = w.t.rack.cfg.ProbeEvery
	}
	now := w.t.rack.cfg.Now()
	for _, h := range w.tasks {
		if h.state == string(workload.Running) && h.task.RunTime > 0 {
			if d := h.started.Add(h.task.RunTime + endSlack).Sub(now); d < next {
				next = max(d, min(minRenewGap, w.t.rack.cfg.RenewEvery))
			}
		}
		open := h.state == statePending && h.sent
		stopping := h.holds() && h.stopMode != "" && h.state != string(workload.Throttled)
		if open || stopping || h.settled && !h.holds() {
			next = min(next, minRenewGap)
		}
	}
	return next
}

// unreachable notes a failed renewal and, once the lease has lapsed, the end of
// all tasks of the worker.
func (w *worker) unreachable(err error) time.Duration {
	w.t.rack.counts.inc("renewal_failed", errkind.ReasonOf(err))
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	if w.reachable {
		w.t.changed()
	}
	w.reachable = false
	if w.lapsed(w.t.rack.cfg.Now()) {
		for _, h := range w.tasks {
			if h.holds() {
				h.set(string(workload.Lost), "lease_lapsed")
			}
		}
	}
	return w.t.rack.cfg.ProbeEvery
}

// adopt makes the inventory the state of the worker. It returns the ends that
// the job scheduler has settled and the tasks whose stop is still wanted.
func (w *worker) adopt(r machine.RenewReply) (acks []machine.TaskRef, stops []*held) {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	if !w.reachable || w.capacity != r.Capacity {
		w.t.changed()
	}
	w.reached, w.reachable, w.capacity = true, true, r.Capacity
	now := w.t.rack.cfg.Now()
	listed := make(map[machine.TaskRef]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		ref := machine.TaskRef{Task: tr.ID, Attempt: tr.Attempt}
		listed[ref] = true
		h := w.tasks[ref]
		if h == nil {
			h = &held{worker: w, task: fromStart(tr.TaskStart), started: now.Add(-time.Duration(tr.RanMS) * time.Millisecond)}
			w.tasks[ref] = h
		}
		if h.state == string(workload.Lost) && workload.TaskState(tr.State).HoldsResources() {
			// The job scheduler may have placed the task again.
			h.stopMode = machine.ModeStop
			w.t.rack.counts.inc("anomaly", "lost_task_runs")
			stops = append(stops, h)
			continue
		}
		if h.state != string(workload.Lost) {
			h.set(tr.State, "")
		}
		h.ranMS, h.exit, h.usage = tr.RanMS, tr.Exit, tr.Usage
		switch {
		case !h.holds() && h.settled:
			acks = append(acks, ref)
		case h.stopMode == machine.ModeResume && h.state == string(workload.Running):
			h.stopMode = ""
			w.t.changed()
		case h.holds() && h.stopMode != "" && h.state != string(workload.Throttled):
			stops = append(stops, h)
		}
	}
	for ref, h := range w.tasks {
		if listed[ref] {
			continue
		}
		switch {
		case h.state == statePending && h.sent && r.ClockMS > h.notAfterMS:
			h.set(stateNotStarted, "start_lost")
		case workload.TaskState(h.state).HoldsResources():
			h.set(string(workload.Lost), "not_in_inventory")
		case h.settled:
			delete(w.tasks, ref)
		}
	}
	return acks, append(stops, w.resumable()...)
}

// resumable returns the throttled tasks that fit at full size again.
func (w *worker) resumable() (out []*held) {
	free := w.free()
	for _, h := range w.tasks {
		more := h.task.Resources.Sub(h.uses())
		if h.state == string(workload.Throttled) && more.Fits(free) {
			h.stopMode = machine.ModeResume
			free = free.Sub(more)
			out = append(out, h)
		}
	}
	return out
}

func (w *worker) acknowledged(refs []machine.TaskRef) {
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	for _, ref := range refs {
		delete(w.tasks, ref)
	}
}

// startTask sends the start of h after its victims have ended.
func (w *worker) startTask(ctx context.Context, h *held) {
	if len(h.victims) > 0 && !w.preempt(ctx, h) {
		w.t.mu.Lock()
		h.set(stateNotStarted, "preemption_failed")
		w.t.mu.Unlock()
		return
	}
	w.t.mu.Lock()
	stopped := h.state != statePending || h.stopMode != ""
	if stopped {
		h.set(stateNotStarted, "stopped_before_start")
	} else if w.closing() {
		// The worker began to leave while the start was queued.
		stopped = true
		h.set(stateNotStarted, "worker_leaving")
	}
	h.sent = true
	w.t.mu.Unlock()
	if stopped {
		return
	}
	notAfter, err := w.client.Start(ctx, toStart(h.task))
	w.t.mu.Lock()
	defer w.t.mu.Unlock()
	h.notAfterMS = notAfter
	switch {
	case err == nil:
		h.started = w.t.rack.cfg.Now()
		h.set(string(workload.Running), "")
	case errkind.Of(err) == errkind.OutcomeUnknown:
		// Only an inventory tells whether the task runs.
		w.t.rack.counts.inc("start", "unknown")
		w.soon = true
	default:
		w.t.rack.counts.inc("start", errkind.ReasonOf(err))
		h.set(stateNotStarted, errkind.ReasonOf(err))
		w.soon = true
	}
}

// preempt takes the victims of h off their resources and reports whether there
// is room for h.
func (w *worker) preempt(ctx context.Context, h *held) bool {
	deadline := w.t.rack.cfg.Now().Add(preemptWait)
	for {
		for _, v := range h.victims {
			w.t.mu.Lock()
			wanted := v.state == string(workload.Running)
			w.t.mu.Unlock()
			if wanted {
				w.stopTask(ctx, v)
			}
		}
		w.sync(ctx)
		w.t.mu.Lock()
		fits := w.reachable && w.room(h)
		w.t.mu.Unlock()
		if fits {
			return true
		}
		if w.t.rack.cfg.Now().After(deadline) || !pause.For(ctx, preemptPoll) {
			return false
		}
	}
}

// stopTask sends the wanted stop of h. The next inventory tells the outcome.
func (w *worker) stopTask(ctx context.Context, h *held) {
	w.t.mu.Lock()
	mode, ref := h.stopMode, h.ref()
	w.t.mu.Unlock()
	if err := w.client.Stop(ctx, ref, mode); err != nil {
		w.t.rack.counts.inc("stop", errkind.ReasonOf(err))
	}
}
