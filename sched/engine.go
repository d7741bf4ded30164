package sched

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// Config holds the settings of an Engine.
type Config struct {
	// Token is the fencing token of this tenure. Later tenures have higher ones by
	// at least TokensPerTenure.
	Token int64
	// Lease is the life of a lease on a machine, and its upper bound.
	Lease time.Duration
	// StopLimit is the time that a machine takes at most to stop a run.
	StopLimit time.Duration
	// GangWait is how long a member of a gang waits on its machine for the others.
	GangWait time.Duration
	// SpreadFactor is how much slower a task runs away from its data, or a
	// rack-local gang on several racks.
	SpreadFactor float64
	// FinalStateRetention is how long the state of an ended job can be asked for.
	FinalStateRetention time.Duration
	// MaxBacklog bounds the accepted jobs that have not ended. Default 20,000, about
	// 40 MB of job records.
	MaxBacklog int
	Logger     zerolog.Logger
}

// TokensPerTenure is the number of fencing tokens of one tenure. The token of a
// machine rises within a tenure when the machine restarts under its old id, so
// that orders to its former incarnation are refused.
const TokensPerTenure = 256

const (
	// settleSlack is added to the lease before runs of a former leader count as
	// lapsed. The machine's clock may be 2% slow; the rest covers rounding.
	settleSlack = 100 * time.Millisecond
	clockDrift  = 0.02
	// defaultBacklog is the default of Config.MaxBacklog.
	defaultBacklog = 20_000
)

// Engine holds all jobs and machines of the cell.
type Engine struct {
	cfg      Config
	log      zerolog.Logger
	queues   map[string]*Queue
	version  int64 // of the configuration
	machines map[string]*machineState
	byID     []*machineState // all machines, in the order of their ids
	jobs     map[string]*job
	live     []*job  // jobs that have not ended, in order of arrival
	waiting  []*step // steps with tasks that can be placed

	journal  journal
	orders   Orders
	started  time.Duration // when this tenure began
	settled  bool          // every run of former leaders is known or has lapsed
	speeds   speedBook
	goodRate map[string]float64 // queue to the share of machines that the advisor allows
	watched  time.Duration      // last check on running tasks
	passes   int64              // of Plan
	expired  []finalJob
	stats    Stats
}

// Stats are counts since New.
type Stats struct {
	Accepted, Completed, FailedJobs, CancelledJobs int64
	Starts, Stops, AdviceRequests                  int64
	Refusals                                       map[string]int64 // refused starts by reason
	Ends                                           map[EndKind]int64
	LiveJobs, WaitingSteps, Machines               int
	Searches                                       int64 // for room, one a step and pass that looks for it
}

// Orders is what a pass of Plan hands out.
type Orders struct {
	Starts []Start
	Stops  []Stop
}

// New returns an empty engine whose tenure begins at now.
func New(cfg Config, now time.Duration) *Engine {
	if cfg.MaxBacklog == 0 {
		cfg.MaxBacklog = defaultBacklog
	}
	e := &Engine{
		cfg: cfg, log: cfg.Logger, queues: make(map[string]*Queue), machines: make(map[string]*machineState),
		jobs: make(map[string]*job), started: now, speeds: newSpeedBook(), goodRate: make(map[string]float64),
	}
	e.stats.Refusals, e.stats.Ends = make(map[string]int64), make(map[EndKind]int64)
	e.journal.dirty = make(map[*job]bool)
	return e
}

// Stats returns the counts since New and current sizes.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.LiveJobs, s.WaitingSteps, s.Machines = len(e.live), len(e.waiting), len(e.machines)
	return s
}

// SetQueues replaces the queues by those of a newer configuration. Jobs of a
// queue that is gone keep the policy that they had.
func (e *Engine) SetQueues(version int64, queues []Queue) {
	if version < e.version {
		return
	}
	e.version = version
	for _, q := range queues {
		e.queues[q.Name] = &q
	}
	for _, j := range e.live {
		if q := e.queues[j.spec.Queue]; q != nil {
			j.queue = q
		}
	}
}

// Submit accepts a job. done is called with true when its record is stored. An
// error means that the job was not accepted and never runs. A job that is known
// is not accepted again; done then reports the first acceptance.
func (e *Engine) Submit(spec Job, now time.Duration, wall time.Time, done func()) error {
	if j := e.jobs[spec.ID]; j != nil {
		if j.stored {
			done()
		} else {
			j.onStored = append(j.onStored, done)
		}
		return nil
	}
	if err := spec.Validate(); err != nil {
		return errkind.Wrap(errkind.BadInput, "bad_job", err)
	}
	q := e.queues[spec.Queue]
	if q == nil {
		return errkind.New(errkind.NotReady, "queue_not_known_yet", "queue %s is not in configuration %d", spec.Queue, e.version)
	}
	if len(e.live) >= e.cfg.MaxBacklog {
		return errkind.New(errkind.Overloaded, "backlog_full", "%d jobs have not ended", len(e.live))
	}
	if err := e.impossible(&spec, q); err != nil {
		return err
	}
	j := newJob(spec, q)
	j.deadlines(now, wall, &e.speeds)
	j.onStored = append(j.onStored, done)
	e.jobs[spec.ID] = j
	e.live = append(e.live, j)
	e.journal.fresh = append(e.journal.fresh, j)
	e.stats.Accepted++
	return nil
}

// Withdraw forgets a job that has not been handed out to be stored, so that it
// never runs. It reports false if it may be stored, or if others wait for it too.
func (e *Engine) Withdraw(id string) bool {
	j := e.jobs[id]
	if j == nil || len(j.onStored) != 1 {
		return false
	}
	at := slices.Index(e.journal.fresh, j)
	if at < 0 {
		return false
	}
	e.journal.fresh = slices.Delete(e.journal.fresh, at, at+1)
	e.live = slices.DeleteFunc(e.live, func(x *job) bool { return x == j })
	delete(e.jobs, id)
	delete(e.journal.dirty, j)
	e.stats.Accepted--
	return true
}

// impossible refuses a job that no machine of its service can ever hold.
func (e *Engine) impossible(spec *Job, q *Queue) error {
	for i := range spec.Steps {
		known, fits := false, false
		for _, m := range e.byID {
			if m.spec.Service != q.Service {
				continue
			}
			known = true
			if spec.Steps[i].Need.Fits(m.spec.Capacity) {
				fits = true
				break
			}
		}
		if known && !fits {
			return errkind.New(errkind.Impossible, "task_exceeds_machines", "step %d needs %s a task, more than any machine has",
				i, spec.Steps[i].Need)
		}
	}
	return nil
}

// State returns the state of a job, and false if the job is not known. A final
// state is returned once its record is stored.
func (e *Engine) State(id string) (JobState, bool) {
	j := e.jobs[id]
	if j == nil || !j.stored {
		return "", false
	}
	if j.state.final() && !j.finalStored {
		return Running, true
	}
	return j.state, true
}

// Cancel ends a job on behalf of its caller. done is called when the
// cancellation is stored. It reports false if the job is not known.
func (e *Engine) Cancel(id string, now time.Duration, done func()) bool {
	j := e.jobs[id]
	if j == nil {
		return false
	}
	if j.state.final() {
		if j.finalStored {
			done()
		} else {
			j.onFinal = append(j.onFinal, done)
		}
		return true
	}
	j.onFinal = append(j.onFinal, done)
	e.finish(j, Cancelled, "cancelled by its caller", now)
	return true
}

// Pending returns for each queue the number of accepted jobs of which no task
// has started.
func (e *Engine) Pending() map[string]int {
	out := make(map[string]int, len(e.queues))
	for _, j := range e.live {
		if j.stored && !j.begun {
			out[j.spec.Queue]++
		}
	}
	return out
}

// finish ends a job: its runs are stopped, its final record is stored.
func (e *Engine) finish(j *job, s JobState, why string, now time.Duration) {
	j.state, j.ended = s, now
	e.journal.final = append(e.journal.final, j)

	switch s {
	case Completed:
		e.stats.Completed++
	case Failed:
		e.stats.FailedJobs++
	case Cancelled:
		e.stats.CancelledJobs++
	}
	stopped := 0
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			e.releasePlan(s)
			for _, t := range s.tasks {
				if t.run != nil && !t.done {
					e.stop(t.run, "job_ended", now)
					stopped++
				}
			}
		}
	}
	e.log.Info().Str("event", "job_ended").Str("job", j.spec.ID).Str("state", string(s)).Str("reason", why).
		Int("runs_stopped", stopped).Int64("age_ms", (now-j.arrived).Milliseconds()).
		Int64("past_objective_ms", (now - j.objective).Milliseconds()).Send()
}

// taskDone marks a task as done and moves its step, occurrence and job on.
func (e *Engine) taskDone(t *task, now time.Duration) {
	s := t.step
	if t.done {
		return
	}
	t.done = true
	s.doneTasks++
	e.journal.dirty[s.occ.job] = true
	if s.doneTasks < len(s.tasks) {
		return
	}
	compareMachines(s)
	s.occ.doneSteps++
	if s.occ.doneSteps < len(s.occ.steps) {
		return
	}
	j := s.occ.job
	j.doneOccurrences++
	if j.doneOccurrences == len(j.occurrences) && !j.state.final() {
		e.finish(j, Completed, "all tasks are done", now)
	}
}

// compact drops ended jobs from the list of live jobs and forgets final states
// that are old enough.
func (e *Engine) compact(now time.Duration) {
	e.live = slices.DeleteFunc(e.live, func(j *job) bool { return j.state.final() })
	n := 0
	for n < len(e.expired) && now-e.expired[n].at > e.cfg.FinalStateRetention {
		id := e.expired[n].id
		delete(e.jobs, id)
		e.journal.drops = append(e.journal.drops, jobKey(id))
		n++
	}
	e.expired = slices.Delete(e.expired, 0, n)
}

// finalJob is an ended job whose state is kept for callers.
type finalJob struct {
	id string
	at time.Duration
}

// free returns the room of m that no run holds.
func (m *machineState) free() machine.Resources { return m.spec.Capacity.Sub(m.used) }
