package sched

import "time"

// How a run ends
//
// A run holds the capacity of its machine, and its task waits, until it is known that it cannot run any more. Each state of a
// run ends with a message of its machine, or without one within a bound:
//
//   - ordered: with the answer to the start. The caller of Engine bounds that call in time; a start without an answer counts as
//     unanswered.
//   - uncertain: left at once for stopping.
//   - confirmed: with its end in the lists of the machine, with lists that lack it, or with an order to stop it. Else with the
//     lease of the machine, which is not extended while polls are not answered, and not beyond incompleteLimit while the lists
//     leave out the run and are not complete.
//   - stopping, if the machine has not confirmed the run: with its end, with lists that lack it after a stop was answered, or
//     with lists that lack it under a raised token (fence). Else as the next one.
//   - stopping, if it has: with its end, or with lists that lack it. Else with the lease, which is not extended from unstoppedLimit after
//     the first order to stop it.
//   - in doubt, since the machine has restarted: with lists under the token of the new incarnation. Else with a lease that
//     begins with the restart, or maxOrderDelay later (closeRunsInDoubt).
//
// A lease that is not extended any more ends within leaseHorizon.

const (
	// unstoppedLimit is, unlike Config.StopLimit, no property of machines: how long a run may go on after the first order to stop it, while its machine
	// answers polls. A machine stops a run within a second, and orders are repeated every 400 ms.
	unstoppedLimit = 10 * time.Second
	// incompleteLimit is how long the lists of a machine may be incomplete: with rows that cannot be read, or
	// with further pages while no new ends come.
	incompleteLimit = 10 * time.Second
	// reservedTokens is the part of TokensPerTerm that is kept for restarts of a machine.
	reservedTokens = TokensPerTerm / 4
)

// fence makes sure that a start that was not answered is not carried out any more: once the machine has answered a poll under a higher
// token, it refuses all orders under lower ones. The lists of that answer show whether the run exists.
func (e *Engine) fence(m *machineState, r *run) {
	if r.token < m.token || m.token+1 >= e.cfg.Token+TokensPerTerm-reservedTokens {
		return
	}
	m.token++
	m.fencePending = true
	e.log.Info().Str("event", "machine_fenced").Str("machine", m.spec.ID).Str("task", r.task.name).Int64("run", r.number).
		Int64("token", m.token).Send()
}

// noteMissing takes into account whether the answer to a poll left open what has become of runs that may exist. That ends with
// further pages while new ends come, or while ends wait before they are acknowledged: to be stored, or for a later start.
func (m *machineState) noteMissing(result PollResult, listed map[runKey]bool, newEnds bool, now time.Duration) {
	complete := result.Unreadable == 0 && !result.MoreEnds
	progress := result.Unreadable == 0 && (newEnds || m.acknowledgeable() < m.processedEnds)
	missing := m.mayHaveFormerRuns
	for k := range m.runs {
		missing = missing || !listed[k]
	}
	switch {
	case complete || progress || !missing:
		m.incompleteSince = 0
	case m.incompleteSince == 0:
		m.incompleteSince = now
	}
}

// checkLease decides whether the lease of m is extended. If it is not, it ends the runs that the machine neither stops nor
// reports, and all others there. Meanwhile the machine gets no work.
func (e *Engine) checkLease(m *machineState, now time.Duration) {
	reason := ""
	if m.incompleteSince != 0 && now-m.incompleteSince > incompleteLimit {
		reason = "lists_incomplete"
	}
	for _, r := range m.runs {
		if r.state == runStopping && now-r.stoppingSince > unstoppedLimit {
			reason = "run_not_stopped"
		}
	}
	if withheld := reason != ""; withheld != m.leaseWithheld {
		m.leaseWithheld = withheld
		e.log.Warn().Str("event", "lease_withheld").Str("machine", m.spec.ID).Bool("withheld", withheld).Str("reason", reason).
			Int("runs", len(m.runs)).Send()
	}
}
