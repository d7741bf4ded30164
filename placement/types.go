package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Node is the job scheduler's view of one worker.
type Node struct {
	ID          string
	Rack        string
	Zone        zone.Name
	Total       machine.Resources
	Foreign     machine.Resources // used by tasks that this engine does not track
	Preemptible machine.Resources // part of Foreign that preemption for urgent work could free
	Draining    bool              // takes no new tasks, and gives its tasks up gracefully
	Unreachable bool              // takes no new tasks, because its rack owner does not reach it
}

// Assignment places one task on one worker. With Preempt, the rack owner has to
// free resources first (see Engine.Victims).
type Assignment struct {
	Task    workload.Task
	Node    string
	Preempt bool
}

// Proposal is a set of assignments of one job. A gang is proposed whole.
type Proposal struct {
	Job         string
	Assignments []Assignment
}

// TaskResult reports the end (or throttling) of a task.
type TaskResult struct {
	State       workload.TaskState
	Ran         time.Duration
	Used        machine.Resources // peak usage; zero if unknown
	WorkerFault bool              // the worker, not the task, is known to be at fault
}

// Victim is a task to preempt and how.
type Victim struct {
	Task workload.Task
	Mode PreemptMode
}

// PreemptMode is how a task is taken off its resources, cheapest first.
type PreemptMode string

// The modes, as the worker protocol names them.
const (
	PreemptCheckpoint PreemptMode = "checkpoint"
	PreemptThrottle   PreemptMode = "throttle"
	PreemptStop       PreemptMode = "stop"
)

// StopRequest is a request of the engine to take a running task off its worker.
type StopRequest struct {
	Task   workload.Task
	Node   string
	Mode   PreemptMode
	Reason string // drain, quota_reclaim, gang_member_failed, gang_member_gone or job_failed
}

// JobState is the state of a job in the engine.
type JobState string

// The states of a job. The last four are final.
const (
	JobActive        JobState = "active"
	JobBackoff       JobState = "backoff"
	JobUnschedulable JobState = "unschedulable"
	JobPlaced        JobState = "placed" // every task is proposed, running or finished
	JobFinished      JobState = "finished"
	JobFailed        JobState = "failed"
	JobCancelled     JobState = "cancelled"
	JobImpossible    JobState = "impossible"
)

// EndedJob reports a job that reached a final state other than by Cancel.
type EndedJob struct {
	Job    string
	State  JobState
	Reason string
	Detail string
}

// ReasonCount is how many workers a filter excludes.
type ReasonCount struct {
	Reason string
	Nodes  int
}

// Explanation says why a job is where it is.
type Explanation struct {
	Job      string
	State    JobState
	Reason   string // why it ended or waits, lower_snake_case
	Detail   string
	Waiting  int // tasks not placed
	Running  int // tasks proposed or running
	Finished int
	Failed   int
	Need     machine.Resources // size used for placement, per task
	Position int               // waiting jobs ahead of it; 0 is next
	Reasons  []ReasonCount     // workers excluded per filter, most first
	NextTry  time.Time         // when backoff ends, if it waits for that
}

// Stats are counts since New, and current sizes. The owner of the engine exports
// them as metrics.
type Stats struct {
	Nodes, Quarantined      int
	Active                  int              // waiting jobs in the active queue
	Unschedulable           int              // waiting jobs in the unschedulable queue
	BackoffTasks            int              // tasks that wait for a time
	Proposed, Running       int              // tasks
	Decisions               int64            // searches, with or without a result
	Placements              int64            // tasks proposed
	Preemptions             int64            // assignments that need preemption
	Reservations            int              // jobs that hold a reservation
	NodesExamined           int64            // workers filtered or scored
	IndexSteps              int64            // index entries visited
	QueueSteps              int64            // queue entries moved or visited
	Unblocked               int64            // groups moved from unschedulable to active
	Refused                 map[string]int64 // jobs refused by Submit, by reason
	Rejected                map[string]int64 // tasks refused by rack owners, by reason
	Capacity, Used, Foreign machine.Resources
}
