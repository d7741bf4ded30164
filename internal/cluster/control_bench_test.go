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

// The targets for the cost of control per daemon, and how long it is measured.
const (
	targetControlBytes = 5_000 // bytes sent per second
	targetControlCPU   = 0.01  // share of a core
	targetMemory       = 128e6 // bytes of resident memory
	measureFor         = 10 * time.Second
)

// controlFigures holds what one daemon spends on control: bytes sent and received, bytes
// sent across regions and processor time in seconds, all four since its start or per
// second, and resident memory in bytes. The bytes are those exchanged with daemons, the log
// and the host list.
type controlFigures struct{ sent, received, cross, cpu, memory float64 }

// BenchmarkControlCost measures the traffic, processor time and memory that eight daemons
// with 48 workers and 48 executors need while services run and nothing changes.
func BenchmarkControlCost(b *testing.B) {
	ctx, c := startBenchCluster(b, 16, 16)
	for _, n := range []*Node{c.Daemons[0], c.Daemons[7]} {
		if err := c.WaitForOwners(ctx, n); err != nil {
			b.Fatal(err)
		}
	}
	addTeam := daemon.ChangeBody{ID: "01JEXAMPLE0000000000000001", Mode: "merge", By: "bench", Ops: []config.Op{
		{Team: &config.Team{Name: "stock", Home: "lombardy", Quota: machine.Resources{CPUMilli: 400_000, MemoryMiB: 1 << 20}, Weight: 1}},
	}}
	if err := c.Send(ctx, http.MethodPost, c.Daemons[0].URL()+"/v1/config/changes", addTeam, nil); err != nil {
		b.Fatal(err)
	}
	job := daemon.JobBody{ID: "idle", Kind: "service", Count: 96, CPUMilli: 2000, MemoryMiB: 1024}
	submitCtx, cancelSubmit := context.WithTimeout(ctx, 20*time.Second)
	defer cancelSubmit()
	if err := WaitFor(submitCtx, "the service", func(ctx context.Context) error {
		return c.Send(ctx, http.MethodPost, c.Daemons[0].URL()+"/v1/teams/stock/jobs", job, nil)
	}); err != nil {
		b.Fatal(err)
	}
	time.Sleep(5 * time.Second) // the tasks start in this time, which is not measured
	for range b.N {
		reportControl(b, ctx, c)
	}
}

// reportControl measures for measureFor and reports the mean cost of a daemon, and the
// greatest cost of any daemon as a share of its target.
func reportControl(b *testing.B, ctx context.Context, c *Cluster) {
	b.Helper()
	before, linkBytesBefore := readControlFigures(b, ctx, c), c.LinkBytes()
	start := time.Now()
	time.Sleep(measureFor)
	after, secs := readControlFigures(b, ctx, c), time.Since(start).Seconds()
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
	b.ReportMetric(float64(c.LinkBytes()-linkBytesBefore)/secs, "region-link-B/s")
	b.ReportMetric(100*sum.cpu/n, "cpu-%/daemon")
	b.ReportMetric(worst.sent/targetControlBytes, "sent/target")
	b.ReportMetric(worst.cpu/targetControlCPU, "cpu/target")
	b.ReportMetric(worst.memory/targetMemory, "memory/target")
}

// readControlFigures returns the present figures of every daemon, in the order of c.Daemons.
func readControlFigures(b *testing.B, ctx context.Context, c *Cluster) []controlFigures {
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
