package link_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/zone"
)

// cpuSeconds returns the user and system CPU time of this process.
func cpuSeconds(tb testing.TB) float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// heapBytes returns the bytes of live heap objects and stacks after a garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkMembership measures the bytes, CPU time and memory that membership costs a daemon
// at the default heartbeat interval, by the number of daemons. It guards the figures in
// docs/CAPACITY.md against a cost per peer that grows with the number of peers. More than 64
// daemons in one process need more than 20,000 open files.
func BenchmarkMembership(b *testing.B) {
	for _, n := range []int{8, 32, 64} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			empty := heapBytes()
			ds := startCell(b, n)
			deadline := time.Now().Add(30 * time.Second)
			for !allAlive(ds) {
				if time.Now().After(deadline) {
					b.Fatal("not all daemons are alive to each other after 30 s")
				}
				time.Sleep(50 * time.Millisecond)
			}
			var bytes, cpu, secs float64
			for b.Loop() {
				sent, used, start := sentBytes(ds), cpuSeconds(b), time.Now()
				time.Sleep(5 * time.Second)
				bytes, cpu, secs = bytes+sentBytes(ds)-sent, cpu+cpuSeconds(b)-used, secs+time.Since(start).Seconds()
			}
			b.ReportMetric(bytes/secs/float64(n), "sent-B/s/daemon")
			b.ReportMetric(100*cpu/secs/float64(n), "cpu-%/daemon")
			b.ReportMetric((heapBytes()-empty)/float64(n)/1000, "memory-kB/daemon")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// startCell starts n daemons that know each other, a third of them in another region.
func startCell(b *testing.B, n int) []*testDaemon {
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"r1": {"z1", "z2"}, "r2": {"z3"}})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	b.Cleanup(func() { cancel(); wg.Wait() })
	var ds []*testDaemon
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		z := []zone.Name{"z1", "z2", "z3"}[i%3]
		region, _ := topology.Region(z)
		d := &testDaemon{counters: &link.ByteCounters{}}
		d.Membership = link.NewMembership(link.Config{Self: link.Member{ID: fmt.Sprint("d", i), Address: listener.Addr().String(), Zone: z, Region: region},
			Incarnation: 1, Topology: topology, Counters: d.counters, SuspectAfter: time.Minute})
		server := link.NewServer(link.ServerConfig{Listener: listener, Zone: z, Topology: topology, Counters: d.counters})
		if err := server.Register(d.Membership.Register); err != nil {
			b.Fatal(err)
		}
		wg.Go(func() { _ = server.Run(ctx) })
		wg.Go(func() { _ = d.Membership.Run(ctx) })
		ds = append(ds, d)
	}
	introduce(ds...)
	return ds
}

// allAlive reports whether every daemon sees all daemons alive.
func allAlive(ds []*testDaemon) bool {
	for _, d := range ds {
		alive := 0
		for _, m := range d.Membership.Members() {
			if m.State == link.Alive {
				alive++
			}
		}
		if alive < len(ds) {
			return false
		}
	}
	return true
}

// sentBytes returns the bytes that the daemons sent so far, over all distances.
func sentBytes(ds []*testDaemon) (sum float64) {
	for _, d := range ds {
		for _, c := range d.counters.Snapshot() {
			sum += float64(c.Out)
		}
	}
	return sum
}
