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

// figures are the metrics by benchmark, without the suffix for GOMAXPROCS, and unit.
type figures map[string]map[string]float64

var procs = regexp.MustCompile(`-\d+$`)

// nameOf returns the name of the benchmark without the suffix for GOMAXPROCS.
func nameOf(r *benchfmt.Result) string {
	return "Benchmark" + procs.ReplaceAllString(string(r.Name.Full()), "")
}

// parse reads the output of go test -bench.
func parse(r io.Reader) (figures, error) {
	f := figures{}
	rd := benchfmt.NewReader(r, "go test")
	for rd.Scan() {
		res, ok := rd.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := nameOf(res)
		if f[name] == nil {
			f[name] = map[string]float64{}
		}
		for _, v := range res.Values {
			f[name][v.Unit] = v.Value
		}
	}
	if err := rd.Err(); err != nil {
		return nil, errors.Wrap(err, "read results")
	}
	return f, nil
}

// get formats a metric, or - if the run gave none.
func (f figures) get(bench, unit, format string) string {
	if v, ok := f[bench][unit]; ok {
		return fmt.Sprintf(format, v)
	}
	return "-"
}

// knownMisses returns the names of the targets that the page lists as missed: the
// first cell, in backquotes, of each row below the heading "Targets missed today".
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

// report prints the table and returns the number of targets missed that are not known.
func report(out io.Writer, f figures, known map[string]bool) (missed int, err error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WAITING TIME of requests (ms)\t\tdispatch p50\tp99\trandom p50\tp99\tround robin p50\tp99\tp99 to better baseline")
	for _, load := range []string{"50", "80", "95", "120"} {
		b := "BenchmarkWaitingTime/load=" + load
		fmt.Fprintf(w, "load %s %%\t", load)
		for _, who := range []string{"dispatch", "random", "roundrobin"} {
			fmt.Fprintf(w, "\t%s\t%s", f.get(b, who+"-p50-ms", "%.1f"), f.get(b, who+"-p99-ms", "%.0f"))
		}
		fmt.Fprintf(w, "\t%s\n", f.get(b, "p99-ratio", "%.3f"))
	}
	fmt.Fprintln(w, "\nPACKING and decisions of placement\tscheduler\tof volume bound\tallocated while work waits %\tmean wait ms\turgent p99 ms\tdecisions/s\tp99 us")
	for _, mix := range mixes {
		for _, who := range []string{"engine", "engine-declared", "firstfit", "random", "spread"} {
			b := "BenchmarkMixes/" + mix + "/" + who
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", mix, who, f.get(b, "packing", "%.3f"), f.get(b, "allocated-%", "%.1f"),
				f.get(b, "wait-ms", "%.0f"), f.get(b, "urgent-p99-ms", "%.0f"), f.get(b, "decisions/s", "%.0f"), f.get(b, "p99-us", "%.1f"))
		}
	}
	fmt.Fprintln(w, "\nCONTROL COST, 8 daemons, 48 workers\tsent B/s/daemon\treceived B/s/daemon\tacross regions B/s, all\tprocessor %/daemon")
	b := "BenchmarkControlCost"
	fmt.Fprintf(w, "mean\t%s\t%s\t%s\t%s\n", f.get(b, "sent-B/s/daemon", "%.0f"), f.get(b, "received-B/s/daemon", "%.0f"),
		f.get(b, "region-link-B/s", "%.0f"), f.get(b, "cpu-%/daemon", "%.2f"))
	fmt.Fprintln(w, "\nTARGET\tfigure\tlimit\tverdict")
	for _, t := range targets() {
		verdict, counts := t.judge(f, known[t.name])
		if counts {
			missed++
		}
		fmt.Fprintf(w, "%s\t%s\t%s %g\t%s\n", t.name, f.get(t.bench, t.unit, "%.4g"), t.sign(), t.limit, verdict)
	}
	return missed, w.Flush()
}
