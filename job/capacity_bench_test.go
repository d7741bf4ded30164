package job

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
)

// liveHeapBytes returns the heap bytes in use after a garbage collection.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuSeconds returns the processor time that this process has used.
func cpuSeconds(tb testing.TB) float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// workerWithTasks returns a worker with n running tasks, as its rack owner knows it. Its
// regular renewals are too far apart to happen during the benchmark.
func workerWithTasks(b *testing.B, n int) *worker {
	c := newCellWith(b, 1, 1, 1, func(cfg *RackOwnerConfig) { cfg.RenewEvery, cfg.Lease = time.Hour, 4*time.Hour })
	d := c.daemons[0]
	j := testJob("service", workload.Service, n, 10, 0)
	j.Resources = machine.Resources{CPUMilli: 10, MemoryMiB: 10}
	c.submit(d, j)
	c.awaitRunning(d, j, n)
	tenure, err := d.rackOwner.tenure(string(c.racks[0]))
	if err != nil {
		b.Fatal(err)
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, w := range tenure.workers {
		return w
	}
	b.Fatal("no worker")
	return nil
}

// BenchmarkRenewal measures the bytes and the processor time, of rack owner and worker
// together, of one renewal by the number of tasks on the worker, and the memory of a task in
// the rack owner. It guards against a change to one message per task, which would make the
// figures in docs/CAPACITY.md wrong.
func BenchmarkRenewal(b *testing.B) {
	for _, n := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			w := workerWithTasks(b, n)
			reply, err := w.client.Inventory(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			body, err := json.Marshal(reply)
			if err != nil {
				b.Fatal(err)
			}
			used, renewals := cpuSeconds(b), 0
			for b.Loop() {
				w.sync(b.Context())
				renewals++
			}
			used = cpuSeconds(b) - used
			b.ReportMetric(float64(len(body)), "B/renewal")
			b.ReportMetric(1e6*used/float64(renewals), "cpu-us/renewal")
			b.ReportMetric(attemptBytes(w.tenure, reply)/float64(n), "memory-B/task")
		})
	}
}

// attemptBytes returns the bytes of memory that the attempts of one worker take in the rack
// owner.
func attemptBytes(t *rackTenure, reply machine.RenewReply) float64 {
	const copies = 64
	body, _ := json.Marshal(reply)
	var ws []*worker
	before := liveHeapBytes()
	for range copies {
		var r machine.RenewReply
		_ = json.Unmarshal(body, &r)
		w := &worker{tenure: t, attempts: make(map[machine.TaskRef]*rackAttempt)}
		w.adopt(r)
		ws = append(ws, w)
	}
	after := liveHeapBytes()
	runtime.KeepAlive(ws)
	return (after - before) / copies
}

// BenchmarkMessages measures the bytes per task of the messages between a job scheduler and a
// rack owner, by the number of tasks per message.
func BenchmarkMessages(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			place := &rpc.PlaceRequest{Call: &rpc.Call{Rack: "rack/zone-01/rack-0001", RackEpoch: 100_000, Shard: "jobs/region-1/0", ShardEpoch: 100_000, Number: 1_000_000}}
			reply, report := &rpc.PlaceReply{}, &rpc.ReportRequest{Rack: "rack/zone-01/rack-0001", RackEpoch: 100_000, Shard: "jobs/region-1/0", Revision: 1_000_000}
			start := machine.TaskSpec{ID: "01KBM000000000000000000000/1234", Attempt: 1, Job: "01KBM000000000000000000000", Team: "team-0123", Kind: "batch",
				Priority: 50, Resources: machine.Resources{CPUMilli: 4000, MemoryMiB: 8192}, RunTime: time.Minute, ShardEpoch: 100_000}
			for range n {
				place.Tasks = append(place.Tasks, &rpc.PlacedTask{Task: toTaskSpec(fromMachineTaskSpec(start)), Node: "worker-01234"})
				e := &rpc.TaskEvent{Task: start.ID, Attempt: 1, Node: "worker-01234", State: "finished", RanMs: 60_000, Used: toAmount(start.Resources)}
				report.Events = append(report.Events, e)
				reply.Tasks = append(reply.Tasks, &rpc.TaskEvent{Task: start.ID, Attempt: 1, Node: "worker-01234", State: "running"})
			}
			node := &rpc.NodeState{Id: "worker-01234", Total: toAmount(machine.Resources{CPUMilli: 64_000, MemoryMiB: 262_144, Accelerators: 2}),
				Foreign: toAmount(machine.Resources{CPUMilli: 30_000, MemoryMiB: 90_000}), Preemptible: toAmount(machine.Resources{CPUMilli: 10_000, MemoryMiB: 9_000})}
			size := 0
			for b.Loop() {
				size = proto.Size(place) + proto.Size(reply) + proto.Size(report)
			}
			b.ReportMetric(float64(proto.Size(place))/float64(n), "place-B/task")
			b.ReportMetric(float64(proto.Size(reply))/float64(n), "answer-B/task")
			b.ReportMetric(float64(proto.Size(report))/float64(n), "report-B/task")
			b.ReportMetric(float64(size)/float64(n), "total-B/task")
			b.ReportMetric(float64(proto.Size(node)), "B/capacity-delta")
		})
	}
}

// BenchmarkJobState measures the memory of an accepted job in the job scheduler and the bytes
// of its snapshot in the log, by the number of jobs.
func BenchmarkJobState(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			var memory, size float64
			for b.Loop() {
				before := liveHeapBytes()
				jobs := make(map[string]*jobState)
				for i := range n {
					j := testJob(fmt.Sprintf("01KBM0000000000000%08d", i), workload.Batch, 1, 1000, time.Minute)
					jobs[j.ID] = newJobState(j)
				}
				memory = (liveHeapBytes() - before) / float64(n)
				for _, j := range jobs {
					data, err := json.Marshal(j.snapshot("jobs/region-1/0"))
					if err != nil {
						b.Fatal(err)
					}
					size = float64(len(data))
					break
				}
				runtime.KeepAlive(jobs)
			}
			b.ReportMetric(memory, "memory-B/job")
			b.ReportMetric(size, "log-B/job")
			b.ReportMetric(0, "ns/op")
		})
	}
}
