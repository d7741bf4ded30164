package main

import (
	"io"
	"strings"
	"testing"
)

const capacityPage = "# Capacity\n\n## Targets missed today\n\n| target | figure |\n|---|---|\n| `packing/hard` | 0.8 |\n\n## Next\n\n| `packing/short` | x |\n"

// benchmarkOutput returns output of go test -bench in which every target is met,
// except that changes overrides values by target name. An empty value leaves the
// target's metric out.
func benchmarkOutput(changes map[string]string) string {
	var out strings.Builder
	for _, t := range targets() {
		value := "1"
		switch {
		case t.atLeast:
			value = "10000"
		case t.unit == "p99-ratio":
			value = "0.1"
		}
		if changed, ok := changes[t.name]; ok {
			value = changed
		}
		if value != "" {
			out.WriteString(t.bench + "-8 \t 1\t " + value + " " + t.unit + "\n")
		}
	}
	return out.String()
}

// Guards against a run that passes although a target is missed or has no figure,
// and against a run that fails on a miss listed on the capacity page.
func TestReportCountsOnlyUnlistedMisses(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes map[string]string
		want    int
	}{
		{"all met", nil, 0},
		{"listed miss", map[string]string{"packing/hard": "0.89"}, 0},
		{"minimum missed", map[string]string{"packing/short": "0.89"}, 1},
		{"maximum missed", map[string]string{"waiting-p99/load-80": "0.51", "control-bytes": "1.01"}, 2},
		{"listed but no figure", map[string]string{"packing/hard": ""}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := parseFigures(strings.NewReader(benchmarkOutput(c.changes)))
			if err != nil {
				t.Fatal(err)
			}
			got, err := printReport(io.Discard, f, knownMisses(capacityPage))
			if err != nil || got != c.want {
				t.Errorf("%d targets fail the run, error %v; want %d", got, err, c.want)
			}
		})
	}
}
