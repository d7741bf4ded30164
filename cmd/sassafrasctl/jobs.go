package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/client"
	"github.com/sassafraslb/sassafraslb/daemon"
	"github.com/sassafraslb/sassafraslb/job"
	"github.com/sassafraslb/sassafraslb/placement"
)

// statusPollInterval is the pause between two reads of the status of a job that --wait waits for.
const statusPollInterval = 200 * time.Millisecond

// jobPath returns the HTTP path of a job.
func jobPath(team, id string) string {
	return "/v1/teams/" + url.PathEscape(team) + "/jobs/" + url.PathEscape(id)
}

func (t *tool) jobCommands(app *kingpin.Application) []command {
	return []command{t.submitCommand(app), t.statusCommand(app), t.cancelCommand(app), t.explainCommand(app)}
}

func (t *tool) submitCommand(app *kingpin.Application) command {
	c := app.Command("submit", "Submit a service, batch or gang job.\n\nExamples:\n"+
		"  sassafrasctl submit --team stock --kind batch --count 20 --cpu-milli 500 --memory-mib 256 --run-time 90s\n"+
		"  sassafrasctl submit --team dues --file job.json --wait")
	team := c.Flag("team", "Team that owns the quota.").Required().String()
	file := c.Flag("file", "Job as JSON (fields as in the OpenAPI page); - is standard input. Other flags override it.").String()
	flags := &daemon.JobBody{}
	c.Flag("id", "Id of the job; a repeat with the same id is not run again. Generated if not given.").StringVar(&flags.ID)
	c.Flag("family", "Jobs of one family share learned sizes and run times.").StringVar(&flags.Family)
	c.Flag("kind", "service, batch or gang.").EnumVar(&flags.Kind, "service", "batch", "gang")
	c.Flag("count", "Number of tasks.").IntVar(&flags.Count)
	c.Flag("cpu-milli", "Thousandths of a processor per task.").Int64Var(&flags.CPUMilli)
	c.Flag("memory-mib", "Memory per task in MiB.").Int64Var(&flags.MemoryMiB)
	c.Flag("accelerators", "Accelerators per task.").Int64Var(&flags.Accelerators)
	c.Flag("priority", "0 low, 50 normal, 80 high, 100 urgent.").IntVar(&flags.Priority)
	c.Flag("run-time", "Expected run time of a task, for example 90s.").StringVar(&flags.RunTime)
	c.Flag("deadline", "RFC 3339 time.").StringVar(&flags.Deadline)
	c.Flag("grace", "Window after the deadline, for example 2h.").StringVar(&flags.Grace)
	c.Flag("zone", "Availability zone allowed; repeat it for several.").StringsVar(&flags.Zones)
	c.Flag("retries", "Attempts after a failed one.").IntVar(&flags.Retries)
	c.Flag("preemptible", "Urgent work may checkpoint, throttle or stop it.").BoolVar(&flags.Preemptible)
	wait := c.Flag("wait", "Wait until the job has ended.").Bool()
	return command{c, func(ctx context.Context) error {
		body := *flags
		if *file != "" {
			if err := readJob(*file, &body, flags); err != nil {
				return err
			}
		}
		if body.ID == "" {
			body.ID = ulid.Make().String()
		}
		var st job.Status
		if err := t.call(ctx, http.MethodPost, "/v1/teams/"+url.PathEscape(*team)+"/jobs", body, &st); err != nil {
			return errors.Wrapf(err, "job %s", body.ID)
		}
		if *wait {
			return t.waitForJob(ctx, *team, st)
		}
		return t.printStatus(st)
	}}
}

// readJob reads a job from the JSON file at path into body. Fields of flags that are not
// zero replace those of the file.
func readJob(path string, body, flags *daemon.JobBody) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "read job")
	}
	defer func() { _ = file.Close() }()
	dec := json.NewDecoder(file)
	dec.DisallowUnknownFields()
	*body = daemon.JobBody{}
	if err := dec.Decode(body); err != nil {
		return errors.Wrapf(err, "job file %s", path)
	}
	flagsJSON, err := json.Marshal(flags)
	if err != nil {
		return errors.Wrap(err, "encode flags")
	}
	// A flag that was not given has the zero value and must not replace the field of the file.
	given := make(map[string]json.RawMessage)
	if err := json.Unmarshal(flagsJSON, &given); err != nil {
		return errors.Wrap(err, "decode flags")
	}
	for k, v := range given {
		if s := string(v); s == `""` || s == "0" {
			delete(given, k)
		}
	}
	givenJSON, err := json.Marshal(given)
	if err != nil {
		return errors.Wrap(err, "merge flags")
	}
	if err := json.Unmarshal(givenJSON, body); err != nil {
		return errors.Wrap(err, "merge flags")
	}
	return nil
}

// waitForJob waits until a job has ended and prints its status. It returns an exitError if
// the job ended without finishing.
func (t *tool) waitForJob(ctx context.Context, team string, st job.Status) error {
	for !st.Final() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(statusPollInterval):
		}
		if err := t.call(ctx, http.MethodGet, jobPath(team, st.Job), nil, &st); err != nil {
			return err
		}
	}
	if err := t.printStatus(st); err != nil {
		return err
	}
	if st.State != job.StateFinished {
		return &exitError{exitRefused, "job " + st.Job + " ended as " + st.State + ": " + st.Reason}
	}
	return nil
}

func (t *tool) printStatus(st job.Status) error {
	return t.print(st, func(row func(...any)) {
		row("JOB", "STATE", "WAITING", "RUNNING", "FINISHED", "FAILED", "REASON")
		row(st.Job, st.State, st.Waiting, st.Running, st.Finished, st.Failed, st.Reason)
	})
}

// addJobArgs adds the arguments that name a job to a command.
func addJobArgs(c *kingpin.CmdClause) (team, id *string) {
	return c.Arg("team", "Team of the job.").Required().String(), c.Arg("job", "Id of the job.").Required().String()
}

func (t *tool) statusCommand(app *kingpin.Application) command {
	c := app.Command("status", "Show the state of a job.\n\nExample:\n  sassafrasctl status stock 01JE...")
	team, id := addJobArgs(c)
	wait := c.Flag("wait", "Wait until the job has ended.").Bool()
	return command{c, func(ctx context.Context) error {
		var st job.Status
		if err := t.call(ctx, http.MethodGet, jobPath(*team, *id), nil, &st); err != nil {
			return err
		}
		if *wait {
			return t.waitForJob(ctx, *team, st)
		}
		return t.printStatus(st)
	}}
}

func (t *tool) cancelCommand(app *kingpin.Application) command {
	c := app.Command("cancel", "Cancel a job and stop its tasks.\n\nExample:\n  sassafrasctl cancel stock 01JE...")
	team, id := addJobArgs(c)
	return command{c, func(ctx context.Context) error {
		var st job.Status
		if err := t.call(ctx, http.MethodDelete, jobPath(*team, *id), nil, &st); err != nil {
			return err
		}
		return t.printStatus(st)
	}}
}

func (t *tool) explainCommand(app *kingpin.Application) command {
	c := app.Command("explain", "Show why a job is in its current state.\n\nExample:\n  sassafrasctl explain stock 01JE...")
	team, id := addJobArgs(c)
	return command{c, func(ctx context.Context) error {
		var ex placement.Explanation
		if err := t.call(ctx, http.MethodGet, jobPath(*team, *id)+"/explain", nil, &ex); err != nil {
			return err
		}
		return t.print(ex, func(row func(...any)) {
			row("job", ex.Job)
			row("state", ex.State)
			row("reason", ex.Reason)
			row("detail", ex.Detail)
			row("waiting tasks", ex.Waiting)
			row("running tasks", ex.Running)
			row("size per task", ex.Need)
			row("jobs ahead", ex.Position)
			for _, r := range ex.Reasons {
				row("excluded workers", strconv.Itoa(r.Nodes)+" "+r.Reason)
			}
			if !ex.NextTry.IsZero() {
				row("next try", ex.NextTry.Format(time.RFC3339))
			}
		})
	}}
}

func (t *tool) requestCommand(app *kingpin.Application) command {
	c := app.Command("request", "Run a request, whose body is standard input, on an executor and print its answer.\n\nExample:\n"+
		"  echo 'lot 4711' | sassafrasctl request quote --customer banco-lombardia")
	class := c.Arg("class", "valuation, reconciliation, batch, quote or nudge.").Required().Enum("valuation", "reconciliation", "batch", "quote", "nudge")
	customer := c.Flag("customer", "Customer of the request.").Required().String()
	id := c.Flag("id", "Request id (ULID). To repeat a request whose outcome is unknown, give its id.").String()
	deadline := c.Flag("deadline", "Time after which the answer is useless.").Default("0s").Duration()
	return command{c, func(ctx context.Context) error {
		body, err := io.ReadAll(os.Stdin)
		if err != nil {
			return errors.Wrap(err, "read standard input")
		}
		header := http.Header{"Sassafras-Customer": {*customer}, "Content-Type": {"application/octet-stream"}}
		if *id == "" {
			*id = ulid.Make().String()
		}
		header.Set("Sassafras-Request-Id", *id)
		if *deadline > 0 {
			header.Set("Sassafras-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		}
		cl, err := t.client()
		if err != nil {
			return err
		}
		resp, err := cl.Do(ctx, client.Request{Method: http.MethodPost, Path: "/v1/requests/" + *class, Header: header, Body: body})
		if err != nil {
			return errors.Wrapf(err, "request %s", *id)
		}
		_, err = os.Stdout.Write(resp.Body)
		return err
	}}
}
