package job

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against a rack owner that collects reports while nothing changes, and
// against news that waits for the repeat of unsettled ends, which is as good as
// switched off here.
func TestReportsFollowNews(t *testing.T) {
	c := newCellWith(t, 2, 2, 2, func(cfg *RackOwnerConfig) { cfg.ResendEvery, cfg.HostsEvery = time.Hour, time.Hour })
	d := c.daemons[0]
	service := testJob("service", workload.Service, 4, 500, 0)
	batch := testJob("batch", workload.Batch, 40, 500, 20*time.Millisecond)
	c.submit(d, service)
	c.submit(d, batch)
	c.awaitState(d, batch, StateFinished)
	c.awaitRunning(d, service, 4)
	d.rack.mu.Lock()
	tenure := d.rack.tenures[c.racks[0]]
	d.rack.mu.Unlock()
	revision := func() uint64 {
		tenure.mu.Lock()
		defer tenure.mu.Unlock()
		return tenure.revision
	}
	eventually(t, "the rack owner collects no report at rest", func() bool {
		before := revision()
		time.Sleep(10 * tenure.rack.cfg.ReportEvery)
		return revision() == before
	})
	again := testJob("again", workload.Batch, 40, 500, 20*time.Millisecond)
	c.submit(d, again)
	c.awaitState(d, again, StateFinished)
	c.finishedOnce([]workload.Job{batch, again})
	c.check()
}
