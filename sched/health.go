package sched

import "time"

const (
	// failureMemory is how long a failed run counts against its machine. It covers
	// a spell of a machine that fails what it starts.
	failureMemory = 4 * time.Second
	// suspectFailures is the number of recent failures of different jobs after
	// which a machine takes no new work for failureMemory.
	suspectFailures = 2
)

// health holds the recent failures of one machine.
type health struct {
	fails []failure
	stuck time.Duration // last time a run stood still there, 0 if never
}

type failure struct {
	at  time.Duration
	job string
}

func (h *health) failed(now time.Duration, job string) {
	h.trim(now)
	h.fails = append(h.fails, failure{now, job})
}

// succeeded takes one failure back: the machine runs work.
func (h *health) succeeded() {
	if len(h.fails) > 0 {
		h.fails = h.fails[1:]
	}
}

// forgive removes the failures of a job that fails wherever it runs.
func (h *health) forgive(job string) {
	kept := h.fails[:0]
	for _, f := range h.fails {
		if f.job != job {
			kept = append(kept, f)
		}
	}
	h.fails = kept
}

func (h *health) crashed(time.Duration) { h.fails = nil }

func (h *health) stoodStill(now time.Duration) { h.stuck = now }

func (h *health) trim(now time.Duration) {
	n := 0
	for n < len(h.fails) && now-h.fails[n].at > failureMemory {
		n++
	}
	h.fails = h.fails[n:]
}

// suspect reports whether the machine should take no new work for now.
func (h *health) suspect(now time.Duration) bool {
	h.trim(now)
	if h.stuck != 0 && now-h.stuck < failureMemory {
		return true
	}
	jobs := make(map[string]bool, len(h.fails))
	for _, f := range h.fails {
		jobs[f.job] = true
	}
	return len(jobs) >= suspectFailures
}
