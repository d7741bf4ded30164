package main

import (
	"io"
	"strings"
	"testing"
)

const page = "# Capacity\n\n## Targets missed today\n\n| target | figure |\n|---|---|\n| `packing/hard` | 0.8 |\n\n## Next\n\n| `packing/short` | x |\n"

// results returns output of go test in which every target is met, but for changes.
func results(changes map[string]string) string {
	var b strings.Builder
	for _, t := range targets() {
		v := "1"
		switch {
		case t.atLeast:
			v = "10000"
		case t.unit == "p99-ratio":
			v = "0.1"
		}
		if c, ok := changes[t.name]; ok {
			v = c
		}
		if v != "" {
			b.WriteString(t.bench + "-8 \t 1\t " + v + " " + t.unit + "\n")
		}
	}
	return b.String()
}

// Guards against a missed or absent target that passes, and against a listed miss
// that fails the run.
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
			f, err := parse(strings.NewReader(results(c.changes)))
			if err != nil {
				t.Fatal(err)
			}
			got, err := report(io.Discard, f, knownMisses(page))
			if err != nil || got != c.want {
				t.Errorf("%d targets missed, error %v; want %d", got, err, c.want)
			}
		})
	}
}
