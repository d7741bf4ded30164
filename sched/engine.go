package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Config holds the settings of an Engine.
type Config struct {
	// Token is the first fencing token of this term, the period in which one daemon
	// leads. The first token of each later term is higher by at least TokensPerTerm.
	Token int64
	// Lease is the longest life of a lease that the engine asks for. Polls and start orders extend the lease of a
	// machine; when it expires, the machine ends its runs.
	Lease time.Duration
	// LongestLease is the longest lease that a machine takes, whatever is asked: a start order may carry the end of a lease
	// on the clock of a former incarnation, which is far in the future of the next one. 0 means Lease.
	LongestLease time.Duration
	// StopLimit is the longest time that a machine takes to stop a run.
	StopLimit time.Duration
	// GangWait is how long a member of a gang waits on its machine for the others.
	GangWait time.Duration
	// SpreadFactor is how many times longer a task runs away from its data, or a
	// rack-local gang on several racks. The engine uses it only for Step.DataRack.
	SpreadFactor float64
	// FinalStateRetention is how long the state of an ended job can be queried.
	FinalStateRetention time.Duration
	// MaxBacklog bounds the accepted jobs that have not ended. 0 means 20,000, about
	// 40 MB of job records.
	MaxBacklog int
	// MaxRecordBytes bounds a record that Flush returns: the length of its key and its value,
	// and 1 byte. 0 means no bound.
	MaxRecordBytes int
	// MaxJobBytes bounds the memory of all jobs that have not ended, in bytes, also on daemons
	// with less memory that take over. 0 means 32 MiB.
	MaxJobBytes int64
	// ShedLoad lets the engine answer overload: it learns how far declared run times can be trusted
	// (runtimefit.go), and refuses jobs for which there will be no room in time (admission.go). It also
	// does so while the configuration names tenants.
	ShedLoad bool
	Logger   zerolog.Logger
}

// TokensPerTerm is the number of fencing tokens of one term. The token of a machine
// rises within a term when the machine restarts under its old id, so that orders to
// its former incarnation are refused.
const TokensPerTerm = 256

const (
	// leaseSlack is waited, in addition to the clock drift, before a lease that may have
	// been granted counts as expired. It covers rounding.
	leaseSlack = 100 * time.Millisecond
	// maxClockDrift is the largest share by which a machine's clock runs slow.
	maxClockDrift = 0.02
	// defaultMaxBacklog is the default of Config.MaxBacklog, in jobs.
	defaultMaxBacklog = 20_000
)

// Engine holds all jobs and machines of the cell.
type Engine struct {
	cfg               Config
	log               zerolog.Logger
	queues            map[string]*Queue
	storedQueues      map[string]storedQueue  // by name
	tenants           map[string]*tenantState // by name; the empty one for jobs without a tenant
	anyCap            bool                    // a tenant has a cap
	former            formerUsage
	formerCounted     bool // a tenant may have usage that former leaders caused
	stepsAtCap        int  // steps that waited for the cap of their tenant in the last pass
	configVersion     int64
	tenantsConfigured bool // the configuration in force names tenants
	machines          map[string]*machineState
	raisedTokens      map[string]int64 // of removed machines whose token was raised in this term
	byID              []*machineState  // all machines, in the order of their ids
	jobs              map[string]*job
	liveJobs          []*job // jobs that had not ended before the last pass, in the order of Submit or Restore
	jobMemory         jobMemory
	endedInMemory     []*job  // ended jobs that releaseEnded has not released yet
	waitingSteps      []*step // steps with tasks to place in the last pass, the most urgent first

	journal       journal
	orders        Orders        // for the next return of Plan
	termStart     time.Duration // when this term began
	runsResolved  bool          // see RunsResolved
	estimator     runTimeEstimator
	allowedShare  map[string]float64 // queue to the learned share of machines that its advisor allows
	runsWatchedAt time.Duration      // last call of watchRuns that checked the runs
	passes        int64              // number of passes of Plan
	endedJobs     []endedJob         // in the order in which their final states were restored or stored
	stats         Stats
	room          roomForecast
}

// Stats are counts since New, and the current numbers of live jobs, waiting steps and
// machines. Jobs that have ended, and steps that have been placed, count as live and
// waiting until the next pass of Plan.
type Stats struct {
	Accepted, Completed, FailedJobs, CancelledJobs int64
	Starts, Stops, AdviceRequests                  int64
	Refusals                                       map[string]int64 // starts with another outcome than Started, by outcome
	Ends                                           map[EndKind]int64
	LateEnds                                       map[EndKind]int64 // read after their task had been started again
	AdmissionRefusals                              map[string]int64  // jobs that admission control refused, by reason
	WaitingByTier                                  [4]int            // steps that found no room in the last pass: persistent, on time, late, of no use
	LiveJobs, WaitingSteps, Machines               int
	JobBytes                                       int64         // memory that accepted jobs take or have reserved
	StepsAtCap                                     int           // waiting steps that the cap of their tenant held up in the last pass
	Tenants                                        []TenantUsage // of the tenants with a cap
	Searches                                       int64         // for free capacity: one for each step that a pass tries to place
}

// Orders are the orders that a pass of Plan wants sent.
type Orders struct {
	Starts []Start
	Stops  []Stop
}

// New returns an empty engine whose term begins at now.
func New(cfg Config, now time.Duration) *Engine {
	if cfg.MaxBacklog == 0 {
		cfg.MaxBacklog = defaultMaxBacklog
	}
	cfg.LongestLease = max(cfg.LongestLease, cfg.Lease)
	if cfg.MaxJobBytes == 0 {
		cfg.MaxJobBytes = defaultMaxJobBytes
	}
	e := &Engine{
		cfg: cfg, log: cfg.Logger, queues: make(map[string]*Queue), storedQueues: make(map[string]storedQueue), machines: make(map[string]*machineState),
		jobs: make(map[string]*job), tenants: make(map[string]*tenantState), termStart: now, estimator: newRunTimeEstimator(),
		allowedShare: make(map[string]float64), raisedTokens: make(map[string]int64),
	}
	e.stats.Refusals, e.stats.Ends, e.stats.LateEnds = make(map[string]int64), make(map[EndKind]int64), make(map[EndKind]int64)
	e.stats.AdmissionRefusals = make(map[string]int64)
	e.journal.changedJobs = make(map[*job]bool)
	return e
}

// Stats returns the counts since New and the current numbers. Its maps but LateEnds are
// shared with the engine.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.LateEnds = maps.Clone(s.LateEnds) // the caller reads them beside the engine
	s.LiveJobs, s.WaitingSteps, s.Machines = len(e.liveJobs), len(e.waitingSteps), len(e.machines)
	s.JobBytes = e.jobMemory.used()
	s.StepsAtCap, s.Tenants = e.stepsAtCap, e.tenantUsages()
	return s
}

// Submit accepts a job. done is called when its record is stored, or with an error when the
// log has refused the record; the job then never runs. An error of Submit means that
// the job was not accepted and never runs; its kind is BadInput, NotReady (the queue is
// not known), Overloaded (too many jobs, no memory for it, or no room in time, see admit), Impossible (no
// machine is large enough) or QuotaExceeded (a task or a gang needs more than the cap of its
// tenant). It is BadInput also for a job whose record would exceed Config.MaxRecordBytes, or that alone
// exceeds Config.MaxJobBytes. A job
// whose id is known is not accepted again; done is then called when the first one is stored, or
// immediately if it is. wall is the wall clock time at now.
func (e *Engine) Submit(spec Job, now time.Duration, wall time.Time, done func(error)) error {
	if j := e.jobs[spec.ID]; j != nil {
		if j.stored {
			done(nil)
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
		return errkind.New(errkind.NotReady, "queue_not_known_yet", "queue %s is not in configuration %d",
			spec.Queue, e.configVersion)
	}
	if len(e.liveJobs) >= e.cfg.MaxBacklog {
		return errkind.New(errkind.Overloaded, "backlog_full", "%d jobs have not ended", len(e.liveJobs))
	}
	if err := e.rejectOversized(&spec, q); err != nil {
		return err
	}
	if err := e.rejectAboveCap(&spec); err != nil {
		return err
	}
	record, err := encodeRecord(jobKey(spec.ID), jobRecord{Spec: &spec})
	if err != nil {
		return err
	}
	if size := record.size(); e.cfg.MaxRecordBytes > 0 && size > e.cfg.MaxRecordBytes {
		return errkind.New(errkind.BadInput, "job_record_too_large",
			"the job takes %d bytes in the log, with %d steps and a payload of %d bytes; at most %d are allowed",
			size, len(spec.Steps), len(spec.Payload), e.cfg.MaxRecordBytes)
	}
	j := e.newJob(spec, q, record.size(), now, wall)
	if err := e.jobMemory.admit(j.size, e.cfg.MaxJobBytes); err != nil {
		return err
	}
	if err := e.admit(j, now); err != nil {
		return err
	}
	j.newRecord = record
	j.beyondRate = e.takeRate(j.tenant, now)
	j.onStored = append(j.onStored, done)
	e.addJob(j)
	e.journal.newJobs = append(e.journal.newJobs, j)
	e.stats.Accepted++
	return nil
}

// Withdraw removes a job that Flush has not returned yet, so that it never runs. It
// reports false if the job is not known or may be stored, or if another caller waits for
// it too. The done of its Submit is then never called.
func (e *Engine) Withdraw(id string) bool {
	j := e.jobs[id]
	if j == nil || len(j.onStored) != 1 {
		return false
	}
	i := slices.Index(e.journal.newJobs, j)
	if i < 0 {
		return false
	}
	e.journal.newJobs = slices.Delete(e.journal.newJobs, i, i+1)
	e.forgetNewJob(j)
	return true
}

// forgetNewJob removes a job that is not stored and has no runs.
func (e *Engine) forgetNewJob(j *job) {
	e.liveJobs = slices.DeleteFunc(e.liveJobs, func(x *job) bool { return x == j })
	delete(e.jobs, j.spec.ID)
	delete(e.journal.changedJobs, j)
	e.jobMemory.remove(j)
	e.stats.Accepted--
}

// rejectOversized returns an error if a task of the job needs more than any known
// machine of its service has. While no machine of the service is known the job passes.
func (e *Engine) rejectOversized(spec *Job, q *Queue) error {
	for i := range spec.Steps {
		anyMachine, fits := false, false
		for _, m := range e.byID {
			if m.spec.Service != q.Service {
				continue
			}
			anyMachine = true
			if spec.Steps[i].Need.Fits(m.spec.Capacity) {
				fits = true
				break
			}
		}
		if anyMachine && !fits {
			return errkind.New(errkind.Impossible, "task_exceeds_machines", "step %d needs %s per task, more than any machine has",
				i, spec.Steps[i].Need)
		}
	}
	return nil
}

// State returns the state of a job, and false if the job is not known or not stored
// yet. Until its final record is stored, an ended job is reported as running.
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

// Cancel ends a job on behalf of its caller, unless it has ended already. done is
// called when the final state is stored, or immediately if it is. Cancel reports false,
// and does not call done, if the job is not known.
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

// Pending returns for each queue the number of stored jobs of which no task has started.
// A job that ends before that counts until the next pass of Plan. Queues without such
// jobs are left out.
func (e *Engine) Pending() map[string]int {
	out := make(map[string]int, len(e.queues))
	for _, j := range e.liveJobs {
		if j.stored && !j.begun {
			out[j.spec.Queue]++
		}
	}
	return out
}

// finish ends a job: it stops the runs and leaves the final record to the next Flush.
func (e *Engine) finish(j *job, s JobState, reason string, now time.Duration) {
	j.state, j.ended = s, now
	e.journal.endedJobs = append(e.journal.endedJobs, j)

	switch s {
	case Completed:
		e.stats.Completed++
	case Failed:
		e.stats.FailedJobs++
	case Cancelled:
		e.stats.CancelledJobs++
	}
	stopped := 0
	for _, o := range j.open {
		for _, s := range o.steps {
			e.releasePlacement(s)
			s.updateGangReservation()
			for _, t := range s.tasks {
				if t.run != nil && !t.done {
					e.stopRun(t.run, "job_ended", now)
					stopped++
				}
			}
		}
	}
	e.log.Info().Str("event", "job_ended").Str("job", j.spec.ID).Str("state", string(s)).Str("reason", reason).
		Int("runs_stopped", stopped).Int64("age_ms", (now-j.arrived).Milliseconds()).
		Int64("past_objective_ms", (now - j.objective).Milliseconds()).Send()
}

// taskDone marks a task as done, and the job as completed if it was the last task.
func (e *Engine) taskDone(t *task, now time.Duration) {
	s := t.step
	if t.done {
		return
	}
	t.done = true
	s.doneTasks++
	s.updateGangReservation()
	e.progressChanged(t)
	if s.doneTasks < len(s.tasks) {
		return
	}
	learnMachineRunTimes(s)
	s.advice.dropAnswers()
	s.occ.doneSteps++
	if s.occ.doneSteps < len(s.occ.steps) {
		return
	}
	j := s.occ.job
	e.closeOccurrence(s.occ)
	if j.done.size() == j.spec.Occurrences() && !j.state.final() {
		e.finish(j, Completed, "all tasks are done", now)
	}
}

// dropEndedJobs removes ended jobs from the list of live jobs, and final states that
// are older than Config.FinalStateRetention. It stops at the first younger one, so a
// restored state, which is listed by its record and not by its age, may stay longer.
func (e *Engine) dropEndedJobs(now time.Duration) {
	e.liveJobs = slices.DeleteFunc(e.liveJobs, func(j *job) bool { return j.state.final() })
	n := 0
	for n < len(e.endedJobs) && now-e.endedJobs[n].storedAt > e.cfg.FinalStateRetention {
		id := e.endedJobs[n].id
		delete(e.jobs, id)
		e.journal.droppedKeys = append(e.journal.droppedKeys, jobKey(id))
		n++
	}
	e.endedJobs = slices.Delete(e.endedJobs, 0, n)
}

// endedJob is an ended job whose state can still be queried.
type endedJob struct {
	id       string
	storedAt time.Duration // when the final state was stored
}
