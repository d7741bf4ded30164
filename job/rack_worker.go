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
	// maxQueuedCommands is the maximum number of commands that wait for one worker.
	maxQueuedCommands = 256
	// preemptTimeout bounds the wait for victims to end. It is a part of the 3.5 s within
	// which urgent work must start.
	preemptTimeout = 2 * time.Second
	// preemptPoll is the pause between two renewals while victims end.
	preemptPoll = 50 * time.Millisecond
	// endFetchDelay is the time from the end of a task by its declared run time to the renewal
	// that fetches its result.
	endFetchDelay = 20 * time.Millisecond
	// minRenewInterval is the minimum pause before a renewal that expected ends, pending
	// starts or repeated stops cause.
	minRenewInterval = 200 * time.Millisecond
)

// worker is one worker of a rack during one tenure. Its goroutine sends every command to the
// worker, one at a time.
type worker struct {
	tenure   *rackTenure
	host     upstream.Host
	client   *machine.WorkerClient
	commands chan func(context.Context)
	cancel   context.CancelFunc
	ctx      context.Context

	// The fields below are guarded by the lock of the tenure.
	attempts    map[machine.TaskRef]*rackAttempt
	capacity    machine.Resources
	adopted     bool      // an inventory was adopted in this tenure
	reachable   bool      // the last renewal was answered
	leaseExpiry time.Time // after it the leases of all tasks have certainly expired
	leaving     bool      // the host list does not show the worker as live
	renewNow    bool      // renew without waiting for the interval
}

func newWorker(t *rackTenure, host upstream.Host) *worker {
	w := &worker{
		tenure: t, host: host, commands: make(chan func(context.Context), maxQueuedCommands),
		attempts: make(map[machine.TaskRef]*rackAttempt),
	}
	w.ctx, w.cancel = context.WithCancel(t.ctx)
	w.capacity = host.Resources
	// The previous owner may have renewed until the end of its tenure, which was before the
	// end of the takeover wait.
	w.leaseExpiry = t.owner.cfg.Now().Add(w.maxLease())
	var transport http.RoundTripper
	if t.owner.cfg.NewTransport != nil {
		transport = t.owner.cfg.NewTransport()
	}
	w.client = machine.NewWorkerClient(machine.WorkerConfig{
		Transport: transport, Address: host.Address, Epoch: uint64(t.epoch), ClockDrift: t.owner.cfg.ClockDrift,
		Timeout: t.owner.cfg.WorkerTimeout, Now: t.owner.cfg.Now, Tenure: t.commandDeadline,
	})
	return w
}

// maxLease returns the lease by the clock of the rack owner if the clock of the worker is slow.
func (w *worker) maxLease() time.Duration {
	return time.Duration(float64(w.tenure.owner.cfg.Lease) * (1 + w.tenure.owner.cfg.ClockDrift))
}

// draining reports whether the worker takes no new tasks, because the host list
// or the configuration takes it out of use.
func (w *worker) draining() bool { return w.leaving || w.tenure.owner.cfg.Draining(w.host) }

func (w *worker) stop() { w.cancel() }

// leaseExpired reports whether the leases of all tasks of the worker have certainly expired.
func (w *worker) leaseExpired(now time.Time) bool { return now.After(w.leaseExpiry) }

// attemptsKnown reports whether the tasks of the worker are known or have certainly ended.
func (w *worker) attemptsKnown(now time.Time) bool { return w.adopted || w.leaseExpired(now) }

// free returns the capacity that no attempt holds. It may be negative.
func (w *worker) free() machine.Resources {
	free := w.capacity
	for _, a := range w.attempts {
		if a.holdsResources() {
			free = free.Sub(a.resources())
		}
	}
	return free
}

// fits reports whether a fits beside the attempts whose start was sent. Starts that are
// queued behind a don't count: each has victims or free capacity of its own.
func (w *worker) fits(a *rackAttempt) bool {
	free := w.capacity.Sub(a.resources())
	for _, other := range w.attempts {
		if other != a && other.holdsResources() && (other.startSent || other.state != attemptPending) {
			free = free.Sub(other.resources())
		}
	}
	return !free.Negative()
}

// remove forgets an attempt.
func (w *worker) remove(a *rackAttempt) {
	if w.attempts[a.ref()] == a {
		delete(w.attempts, a.ref())
		w.tenure.notifyChanged()
	}
}

// enqueue queues a command for the goroutine. It reports false if the queue is full.
func (w *worker) enqueue(cmd func(context.Context)) bool {
	select {
	case w.commands <- cmd:
		return true
	default:
		return false
	}
}

// run renews the lease and sends the queued commands until the worker is stopped.
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

// sync renews the lease, adopts the inventory in the answer, acknowledges recorded ends and
// repeats requested stops. It returns the time until the next renewal.
func (w *worker) sync(ctx context.Context) time.Duration {
	w.tenure.mu.Lock()
	w.renewNow = false
	probe := !w.reachable
	w.tenure.mu.Unlock()
	if probe {
		// A renewal that is not answered may have extended the lease, so leaseExpiry moves.
		// An unreachable worker is therefore probed by a call that extends nothing.
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

// nextSync returns the time until the next renewal. It is shorter when the declared run time
// of a task ends, or when an outcome or an acknowledgement is due, because a worker does not
// report by itself.
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

// markUnreachable marks the worker as unreachable after a failed renewal or probe, and all its
// tasks as lost once the lease has expired. It returns the time until the next probe.
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

// adopt applies the inventory in the answer to a renewal. It returns the ends to acknowledge,
// which the job scheduler has recorded, and the attempts whose stop must be sent again.
func (w *worker) adopt(r machine.RenewReply) (acks []machine.TaskRef, stops []*rackAttempt) {
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	if !w.reachable || w.capacity != r.Capacity {
		w.tenure.notifyChanged()
	}
	w.adopted, w.reachable, w.capacity = true, true, r.Capacity
	now := w.tenure.owner.cfg.Now()
	listed := make(map[machine.TaskRef]bool, len(r.Tasks))
	for _, task := range r.Tasks {
		ref := machine.TaskRef{Task: task.ID, Attempt: task.Attempt}
		listed[ref] = true
		a := w.attempts[ref]
		if a == nil {
			a = &rackAttempt{worker: w, task: fromMachineTaskSpec(task.TaskSpec),
				startedAt: now.Add(-time.Duration(task.ElapsedMS) * time.Millisecond)}
			w.attempts[ref] = a
		}
		if a.state == string(workload.Lost) && workload.TaskState(task.State).HoldsResources() {
			// The attempt was reported as lost, so the job scheduler may have started the task
			// elsewhere.
			a.stopMode = machine.ModeStop
			w.tenure.owner.counts.inc("anomaly", "lost_task_runs")
			stops = append(stops, a)
			continue
		}
		if a.state != string(workload.Lost) {
			a.setState(task.State, "")
		}
		a.ranMS, a.exit, a.usage = task.ElapsedMS, task.ExitCode, task.Usage
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
		case workload.TaskState(a.state).HoldsResources():
			a.setState(string(workload.Lost), "not_in_inventory")
		case a.endRecorded:
			delete(w.attempts, ref)
		}
	}
	return acks, append(stops, w.resumeThrottled()...)
}

// resumeThrottled returns the throttled attempts that fit with their full resources again,
// and requests machine.ModeResume for them.
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

// removeAcknowledged forgets attempts after the worker has confirmed their acknowledgement.
func (w *worker) removeAcknowledged(refs []machine.TaskRef) {
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	for _, ref := range refs {
		delete(w.attempts, ref)
	}
}

// startTask sends the start of a after its victims have released their resources.
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
		// The worker began to drain while the start was queued.
		stopped = true
		a.setState(attemptNotStarted, "worker_leaving")
	}
	a.startSent = true
	w.tenure.mu.Unlock()
	if stopped {
		return
	}
	notAfter, err := w.client.Start(ctx, toMachineTaskSpec(a.task))
	w.tenure.mu.Lock()
	defer w.tenure.mu.Unlock()
	a.startNotAfterMS = notAfter
	switch {
	case err == nil:
		a.startedAt = w.tenure.owner.cfg.Now()
		a.setState(string(workload.Running), "")
	case errkind.Of(err) == errkind.OutcomeUnknown:
		// Only an inventory shows whether the task runs.
		w.tenure.owner.counts.inc("start", "unknown")
		w.renewNow = true
	default:
		w.tenure.owner.counts.inc("start", errkind.ReasonOf(err))
		a.setState(attemptNotStarted, errkind.ReasonOf(err))
		w.renewNow = true
	}
}

// preempt sends the stops of the victims of a until a fits. It reports false if that does
// not happen within preemptTimeout.
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

// stopTask sends the requested stop of a. A later inventory shows the outcome.
func (w *worker) stopTask(ctx context.Context, a *rackAttempt) {
	w.tenure.mu.Lock()
	mode, ref := a.stopMode, a.ref()
	w.tenure.mu.Unlock()
	if err := w.client.Stop(ctx, ref, mode); err != nil {
		w.tenure.owner.counts.inc("stop", errkind.ReasonOf(err))
	}
}
