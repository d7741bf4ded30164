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

var schedulerNames = []string{"engine", "engine-declared", "firstfit", "random", "spread"}

// newPlacer returns a new scheduler by its name in schedulerNames.
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

// BenchmarkMixes simulates every mix with every scheduler and prints one table. Run it
// with -benchtime 1x, and with GOMAXPROCS=1 for the figures of one core.
func BenchmarkMixes(b *testing.B) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "mix\tscheduler\talloc%\treal%\tmakespan/bound\tlate%\tfailed\tdecisions/s\tp50 us\tp99 us\tallocs\tp50/p99 wait in ms by class")
	for _, m := range benchMixes() {
		for _, name := range schedulerNames {
			b.Run(m.name+"/"+name, func(b *testing.B) {
				for b.Loop() {
					fmt.Fprintln(w, tableRow(b, m, name))
				}
			})
		}
	}
	w.Flush()
}

// tableRow simulates m with the scheduler, reports the metrics and returns a row of
// the table.
func tableRow(b *testing.B, m mix, name string) string {
	limit := 0
	if strings.HasPrefix(m.name, "churn") {
		limit = 10 * len(m.nodes) // bounded, because the baselines scan every worker
	}
	result, allocs := simulate(b, m, newPlacer(name), limit)
	var waits []string
	for class, h := range result.waits {
		waits = append(waits, fmt.Sprintf("%s %d/%d", class, h.ValueAtQuantile(50), h.ValueAtQuantile(99)))
	}
	slices.Sort(waits)
	ratio := result.makespan.Seconds() / makespanBound(m.nodes, m.arrivals).Seconds()
	if limit > 0 {
		ratio = 0
	}
	waited := max(result.timeWithWaiting.Seconds(), 1e-9)
	reportMetrics(b, result, ratio)
	return fmt.Sprintf("%s\t%s\t%.1f\t%.1f\t%.3f\t%.1f\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%s", m.name, name,
		100*result.allocatedShareSeconds/waited, 100*result.usedShareSeconds/waited, ratio, 100*float64(result.late)/float64(max(result.placed, 1)), result.failed,
		float64(result.placed)/result.placerTime.Seconds(), float64(result.decideTimes.ValueAtQuantile(50))/1e3,
		float64(result.decideTimes.ValueAtQuantile(99))/1e3, allocs, strings.Join(waits, " "))
}

// reportMetrics reports the results that make bench prints. Packing is the lower bound
// of the makespan divided by the makespan, so 1/ratio; a ratio of 0 leaves it out.
func reportMetrics(b *testing.B, result outcome, ratio float64) {
	if ratio > 0 {
		b.ReportMetric(1/ratio, "packing")
	}
	b.ReportMetric(100*result.allocatedShareSeconds/max(result.timeWithWaiting.Seconds(), 1e-9), "allocated-%")
	b.ReportMetric(float64(result.placed)/result.placerTime.Seconds(), "decisions/s")
	b.ReportMetric(float64(result.decideTimes.ValueAtQuantile(99))/1e3, "p99-us")
	var sum, n float64
	for _, h := range result.waits {
		sum, n = sum+h.Mean()*float64(h.TotalCount()), n+float64(h.TotalCount())
	}
	b.ReportMetric(sum/max(n, 1), "wait-ms")
	if h := result.waits["urgent"]; h != nil {
		b.ReportMetric(float64(h.ValueAtQuantile(99)), "urgent-p99-ms")
	}
}

// simulate simulates m with p and returns the outcome and the allocations per started
// attempt, including those of the simulation itself. See sim.run for limit.
func simulate(tb testing.TB, m mix, p placer, limit int) (outcome, float64) {
	var before, after runtime.MemStats
	s := newSim(tb, p, m.nodes, slices.Clone(m.arrivals))
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := s.run(limit)
	runtime.ReadMemStats(&after)
	return result, float64(after.Mallocs-before.Mallocs) / float64(max(result.placed, 1))
}
