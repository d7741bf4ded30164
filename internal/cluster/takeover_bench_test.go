package cluster

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// targetTakeover is the target for the time from the death of an owner until other daemons
// may act for all its keys.
const targetTakeover = 5 * time.Second

// BenchmarkTakeover kills daemons one after another with default settings and measures the
// time until other daemons may act for all their keys. Run it with -benchtime 3x: it kills
// each of three daemons of one region once.
func BenchmarkTakeover(b *testing.B) {
	ctx, c := startBenchCluster(b, 8, 4)
	if err := c.WaitForOwners(ctx, c.Daemons[0]); err != nil {
		b.Fatal(err)
	}
	before, err := c.logAppends(ctx)
	if err != nil {
		b.Fatal(err)
	}
	var worst, sum time.Duration
	var dead []string
	for i := range b.N {
		victim := c.Daemons[1+i%3]
		victim.Kill()
		dead = append(dead, victim.ID)
		start := time.Now()
		if err := c.WaitForOwners(ctx, c.Daemons[0], dead...); err != nil {
			b.Fatal(err)
		}
		took := time.Since(start)
		sum, worst = sum+took, max(worst, took)
		// The killed daemon is started again, so that the region keeps its majority.
		if err := c.StartDaemon(ctx, victim); err != nil {
			b.Fatal(err)
		}
		dead = nil
		time.Sleep(targetTakeover)
	}
	after, err := c.logAppends(ctx)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(sum.Seconds()/float64(b.N), "takeover-s")
	b.ReportMetric(worst.Seconds()/targetTakeover.Seconds(), "worst/target")
	b.ReportMetric(float64(after-before)/float64(b.N), "control-appends/death")
}

// logAppends returns the number of appends to the control stream.
func (c *Cluster) logAppends(ctx context.Context) (int, error) {
	var stats struct {
		Appends map[string]int `json:"appends"`
	}
	err := c.Send(ctx, http.MethodGet, c.Log.URL()+"/v1/stats", nil, &stats)
	return stats.Appends[upstream.StreamControl], err
}
