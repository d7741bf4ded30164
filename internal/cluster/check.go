package cluster

import (
	"fmt"
	"math"
	"sort"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
)

// CheckTasks returns every violation of "no task in two places" and "no worker
// over capacity" in the run records. Only the workers' own records are used.
func CheckTasks(records []standin.RunRecord, capacity machine.Resources) []string {
	return append(checkOnce(records), checkCapacity(records, capacity)...)
}

func endOf(r standin.RunRecord) int64 {
	if r.EndUS == 0 {
		return math.MaxInt64
	}
	return r.EndUS
}

// checkOnce finds runs of one task that overlap in time.
func checkOnce(records []standin.RunRecord) []string {
	byTask := make(map[string][]standin.RunRecord)
	for _, r := range records {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var out []string
	for task, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].StartUS < runs[j].StartUS })
		for i := 1; i < len(runs); i++ {
			if a, b := runs[i-1], runs[i]; b.StartUS < endOf(a) {
				out = append(out, fmt.Sprintf("task %s ran on %s (attempt %d) and %s (attempt %d) at once", task, a.Worker, a.Attempt, b.Worker, b.Attempt))
			}
		}
	}
	return out
}

// checkCapacity finds moments at which a worker held more than it has.
func checkCapacity(records []standin.RunRecord, capacity machine.Resources) []string {
	type event struct {
		at    int64
		delta machine.Resources
		end   bool
	}
	byWorker := make(map[string][]event)
	for _, r := range records {
		byWorker[r.Worker] = append(byWorker[r.Worker],
			event{r.StartUS, r.Resources, false}, event{endOf(r), r.Resources.Scale(-1), true})
	}
	var out []string
	for worker, events := range byWorker {
		sort.Slice(events, func(i, j int) bool {
			if events[i].at != events[j].at {
				return events[i].at < events[j].at
			}
			return events[i].end && !events[j].end
		})
		var used machine.Resources
		for _, e := range events {
			used = used.Add(e.delta)
			if !used.Fits(capacity) {
				out = append(out, fmt.Sprintf("%s held %s at %d us, capacity %s", worker, used, e.at, capacity))
				break
			}
		}
	}
	return out
}

// CheckSlots returns executors that ran more requests or held more connections than they have.
func CheckSlots(records map[string]standin.ExecutorRecords, slots, connections int) []string {
	var out []string
	for id, r := range records {
		if r.MaxBusy > slots || r.RefusedBusy > 0 {
			out = append(out, fmt.Sprintf("%s: %d slots used at once, %d calls refused as busy, has %d", id, r.MaxBusy, r.RefusedBusy, slots))
		}
		if r.MaxConnections > connections || r.RefusedConnections > 0 {
			out = append(out, fmt.Sprintf("%s: %d connections at once, %d refused, has %d", id, r.MaxConnections, r.RefusedConnections, connections))
		}
	}
	return out
}
