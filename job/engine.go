// Package job starts the tasks of jobs on workers and follows them until they end.
// Scheduler is the job scheduler of every job shard that this daemon owns; RackOwner is the
// rack owner of every rack that it owns. A job scheduler decides where tasks run, with an
// Engine as its placement policy. A rack owner sends the commands to the workers of its rack
// and reports to the job schedulers what became of them.
package job

import (
	"time"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Engine is the placement policy of one job shard. It need not be safe for
// concurrent use. placement.Engine implements it and documents the methods.
type Engine interface {
	SetNode(n placement.Node)
	RemoveNode(id string)
	SetTeam(name string, quota machine.Resources, weight int)
	Submit(j workload.Job, now time.Time) error
	Restore(j workload.Job, now time.Time) error
	Cancel(job string, now time.Time) []workload.Task
	Decide(now time.Time, limit int) []placement.Proposal
	Commit(task string, attempt int)
	Reject(task string, attempt int, reason string, now time.Time)
	Adopt(t workload.Task, node string)
	Finish(task string, attempt int, r placement.TaskResult, now time.Time)
	Explain(job string) (placement.Explanation, bool)
	NextWake() (time.Time, bool)
	TakeEndedJobs() []placement.EndedJob
	TakeStopRequests() []placement.StopRequest
	Victims(running []workload.Task, free, need machine.Resources, p workload.Priority) ([]placement.Victim, bool)
}

// Intentions gives access to the jobs and teams of the configuration.
type Intentions interface {
	// Desired returns the jobs of all teams that must exist at now. A service keeps its
	// id until a change that needs a new job, such as other resources. A batch is returned
	// during its calendar slot and has a different id in each slot.
	Desired(now time.Time) []workload.Job
	// Team returns the team of that name and whether it is configured.
	Team(name string) (config.Team, bool)
}
