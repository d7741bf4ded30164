package cell

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// startTimeout is how long a start order waits for its answer. It is several round trips between
	// regions; a task whose start is not confirmed is placed again.
	startTimeout = 350 * time.Millisecond
	// stopTimeout is how long a stop order waits for its answer.
	stopTimeout = 500 * time.Millisecond
	// pollWait is how long a machine may delay its answer to a poll until a run ends.
	pollWait = 2 * time.Second
	// pollTimeoutSlack is the part of a poll's timeout beyond the time that the machine may wait, and
	// pollRetryWait is the pause after a poll that was not answered.
	pollTimeoutSlack, pollRetryWait = 600 * time.Millisecond, 150 * time.Millisecond
	// earlyPollTimeoutSlack and earlyPollRetryWait are the same for the first maxEarlyPolls attempts in
	// a row that do not wait for an end. A new leader starts the work that its predecessor has accepted
	// only when all machines have answered, and some polls are lost.
	earlyPollTimeoutSlack, earlyPollRetryWait = 300 * time.Millisecond, 40 * time.Millisecond
	maxEarlyPolls                             = 3
	// maxBrokenPolls bounds the polls in a row that are repeated at once because their connection broke.
	// The machine keeps taking work meanwhile: a reset says nothing about it, and the repetition goes
	// over another connection. Several may be needed, since all idle connections may have been reset.
	maxBrokenPolls = 3
	// maxConcurrentPolls bounds the running polls that do not wait for an end. A new leader polls all
	// machines: without a bound the answers queue for its processor, polls time out, and their
	// repetitions add to the load.
	maxConcurrentPolls = 256
	// ackWait bounds the delay of the next poll while the ends reported by the last one cannot be
	// acknowledged yet. The poll acknowledges those that can.
	ackWait = 250 * time.Millisecond
	// pollerSyncInterval is the interval at which pollers are started for new machines and stopped
	// for forgotten ones.
	pollerSyncInterval = 100 * time.Millisecond
)

// runPollers starts a goroutine that keeps one poller running for each machine of the engine.
func (l *leadership) runPollers(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() {
		for {
			l.syncPollers(ctx, group)
			if !pause.For(ctx, pollerSyncInterval) {
				return
			}
		}
	})
}

// syncPollers starts pollers for new machines and stops those of machines that the engine has
// forgotten.
func (l *leadership) syncPollers(ctx context.Context, group *sync.WaitGroup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[string]bool)
	for _, v := range l.engine.Machines() {
		id := v.Machine.ID
		known[id] = true
		if l.pollCancels[id] == nil {
			pollCtx, cancel := context.WithCancel(ctx)
			l.pollCancels[id] = cancel
			group.Go(func() { l.pollMachine(pollCtx, id) })
		}
	}
	for id, cancel := range l.pollCancels {
		if !known[id] {
			cancel()
			delete(l.pollCancels, id)
		}
	}
}

// pollMachine polls one machine repeatedly until ctx ends.
func (l *leadership) pollMachine(ctx context.Context, id string) {
	wait := time.Duration(0)
	unresponsive := false
	brokenPolls := 0
	answeredAt := l.clock() // last answer; before the first, when the polls began
	for attempt := 1; ctx.Err() == nil; attempt++ {
		slack, retry := pollTimeoutSlack, pollRetryWait
		if wait == 0 && attempt <= maxEarlyPolls {
			slack, retry = earlyPollTimeoutSlack, earlyPollRetryWait
		}
		err := l.pollOnce(ctx, id, wait, slack)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			now := l.clock()
			if unresponsive {
				l.daemon.settings.Metrics.MachineSilence.Observe((now - answeredAt).Seconds())
				l.logger.Info().Str("event", "dependency_regained").Str("dependency", "machine").Str("machine", id).
					Int64("silent_ms", (now - answeredAt).Milliseconds()).Send()
			}
			unresponsive, answeredAt = false, now
			attempt, brokenPolls = 0, 0
			wait = l.awaitEndsStored(ctx, id)
		case errkind.Of(err) == errkind.Unreachable && !errors.Is(err, context.DeadlineExceeded) && brokenPolls < maxBrokenPolls && !unresponsive:
			brokenPolls++
			wait = 0
			l.daemon.settings.Metrics.PollFailures.WithLabelValues(errkind.ReasonOf(err)).Inc()
			l.logger.Info().Str("event", "poll_connection_broken").Str("machine", id).Err(err).Send()
		default:
			l.daemon.settings.Metrics.PollFailures.WithLabelValues(errkind.ReasonOf(err)).Inc()
			if !unresponsive {
				l.logger.Warn().Str("event", "dependency_lost").Str("dependency", "machine").Str("machine", id).Err(err).Send()
			}
			unresponsive = true
			l.recordUnanswered(id)
			if errkind.Of(err) == errkind.NotFound {
				l.recordReplaced(id)
			}
			wait = 0
			pause.For(ctx, retry)
		}
	}
}

// pollOnce polls a machine once and hands the answer to the engine. The machine may delay its
// answer up to wait until a run ends; the poll times out slack later. A poll with a wait of 0 occupies
// one of pollSlots.
func (l *leadership) pollOnce(ctx context.Context, id string, wait, slack time.Duration) error {
	if wait == 0 {
		select {
		case l.pollSlots <- struct{}{}:
			defer func() { <-l.pollSlots }()
		case <-ctx.Done():
			return errkind.Wrap(errkind.Unreachable, "not_looked", ctx.Err())
		}
	}
	l.mu.Lock()
	view, ok := l.engine.Machine(id)
	leaseEnd, ack := l.engine.GrantLease(id, l.clock())
	l.mu.Unlock()
	if !ok {
		return errkind.New(errkind.Unreachable, "machine_unknown", "machine %s is not known", id)
	}
	if !l.daemon.tenure.Held() {
		leaseEnd = 0 // only a leader whose tenure is confirmed extends leases
	}
	limited, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	sent := l.clock()
	result, err := l.daemon.settings.Machines.Poll(limited, view.Machine, view.Token, leaseEnd, ack, wait)
	if errkind.Of(err) == errkind.StaleEpoch && l.tokenRaised(id, view.Token) {
		return nil // the next poll has the new token
	}
	if err != nil {
		return err
	}
	result.Sent = sent
	l.mu.Lock()
	l.engine.PollAnswered(id, view.Token, result, l.clock())
	l.mu.Unlock()
	if len(result.Ended) > 0 {
		notify(l.flushSignal)
	}
	notify(l.planSignal)
	return nil
}

// awaitEndsStored waits up to ackWait until the ends reported by the last poll can be acknowledged, and
// returns how long the next poll may wait for an end: pollWait, or 0 if they cannot by then.
// If the engine needs a poll now, it returns 0 after a pause of minPlanInterval.
func (l *leadership) awaitEndsStored(ctx context.Context, id string) time.Duration {
	deadline := l.clock() + ackWait
	for {
		l.mu.Lock()
		acknowledgeable, processed := l.engine.EndNumbers(id)
		urgent := l.engine.NeedsPoll(id)
		stored := l.recordsStored
		l.mu.Unlock()
		remaining := deadline - l.clock()
		switch {
		case urgent:
			pause.For(ctx, minPlanInterval)
			return 0
		case processed <= acknowledgeable:
			return pollWait
		case remaining <= 0:
			return 0
		}
		select {
		case <-stored:
		case <-ctx.Done():
			return 0
		case <-time.After(remaining):
		}
	}
}

// recordUnanswered tells the engine that a machine did not answer a poll. A leader that does not
// reach most machines resigns if there are other daemons.
func (l *leadership) recordUnanswered(id string) {
	l.mu.Lock()
	l.engine.PollUnanswered(id)
	unresponsive, all := l.engine.UnresponsiveMachines()
	now := l.clock()
	cutOff := l.reach.lost(unresponsive, all, now-l.startedAt, now) && len(l.peers) > 0
	l.mu.Unlock()
	notify(l.flushSignal)
	if cutOff {
		l.logger.Warn().Str("event", "machines_out_of_reach").Int("unresponsive", unresponsive).Int("all", all).Send()
		l.daemon.tenure.Resign("this daemon does not reach most machines")
	}
}

const (
	// machineReachGrace is how long a new leader has to reach its machines. If more than half of them do
	// not answer after that, the leader itself is considered cut off.
	machineReachGrace = 2 * time.Second
	// reachLossPeriod is how long most machines must have been unresponsive before the leader itself is
	// considered cut off. It is longer than a few polls of machines whose connections were all broken
	// by one event.
	reachLossPeriod = 600 * time.Millisecond
)

// machineReach judges whether a leader is cut off from its machines.
type machineReach struct {
	lostSince time.Duration // since when most machines are unresponsive, 0 if they are not
}

// lost takes into account how many of all machines are unresponsive now, and reports whether most of
// them have been for reachLossPeriod; it does so once in such a period. It is false for a leader that
// is younger than machineReachGrace.
func (r *machineReach) lost(unresponsive, all int, leadingFor, now time.Duration) bool {
	if unresponsive*2 <= all || leadingFor <= machineReachGrace {
		r.lostSince = 0
		return false
	}
	if r.lostSince == 0 {
		r.lostSince = now
	}
	if now-r.lostSince < reachLossPeriod {
		return false
	}
	r.lostSince = now // the leader gives up and logs that once, although further polls fail meanwhile
	return true
}

// recordReplaced tells the engine that another incarnation answers at the address of a machine.
func (l *leadership) recordReplaced(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine.MachineReplaced(id, l.clock())
	notify(l.planSignal)
}

// sendStart sends a start order and hands its outcome to the engine. The order is not sent while the
// tenure is not held, if the lease of the machine is not known or not extended, or if the token of the machine was raised
// or the run was given up while the order waited. If the machine has seen a higher fencing token, the leader resigns. It
// returns the outcome.
func (l *leadership) sendStart(ctx context.Context, o sched.Start) sched.StartOutcome {
	l.mu.Lock()
	leaseEnd, _ := l.engine.GrantLease(o.Machine.ID, l.clock())
	due := l.engine.StartDue(o)
	view, _ := l.engine.Machine(o.Machine.ID)
	l.mu.Unlock()
	outcome := sched.NotSent
	var err error
	sent := l.clock()
	if l.daemon.tenure.Held() && leaseEnd != 0 && o.Token == view.Token && due {
		limited, cancel := context.WithTimeout(ctx, startTimeout)
		outcome, err = l.daemon.settings.Machines.Start(limited, o, leaseEnd)
		cancel()
		l.daemon.settings.Metrics.StartOrderSeconds.Observe((l.clock() - sent).Seconds())
	}
	if err != nil {
		l.logger.Warn().Str("event", "start_failed").Str("task", o.Task).Int64("run", o.Run).Str("machine", o.Machine.ID).Err(err).Send()
	}
	l.recordStart(o, outcome)
	if outcome == sched.RefusedStaleToken && !l.tokenRaised(o.Machine.ID, o.Token) {
		l.daemon.tenure.Resign("a machine has seen a newer leader")
	}
	return outcome
}

// tokenRaised reports whether this leader itself has raised the token of a machine above token.
func (l *leadership) tokenRaised(machine string, token int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	view, known := l.engine.Machine(machine)
	return known && view.Token > token
}

// recordStart hands the outcome of a start order to the engine.
func (l *leadership) recordStart(o sched.Start, outcome sched.StartOutcome) {
	l.daemon.settings.Metrics.StartOrders.WithLabelValues(string(outcome)).Inc()
	l.mu.Lock()
	l.engine.StartAnswered(o, outcome, l.clock())
	l.mu.Unlock()
	if outcome != sched.Started {
		notify(l.planSignal)
	}
}

// sendStop sends a stop order and hands its outcome to the engine. It does nothing while the tenure
// is not held; the engine repeats the order.
func (l *leadership) sendStop(ctx context.Context, o sched.Stop) {
	if !l.daemon.tenure.Held() {
		return
	}
	limited, cancel := context.WithTimeout(ctx, stopTimeout)
	err := l.daemon.settings.Machines.Stop(limited, o)
	cancel()
	if err != nil {
		l.daemon.settings.Metrics.Retries.WithLabelValues("stop").Inc()
		l.logger.Warn().Str("event", "stop_failed").Str("task", o.Task).Int64("run", o.Run).Str("machine", o.Machine.ID).Err(err).Send()
	}
	l.mu.Lock()
	l.engine.StopAnswered(o, err == nil, l.clock())
	urgent := l.engine.NeedsPoll(o.Machine.ID)
	l.mu.Unlock()
	if urgent {
		// The poller's current poll may wait for long; another one shows immediately whether the run has ended.
		if err := l.pollOnce(ctx, o.Machine.ID, 0, pollTimeoutSlack); err != nil {
			l.logger.Debug().Str("event", "look_failed").Str("machine", o.Machine.ID).Err(err).Send()
		}
	}
}
