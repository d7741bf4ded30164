// Package job places jobs on workers. Scheduler is the job scheduler of every
// job shard that this daemon owns; RackOwner is the rack owner of every rack that
// it owns. The placement policy is an Engine, such as the one of package placement.
package job

import (
	"time"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Engine is the placement policy of one job shard. It need not be safe for
// concurrent use.
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

// Intentions are the jobs that the configuration wants.
type Intentions interface {
	// Desired returns the jobs of all teams that shall exist at now. The id of a
	// job is stable while it is wanted; a batch is returned for its calendar slot
	// and has an id of its own per slot.
	Desired(now time.Time) []workload.Job
	// Team returns the team of that name and whether it is configured.
	Team(team string) (config.Team, bool)
}
