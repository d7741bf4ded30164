package standin

import (
	"sort"
	"strings"
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

// StopsBeyondLimit returns the stops that have ended a task of a lasting step at work while limit other tasks of the step
// were away, because such a stop had ended them and they were not at work again. startup is the time until a run is at
// work.
func StopsBeyondLimit(events []Event, step string, limit int, startup time.Duration) []Event {
	stopped := map[string]bool{}      // ended by a stop at work, and not started again
	started := map[string]time.Time{} // start of the last run
	var out []Event
	for _, e := range events {
		if !strings.HasPrefix(e.Task, step+".") {
			continue
		}
		switch {
		case e.Kind == "start":
			started[e.Task] = e.At
		case e.Kind == "end" && e.How == "stopped":
			away := 0
			for task := range stopped {
				if task != e.Task && (stopped[task] || e.At.Sub(started[task]) < startup) {
					away++
				}
			}
			if e.AtWork && away >= limit {
				out = append(out, e)
			}
			stopped[e.Task] = true
		}
		if e.Kind == "start" {
			stopped[e.Task] = false
		}
	}
	return out
}
