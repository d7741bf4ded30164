package sched

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// Job is what a caller submits. Field numbers are those of the stored record.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Queue    string        `cbor:"2,keyasint"`
	Payload  string        `cbor:"3,keyasint,omitempty"` // passed to every task
	Steps    []Step        `cbor:"4,keyasint"`
	Accepted int64         `cbor:"5,keyasint"`           // Unix ms at the daemon that took the job in
	FirstDue int64         `cbor:"6,keyasint,omitempty"` // Unix ms of occurrence 0, for periodic jobs
	Interval time.Duration `cbor:"7,keyasint,omitempty"` // between occurrences
	Repeat   int           `cbor:"8,keyasint,omitempty"` // number of occurrences; 0 is one, due at once
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// Step is a group of equal tasks of a job.
type Step struct {
	Count          int               `cbor:"1,keyasint"`
	Need           machine.Resources `cbor:"2,keyasint"` // of one task
	Estimate       time.Duration     `cbor:"3,keyasint"` // declared run time of one task; often far off
	DependsOn      []int             `cbor:"4,keyasint,omitempty"`
	SavesProgress  bool              `cbor:"5,keyasint,omitempty"`
	Gang           bool              `cbor:"6,keyasint,omitempty"`  // all tasks run together or not at all
	RackLocal      bool              `cbor:"7,keyasint,omitempty"`  // slower when spread over racks
	Label          string            `cbor:"8,keyasint,omitempty"`  // the machine must carry it
	DataRack       string            `cbor:"9,keyasint,omitempty"`  // slower on any other rack
	MaxPerMachine  int               `cbor:"10,keyasint,omitempty"` // most tasks of one occurrence on a machine; 0 is no limit
	Speculative    bool              `cbor:"11,keyasint,omitempty"` // copies may run in parallel
	Persistent     bool              `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image          string            `cbor:"13,keyasint,omitempty"`
	LatencyTarget  int               `cbor:"14,keyasint,omitempty"` // ms, bound on the tail latency of a serving task
	Filler         bool              `cbor:"15,keyasint,omitempty"` // uses processors that others leave idle
	MaxUnavailable int               `cbor:"16,keyasint,omitempty"` // tasks that the system may take down at once
}

// Queue is the policy of one kind of job.
type Queue struct {
	Name        string
	Service     string // pool of machines that runs its tasks
	Priority    int    // 0 comes first
	MaxAttempts int    // failed runs of a task before its job fails
	Stretch     float64
	Target      time.Duration // added to Stretch times the longest chain of work
	Advisor     *Advisor      // set if an advisor decides which machines are allowed
}

// Advisor is the cost of asking the advisor of a queue.
type Advisor struct {
	BaseDuration       time.Duration // of each call
	DurationPerMachine time.Duration // for each machine that is named
	TicketLife         time.Duration // life of a ticket
}

// CallDuration is the expected duration of a call about n machines.
func (a *Advisor) CallDuration(n int) time.Duration {
	return a.BaseDuration + time.Duration(n)*a.DurationPerMachine
}

// Machine is what a worker machine says about itself.
type Machine struct {
	ID       string // changes with each incarnation unless the machine restarts under its old id
	Born     int64  // Unix ms of the start of this incarnation
	Service  string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity machine.Resources
	Draining bool
	// Remaining is the least time until a draining machine leaves, 0 if not known.
	Remaining time.Duration
}

// JobState is the state of a job as callers see it.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Completed JobState = "completed"
	Failed    JobState = "failed"
	Cancelled JobState = "cancelled"
)

func (s JobState) final() bool { return s == Completed || s == Failed || s == Cancelled }

// EndKind says how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed" // the lease of the machine expired
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other members of the gang did not arrive in time
)

// RunReport is one entry of a machine's list of runs.
type RunReport struct {
	Task       string
	Run        int64
	Checkpoint string
	Percent    int // progress, or the share of work that pacing allows for persistent tasks
	Usage      int // tail latency in ms of a serving task, else thousandths of a core
}

// EndReport is one entry of a machine's list of ended runs.
type EndReport struct {
	Number     int64 // rises by one per end within an incarnation
	Task       string
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// StartOutcome is the answer to a start order.
type StartOutcome string

// The answers to a start order. All but Started and Unanswered mean that the run
// does not exist.
const (
	Started             StartOutcome = "started"
	Unanswered          StartOutcome = "unanswered" // it may start later
	RefusedStaleToken   StartOutcome = "fence"      // a newer owner has given orders
	RefusedOldRun       StartOutcome = "old"        // a higher run number is known there
	RefusedLeaseExpired StartOutcome = "late"       // the lease of the order had expired
	RefusedNoCapacity   StartOutcome = "room"
	RefusedTicket       StartOutcome = "ticket"
	RefusedUnhealthy    StartOutcome = "unhealthy"
	RefusedOther        StartOutcome = "rejected"
	WrongIncarnation    StartOutcome = "incarnation" // another incarnation answered
	NotSent             StartOutcome = "not_sent"
)

// Start is an order to start a task.
type Start struct {
	Machine    Machine
	Token      int64 // fencing token
	Task       string
	Run        int64
	Payload    string
	Checkpoint string
	Ticket     string
}

// Stop is an order to stop a run, or to make sure that it never starts.
type Stop struct {
	Machine Machine
	Token   int64
	Task    string
	Run     int64
}

// AdviceRequest is a question to the advisor.
type AdviceRequest struct {
	Step     string // identifies the step to the advisor
	Machines []string
	Expected time.Duration

	step *step
}

// Record is one keyed record to store. An empty Value drops the key.
type Record struct {
	Key   string
	Value []byte
}
