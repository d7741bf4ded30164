// Command 1 shows that tasks which have ended done are started again when a worker returns from a partition with more
// ends than one answer lists.
package main

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/review/standin"
)

const (
	// The tasks of all jobs fit on one worker, of which they use 12 of 32 cores.
	jobs, width = 12, 50
	tasks       = jobs * width
	taskCPU     = 20
	// cutTime is below the 5.5 s for which the site cuts workers off (node_cut, how servers), and ends before the
	// worker's lease of 6 s does.
	cutTime = 4 * time.Second
	// allStarted bounds the wait until the tasks run, finish the wait until the job is completed.
	allStarted, finish = 2 * time.Second, 45 * time.Second
)

// taskTime spreads the ends of the tasks over 1.8 s, so that a worker in touch never has 500 ends to list.
func taskTime(task string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return 2*time.Second + time.Duration(h.Sum32()%1800)*time.Millisecond
}

func main() { standin.Main(3, run) }

func run(c *standin.Cell, trouble bool) (bool, error) {
	var executors []*standin.Executor
	for i := range 6 { // one worker of six is within the share of 0.17
		e, err := standin.NewExecutor(c.Store, c.Record, standin.ExecutorConfig{ID: fmt.Sprintf("i-%d", i), Service: "matdesk",
			CPU: 32000, MemMb: 65536, Labels: []string{"a", fmt.Sprintf("r1-%d", i)}, TaskTime: taskTime})
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
	job := map[string]any{"spec": "light tasks", "steps": []map[string]any{{"count": width, "cpu": taskCPU, "memMb": 10,
		"estimateMs": 3000}}}
	id := func(i int) string { return fmt.Sprintf("%016x", 0xa00+i) }
	for i := range jobs {
		if !c.Submit(route, id(i), job, 4) {
			return false, fmt.Errorf("job %d was not accepted", i)
		}
	}
	busiest := func() *standin.Executor {
		return slices.MaxFunc(executors, func(a, b *standin.Executor) int { return cmp.Compare(a.Running(), b.Running()) })
	}
	for end := time.Now().Add(allStarted); busiest().Running() < tasks; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return false, fmt.Errorf("only %d tasks run on one worker after %v", busiest().Running(), allStarted)
		}
	}
	worker := busiest()
	c.Record.Add("all %d tasks run on worker %s", tasks, worker.ID)
	if trouble {
		worker.Cut(cutTime)
	}
	completed := 0
	for end := time.Now().Add(finish); time.Now().Before(end) && completed < jobs; {
		if c.Call(c.Daemons[0], "GET", route, id(completed), nil).Body == `{"state":"completed"}` {
			completed++
			continue
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	again := standin.RestartsAfterDone(standin.AllEvents(executors))
	for _, e := range again {
		c.Record.Add("TWICE: task %s was started as run %d after a run of it had ended done", e.Task, e.Run)
	}
	c.Record.Say("%d of %d tasks were started again after they had ended done; %d of %d jobs are completed",
		len(again), tasks, completed, jobs)
	return len(again) > 0, nil
}
