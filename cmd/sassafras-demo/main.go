// Command sassafras-demo runs a small cell of two regions and three availability
// zones as processes on loopback: it applies a sheet, places jobs, sends
// requests, kills a daemon on the way, and checks what the stand-ins recorded.
// It ends by itself and exits with 1 if anything was lost, doubled, crossed or
// overcommitted.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sassafraslb/sassafraslb/internal/cluster"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/zone"
)

// limit ends the demonstration in any case.
const limit = 58 * time.Second

// workerSize is the capacity of each worker.
var workerSize = machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}

func main() {
	exe, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	dir, err := os.MkdirTemp("", "sassafras-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	code := run(ctx, filepath.Dir(exe), dir)
	cancel()
	if code == 0 {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs of the processes are kept in", dir)
	}
	os.Exit(code)
}

func run(ctx context.Context, bin, dir string) int {
	c, err := cluster.Start(ctx, cluster.Options{
		BinDir: bin, Dir: dir,
		Regions:   map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}},
		LogRegion: "lombardy", TimeZone: "Europe/Rome",
		Daemons: []zone.Name{"lom-bergamo", "lom-monza", "lom-bergamo", "ven-treviso", "ven-treviso"},
		Workers: 4, Executors: 2,
		Capacity: workerSize, ServiceTime: 20 * time.Millisecond, Seed: 1, LinkDelay: 8 * time.Millisecond,
		Settings: map[string]any{"log_level": "info"},
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "start:", err)
		return 1
	}
	defer c.Close()
	d := &demo{c: c, bin: bin, dir: dir}
	if err := d.play(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "failed:", err)
		return 1
	}
	return d.report(ctx)
}
