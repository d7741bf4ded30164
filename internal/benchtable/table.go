package main

import (
	"fmt"
	"io"
	"regexp"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"golang.org/x/perf/benchfmt"
)

// figures holds metric values by benchmark name (see benchmarkName) and unit.
type figures map[string]map[string]float64

// procsSuffix matches the value of GOMAXPROCS that go test appends to a name.
var procsSuffix = regexp.MustCompile(`-\d+$`)

// benchmarkName returns the name of the benchmark without the GOMAXPROCS suffix.
func benchmarkName(r *benchfmt.Result) string {
	return "Benchmark" + procsSuffix.ReplaceAllString(string(r.Name.Full()), "")
}

// parseFigures reads the output of go test -bench. If a benchmark ran more than
// once, the last run counts.
func parseFigures(r io.Reader) (figures, error) {
	f := figures{}
	rd := benchfmt.NewReader(r, "go test")
	for rd.Scan() {
		res, ok := rd.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := benchmarkName(res)
		if f[name] == nil {
			f[name] = map[string]float64{}
		}
		for _, v := range res.Values {
			f[name][v.Unit] = v.Value
		}
	}
	if err := rd.Err(); err != nil {
		return nil, errors.Wrap(err, "read benchmark results")
	}
	return f, nil
}

// get formats a metric with format; it returns "-" if there is no such figure.
func (f figures) get(bench, unit, format string) string {
	if v, ok := f[bench][unit]; ok {
		return fmt.Sprintf(format, v)
	}
	return "-"
}

// knownMisses returns the names of the targets that the Markdown page lists as
// missed: the first cell, in backquotes, of each table row below the heading
// "Targets missed today".
func knownMisses(page string) map[string]bool {
	known := map[string]bool{}
	_, section, _ := strings.Cut(page, "\n## Targets missed today\n")
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		if name, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ = strings.Cut(name, "`")
			known[name] = true
		}
	}
	return known
}

// printReport prints the table and returns the number of targets that fail the
// run: those missed and not in known, and those without a figure.
func printReport(out io.Writer, f figures, known map[string]bool) (missed int, err error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WAITING TIME of requests (ms)\t\tdispatch p50\tp99\trandom p50\tp99\tround robin p50\tp99\tp99 to better baseline")
	for _, load := range []string{"50", "80", "95", "120"} {
		bench := "BenchmarkWaitingTime/load=" + load
		fmt.Fprintf(w, "load %s %%\t", load)
		for _, policy := range []string{"dispatch", "random", "roundrobin"} {
			fmt.Fprintf(w, "\t%s\t%s", f.get(bench, policy+"-p50-ms", "%.1f"), f.get(bench, policy+"-p99-ms", "%.0f"))
		}
		fmt.Fprintf(w, "\t%s\n", f.get(bench, "p99-ratio", "%.3f"))
	}
	fmt.Fprintln(w, "\nPACKING and decisions of placement\tscheduler\tof volume bound\tallocated while work waits %\tmean wait ms\turgent p99 ms\tdecisions/s\tp99 us")
	for _, mix := range mixes {
		for _, scheduler := range []string{"engine", "engine-declared", "firstfit", "random", "spread"} {
			bench := "BenchmarkMixes/" + mix + "/" + scheduler
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mix, scheduler, f.get(bench, "packing", "%.3f"), f.get(bench, "allocated-%", "%.1f"),
				f.get(bench, "wait-ms", "%.0f"), f.get(bench, "urgent-p99-ms", "%.0f"), f.get(bench, "decisions/s", "%.0f"), f.get(bench, "p99-us", "%.1f"))
		}
	}
	fmt.Fprintln(w, "\nCONTROL COST, 8 daemons, 48 workers\tsent B/s/daemon\treceived B/s/daemon\tacross regions B/s, all\tprocessor %/daemon")
	bench := "BenchmarkControlCost"
	fmt.Fprintf(w, "mean\t%s\t%s\t%s\t%s\n", f.get(bench, "sent-B/s/daemon", "%.0f"), f.get(bench, "received-B/s/daemon", "%.0f"),
		f.get(bench, "region-link-B/s", "%.0f"), f.get(bench, "cpu-%/daemon", "%.2f"))
	fmt.Fprintln(w, "\nTARGET\tfigure\tlimit\tverdict")
	for _, t := range targets() {
		verdict, fails := t.evaluate(f, known[t.name])
		if fails {
			missed++
		}
		fmt.Fprintf(w, "%s\t%s\t%s %g\t%s\n", t.name, f.get(t.bench, t.unit, "%.4g"), t.relation(), t.limit, verdict)
	}
	return missed, w.Flush()
}
