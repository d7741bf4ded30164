package job

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// BenchmarkCancelWave cancels many waiting jobs at the same time. The time and the appends per
// job must not grow with the number of jobs.
func BenchmarkCancelWave(b *testing.B) {
	for _, wave := range []int{1000, 3000, 10_000} {
		b.Run(fmt.Sprint(wave), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				c := newCell(b, 1, 1, 1)
				d := c.daemons[0]
				var jobs []workload.Job
				for i := range wave {
					jobs = append(jobs, testJob(fmt.Sprintf("wave-%d", i), workload.Batch, 1, 1000, time.Hour))
				}
				parallel(jobs, func(j workload.Job) { c.submit(d, j) })
				before := c.log.appendCount()
				b.StartTimer()
				parallel(jobs, func(j workload.Job) {
					if _, err := d.scheduler.Cancel(context.Background(), j.Team, j.ID); err != nil {
						b.Error(err)
					}
				})
				for _, j := range jobs {
					c.awaitState(d, j, StateCancelled)
				}
				b.StopTimer()
				b.ReportMetric(float64(c.log.appendCount()-before)/float64(wave), "appends/job")
				d.kill()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*wave), "us/job")
		})
	}
}

// BenchmarkStarts runs tasks that end after 1 ms, from the submit to the recorded end.
func BenchmarkStarts(b *testing.B) {
	c := newCell(b, 3, 3, 4)
	d := c.daemons[0]
	warm := testJob("warm", workload.Batch, 1, 50, time.Millisecond)
	c.submit(d, warm)
	c.awaitState(d, warm, StateFinished)
	before, cpuBefore := c.log.appendCount(), cpuSeconds(b)
	b.ResetTimer()
	j := testJob("bench", workload.Batch, min(b.N, workload.MaxTasksPerJob), 50, time.Millisecond)
	c.submit(d, j)
	c.awaitState(d, j, StateFinished)
	b.StopTimer()
	b.ReportMetric(float64(j.Count)/b.Elapsed().Seconds(), "tasks/s")
	// This includes all daemons and the stand-ins of the workers.
	b.ReportMetric(1e6*(cpuSeconds(b)-cpuBefore)/float64(j.Count), "cpu-us/task")
	b.ReportMetric(float64(c.log.appendCount()-before)/float64(j.Count), "appends/task")
	var bytes float64
	for _, o := range c.daemons {
		bytes += counterValue(b, o.rackOwner.counts, "report_bytes", "")
	}
	b.ReportMetric(bytes/float64(j.Count), "report-bytes/task")
}

// parallel runs fn for all jobs, at most 256 at a time.
func parallel(jobs []workload.Job, fn func(workload.Job)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 256)
	for _, j := range jobs {
		slots <- struct{}{}
		wg.Go(func() { fn(j); <-slots })
	}
	wg.Wait()
}

// BenchmarkUrgentStart measures the time from the submit of an urgent job to the start of its
// task on a worker, in a cell that is full of preemptible tasks.
func BenchmarkUrgentStart(b *testing.B) {
	c := newCell(b, 3, 3, 2)
	d := c.daemons[0]
	low := testJob("low", workload.Service, 24, 1000, 0)
	low.Priority, low.Preempt = workload.Low, true
	c.submit(d, low)
	c.awaitRunning(d, low, 24)
	var worst, sum time.Duration
	b.ResetTimer()
	for i := range b.N {
		j := testJob(fmt.Sprintf("urgent-%d", i), workload.Batch, 1, 1000, 10*time.Millisecond)
		j.Priority = workload.Urgent
		begin := time.Now()
		c.submit(d, j)
		started := func() bool {
			for _, r := range c.runRecords() {
				if r.Job == j.ID {
					return true
				}
			}
			return false
		}
		for !started() {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begin)
		worst, sum = max(worst, took), sum+took
		b.StopTimer()
		c.awaitState(d, j, StateFinished)
		c.awaitRunning(d, low, 24)
		b.StartTimer()
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
	b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "mean-ms")
}

// BenchmarkRackTakeover measures the time from the end of the takeover wait of a rack until
// its new owner has adopted the inventory of every worker.
func BenchmarkRackTakeover(b *testing.B) {
	c := newCell(b, 2, 1, 8)
	j := testJob("service", workload.Service, 32, 1000, 0)
	c.submit(c.daemons[1], j)
	c.awaitRunning(c.daemons[1], j, 32)
	var sum time.Duration
	for i := range b.N {
		d := c.daemons[i%2]
		begin := time.Now()
		c.registry.assign(d, testTakeoverWait, c.racks[0])
		for {
			tenure, err := d.rackOwner.tenure(string(c.racks[0]))
			if err == nil && tenure.adoptedWorkers() == 8 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		sum += time.Since(begin) - testTakeoverWait
	}
	b.ReportMetric(float64(sum.Microseconds())/float64(b.N)/1000, "ms/takeover")
}

// adoptedWorkers returns the number of workers whose inventory was adopted in this tenure.
func (t *rackTenure) adoptedWorkers() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range t.workers {
		if w.adopted {
			n++
		}
	}
	return n
}
