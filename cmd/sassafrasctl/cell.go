package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sassafraslb/sassafraslb/daemon"
)

func (t *tool) cellCommands(app *kingpin.Application) []command {
	return []command{t.topCommand(app), t.doctorCommand(app), t.levelCommand(app)}
}

func (t *tool) topCommand(app *kingpin.Application) command {
	c := app.Command("top", "Show members, keys, queues, workers and links as one daemon sees them.\n\nExample:\n  sassafrasctl top -s http://10.0.0.5:8080")
	return command{c, func(ctx context.Context) error {
		var cell daemon.Cell
		if err := t.call(ctx, http.MethodGet, "/v1/cell", nil, &cell); err != nil {
			return err
		}
		return t.print(cell, func(row func(...any)) { printCell(&cell, row) })
	}}
}

func printCell(cell *daemon.Cell, row func(...any)) {
	row(fmt.Sprintf("daemon %s in %s, up %s", cell.Daemon, cell.Zone, cell.Uptime))
	row()
	row("MEMBER", "ZONE", "REGION", "STATE", "KEYS")
	owned := make(map[string]int)
	for _, k := range cell.Keys {
		owned[k.Owner]++
	}
	for _, m := range cell.Members {
		row(m.ID, m.Zone, m.Region, m.State, owned[m.ID])
	}
	if n := owned[""]; n > 0 {
		row("(no owner)", "", "", "", n)
	}
	row()
	row("KEY", "OWNER", "EPOCH")
	for _, k := range cell.Keys {
		row(k.Key, k.Owner, k.Epoch)
	}
	row()
	row("EXECUTOR GROUP", "OWNER", "SLOTS", "BUSY", "QUEUED")
	groups := cell.Requests.KnownGroups
	sort.Slice(groups, func(i, j int) bool { return groups[i].Key < groups[j].Key })
	for _, g := range groups {
		row(g.Key, g.Owner, g.Slots, g.Busy, g.Queued)
	}
	printOwned(cell, row)
	row()
	row("LINK", "BYTES IN", "BYTES OUT")
	for _, l := range cell.Links {
		row(l.Distance, l.In, l.Out)
	}
}

// printOwned shows the job shards and workers that the daemon owns.
func printOwned(cell *daemon.Cell, row func(...any)) {
	row()
	row("JOB SHARD", "OPEN JOBS", "WAITING", "RUNNING", "REFUSED")
	for _, s := range cell.Jobs {
		row(s.Shard, s.Open, s.Waiting, s.Running, s.Refused)
	}
	row()
	row("WORKER", "RACK", "TASKS", "USED", "CAPACITY", "STATE")
	for _, w := range cell.Workers {
		state := "reachable"
		switch {
		case !w.Reachable:
			state = "unreachable"
		case w.Draining:
			state = "draining"
		}
		row(w.ID, w.Rack, w.Tasks, w.Used, w.Capacity, state)
	}
}

func (t *tool) doctorCommand(app *kingpin.Application) command {
	c := app.Command("doctor", "Show what a daemon cannot do at the moment, and why. Exit code 6 if there is something.\n\nExample:\n  sassafrasctl doctor -s http://10.0.0.5:8080")
	return command{c, func(ctx context.Context) error {
		var problems []daemon.Problem
		if err := t.call(ctx, http.MethodGet, "/v1/doctor", nil, &problems); err != nil {
			return err
		}
		if problems == nil {
			problems = []daemon.Problem{} // "[]" in JSON, not "null"
		}
		err := t.print(problems, func(row func(...any)) {
			if len(problems) == 0 {
				row("no problem found")
				return
			}
			row("PROBLEM", "CANNOT", "WHY")
			for _, p := range problems {
				row(p.Name, p.Cannot, p.Why)
			}
		})
		if err != nil {
			return err
		}
		if len(problems) > 0 {
			return &exitError{exitProblems, fmt.Sprintf("%d problems", len(problems))}
		}
		return nil
	}}
}

func (t *tool) levelCommand(app *kingpin.Application) command {
	c := app.Command("log-level", "Change the log level of one daemon until it restarts.\n\nExample:\n  sassafrasctl log-level debug -s http://10.0.0.5:8080")
	level := c.Arg("level", "trace, debug, info, warn or error.").Required().Enum("trace", "debug", "info", "warn", "error")
	return command{c, func(ctx context.Context) error {
		return t.call(ctx, http.MethodPut, "/v1/log-level", map[string]string{"level": *level}, nil)
	}}
}
