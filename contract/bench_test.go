package contract_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// peerBytes returns the bytes that d has sent to and received from other daemons: all of
// them, and those of other regions.
func peerBytes(d *daemon) (total, cross uint64) {
	for distance, b := range d.counters.Snapshot() {
		total += b.In + b.Out
		if distance == zone.CrossRegion {
			cross += b.In + b.Out
		}
	}
	return total, cross
}

// BenchmarkHeartbeatBytes reports the bytes between daemons per heartbeat interval and daemon,
// in both directions, for 7 daemons. The default interval of 500 ms makes two intervals per
// second.
func BenchmarkHeartbeatBytes(b *testing.B) {
	c := newCell(b, standin.LogConfig{})
	c.configure = func(cfg *contract.Config) { cfg.SnapshotInterval = time.Hour }
	var ds []*daemon
	for i := range 7 {
		z := []zone.Name{"lom-bergamo", "lom-monza", "ven-treviso"}[i%3]
		ds = append(ds, c.start(fmt.Sprint("d", i), z, 1))
	}
	eventually(b, "all keys held", func() bool { return countHeld(ds...) == logRegionKeys+8 })
	c.waitNoNewRecords()
	const intervals = 60
	var total, cross, toLog uint64
	for b.Loop() {
		before, logBefore := make([][2]uint64, len(ds)), logBytes(ds)
		for i, d := range ds {
			before[i][0], before[i][1] = peerBytes(d)
		}
		time.Sleep(intervals * 50 * time.Millisecond)
		toLog += logBytes(ds) - logBefore
		for i, d := range ds {
			sum, sumCross := peerBytes(d)
			total, cross = total+sum-before[i][0], cross+sumCross-before[i][1]
		}
	}
	n := float64(b.N * intervals * len(ds))
	b.ReportMetric(float64(total)/n, "B/interval/daemon")
	b.ReportMetric(float64(cross)/n, "cross-region-B/interval/daemon")
	// Most polls of the log return no record. The fixture polls every 100 ms, which is two of
	// its heartbeat intervals.
	b.ReportMetric(2*float64(toLog)/n, "log-B/poll/daemon")
	b.ReportMetric(0, "ns/op")
}

// logBytes returns the bytes that ds have sent to and received from the log.
func logBytes(ds []*daemon) (n uint64) {
	for _, d := range ds {
		s := d.logBytes.Snapshot()[zone.SameZone]
		n += s.In + s.Out
	}
	return n
}

// countHeld returns the number of keys that ds hold.
func countHeld(ds ...*daemon) int {
	n := 0
	for _, d := range ds {
		n += len(d.claimer.Held())
	}
	return n
}

// BenchmarkTakeover reports, for the death of one of four daemons that share 48 racks and 8
// shards, the appends to the control stream, their records and bytes, and the keys that
// changed their owner.
func BenchmarkTakeover(b *testing.B) {
	var appends, moved, bytes, records int
	for b.Loop() {
		c := newCell(b, standin.LogConfig{})
		c.configure = func(cfg *contract.Config) { cfg.SnapshotInterval = time.Hour }
		for i := range 48 {
			c.hosts.Set(upstream.Host{ID: fmt.Sprintf("w%d", i), Kind: upstream.WorkerHost, Zone: "lom-monza", Rack: fmt.Sprint(i), State: upstream.Live})
		}
		var ds []*daemon
		for i := range 4 {
			ds = append(ds, c.start(fmt.Sprint("d", i), "lom-monza", 1))
		}
		const keys = 48 + 8
		eventually(b, "all keys held", func() bool { return countHeld(ds...) == keys })
		c.waitNoNewRecords()
		victim, from, appendsBefore := ds[0], c.head(), c.log.Appends(upstream.StreamControl)
		moved += len(victim.claimer.Held())
		victim.stop()
		eventually(b, "keys taken over", func() bool { return countHeld(ds[1:]...) == keys })
		appends += c.log.Appends(upstream.StreamControl) - appendsBefore
		got, err := upstream.NewLogClient(upstream.ClientConfig{BaseURL: c.logURL}).Read(b.Context(), upstream.StreamControl, from, 1000, 0)
		if err != nil {
			b.Fatal(err)
		}
		for _, r := range got.Records {
			bytes, records = bytes+len(r.Data), records+1
		}
		for _, d := range ds[1:] {
			d.stop()
		}
	}
	n := float64(b.N)
	b.ReportMetric(float64(appends)/n, "appends/takeover")
	b.ReportMetric(float64(records)/n, "records/takeover")
	b.ReportMetric(float64(bytes)/n, "record-B/takeover")
	b.ReportMetric(float64(moved)/n, "keys/takeover")
	b.ReportMetric(0, "ns/op")
}
