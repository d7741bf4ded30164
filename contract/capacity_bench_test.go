package contract

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// heapBytes returns the bytes of the live objects on the heap.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// controlRecord returns the record of an envelope at an offset of the control stream.
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

// newOwnedState returns a ControlState in which the given number of daemons own the given
// number of keys and all are in every electorate, and the offset of the next record.
func newOwnedState(b *testing.B, keys, daemons int) (*ControlState, upstream.Offset) {
	state, at := NewControlState(0), upstream.Offset(0)
	electorate := make([]string, daemons)
	for i := range electorate {
		electorate[i] = fmt.Sprintf("daemon-%02d", i)
		state.Apply(controlRecord(b, at, kindJoin, Daemon{ID: electorate[i], Incarnation: 1, Address: "10.0.0.1:9080", Zone: "zone-01", Region: "region-1"}))
		at++
	}
	for i := range keys {
		state.Apply(controlRecord(b, at, kindClaim, claimRecord{Daemon: electorate[i%daemons], Incarnation: 1, Electorate: electorate, Keys: []claimKey{{Key: benchKey(i)}}}))
		at++
	}
	return state, at
}

func benchKey(i int) Key { return Key(fmt.Sprintf("rack/zone-%02d/rack-%04d", i%18, i)) }

// BenchmarkControlFold reports the memory and the snapshot bytes per key, and the time to fold
// a grant, by the number of keys. It guards the figures of docs/CAPACITY.md against a fold
// whose time per record grows with the number of keys.
func BenchmarkControlFold(b *testing.B) {
	for _, keys := range []int{56, 500, 1740, 5000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			before := heapBytes()
			state, at := newOwnedState(b, keys, 24)
			memory := heapBytes() - before
			parts, err := state.Snapshot()
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
			state.Apply(controlRecord(b, at, kindClaim, claimRecord{Daemon: "daemon-00", Incarnation: 1, Keys: []claimKey{{Key: shard}}}))
			epoch := state.Key(shard).Epoch
			at++
			for b.Loop() {
				b.StopTimer()
				r := controlRecord(b, at, kindGrant, grantRecord{Shard: shard, Epoch: epoch, FromMS: from, ToMS: from + 60_000})
				record = len(r.Data)
				b.StartTimer()
				state.Apply(r)
				at, from = at+1, from+60_000
			}
			if len(state.grants[shard]) == 0 {
				b.Fatal("no grant was folded")
			}
			b.ReportMetric(memory/float64(keys), "memory-B/key")
			b.ReportMetric(float64(snapshot)/float64(keys), "snapshot-B/key")
			b.ReportMetric(float64(record), "B/grant")
			runtime.KeepAlive(state)
		})
	}
}

// BenchmarkElectorate reports the memory and the snapshot bytes per key, by the number of
// daemons in its electorate.
func BenchmarkElectorate(b *testing.B) {
	for _, daemons := range []int{8, 24, 72} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			const keys = 500
			var memory, snapshot float64
			for b.Loop() {
				before := heapBytes()
				state, _ := newOwnedState(b, keys, daemons)
				memory = (heapBytes() - before) / keys
				parts, err := state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				snapshot = 0
				for _, p := range parts {
					snapshot += float64(len(p.Body)) / keys
				}
				runtime.KeepAlive(state)
			}
			b.ReportMetric(memory, "memory-B/key")
			b.ReportMetric(snapshot, "snapshot-B/key")
			b.ReportMetric(0, "ns/op")
		})
	}
}
