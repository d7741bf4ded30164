// Command 3 shows that the tasks of a worker that crashes, starts again under its id and crashes for good are never
// started again.
package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/review/standin"
)

const (
	jobs, width = 3, 4
	tasks       = jobs * width
	taskTime    = 6 * time.Second
	// downTime is the time between the crash and the start under the same id, and upTime that until the second crash.
	downTime, upTime = time.Second, time.Second
	// watched is for how long the tasks may take in all. It is four times what a lease of 6 s and the tasks take.
	watched = 50 * time.Second
)

func main() { standin.Main(3, run) }

func run(c *standin.Cell, trouble bool) (bool, error) {
	var executors []*standin.Executor
	for i := range 8 { // one worker of eight is within the share of 0.14
		e, err := standin.NewExecutor(c.Store, c.Record, standin.ExecutorConfig{ID: fmt.Sprintf("i-%d", i), Service: "matdesk",
			CPU: 32000, MemMb: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", i)},
			TaskTime: func(string) time.Duration { return taskTime }})
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
	time.Sleep(4 * time.Second)
	job := map[string]any{"spec": "ordinary job", "steps": []map[string]any{{"count": width, "cpu": 2000, "memMb": 1000, "estimateMs": 6000}}}
	id := func(i int) string { return fmt.Sprintf("%016x", 0xc00+i) }
	for i := range jobs {
		if !c.Submit(route, id(i), job, 4) {
			return false, fmt.Errorf("job %d was not accepted", i)
		}
	}
	time.Sleep(300 * time.Millisecond)
	worker := slices.MaxFunc(executors, func(a, b *standin.Executor) int { return cmp.Compare(a.Running(), b.Running()) })
	began := time.Now()
	if trouble {
		worker.Crash()
		if os.Getenv("ONCE") == "" {
			time.Sleep(downTime)
			if err := worker.StartAgain(); err != nil {
				return false, err
			}
			time.Sleep(upTime)
			worker.Crash()
		}
		worker.GoneForGood()
	}
	completed := 0
	for end := began.Add(watched); time.Now().Before(end) && completed < jobs; {
		if c.Call(c.Daemons[0], "GET", route, id(completed), nil).Body == `{"state":"completed"}` {
			completed++
			continue
		}
		time.Sleep(500 * time.Millisecond)
	}
	done, running := map[string]bool{}, 0
	for _, e := range standin.AllEvents(executors) {
		if e.Kind == "end" && e.How == "done" {
			done[e.Task] = true
		}
	}
	for _, e := range executors {
		running += e.Running()
	}
	c.Record.Say("after %v %d of %d tasks have ended done and %d run; %d of %d jobs are completed", time.Since(began).Round(time.Second),
		len(done), tasks, running, completed, jobs)
	return completed < jobs && running == 0, nil
}
