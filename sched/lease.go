package sched

import (
	"slices"
	"time"
)

// leaseClock relates a machine's steady clock to the engine's clock.
type leaseClock struct {
	maxLease time.Duration
	known    bool
	reading  int64         // ms on the machine's clock
	at       time.Duration // when the reading arrived; the machine's clock was at least there
	sent     int64         // latest lease end that was sent, ms on the machine's clock
}

func (c *leaseClock) observe(reading int64, now time.Duration) {
	if !c.known {
		// A former leader may have granted a full lease just before.
		c.sent = max(c.sent, reading+c.maxLease.Milliseconds())
	}
	if !c.known || reading >= c.reading {
		c.known, c.reading, c.at = true, reading, now
	}
}

// renewWindow is the time after the last answer of a machine up to which leases
// get longer. It covers a look that waits and is repeated once. Orders to a
// machine that stays silent must not extend its lease without end.
const renewWindow = 3 * time.Second

// lease returns the end of a full lease on the machine's clock, and remembers
// that it may have been granted.
func (c *leaseClock) lease(now time.Duration) int64 {
	if !c.known {
		return 0
	}
	end := c.reading + (min(now-c.at, renewWindow) + c.maxLease).Milliseconds()
	c.sent = max(c.sent, end)
	return end
}

// lapsed reports whether every lease that was sent has surely ended, also on a
// clock that is slow by clockDrift.
func (c *leaseClock) lapsed(now time.Duration) bool {
	if !c.known {
		return false
	}
	least := c.reading + int64(float64((now-c.at).Milliseconds())*(1-clockDrift))
	return least > c.sent+settleSlack.Milliseconds()
}

// GrantLease returns what a look at a machine carries: the end of the lease on the
// machine's clock (0 if the clock is not known yet), and the number up to which
// ends are stored.
func (e *Engine) GrantLease(id string, now time.Duration) (end, ackable int64) {
	m := e.machines[id]
	if m == nil {
		return 0, 0
	}
	return m.clock.lease(now), m.ackable
}

// EndNumbers reports the number up to which ends of a machine are stored.
func (e *Engine) EndNumbers(id string) (ackable, processed int64) {
	if m := e.machines[id]; m != nil {
		return m.ackable, m.processed
	}
	return 0, 0
}

// expire closes the runs of machines whose leases have lapsed, and forgets
// machines that are gone.
func (e *Engine) expire(now time.Duration) {
	for _, m := range slices.Clone(e.byID) {
		id := m.spec.ID
		if len(m.runs) > 0 && m.looked && m.clock.lapsed(now) {
			e.log.Warn().Str("event", "machine_lapsed").Str("machine", id).Int("runs", len(m.runs)).
				Int64("silent_ms", (now - m.lookedAt).Milliseconds()).Send()
			for _, r := range m.sortedRuns() {
				e.closeRun(r, now, "lease_lapsed")
			}
			m.health.crashed(now)
		}
		gone := !m.listed && len(m.runs) == 0 && now-m.lookedAt > e.horizon()
		if gone && !m.foreign {
			e.remove(m)
			e.journal.drops = append(e.journal.drops, machineKey(id))
			e.log.Info().Str("event", "machine_forgotten").Str("machine", id).Send()
		}
	}
	if now-e.started > e.horizon() {
		for _, m := range e.byID {
			if m.foreign && m.silent && !m.named {
				m.named = true // nothing of former leaders runs on it any more
				e.record(m)
			}
			m.foreign = false
		}
	}
	if !e.settled {
		e.settle(now)
	}
}

// horizon is the time after which a lease granted before has surely ended.
func (e *Engine) horizon() time.Duration {
	return time.Duration(float64(e.cfg.Lease)*(1+clockDrift)) + settleSlack
}

// settle checks whether runs of former leaders can still be unknown.
func (e *Engine) settle(now time.Duration) {
	if now-e.started <= e.horizon() {
		for _, m := range e.byID {
			if m.foreign && !m.named {
				return
			}
		}
	}
	e.settled = true
	e.log.Info().Str("event", "runs_settled").Int64("after_ms", (now - e.started).Milliseconds()).Send()
}

// RunsResolved reports whether every run of former leaders is known or has ended.
func (e *Engine) RunsResolved() bool { return e.settled }
