package placement

import (
	"math/rand/v2"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Engine is the policy for one job scheduler. It is not safe for concurrent use.
type Engine struct {
	cfg   Config
	rng   *rand.Rand
	clock time.Time // the latest time passed in
	stats Stats
	seq   uint64

	nodes    map[string]*node
	racks    map[string]*rack
	pools    map[poolKey]*pool
	poolList []*pool
	classes  map[classKey]int // workers per class
	known    int
	total    machine.Resources
	used     machine.Resources
	// classesChanged asks for a new check of which shapes can ever run, and
	// totalChanged for new shares of all teams.
	classesChanged bool

	teams    map[string]*team
	teamHeap heapOf[*team] // teams with active groups
	jobs     map[string]*job
	placed   map[string]*task // by task id, proposed or running
	families map[familyKey]*family

	shapes  map[shapeKey]*shape
	groups  map[groupKey]*group
	blocked []*shape
	doomed  int // shapes that no known worker can hold
	waiting int // jobs in active or unschedulable groups
	backoff heapOf[*task]

	quarantined []*node
	nextProbe   time.Time // when the first quarantined worker may be probed
	resvs       []*reservation
	nextReserve time.Time // when blocked shapes are next considered for a reservation
	stops       []StopRequest
	ended       []EndedJob
	draining    map[*node]bool // reachable workers that give their tasks up
	drainSoon   bool           // a worker or a task calls for a pass of drain
	nextDrain   time.Time      // when tasks that could not be moved are considered again
	moved       []*task        // stopped by drain, to be placed in the room kept for them
	kept        []string       // ended jobs that Explain remembers, oldest first
	plan        []*node        // scratch space of the gang search
}

// New returns an empty engine.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x5a55af7a)),
		nodes: make(map[string]*node), racks: make(map[string]*rack), pools: make(map[poolKey]*pool),
		classes: make(map[classKey]int), teams: make(map[string]*team), jobs: make(map[string]*job),
		placed: make(map[string]*task), families: make(map[familyKey]*family),
		shapes: make(map[shapeKey]*shape), groups: make(map[groupKey]*group),
		draining: make(map[*node]bool),
	}
	e.stats.Refused, e.stats.Rejected = make(map[string]int64), make(map[string]int64)
	e.teamHeap = heapOf[*team]{less: teamBefore, steps: &e.stats.QueueSteps}
	e.backoff = heapOf[*task]{steps: &e.stats.QueueSteps, less: func(a, b *task) bool { return a.since.Before(b.since) }}
	return e
}

// SetTeam sets the quota and the weight of a team. The quota is what the team
// gets back when it needs it; it may borrow beyond it. A zero quota means that
// none is set; otherwise a dimension of zero grants nothing. A weight below 1
// counts as 1. Teams that are not set have no quota and weight 1.
func (e *Engine) SetTeam(name string, quota machine.Resources, weight int) {
	t := e.teamOf(name)
	t.quota, t.weight = quota, max(weight, 1)
	e.rank(t)
	e.unpark(t)
}

func (e *Engine) teamOf(name string) *team {
	t := e.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1, pos: -1}
		t.groups = heapOf[*group]{less: groupBefore, steps: &e.stats.QueueSteps}
		e.teams[name] = t
	}
	return t
}

// Submit accepts a job, or refuses it with an error of kind bad_input,
// quota_exceeded (it can never fit into the team's quota) or impossible (no
// known worker can hold it). While no worker is known, nothing is impossible.
// Submitting a known job again changes nothing.
func (e *Engine) Submit(j workload.Job, now time.Time) error {
	err := e.submit(j, now, true)
	if err != nil {
		e.stats.Refused[errkind.ReasonOf(err)]++
	}
	return err
}

// Restore is Submit for a job that was accepted before, by this job scheduler
// or its predecessor: what cannot run now waits for Config.ImpossibleGrace.
func (e *Engine) Restore(j workload.Job, now time.Time) error { return e.submit(j, now, false) }

func (e *Engine) submit(spec workload.Job, now time.Time, check bool) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	j := e.jobs[spec.ID]
	if j != nil && !j.stub {
		if j.spec.Team != spec.Team || j.spec.Count != spec.Count || j.spec.Kind != spec.Kind {
			return errkind.New(errkind.BadInput, "job_id_in_use", "job %s is already known with other values", spec.ID)
		}
		return nil
	}
	t := e.teamOf(spec.Team)
	if check {
		if err := e.refuse(&spec, t); err != nil {
			return err
		}
	}
	e.seq++
	e.clock = now
	if j == nil {
		j = &job{}
		e.jobs[spec.ID] = j
	}
	e.fill(j, spec, t, now)
	return nil
}

// fill completes j, which may hold adopted tasks, and queues what waits.
func (e *Engine) fill(j *job, spec workload.Job, t *team, now time.Time) {
	j.spec, j.team, j.seq, j.submitted, j.stub = spec, t, e.seq, now, false
	j.grow(spec.Count)
	if spec.Kind == workload.Service {
		j.racks, j.zones = newSpread()
		for _, k := range j.tasks {
			if k.holds() {
				j.racks[k.node.rack]++
				j.zones[k.node.Zone]++
			}
		}
	}
	j.due = dueTime(&spec, e.expected(&spec), now)
	j.await()
	e.enqueue(j)
	e.settle(j)
}

// Cancel ends a job. It returns the tasks that run, or may have been started,
// and must be stopped; they hold their resources until Finish or Reject.
func (e *Engine) Cancel(id string, now time.Time) []workload.Task {
	j := e.jobs[id]
	if j == nil || j.ended() {
		return nil
	}
	var out []workload.Task
	if j.placed > 0 {
		out = make([]workload.Task, 0, j.placed)
		for _, t := range j.tasks {
			if t.holds() {
				out = append(out, t.export())
			}
		}
	}
	e.end(j, JobCancelled, "cancelled", "", false)
	return out
}

// end moves j to a final state. Running tasks stay until they are reported.
func (e *Engine) end(j *job, s JobState, reason, detail string, report bool) {
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
		e.ended = append(e.ended, EndedJob{Job: j.spec.ID, State: s, Reason: reason, Detail: detail})
	}
	if j.placed == 0 {
		e.keep(j)
	}
}

// keep remembers an ended job without tasks for Explain, up to Config.KeepEnded.
func (e *Engine) keep(j *job) {
	j.tasks = nil
	e.kept = append(e.kept, j.spec.ID)
	if len(e.kept) > 2*e.cfg.KeepEnded {
		drop := e.kept[:len(e.kept)-e.cfg.KeepEnded]
		for _, id := range drop {
			delete(e.jobs, id)
		}
		e.kept = append([]string(nil), e.kept[len(drop):]...)
	}
}

// TakeEndedJobs returns the jobs that ended since the last call, other than by Cancel.
func (e *Engine) TakeEndedJobs() []EndedJob {
	out := e.ended
	e.ended = nil
	return out
}

// TakeStopRequests returns the running tasks that the engine wants off their workers and
// has not reported yet. Each ends with a call of Finish as any other stop.
func (e *Engine) TakeStopRequests() []StopRequest {
	out := e.stops
	e.stops = nil
	return out
}
