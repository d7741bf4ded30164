package main

import (
	"math"
	"strings"
	"testing"
)

// Guards against a fit that swaps base and slope or reads benchmarks that do not
// match the pattern.
func TestFitReadsSizesOfOneBenchmark(t *testing.T) {
	const out = "BenchmarkA/n=10-8 1 23 B\nBenchmarkA/n=20-8 1 43 B\nBenchmarkA/n=40-8 1 83 B\nBenchmarkB/n=10-8 1 1000 B\n"
	ps, err := points(strings.NewReader(out), "BenchmarkA/n=.*", "B")
	if err != nil || len(ps) != 3 {
		t.Fatalf("%d points, error %v; want 3", len(ps), err)
	}
	l, err := fitLine(ps)
	if err != nil || math.Abs(l.base-3) > 1e-9 || math.Abs(l.slope-2) > 1e-9 || l.rmsResidual > 1e-9 {
		t.Errorf("line %+v, error %v; want base 3, slope 2 and no residuals", l, err)
	}
	if _, err := fitLine(ps[:1]); err == nil {
		t.Error("a fit through points of a single size succeeded, want an error")
	}
}
