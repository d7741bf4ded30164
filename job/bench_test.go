package job

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// BenchmarkCancelWave cancels waves of waiting jobs. The cost per job and the
// appends per job must not grow with the wave.
func BenchmarkCancelWave(b *testing.B) {
	for _, wave := range []int{1000, 10_000} {
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
					if _, err := d.sched.Cancel(context.Background(), j.Team, j.ID); err != nil {
						b.Error(err)
					}
				})
				for _, j := range jobs {
					c.awaitState(d, j, Cancelled)
				}
				b.StopTimer()
				b.ReportMetric(float64(c.log.appendCount()-before)/float64(wave), "appends/job")
				d.kill()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*wave), "us/job")
		})
	}
}

// BenchmarkStarts places tasks that end at once, through the whole path.
func BenchmarkStarts(b *testing.B) {
	c := newCell(b, 3, 3, 4)
	d := c.daemons[0]
	warm := testJob("warm", workload.Batch, 1, 50, time.Millisecond)
	c.submit(d, warm)
	c.awaitState(d, warm, Finished)
	before := c.log.appendCount()
	b.ResetTimer()
	j := testJob("bench", workload.Batch, min(b.N, workload.MaxTasksPerJob), 50, time.Millisecond)
	c.submit(d, j)
	c.awaitState(d, j, Finished)
	b.StopTimer()
	b.ReportMetric(float64(j.Count)/b.Elapsed().Seconds(), "tasks/s")
	b.ReportMetric(float64(c.log.appendCount()-before)/float64(j.Count), "appends/task")
}

// parallel runs fn for all jobs, 256 at a time.
func parallel(jobs []workload.Job, fn func(workload.Job)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 256)
	for _, j := range jobs {
		slots <- struct{}{}
		wg.Go(func() { fn(j); <-slots })
	}
	wg.Wait()
}
