package job

import (
	"context"
	"fmt"
	"sort"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// testWaitLimit bounds the waits of tests. It is long, because the tests may run on a busy machine.
const testWaitLimit = 60 * time.Second

// eventually polls until ok returns true, and fails the test after testWaitLimit.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testWaitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("did not happen in time: %s", what)
}

// submit submits a job until it is accepted. A caller may repeat a submit with the same id.
func (c *cell) submit(d *daemon, j workload.Job) {
	c.t.Helper()
	var last error
	for end := time.Now().Add(testWaitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, last = d.scheduler.Submit(context.Background(), j); last == nil {
			return
		}
	}
	c.t.Fatalf("submit %s: %v", j.ID, last)
}

// status returns the status of a job. After an error, the state is the text of the error.
func (c *cell) status(d *daemon, j workload.Job) Status {
	s, err := d.scheduler.Status(context.Background(), j.Team, j.ID)
	if err != nil {
		return Status{State: err.Error()}
	}
	return s
}

// awaitState waits until the job is in the state.
func (c *cell) awaitState(d *daemon, j workload.Job, state string) {
	c.t.Helper()
	var last Status
	for end := time.Now().Add(testWaitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if last = c.status(d, j); last.State == state {
			return
		}
	}
	c.t.Fatalf("job %s did not become %s: last %+v", j.ID, state, last)
}

// awaitRunning waits until n tasks of the job run.
func (c *cell) awaitRunning(d *daemon, j workload.Job, n int) {
	c.t.Helper()
	var last Status
	for end := time.Now().Add(testWaitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if last = c.status(d, j); last.Running == n {
			return
		}
	}
	c.t.Fatalf("job %s does not run %d tasks: last %+v", j.ID, n, last)
}

// runRecords returns the records of all workers about the attempts that they ran.
func (c *cell) runRecords() []standin.RunRecord {
	var out []standin.RunRecord
	for _, w := range c.workers {
		out = append(out, w.Records()...)
	}
	return out
}

// checkViolations fails the test if, by the records of the workers, a task ran in two places
// or a worker exceeded its capacity at any moment.
func (c *cell) checkViolations() {
	c.t.Helper()
	for _, problem := range findViolations(c.runRecords()) {
		c.t.Error(problem)
	}
}

// findViolations returns a text for every task that ran in two places at a time and every
// worker that exceeded its capacity.
func findViolations(records []standin.RunRecord) (out []string) {
	const stillRuns = int64(1) << 62 // end of a run that has not ended; in microseconds, as all times here
	end := func(r standin.RunRecord) int64 {
		if r.EndUS == 0 {
			return stillRuns
		}
		return r.EndUS
	}
	byTask := make(map[string][]standin.RunRecord)
	byWorker := make(map[string][]standin.RunRecord)
	for _, r := range records {
		byTask[r.Task] = append(byTask[r.Task], r)
		byWorker[r.Worker] = append(byWorker[r.Worker], r)
	}
	for task, rs := range byTask {
		sort.Slice(rs, func(a, b int) bool { return rs[a].StartUS < rs[b].StartUS })
		for i := 1; i < len(rs); i++ {
			if rs[i].StartUS < end(rs[i-1]) {
				out = append(out, fmt.Sprintf("task %s runs twice: attempt %d on %s and attempt %d on %s",
					task, rs[i-1].Attempt, rs[i-1].Worker, rs[i].Attempt, rs[i].Worker))
			}
		}
	}
	for worker, rs := range byWorker {
		type usageChange struct {
			at   int64
			diff machine.Resources
		}
		var changes []usageChange
		for _, r := range rs {
			changes = append(changes,
				usageChange{r.StartUS, r.Resources}, usageChange{end(r), machine.Resources{}.Sub(r.Resources)})
		}
		sort.SliceStable(changes, func(a, b int) bool {
			if changes[a].at != changes[b].at {
				return changes[a].at < changes[b].at
			}
			return changes[a].diff.CPUMilli < changes[b].diff.CPUMilli // at the same time, ends come before starts
		})
		var used machine.Resources
		for _, s := range changes {
			if used = used.Add(s.diff); !used.Fits(workerCapacity) {
				out = append(out, fmt.Sprintf("worker %s is over capacity: %s", worker, used))
				break
			}
		}
	}
	return out
}

// counterValue returns the value of a counter.
func counterValue(t testing.TB, c *counters, event, reason string) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.vec.WithLabelValues(event, reason).Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// testJob returns a job of team-a with normal priority. cpu is in thousandths of a processor
// per task.
func testJob(id string, kind workload.Kind, count int, cpu int64, run time.Duration) workload.Job {
	return workload.Job{
		ID: id, Team: "team-a", Kind: kind, Count: count, Priority: workload.Normal, Retries: 3,
		Resources: machine.Resources{CPUMilli: cpu, MemoryMiB: 64}, RunTime: run,
	}
}
