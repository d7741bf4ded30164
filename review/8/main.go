// Case 8: an executor that loses its power for a moment and starts again under its id is told to forget the ends of its
// new life, and tasks that are done run again.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/sassafraslb/sassafraslb/review/bed"
)

const (
	// dark is how long the executor has no power. It writes its first entry a heartbeat after its start.
	dark, heartbeat = 1500 * time.Millisecond, 1500 * time.Millisecond
	// quiet is how long the cell has nothing to do. Connections that have been idle for a minute are closed.
	quiet = 65 * time.Second
)

func main() {
	bed.Run(os.Args[1], play)
}

func play(record *bed.Record, trouble bool) (string, error) {
	executors := bed.NewExecutors(4, func(i int) bool { return i == 0 })
	restarted := executors[0]
	restarted.FirstEntry = heartbeat
	queue := bed.Queue{Name: "work", Service: "svc"}
	cell, err := bed.New(record, executors, []bed.Queue{queue}, nil)
	if err != nil {
		return "", err
	}
	defer cell.Close()
	if err := cell.AddDaemons(3); err != nil {
		return "", err
	}
	const body = `{"spec":"400","steps":[{"count":6,"cpu":2000,"memMb":1024,"estimateMs":400,"requirements":"b"}]}`
	const before, after = "00000000000000d1", "00000000000000d2"
	if !cell.Submit(queue, before, body) || !cell.Await(queue, before, "completed", 10*time.Second) {
		return "", fmt.Errorf("the first job is not completed")
	}
	time.Sleep(quiet)
	if trouble {
		restarted.WaitForHold(100 * time.Millisecond)
		restarted.PowerOff()
		time.Sleep(dark)
		restarted.PowerOn()
		time.Sleep(50 * time.Millisecond)
	}
	if !cell.Submit(queue, after, body) {
		return "", fmt.Errorf("the second job was not accepted")
	}
	time.Sleep(12 * time.Second)
	if fault := bed.Twice(record.Events()); fault != "" {
		return fault, nil
	}
	if state := cell.State(queue, after); state != "completed" {
		return "", fmt.Errorf("the second job is %q", state)
	}
	return "", nil
}
