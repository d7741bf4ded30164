package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// errSilent is the cause of calls given up on silent connections.
var errSilent = errors.New("silent link")

// start sends r to x, on which a slot is held for it.
func (g *group) start(x *executor, r *request, waited time.Duration, result chan<- reply) error {
	// The lock orders the check with close, and the tenure check comes last, so
	// that nothing is sent after the tenure has passed.
	g.mu.Lock()
	x.held--
	t, ok := g.s.cfg.Ownership.Tenure(g.key)
	now := time.Now()
	if g.closed || !ok || t.Epoch != g.epoch || !now.Before(t.Deadline) {
		g.assign()
		g.mu.Unlock()
		return errkind.New(errkind.NotOwner, "no_tenure", "%s", g.key)
	}
	// The run may last longer than the caller waits, but not forever.
	ctx, stop := context.WithDeadline(context.Background(), r.deadline.Add(g.s.cfg.DefaultDeadline))
	ctx, cancel := context.WithCancelCause(ctx)
	c := &run{exec: x, started: now, cancel: cancel}
	x.calls[c] = struct{}{}
	g.mu.Unlock()
	g.s.gate.hold()
	go func() {
		defer g.s.gate.leave()
		defer stop()
		defer cancel(nil)
		body, err := x.client.Run(ctx, machine.ExecutorRun{Epoch: uint64(g.epoch), ID: r.id.String(),
			Class: string(r.class), Body: r.body})
		if err != nil && context.Cause(ctx) == errSilent && errkind.Of(err) == errkind.OutcomeUnknown {
			err = errkind.Wrap(errkind.OutcomeUnknown, "silent_link", err)
		}
		g.finish(c, err)
		if err == nil && time.Now().After(r.deadline) {
			g.s.metrics.dropped.WithLabelValues("late_answer").Inc()
		}
		if errkind.Of(err) == errkind.OutcomeUnknown {
			g.s.metrics.dropped.WithLabelValues(errkind.ReasonOf(err)).Inc()
		}
		result <- reply{answer: Answer{ID: r.id.String(), Body: body, Waited: waited}, err: err, explicit: true}
	}()
	return nil
}

// finish settles the slot of c and judges the executor.
func (g *group) finish(c *run, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x, now := c.exec, time.Now()
	took := now.Sub(c.started)
	delete(x.calls, c)
	kind := errkind.Of(err)
	switch {
	case err == nil:
		g.runTime += 0.05 * (took.Seconds() - g.runTime)
		x.health.observe(true, took, g.s.cfg.EjectAfterFailures)
		g.ejectSlow(x, now)
	case kind == errkind.StaleEpoch:
		// Another owner is at work; the ownership module will tell.
	case kind == errkind.NoCapacity:
		x.foreign++
		x.uncertain = true
	default:
		if kind == errkind.OutcomeUnknown {
			// The run may still go on; the next hello tells.
			x.foreign++
			x.uncertain = true
		}
		// The slot stays taken for the rest of a usual run, so that failing fast
		// does not attract load.
		if rest := g.runTime - took.Seconds(); rest > 0 {
			x.held++
			time.AfterFunc(time.Duration(rest*float64(time.Second)), func() { g.unhold(x) })
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

func (g *group) unhold(x *executor) {
	g.mu.Lock()
	defer g.mu.Unlock()
	x.held--
	g.assign()
}

// ejectSlow ejects x if its run times are far above those of the others.
func (g *group) ejectSlow(x *executor, now time.Time) {
	if x.health.state != healthy || x.health.samples < minSamples {
		return
	}
	all := make([]*executor, 0, len(g.execs))
	for _, o := range g.execs {
		all = append(all, o)
	}
	if m := medianRunTime(all); m > 0 && x.health.runTime > m*g.s.cfg.EjectSlowFactor {
		g.eject(x, now, "slow")
	}
}

// eject takes x out, unless too many of the group are out already.
func (g *group) eject(x *executor, now time.Time, reason string) {
	out := 0
	for _, o := range g.execs {
		if o != x && o.health.state != healthy {
			out++
		}
	}
	if float64(out+1) > float64(len(g.execs))*g.s.cfg.MaxEjectedShare+1e-9 {
		g.s.metrics.ejections.WithLabelValues("not_ejected_share").Inc()
		return
	}
	x.health.eject(now, g.s.cfg.BaseEjectionTime)
	g.s.metrics.ejections.WithLabelValues(reason).Inc()
	g.s.cfg.Log.Warn().Str("event", "executor_ejected").Str("group", string(g.key)).Str("executor", x.host.ID).Str("reason", reason).
		Time("until", x.health.until).Send()
}

// probe says hello to the executors that are due and ends ejections.
func (g *group) probe(ctx context.Context) {
	t, ok := g.s.cfg.Ownership.Tenure(g.key)
	if !ok || t.Epoch != g.epoch {
		return
	}
	now := time.Now()
	g.mu.Lock()
	var due []*executor
	for _, x := range g.execs {
		if x.health.state == ejected && now.After(x.health.until) && x.up {
			x.health.state = trial
		}
		interval := g.s.cfg.ProbeInterval
		if x.uncertain || !x.up {
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
		go g.hello(ctx, x)
	}
}

func (g *group) hello(ctx context.Context, x *executor) {
	sent := time.Now()
	probe, cancel := context.WithTimeout(ctx, g.s.cfg.ProbeInterval)
	defer cancel()
	h, err := x.client.Hello(probe, uint64(g.epoch))
	g.mu.Lock()
	defer g.mu.Unlock()
	x.probing = false
	if err == nil {
		g.giveUp(x, x.learn(h, sent, g.s.cfg.SilentAfter))
		g.assign()
		return
	}
	if ctx.Err() != nil {
		return
	}
	// The next probe takes a new connection, in case this one went silent.
	x.client.CloseIdle()
	if errkind.Of(err) == errkind.StaleEpoch {
		x.up = false
		return
	}
	if x.up && sent.Sub(x.lastHello) >= g.s.cfg.SilentAfter {
		x.up, x.uncertain = false, true
		all := make([]*run, 0, len(x.calls))
		for c := range x.calls {
			all = append(all, c)
		}
		g.giveUp(x, all)
		g.s.cfg.Log.Warn().Str("event", "executor_unreachable").Str("group", string(g.key)).Str("executor", x.host.ID).Err(err).Send()
	}
}

// giveUp ends calls on silent connections; their outcome is unknown.
func (g *group) giveUp(x *executor, calls []*run) {
	if len(calls) == 0 {
		return
	}
	x.client.CloseIdle()
	for _, c := range calls {
		c.cancel(errSilent)
	}
	g.s.metrics.silent.Add(float64(len(calls)))
}
