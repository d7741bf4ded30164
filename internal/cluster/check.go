package cluster

import (
	"fmt"
	"math"
	"sort"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
)

// CheckTasks returns a description of every violation of two rules in the workers' run
// records: no task runs twice at the same time, and no worker is over capacity.
func CheckTasks(records []standin.RunRecord, capacity machine.Resources) []string {
	return append(checkNoOverlap(records), checkCapacity(records, capacity)...)
}

// endUS returns the end of a run; a run that has not ended lasts for ever.
func endUS(r standin.RunRecord) int64 {
	if r.EndUS == 0 {
		return math.MaxInt64
	}
	return r.EndUS
}

// checkNoOverlap returns the consecutive runs of one task that overlap in time.
func checkNoOverlap(records []standin.RunRecord) []string {
	byTask := make(map[string][]standin.RunRecord)
	for _, r := range records {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	var out []string
	for task, runs := range byTask {
		sort.Slice(runs, func(i, j int) bool { return runs[i].StartUS < runs[j].StartUS })
		for i := 1; i < len(runs); i++ {
			if a, b := runs[i-1], runs[i]; b.StartUS < endUS(a) {
				out = append(out, fmt.Sprintf("task %s ran on %s (attempt %d) and %s (attempt %d) at the same time", task, a.Worker, a.Attempt, b.Worker, b.Attempt))
			}
		}
	}
	return out
}

// checkCapacity returns, for each worker whose tasks ever held more than capacity, the
// first such moment.
func checkCapacity(records []standin.RunRecord, capacity machine.Resources) []string {
	type event struct {
		at    int64 // microseconds, as in the records
		delta machine.Resources
		end   bool // an end sorts before a start of the same microsecond
	}
	byWorker := make(map[string][]event)
	for _, r := range records {
		byWorker[r.Worker] = append(byWorker[r.Worker],
			event{r.StartUS, r.Resources, false}, event{endUS(r), r.Resources.Scale(-1), true})
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

// CheckSlots returns a description of every executor that was sent more requests than
// its slots or opened more connections than it allows, by the executors' own records.
func CheckSlots(records map[string]standin.ExecutorRecords, slots, connections int) []string {
	var out []string
	for id, r := range records {
		if r.MaxBusy > slots || r.RefusedBusy > 0 {
			out = append(out, fmt.Sprintf("%s: %d slots used at the same time, %d calls refused as busy, has %d", id, r.MaxBusy, r.RefusedBusy, slots))
		}
		if r.MaxConnections > connections || r.RefusedConnections > 0 {
			out = append(out, fmt.Sprintf("%s: %d connections at the same time, %d refused, allows %d", id, r.MaxConnections, r.RefusedConnections, connections))
		}
	}
	return out
}
