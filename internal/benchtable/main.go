// Command benchtable runs the benchmarks of waiting time, placement and control
// cost, prints their figures beside those of the baselines, and fails if a target
// has no figure or is missed and docs/CAPACITY.md does not list it as missed. make
// bench runs it from the root of the module. The subcommand fit fits a line through
// a metric.
package main

import (
	"bytes"
	"io"
	"os"
	"os/exec"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// suite is one run of go test -bench. Suites run one after the other, because
// suites that run at the same time would slow each other down.
type suite struct {
	pkg, bench string   // package path and value of -bench
	env        []string // added to the environment
}

var suites = []suite{
	// The target for placement decisions per second is stated for one core.
	{pkg: "./placement", bench: "^BenchmarkMixes$/^(short|dues|hard)$", env: []string{"GOMAXPROCS=1"}},
	{pkg: "./request", bench: "^BenchmarkWaitingTime$"},
	{pkg: "./internal/cluster", bench: "^BenchmarkControlCost$"},
}

func main() {
	tableCmd := kingpin.Command("table", "run the benchmarks and print the table").Default()
	save := tableCmd.Flag("save", "write the output of the benchmarks to this file, for benchstat").String()
	page := tableCmd.Flag("page", "page that lists the targets missed today").Default("docs/CAPACITY.md").String()
	fitCmd := kingpin.Command("fit", "fit a line through a metric of the benchmark output on standard input")
	bench := fitCmd.Arg("bench", "regular expression of the names, as BenchmarkX/size=.*").Required().String()
	unit := fitCmd.Arg("unit", "unit of the metric").Required().String()
	var err error
	switch kingpin.Parse() {
	case tableCmd.FullCommand():
		err = runTable(os.Stdout, *save, *page)
	case fitCmd.FullCommand():
		err = printFit(os.Stdout, os.Stdin, *bench, *unit)
	}
	if err != nil {
		kingpin.Fatalf("%v", err)
	}
}

// runTable runs all suites and prints the table to w. It writes the output of
// the benchmarks to the file save unless save is empty, and fails if a target has
// no figure or is missed and not listed in the file page.
func runTable(w io.Writer, save, page string) error {
	pageText, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read the page that lists missed targets")
	}
	var out bytes.Buffer
	var failed error
	for _, s := range suites {
		if err := s.run(&out); err != nil {
			failed = errors.Wrapf(err, "go test -bench '%s' %s", s.bench, s.pkg)
		}
	}
	if save != "" {
		if err := os.WriteFile(save, out.Bytes(), 0o644); err != nil {
			return errors.Wrap(err, "save the benchmark output")
		}
	}
	f, err := parseFigures(bytes.NewReader(out.Bytes()))
	if err != nil {
		return err
	}
	missed, err := printReport(w, f, knownMisses(string(pageText)))
	switch {
	case err != nil:
		return err
	case failed != nil:
		_, _ = w.Write(out.Bytes())
		return failed
	case missed > 0:
		return errors.Errorf("%d targets have no figure, or are missed and not listed in %s", missed, page)
	}
	return nil
}

// run runs the benchmarks of s and appends their output, including errors, to out.
func (s suite) run(out *bytes.Buffer) error {
	cmd := exec.Command("go", "test", "-run", "^$", "-bench", s.bench, "-benchtime", "1x", "-timeout", "5m", s.pkg)
	cmd.Env = append(os.Environ(), s.env...)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd.Run()
}
