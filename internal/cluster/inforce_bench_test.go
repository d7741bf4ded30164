package cluster

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/daemon"
)

// targetInForce is the target for the time from the acceptance of a change until every
// daemon has it in force.
const targetInForce = 4 * time.Second

// BenchmarkInForce submits configuration changes through each daemon in turn and measures
// the time from acceptance until all eight daemons have the version in force.
func BenchmarkInForce(b *testing.B) {
	ctx, c := startBenchCluster(b, 1, 1)
	for _, n := range c.Daemons {
		if err := c.WaitForReady(ctx, n); err != nil {
			b.Fatal(err)
		}
	}
	h := hdrhistogram.New(1, targetInForce.Microseconds()*10, 3)
	linkBytesBefore := c.LinkBytes()
	start := time.Now()
	for i := range b.N {
		took, err := c.changeInForce(ctx, c.Daemons[i%len(c.Daemons)], i)
		if err != nil {
			b.Fatal(err)
		}
		if err := h.RecordValue(took.Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
	b.ReportMetric(float64(h.Max())/float64(targetInForce.Microseconds()), "max/target")
	b.ReportMetric(float64(c.LinkBytes()-linkBytesBefore)/float64(b.N), "region-link-B/change")
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "changes/s")
}

// changeInForce submits change number i through n and returns the time from its acceptance
// until every daemon has reported the version.
func (c *Cluster) changeInForce(ctx context.Context, n *Node, i int) (time.Duration, error) {
	change := daemon.ChangeBody{ID: ulid.Make().String(), Mode: "merge", By: "bench", Ops: []config.Op{
		{Team: &config.Team{Name: fmt.Sprintf("team-%d", i), Home: "lombardy", Weight: 1 + i%9}},
	}}
	var shown struct {
		Version uint64 `json:"version"`
	}
	if err := c.Send(ctx, http.MethodGet, n.URL()+"/v1/config", nil, &shown); err != nil {
		return 0, err
	}
	change.Base = shown.Version
	var res daemon.ChangeResult
	if err := c.Send(ctx, http.MethodPost, n.URL()+"/v1/config/changes", change, &res); err != nil {
		return 0, err
	}
	accepted := time.Now()
	for _, d := range c.Daemons {
		err := WaitFor(ctx, "the change at "+d.ID, func(ctx context.Context) error {
			var got struct {
				Version uint64 `json:"version"`
			}
			if err := c.Send(ctx, http.MethodGet, d.URL()+"/v1/config", nil, &got); err != nil {
				return err
			}
			if got.Version < res.Version {
				return fmt.Errorf("version %d, want %d", got.Version, res.Version)
			}
			return nil
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(accepted), nil
}
