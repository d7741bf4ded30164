// Command 4 shows that a job that is due in the far future is started at once.
package main

import (
	"fmt"
	"time"

	"github.com/sassafraslb/sassafraslb/review/standin"
)

const (
	// early is early_ms of the site.
	early = 250 * time.Millisecond
	// watched is for how long the workers are watched.
	watched = 10 * time.Second
)

func main() { standin.Main(2, run) }

func run(c *standin.Cell, trouble bool) (bool, error) {
	var executors []*standin.Executor
	for i := range 6 {
		e, err := standin.NewExecutor(c.Store, c.Record, standin.ExecutorConfig{ID: fmt.Sprintf("i-%d", i), Service: "matdesk",
			CPU: 32000, MemMb: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", i)},
			TaskTime: func(string) time.Duration { return time.Second }})
		if err != nil {
			return false, err
		}
		executors = append(executors, e)
	}
	route := standin.Route{Name: "rotation", Host: "nony24.example", Prefix: "/pufi791/", Service: "matdesk", MaxAttempts: 3}
	c.Configure(1, "matdesk", route)
	for _, d := range c.Daemons {
		if err := d.Start(); err != nil {
			return false, err
		}
	}
	if err := c.WaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// The last day of the year 9999 is how a caller says "not before I say so"; without the disruption the job is due
	// in a day.
	due := time.Now().Add(24 * time.Hour)
	if trouble {
		due = time.Date(9999, 12, 31, 0, 0, 0, 0, time.UTC)
	}
	job := map[string]any{"spec": "held back", "startAtMs": due.UnixMilli(), "intervalMs": 1000, "repeatCount": 1,
		"steps": []map[string]any{{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000}}}
	if !c.Submit(route, "00000000000000a4", job, 4) {
		return false, fmt.Errorf("the job was not accepted")
	}
	c.Record.Add("the job is due at %s", due.Format(time.RFC3339))
	time.Sleep(watched)
	broken := 0
	for _, e := range standin.AllEvents(executors) {
		if e.Kind == "start" && e.At.Before(due.Add(-early)) {
			broken++
		}
	}
	c.Record.Say("%d tasks of a job that is due on %s were started today", broken, due.Format("2006-01-02"))
	return broken > 0, nil
}
