package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

type taskState uint8

const (
	taskWaiting  taskState = iota // in job.pending
	taskBackoff                   // in the backoff queue
	taskProposed                  // reserved, not yet confirmed
	taskRunning
	taskDone
	taskFailed
	taskDropped // its job ended before it was placed
)

// task is one unit of a job. It holds resources of a node while it is proposed
// or running.
type task struct {
	job       *job
	index     int
	attempt   int
	state     taskState
	failures  int // counted against Job.Retries
	rejects   int // consecutive refusals by rack owners
	node      *node
	target    *node // where room is kept while t is moved off a drained worker
	kept      machine.Resources
	avoid     *node // where it failed last; another worker is preferred
	pos       int   // position in the backoff heap or in node.tasks
	id        string
	res       machine.Resources // held on node
	full      machine.Resources // res before it was throttled
	peak      machine.Resources // highest reported usage
	run       time.Duration     // expected, 0 is unknown
	since     time.Time         // when it was placed; for backoff, when it may start
	preempt   bool              // placed by preemption, not yet committed
	throttled bool
	stopping  bool // a Stop was issued
	borrowed  bool // placed beyond its team's quota
}

func (t *task) at() *int { return &t.pos }

func (t *task) holds() bool { return t.state == taskProposed || t.state == taskRunning }

// end returns when t is expected to end, and false if that is unknown. An
// overdue task is expected to run for half as long again.
func (t *task) end(now time.Time) (time.Time, bool) {
	if t.run <= 0 || t.job.spec.Kind == workload.Service {
		return time.Time{}, false
	}
	e := t.since.Add(t.run)
	if e.Before(now) {
		e = now.Add(now.Sub(t.since) / 2)
	}
	return e, true
}

// export returns the shared form of t.
func (t *task) export() workload.Task {
	s := &t.job.spec
	return workload.Task{
		ID: t.id, Attempt: t.attempt, Job: s.ID, Team: s.Team, Kind: s.Kind, Priority: s.Priority,
		Preempt: s.Preempt, Resources: t.res, RunTime: s.RunTime,
	}
}

// job is one job known to the engine.
type job struct {
	spec      workload.Job
	team      *team
	group     *group // set while the job is in a queue
	seq       uint64
	submitted time.Time
	due       time.Time // order within a priority, see dueTime
	declared  bool      // a task outgrew its learned size; declared sizes apply
	stub      bool      // adopted tasks of a job that is not yet submitted
	entry     *entry    // in group.jobs
	tasks     []*task
	pending   []int32 // indices of waiting tasks, last is next
	backoff   int     // tasks in the backoff queue
	placed    int     // tasks proposed or running
	done      int
	failed    int
	failures  int               // failures of all tasks since the last success
	failedOn  map[string]bool   // workers on which tasks failed since the last success
	racks     map[*rack]int     // tasks per rack, services only
	zones     map[zone.Name]int // tasks per zone, services only
	state     JobState          // final state, or empty
	reason    string
	detail    string
}

// grow adds tasks up to n. Jobs known only by adopted tasks grow as these are found.
func (j *job) grow(n int) {
	old := len(j.tasks)
	if n <= old {
		return
	}
	block := make([]task, n-old)
	j.tasks = slices.Grow(j.tasks, n-old)
	for i := range block {
		block[i] = task{job: j, index: old + i, pos: -1}
		j.tasks = append(j.tasks, &block[i])
	}
}

// await fills pending with the waiting tasks, lowest index next.
func (j *job) await() {
	j.pending = make([]int32, 0, len(j.tasks))
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskWaiting {
			j.pending = append(j.pending, int32(i))
		}
	}
}

func (j *job) ended() bool { return j.state != "" }

// ready reports whether the job belongs in a queue now. A gang waits until none
// of its tasks runs or backs off, so that the rest starts together.
func (j *job) ready() bool {
	if j.ended() || j.stub || len(j.pending) == 0 {
		return false
	}
	return j.spec.Kind != workload.Gang || (j.placed == 0 && j.backoff == 0)
}

// dropPending removes index i from the waiting tasks.
func (j *job) dropPending(i int) {
	for k, p := range j.pending {
		if int(p) == i {
			j.pending = append(j.pending[:k], j.pending[k+1:]...)
			return
		}
	}
}

// taskIndex returns the index that workload.TaskID put into id.
func taskIndex(jobID, id string) (int, bool) {
	s, ok := strings.CutPrefix(id, jobID+".")
	if !ok {
		return 0, false
	}
	i, err := strconv.Atoi(s)
	return i, err == nil && i >= 0 && i < workload.MaxTasksPerJob
}

// dueTime orders jobs of equal priority: those that must start soonest first.
// Without a deadline a job is due after runSlack times its expected run time,
// so that short jobs pass long ones but nothing waits for ever.
func dueTime(spec *workload.Job, run time.Duration, now time.Time) time.Time {
	due := now
	if spec.Kind != workload.Service {
		if run <= 0 {
			run = unknownRun
		}
		due = now.Add(runSlack * run)
	}
	if !spec.Deadline.IsZero() {
		// Late work counts until the grace window ends, but half of the window is
		// kept as reserve for retries.
		last := spec.Deadline.Add(spec.Grace / 2).Add(-run)
		if last.Before(due) {
			due = last
		}
	}
	return due
}

const (
	// runSlack weighs the run time against the time of arrival: a job passes those
	// that arrived earlier by less than runSlack times the difference of run times.
	runSlack = 3
	// unknownRun is assumed for the order of jobs whose run time is neither
	// declared nor learned.
	unknownRun = time.Minute
)
