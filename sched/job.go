package sched

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// job is a job known to the engine. A job restored after its end has only a state.
type job struct {
	spec            Job
	queue           *Queue
	tenant          *tenantState // set by Submit and Restore
	beyondRate      bool         // accepted beyond the rate of its tenant
	occurrences     []*occurrence
	doneOccurrences int
	state           JobState
	begun           bool // a task has started at some time, perhaps under a former leader
	stored          bool // the record of the job is stored
	finalStored     bool
	taskCount       int            // in all occurrences
	parts           []progressPart // in the order of their tasks; the first begins at task 0
	restored        bool           // accepted under a former leader
	arrived         time.Duration  // at the daemon that received it
	objective       time.Duration  // when callers want it completed; for an occurrence see step.objective
	ended           time.Duration
	newRecord       Record        // of the job, until Flush has returned it
	onStored        []func(error) // called once the record of the job is stored or refused
	onFinal         []func()      // called once the final record is stored
}

// occurrence is one run of the steps of a job.
type occurrence struct {
	job       *job
	number    int
	due       time.Duration // when its tasks may start
	steps     []*step
	doneSteps int
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
	noSearchBefore time.Duration // no search for free capacity before; reset by an advisor's answer or the end of a run
	reservedSlots  []slot        // reserved by the last search, all from the expected start on
	heldRuns       int           // runs of its tasks
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

// newJob returns a queued job with all its occurrences, steps and tasks.
func newJob(spec Job, q *Queue) *job {
	j := &job{spec: spec, queue: q, state: Queued, parts: make([]progressPart, 1)}
	for k := range j.spec.Occurrences() {
		o := &occurrence{job: j, number: k}
		for i := range j.spec.Steps {
			s := &step{occ: o, index: i, spec: &j.spec.Steps[i], name: stepName(spec.ID, k, i), firstTask: j.taskCount}
			j.taskCount += s.spec.Count
			s.tasks = make([]*task, s.spec.Count)
			block := make([]task, s.spec.Count)
			for n := range block {
				block[n] = task{step: s, index: n, name: s.name + "." + strconv.Itoa(n)}
				s.tasks[n] = &block[n]
			}
			o.steps = append(o.steps, s)
		}
		j.occurrences = append(j.occurrences, o)
	}
	return j
}

// setTimes sets arrival, due times, chain times and the objective of the job. wall is
// the wall clock time at now.
func (j *job) setTimes(now time.Duration, wall time.Time, estimator *runTimeEstimator) {
	j.arrived = now - clampSpan(spanOfMillis(wall.UnixMilli()-j.spec.Accepted))
	expected := func(s *Step) time.Duration { return estimator.expected(j.queue, s) }
	chainTimes := j.spec.chainTimes(expected)
	for _, o := range j.occurrences {
		o.due = j.arrived
		if j.spec.Repeat > 0 {
			due := j.spec.FirstDue + int64(o.number)*j.spec.Interval.Milliseconds()
			o.due = now + spanOfMillis(due-wall.UnixMilli())
		}
		for i, s := range o.steps {
			s.chainTime = chainTimes[i]
		}
	}
	j.objective = j.arrived + j.queue.objective(chainTimes)
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

// findTask returns the task with that name, or nil.
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
	if indices[0] >= len(j.occurrences) || indices[1] >= len(j.occurrences[indices[0]].steps) {
		return nil
	}
	s := j.occurrences[indices[0]].steps[indices[1]]
	if indices[2] >= len(s.tasks) {
		return nil
	}
	return s.tasks[indices[2]]
}
