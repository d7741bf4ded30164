// Case 10: tasks that wait when a configuration takes the advice away from their queue are never started.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/sassafraslb/sassafraslb/review/bed"
)

const (
	jobID = "00000000000000f1"
	// The job has two tasks for each executor, of which one has room at a time.
	executors, tasks, work = 6, 12, 4 * time.Second
	finish, idle           = 14 * time.Second, 3 * time.Second // finish_s of the bounds, and the 3 s without a run
)

func main() {
	bed.Run(os.Args[1], play)
}

func play(record *bed.Record, trouble bool) (string, error) {
	queue := bed.Queue{Name: "work", Service: "svc", Advice: true}
	cell, err := bed.New(record, bed.NewExecutors(executors, func(int) bool { return false }), []bed.Queue{queue},
		func(string, string) (advised, allowed bool) { return true, true })
	if err != nil {
		return "", err
	}
	defer cell.Close()
	if err := cell.AddDaemons(3); err != nil {
		return "", err
	}
	if !cell.Submit(queue, jobID, fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":20000,"memMb":1024,"estimateMs":%d}]}`,
		work.Milliseconds(), tasks, work.Milliseconds())) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(work / 2)
	if trouble {
		cell.WithoutPolicy()
		cell.Queues = []bed.Queue{{Name: queue.Name, Service: queue.Service}}
		cell.Configure(2)
	}
	if cell.Await(queue, jobID, "completed", 2*work+finish+idle) {
		return "", nil
	}
	starts, ends := 0, 0
	var last time.Duration
	for _, e := range record.Events() {
		switch e.What {
		case "start":
			starts++
		case "end":
			ends, last = ends+1, e.At
		}
	}
	return fmt.Sprintf("LOST: %d of %d tasks of the job have begun and %d have ended; nothing has run for %.1f s, and all %d executors are idle",
		starts, tasks, ends, (record.Now() - last).Seconds(), executors), nil
}
