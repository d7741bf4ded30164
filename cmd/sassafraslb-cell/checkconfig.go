package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/cell"
	"github.com/sassafraslb/sassafraslb/configcheck"
	"github.com/sassafraslb/sassafraslb/platform"
)

// configOptions are the arguments of check-config.
type configOptions struct {
	file, against string
	recordBytes   int64
	json          bool
}

// The exit codes of check-config.
const (
	exitClean      = 0
	exitErrors     = 1
	exitWarnings   = 2
	exitUnreadable = 3
)

// configReport is what check-config prints with --json.
type configReport struct {
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
}

// runCheckConfig checks a configuration, compares it with the one in force if that is given, and returns the
// exit code.
func runCheckConfig(options configOptions, out, errOut io.Writer) int {
	next, err := readConfig(options.file)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUnreadable
	}
	report := configReport{
		Findings: configcheck.Check(next, configcheck.Options{MaxRecordBytes: options.recordBytes}), Changes: []configcheck.Change{},
	}
	if options.against != "" {
		inForce, err := readConfig(options.against)
		if err != nil {
			fmt.Fprintln(errOut, err)
			return exitUnreadable
		}
		report.Changes = configcheck.Diff(inForce, next)
	}
	if err := report.print(out, options.json); err != nil {
		fmt.Fprintln(errOut, err)
		return exitUnreadable
	}
	switch {
	case lo.ContainsBy(report.Findings, func(f configcheck.Finding) bool { return f.Severity == configcheck.Error }):
		return exitErrors
	case len(report.Findings) > 0:
		return exitWarnings
	default:
		return exitClean
	}
}

// readConfig reads and decodes a configuration. The error names the file and never quotes keys.
func readConfig(path string) (*cell.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	config, err := platform.Decoder{}.Config(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return config, nil
}

// print writes the report as text, a line for each finding and difference, or as JSON.
func (r configReport) print(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	var text strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s: %s: %s\n", f.Severity, f.Entry, f.Message)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&text, "change: %s: %s\n", c.Entry, c.Message)
	}
	if len(r.Findings) == 0 {
		text.WriteString("no findings\n")
	}
	_, err := io.WriteString(out, text.String())
	return err
}
