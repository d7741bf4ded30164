// Case 9: a task of a queue with advice whose executor is lost waits for good, although executors that nobody has asked
// the advisor about are idle and allowed.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/review/bed"
)

const (
	jobID     = "00000000000000a1"
	servingID = "00000000000000b1"
	// The policy of the queue allows two thirds of the executors: 0 to 4, and from 13 on. 1 to 4 are of kind b.
	executors, allowedFirst, allowedLater = 24, 4, 13
	// lapse is how long the lease of a lost executor lasts at most, finish is finish_s of the bounds, and idle the 3 s for
	// which a job must have nothing running.
	lapse, finish, idle = 8 * time.Second, 14 * time.Second, 3 * time.Second
)

func main() {
	bed.Run(os.Args[1], play)
}

func play(record *bed.Record, trouble bool) (string, error) {
	all := bed.NewExecutors(executors, func(i int) bool { return i >= 1 && i <= allowedFirst })
	find := func(id string) int { return slices.IndexFunc(all, func(e *bed.Executor) bool { return e.ID == id }) }
	batch := bed.Queue{Name: "batch", Service: "svc", Priority: 1, Advice: true}
	serving := bed.Queue{Name: "serving", Service: "svc"}
	cell, err := bed.New(record, all, []bed.Queue{batch, serving}, func(step, executor string) (advised, allowed bool) {
		i := find(executor)
		return strings.HasPrefix(step, jobID), i <= allowedFirst || i >= allowedLater
	})
	if err != nil {
		return "", err
	}
	defer cell.Close()
	if err := cell.AddDaemons(3); err != nil {
		return "", err
	}
	if !cell.Submit(batch, jobID, `{"spec":"20000","steps":[{"count":1,"cpu":4000,"memMb":1024,"estimateMs":20000}]}`) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if !cell.Submit(serving, servingID, `{"spec":"lasts","steps":[{"count":4,"cpu":30000,"memMb":1024,"estimateMs":1000,`+
		`"requirements":"b","antiAffinity":1,"persistent":true}]}`) {
		return "", fmt.Errorf("the job that lasts was not accepted")
	}
	time.Sleep(2 * time.Second)
	const task = jobID + ".0.0.0"
	first, begun := record.LastStart(task)
	if !begun {
		return "", fmt.Errorf("the job has not begun")
	}
	if !trouble {
		if !cell.Await(batch, jobID, "completed", 40*time.Second) {
			return "LOST: the job is not completed", nil
		}
		return "", nil
	}
	all[find(first.Executor)].PowerOff() // for good
	lost := record.Now()
	time.Sleep(lapse + finish + idle)
	if last, _ := record.LastStart(task); last.At > lost {
		return "", nil
	}
	state := cell.State(batch, jobID)
	if state != "running" && state != "queued" {
		return "", fmt.Errorf("the state of the job is %q", state)
	}
	return fmt.Sprintf("LOST: the job is shown as %s, and has had nothing running since %s was lost %.1f s ago, while i-13 to i-23 are "+
		"idle and allowed, and 4 of 23 executors are in use", state, first.Executor, (record.Now() - lost).Seconds()), nil
}
