// Command benchtable runs the benchmarks of the three measures, prints one table
// with the baselines, and fails on a target that is missed and not listed as
// missed in docs/CAPACITY.md. It is run by make bench from the root of the module.
package main

import (
	"bytes"
	"io"
	"os"
	"os/exec"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
)

// suite is one run of go test. Suites run one after the other, because their
// times would disturb each other.
type suite struct {
	pkg, bench string
	env        []string
}

var suites = []suite{
	// The target for decisions is for one core.
	{pkg: "./placement", bench: "^BenchmarkMixes$/^(short|dues|hard)$", env: []string{"GOMAXPROCS=1"}},
	{pkg: "./request", bench: "^BenchmarkWaitingTime$"},
	{pkg: "./internal/cluster", bench: "^BenchmarkControlCost$"},
}

func main() {
	table := kingpin.Command("table", "run the benchmarks and print the table").Default()
	save := table.Flag("save", "write the output of the benchmarks to this file, for benchstat").String()
	page := table.Flag("page", "page that lists the targets missed today").Default("docs/CAPACITY.md").String()
	line := kingpin.Command("fit", "fit a line through a metric of the benchmark output on standard input")
	bench := line.Arg("bench", "regular expression of the names, as BenchmarkX/size=.*").Required().String()
	unit := line.Arg("unit", "unit of the metric").Required().String()
	var err error
	switch kingpin.Parse() {
	case table.FullCommand():
		err = run(os.Stdout, *save, *page)
	case line.FullCommand():
		err = printFit(os.Stdout, os.Stdin, *bench, *unit)
	}
	if err != nil {
		kingpin.Fatalf("%v", err)
	}
}

func run(w io.Writer, save, page string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "page of missed targets")
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
			return errors.Wrap(err, "save")
		}
	}
	f, err := parse(bytes.NewReader(out.Bytes()))
	if err != nil {
		return err
	}
	missed, err := report(w, f, knownMisses(string(text)))
	switch {
	case err != nil:
		return err
	case failed != nil:
		_, _ = w.Write(out.Bytes())
		return failed
	case missed > 0:
		return errors.Errorf("%d targets missed that %s does not list", missed, page)
	}
	return nil
}

// run appends the output of the benchmarks to out.
func (s suite) run(out *bytes.Buffer) error {
	cmd := exec.Command("go", "test", "-run", "^$", "-bench", s.bench, "-benchtime", "1x", "-timeout", "5m", s.pkg)
	cmd.Env = append(os.Environ(), s.env...)
	cmd.Stdout, cmd.Stderr = out, out
	return cmd.Run()
}
