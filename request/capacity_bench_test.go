package request

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
)

func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRecorderState gives the memory per remembered id, without the answer,
// and the time to admit one. It guards docs/CAPACITY.md against state per id that
// grows with the number of ids.
func BenchmarkRecorderState(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("ids=%d", n), func(b *testing.B) {
			var memory, micros float64
			for b.Loop() {
				c := newCell(b)
				d := c.daemon("d1", "w1", nil)
				shards := []contract.Key{}
				for i := range 4 {
					shards = append(shards, contract.IDsKey("west", i))
				}
				c.own("d1", shards...)
				rec := d.svc.recorder
				keep := make([]*record, 0, n)
				before, at := liveBytes(), time.Now()
				for range n {
					r := &request{customer: "acme", class: Nudge, id: ulid.Make()}
					kept, first, rep := rec.admit(shards[0], r, time.Now())
					if !first {
						b.Fatalf("not admitted: %v", rep.err)
					}
					rec.finish(kept, failed(errkind.New(errkind.UpstreamFailed, "bench", "no answer is kept")))
					keep = append(keep, kept)
				}
				micros = float64(time.Since(at).Microseconds()) / float64(n)
				memory = (liveBytes() - before) / float64(n)
				runtime.KeepAlive(keep)
			}
			b.ReportMetric(memory, "memory-B/id")
			b.ReportMetric(micros, "us/id")
			b.ReportMetric(0, "ns/op")
		})
	}
}
