package sched

import "time"

const (
	// firstOrderPause is how long a machine takes no new work after an order to it has failed. It
	// doubles with each further failure up to maxOrderPause. A machine may answer polls, which go over a connection that is
	// open, and fail all orders, since it takes no new connections.
	firstOrderPause, maxOrderPause = 250 * time.Millisecond, 5 * time.Second
)

// orderHealth is what is known of the orders to a machine since one was answered.
type orderHealth struct {
	failures int
	until    time.Duration // when it ends
	reason   string        // of the last failure
}

// failed takes an order without an answer into account, and reports whether a pause begins. Orders that were sent before
// one begin none.
func (h *orderHealth) failed(reason string, now time.Duration) bool {
	if now < h.until {
		return false
	}
	pause := maxOrderPause
	if h.failures < 10 { // the shift does not overflow
		pause = min(firstOrderPause<<h.failures, maxOrderPause)
	}
	h.failures++
	h.until, h.reason = now+pause, reason
	return true
}

// paused reports whether the machine should get no new work.
func (h *orderHealth) paused(now time.Duration) bool { return now < h.until }

// orderFailed takes into account that a machine has not answered an order.
func (e *Engine) orderFailed(m *machineState, reason string, now time.Duration) {
	if m.orders.failed(reason, now) {
		e.log.Warn().Str("event", "machine_fails_orders").Str("machine", m.spec.ID).Str("reason", reason).
			Int("failures", m.orders.failures).Int64("pause_ms", (m.orders.until-now).Milliseconds()).
			Int("runs", len(m.runs)).Send()
	}
}

// orderAnswered takes into account that a machine has answered an order, in whatever way.
func (e *Engine) orderAnswered(m *machineState) {
	if m.orders.failures > 0 {
		e.log.Info().Str("event", "machine_takes_orders").Str("machine", m.spec.ID).Int("failures", m.orders.failures).Send()
	}
	m.orders = orderHealth{}
}

// FailingMachine is a machine that does not answer orders.
type FailingMachine struct {
	ID     string
	Reason string // of the last failure
	Orders int    // failures since one was answered
}

// FailingMachines returns the machines that get no new work because they do not answer orders, in the order of their ids.
func (e *Engine) FailingMachines(now time.Duration) []FailingMachine {
	var out []FailingMachine
	for _, m := range e.byID {
		if m.orders.paused(now) {
			out = append(out, FailingMachine{m.spec.ID, m.orders.reason, m.orders.failures})
		}
	}
	return out
}
