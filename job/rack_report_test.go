package job

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against a rack owner that builds reports while nothing changes, and against a change
// that is reported only when ends are reported again. ResendEvery is so long here that such
// a change would never be reported.
func TestReportsFollowChanges(t *testing.T) {
	c := newCellWith(t, 2, 2, 2, func(cfg *RackOwnerConfig) { cfg.ResendEvery, cfg.HostsEvery = time.Hour, time.Hour })
	d := c.daemons[0]
	service := testJob("service", workload.Service, 4, 500, 0)
	batch := testJob("batch", workload.Batch, 40, 500, 20*time.Millisecond)
	c.submit(d, service)
	c.submit(d, batch)
	c.awaitState(d, batch, StateFinished)
	c.awaitRunning(d, service, 4)
	d.rackOwner.mu.Lock()
	tenure := d.rackOwner.tenures[c.racks[0]]
	d.rackOwner.mu.Unlock()
	revision := func() uint64 {
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		return tenure.revision
	}
	eventually(t, "the rack owner builds no report while nothing changes", func() bool {
		before := revision()
		time.Sleep(10 * tenure.owner.cfg.ReportEvery)
		return revision() == before
	})
	again := testJob("again", workload.Batch, 40, 500, 20*time.Millisecond)
	c.submit(d, again)
	c.awaitState(d, again, StateFinished)
	c.checkFinishedOnce([]workload.Job{batch, again})
	c.checkViolations()
}
