package job

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// setHostState changes the state of a worker on the host list.
func (c *cell) setHostState(id string, s upstream.HostState) {
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	for i := range c.hosts.list {
		if c.hosts.list[i].ID == id {
			c.hosts.list[i].State = s
		}
	}
}

// runningOn returns the number of tasks that a worker runs, by job.
func (c *cell) runningOn(id string) map[string]int {
	out := make(map[string]int)
	for _, r := range c.workers[id].Records() {
		if r.EndUS == 0 {
			job, _, _ := splitTaskID(r.Task)
			out[job]++
		}
	}
	return out
}

// Guards against service tasks that stay on a draining worker or run in two places while they
// move, and against a drain that interrupts a gang or a batch that is not preemptible.
func TestLeavingWorkerIsDrained(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[0]
	service := testJob("service", workload.Service, 4, 500, 0)
	fixed := testJob("fixed", workload.Batch, 8, 500, 3*time.Second)
	fixed.Preemptible = false
	gang := testJob("gang", workload.Gang, 4, 500, 3*time.Second)
	for _, j := range []workload.Job{service, fixed, gang} {
		c.submit(d, j)
	}
	c.awaitRunning(d, service, 4)
	c.awaitRunning(d, fixed, 8)
	c.awaitRunning(d, gang, 4)
	c.setHostState("a-0", upstream.Leaving)
	eventually(t, "the service leaves the worker", func() bool { return c.runningOn("a-0")["service"] == 0 })
	c.awaitRunning(d, service, 4)
	c.awaitState(d, fixed, StateFinished)
	c.awaitState(d, gang, StateFinished)
	c.checkFinishedOnce([]workload.Job{fixed, gang})
	c.setHostState("b-0", upstream.Gone)
	eventually(t, "the service leaves the worker that is gone", func() bool { return c.runningOn("b-0")["service"] == 0 })
	c.awaitRunning(d, service, 4)
	starts := len(c.workers["b-0"].Records()) + len(c.workers["a-0"].Records())
	later := testJob("more", workload.Batch, 20, 100, 10*time.Millisecond)
	c.submit(d, later)
	c.awaitState(d, later, StateFinished)
	if n := len(c.workers["b-0"].Records()) + len(c.workers["a-0"].Records()); n != starts {
		t.Errorf("%d tasks were started on leaving workers", n-starts)
	}
	c.checkViolations()
}

// Guards against an explanation that counts an unreachable worker as a draining one.
func TestExplainCountsUnreachableWorkers(t *testing.T) {
	c := newCell(t, 2, 2, 2)
	d := c.daemons[0]
	first := testJob("first", workload.Service, 4, 4000, 0)
	c.submit(d, first)
	c.awaitRunning(d, first, 4)
	waiting := testJob("waiting", workload.Batch, 1, 4000, time.Millisecond)
	c.submit(d, waiting)
	c.workers["a-0"].SetFaults(standin.WorkerFaults{Unreachable: true})
	c.setHostState("b-1", upstream.Leaving)
	counts := make(map[string]int)
	eventually(t, "one worker is unreachable and one is draining", func() bool {
		x, _ := d.scheduler.Explain(context.Background(), waiting.Team, waiting.ID)
		clear(counts)
		for _, r := range x.Reasons {
			counts[r.Reason] = r.Nodes
		}
		return counts["unreachable"] == 1 && counts["draining"] == 1
	})
}
