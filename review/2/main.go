// Command 2 shows that every task is stopped that starts on a worker which has drained and is back under its id.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sassafraslb/sassafraslb/review/standin"
)

const (
	// drainTime is drainMs of the site and a little longer. downTime is the time until a worker is back, and gap the
	// pause between two workers.
	drainTime, downTime, gap = 3 * time.Second, time.Second, time.Second
	// replaced is the number of workers that are restarted, those of kind b: 1 of 8 is within the share of 0.15.
	workers, replaced = 8, 1
	// startup is how long a lasting task takes until it is at work.
	startup = 50 * time.Millisecond
	// settled is longer than contactMs, and watched is for how long the workers are watched.
	settled, watched = 4 * time.Second, 30 * time.Second
	// lasting is the number of tasks of the service, of which maxUnavailable may be away.
	lasting, maxUnavailable = 4, 1
)

func main() { standin.Main(3, run) }

func run(c *standin.Cell, trouble bool) (bool, error) {
	var executors []*standin.Executor
	for i := range workers {
		kind := "a"
		if i < replaced {
			kind = "b"
		}
		e, err := standin.NewExecutor(c.Store, c.Record, standin.ExecutorConfig{ID: fmt.Sprintf("i-%d", i), Service: "matdesk",
			CPU: 32000, MemMb: 65536, Labels: []string{kind, fmt.Sprintf("r1-%d", i)}, Startup: startup,
			TaskTime: func(task string) time.Duration {
				if task[0] == 'e' {
					return time.Hour
				}
				return 2 * time.Second
			}})
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
	if trouble {
		for _, e := range executors[:replaced] {
			if err := e.Replace(drainTime, downTime); err != nil {
				return false, err
			}
			time.Sleep(gap)
		}
	}
	time.Sleep(settled)
	service := map[string]any{"spec": "a service", "steps": []map[string]any{{"count": lasting, "cpu": 2000, "memMb": 1000,
		"estimateMs": 1000, "persistent": true, "requirements": "b", "maxUnavailable": maxUnavailable, "image": "shop"}}}
	batch := map[string]any{"spec": "a batch", "steps": []map[string]any{{"count": 4, "cpu": 2000, "memMb": 1000, "estimateMs": 2000, "requirements": "b"}}}
	const serviceID, batchID = "e000000000000001", "b000000000000001"
	if !c.Submit(route, serviceID, service, 4) || !c.Submit(route, batchID, batch, 4) {
		return false, fmt.Errorf("a job was not accepted")
	}
	time.Sleep(watched)
	events := standin.AllEvents(executors)
	stops := standin.StopsBeyondLimit(events, serviceID+".0.0", maxUnavailable, startup)
	starts := 0
	for _, e := range events {
		if e.Kind == "start" {
			starts++
		}
	}
	state := c.Call(c.Daemons[0], http.MethodGet, route, batchID, nil).Body
	c.Record.Say("in %v %d starts of 8 tasks; %d stops ended a task of the service at work while others were away; the batch of 2 s is %s",
		watched, starts, len(stops), state)
	return len(stops) > 0, nil
}
