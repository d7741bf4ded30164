package sched

import "time"

const (
	// failureMemory is how long a failed or stuck run, or a refused start, counts against
	// its machine. It covers a period in which a machine fails everything that it starts.
	failureMemory = 4 * time.Second
	// suspectFailures is the number of different jobs with recent failures on a machine
	// that keeps it from taking new work.
	suspectFailures = 2
)

// health holds the recent failures of one machine.
type health struct {
	failures []failure     // the oldest first
	stuckAt  time.Duration // when a run was last found stuck there, 0 if never
}

type failure struct {
	at  time.Duration
	job string
}

// failed records a failed run or a refused start of a job.
func (h *health) failed(now time.Duration, job string) {
	h.dropOldFailures(now)
	h.failures = append(h.failures, failure{now, job})
}

// succeeded removes the oldest failure: the machine is able to run tasks.
func (h *health) succeeded() {
	if len(h.failures) > 0 {
		h.failures = h.failures[1:]
	}
}

// forgetFailuresOf removes the failures of a job that fails wherever it runs.
func (h *health) forgetFailuresOf(job string) {
	kept := h.failures[:0]
	for _, f := range h.failures {
		if f.job != job {
			kept = append(kept, f)
		}
	}
	h.failures = kept
}

// reset removes the failures of a machine that has restarted or whose lease has expired.
// stuckAt stays.
func (h *health) reset(time.Duration) { h.failures = nil }

// runStuck records that a run was found stuck.
func (h *health) runStuck(now time.Duration) { h.stuckAt = now }

// dropOldFailures removes failures older than failureMemory.
func (h *health) dropOldFailures(now time.Duration) {
	n := 0
	for n < len(h.failures) && now-h.failures[n].at > failureMemory {
		n++
	}
	h.failures = h.failures[n:]
}

// suspect reports whether the machine should take no new work for now: a run was found
// stuck there, or suspectFailures jobs had failures there, within failureMemory.
func (h *health) suspect(now time.Duration) bool {
	h.dropOldFailures(now)
	if h.stuckAt != 0 && now-h.stuckAt < failureMemory {
		return true
	}
	jobs := make(map[string]bool, len(h.failures))
	for _, f := range h.failures {
		jobs[f.job] = true
	}
	return len(jobs) >= suspectFailures
}
