// Command sassafras-demo runs a small cell of two regions and three availability
// zones as processes on loopback. It applies a sheet, submits jobs, sends requests,
// kills a daemon meanwhile, and checks the records of the stand-ins of the platform.
// It ends by itself and exits with 1 if a step failed, if work was lost, if something that
// must not repeat ran twice, if an answer belonged to another request, or if a worker or
// executor was overcommitted.
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

// maxRunTime bounds the whole demonstration.
const maxRunTime = 58 * time.Second

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
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	code := run(ctx, filepath.Dir(exe), dir)
	cancel()
	if code == 0 {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("settings and logs of the processes are kept in", dir)
	}
	os.Exit(code)
}

// run starts the cell, runs the demonstration and returns the exit code. bin is the directory
// of the programs, dir that of their settings and logs.
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
	d := &demo{cluster: c, bin: bin, dir: dir}
	if err := d.runSteps(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "failed:", err)
		return 1
	}
	return d.report(ctx)
}
