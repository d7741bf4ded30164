package sched

import (
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
)

// job is one job known to the engine. After its end only its state is kept.
type job struct {
	spec            Job
	queue           *Queue
	occurrences     []*occurrence
	doneOccurrences int
	state           JobState
	begun           bool // a task has started at some time
	stored          bool // the record of the job is stored
	finalStored     bool
	progressStored  bool
	restored        bool // accepted under a former leader
	arrived         time.Duration
	objective       time.Duration // when callers want it completed
	ended           time.Duration
	onStored        []func()
	onFinal         []func()
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
	doneTasks      int
	advice         advice
	attempt        gangAttempt
	chainTime      time.Duration // expected run time of the steps that depend on this one, and of it
	urgency        urgency       // in the current pass
	noStartBefore  time.Duration // no new start before this time, after refusals
	loggedStart    time.Duration // latest expected start that was logged
	waitLoggedAt   time.Duration // when its wait was last logged
	noSearchBefore time.Duration // no search for room before this time, unless something of the step changes
	reservedSlots  []slot        // room that the last search has booked, at its expected start
}

// task is one unit of work.
type task struct {
	step         *step
	index        int
	name         string
	run          *run // the current run, nil if none holds room
	lastRun      int64
	done         bool
	runTime      time.Duration // run time once done, 0 if this leader has not seen it run
	ranOn        *machineState // where it was done
	failedRuns   []int64       // numbers of the runs that failed
	moves        int           // runs that were stopped because they stood still or were slow
	avoidMachine string        // machine on which it failed or stood still last
	checkpoint   string
	mayRunOn     *machineState // a machine that did not answer the former leader, on which it may still run
}

// gangState is the current attempt of a gang.
type gangAttempt struct {
	runNumber int64 // shared by all members; 0 if none is active
	startedAt time.Duration
	aborting  bool          // the members are being stopped
	abortedAt time.Duration // when aborting began
	// plan holds room on these machines, one entry a member, until planUntil, while
	// tickets are asked for.
	placement      []*machineState
	placementUntil time.Duration
}

func newJob(spec Job, q *Queue) *job {
	j := &job{spec: spec, queue: q, state: Queued}
	for k := range j.spec.Occurrences() {
		o := &occurrence{job: j, number: k}
		for i := range j.spec.Steps {
			s := &step{occ: o, index: i, spec: &j.spec.Steps[i], name: stepName(spec.ID, k, i)}
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

// deadlines sets arrival, due times and the objective of the job.
func (j *job) setTimes(now time.Duration, wall time.Time, speeds *runTimeEstimator) {
	age := time.Duration(wall.UnixMilli()-j.spec.Accepted) * time.Millisecond
	j.arrived = now - max(age, 0)
	expected := func(s *Step) time.Duration { return speeds.expected(j.queue, s) }
	chainTimes := j.spec.chainTimes(expected)
	for _, o := range j.occurrences {
		o.due = j.arrived
		if j.spec.Repeat > 0 {
			due := j.spec.FirstDue + int64(o.number)*j.spec.Interval.Milliseconds()
			o.due = now + time.Duration(due-wall.UnixMilli())*time.Millisecond
		}
		for i, s := range o.steps {
			s.chainTime = chainTimes[i]
		}
	}
	j.objective = j.arrived + j.queue.objective(chainTimes)
}

// tails returns for each step the run time of the longest chain of steps that
// begins with it.
func (j *Job) chainTimes(expected func(*Step) time.Duration) []time.Duration {
	out := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		out[i] += expected(&j.Steps[i])
		for _, d := range j.Steps[i].DependsOn {
			out[d] = max(out[d], out[i])
		}
	}
	return out
}

// objective returns the time in which callers want a job with such chains completed.
func (q *Queue) objective(chainTimes []time.Duration) time.Duration {
	return q.Target + time.Duration(q.Stretch*float64(lo.Max(chainTimes)))
}

// Objective returns the time in which callers want a job completed, by declared run times.
func (q *Queue) Objective(j *Job) time.Duration {
	return q.objective(j.chainTimes(func(s *Step) time.Duration { return s.Estimate }))
}

// ready reports whether the tasks of s may start.
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

// waits reports whether a task of s is neither done nor placed.
func (s *step) hasPlaceableTask() bool {
	for _, t := range s.tasks {
		if t.placeable() {
			return true
		}
	}
	return false
}

// workLeft returns the core-seconds that the tasks of s still take by their declared
// run time.
func (s *step) remainingWork() float64 {
	left := len(s.tasks) - s.doneTasks
	return float64(left) * float64(s.spec.Need.CPUMilli) / 1000 * s.spec.Estimate.Seconds()
}

// placeable reports whether t waits for a machine.
func (t *task) placeable() bool {
	return !t.done && t.run == nil && (t.mayRunOn == nil || !t.mayRunOn.mayHaveFormerRuns)
}

// objective returns when the callers want the occurrence of s completed.
func (s *step) objective() time.Duration {
	j := s.occ.job
	if j.spec.Repeat == 0 {
		return j.objective
	}
	return s.occ.due + (j.objective - j.arrived)
}

func stepName(id string, occurrence, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(index)
}

// findTask returns the task of that name, or nil.
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
