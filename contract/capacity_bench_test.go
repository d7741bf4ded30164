package contract

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sassafraslb/sassafraslb/upstream"
)

func liveBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func controlRecord(b *testing.B, at upstream.Offset, kind string, body any) upstream.Record {
	e, err := upstream.NewEnvelope(kind, body)
	if err != nil {
		b.Fatal(err)
	}
	data, err := e.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return upstream.Record{Offset: at, Data: data}
}

// ownedBook returns a ControlState in which daemons, the electorate of all, own keys.
func ownedBook(b *testing.B, keys, daemons int) (*ControlState, upstream.Offset) {
	book, at := NewControlState(0), upstream.Offset(0)
	electorate := make([]string, daemons)
	for i := range electorate {
		electorate[i] = fmt.Sprintf("daemon-%02d", i)
		book.Apply(controlRecord(b, at, kindJoin, Daemon{ID: electorate[i], Incarnation: 1, Address: "10.0.0.1:9080", Zone: "zone-01", Region: "region-1"}))
		at++
	}
	for i := range keys {
		book.Apply(controlRecord(b, at, kindClaim, claimRecord{Daemon: electorate[i%daemons], Incarnation: 1, Electorate: electorate, Keys: []claimKey{{Key: benchKey(i)}}}))
		at++
	}
	return book, at
}

func benchKey(i int) Key { return Key(fmt.Sprintf("rack/zone-%02d/rack-%04d", i%18, i)) }

// BenchmarkControlFold gives the memory and the snapshot bytes of a key, and the
// time to fold a grant, by the number of keys. It guards docs/CAPACITY.md against a
// fold whose time per record grows with the number of keys.
func BenchmarkControlFold(b *testing.B) {
	for _, keys := range []int{56, 500, 1740, 5000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := liveBytes()
			book, at := ownedBook(b, keys, 24)
			memory := liveBytes() - before
			parts, err := book.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			snapshot, record := 0, 0
			for _, p := range parts {
				data, err := p.Encode()
				if err != nil {
					b.Fatal(err)
				}
				snapshot += len(data)
			}
			shard, from := Key("ids/region-1/0"), int64(1)
			book.Apply(controlRecord(b, at, kindClaim, claimRecord{Daemon: "daemon-00", Incarnation: 1, Keys: []claimKey{{Key: shard}}}))
			epoch := book.Key(shard).Epoch
			at++
			for b.Loop() {
				b.StopTimer()
				r := controlRecord(b, at, kindGrant, grantRecord{Shard: shard, Epoch: epoch, FromMS: from, ToMS: from + 60_000})
				record = len(r.Data)
				b.StartTimer()
				book.Apply(r)
				at, from = at+1, from+60_000
			}
			if len(book.grants[shard]) == 0 {
				b.Fatal("no grant is in force")
			}
			b.ReportMetric(memory/float64(keys), "memory-B/key")
			b.ReportMetric(float64(snapshot)/float64(keys), "snapshot-B/key")
			b.ReportMetric(float64(record), "B/grant")
			runtime.KeepAlive(book)
		})
	}
}

// BenchmarkElectorate gives the memory and the snapshot bytes of a key, by the
// number of daemons in its electorate.
func BenchmarkElectorate(b *testing.B) {
	for _, daemons := range []int{8, 24, 72} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			const keys = 500
			var memory, snapshot float64
			for b.Loop() {
				before := liveBytes()
				book, _ := ownedBook(b, keys, daemons)
				memory = (liveBytes() - before) / keys
				parts, err := book.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				snapshot = 0
				for _, p := range parts {
					snapshot += float64(len(p.Body)) / keys
				}
				runtime.KeepAlive(book)
			}
			b.ReportMetric(memory, "memory-B/key")
			b.ReportMetric(snapshot, "snapshot-B/key")
			b.ReportMetric(0, "ns/op")
		})
	}
}
