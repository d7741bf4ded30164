package job

import (
	"context"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against any break in the path of a job across daemons: submit, placement, start,
// report, end and cancellation.
func TestServiceBatchAndGangAcrossDaemons(t *testing.T) {
	c := newCell(t, 3, 3, 2)
	d := c.daemons[0] // owns no job shard
	service := testJob("service", workload.Service, 3, 500, 0)
	batch := testJob("batch", workload.Batch, 6, 500, 50*time.Millisecond)
	gang := testJob("gang", workload.Gang, 5, 1000, 100*time.Millisecond)
	for _, j := range []workload.Job{service, batch, gang} {
		c.submit(d, j)
	}
	c.awaitRunning(d, service, 3)
	c.awaitState(d, batch, StateFinished)
	c.awaitState(d, gang, StateFinished)
	if _, err := d.scheduler.Cancel(context.Background(), service.Team, service.ID); err != nil {
		t.Fatal(err)
	}
	c.awaitState(d, service, StateCancelled)
	for _, r := range c.runRecords() {
		if r.EndUS == 0 {
			t.Errorf("task %s still runs on %s after its job has ended", r.Task, r.Worker)
		}
	}
	c.checkViolations()
}
