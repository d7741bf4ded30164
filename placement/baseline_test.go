package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

func zoneName(s string) zone.Name { return zone.Name(s) }

// baseline is a simple scheduler to compare the engine with. It has one queue by
// priority and order of submission, skips jobs that do not fit, and uses declared sizes.
type baseline struct {
	nodes   []*baseNode
	queue   []*baseJob
	choose  func(b *baseline, fits []*baseNode) *baseNode
	nodeOf  map[string]*baseNode
	sizeOf  map[string]machine.Resources
	jobOf   map[string]*baseJob
	rng     *rand.Rand
	fitting []*baseNode
	// unplaceable has the shapes that were found not to fit since resources were last
	// freed, so that a long queue does not repeat searches.
	unplaceable map[baseShape]bool
	// queuePos is where the next pass over the queue starts.
	queuePos int
}

// baseShape is what decides whether a job fits: the size of a task, how many tasks have
// to start together, and the allowed zones.
type baseShape struct {
	need  machine.Resources
	tasks int
	zones string
}

// baseNode is a worker, its free resources and the number of tasks on it.
type baseNode struct {
	Node
	free  machine.Resources
	tasks int
}

// baseJob is a queued job, with the indices of its waiting tasks and the latest attempt
// per index.
type baseJob struct {
	spec    workload.Job
	pending []int
	attempt map[int]int
}

// newBaseline returns a baseline that assigns a task to the worker that choose returns
// from those that the task fits.
func newBaseline(choose func(*baseline, []*baseNode) *baseNode) *baseline {
	return &baseline{choose: choose, nodeOf: map[string]*baseNode{}, sizeOf: map[string]machine.Resources{},
		jobOf: map[string]*baseJob{}, rng: rand.New(rand.NewPCG(1, 2)), unplaceable: map[baseShape]bool{}}
}

// baselines has constructors by scheduler name. Of the workers that a task fits,
// firstfit takes the first, random a random one, and spread the one with the fewest
// tasks.
var baselines = map[string]func() placer{
	"firstfit": func() placer {
		return newBaseline(func(_ *baseline, fits []*baseNode) *baseNode { return fits[0] })
	},
	"random": func() placer {
		return newBaseline(func(b *baseline, fits []*baseNode) *baseNode { return fits[b.rng.IntN(len(fits))] })
	},
	"spread": func() placer {
		return newBaseline(func(_ *baseline, fits []*baseNode) *baseNode {
			return slices.MinFunc(fits, func(a, c *baseNode) int { return a.tasks - c.tasks })
		})
	},
}

func (b *baseline) SetNode(n Node) { b.nodes = append(b.nodes, &baseNode{Node: n, free: n.Total}) }

func (b *baseline) Submit(j workload.Job, _ time.Time) error {
	if !slices.ContainsFunc(b.nodes, func(n *baseNode) bool { return j.Resources.Fits(n.Total) }) {
		return errFitsNoWorker
	}
	queued := &baseJob{spec: j, attempt: map[int]int{}}
	for i := range j.Count {
		queued.pending = append(queued.pending, i)
	}
	// Insert after the last job of the same or a higher priority.
	i := len(b.queue)
	for i > 0 && b.queue[i-1].spec.Priority < j.Priority {
		i--
	}
	b.queue = slices.Insert(b.queue, i, queued)
	b.queuePos = min(b.queuePos, i)
	return nil
}

// placeTask reserves resources for one task and returns the worker, or nil if the task
// fits on none.
func (b *baseline) placeTask(spec *workload.Job) *baseNode {
	b.fitting = b.fitting[:0]
	for _, n := range b.nodes {
		if spec.Resources.Fits(n.free) && (len(spec.Zones) == 0 || slices.Contains(spec.Zones, n.Zone)) {
			b.fitting = append(b.fitting, n)
		}
	}
	if len(b.fitting) == 0 {
		return nil
	}
	n := b.choose(b, b.fitting)
	n.free = n.free.Sub(spec.Resources)
	n.tasks++
	return n
}

func (b *baseline) Decide(_ time.Time, limit int) []Proposal {
	var out []Proposal
	for ; b.queuePos < len(b.queue); b.queuePos++ {
		queued := b.queue[b.queuePos]
		count := 1
		if queued.spec.Kind == workload.Gang {
			count = len(queued.pending)
		}
		shape := baseShape{need: queued.spec.Resources, tasks: count}
		for _, z := range queued.spec.Zones {
			shape.zones += string(z)
		}
		for len(queued.pending) > 0 && !b.unplaceable[shape] {
			var nodes []*baseNode
			for len(nodes) < count {
				n := b.placeTask(&queued.spec)
				if n == nil {
					break
				}
				nodes = append(nodes, n)
			}
			if len(nodes) < count {
				b.unplaceable[shape] = true
				for _, n := range nodes {
					n.free, n.tasks = n.free.Add(queued.spec.Resources), n.tasks-1
				}
				break
			}
			out = append(out, b.propose(queued, nodes))
			if limit -= count; limit <= 0 {
				return out
			}
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(queued *baseJob) bool { return len(queued.pending) == 0 })
	b.queuePos = len(b.queue)
	return out
}

// propose returns a proposal for the next waiting tasks of a job, one per node.
func (b *baseline) propose(queued *baseJob, nodes []*baseNode) Proposal {
	p := Proposal{Job: queued.spec.ID}
	for _, n := range nodes {
		i := queued.pending[0]
		queued.pending = queued.pending[1:]
		queued.attempt[i]++
		id := workload.TaskID(queued.spec.ID, i)
		b.nodeOf[id], b.sizeOf[id], b.jobOf[id] = n, queued.spec.Resources, queued
		p.Assignments = append(p.Assignments, Assignment{Node: n.ID, Task: workload.Task{ID: id, Attempt: queued.attempt[i],
			Job: queued.spec.ID, Kind: queued.spec.Kind, Priority: queued.spec.Priority, Resources: queued.spec.Resources}})
	}
	return p
}

func (b *baseline) Finish(id string, _ int, r TaskResult, _ time.Time) {
	n, queued := b.nodeOf[id], b.jobOf[id]
	n.free, n.tasks = n.free.Add(b.sizeOf[id]), n.tasks-1
	delete(b.nodeOf, id)
	clear(b.unplaceable)
	b.queuePos = 0
	if index, _ := taskIndex(queued.spec.ID, id); r.State != workload.Finished {
		if len(queued.pending) == 0 && !slices.Contains(b.queue, queued) {
			b.queue = append(b.queue, queued)
		}
		queued.pending = append(queued.pending, index)
	}
}

func (b *baseline) Commit(string, int)                    {}
func (b *baseline) Reject(string, int, string, time.Time) {}
func (b *baseline) NextWake() (time.Time, bool)           { return time.Time{}, false }
func (b *baseline) TakeStopRequests() []StopRequest       { return nil }
