package upstream_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// countedBody adds the bytes of answer bodies to *bytes.
type countedBody struct {
	http.ResponseWriter
	bytes *int
}

func (c countedBody) Write(p []byte) (int, error) {
	*c.bytes += len(p)
	return c.ResponseWriter.Write(p)
}

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// listedHosts returns n workers in 18 zones, 16 per rack.
func listedHosts(n int) (out []upstream.Host) {
	for i := range n {
		out = append(out, upstream.Host{ID: fmt.Sprintf("worker-%05d", i), Kind: upstream.WorkerHost, Address: fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255),
			Zone: zone.Name(fmt.Sprintf("zone-%02d", i%18)), Rack: fmt.Sprintf("rack-%04d", i/16), State: upstream.Live,
			Resources: machine.Resources{CPUMilli: 64_000, MemoryMiB: 262_144, Accelerators: int64(i % 3)}})
	}
	return out
}

// BenchmarkHostList measures the bytes and the time of a read of the host list after a change
// and without one, and the memory of the list. It guards the figures in docs/CAPACITY.md
// against an unchanged list that is sent again.
func BenchmarkHostList(b *testing.B) {
	for _, n := range []int{48, 1000, 9000, 27_000} {
		for _, changed := range []bool{true, false} {
			b.Run(fmt.Sprintf("hosts=%d/changed=%v", n, changed), func(b *testing.B) {
				list, bodyBytes := standin.NewHostList(0), 0
				list.Set(listedHosts(n)...)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					list.ServeHTTP(countedBody{w, &bodyBytes}, r)
				}))
				defer server.Close()
				before := heapBytes()
				client := upstream.NewHostClient(upstream.ClientConfig{BaseURL: server.URL})
				hosts, err := client.Hosts(b.Context())
				if err != nil || len(hosts) != n {
					b.Fatalf("%d hosts, want the whole list, error %v", len(hosts), err)
				}
				memory := heapBytes() - before
				bodyBytes = 0
				reads := 0
				for b.Loop() {
					if changed {
						client = upstream.NewHostClient(upstream.ClientConfig{BaseURL: server.URL})
					}
					if hosts, err = client.Hosts(b.Context()); err != nil {
						b.Fatal(err)
					}
					reads++
				}
				b.ReportMetric(float64(bodyBytes)/float64(reads), "body-B/read")
				b.ReportMetric(memory/float64(n), "memory-B/host")
				runtime.KeepAlive(hosts)
			})
		}
	}
}
