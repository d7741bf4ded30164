package placement

import (
	"math/rand/v2"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Engine decides placements for one job scheduler. It is not safe for concurrent
// use.
type Engine struct {
	cfg   Config
	rng   *rand.Rand
	clock time.Time // the latest time passed in
	stats Stats
	seq   uint64 // last sequence number given to a job or a shape

	nodes       map[string]*node
	racks       map[string]*rack
	pools       map[poolKey]*pool
	poolOrder   []*pool           // in the order of creation, so that searches are repeatable
	nodeClasses map[nodeClass]int // workers per class
	knownNodes  int
	capacity    machine.Resources // of the known workers
	used        machine.Resources // by the tasks of this engine
	// nodeClassesChanged is set when a class of workers appears or vanishes. The
	// next Decide then checks again which shapes can ever run and updates the
	// shares of all teams.
	nodeClassesChanged bool

	teams       map[string]*team
	teamHeap    indexedHeap[*team] // teams with active groups, next to be served first
	jobs        map[string]*job
	placedTasks map[string]*task // by task id, proposed or running
	families    map[familyKey]*family

	shapes           map[shapeKey]*shape
	groups           map[groupKey]*group
	blocked          []*shape
	impossibleShapes int                // shapes that the known workers cannot hold
	waitingJobs      int                // jobs in active or unschedulable groups
	backoff          indexedHeap[*task] // by the time at which a task may start again

	// nextProbe, nextReserve and nextDrain are zero while nothing is due.
	quarantined    []*node   // workers in quarantine or on probation
	nextProbe      time.Time // when startProbes has something to do
	reservations   []*reservation
	nextReserve    time.Time // when blocked shapes are next considered for a reservation or a reclaim
	stopRequests   []StopRequest
	endedJobs      []EndedJob
	drainingNodes  map[*node]bool // reachable workers that are being drained
	drainRequested bool           // the next Decide runs a pass of drain
	nextDrain      time.Time      // when services that could not be moved are considered again
	movedTasks     []*task        // stopped by drain; a worker holds capacity for each
	retained       []string       // ended jobs that Explain still knows, oldest first
	planBuf        []*node        // scratch space of the searches
}

// New returns an empty engine.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x5a55af7a)),
		nodes: make(map[string]*node), racks: make(map[string]*rack), pools: make(map[poolKey]*pool),
		nodeClasses: make(map[nodeClass]int), teams: make(map[string]*team), jobs: make(map[string]*job),
		placedTasks: make(map[string]*task), families: make(map[familyKey]*family),
		shapes: make(map[shapeKey]*shape), groups: make(map[groupKey]*group),
		drainingNodes: make(map[*node]bool),
	}
	e.stats.Refused, e.stats.Rejected = make(map[string]int64), make(map[string]int64)
	e.teamHeap = indexedHeap[*team]{less: teamBefore, swaps: &e.stats.QueueSteps}
	e.backoff = indexedHeap[*task]{swaps: &e.stats.QueueSteps, less: func(a, b *task) bool { return a.stateTime.Before(b.stateTime) }}
	return e
}

// SetTeam sets the quota and the weight of a team. The quota is what the team is
// entitled to: it may use more while other teams leave it unused, and takes its
// quota back when it needs it. A zero quota means that none is set; otherwise a
// dimension of zero grants nothing. Of teams whose first jobs have the same priority,
// those within their quota are served first, then those that use the smallest share of
// the cell divided by their weight. A weight below 1 counts as 1. Teams that are not
// set have no quota and weight 1.
func (e *Engine) SetTeam(name string, quota machine.Resources, weight int) {
	t := e.teamOf(name)
	t.quota, t.weight = quota, max(weight, 1)
	e.updateShare(t)
	e.unpark(t)
}

// teamOf returns the team with the name, which it creates if needed.
func (e *Engine) teamOf(name string) *team {
	t := e.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1, heapPos: -1}
		t.groups = indexedHeap[*group]{less: groupBefore, swaps: &e.stats.QueueSteps}
		e.teams[name] = t
	}
	return t
}

// Submit accepts a job, or refuses it with an error of kind bad_input,
// quota_exceeded (it can never fit into the team's quota) or impossible (no
// known worker can hold it). While no worker is known, neither the quota nor the
// workers are checked. Submitting a known job again changes nothing; it is refused as
// bad_input if the team, the count or the kind differs.
func (e *Engine) Submit(j workload.Job, now time.Time) error {
	err := e.submit(j, now, true)
	if err != nil {
		e.stats.Refused[errkind.ReasonOf(err)]++
	}
	return err
}

// Restore is Submit for a job that was accepted before, by this job scheduler
// or its predecessor. It does not refuse a job because of quotas or workers: a job
// that no known worker can hold waits for Config.ImpossibleGrace.
func (e *Engine) Restore(j workload.Job, now time.Time) error { return e.submit(j, now, false) }

// submit adds a job. Without checkAdmission, quotas and workers are not checked.
func (e *Engine) submit(spec workload.Job, now time.Time, checkAdmission bool) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	j := e.jobs[spec.ID]
	if j != nil && !j.adoptedOnly {
		if j.spec.Team != spec.Team || j.spec.Count != spec.Count || j.spec.Kind != spec.Kind {
			return errkind.New(errkind.BadInput, "job_id_in_use", "job %s already exists with another team, count or kind", spec.ID)
		}
		return nil
	}
	t := e.teamOf(spec.Team)
	if checkAdmission {
		if err := e.admissionError(&spec, t); err != nil {
			return err
		}
	}
	e.seq++
	e.clock = now
	if j == nil {
		j = &job{}
		e.jobs[spec.ID] = j
	}
	e.initJob(j, spec, t, now)
	return nil
}

// initJob sets up j, which may have adopted tasks, from its specification, and
// queues its waiting tasks.
func (e *Engine) initJob(j *job, spec workload.Job, jobTeam *team, now time.Time) {
	j.spec, j.team, j.seq, j.submitted, j.adoptedOnly = spec, jobTeam, e.seq, now, false
	j.addTasks(spec.Count)
	if spec.Kind == workload.Service {
		j.racks, j.zones = newSpreadCounts()
		for _, t := range j.tasks {
			if t.holdsResources() {
				j.racks[t.node.rack]++
				j.zones[t.node.Zone]++
			}
		}
	}
	j.startBy = startByTime(&spec, e.expectedRunTime(&spec), now)
	j.fillPending()
	e.enqueue(j)
	e.endIfDecided(j)
}

// Cancel ends a job. It returns the tasks that are running or proposed and so have
// to be stopped; they hold their resources until Finish or Reject. For a job that
// is unknown or has ended it does nothing and returns nil.
func (e *Engine) Cancel(id string, now time.Time) []workload.Task {
	j := e.jobs[id]
	if j == nil || j.ended() {
		return nil
	}
	var out []workload.Task
	if j.placed > 0 {
		out = make([]workload.Task, 0, j.placed)
		for _, t := range j.tasks {
			if t.holdsResources() {
				out = append(out, t.toWorkload())
			}
		}
	}
	e.endJob(j, JobCancelled, "cancelled", "", false)
	return out
}

// endJob moves j to a final state. Its proposed and running tasks hold their
// resources until Finish or Reject. With report, TakeEndedJobs returns the job.
func (e *Engine) endJob(j *job, s JobState, reason, detail string, report bool) {
	e.dequeue(j)
	j.state, j.reason, j.detail = s, reason, detail
	j.pending = nil
	for _, t := range j.tasks {
		if j.backoff == 0 {
			break
		}
		if t.state == taskBackoff {
			e.backoff.remove(t)
			t.state = taskDropped
			j.backoff--
		}
	}
	if report {
		e.endedJobs = append(e.endedJobs, EndedJob{Job: j.spec.ID, State: s, Reason: reason, Detail: detail})
	}
	if j.placed == 0 {
		e.retain(j)
	}
}

// retain keeps an ended job that has no placed tasks for Explain, and forgets the
// oldest such jobs beyond Config.KeepEnded. It does so in batches, so between
// Config.KeepEnded and twice as many are kept.
func (e *Engine) retain(j *job) {
	j.tasks = nil
	e.retained = append(e.retained, j.spec.ID)
	if len(e.retained) > 2*e.cfg.KeepEnded {
		evicted := e.retained[:len(e.retained)-e.cfg.KeepEnded]
		for _, id := range evicted {
			delete(e.jobs, id)
		}
		e.retained = append([]string(nil), e.retained[len(evicted):]...)
	}
}

// TakeEndedJobs returns the jobs that ended since the last call other than by
// Cancel.
func (e *Engine) TakeEndedJobs() []EndedJob {
	out := e.endedJobs
	e.endedJobs = nil
	return out
}

// TakeStopRequests returns the requests to take running tasks off their workers
// that were made since the last call. The caller reports the end of each task
// with Finish, as for any other end.
func (e *Engine) TakeStopRequests() []StopRequest {
	out := e.stopRequests
	e.stopRequests = nil
	return out
}
