package request

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// Guards against calls that cross zones or regions although that saves less wait than
// configured, and against calls that stay with a group with a long wait.
func TestPickWeighsWaitAgainstDistance(t *testing.T) {
	c := newTestCell(t)
	d := c.startDaemon("d1", "w1", nil)
	keys := []contract.Key{contract.ExecKey("w1", "a"), contract.ExecKey("w2", "b"), contract.ExecKey("e1", "c")}
	c.setOwner("d9", keys...)
	c.startExecutor("w1", "a", standin.ExecutorConfig{})
	c.startExecutor("w2", "b", standin.ExecutorConfig{})
	c.startExecutor("e1", "c", standin.ExecutorConfig{})
	eventually(t, "the groups are known", func() bool { return len(d.svc.Stats().KnownGroups) == 3 })
	for i, step := range []struct {
		near, region int32 // queued calls in the own zone and in the other zone of the region; each adds 1 ms of wait
		want         contract.Key
	}{{0, 0, keys[0]}, {1, 0, keys[0]}, {20, 0, keys[1]}, {49, 40, keys[1]}, {200, 200, keys[2]}} {
		load := func(k contract.Key, queued int32) *rpc.GroupLoad {
			return &rpc.GroupLoad{Key: string(k), Epoch: 1, Sequence: uint64(i + 1), Slots: 8, Busy: 8, Queued: queued, ServiceUs: 8000}
		}
		d.svc.loads.update(load(keys[0], step.near), load(keys[1], step.region), load(keys[2], 0))
		got, ok := d.svc.loads.pickGroup(nil)
		if !ok || got.key != step.want {
			t.Errorf("queues of %d and %d calls: picked %s, want %s", step.near, step.region, got.key, step.want)
		}
	}
	d.svc.loads.update(&rpc.GroupLoad{Key: string(keys[0]), Epoch: 1, Sequence: 1, Slots: 8})
	if got, _ := d.svc.loads.pickGroup(nil); got.key != keys[2] {
		t.Errorf("an older load summary was used: picked %s, want the group in the other region", got.key)
	}
}

// Guards against load reports that exceed their byte budget, and against a budget that
// stops them altogether.
func TestLoadReportsStayWithinBudget(t *testing.T) {
	reg := prometheus.NewRegistry()
	const budget = 2000
	c := newTestCell(t)
	c.startExecutor("w1", "a", standin.ExecutorConfig{})
	start := time.Now()
	d1 := c.startDaemon("d1", "w1", func(cfg *Config) {
		cfg.LoadReportInterval, cfg.LoadReportBytesPerSecond, cfg.Metrics = time.Millisecond, budget, reg
	})
	d2 := c.startDaemon("d2", "w2", nil)
	c.setOwner("d1", contract.ExecKey("w1", "a"))
	c.waitForSlots(8, d1, d2)
	sent := func() (bytes float64) {
		families, err := reg.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			if f.GetName() == "sassafraslb_request_load_report_bytes_total" {
				bytes = f.GetMetric()[0].GetCounter().GetValue()
			}
		}
		return bytes
	}
	eventually(t, "reports were sent", func() bool { return sent() > budget })
	if s, most := sent(), budget*(1+time.Since(start).Seconds()); s > most {
		t.Errorf("%.0f bytes sent, want at most %.0f", s, most)
	}
}
