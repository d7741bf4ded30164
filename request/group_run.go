package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// errSilentLink is the cause with which runs on silent connections are cancelled.
var errSilentLink = errors.New("silent link")

// startRun sends r to x, on which a slot is held for it. The reply goes to result.
// Without a valid tenure of the group it sends nothing and returns an error.
func (g *group) startRun(x *executor, r *request, waited time.Duration, result chan<- reply) error {
	// The lock orders the check of g.closed with close. The tenure is checked last,
	// so that nothing is sent after it has passed.
	g.mu.Lock()
	x.held--
	t, ok := g.s.cfg.Ownership.Tenure(g.key)
	now := time.Now()
	if g.closed || !ok || t.Epoch != g.epoch || !now.Before(t.Deadline) {
		g.assign()
		g.mu.Unlock()
		return errkind.New(errkind.NotOwner, "no_tenure", "this daemon has no valid tenure of %s", g.key)
	}
	// The run may last longer than the caller waits, but not without limit.
	ctx, stop := context.WithDeadline(context.Background(), r.deadline.Add(g.s.cfg.DefaultDeadline))
	ctx, cancel := context.WithCancelCause(ctx)
	c := &run{exec: x, started: now, cancel: cancel}
	x.inFlight[c] = struct{}{}
	g.mu.Unlock()
	g.s.gate.forceEnter()
	go func() {
		defer g.s.gate.leave()
		defer stop()
		defer cancel(nil)
		body, err := x.client.Run(ctx, machine.ExecutorRun{Epoch: uint64(g.epoch), ID: r.id.String(),
			Class: string(r.class), Body: r.body})
		if err != nil && context.Cause(ctx) == errSilentLink && errkind.Of(err) == errkind.OutcomeUnknown {
			err = errkind.Wrap(errkind.OutcomeUnknown, "silent_link", err)
		}
		g.finishRun(c, err)
		if err == nil && time.Now().After(r.deadline) {
			g.s.metrics.droppedAnswers.WithLabelValues("late_answer").Inc()
		}
		if errkind.Of(err) == errkind.OutcomeUnknown {
			g.s.metrics.droppedAnswers.WithLabelValues(errkind.ReasonOf(err)).Inc()
		}
		result <- reply{answer: Answer{ID: r.id.String(), Body: body, Waited: waited}, err: err, explicit: true}
	}()
	return nil
}

// finishRun accounts for the slot of the ended run c and updates the health of its
// executor.
func (g *group) finishRun(c *run, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x, now := c.exec, time.Now()
	took := now.Sub(c.started)
	delete(x.inFlight, c)
	kind := errkind.Of(err)
	switch {
	case err == nil:
		g.meanRunSeconds += 0.05 * (took.Seconds() - g.meanRunSeconds)
		x.health.observe(true, took, g.s.cfg.EjectAfterFailures)
		g.ejectSlow(x, now)
	case kind == errkind.StaleEpoch:
		// Another owner has taken over; the ownership watch closes this group.
	case kind == errkind.NoCapacity:
		// The executor is full, so that a run this owner does not track has a slot.
		x.foreign++
		x.foreignStale = true
	default:
		if kind == errkind.OutcomeUnknown {
			// The run may still go on; the next hello shows whether its slot is busy.
			x.foreign++
			x.foreignStale = true
		}
		// The slot is held for the rest of a usual run time, so that an executor that
		// fails fast does not attract load.
		if remaining := g.meanRunSeconds - took.Seconds(); remaining > 0 {
			x.held++
			time.AfterFunc(time.Duration(remaining*float64(time.Second)), func() { g.releaseHeld(x) })
		}
		if x.health.observe(false, took, g.s.cfg.EjectAfterFailures) {
			g.eject(x, now, errkind.ReasonOf(err))
		}
	}
	if g.closed {
		x.client.CloseIdle()
	}
	g.assign()
}

// releaseHeld frees a slot that was held after a failure.
func (g *group) releaseHeld(x *executor) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x.held--
	g.assign()
}

// ejectSlow ejects x if its run time is above Config.EjectSlowFactor times the median of
// the group. g.mu must be held.
func (g *group) ejectSlow(x *executor, now time.Time) {
	if x.health.state != healthy || x.health.samples < minSamples {
		return
	}
	all := make([]*executor, 0, len(g.executors))
	for _, o := range g.executors {
		all = append(all, o)
	}
	if m := medianRunTime(all); m > 0 && x.health.runTime > m*g.s.cfg.EjectSlowFactor {
		g.eject(x, now, "slow")
	}
}

// eject ejects x, unless that would put more than Config.MaxEjectedShare of the
// executors of the group out of the healthy state. g.mu must be held.
func (g *group) eject(x *executor, now time.Time, reason string) {
	notHealthy := 0
	for _, o := range g.executors {
		if o != x && o.health.state != healthy {
			notHealthy++
		}
	}
	// 1e-9 absorbs rounding, so that a share of exactly the limit is allowed.
	if float64(notHealthy+1) > float64(len(g.executors))*g.s.cfg.MaxEjectedShare+1e-9 {
		g.s.metrics.ejections.WithLabelValues("not_ejected_share").Inc()
		return
	}
	x.health.eject(now, g.s.cfg.BaseEjectionTime)
	g.s.metrics.ejections.WithLabelValues(reason).Inc()
	g.s.cfg.Log.Warn().Str("event", "executor_ejected").Str("group", string(g.key)).Str("executor", x.host.ID).
		Str("reason", reason).Time("until", x.health.ejectedUntil).Send()
}

// probeExecutors moves executors whose ejection has ended into the trial state and sends
// a hello to every executor that has answered none for its interval. The interval is
// Config.ProbeInterval, and a tenth of it for executors that are not up or whose foreign
// runs are not known.
func (g *group) probeExecutors(ctx context.Context) {
	t, ok := g.s.cfg.Ownership.Tenure(g.key)
	if !ok || t.Epoch != g.epoch {
		return
	}
	now := time.Now()
	g.mu.Lock()
	var due []*executor
	for _, x := range g.executors {
		if x.health.state == ejected && now.After(x.health.ejectedUntil) && x.up {
			x.health.state = trial
		}
		interval := g.s.cfg.ProbeInterval
		if x.foreignStale || !x.up {
			interval /= 10
		}
		if !x.probing && now.Sub(x.lastHello) >= interval {
			x.probing = true
			due = append(due, x)
		}
	}
	g.assign()
	g.mu.Unlock()
	for _, x := range due {
		go g.sendHello(ctx, x)
	}
}

// sendHello sends a hello to x and updates x from the answer. If none is answered for
// Config.SilentAfter, x counts as unreachable and its runs are abandoned.
func (g *group) sendHello(ctx context.Context, x *executor) {
	sent := time.Now()
	helloCtx, cancel := context.WithTimeout(ctx, g.s.cfg.ProbeInterval)
	defer cancel()
	h, err := x.client.Hello(helloCtx, uint64(g.epoch))
	g.mu.Lock()
	defer g.mu.Unlock()
	x.probing = false
	if err == nil {
		g.abandonRuns(x, x.applyHello(h, sent, g.s.cfg.SilentAfter))
		g.assign()
		return
	}
	if ctx.Err() != nil {
		return
	}
	// The next hello uses a new connection, in case this one went silent.
	x.client.CloseIdle()
	if errkind.Of(err) == errkind.StaleEpoch {
		x.up = false
		return
	}
	if x.up && sent.Sub(x.lastHello) >= g.s.cfg.SilentAfter {
		x.up, x.foreignStale = false, true
		all := make([]*run, 0, len(x.inFlight))
		for c := range x.inFlight {
			all = append(all, c)
		}
		g.abandonRuns(x, all)
		g.s.cfg.Log.Warn().Str("event", "executor_unreachable").Str("group", string(g.key)).Str("executor", x.host.ID).
			Err(err).Send()
	}
}

// abandonRuns cancels runs on silent connections; their outcome is unknown. g.mu must be
// held.
func (g *group) abandonRuns(x *executor, runs []*run) {
	if len(runs) == 0 {
		return
	}
	x.client.CloseIdle()
	for _, c := range runs {
		c.cancel(errSilentLink)
	}
	g.s.metrics.silentLinks.Add(float64(len(runs)))
}
