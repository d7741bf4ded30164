package cluster

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/daemon"
	"github.com/sassafraslb/sassafraslb/machine"
)

// The targets for control, per daemon.
const (
	targetControlBytes = 5_000 // bytes sent per second
	targetControlCPU   = 0.01  // of a core
	targetMemory       = 128e6 // bytes
	measureFor         = 10 * time.Second
)

// controlFigures are what a daemon spent since it started.
type controlFigures struct{ sent, received, cross, cpu, memory float64 }

// BenchmarkControlCost measures what eight daemons with 48 workers and 48
// executors spend on control while services run and nothing changes.
func BenchmarkControlCost(b *testing.B) {
	ctx, c := startBench(b, 16, 16)
	for _, n := range []*Node{c.Daemons[0], c.Daemons[7]} {
		if err := c.WaitForOwners(ctx, n); err != nil {
			b.Fatal(err)
		}
	}
	team := daemon.ChangeBody{ID: "01JEXAMPLE0000000000000001", Mode: "merge", By: "bench", Ops: []config.Op{
		{Team: &config.Team{Name: "stock", Home: "lombardy", Quota: machine.Resources{CPUMilli: 400_000, MemoryMiB: 1 << 20}, Weight: 1}},
	}}
	if err := c.Send(ctx, http.MethodPost, c.Daemons[0].URL()+"/v1/config/changes", team, nil); err != nil {
		b.Fatal(err)
	}
	job := daemon.JobBody{ID: "idle", Kind: "service", Count: 96, CPUMilli: 2000, MemoryMiB: 1024}
	short, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := WaitFor(short, "the service", func(ctx context.Context) error {
		return c.Send(ctx, http.MethodPost, c.Daemons[0].URL()+"/v1/teams/stock/jobs", job, nil)
	}); err != nil {
		b.Fatal(err)
	}
	time.Sleep(5 * time.Second)
	for range b.N {
		reportControl(b, ctx, c)
	}
}

// reportControl reports the mean and the greatest cost of a daemon.
func reportControl(b *testing.B, ctx context.Context, c *Cluster) {
	b.Helper()
	before, link := figures(b, ctx, c), c.LinkBytes()
	start := time.Now()
	time.Sleep(measureFor)
	after, secs := figures(b, ctx, c), time.Since(start).Seconds()
	var sum, worst controlFigures
	for i := range after {
		d := controlFigures{
			sent: (after[i].sent - before[i].sent) / secs, received: (after[i].received - before[i].received) / secs,
			cross: (after[i].cross - before[i].cross) / secs, cpu: (after[i].cpu - before[i].cpu) / secs, memory: after[i].memory,
		}
		sum.sent, sum.received, sum.cross, sum.cpu = sum.sent+d.sent, sum.received+d.received, sum.cross+d.cross, sum.cpu+d.cpu
		worst.sent, worst.cpu, worst.memory = max(worst.sent, d.sent), max(worst.cpu, d.cpu), max(worst.memory, d.memory)
		b.Logf("%s: sent %.0f B/s, received %.0f B/s, across regions %.0f B/s, processor %.2f %%, memory %.0f MB",
			c.Daemons[i].ID, d.sent, d.received, d.cross, 100*d.cpu, d.memory/1e6)
	}
	n := float64(len(after))
	b.ReportMetric(sum.sent/n, "sent-B/s/daemon")
	b.ReportMetric(sum.received/n, "received-B/s/daemon")
	b.ReportMetric(float64(c.LinkBytes()-link)/secs, "region-link-B/s")
	b.ReportMetric(100*sum.cpu/n, "cpu-%/daemon")
	b.ReportMetric(worst.sent/targetControlBytes, "sent/target")
	b.ReportMetric(worst.cpu/targetControlCPU, "cpu/target")
	b.ReportMetric(worst.memory/targetMemory, "memory/target")
}

func figures(b *testing.B, ctx context.Context, c *Cluster) []controlFigures {
	b.Helper()
	var out []controlFigures
	for _, n := range c.Daemons {
		m, err := c.Metrics(ctx, n)
		if err != nil {
			b.Fatal(err)
		}
		const bytes = "sassafraslb_link_bytes_total"
		out = append(out, controlFigures{
			sent: SumMetric(m, bytes, "direction=out"), received: SumMetric(m, bytes, "direction=in"),
			cross: SumMetric(m, bytes, "distance=cross_region", "direction=out"),
			cpu:   SumMetric(m, "process_cpu_seconds_total"), memory: SumMetric(m, "process_resident_memory_bytes"),
		})
	}
	return out
}
