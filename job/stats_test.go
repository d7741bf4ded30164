package job

import (
	"testing"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against statistics for operators that disagree with what runs on the workers.
func TestStatsMatchWorkers(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	d := c.daemons[1] // owns the job shard
	j := testJob("service", workload.Service, 2, 500, 0)
	c.submit(d, j)
	c.awaitRunning(d, j, 2)
	var tasks int
	var cpu int64
	for _, w := range c.daemons[0].rackOwner.Stats() {
		if !w.Reachable || w.Draining || w.Capacity != workerCapacity {
			t.Errorf("worker %+v, want reachable with %s", w, workerCapacity)
		}
		tasks, cpu = tasks+w.Tasks, cpu+w.Used.CPUMilli
	}
	if tasks != 2 || cpu != 1000 {
		t.Errorf("workers show %d tasks with %d thousandths of a processor, want 2 with 1000", tasks, cpu)
	}
	want := ShardStats{Shard: string(c.shardKey()), Recovered: true, Open: 1, Running: 2}
	if got := d.scheduler.Stats(); len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
