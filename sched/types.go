package sched

import (
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// Job is what a caller submits: steps that run once, or periodically as occurrences.
// The field numbers are those of the stored record.
type Job struct {
	ID       string        `cbor:"1,keyasint"`
	Queue    string        `cbor:"2,keyasint"`
	Payload  string        `cbor:"3,keyasint,omitempty"` // passed to every task
	Steps    []Step        `cbor:"4,keyasint"`
	Accepted int64         `cbor:"5,keyasint"`           // Unix ms at the daemon that received the job
	FirstDue int64         `cbor:"6,keyasint,omitempty"` // Unix ms at which occurrence 0 is due, for periodic jobs
	Interval time.Duration `cbor:"7,keyasint,omitempty"` // between occurrences
	Repeat   int           `cbor:"8,keyasint,omitempty"` // number of occurrences; 0 means one that is due on arrival
	Tenant   string        `cbor:"9,keyasint,omitempty"` // whose job it is; empty if the caller needed no key
}

// Occurrences returns how many times the steps run, at least 1.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// Step is a group of equal tasks of a job. It starts when the steps that it depends
// on are done.
type Step struct {
	Count          int               `cbor:"1,keyasint"`
	Need           machine.Resources `cbor:"2,keyasint"`            // of one task
	Estimate       time.Duration     `cbor:"3,keyasint"`            // declared run time of one task; often far off
	DependsOn      []int             `cbor:"4,keyasint,omitempty"`  // indices of earlier steps
	SavesProgress  bool              `cbor:"5,keyasint,omitempty"`  // the tasks write checkpoints
	Gang           bool              `cbor:"6,keyasint,omitempty"`  // all tasks run together or not at all
	RackLocal      bool              `cbor:"7,keyasint,omitempty"`  // a gang that is slower when spread over racks
	Label          string            `cbor:"8,keyasint,omitempty"`  // the machine must have this label; empty for any
	DataRack       string            `cbor:"9,keyasint,omitempty"`  // slower on any other rack; empty for none
	MaxPerMachine  int               `cbor:"10,keyasint,omitempty"` // tasks per machine and occurrence; 0 is no limit
	Speculative    bool              `cbor:"11,keyasint,omitempty"` // copies may run in parallel; the engine starts none
	Persistent     bool              `cbor:"12,keyasint,omitempty"` // started again whenever it ends, until the job ends
	Image          string            `cbor:"13,keyasint,omitempty"` // not used
	LatencyTarget  int               `cbor:"14,keyasint,omitempty"` // ms of tail latency of a serving task; 0 for others
	Filler         bool              `cbor:"15,keyasint,omitempty"` // uses processors that others leave idle
	MaxUnavailable int               `cbor:"16,keyasint,omitempty"` // tasks that may be taken down together; not used
}

// Queue is the policy of one kind of job.
type Queue struct {
	Name        string
	Service     string // pool of machines that runs its tasks
	Priority    int    // 0 comes first
	MaxAttempts int    // failed runs of a task, or failed attempts of a gang, before its job fails
	// Stretch times the run time of the longest chain of dependent steps, plus Target,
	// is the time from arrival within which callers want a job completed. For an
	// occurrence of a periodic job it counts from the time at which that is due.
	Stretch float64
	Target  time.Duration
	Advisor *Advisor // nil if the queue may use all machines of its service
}

// Tenant is a customer whose jobs share the machines with those of other tenants.
type Tenant struct {
	Name string
	// Weight is the tenant's share of the machines when all are in use, relative to the weights of
	// the others. It is also the number of jobs a second that the tenant may expect to be served.
	Weight float64
	// Cap bounds what the tenant's tasks hold on all machines together. A resource that is 0 has
	// no bound.
	Cap machine.Resources
}

// Advisor describes the advisor of a queue. It decides on request which machines a
// step may use, and issues a ticket for each of them that a start has to present.
type Advisor struct {
	BaseDuration       time.Duration // part of the duration of a call that does not depend on its size
	DurationPerMachine time.Duration // added for each machine that the call names
	TicketLife         time.Duration // declared; the engine uses the time that comes with each answer
}

// CallDuration returns the expected duration of a call that names n machines.
func (a *Advisor) CallDuration(n int) time.Duration {
	return a.BaseDuration + time.Duration(n)*a.DurationPerMachine
}

// Machine is the entry of a worker machine in the host list. It is part of stored
// records under its Go field names.
type Machine struct {
	ID       string // changes with each incarnation unless the machine restarts under its old id
	Born     int64  // Unix ms at which this incarnation started, 0 if not known
	Service  string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity machine.Resources
	Draining bool
	// Remaining is the shortest time until a draining machine leaves, 0 if not known.
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

// The kinds of ends of a run.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped" // by a stop order
	EndLeaseExpired   EndKind = "lapsed"  // the lease of the machine expired
	EndGangBroken     EndKind = "broken"  // another member of the gang ended without being done
	EndGangIncomplete EndKind = "alone"   // the other members of the gang did not start in time
)

// RunReport is one entry of a machine's list of running tasks.
type RunReport struct {
	Task       string
	Run        int64
	Checkpoint string // the last one, empty if there is none
	Percent    int    // progress; for persistent tasks, the share of work that pacing allows
	Usage      int    // tail latency in ms of a serving task, else thousandths of a core; not used
}

// EndReport is one entry of a machine's list of ended runs.
type EndReport struct {
	Number     int64 // rises by one with each end within an incarnation
	Task       string
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// StartOutcome is the answer to a start order.
type StartOutcome string

// The outcomes of a start order. All but Started and Unanswered mean that the run
// does not exist.
const (
	Started             StartOutcome = "started"
	Unanswered          StartOutcome = "unanswered" // the run may exist, or start later
	RefusedStaleToken   StartOutcome = "fence"      // the machine has seen a higher fencing token
	RefusedOldRun       StartOutcome = "old"        // a run with this or a higher number has ended or was stopped
	RefusedLeaseExpired StartOutcome = "late"       // the lease in the order had expired
	RefusedNoCapacity   StartOutcome = "room"
	RefusedTicket       StartOutcome = "ticket"
	RefusedUnhealthy    StartOutcome = "unhealthy"
	RefusedOther        StartOutcome = "rejected"
	WrongIncarnation    StartOutcome = "incarnation" // another incarnation of the machine answered
	NotSent             StartOutcome = "not_sent"
	Unreached           StartOutcome = "unreached" // there was no connection to the machine, so that nothing was sent
	MachineSilent       StartOutcome = "silent"    // not sent, since the machine has not answered another order
)

// Start is an order to start a task. Run numbers the starts of the task.
type Start struct {
	Machine    Machine
	Token      int64 // fencing token
	Task       string
	Run        int64
	Payload    string
	Checkpoint string // from which the task continues, empty to start afresh
	Ticket     string // of the advisor, empty if the queue has none
}

// Stop is an order to stop a run, or to keep it from starting later.
type Stop struct {
	Machine Machine
	Token   int64
	Task    string
	Run     int64
}

// AdviceRequest asks the advisor of a queue which of some machines a step may use.
type AdviceRequest struct {
	Step     string        // identifies the step to the advisor
	Machines []string      // machine ids
	Expected time.Duration // duration of the call

	step *step
}

// Record is one keyed record to store. An empty Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}
