package job

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against a start that is considered failed, and repeated elsewhere, because the answer
// of the worker was lost after the task had started.
func TestWorkerAnswersLost(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	for _, w := range c.workers {
		w.SetFaults(standin.WorkerFaults{LoseEveryNthAnswer: 3})
	}
	d := c.daemons[0]
	service := testJob("service", workload.Service, 6, 500, 0)
	batch := testJob("batch", workload.Batch, 40, 250, 50*time.Millisecond)
	c.submit(d, service)
	c.submit(d, batch)
	c.awaitState(d, batch, StateFinished)
	c.awaitRunning(d, service, 6)
	c.checkFinishedOnce([]workload.Job{batch})
	c.checkViolations()
	if n := len(c.runRecords()); n != 46 {
		t.Errorf("%d starts, want 46, one per task", n)
	}
}

// Guards against a job that is accepted twice, or whose submit fails, because the answer of an
// append was lost after the record had been stored.
func TestLogAnswersLost(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	c.submit(c.daemons[0], testJob("first", workload.Batch, 1, 100, time.Millisecond))
	c.log.update(func(l *memLog) { l.answersToLose = 5 })
	j := testJob("second", workload.Batch, 3, 100, 10*time.Millisecond)
	if _, err := c.daemons[0].scheduler.Submit(context.Background(), j); err != nil {
		t.Fatalf("submit with a lost answer: %v", err)
	}
	if _, err := c.daemons[0].scheduler.Submit(context.Background(), j); err != nil {
		t.Fatalf("repeated submit: %v", err)
	}
	other := j
	other.Count = 4
	if _, err := c.daemons[0].scheduler.Submit(context.Background(), other); errkind.Of(err) != errkind.Conflict {
		t.Errorf("submit of another job with the same id: got %v, want kind conflict", err)
	}
	c.awaitState(c.daemons[0], j, StateFinished)
	c.checkFinishedOnce([]workload.Job{j})
	c.checkViolations()
}

// Guards against a job that is accepted or started while the log is down, and against running
// jobs that end, or lose their results, because the log is down.
func TestLogDown(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	d := c.daemons[0]
	batch := testJob("batch", workload.Batch, 20, 1000, 100*time.Millisecond)
	c.submit(d, batch)
	c.log.update(func(l *memLog) { l.down = true })
	refused := testJob("refused", workload.Batch, 1, 100, time.Millisecond)
	if _, err := d.scheduler.Submit(context.Background(), refused); errkind.Of(err) != errkind.LogUnavailable {
		t.Errorf("submit while the log is down: got %v, want kind log_unavailable", err)
	}
	eventually(t, "the batch finishes without the log", func() bool {
		n := 0
		for _, r := range c.runRecords() {
			if r.State == workload.Finished {
				n++
			}
		}
		return n == batch.Count
	})
	// The job scheduler is killed before it could record an end. The workers must keep the
	// results until the next owner of the shard has recorded them.
	time.Sleep(3 * testRenewEvery)
	c.daemons[1].kill()
	c.log.update(func(l *memLog) { l.down = false })
	c.registry.assign(d, testTakeoverWait, c.shardKey())
	c.awaitState(d, batch, StateFinished)
	for _, r := range c.runRecords() {
		if r.Job == refused.ID {
			t.Errorf("a job that was not accepted ran on %s", r.Worker)
		}
	}
	c.checkFinishedOnce([]workload.Job{batch})
	c.checkViolations()
}

// Guards against gangs that block each other because each has reserved a part of the capacity
// that both need, and against a gang of which only some members start.
func TestGangsCompete(t *testing.T) {
	c := newCell(t, 3, 3, 2)
	d := c.daemons[0]
	// Each gang needs two thirds of the cell, so that only one can run.
	var gangs []workload.Job
	var wg sync.WaitGroup
	for i := range 4 {
		g := testJob(fmt.Sprintf("gang-%d", i), workload.Gang, 16, 1000, 150*time.Millisecond)
		gangs = append(gangs, g)
		wg.Go(func() { c.submit(d, g) })
	}
	wg.Wait()
	for _, g := range gangs {
		c.awaitState(d, g, StateFinished)
	}
	c.checkFinishedOnce(gangs)
	c.checkViolations()
}

// Guards against a gang of which only some members start when the workers of one rack do not
// answer, and against resources that stay reserved for it.
func TestGangStartsAllOrNothing(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[0]
	c.submit(d, testJob("warm", workload.Batch, 1, 100, time.Millisecond))
	c.awaitState(d, testJob("warm", workload.Batch, 1, 100, time.Millisecond), StateFinished)
	// The workers of rack b do not answer from now on. The job scheduler does not know that
	// yet when it places the gang.
	for id, w := range c.workers {
		if id[0] == 'b' {
			w.SetFaults(standin.WorkerFaults{Unreachable: true})
		}
	}
	gang := testJob("gang", workload.Gang, 16, 1000, 300*time.Millisecond)
	c.submit(d, gang)
	time.Sleep(3 * testRenewEvery) // long enough for several attempts
	filler := testJob("filler", workload.Batch, 8, 1000, 50*time.Millisecond)
	c.submit(d, filler)
	c.awaitState(d, filler, StateFinished) // only possible if the gang holds no resources
	for id, w := range c.workers {
		if id[0] == 'b' {
			w.SetFaults(standin.WorkerFaults{})
		}
	}
	c.awaitState(d, gang, StateFinished)
	c.checkFinishedOnce([]workload.Job{gang, filler})
	c.checkViolations()
}

// Guards against urgent work that waits for preemptible work to end, and against preemption
// that exceeds the capacity of a worker.
func TestUrgentPreempts(t *testing.T) {
	for _, racks := range []int{1, 2} { // with one rack there is one worker, on which all preemptions queue up
		c := newCell(t, 2, racks, racks)
		d, full := c.daemons[0], 4*racks*racks
		low := testJob("low", workload.Service, full, 1000, 0)
		low.Priority, low.Preemptible = workload.Low, true
		c.submit(d, low)
		c.awaitRunning(d, low, full)
		urgent := testJob("urgent", workload.Batch, 4, 1000, 100*time.Millisecond)
		urgent.Priority = workload.Urgent
		c.submit(d, urgent)
		c.awaitState(d, urgent, StateFinished)
		c.awaitRunning(d, low, full)
		for _, o := range c.daemons {
			if n := counterValue(t, o.scheduler.counts, "rejected", "preemption_failed"); n != 0 {
				t.Errorf("%v preemptions did not free enough resources in time, want 0", n)
			}
		}
		c.checkViolations()
	}
}

// Guards against tasks that fail and are started again without end, and against a job that can
// never run and is not refused.
func TestFailingTasksEnd(t *testing.T) {
	c := newCell(t, 1, 1, 2)
	d := c.daemons[0]
	for _, w := range c.workers {
		w.SetFaults(standin.WorkerFaults{FailStarts: true})
	}
	j := testJob("fails", workload.Batch, 2, 500, 10*time.Millisecond)
	j.Retries = 2
	c.submit(d, j)
	c.awaitState(d, j, StateFailed)
	if n := len(c.runRecords()); n > 2*(j.Retries+1) {
		t.Errorf("%d starts, want at most one and %d retries for each of 2 tasks", n, j.Retries)
	}
	big := testJob("big", workload.Batch, 1, 100_000, time.Millisecond)
	_, err := d.scheduler.Submit(context.Background(), big)
	if errkind.Of(err) != errkind.Impossible {
		t.Errorf("submit of a job that can never run: got %v, want kind impossible", err)
	}
	var e *errkind.Error
	if !errors.As(err, &e) {
		t.Errorf("the error has no kind: %v", err)
	}
	c.checkViolations()
}

// Guards against cancellations whose cost per job, in the engine and in appends to the log,
// grows with the number of jobs that are cancelled at the same time.
func TestCancelWave(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[1]
	const wave = 2000
	var jobs []workload.Job
	for i := range wave {
		jobs = append(jobs, testJob(fmt.Sprintf("wave-%d", i), workload.Batch, 1, 1000, time.Hour))
	}
	parallel(jobs, func(j workload.Job) { c.submit(d, j) })
	before := c.log.appendCount()
	parallel(jobs, func(j workload.Job) {
		if _, err := d.scheduler.Cancel(context.Background(), j.Team, j.ID); err != nil {
			t.Errorf("cancel %s: %v", j.ID, err)
		}
	})
	for _, j := range jobs {
		c.awaitState(d, j, StateCancelled)
	}
	if appends := c.log.appendCount() - before; appends > wave/10 {
		t.Errorf("%d cancellations took %d appends, want at most one for 10", wave, appends)
	}
	for _, r := range c.runRecords() {
		if r.EndUS == 0 {
			t.Errorf("task %s still runs after its job was cancelled", r.Task)
		}
	}
	c.checkViolations()
}

// Guards against jobs that are lost when the log drops their first records, and against
// finished tasks that run again after the next takeover.
func TestSnapshotsOutliveRetention(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[0]
	c.log.update(func(l *memLog) { l.retainRecords = 200 })
	service := testJob("service", workload.Service, 2, 500, 0)
	done := testJob("done", workload.Batch, 3, 500, time.Millisecond)
	c.submit(d, service)
	c.submit(d, done)
	c.awaitState(d, done, StateFinished)
	// Other records make the log drop the records of the jobs, unless snapshots of them are
	// appended. Each step is about a sixteenth of the retention and then waits until the job
	// scheduler has had time to read it.
	for range 64 {
		var junk [][]byte
		for range 12 {
			junk = append(junk, []byte("{}"))
		}
		if _, err := c.log.Append(context.Background(), "jobs", junk); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * snapshotPoll)
	}
	var oldest upstream.Offset
	c.log.update(func(l *memLog) { oldest = l.oldest })
	if oldest < 400 {
		t.Errorf("the log dropped only %d records, want 400 or more, so the test checked nothing", oldest)
	}
	c.registry.assign(d, testTakeoverWait, c.shardKey())
	c.awaitRunning(d, service, 2)
	c.awaitState(d, done, StateFinished)
	c.checkFinishedOnce([]workload.Job{done})
	c.checkViolations()
}

// Guards against a lasting difference between the intentions and what runs, after jobs were
// added, removed or changed in their count.
func TestIntentionsReconciled(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[0]
	running := func(base string) int {
		n := 0
		for _, r := range c.runRecords() {
			if r.EndUS == 0 && (r.Job == base || len(r.Job) > len(base) && r.Job[:len(base)+1] == base+partSeparator) {
				n++
			}
		}
		return n
	}
	batch := testJob("dues-2026-12-04", workload.Batch, 2, 100, 20*time.Millisecond)
	for _, count := range []int{3, 5, 2, 4} {
		s := testJob("web", workload.Service, count, 250, 0)
		c.intentions.set(s, batch)
		eventually(t, fmt.Sprintf("%d tasks of the service run", count), func() bool { return running("web") == count })
	}
	c.awaitState(d, batch, StateFinished)
	c.intentions.set(batch)
	eventually(t, "the service has ended", func() bool { return running("web") == 0 })
	time.Sleep(4 * 50 * time.Millisecond) // four more comparisons of the intentions, which must change nothing
	c.checkFinishedOnce([]workload.Job{batch})
	if len(findViolations(c.runRecords())) > 0 {
		c.checkViolations()
	}
}

// Guards against a checker of the other tests that misses violations.
func TestCheckerFindsViolations(t *testing.T) {
	rec := func(worker, task string, attempt int, cpu, start, end int64) standin.RunRecord {
		return standin.RunRecord{Worker: worker, Task: task, Attempt: attempt, StartUS: start, EndUS: end,
			Resources: machine.Resources{CPUMilli: cpu}}
	}
	for name, c := range map[string]struct {
		records []standin.RunRecord
		want    int
	}{
		"clean":         {[]standin.RunRecord{rec("a", "t.0", 1, 4000, 1, 5), rec("b", "t.0", 2, 4000, 5, 0)}, 0},
		"two places":    {[]standin.RunRecord{rec("a", "t.0", 1, 1, 1, 6), rec("b", "t.0", 2, 1, 5, 0)}, 1},
		"over capacity": {[]standin.RunRecord{rec("a", "t.0", 1, 3000, 1, 0), rec("a", "t.1", 1, 1001, 5, 6)}, 1},
	} {
		if got := findViolations(c.records); len(got) != c.want {
			t.Errorf("%s: %d violations, want %d: %v", name, len(got), c.want, got)
		}
	}
}
