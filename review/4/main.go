// Command 4 shows that a new leader keeps a configuration that was replaced while it read the state of the cell.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sassafraslb/sassafraslb/review/standin"
)

const (
	// backlog is the number of periodic jobs that wait, and occurrences how often each runs.
	backlog, occurrences = 6000, 24
	// applied is longer than configApplyMs and contactMs of the site.
	applied = 6 * time.Second
	jobs    = 10
	// changeAfter is the time between the next leader's last read of the state and the operator's change. It restores the
	// backlog for 0.3 s from then on, on a whole core.
	changeAfter = 80 * time.Millisecond
	// blindChangeAfter is the time between the death of the leader and the change with BLIND=1.
	blindChangeAfter = 850 * time.Millisecond
)

func main() { standin.Main(3, run) }

func run(c *standin.Cell, trouble bool) (bool, error) {
	var executors []*standin.Executor
	service := map[string]string{}
	for i := range 6 {
		id, name := fmt.Sprintf("i-%d", i), "olddesk"
		if i%2 == 1 {
			name = "newdesk"
		}
		service[id] = name
		e, err := standin.NewExecutor(c.Store, c.Record, standin.ExecutorConfig{ID: id, Service: name, CPU: 32000, MemMb: 65536,
			Labels:   []string{"a", fmt.Sprintf("r1-%d", i)},
			TaskTime: func(string) time.Duration { return time.Second }})
		if err != nil {
			return false, err
		}
		executors = append(executors, e)
	}
	route := func(service string) standin.Route {
		return standin.Route{Name: "rotation", Host: "nony24.example", Prefix: "/pufi791/", Service: service, MaxAttempts: 3}
	}
	c.Configure(1, "olddesk", route("olddesk"))
	for _, d := range c.Daemons {
		if err := d.Start(); err != nil {
			return false, err
		}
	}
	if err := c.WaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// Periodic jobs of many teams, which run once an hour from tomorrow on.
	var group sync.WaitGroup
	var refused atomic.Int32
	next := make(chan int)
	for range 60 {
		group.Go(func() {
			for i := range next {
				job := map[string]any{"spec": "hourly", "startAtMs": time.Now().Add(24 * time.Hour).UnixMilli(),
					"intervalMs": 3600000, "repeatCount": occurrences,
					"steps": []map[string]any{{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000}}}
				if !c.Submit(route(""), fmt.Sprintf("d%015x", i), job, 4) {
					refused.Add(1)
				}
			}
		})
	}
	for i := range backlog {
		next <- i
	}
	close(next)
	group.Wait()
	if refused.Load() > 0 {
		return false, fmt.Errorf("%d periodic jobs were not accepted", refused.Load())
	}
	leader := c.Leader()
	if leader == nil {
		return false, fmt.Errorf("no daemon has logged that it leads")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		before, _ := c.Store.Epoch("keyed.state")
		leader.Signal(syscall.SIGKILL)
		if os.Getenv("BLIND") == "" {
			for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
				if epoch, reads := c.Store.Epoch("keyed.state"); epoch != before && reads > 0 {
					break
				}
				if time.Now().After(end) {
					return false, fmt.Errorf("no daemon has taken over")
				}
			}
			c.Record.Add("another daemon has read the state")
			time.Sleep(changeAfter)
		} else {
			time.Sleep(blindChangeAfter)
		}
		c.Configure(2, "newdesk", route("newdesk"))
	} else {
		c.Configure(2, "newdesk", route("newdesk"))
	}
	time.Sleep(applied)
	sent := time.Now()
	accepted := 0
	for i := range jobs {
		job := map[string]any{"spec": "ordinary", "steps": []map[string]any{{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000}}}
		for _, d := range c.Daemons {
			if trouble && d == leader {
				continue
			}
			if a := c.Call(d, http.MethodPost, route(""), fmt.Sprintf("e%015x", i), mustJSON(job)); a.Status == http.StatusOK {
				accepted++
				break
			}
		}
	}
	time.Sleep(4 * time.Second)
	old, other := 0, 0
	for _, e := range standin.AllEvents(executors) {
		if e.Kind == "start" && e.At.After(sent) {
			if service[e.Executor] == "olddesk" {
				old++
			} else {
				other++
			}
		}
	}
	c.Record.Say("of %d jobs sent %v after the change, %d were accepted; %d tasks were started by the old service, %d by the new one",
		jobs, applied, accepted, old, other)
	return old > 0, nil
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
