package main

// mixes are the seeded inputs on 48 workers (placement's mix_test.go).
var mixes = []string{"short", "dues", "hard"}

// target is a limit on one metric.
type target struct {
	name, bench, unit string
	limit             float64
	atLeast           bool // the limit is a minimum
}

// targets are those of section 12 of docs/design.md and the limits per daemon of
// its section 1.
func targets() []target {
	var ts []target
	for _, m := range mixes {
		b := "BenchmarkMixes/" + m + "/engine"
		ts = append(ts,
			target{"decisions/" + m, b, "decisions/s", 5000, true},
			target{"decision-p99/" + m, b, "p99-us", 5000, false},
			target{"packing/" + m, b, "packing", 0.90, true},
			// The volume bound is worked out from declared sizes. A scheduler that learns
			// smaller sizes can pass it, so the bound is strict only without learning.
			target{"packing-declared/" + m, b + "-declared", "packing", 0.90, true})
	}
	const control = "BenchmarkControlCost"
	return append(ts,
		target{"waiting-p99/load-80", "BenchmarkWaitingTime/load=80", "p99-ratio", 0.5, false},
		target{"control-bytes", control, "sent/target", 1, false},
		target{"control-processor", control, "cpu/target", 1, false},
		target{"control-memory", control, "memory/target", 1, false})
}

func (t target) sign() string {
	if t.atLeast {
		return "at least"
	}
	return "at most"
}

// judge returns the verdict and whether it fails the run. A metric that the run
// did not give is always a failure.
func (t target) judge(f figures, known bool) (verdict string, fails bool) {
	v, ok := f[t.bench][t.unit]
	switch met := v <= t.limit && !t.atLeast || v >= t.limit && t.atLeast; {
	case !ok:
		return "NO FIGURE", true
	case met && known:
		return "met, but listed as missed", false
	case met:
		return "met", false
	case known:
		return "missed, listed on the capacity page", false
	}
	return "MISSED", true
}
