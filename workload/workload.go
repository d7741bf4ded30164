// Package workload defines the types of jobs and tasks that the other packages share.
package workload

import (
	"fmt"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Kind is the kind of a job. It decides how its tasks are placed.
type Kind string

// The kinds of job.
const (
	Service Kind = "service" // long-running, spread over racks and zones
	Batch   Kind = "batch"   // finite tasks, packed, may have a deadline
	Gang    Kind = "gang"    // all tasks start together or none does
)

// Priority orders jobs. Jobs of higher priority are placed first.
type Priority int

// The priorities.
const (
	Low    Priority = 0
	Normal Priority = 50
	High   Priority = 80
	Urgent Priority = 100 // may preempt; must start within 3.5 s
)

// Limits on one job, to bound the cost of bad input.
const (
	MaxTasksPerJob = 10_000
	MaxNameBytes   = 128 // of an id, a team or a family
)

// Job is what a caller asks to be placed.
type Job struct {
	ID          string            `json:"id"`               // unique; a ULID or a result of config.JobID
	Team        string            `json:"team"`             // team whose quota the job uses
	Family      string            `json:"family,omitempty"` // jobs of a team and family share learned task sizes
	Kind        Kind              `json:"kind"`
	Count       int               `json:"count"`     // number of tasks
	Resources   machine.Resources `json:"resources"` // of each task
	Priority    Priority          `json:"priority"`
	RunTime     time.Duration     `json:"run_time,omitempty"` // per task, as the caller declares; 0 if unknown
	Deadline    time.Time         `json:"deadline,omitzero"`  // zero is none
	Grace       time.Duration     `json:"grace,omitempty"`    // window after Deadline in which a late end still counts
	Zones       []zone.Name       `json:"zones,omitempty"`    // allowed zones; empty allows every zone of the region
	Retries     int               `json:"retries"`            // further attempts of a task after failed ones
	Preemptible bool              `json:"preemptible"`        // tasks may be stopped early, as for urgent work
}

// Validate returns the first fault of j as an error of kind errkind.BadInput, or nil.
func (j *Job) Validate() error {
	invalid := func(format string, args ...any) error {
		return errkind.New(errkind.BadInput, "job_invalid", format, args...)
	}
	switch {
	case j.ID == "" || len(j.ID) > MaxNameBytes:
		return invalid("id must have 1 to %d bytes, got %d", MaxNameBytes, len(j.ID))
	case j.Team == "" || len(j.Team) > MaxNameBytes:
		return invalid("team must have 1 to %d bytes, got %d", MaxNameBytes, len(j.Team))
	case len(j.Family) > MaxNameBytes:
		return invalid("family must have at most %d bytes, got %d", MaxNameBytes, len(j.Family))
	case j.Kind != Service && j.Kind != Batch && j.Kind != Gang:
		return invalid("kind must be service, batch or gang, got %q", j.Kind)
	case j.Count < 1 || j.Count > MaxTasksPerJob:
		return invalid("count must be 1 to %d, got %d", MaxTasksPerJob, j.Count)
	case j.Resources.Negative() || j.Resources.IsZero():
		return invalid("resources must be positive, got %s", j.Resources)
	case j.Priority < Low || j.Priority > Urgent:
		return invalid("priority must be %d to %d, got %d", Low, Urgent, j.Priority)
	case j.RunTime < 0 || j.Grace < 0:
		return invalid("run_time and grace must not be negative")
	case j.Retries < 0 || j.Retries > 100:
		return invalid("retries must be 0 to 100, got %d", j.Retries)
	}
	return nil
}

// TaskID returns the id of task index of the job with this id.
func TaskID(id string, index int) string { return fmt.Sprintf("%s.%d", id, index) }

// Task is one attempt to run a task of a job on a worker.
type Task struct {
	ID          string            `json:"task"`
	Attempt     int               `json:"attempt"`
	Job         string            `json:"job"`
	Team        string            `json:"team"`
	Kind        Kind              `json:"kind"`
	Priority    Priority          `json:"priority"`
	Preemptible bool              `json:"preemptible"`
	Shard       string            `json:"shard"`       // key of the job shard of the job
	ShardEpoch  uint64            `json:"shard_epoch"` // fencing token of the job scheduler that placed the task
	Resources   machine.Resources `json:"resources"`
	RunTime     time.Duration     `json:"run_time,omitempty"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task.
const (
	Running      TaskState = "running"
	Finished     TaskState = "finished"     // ended by itself with success
	Failed       TaskState = "failed"       // ended by itself without success
	Checkpointed TaskState = "checkpointed" // stopped after its progress was saved
	Throttled    TaskState = "throttled"    // runs with less CPU, see machine.Throttled
	Stopped      TaskState = "stopped"      // ended by a command
	Lost         TaskState = "lost"         // lease expired without a confirmed end
)

// HoldsResources reports whether a task in state s occupies resources of its worker.
func (s TaskState) HoldsResources() bool { return s == Running || s == Throttled }
