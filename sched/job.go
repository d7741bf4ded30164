package sched

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// job is a job known to the engine. A job restored after its end has only a state.
type job struct {
	spec         Job
	queue        *Queue
	tenant       *tenantState // set by Submit and Restore
	beyondRate   bool         // accepted beyond the rate of its tenant
	size         jobSize
	due          dueTimes
	chainTimes   []time.Duration // for each step, see Job.chainTimes
	open         []*occurrence   // the open occurrences, in the order of their numbers
	done         numberSet       // occurrences of which all tasks are done
	nextDue      int             // all occurrences before it are open or done
	waitLoggedAt time.Duration   // when a due occurrence that is not open was last logged
	state        JobState
	begun        bool // a task has started at some time, perhaps under a former leader
	stored       bool // the record of the job is stored
	finalStored  bool
	taskCount    int            // in all occurrences
	parts        []progressPart // in the order of their tasks; the first begins at task 0
	restored     bool           // accepted under a former leader
	arrived      time.Duration  // at the daemon that received it
	objective    time.Duration  // when callers want it completed; for an occurrence see step.objective
	ended        time.Duration
	newRecord    Record        // of the job, until Flush has returned it
	onStored     []func(error) // called once the record of the job is stored or refused
	onFinal      []func()      // called once the final record is stored
}

// step is a step of one occurrence.
type step struct {
	occ            *occurrence
	index          int
	spec           *Step
	name           string
	tasks          []*task
	firstTask      int // number of its first task among those of the job
	doneTasks      int
	advice         advice
	attempt        gangAttempt
	chainTime      time.Duration // expected run time of the longest chain of dependent steps that begins here
	urgency        urgency       // in the current pass
	noStartBefore  time.Duration // set after a refused start or an aborted gang
	loggedStart    time.Duration // latest expected start that was logged
	waitLoggedAt   time.Duration // when its wait was last logged
	blockedSince   time.Duration // since when each search has left a task without room, 0 if the last one did not
	noSearchBefore time.Duration // no search for free capacity before; reset by an advisor's answer or the end of a run
	reservedSlots  []slot        // reserved by the last search, all from the expected start on
	heldRuns       int           // runs of its tasks
	progressedAt   time.Duration // when the progress of one of its runs last rose
}

// task is one unit of work.
type task struct {
	step         *step
	index        int
	name         string
	run          *run  // the current run, nil if none holds capacity
	lastRun      int64 // highest run number so far
	done         bool
	runTime      time.Duration // once done; 0 if this leader has not seen it run
	ranOn        *machineState // where it was done
	failedRuns   []int64       // numbers of the runs that failed; those of a gang are at its first task
	moves        int           // runs that were stopped because they were stuck or slow
	avoidMachine string        // id of the machine on which its last start or run went wrong
	checkpoint   string
	mayRunOn     []*machineState // machines that did not answer the former leader, on which it may still run
}

// gangAttempt is the current attempt to run all members of a gang.
type gangAttempt struct {
	runNumber int64 // of the runs of all members; 0 if no attempt is active
	startedAt time.Duration
	aborting  bool // the members are ending or being stopped
	// reservedMembers is the number of members without a run that count as held by the tenant.
	reservedMembers int32
	abortedAt       time.Duration // when aborting began
	// placement has the machine of each member. It holds their capacity until
	// placementUntil while tickets are requested, before the attempt starts.
	placement      []*machineState
	placementUntil time.Duration
}

// newJob returns a queued job without open occurrences. recordBytes is the size of its record. wall
// is the wall clock time at now.
func (e *Engine) newJob(spec Job, q *Queue, recordBytes int, now time.Duration, wall time.Time) *job {
	j := &job{spec: spec, queue: q, state: Queued, parts: make([]progressPart, 1), size: newJobSize(&spec, recordBytes)}
	for i := range spec.Steps {
		j.taskCount += spec.Steps[i].Count * spec.Occurrences()
	}
	j.arrived = now - clampSpan(spanOfMillis(wall.UnixMilli()-spec.Accepted))
	j.chainTimes = j.spec.chainTimes(func(s *Step) time.Duration { return e.estimator.expected(q, s) })
	j.due = dueTimes{arrived: j.arrived, periodic: spec.Repeat > 0, setAt: now, wallMs: wall.UnixMilli(), firstMs: spec.FirstDue,
		interval: spec.Interval.Milliseconds()}
	j.objective = j.arrived + q.objective(j.chainTimes)
	j.tenant = e.tenant(spec.Tenant)
	return j
}

// addJob adds a job to those that have not ended.
func (e *Engine) addJob(j *job) {
	e.jobs[j.spec.ID] = j
	e.liveJobs = append(e.liveJobs, j)
	e.jobMemory.add(j)
}

// releaseEnded frees the memory of jobs whose end is stored. Their states can still be queried, and runs
// that are still being stopped keep their tasks. What restored jobs may still hold is known from their
// tasks, until it is known which runs of former leaders exist.
func (e *Engine) releaseEnded() {
	e.endedInMemory = slices.DeleteFunc(e.endedInMemory, func(j *job) bool {
		if j.restored && (!e.runsResolved || len(e.former.tasks) > 0) {
			return false
		}
		e.jobMemory.remove(j)
		j.open, j.done, j.chainTimes, j.parts = nil, nil, nil, nil
		j.spec.Steps, j.spec.Payload = nil, ""
		return true
	})
}

// chainTimes returns for each step the run time of the longest chain of dependent steps
// that begins with it.
func (j *Job) chainTimes(expected func(*Step) time.Duration) []time.Duration {
	out := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		out[i] = clampSpan(out[i] + expected(&j.Steps[i]))
		for _, d := range j.Steps[i].DependsOn {
			out[d] = max(out[d], out[i])
		}
	}
	return out
}

// objective returns the time from arrival within which callers want a job completed
// whose steps have these chain times. For an occurrence it counts from its due time.
func (q *Queue) objective(chainTimes []time.Duration) time.Duration {
	return clampSpan(clampSpan(q.Target) + scaleSpan(lo.Max(chainTimes), q.Stretch))
}

// Objective returns the time from arrival within which callers want a job completed, by
// its declared run times. For an occurrence it counts from its due time.
func (q *Queue) Objective(j *Job) time.Duration {
	return q.objective(j.chainTimes(func(s *Step) time.Duration { return s.Estimate }))
}

// ready reports whether s is due and the steps that it depends on are done.
func (s *step) ready(now time.Duration) bool {
	if now < s.occ.due {
		return false
	}
	for _, d := range s.spec.DependsOn {
		if p := s.occ.steps[d]; p.doneTasks < len(p.tasks) {
			return false
		}
	}
	return true
}

// hasPlaceableTask reports whether a task of s waits for a machine.
func (s *step) hasPlaceableTask() bool {
	for _, t := range s.tasks {
		if t.placeable() {
			return true
		}
	}
	return false
}

// remainingWork returns the core-seconds that the tasks of s that are not done take by
// their declared run time.
func (s *step) remainingWork() float64 {
	left := len(s.tasks) - s.doneTasks
	return float64(left) * float64(s.spec.Need.CPUMilli) / 1000 * s.spec.Estimate.Seconds()
}

// placeable reports whether t is neither done nor placed, and cannot still run on machines
// that the former leader did not reach.
func (t *task) placeable() bool {
	return !t.done && t.run == nil && !lo.SomeBy(t.mayRunOn, func(m *machineState) bool { return m.mayHaveFormerRuns })
}

// objective returns when the callers want the occurrence of s completed.
func (s *step) objective() time.Duration {
	j := s.occ.job
	if j.spec.Repeat == 0 {
		return j.objective
	}
	return s.occ.due + (j.objective - j.arrived)
}

// stepName returns the name of a step, by which the advisor knows it. The name of a
// task is that of its step, a dot and its index.
func stepName(id string, occurrence, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(index)
}

// findTask returns the task with that name, or nil if there is none or its occurrence is
// done. It opens the occurrence of the task.
func (e *Engine) findTask(name string) *task {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil
	}
	j := e.jobs[parts[0]]
	if j == nil {
		return nil
	}
	var indices [3]int
	for i := range indices {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return nil
		}
		indices[i] = n
	}
	o := e.occurrence(j, indices[0])
	if o == nil || indices[1] >= len(o.steps) || indices[2] >= len(o.steps[indices[1]].tasks) {
		return nil
	}
	return o.steps[indices[1]].tasks[indices[2]]
}
