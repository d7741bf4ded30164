package cell

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// startTimeout is how long a start order waits for its answer. It is several
	// round trips between regions; a task that is not confirmed is placed again.
	startTimeout = 350 * time.Millisecond
	// stopTimeout is how long a stop order waits for its answer.
	stopTimeout = 500 * time.Millisecond
	// lookWait is how long a machine holds the answer to a look until a run ends.
	lookWait = 2 * time.Second
	// lookSlack bounds a look beyond the time that it may wait, and lookRetry is the
	// wait after a look that was not answered.
	lookSlack, lookRetry = 600 * time.Millisecond, 150 * time.Millisecond
	// eagerSlack and eagerRetry are the same for the first eagerLooks looks in a row
	// that do not wait for an end. The work that a former leader has accepted starts
	// when all machines have answered a new one, and some lose a look.
	eagerSlack, eagerRetry = 300 * time.Millisecond, 40 * time.Millisecond
	eagerLooks             = 3
	// looksAtOnce bounds the looks under way that do not wait for an end. A new leader
	// looks at all machines: without a bound their answers queue at its own processor,
	// and looks that run out of time are repeated and make it worse.
	looksAtOnce = 256
	// ackWait is how long the next look waits for the ends of the last one to be
	// stored, so that it acknowledges them.
	ackWait = 250 * time.Millisecond
	// tendEvery is the interval at which new machines are noticed.
	tendEvery = 100 * time.Millisecond
)

// tend keeps one goroutine for each machine of the engine.
func (l *lead) tend(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() {
		for {
			l.tendAll(ctx, group)
			if !pause.For(ctx, tendEvery) {
				return
			}
		}
	})
}

func (l *lead) tendAll(ctx context.Context, group *sync.WaitGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[string]bool)
	for _, v := range l.engine.Machines() {
		id := v.Machine.ID
		known[id] = true
		if l.tended[id] == nil {
			own, cancel := context.WithCancel(ctx)
			l.tended[id] = cancel
			group.Go(func() { l.look(own, id) })
		}
	}
	for id, cancel := range l.tended {
		if !known[id] {
			cancel()
			delete(l.tended, id)
		}
	}
}

// look follows one machine until ctx ends.
func (l *lead) look(ctx context.Context, id string) {
	wait := time.Duration(0)
	silent := false
	for tries := 1; ctx.Err() == nil; tries++ {
		slack, retry := lookSlack, lookRetry
		if wait == 0 && tries <= eagerLooks {
			slack, retry = eagerSlack, eagerRetry
		}
		err := l.lookOnce(ctx, id, wait, slack)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if silent {
				l.log.Info().Str("event", "dependency_regained").Str("dependency", "machine").Str("machine", id).Send()
			}
			silent = false
			tries = 0
			wait = l.awaitStored(ctx, id)
		default:
			if !silent {
				l.log.Warn().Str("event", "dependency_lost").Str("dependency", "machine").Str("machine", id).Err(err).Send()
			}
			silent = true
			l.unanswered(id)
			if errkind.Of(err) == errkind.NotFound {
				l.replaced(id)
			}
			wait = 0
			pause.For(ctx, retry)
		}
	}
}

// lookOnce makes one look and hands the answer to the engine. It waits up to wait
// for an end, and slack longer for the answer.
func (l *lead) lookOnce(ctx context.Context, id string, wait, slack time.Duration) error {
	if wait == 0 {
		select {
		case l.looks <- struct{}{}:
			defer func() { <-l.looks }()
		case <-ctx.Done():
			return errkind.Wrap(errkind.Unreachable, "not_looked", ctx.Err())
		}
	}
	l.mu.Lock()
	view, ok := l.engine.Machine(id)
	end, ack := l.engine.GrantLease(id, l.clock())
	l.mu.Unlock()
	if !ok {
		return errkind.New(errkind.Unreachable, "machine_unknown", "machine %s is not known", id)
	}
	if !l.d.tenure.Held() {
		end = 0 // only a leader whose tenure is confirmed extends leases
	}
	limited, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	sent := l.clock()
	seen, err := l.d.set.Machines.Poll(limited, view.Machine, view.Token, end, ack, wait)
	if err != nil {
		return err
	}
	seen.Sent = sent
	l.mu.Lock()
	l.engine.PollAnswered(id, view.Token, seen, l.clock())
	l.mu.Unlock()
	if len(seen.Ended) > 0 {
		kick(l.flushSoon)
	}
	kick(l.planSoon)
	return nil
}

// awaitStored waits until the ends of the last look are stored, and returns how
// long the next look may wait for an end.
func (l *lead) awaitStored(ctx context.Context, id string) time.Duration {
	deadline := l.clock() + ackWait
	for {
		l.mu.Lock()
		ackable, processed := l.engine.EndNumbers(id)
		urgent := l.engine.NeedsPoll(id)
		stored := l.stored
		l.mu.Unlock()
		left := deadline - l.clock()
		switch {
		case urgent:
			pause.For(ctx, planGap)
			return 0
		case processed <= ackable:
			return lookWait
		case left <= 0:
			return 0
		}
		select {
		case <-stored:
		case <-ctx.Done():
			return 0
		case <-time.After(left):
		}
	}
}

// unanswered tells the engine that a machine did not answer. A leader that does not
// reach most machines leaves them to another one.
func (l *lead) unanswered(id string) {
	l.mu.Lock()
	l.engine.PollUnanswered(id)
	silent, all := l.engine.UnresponsiveMachines()
	others := len(l.peers)
	l.mu.Unlock()
	kick(l.flushSoon)
	if others > 0 && silent*2 > all && l.clock()-l.began > reachGrace {
		l.d.tenure.Resign("this daemon does not reach most machines")
	}
}

// reachGrace is how long a new leader has to reach its machines. Those that are
// down are not more than half, unless it is the leader that is cut off.
const reachGrace = 2 * time.Second

// replaced tells the engine that another incarnation answers at the address of a machine.
func (l *lead) replaced(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine.MachineReplaced(id, l.clock())
	kick(l.planSoon)
}

// start sends a start order.
func (l *lead) start(ctx context.Context, o sched.Start) {
	l.mu.Lock()
	end, _ := l.engine.GrantLease(o.Machine.ID, l.clock())
	l.mu.Unlock()
	outcome := sched.NotSent
	var err error
	sent := l.clock()
	if l.d.tenure.Held() && end != 0 {
		limited, cancel := context.WithTimeout(ctx, startTimeout)
		outcome, err = l.d.set.Machines.Start(limited, o, end)
		cancel()
		l.d.set.Metrics.StartOrderSeconds.Observe((l.clock() - sent).Seconds())
	}
	if err != nil {
		l.log.Warn().Str("event", "start_failed").Str("task", o.Task).Int64("run", o.Run).Str("machine", o.Machine.ID).Err(err).Send()
	}
	l.d.set.Metrics.StartOrders.WithLabelValues(string(outcome)).Inc()
	l.mu.Lock()
	l.engine.StartAnswered(o, outcome, l.clock())
	l.mu.Unlock()
	if outcome != sched.Started {
		kick(l.planSoon)
	}
	if outcome == sched.RefusedStaleToken {
		l.d.tenure.Resign("a machine has seen a newer leader")
	}
}

// stop sends a stop order.
func (l *lead) stop(ctx context.Context, o sched.Stop) {
	if !l.d.tenure.Held() {
		return
	}
	limited, cancel := context.WithTimeout(ctx, stopTimeout)
	err := l.d.set.Machines.Stop(limited, o)
	cancel()
	if err != nil {
		l.d.set.Metrics.Retries.WithLabelValues("stop").Inc()
		l.log.Warn().Str("event", "stop_failed").Str("task", o.Task).Int64("run", o.Run).Str("machine", o.Machine.ID).Err(err).Send()
	}
	l.mu.Lock()
	l.engine.StopAnswered(o, err == nil, l.clock())
	urgent := l.engine.NeedsPoll(o.Machine.ID)
	l.mu.Unlock()
	if urgent {
		// The look under way may wait for long; a second one settles the stop.
		if err := l.lookOnce(ctx, o.Machine.ID, 0, lookSlack); err != nil {
			l.log.Debug().Str("event", "look_failed").Str("machine", o.Machine.ID).Err(err).Send()
		}
	}
}
