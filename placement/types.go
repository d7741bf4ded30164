package placement

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Node is a worker as reported by its rack owner.
type Node struct {
	ID          string
	Rack        string // unique within Zone
	Zone        zone.Name
	Total       machine.Resources // capacity of the worker
	Foreign     machine.Resources // used by tasks that this engine does not track
	Preemptible machine.Resources // part of Foreign that preemption for urgent work could free
	Draining    bool              // takes no new tasks; its services and checkpointable batches are moved away
	Unreachable bool              // takes no new tasks, because its rack owner cannot reach it
}

// Assignment places one task on one worker. With Preempt, the rack owner has to
// free resources first (see Engine.Victims).
type Assignment struct {
	Task    workload.Task
	Node    string // worker id
	Preempt bool
}

// Proposal is a set of assignments of one job. All tasks of a gang are in the
// same proposal.
type Proposal struct {
	Job         string
	Assignments []Assignment
}

// TaskResult reports the end of a task's attempt, or that it is throttled or runs
// at full speed again.
type TaskResult struct {
	State       workload.TaskState
	Ran         time.Duration     // how long the attempt ran; zero if unknown
	Used        machine.Resources // peak usage; zero if unknown
	WorkerFault bool              // the worker, not the task, is known to be at fault
}

// Victim is a running task to preempt and how to preempt it.
type Victim struct {
	Task workload.Task
	Mode PreemptMode
}

// PreemptMode is how a running task is made to give up resources: for urgent work,
// a drain, a reclaimed quota, the restart of its gang or the end of its job.
type PreemptMode string

// The modes, cheapest first, as the worker protocol names them.
const (
	PreemptCheckpoint PreemptMode = "checkpoint" // the task saves a checkpoint and ends
	PreemptThrottle   PreemptMode = "throttle"   // the task keeps running with fewer processors
	PreemptStop       PreemptMode = "stop"       // the task ends without a checkpoint
)

// StopRequest is a request of the engine to take a running task off its worker.
type StopRequest struct {
	Task   workload.Task
	Node   string // worker id
	Mode   PreemptMode
	Reason string // drain, quota_reclaim, gang_member_failed, gang_member_gone or job_failed
}

// JobState is the state of a job in the engine.
type JobState string

// The states of a job. JobFinished, JobFailed, JobCancelled and JobImpossible are
// final.
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
	Job    string // job id
	State  JobState
	Reason string // lower_snake_case
	Detail string // for people; empty if Reason says it all
}

// ReasonCount is the number of workers that are excluded for one reason.
type ReasonCount struct {
	Reason string // as returned by Engine.filter, for example "busy_cpu"
	Nodes  int
}

// Explanation is the state of a job and the reason for it, for operators. It is
// encoded as JSON under the names of its fields.
type Explanation struct {
	Job      string
	State    JobState
	Reason   string // why it ended or waits, lower_snake_case
	Detail   string // Reason with the numbers behind it; may be empty
	Waiting  int    // tasks not placed
	Running  int    // tasks proposed or running
	Finished int
	Failed   int
	Need     machine.Resources // per task; the size used for placement if the job is queued, else the declared size
	Position int               // queued jobs ahead of it; 0 if it is next or not queued
	Reasons  []ReasonCount     // why workers are excluded, most frequent reason first; nil if it is not queued
	NextTry  time.Time         // when the first backoff of a task ends; the engine sets it only in JobBackoff
}

// Stats are counts since New and current sizes. The owner of the engine exports them
// as metrics.
type Stats struct {
	Nodes, Quarantined      int              // workers; those on probation count as quarantined
	Active                  int              // waiting jobs in the active queue
	Unschedulable           int              // waiting jobs in the unschedulable queue
	BackoffTasks            int              // tasks that wait for the end of their backoff
	Proposed, Running       int              // tasks
	Decisions               int64            // searches, with or without a result
	Placements              int64            // tasks proposed
	Preemptions             int64            // assignments that need preemption
	Reservations            int              // jobs that hold a reservation
	NodesExamined           int64            // workers filtered or scored
	IndexSteps              int64            // index entries visited
	QueueSteps              int64            // queue entries moved or visited
	Unblocked               int64            // times a group of jobs moved from unschedulable to active
	Refused                 map[string]int64 // jobs refused by Submit, by reason
	Rejected                map[string]int64 // tasks refused by rack owners, by reason
	Capacity, Used, Foreign machine.Resources
}
