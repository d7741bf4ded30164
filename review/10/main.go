// Case 10: a task that serves users is never started again after its executor is lost, because all other executors run
// tasks that fill.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/review/bed"
)

const (
	servingID = "00000000000000c1"
	fillingID = "00000000000000c2"
	// lapse is how long the lease of a lost executor lasts at most. From 6 s after its last run on, a task that lasts may
	// have nothing running for 3 s, if these and the 4 s before are calm.
	lapse, afterRun, calm = 8 * time.Second, 6 * time.Second, 7 * time.Second
)

func main() {
	bed.Run(os.Args[1], play)
}

func play(record *bed.Record, trouble bool) (string, error) {
	executors := bed.NewExecutors(6, func(int) bool { return false })
	queue := bed.Queue{Name: "work", Service: "svc"}
	cell, err := bed.New(record, executors, []bed.Queue{queue}, nil)
	if err != nil {
		return "", err
	}
	defer cell.Close()
	if err := cell.AddDaemons(3); err != nil {
		return "", err
	}
	if !cell.Submit(queue, servingID, `{"spec":"serves","steps":[{"count":1,"cpu":4000,"memMb":1024,"estimateMs":1000,"persistent":true,`+
		`"image":"web","targetMs":50}]}`) {
		return "", fmt.Errorf("the job that serves was not accepted")
	}
	time.Sleep(2 * time.Second)
	if !cell.Submit(queue, fillingID, `{"spec":"fills","steps":[{"count":5,"cpu":8000,"memMb":1024,"estimateMs":1000,"antiAffinity":1,`+
		`"persistent":true,"image":"spare","fills":true}]}`) {
		return "", fmt.Errorf("the job that fills was not accepted")
	}
	time.Sleep(3 * time.Second)
	const task = servingID + ".0.0.0"
	first, begun := record.LastStart(task)
	if !begun {
		return "", fmt.Errorf("the task that serves has not begun")
	}
	lost := record.Now()
	if trouble {
		executors[slices.IndexFunc(executors, func(e *bed.Executor) bool { return e.ID == first.Executor })].PowerOff() // for good
	}
	time.Sleep(lapse + afterRun + 2*calm)
	if last, _ := record.LastStart(task); !trouble || last.At > lost {
		return "", nil
	}
	return fmt.Sprintf("LOST: the task that serves has had nothing running since %s was lost %.1f s ago, while on the 5 other executors "+
		"no processor is in use but by tasks that fill", first.Executor, (record.Now() - lost).Seconds()), nil
}
