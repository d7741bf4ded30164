package config

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// capacityImage returns an image of the size in docs/CAPACITY.md: 1,200 teams and n intentions.
func capacityImage(n int) Image {
	im := emptyImage()
	st := im.State.clone()
	st.Today = "2026-12-04"
	for i := range 1200 {
		o := teamOp(fmt.Sprint("team", i), int64(i%90+10))
		st.Teams[o.Team.Name] = *o.Team
	}
	for i := range n {
		it := newIntention(workload.Batch, fmt.Sprint("batch", i), fmt.Sprintf("%02d:%02d", i%24, i%60), time.Hour)
		it.Job.Team = fmt.Sprint("team", i%1200)
		st.Intentions[IntentionKey(it.Job.Team, it.Name)] = it
	}
	im.State = st
	return im
}

// BenchmarkStart reports what a starting store reads, by length of the history. With
// snapshots it must not grow with that length.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{1000, 10_000, 40_000} {
		for _, every := range []int{0, 1000} {
			b.Run(fmt.Sprintf("history=%d/snapshot_every=%d", n, every), func(b *testing.B) {
				l := newFakeLog()
				im := emptyImage()
				for i := range n {
					if every > 0 && i%every == every/2 {
						parts, err := encodeSnapshot(fmt.Sprint("s", i), im, testNow(), 128<<10)
						if err != nil {
							b.Fatal(err)
						}
						l.appendRecords(parts...)
						im.Next = l.head()
					}
					rec := changeRecord{FormatVersion: 1, Base: im.State.Version, Today: "2026-12-04", Changes: []change{{ID: fmt.Sprint(i), By: "anna", Day: "2026-12-04", Ops: []Op{teamOp(fmt.Sprint("t", i%200), int64(i))}}}}
					data, err := encodeChange(rec)
					if err != nil {
						b.Fatal(err)
					}
					r := upstream.Record{Offset: l.appendRecords(data), Data: data}
					if im, _, err = im.fold(r, 10_000); err != nil {
						b.Fatal(err)
					}
				}
				for b.Loop() {
					d := startDaemon(b, l, nil).awaitReady(b)
					if d.Current().Version != im.State.Version {
						b.Fatalf("version %d, want %d", d.Current().Version, im.State.Version)
					}
					d.stop()
					b.ReportMetric(float64(d.log.reads), "reads/start")
					b.ReportMetric(float64(d.log.readRecords), "records/start")
					b.ReportMetric(float64(d.log.readBytes), "bytes/start")
				}
			})
		}
	}
}

// BenchmarkInForce reports the reads per daemon from the append of a change until 8
// daemons have it in force.
func BenchmarkInForce(b *testing.B) {
	l := newFakeLog()
	var daemons []*daemon
	for range 8 {
		daemons = append(daemons, startDaemon(b, l, nil).awaitReady(b))
	}
	reads := func() (n int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, d := range daemons {
			n += d.log.reads
		}
		return n
	}
	// idle waits until every daemon has a long poll open, so that each change is counted with all its reads.
	idle := func() {
		eventually(b, "every daemon has a long poll open", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.openPolls == len(daemons) })
	}
	total, n := 0, 0
	for b.Loop() {
		idle()
		before := reads()
		v := daemons[0].publishChanges(b, 1)
		for _, d := range daemons {
			d.awaitVersion(b, v)
		}
		idle()
		total += reads() - before
		n++
	}
	b.ReportMetric(float64(total)/float64(n*len(daemons)), "reads/daemon/change")
}

// BenchmarkMorningBurst reports appends and bytes per change when 8 daemons get 1,000
// small changes each at the same time.
func BenchmarkMorningBurst(b *testing.B) {
	const daemons, each = 8, 1000
	for b.Loop() {
		l := newFakeLog()
		var wg sync.WaitGroup
		var all []*daemon
		for i := range daemons {
			d := startDaemon(b, l, func(_ *StoreConfig, pc *PublisherConfig) { pc.Linger = 0 }).awaitReady(b)
			all = append(all, d)
			for j := range each {
				wg.Go(func() {
					name := fmt.Sprintf("team-%d-%d", i, j)
					if _, err := d.publisher.Submit(context.Background(), newProposal("01KBM0000000000000"+name, d.Current().Version, Merge, teamOp(name, 1))); err != nil {
						b.Error(err)
					}
				})
			}
		}
		wg.Wait()
		for _, d := range all {
			eventually(b, "every change is in force", func() bool { return len(d.Current().Teams) == daemons*each })
		}
		appends, bytes := 0, 0
		for _, r := range l.records {
			bytes += len(r.Data)
		}
		for _, d := range all {
			d.stop()
			appends += d.log.appends
		}
		b.ReportMetric(float64(appends)/(daemons*each), "appends/change")
		b.ReportMetric(float64(bytes)/(daemons*each), "bytes/change")
	}
}

// BenchmarkChangeBytes reports the size of one record in the log.
func BenchmarkChangeBytes(b *testing.B) {
	sizes := map[string][]Op{"small": {teamOp("valuations", 4)}, "sheet_of_1000": nil}
	for i := range 1000 {
		sizes["sheet_of_1000"] = append(sizes["sheet_of_1000"], putIntention(newIntention(workload.Batch, fmt.Sprint("batch", i), "06:00", time.Hour)))
	}
	for _, name := range sortedKeys(sizes) {
		b.Run(name, func(b *testing.B) {
			var data []byte
			for b.Loop() {
				rec := changeRecord{FormatVersion: 1, Base: 123456, Today: "2026-12-04", Changes: []change{{ID: "01KBM000000000000000000000", By: "anna", PublishedAt: testNow(), Day: "2026-12-04", Ops: sizes[name]}}}
				var err error
				if data, err = encodeChange(rec); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes/record")
			b.ReportMetric(float64(len(data))/float64(len(sizes[name])), "bytes/op")
		})
	}
}

// BenchmarkFoldSmallChange reports the time to encode and fold a change of one team, by number of intentions.
func BenchmarkFoldSmallChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("intentions=%d", n), func(b *testing.B) {
			im := capacityImage(n)
			for b.Loop() {
				rec := changeRecord{FormatVersion: 1, Base: im.State.Version, Today: "2026-12-04", Changes: []change{{ID: "x", Day: "2026-12-04", Ops: []Op{teamOp("team7", int64(im.Next)+100)}}}}
				data, err := encodeChange(rec)
				if err != nil {
					b.Fatal(err)
				}
				if im, _, err = im.fold(upstream.Record{Offset: im.Next, Data: data}, 10_000); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDesired reports the time of DesiredJobs per intention.
func BenchmarkDesired(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		b.Run(fmt.Sprintf("intentions=%d", n), func(b *testing.B) {
			st := capacityImage(n).State
			for b.Loop() {
				DesiredJobs(st, testNow(), rome)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/intention")
		})
	}
}
