package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/oklog/ulid/v2"
	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/job"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// JobBody is the body of POST /v1/teams/{team}/jobs: a job as callers write it.
type JobBody struct {
	ID           string   `json:"id,omitempty" maxLength:"128" doc:"unique id; minted if empty; a repeat with the same id is not run again"`
	Family       string   `json:"family,omitempty" doc:"jobs of one family share learned sizes and run times"`
	Kind         string   `json:"kind" enum:"service,batch,gang"`
	Count        int      `json:"count" minimum:"1" doc:"number of tasks"`
	CPUMilli     int64    `json:"cpu_milli" minimum:"0" doc:"thousandths of a processor per task"`
	MemoryMiB    int64    `json:"memory_mib" minimum:"0"`
	Accelerators int64    `json:"accelerators,omitempty" minimum:"0"`
	Priority     int      `json:"priority,omitempty" minimum:"0" maximum:"100" doc:"0 low, 50 normal, 80 high, 100 urgent"`
	RunTime      string   `json:"run_time,omitempty" doc:"expected run time of a task, for example 90s; empty is unknown"`
	Deadline     string   `json:"deadline,omitempty" doc:"RFC 3339 time"`
	Grace        string   `json:"grace,omitempty" doc:"window after the deadline, for example 2h"`
	Zones        []string `json:"zones,omitempty" doc:"availability zones allowed; empty is every zone of the team's region"`
	Retries      int      `json:"retries,omitempty" minimum:"0" maximum:"100"`
	Preemptible  bool     `json:"preemptible,omitempty"`
}

// toJob converts b to a job of team and validates it. It generates an id if b has none. The
// error is of kind bad_input.
func (b *JobBody) toJob(team string) (workload.Job, error) {
	j := workload.Job{
		ID: b.ID, Team: team, Family: b.Family, Kind: workload.Kind(b.Kind), Count: b.Count,
		Resources: machine.Resources{CPUMilli: b.CPUMilli, MemoryMiB: b.MemoryMiB, Accelerators: b.Accelerators},
		Priority:  workload.Priority(b.Priority), Retries: b.Retries, Preemptible: b.Preemptible,
	}
	if j.ID == "" {
		j.ID = ulid.Make().String()
	}
	for _, z := range b.Zones {
		j.Zones = append(j.Zones, zone.Name(z))
	}
	var err error
	if j.RunTime, err = parseDuration("run_time", b.RunTime); err != nil {
		return j, err
	}
	if j.Grace, err = parseDuration("grace", b.Grace); err != nil {
		return j, err
	}
	if b.Deadline != "" {
		if j.Deadline, err = time.Parse(time.RFC3339, b.Deadline); err != nil {
			return j, errkind.New(errkind.BadInput, "job_invalid", "deadline must be an RFC 3339 time, got %q", b.Deadline)
		}
	}
	return j, j.Validate()
}

// parseDuration parses v, or returns 0 if v is empty. The error names field.
func parseDuration(field, v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		return 0, errkind.New(errkind.BadInput, "job_invalid", `%s must be a time with its unit such as "90s", got %q`, field, v)
	}
	return d, nil
}

type submitInput struct {
	Team string `path:"team" maxLength:"128"`
	Body JobBody
}

type jobInput struct {
	Team string `path:"team" maxLength:"128"`
	ID   string `path:"id" maxLength:"128"`
}

type jobOutput[T any] struct{ Body T }

// routeJobs registers the operations on jobs.
func (d *Daemon) routeJobs(api huma.API) {
	scheduler := do.MustInvoke[*job.Scheduler](d.injector)
	submit := operation("submit-job", http.MethodPost, "/v1/teams/{team}/jobs", "Submit a job; it is durable once this answers")
	huma.Register(api, submit, func(ctx context.Context, in *submitInput) (*jobOutput[job.Status], error) {
		if d.draining.Load() {
			return nil, toAPIError(errkind.New(errkind.Draining, "daemon_draining", "this daemon is stopping"))
		}
		j, err := in.Body.toJob(in.Team)
		if err != nil {
			return nil, toAPIError(err)
		}
		st, err := scheduler.Submit(ctx, j)
		if err != nil {
			return nil, toAPIErrorWithID(err, j.ID)
		}
		return &jobOutput[job.Status]{st}, nil
	})
	status := operation("job-status", http.MethodGet, "/v1/teams/{team}/jobs/{id}", "State of a job and counts of its tasks")
	huma.Register(api, status, jobHandler(scheduler.Status))
	cancel := operation("cancel-job", http.MethodDelete, "/v1/teams/{team}/jobs/{id}", "Cancel a job; its tasks are stopped")
	cancel.DefaultStatus = http.StatusOK
	huma.Register(api, cancel, jobHandler(scheduler.Cancel))
	explain := operation("explain-job", http.MethodGet, "/v1/teams/{team}/jobs/{id}/explain", "Why a job is in its current state")
	huma.Register(api, explain, jobHandler(scheduler.Explain))
}

// jobHandler returns the handler of an operation that is given only the team and the id of a job.
func jobHandler[T any](call func(ctx context.Context, team, id string) (T, error)) func(context.Context, *jobInput) (*jobOutput[T], error) {
	return func(ctx context.Context, in *jobInput) (*jobOutput[T], error) {
		out, err := call(ctx, in.Team, in.ID)
		if err != nil {
			return nil, toAPIError(err)
		}
		return &jobOutput[T]{out}, nil
	}
}
