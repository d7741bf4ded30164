package sched

import (
	"slices"
	"time"
)

// leaseClock relates a machine's steady clock to the engine's clock.
type leaseClock struct {
	maxLease   time.Duration
	known      bool
	reading    int64         // ms on the machine's clock
	readAt     time.Duration // when the reading arrived; the machine's clock was at least there
	grantedEnd int64         // latest lease end that was sent, ms on the machine's clock
}

func (c *leaseClock) observe(reading int64, now time.Duration) {
	if !c.known {
		// A former leader may have granted a full lease just before.
		c.grantedEnd = max(c.grantedEnd, reading+c.maxLease.Milliseconds())
	}
	if !c.known || reading >= c.reading {
		c.known, c.reading, c.readAt = true, reading, now
	}
}

// renewWindow is the time after the last answer of a machine up to which leases
// get longer. It covers a look that waits and is repeated once. Orders to a
// machine that stays silent must not extend its lease without end.
const renewWindow = 3 * time.Second

// lease returns the end of a full lease on the machine's clock, and remembers
// that it may have been granted.
func (c *leaseClock) grant(now time.Duration) int64 {
	if !c.known {
		return 0
	}
	end := c.reading + (min(now-c.readAt, renewWindow) + c.maxLease).Milliseconds()
	c.grantedEnd = max(c.grantedEnd, end)
	return end
}

// lapsed reports whether every lease that was sent has surely ended, also on a
// clock that is slow by clockDrift.
func (c *leaseClock) expired(now time.Duration) bool {
	if !c.known {
		return false
	}
	minReading := c.reading + int64(float64((now-c.readAt).Milliseconds())*(1-maxClockDrift))
	return minReading > c.grantedEnd+leaseSlack.Milliseconds()
}

// GrantLease returns what a look at a machine carries: the end of the lease on the
// machine's clock (0 if the clock is not known yet), and the number up to which
// ends are stored.
func (e *Engine) GrantLease(id string, now time.Duration) (leaseEnd, storedEnds int64) {
	m := e.machines[id]
	if m == nil {
		return 0, 0
	}
	return m.clock.grant(now), m.storedEnds
}

// EndNumbers reports the number up to which ends of a machine are stored.
func (e *Engine) EndNumbers(id string) (stored, processed int64) {
	if m := e.machines[id]; m != nil {
		return m.storedEnds, m.processedEnds
	}
	return 0, 0
}

// expire closes the runs of machines whose leases have lapsed, and forgets
// machines that are gone.
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
		gone := !m.inHostList && len(m.runs) == 0 && now-m.answeredAt > e.leaseHorizon()
		if gone && !m.mayHaveFormerRuns {
			e.removeMachine(m)
			e.journal.droppedKeys = append(e.journal.droppedKeys, machineKey(id))
			e.log.Info().Str("event", "machine_forgotten").Str("machine", id).Send()
		}
	}
	if now-e.tenureStart > e.leaseHorizon() {
		for _, m := range e.byID {
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

// horizon is the time after which a lease granted before has surely ended.
func (e *Engine) leaseHorizon() time.Duration {
	return time.Duration(float64(e.cfg.Lease)*(1+maxClockDrift)) + leaseSlack
}

// settle checks whether runs of former leaders can still be unknown.
func (e *Engine) resolveRuns(now time.Duration) {
	if now-e.tenureStart <= e.leaseHorizon() {
		for _, m := range e.byID {
			if m.mayHaveFormerRuns && !m.tasksRecorded {
				return
			}
		}
	}
	e.runsResolved = true
	e.log.Info().Str("event", "runs_settled").Int64("after_ms", (now - e.tenureStart).Milliseconds()).Send()
}

// RunsResolved reports whether every run of former leaders is known or has ended.
func (e *Engine) RunsResolved() bool { return e.runsResolved }
