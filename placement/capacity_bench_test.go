package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// liveHeapBytes returns the heap in use after garbage collection.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkEngineState reports the memory of the engine per worker, team, waiting job
// and running task, and the time per placed task, by the number of workers. It guards
// the figures of docs/CAPACITY.md against memory per worker, or time per decision, that
// grows with the size of the cell.
func BenchmarkEngineState(b *testing.B) {
	for _, n := range []int{48, 1000, 5400, 27_000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				engineState(b, n)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// engineState fills an engine with n workers and their tasks and reports what it needs.
func engineState(b *testing.B, n int) {
	const tasksPerWorker = 13 // about 360,000 tasks on 27,000 workers
	nodes := newWorkers(n, 16, italianZones, machine.Resources{CPUMilli: 64_000, MemoryMiB: 262_144, Accelerators: 2})
	last := liveHeapBytes()
	heapGrowth := func() float64 {
		now := liveHeapBytes()
		growth := now - last
		last = now
		return growth
	}
	e := New(Config{})
	for _, node := range nodes {
		e.SetNode(node)
	}
	b.ReportMetric(heapGrowth()/float64(n), "B/worker")
	for i := range 1200 {
		e.SetTeam(fmt.Sprint("team", i), machine.Resources{CPUMilli: 1 << 40, MemoryMiB: 1 << 40, Accelerators: 1 << 40}, 1)
	}
	b.ReportMetric(heapGrowth()/1200, "B/team")
	jobs := n * tasksPerWorker
	for i := range jobs {
		j := workload.Job{ID: fmt.Sprintf("01KBM0000000000000%08d", i), Team: fmt.Sprint("team", i%1200), Family: fmt.Sprint("f", i%40), Kind: workload.Batch,
			Count: 1, Resources: machine.Resources{CPUMilli: 1000 + int64(i%8)*250, MemoryMiB: 2048}, Priority: workload.Normal, RunTime: time.Minute, Retries: 3}
		if err := e.Submit(j, startTime); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(heapGrowth()/float64(jobs), "B/job")
	placed, began := 0, time.Now()
	for {
		ps := e.Decide(startTime, 256)
		if len(ps) == 0 {
			break
		}
		for _, p := range ps {
			for _, a := range p.Assignments {
				e.Commit(a.Task.ID, a.Task.Attempt)
				placed++
			}
		}
	}
	elapsed := time.Since(began)
	if placed < jobs*9/10 {
		b.Fatalf("%d of %d tasks were placed, want at least nine tenths", placed, jobs)
	}
	b.ReportMetric(heapGrowth()/float64(placed), "B/task")
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(placed)/1000, "us/task")
	runtime.KeepAlive(e)
}
