package sched

import (
	"slices"
	"time"
)

// leaseClock relates a machine's steady clock to the engine's clock, and tracks the
// leases on it.
type leaseClock struct {
	maxLease   time.Duration // that is asked for
	longest    time.Duration // that the machine takes
	known      bool          // there is a reading
	reading    int64         // ms on the machine's clock
	readAt     time.Duration // when the reading arrived; the machine's clock had reached it by then
	grantedEnd int64         // latest end of a lease that may have been granted, ms on the machine's clock
}

// observe takes a reading of the machine's clock, in ms, into account. A lower one than
// the last is ignored: answers can overtake each other.
func (c *leaseClock) observe(reading int64, now time.Duration) {
	if !c.known {
		// A former leader may have granted a full lease just before, or an order to a former incarnation
		// the longest one.
		c.grantedEnd = max(c.grantedEnd, reading+c.longest.Milliseconds())
	}
	if !c.known || reading >= c.reading {
		c.known, c.reading, c.readAt = true, reading, now
	}
}

// renewWindow is the time after the last reading of a machine's clock in which its lease
// is extended. It covers a poll that waits and is repeated once. The bound keeps orders
// to an unresponsive machine from extending its lease forever.
const renewWindow = 3 * time.Second

// grant returns the end of a full lease, in ms on the machine's clock, and records it as
// granted. Later than renewWindow after the last reading the end does not rise any more.
// It returns 0 if the machine's clock is not known.
func (c *leaseClock) grant(now time.Duration) int64 {
	if !c.known {
		return 0
	}
	end := c.reading + (min(now-c.readAt, renewWindow) + c.maxLease).Milliseconds()
	c.grantedEnd = max(c.grantedEnd, end)
	return end
}

// expired reports whether every lease that may have been granted has ended, even if the
// machine's clock is slow by maxClockDrift. It is false while the clock is not known.
func (c *leaseClock) expired(now time.Duration) bool {
	if !c.known {
		return false
	}
	minReading := c.reading + int64(float64((now-c.readAt).Milliseconds())*(1-maxClockDrift))
	return minReading > c.grantedEnd+leaseSlack.Milliseconds()
}

// GrantLease returns what the leader sends to a machine with a poll or a start order:
// the end of the lease that it grants, in ms on the machine's clock (0 if that is not
// known yet, or the lease is not to be extended), and the number up to which ends can be acknowledged. Both are 0 for an
// unknown machine.
func (e *Engine) GrantLease(id string, now time.Duration) (leaseEnd, ack int64) {
	m := e.machines[id]
	if m == nil {
		return 0, 0
	}
	if m.leaseWithheld {
		return 0, m.acknowledgeable()
	}
	return m.clock.grant(now), m.acknowledgeable()
}

// EndNumbers returns the numbers up to which ends of a machine can be acknowledged, and up
// to which they are taken into account. Both are 0 for an unknown machine.
func (e *Engine) EndNumbers(id string) (acknowledgeable, processed int64) {
	if m := e.machines[id]; m != nil {
		return m.acknowledgeable(), m.processedEnds
	}
	return 0, 0
}

// expireLeases closes the runs of machines whose leases have expired, or that have
// restarted and not answered since, removes machines that have left the host list, have
// no runs and have not answered for leaseHorizon, and resolves the runs of former leaders.
func (e *Engine) expireLeases(now time.Duration) {
	for _, m := range slices.Clone(e.byID) {
		id := m.spec.ID
		if len(m.runs) > 0 && m.polled && m.clock.expired(now) {
			e.log.Warn().Str("event", "machine_lapsed").Str("machine", id).Int("runs", len(m.runs)).
				Int64("silent_ms", (now - m.answeredAt).Milliseconds()).Send()
			for _, r := range m.sortedRuns() {
				e.closeRun(r, now, "lease_lapsed")
			}
			m.health.reset(now)
		}
		if !m.polled {
			e.closeRunsInDoubt(m, now)
		}
		gone := !m.inHostList && len(m.runs) == 0 && now-m.answeredAt > e.leaseHorizon()
		if gone && !m.mayHaveFormerRuns {
			e.removeMachine(m)
			e.journal.droppedKeys = append(e.journal.droppedKeys, machineKey(id))
			e.log.Info().Str("event", "machine_forgotten").Str("machine", id).Send()
		}
	}
	if now-e.termStart > e.leaseHorizon() {
		for _, m := range e.byID {
			if (m.moreEnds || m.incompleteSince != 0) && !m.clock.expired(now) {
				continue // this leader extends its lease, and reads its lists
			}
			if m.mayHaveFormerRuns && m.unresponsive && !m.tasksRecorded {
				m.tasksRecorded = true // nothing of former leaders runs on it any more
				e.recordMachine(m)
			}
			m.mayHaveFormerRuns = false
		}
	}
	if !e.runsResolved {
		e.resolveRuns(now)
	}
}

// maxOrderDelay bounds the time after which a machine carries out an order that it has
// received and not answered.
const maxOrderDelay = 12 * time.Second

// closeRunsInDoubt closes the runs of a machine that has restarted and not answered since,
// once the new incarnation cannot run them any more. It had no lease when it started, polls
// grant none before its first answer, and start orders are not sent. So a run whose start
// was answered ends within leaseHorizon; another one may start maxOrderDelay later. The end
// of the lease in a start order is no bound, since the clock of the machine starts anew.
func (e *Engine) closeRunsInDoubt(m *machineState, now time.Duration) {
	for _, r := range m.sortedRuns() {
		latestStart := max(r.inDoubtSince, r.confirmedAt)
		if r.confirmedAt == 0 {
			latestStart += maxOrderDelay
		}
		if now-latestStart > e.leaseHorizon() {
			e.closeRun(r, now, "not_seen_after_restart")
		}
	}
}

// leaseHorizon returns the time after which a lease that was granted before has ended on
// any clock that is slow by at most maxClockDrift.
func (e *Engine) leaseHorizon() time.Duration {
	return time.Duration(float64(e.cfg.LongestLease)*(1+maxClockDrift)) + leaseSlack
}

// resolveRuns sets runsResolved unless there can still be unknown runs of former leaders:
// on a machine that has not answered with readable lists and all its ends, whose possible
// tasks no record names, and whose lease may not have expired.
func (e *Engine) resolveRuns(now time.Duration) {
	for _, m := range e.byID {
		if m.mayHaveFormerRuns && !m.tasksRecorded {
			return
		}
	}
	e.runsResolved = true
	e.log.Info().Str("event", "runs_settled").Int64("after_ms", (now - e.termStart).Milliseconds()).Send()
}

// RunsResolved reports whether every run of former leaders is known, has ended, or is of
// a task that the record of its unresponsive machine names. Before that, no task of a
// restored job is placed; after it, only the named tasks wait. It is false on a new
// engine until the first pass of Plan.
func (e *Engine) RunsResolved() bool { return e.runsResolved }
