package main

// mixes are the names of the generated workloads on 48 workers that BenchmarkMixes
// places (placement/mix_test.go).
var mixes = []string{"short", "dues", "hard"}

// target is a limit on one metric.
type target struct {
	name, bench, unit string // bench and unit select the metric
	limit             float64
	atLeast           bool // the limit is a minimum
}

// targets returns the targets of section 12 of docs/design.md and the limits per
// daemon of its section 1.
func targets() []target {
	var ts []target
	for _, m := range mixes {
		bench := "BenchmarkMixes/" + m + "/engine"
		ts = append(ts,
			target{"decisions/" + m, bench, "decisions/s", 5000, true},
			target{"decision-p99/" + m, bench, "p99-us", 5000, false},
			target{"packing/" + m, bench, "packing", 0.90, true},
			// The packing metric is a lower bound of the makespan, computed from the declared
			// sizes of the tasks, divided by the makespan reached. A scheduler that learns
			// smaller sizes can finish before the bound, so it is a strict bound only for the
			// engine that plans with declared sizes.
			target{"packing-declared/" + m, bench + "-declared", "packing", 0.90, true})
	}
	const control = "BenchmarkControlCost"
	return append(ts,
		target{"waiting-p99/load-80", "BenchmarkWaitingTime/load=80", "p99-ratio", 0.5, false},
		target{"control-bytes", control, "sent/target", 1, false},
		target{"control-processor", control, "cpu/target", 1, false},
		target{"control-memory", control, "memory/target", 1, false})
}

// relation returns how a value has to relate to the limit, for the table.
func (t target) relation() string {
	if t.atLeast {
		return "at least"
	}
	return "at most"
}

// evaluate compares the figure with the limit and returns the verdict for the
// table and whether it fails the run. A miss that is known does not; a missing
// figure always does.
func (t target) evaluate(f figures, known bool) (verdict string, fails bool) {
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
