// Case 7: scheduled jobs that the system accepts take more memory than a machine has. The leader exceeds the limit, and so
// does each successor when it reads the jobs back, again and again.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/review/bed"
)

const (
	// Each job has ten tasks, every minute of a day that begins in an hour.
	tasks, everyMs, times = 10, 60_000, 1440
	// usual is the number of such jobs a second, for arrival. With trouble it is burst times as high for burstTime.
	usual, arrival   = 6.0, 10 * time.Second
	burst, burstTime = 2.2, 4 * time.Second
	// settle is how long the cell is left alone after the last job. finish is finish_s of the bounds.
	settle, finish = 15 * time.Second, 14 * time.Second
	// memoryMB is memoryMb of the settings. The platform kills a process that exceeds it, and starts it again.
	memoryMB, restartDelay = 284, 500 * time.Millisecond
)

func main() {
	bed.Run(os.Args[1], play)
}

// limitMemory kills a daemon whenever it exceeds its memory, and starts it again, until stop is closed. It returns how
// often that was, and the most memory that the daemon had, in MB.
func limitMemory(record *bed.Record, d *bed.Daemon, stop chan struct{}) (kills, most int) {
	for {
		select {
		case <-stop:
			return kills, most
		case <-time.After(20 * time.Millisecond):
		}
		mb := d.MemoryKB() / 1024
		most = max(most, mb)
		if mb <= memoryMB {
			continue
		}
		record.Note("the platform kills %s, which has %d MB of %d", d.Name, mb, memoryMB)
		kills++
		d.Kill()
		time.Sleep(restartDelay)
		if err := d.Start(); err != nil {
			record.Note("%s does not start: %v", d.Name, err)
			return kills, most
		}
	}
}

// submitAll hands the jobs in and returns the ids of those that were accepted.
func submitAll(cell *bed.Cell, queue bed.Queue, trouble bool) []string {
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	first, began := time.Now().Add(time.Hour).UnixMilli(), time.Now()
	for n := 0; time.Since(began) < arrival; n++ {
		id := fmt.Sprintf("%016x", 0xe00+n)
		clients.Go(func() {
			if cell.Submit(queue, id, fmt.Sprintf(`{"spec":"500","startAtMs":%d,"intervalMs":%d,"repeatCount":%d,`+
				`"steps":[{"count":%d,"cpu":500,"memMb":256,"estimateMs":500}]}`, first, everyMs, times, tasks)) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
		rate := usual
		if trouble && time.Since(began) > arrival-burstTime {
			rate *= burst
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	clients.Wait()
	return accepted
}

func play(record *bed.Record, trouble bool) (string, error) {
	queue := bed.Queue{Name: "work", Service: "svc"}
	cell, err := bed.New(record, bed.NewExecutors(6, func(int) bool { return false }), []bed.Queue{queue}, nil)
	if err != nil {
		return "", err
	}
	defer cell.Close()
	if err := cell.AddDaemons(3); err != nil {
		return "", err
	}
	stop := make(chan struct{})
	kills, most := make([]int, len(cell.Daemons)), make([]int, len(cell.Daemons))
	var platform sync.WaitGroup
	for i, d := range cell.Daemons {
		platform.Go(func() { kills[i], most[i] = limitMemory(record, d, stop) })
	}
	accepted := submitAll(cell, queue, trouble)
	time.Sleep(settle)
	// finish_s after the end of the traffic jobs are asked for.
	var mu sync.Mutex
	unanswered := 0
	end := time.Now().Add(finish)
	var clients sync.WaitGroup
	for _, id := range accepted {
		clients.Go(func() {
			state := ""
			for state == "" && time.Now().Before(end) {
				state = cell.State(queue, id)
			}
			if state != "queued" && state != "running" {
				mu.Lock()
				defer mu.Unlock()
				unanswered++
			}
		})
	}
	clients.Wait()
	close(stop)
	platform.Wait()
	record.Note("%d jobs were accepted; the daemons had %v MB at most and were killed %v times", len(accepted), most, kills)
	often := 0
	for _, n := range kills {
		if n >= 3 {
			often++
		}
	}
	switch lost := fmt.Sprintf("%d of %d accepted jobs are not known or get no answer", unanswered, len(accepted)); {
	case often >= 2:
		return fmt.Sprintf("Fault: for their memory the daemons were killed %v times; %s", kills, lost), nil
	case unanswered > 0:
		return "LOST: " + lost, nil
	}
	return "", nil
}
