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
	// maxQueuedCommands bounds the commands that wait for one worker.
	maxQueuedCommands = 256
	// preemptTimeout bounds the wait for victims to end, within the 3.5 s in which
	// urgent work starts.
	preemptTimeout = 2 * time.Second
	// preemptPoll is the pause between two inventories while victims end.
	preemptPoll = 50 * time.Millisecond
	// endFetchDelay is how long after the declared end of a task its result is fetched.
	endFetchDelay = 20 * time.Millisecond
	// minRenewInterval bounds how often declared ends can cause a renewal.
	minRenewInterval = 200 * time.Millisecond
)

// worker is one worker under one tenure. Its goroutine sends every command, one
// at a time. The fields below client are guarded by the lock of the tenure.
type worker struct {
	tenure   *rackTenure
	host     upstream.Host
	client   *machine.WorkerClient
	commands chan func(context.Context)
	cancel   context.CancelFunc
	ctx      context.Context

	attempts    map[machine.TaskRef]*rackAttempt
	capacity    machine.Resources
	adopted     bool      // an inventory was adopted in this tenure
	reachable   bool      // the last renewal was answered
	leaseExpiry time.Time // the leases have certainly lapsed, unless renewed
	leaving     bool
	renewNow    bool // a renewal is wanted at once
}

func newWorker(t *rackTenure, host upstream.Host) *worker {
	w := &worker{tenure: t, host: host, commands: make(chan func(context.Context), maxQueuedCommands), attempts: make(map[machine.TaskRef]*rackAttempt)}
	w.ctx, w.cancel = context.WithCancel(t.ctx)
	w.capacity = host.Resources
	// A predecessor may have renewed until the end of its own tenure, which the
	// takeover wait has covered.
	w.leaseExpiry = t.owner.cfg.Now().Add(w.maxLease())
	var transport http.RoundTripper
	if t.owner.cfg.NewTransport != nil {
		transport = t.owner.cfg.NewTransport()
	}
	w.client = machine.NewWorkerClient(machine.WorkerConfig{
		Transport: transport, Address: host.Address, Epoch: uint64(t.epoch), Drift: t.owner.cfg.ClockDrift, Timeout: t.owner.cfg.WorkerTimeout,
		Now: t.owner.cfg.Now, Tenure: t.commandDeadline,
	})
	return w
}

func (w *worker) maxLease() time.Duration {
	return time.Duration(float64(w.tenure.owner.cfg.Lease) * (1 + w.tenure.owner.cfg.ClockDrift))
}

// draining reports whether the worker takes no new tasks, because the host list
// or the configuration takes it out of use.
func (w *worker) draining() bool { return w.leaving || w.tenure.owner.cfg.Draining(w.host) }

func (w *worker) stop() { w.cancel() }

func (w *worker) leaseExpired(now time.Time) bool { return now.After(w.leaseExpiry) }

// attemptsKnown reports whether the tasks of the worker are known, or certainly ended.
func (w *worker) attemptsKnown(now time.Time) bool { return w.adopted || w.leaseExpired(now) }

func (w *worker) free() machine.Resources {
	free := w.capacity
	for _, a := range w.attempts {
		if a.holdsResources() {
			free = free.Sub(a.resources())
		}
	}
	return free
}

// fits reports whether h fits beside what was started. Tasks that wait behind h
// have victims or fits of their own.
func (w *worker) fits(a *rackAttempt) bool {
	free := w.capacity.Sub(a.resources())
	for _, other := range w.attempts {
		if other != a && other.holdsResources() && (other.startSent || other.state != attemptPending) {
			free = free.Sub(other.resources())
		}
	}
	return !free.Negative()
}

func (w *worker) remove(a *rackAttempt) {
	if w.attempts[a.ref()] == a {
		delete(w.attempts, a.ref())
		w.tenure.notifyChanged()
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
	defer w.tenure.workersDone.Done()
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
				w.tenure.mu.Lock()
				waiting = !w.renewNow
				if d := w.nextSync(); waiting && d < next {
					timer.Reset(d)
				}
				w.tenure.mu.Unlock()
			}
		}
		timer.Stop()
	}
}

// sync renews the lease, adopts the inventory, acknowledges settled ends and
// repeats wanted stops. It returns the time until the next one.
func (w *worker) sync(ctx context.Context) time.Duration {
	w.tenure.mu.Lock()
	w.renewNow = false
	probe := !w.reachable
	w.tenure.mu.Unlock()
	if probe {
		// A renewal that is not answered moves the lapse time. An unreachable
		// worker is therefore probed without extending its lease.
		if _, err := w.client.Inventory(ctx); err != nil {
			return w.markUnreachable(err)
		}
	}
	reply, effective, err := w.client.Renew(ctx, w.tenure.owner.cfg.Lease)
	w.tenure.mu.Lock()
	if !effective.IsZero() {
		w.leaseExpiry = effective.Add(w.maxLease())
	}
	w.tenure.mu.Unlock()
	if err != nil {
		return w.markUnreachable(err)
	}
	acks, stops := w.adopt(reply)
	if len(acks) > 0 && w.client.Ack(ctx, acks) == nil {
		w.removeAcknowledged(acks)
	}
	for _, a := range stops {
		w.stopTask(ctx, a)
	}
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	return w.nextSync()
}

// nextSync returns the time until the next renewal: earlier when the declared
// run time of a task ends, because a worker does not report by itself.
func (w *worker) nextSync() time.Duration {
	if w.renewNow {
		return 0
	}
	next := w.tenure.owner.cfg.RenewEvery
	if !w.reachable {
		next = w.tenure.owner.cfg.ProbeEvery
	}
	now := w.tenure.owner.cfg.Now()
	for _, a := range w.attempts {
		if a.state == string(workload.Running) && a.task.RunTime > 0 {
			if d := a.startedAt.Add(a.task.RunTime + endFetchDelay).Sub(now); d < next {
				next = max(d, min(minRenewInterval, w.tenure.owner.cfg.RenewEvery))
			}
		}
		unresolved := a.state == attemptPending && a.startSent
		stopping := a.holdsResources() && a.stopMode != "" && a.state != string(workload.Throttled)
		if unresolved || stopping || a.endRecorded && !a.holdsResources() {
			next = min(next, minRenewInterval)
		}
	}
	return next
}

// markUnreachable notes a failed renewal and, once the lease has lapsed, the end of
// all tasks of the worker.
func (w *worker) markUnreachable(err error) time.Duration {
	w.tenure.owner.counts.inc("renewal_failed", errkind.ReasonOf(err))
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	if w.reachable {
		w.tenure.notifyChanged()
	}
	w.reachable = false
	if w.leaseExpired(w.tenure.owner.cfg.Now()) {
		for _, a := range w.attempts {
			if a.holdsResources() {
				a.setState(string(workload.Lost), "lease_lapsed")
			}
		}
	}
	return w.tenure.owner.cfg.ProbeEvery
}

// adopt makes the inventory the state of the worker. It returns the ends that
// the job scheduler has settled and the tasks whose stop is still wanted.
func (w *worker) adopt(r machine.RenewReply) (acks []machine.TaskRef, stops []*rackAttempt) {
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	if !w.reachable || w.capacity != r.Capacity {
		w.tenure.notifyChanged()
	}
	w.adopted, w.reachable, w.capacity = true, true, r.Capacity
	now := w.tenure.owner.cfg.Now()
	listed := make(map[machine.TaskRef]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		ref := machine.TaskRef{Task: tr.ID, Attempt: tr.Attempt}
		listed[ref] = true
		a := w.attempts[ref]
		if a == nil {
			a = &rackAttempt{worker: w, task: fromTaskStart(tr.TaskStart), startedAt: now.Add(-time.Duration(tr.RanMS) * time.Millisecond)}
			w.attempts[ref] = a
		}
		if a.state == string(workload.Lost) && workload.TaskState(tr.State).Holds() {
			// The job scheduler may have placed the task again.
			a.stopMode = machine.ModeStop
			w.tenure.owner.counts.inc("anomaly", "lost_task_runs")
			stops = append(stops, a)
			continue
		}
		if a.state != string(workload.Lost) {
			a.setState(tr.State, "")
		}
		a.ranMS, a.exit, a.usage = tr.RanMS, tr.Exit, tr.Usage
		switch {
		case !a.holdsResources() && a.endRecorded:
			acks = append(acks, ref)
		case a.stopMode == machine.ModeResume && a.state == string(workload.Running):
			a.stopMode = ""
			w.tenure.notifyChanged()
		case a.holdsResources() && a.stopMode != "" && a.state != string(workload.Throttled):
			stops = append(stops, a)
		}
	}
	for ref, a := range w.attempts {
		if listed[ref] {
			continue
		}
		switch {
		case a.state == attemptPending && a.startSent && r.ClockMS > a.startNotAfterMS:
			a.setState(attemptNotStarted, "start_lost")
		case workload.TaskState(a.state).Holds():
			a.setState(string(workload.Lost), "not_in_inventory")
		case a.endRecorded:
			delete(w.attempts, ref)
		}
	}
	return acks, append(stops, w.resumeThrottled()...)
}

// resumeThrottled returns the throttled tasks that fit at full size again.
func (w *worker) resumeThrottled() (out []*rackAttempt) {
	free := w.free()
	for _, a := range w.attempts {
		missing := a.task.Resources.Sub(a.resources())
		if a.state == string(workload.Throttled) && missing.Fits(free) {
			a.stopMode = machine.ModeResume
			free = free.Sub(missing)
			out = append(out, a)
		}
	}
	return out
}

func (w *worker) removeAcknowledged(refs []machine.TaskRef) {
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	for _, ref := range refs {
		delete(w.attempts, ref)
	}
}

// startTask sends the start of h after its victims have ended.
func (w *worker) startTask(ctx context.Context, a *rackAttempt) {
	if len(a.victims) > 0 && !w.preempt(ctx, a) {
		w.tenure.mu.Lock()
		a.setState(attemptNotStarted, "preemption_failed")
		w.tenure.mu.Unlock()
		return
	}
	w.tenure.mu.Lock()
	stopped := a.state != attemptPending || a.stopMode != ""
	if stopped {
		a.setState(attemptNotStarted, "stopped_before_start")
	} else if w.draining() {
		// The worker began to leave while the start was queued.
		stopped = true
		a.setState(attemptNotStarted, "worker_leaving")
	}
	a.startSent = true
	w.tenure.mu.Unlock()
	if stopped {
		return
	}
	notAfter, err := w.client.Start(ctx, toTaskStart(a.task))
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	a.startNotAfterMS = notAfter
	switch {
	case err == nil:
		a.startedAt = w.tenure.owner.cfg.Now()
		a.setState(string(workload.Running), "")
	case errkind.Of(err) == errkind.OutcomeUnknown:
		// Only an inventory tells whether the task runs.
		w.tenure.owner.counts.inc("start", "unknown")
		w.renewNow = true
	default:
		w.tenure.owner.counts.inc("start", errkind.ReasonOf(err))
		a.setState(attemptNotStarted, errkind.ReasonOf(err))
		w.renewNow = true
	}
}

// preempt takes the victims of h off their resources and reports whether there
// is room for h.
func (w *worker) preempt(ctx context.Context, a *rackAttempt) bool {
	deadline := w.tenure.owner.cfg.Now().Add(preemptTimeout)
	for {
		for _, v := range a.victims {
			w.tenure.mu.Lock()
			runs := v.state == string(workload.Running)
			w.tenure.mu.Unlock()
			if runs {
				w.stopTask(ctx, v)
			}
		}
		w.sync(ctx)
		w.tenure.mu.Lock()
		fits := w.reachable && w.fits(a)
		w.tenure.mu.Unlock()
		if fits {
			return true
		}
		if w.tenure.owner.cfg.Now().After(deadline) || !pause.For(ctx, preemptPoll) {
			return false
		}
	}
}

// stopTask sends the wanted stop of h. The next inventory tells the outcome.
func (w *worker) stopTask(ctx context.Context, a *rackAttempt) {
	w.tenure.mu.Lock()
	mode, ref := a.stopMode, a.ref()
	w.tenure.mu.Unlock()
	if err := w.client.Stop(ctx, ref, mode); err != nil {
		w.tenure.owner.counts.inc("stop", errkind.ReasonOf(err))
	}
}
