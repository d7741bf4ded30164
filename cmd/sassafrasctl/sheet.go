package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/daemon"
	"github.com/sassafraslb/sassafraslb/settings"
	"github.com/sassafraslb/sassafraslb/sheet"
	"github.com/sassafraslb/sassafraslb/zone"
)

// sheetFlags are shared by the commands that read a sheet.
type sheetFlags struct {
	file     *string
	day      *string
	settings *string
}

func (t *tool) sheetFlags(c *kingpin.CmdClause) sheetFlags {
	return sheetFlags{
		file:     c.Arg("file", "Sheet as exported by the planners; - is standard input.").Required().String(),
		day:      c.Flag("day", "Local date that the rows must carry, 2006-01-02; default today in the deployment's time zone.").String(),
		settings: c.Flag("settings", "Take regions and time zone from this settings file instead of a daemon.").String(),
	}
}

func (t *tool) sheetCommands(app *kingpin.Application) []command {
	s := app.Command("sheet", "The morning sheet (docs/sheet.md).")
	return []command{t.sheetCheck(s), t.sheetDiff(s), t.sheetApply(s), t.sheetShow(s), t.sheetHistory(s)}
}

// parse reads the sheet and reports every fault at once.
func (t *tool) parse(ctx context.Context, f sheetFlags) (*sheet.Sheet, error) {
	topology, loc, err := t.deployment(ctx, *f.settings)
	if err != nil {
		return nil, err
	}
	in, err := os.Open(*f.file)
	if err != nil {
		return nil, errors.Wrap(err, "read sheet")
	}
	defer func() { _ = in.Close() }()
	day := *f.day
	if day == "" {
		day = config.LocalDate(time.Now(), loc)
	}
	s, err := sheet.Parse(in, sheet.Options{Day: day, Topology: topology})
	if faults, ok := sheet.FaultsOf(err); ok {
		if *t.output == "json" {
			_ = printJSON(faults)
		} else {
			fmt.Fprintln(os.Stderr, faults)
		}
		return nil, &exitError{exitRefused, fmt.Sprintf("sheet has %d faults, nothing was changed", len(faults.List)+faults.Dropped)}
	}
	return s, err
}

// deployment returns the topology and the time zone, from a settings file or a daemon.
func (t *tool) deployment(ctx context.Context, path string) (*zone.Topology, *time.Location, error) {
	if path != "" {
		set, err := settings.Load(path)
		if err != nil {
			return nil, nil, err
		}
		topology, err := set.Topology()
		if err != nil {
			return nil, nil, err
		}
		loc, err := set.Location()
		return topology, loc, err
	}
	var cell daemon.Cell
	if err := t.call(ctx, http.MethodGet, "/v1/cell", nil, &cell); err != nil {
		return nil, nil, err
	}
	regions := make(map[zone.Region][]zone.Name)
	for r, zones := range cell.Regions {
		regions[zone.Region(r)] = zones
	}
	topology, err := zone.NewTopology(regions)
	if err != nil {
		return nil, nil, err
	}
	loc, err := time.LoadLocation(cell.TimeZone)
	return topology, loc, err
}

func (t *tool) sheetCheck(s *kingpin.CmdClause) command {
	c := s.Command("check", "Report every fault of a sheet; changes nothing. Exit code 1 if there is a fault.\n\n"+
		"Example:\n  sassafrasctl sheet check monday.csv --settings entry-1.json")
	f := t.sheetFlags(c)
	return command{c, func(ctx context.Context) error {
		parsed, err := t.parse(ctx, f)
		if err != nil {
			return err
		}
		return t.print(map[string]any{"day": parsed.Day, "rows": parsed.Rows, "faults": 0}, func(row func(...any)) {
			row(fmt.Sprintf("sheet for %s is valid, %d rows", parsed.Day, parsed.Rows))
		})
	}}
}

// difference compares the sheet with the configuration in force.
func (t *tool) difference(ctx context.Context, f sheetFlags) (sheet.Difference, error) {
	parsed, err := t.parse(ctx, f)
	if err != nil {
		return sheet.Difference{}, err
	}
	var state config.State
	if err := t.call(ctx, http.MethodGet, "/v1/config", nil, &state); err != nil {
		return sheet.Difference{}, err
	}
	return sheet.Diff(parsed, &state), nil
}

func (t *tool) sheetDiff(s *kingpin.CmdClause) command {
	c := s.Command("diff", "Show what a sheet would change; changes nothing.\n\nExample:\n  sassafrasctl sheet diff monday.csv")
	f := t.sheetFlags(c)
	return command{c, func(ctx context.Context) error {
		d, err := t.difference(ctx, f)
		if err != nil {
			return err
		}
		return t.print(d, func(row func(...any)) { row(strings.TrimRight(d.String(), "\n")) })
	}}
}

func (t *tool) sheetApply(s *kingpin.CmdClause) command {
	c := s.Command("apply", "Publish a sheet, all or nothing.\n\nExamples:\n  sassafrasctl sheet apply monday.csv --wait\n"+
		"  sassafrasctl sheet apply tuesday.csv --day 2026-12-08")
	f := t.sheetFlags(c)
	wait := c.Flag("wait", "Wait until every live daemon has confirmed, and name those that have not.").Bool()
	waitFor := c.Flag("wait-for", "Longest wait with --wait.").Default("10s").Duration()
	by := c.Flag("by", "Name that the change is recorded under.").Default(operator()).String()
	return command{c, func(ctx context.Context) error {
		d, err := t.difference(ctx, f)
		if err != nil {
			return err
		}
		p := d.Proposal(ulid.Make().String(), *by, "sheet of "+d.Day)
		body := daemon.ChangeBody{
			ID: p.ID, Base: uint64(p.Base), Mode: "sheet", Day: p.Day, By: p.By, Summary: p.Summary, Content: p.Content,
		}
		var res daemon.ChangeResult
		if err := t.call(ctx, http.MethodPost, "/v1/config/changes", body, &res); err != nil {
			return errors.Wrapf(err, "change %s", p.ID)
		}
		if err := t.print(res, func(row func(...any)) { row(describe(res, len(d.Changes))) }); err != nil || !*wait {
			return err
		}
		return t.await(ctx, res.Version, *waitFor)
	}}
}

func describe(res daemon.ChangeResult, changes int) string {
	if res.NoChange {
		return fmt.Sprintf("nothing to change, version %d is in force", res.Version)
	}
	return fmt.Sprintf("accepted as version %d, %d entries changed", res.Version, changes)
}

// await blocks until every live daemon has the version in force.
func (t *tool) await(ctx context.Context, version uint64, wait time.Duration) error {
	q := url.Values{"version": {strconv.FormatUint(version, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var out struct {
		Daemons []daemon.VersionInForce `json:"daemons"`
		Missing []string                `json:"missing"`
	}
	if err := t.call(ctx, http.MethodGet, "/v1/config/in-force?"+q.Encode(), nil, &out); err != nil {
		return err
	}
	if len(out.Missing) > 0 {
		return &exitError{exitPartial, "not confirmed by: " + strings.Join(out.Missing, ", ")}
	}
	fmt.Fprintf(os.Stderr, "in force on all %d daemons\n", len(out.Daemons))
	return nil
}

func (t *tool) sheetShow(s *kingpin.CmdClause) command {
	c := s.Command("show", "Show the version in force on every daemon, since when, and by whom.\n\nExample:\n  sassafrasctl sheet show")
	return command{c, func(ctx context.Context) error {
		var out struct {
			Daemons []daemon.VersionInForce `json:"daemons"`
		}
		if err := t.call(ctx, http.MethodGet, "/v1/config/in-force", nil, &out); err != nil {
			return err
		}
		return t.print(out, func(row func(...any)) {
			row("DAEMON", "REGION", "VERSION", "SINCE", "BY", "READY", "LOG", "ERROR")
			for _, d := range out.Daemons {
				row(d.Daemon, d.Region, d.Version, d.Since.Format(time.RFC3339), d.By, d.Ready, d.LogReadable, d.Error)
			}
		})
	}}
}

func (t *tool) sheetHistory(s *kingpin.CmdClause) command {
	c := s.Command("history", "Show the accepted changes, newest first.\n\nExample:\n  sassafrasctl sheet history --limit 5")
	limit := c.Flag("limit", "Number of changes.").Default("20").Int()
	return command{c, func(ctx context.Context) error {
		var out []config.Entry
		if err := t.call(ctx, http.MethodGet, "/v1/config/history?limit="+strconv.Itoa(*limit), nil, &out); err != nil {
			return err
		}
		return t.print(out, func(row func(...any)) {
			row("VERSION", "AT", "BY", "DAY", "ENTRIES", "SUMMARY")
			for _, e := range out {
				row(e.Version, e.PublishedAt.Format(time.RFC3339), e.By, e.Day, e.Ops, e.Summary)
			}
		})
	}}
}
