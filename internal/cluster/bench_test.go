package cluster

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/zone"
)

// eightDaemons holds the zones of eight daemons, five of them in lombardy.
var eightDaemons = []zone.Name{
	"lom-bergamo", "lom-monza", "lom-bergamo", "lom-monza", "lom-bergamo", "ven-treviso", "ven-treviso", "ven-treviso",
}

// startBenchCluster starts eight daemons in two regions with default settings and the
// given numbers of workers and executors per zone. The cluster is closed when b ends.
func startBenchCluster(b *testing.B, workers, executors int) (context.Context, *Cluster) {
	b.Helper()
	bin, err := filepath.Abs("../../bin")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	b.Cleanup(cancel)
	c, err := Start(ctx, Options{
		BinDir: bin, Dir: b.TempDir(),
		Regions:   map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}},
		LogRegion: "lombardy", TimeZone: "Europe/Rome", Daemons: eightDaemons, Workers: workers, Executors: executors,
		Capacity: machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}, ServiceTime: 10 * time.Millisecond,
		LinkDelay: 8 * time.Millisecond,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return ctx, c
}
