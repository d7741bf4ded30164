package placement

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"
)

var schedulers = []string{"engine", "engine-declared", "firstfit", "random", "spread"}

func newPlacer(name string) placer {
	switch name {
	case "engine":
		return New(Config{})
	case "engine-declared":
		return New(Config{NoLearning: true})
	}
	return baselines[name]()
}

func benchMixes() []mix {
	return []mix{shortMix(1, time.Minute), duesMix(1, 60_000), hardMix(1, 4*time.Minute), churnMix(1000, 1), churnMix(9000, 1)}
}

// BenchmarkMixes replays every mix with every scheduler and prints one table.
// Run it with -benchtime 1x, and with GOMAXPROCS=1 for the figures of one core.
func BenchmarkMixes(b *testing.B) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "mix\tscheduler\talloc%\treal%\tmakespan/bound\tlate%\tfailed\tdecisions/s\tp50 us\tp99 us\tallocs\tp50/p99 wait in ms by class")
	for _, m := range benchMixes() {
		for _, name := range schedulers {
			b.Run(m.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					fmt.Fprintln(w, row(b, m, name))
				}
			})
		}
	}
	w.Flush()
}

func row(b *testing.B, m mix, name string) string {
	limit := 0
	if strings.HasPrefix(m.name, "churn") {
		limit = 10 * len(m.nodes) // bounded, because the baselines scan every worker
	}
	o, allocs := replay(b, m, newPlacer(name), limit)
	var waits []string
	for class, h := range o.waits {
		waits = append(waits, fmt.Sprintf("%s %d/%d", class, h.ValueAtQuantile(50), h.ValueAtQuantile(99)))
	}
	slices.Sort(waits)
	ratio := o.makespan.Seconds() / bound(m.nodes, m.in).Seconds()
	if limit > 0 {
		ratio = 0
	}
	waited := max(o.waitTime.Seconds(), 1e-9)
	report(b, o, ratio)
	return fmt.Sprintf("%s\t%s\t%.1f\t%.1f\t%.3f\t%.1f\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%s", m.name, name,
		100*o.allocArea/waited, 100*o.realArea/waited, ratio, 100*float64(o.late)/float64(max(o.placed, 1)), o.failed,
		float64(o.placed)/o.busy.Seconds(), float64(o.decide.ValueAtQuantile(50))/1e3,
		float64(o.decide.ValueAtQuantile(99))/1e3, allocs, strings.Join(waits, " "))
}

// report gives the figures of a replay that make bench prints. Packing is the
// volume bound over the makespan.
func report(b *testing.B, o outcome, ratio float64) {
	if ratio > 0 {
		b.ReportMetric(1/ratio, "packing")
	}
	b.ReportMetric(100*o.allocArea/max(o.waitTime.Seconds(), 1e-9), "allocated-%")
	b.ReportMetric(float64(o.placed)/o.busy.Seconds(), "decisions/s")
	b.ReportMetric(float64(o.decide.ValueAtQuantile(99))/1e3, "p99-us")
	var sum, n float64
	for _, h := range o.waits {
		sum, n = sum+h.Mean()*float64(h.TotalCount()), n+float64(h.TotalCount())
	}
	b.ReportMetric(sum/max(n, 1), "wait-ms")
	if h := o.waits["urgent"]; h != nil {
		b.ReportMetric(float64(h.ValueAtQuantile(99)), "urgent-p99-ms")
	}
}

// replay returns the outcome and the allocations per placed task, including
// those of the replay itself.
func replay(tb testing.TB, m mix, p placer, limit int) (outcome, float64) {
	var before, after runtime.MemStats
	s := newSim(tb, p, m.nodes, slices.Clone(m.in))
	runtime.GC()
	runtime.ReadMemStats(&before)
	o := s.run(limit)
	runtime.ReadMemStats(&after)
	return o, float64(after.Mallocs-before.Mallocs) / float64(max(o.placed, 1))
}
