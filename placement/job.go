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

// taskState is the state of a task in the engine.
type taskState uint8

const (
	taskWaiting  taskState = iota // in job.pending
	taskBackoff                   // in the backoff queue
	taskProposed                  // holds resources; its start is not yet confirmed
	taskRunning
	taskFinished
	taskFailed  // failed more often than Job.Retries allows
	taskDropped // its job ended before it finished
)

// task is one unit of a job. It holds resources of a node while it is proposed or
// running.
type task struct {
	job                *job
	index              int
	attempt            int
	state              taskState
	failures           int // counted against Job.Retries
	consecutiveRejects int // refusals by rack owners since it last ran
	node               *node
	moveTarget         *node             // holds capacity for t while drain moves t there; else nil
	heldOnTarget       machine.Resources // part of moveTarget.heldForMoves that is for t
	avoidNode          *node             // where it last failed or was refused; another worker is preferred
	pos                int               // in the backoff heap or in node.tasks; -1 is neither
	id                 string            // empty before it is first placed
	held               machine.Resources // on node
	unthrottled        machine.Resources // held before it was throttled
	peakUsage          machine.Resources // highest reported usage
	expectedRunTime    time.Duration     // 0 is unknown
	stateTime          time.Time         // when it was placed; in taskBackoff, when it may start again
	preempt            bool              // placed by preemption
	throttled          bool
	stopping           bool // the engine has requested its stop
	beyondQuota        bool // placed while its team used more than its quota
}

// heapIndex implements heapItem, for the backoff heap.
func (t *task) heapIndex() *int { return &t.pos }

func (t *task) holdsResources() bool { return t.state == taskProposed || t.state == taskRunning }

// expectedEnd returns when t is expected to end, and false if that is unknown. A
// task that has overrun its expected run time is expected to run on for half of the
// time that it has run so far.
func (t *task) expectedEnd(now time.Time) (time.Time, bool) {
	if t.expectedRunTime <= 0 || t.job.spec.Kind == workload.Service {
		return time.Time{}, false
	}
	end := t.stateTime.Add(t.expectedRunTime)
	if end.Before(now) {
		end = now.Add(now.Sub(t.stateTime) / 2)
	}
	return end, true
}

// toWorkload returns t as a workload.Task with the resources that it holds.
func (t *task) toWorkload() workload.Task {
	s := &t.job.spec
	return workload.Task{
		ID: t.id, Attempt: t.attempt, Job: s.ID, Team: s.Team, Kind: s.Kind, Priority: s.Priority,
		Preemptible: s.Preemptible, Resources: t.held, RunTime: s.RunTime,
	}
}

// job is one job known to the engine.
type job struct {
	spec            workload.Job
	team            *team
	group           *group // set while the job is in a queue
	seq             uint64 // order of submission
	submitted       time.Time
	startBy         time.Time         // order within a priority, see startByTime
	useDeclaredSize bool              // a task outgrew its learned size, so declared sizes apply
	adoptedOnly     bool              // only adopted tasks are known; the job is not yet submitted
	entry           *queueEntry       // in group.jobs
	tasks           []*task           // by index; nil after the job has ended and no task is placed
	pending         []int32           // indices of waiting tasks; the last one is placed next
	backoff         int               // tasks in the backoff queue
	placed          int               // tasks proposed or running
	finished        int               // tasks
	failed          int               // tasks in taskFailed
	failures        int               // of all tasks since the last success, except those that were a worker's fault
	failedOn        map[string]bool   // ids of the workers of these failures
	racks           map[*rack]int     // tasks per rack, services only
	zones           map[zone.Name]int // tasks per zone, services only
	state           JobState          // final state, or empty
	reason          string            // why it ended, or what last happened to a task; see Explanation.Reason
	detail          string            // see Explanation.Detail
}

// addTasks extends j to n tasks. A job with adoptedOnly set is extended whenever a
// task with a higher index is adopted.
func (j *job) addTasks(n int) {
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

// fillPending sets pending to the waiting tasks; the lowest index is placed first.
func (j *job) fillPending() {
	j.pending = make([]int32, 0, len(j.tasks))
	for i := len(j.tasks) - 1; i >= 0; i-- {
		if j.tasks[i].state == taskWaiting {
			j.pending = append(j.pending, int32(i))
		}
	}
}

func (j *job) ended() bool { return j.state != "" }

// readyToQueue reports whether the job belongs in the active or unschedulable
// queue. A gang waits until none of its tasks is placed or in backoff, so that all
// of them start together.
func (j *job) readyToQueue() bool {
	if j.ended() || j.adoptedOnly || len(j.pending) == 0 {
		return false
	}
	return j.spec.Kind != workload.Gang || (j.placed == 0 && j.backoff == 0)
}

// removePending removes the task with index i from the waiting tasks.
func (j *job) removePending(i int) {
	for k, p := range j.pending {
		if int(p) == i {
			j.pending = append(j.pending[:k], j.pending[k+1:]...)
			return
		}
	}
}

// taskIndex returns the index that workload.TaskID put into id, and false if id is
// no task of the job or the index is out of range.
func taskIndex(jobID, id string) (int, bool) {
	suffix, ok := strings.CutPrefix(id, jobID+".")
	if !ok {
		return 0, false
	}
	index, err := strconv.Atoi(suffix)
	return index, err == nil && index >= 0 && index < workload.MaxTasksPerJob
}

// startByTime returns the time by which jobs of equal priority are ordered, the
// earliest first. Without a deadline it is startByRunTimes expected run times after
// now, the time of submission, so that short jobs pass long ones but no job waits
// for ever; for a service it is now. A deadline can only make it earlier.
func startByTime(spec *workload.Job, run time.Duration, now time.Time) time.Time {
	by := now
	if spec.Kind != workload.Service {
		if run <= 0 {
			run = assumedRunTime
		}
		by = now.Add(startByRunTimes * run)
	}
	if !spec.Deadline.IsZero() {
		// A late end still counts within the grace window. Half of the window is
		// left for retries.
		latest := spec.Deadline.Add(spec.Grace / 2).Add(-run)
		if latest.Before(by) {
			by = latest
		}
	}
	return by
}

const (
	// startByRunTimes weighs the run time against the time of submission: a job
	// passes longer jobs that were submitted earlier by less than startByRunTimes
	// times the difference of their run times.
	startByRunTimes = 3
	// assumedRunTime orders jobs whose run time is neither declared nor learned.
	assumedRunTime = time.Minute
)
