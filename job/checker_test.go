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

// waitLimit is generous, because the tests share a busy machine.
const waitLimit = 60 * time.Second

// eventually polls until ok returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("did not happen in time: %s", what)
}

// submit repeats a submit until it is accepted, as a caller with the same id may.
func (c *cell) submit(d *daemon, j workload.Job) {
	c.t.Helper()
	var last error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if _, last = d.sched.Submit(context.Background(), j); last == nil {
			return
		}
	}
	c.t.Fatalf("submit %s: %v", j.ID, last)
}

func (c *cell) status(d *daemon, j workload.Job) Status {
	s, err := d.sched.Status(context.Background(), j.Team, j.ID)
	if err != nil {
		return Status{State: err.Error()}
	}
	return s
}

func (c *cell) awaitState(d *daemon, j workload.Job, state string) {
	c.t.Helper()
	var last Status
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if last = c.status(d, j); last.State == state {
			return
		}
	}
	c.t.Fatalf("job %s did not become %s: last %+v", j.ID, state, last)
}

func (c *cell) awaitRunning(d *daemon, j workload.Job, n int) {
	c.t.Helper()
	var last Status
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if last = c.status(d, j); last.Running == n {
			return
		}
	}
	c.t.Fatalf("job %s does not run %d tasks: last %+v", j.ID, n, last)
}

func (c *cell) records() []standin.RunRecord {
	var out []standin.RunRecord
	for _, w := range c.workers {
		out = append(out, w.Records()...)
	}
	return out
}

// check reads the workers' own records: no task in two places, and no worker over
// its capacity, at any moment.
func (c *cell) check() {
	c.t.Helper()
	for _, problem := range violations(c.records()) {
		c.t.Error(problem)
	}
}

func violations(records []standin.RunRecord) (out []string) {
	const open = int64(1) << 62
	end := func(r standin.RunRecord) int64 {
		if r.EndUS == 0 {
			return open
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
		type step struct {
			at   int64
			diff machine.Resources
		}
		var steps []step
		for _, r := range rs {
			steps = append(steps, step{r.StartUS, r.Resources}, step{end(r), machine.Resources{}.Sub(r.Resources)})
		}
		sort.SliceStable(steps, func(a, b int) bool {
			if steps[a].at != steps[b].at {
				return steps[a].at < steps[b].at
			}
			return steps[a].diff.CPUMilli < steps[b].diff.CPUMilli // ends first
		})
		var used machine.Resources
		for _, s := range steps {
			if used = used.Add(s.diff); !used.Fits(workerSize) {
				out = append(out, fmt.Sprintf("worker %s is over capacity: %s", worker, used))
				break
			}
		}
	}
	return out
}

// count returns the value of a counter.
func count(t testing.TB, c *counters, event, reason string) float64 {
	t.Helper()
	var m dto.Metric
	if err := c.vec.WithLabelValues(event, reason).Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

func testJob(id string, kind workload.Kind, count int, cpu int64, run time.Duration) workload.Job {
	return workload.Job{
		ID: id, Team: "team-a", Kind: kind, Count: count, Priority: workload.Normal, Retries: 3,
		Resources: machine.Resources{CPUMilli: cpu, MemoryMiB: 64}, RunTime: run,
	}
}
