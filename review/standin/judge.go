package standin

import (
	"sort"
	"time"
)

// AllEvents returns the events of several executors in the order of time.
func AllEvents(executors []*Executor) []Event {
	var all []Event
	for _, e := range executors {
		all = append(all, e.Events()...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// RestartsAfterDone returns the starts of tasks after a run of the task has ended done, if that end is taken note of
// then or later, and the executor's lease did not run out between the two.
func RestartsAfterDone(events []Event) []Event {
	type end struct {
		at     time.Time
		lapsed int
	}
	type key struct {
		executor, task string
		run            int64
	}
	done := map[key]end{}
	noted := map[string]time.Time{} // earliest done end of a task that was taken note of
	for _, e := range events {
		k := key{e.Executor, e.Task, e.Run}
		switch {
		case e.Kind == "end" && e.How == "done":
			done[k] = end{e.At, e.Lapsed}
		case e.Kind == "noted" && e.How == "done":
			x, ok := done[k]
			if !ok || x.lapsed != e.Lapsed {
				continue
			}
			if at, known := noted[e.Task]; !known || x.at.Before(at) {
				noted[e.Task] = x.at
			}
		}
	}
	var out []Event
	for _, e := range events {
		if at, ok := noted[e.Task]; ok && e.Kind == "start" && e.At.After(at) {
			out = append(out, e)
		}
	}
	return out
}
