package request

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sys/unix"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
)

// liveBytes returns the size of the reachable heap.
func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRecorderState reports the memory per remembered id, without the answer,
// and the time to admit one, by the number of ids. The memory per id must not grow
// with the number of ids, as docs/CAPACITY.md assumes.
func BenchmarkRecorderState(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("ids=%d", n), func(b *testing.B) {
			var memory, micros float64
			for b.Loop() {
				c := newTestCell(b)
				d := c.startDaemon("d1", "w1", nil)
				shards := []contract.Key{}
				for i := range 4 {
					shards = append(shards, contract.IDsKey("west", i))
				}
				c.setOwner("d1", shards...)
				rec := d.svc.recorder
				records := make([]*record, 0, n)
				before, started := liveBytes(), time.Now()
				for range n {
					r := &request{customer: "acme", class: Nudge, id: ulid.Make()}
					kept, first, rep := rec.admit(shards[0], r, time.Now())
					if !first {
						b.Fatalf("not admitted: %v", rep.err)
					}
					rec.finish(kept, failed(errkind.New(errkind.UpstreamFailed, "bench", "no answer is kept")))
					records = append(records, kept)
				}
				micros = float64(time.Since(started).Microseconds()) / float64(n)
				memory = (liveBytes() - before) / float64(n)
				runtime.KeepAlive(records)
			}
			b.ReportMetric(memory, "memory-B/id")
			b.ReportMetric(micros, "us/id")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCall reports the processor time of a call that enters at one daemon while
// its executor group, and for a nudge its recorder, is at another, by the size of the
// body. The time covers the caller, both daemons and the executor stand-in.
func BenchmarkCall(b *testing.B) {
	for _, class := range []Class{Valuation, Nudge} {
		for _, size := range []int{100, 10_000, 100_000} {
			b.Run(fmt.Sprintf("class=%s/body=%d", class, size), func(b *testing.B) {
				c := newTestCell(b)
				c.startExecutor("w1", "a", standin.ExecutorConfig{Slots: 8, ServiceTime: time.Millisecond})
				d1, d2 := c.startDaemon("d1", "w1", nil), c.startDaemon("d2", "w1", nil)
				c.setOwner("d2", contract.ExecKey("w1", "a"))
				c.setIDShardOwners("west", "d2")
				c.waitForSlots(8, d1, d2)
				body := strings.Repeat("x", size)
				used, calls := cpuSeconds(b), 0
				for b.Loop() {
					if _, err := doCall(d1, class, ulid.Make().String(), body, time.Minute); err != nil {
						b.Fatal(err)
					}
					calls++
				}
				b.ReportMetric(1e6*(cpuSeconds(b)-used)/float64(calls), "cpu-us/call")
			})
		}
	}
}

// cpuSeconds returns the processor time that this process has used.
func cpuSeconds(tb testing.TB) float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}
