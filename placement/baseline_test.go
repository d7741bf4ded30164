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

// baseline is a simple scheduler to compare with: one queue by priority and
// arrival, jobs that do not fit are passed over, sizes are as declared.
type baseline struct {
	nodes []*baseNode
	queue []*baseJob
	pick  func(b *baseline, fits []*baseNode) *baseNode
	on    map[string]*baseNode
	size  map[string]machine.Resources
	owner map[string]*baseJob
	rng   *rand.Rand
	fits  []*baseNode
	// failed remembers, until resources are freed, which sizes do not fit, so that
	// a long queue costs the baselines no repeated searches.
	failed map[baseShape]bool
	// from is where the next walk of the queue starts.
	from int
}

type baseShape struct {
	need machine.Resources
	n    int
	zone string
}

type baseNode struct {
	Node
	free  machine.Resources
	tasks int
}

type baseJob struct {
	spec    workload.Job
	pending []int
	attempt map[int]int
}

func newBaseline(pick func(*baseline, []*baseNode) *baseNode) *baseline {
	return &baseline{pick: pick, on: map[string]*baseNode{}, size: map[string]machine.Resources{},
		owner: map[string]*baseJob{}, rng: rand.New(rand.NewPCG(1, 2)), failed: map[baseShape]bool{}}
}

// baselines by name. First fit takes the first worker with room, random any of
// them, spread the one with the fewest tasks.
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
		return errNoRoom
	}
	q := &baseJob{spec: j, attempt: map[int]int{}}
	for i := range j.Count {
		q.pending = append(q.pending, i)
	}
	// Insert after the last job of the same or a higher priority.
	i := len(b.queue)
	for i > 0 && b.queue[i-1].spec.Priority < j.Priority {
		i--
	}
	b.queue = slices.Insert(b.queue, i, q)
	b.from = min(b.from, i)
	return nil
}

func (b *baseline) place(spec *workload.Job) *baseNode {
	b.fits = b.fits[:0]
	for _, n := range b.nodes {
		if spec.Resources.Fits(n.free) && (len(spec.Zones) == 0 || slices.Contains(spec.Zones, n.Zone)) {
			b.fits = append(b.fits, n)
		}
	}
	if len(b.fits) == 0 {
		return nil
	}
	n := b.pick(b, b.fits)
	n.free = n.free.Sub(spec.Resources)
	n.tasks++
	return n
}

func (b *baseline) Decide(_ time.Time, limit int) []Proposal {
	var out []Proposal
	for ; b.from < len(b.queue); b.from++ {
		q := b.queue[b.from]
		want := 1
		if q.spec.Kind == workload.Gang {
			want = len(q.pending)
		}
		shape := baseShape{need: q.spec.Resources, n: want}
		for _, z := range q.spec.Zones {
			shape.zone += string(z)
		}
		for len(q.pending) > 0 && !b.failed[shape] {
			var got []*baseNode
			for len(got) < want {
				n := b.place(&q.spec)
				if n == nil {
					break
				}
				got = append(got, n)
			}
			if len(got) < want {
				b.failed[shape] = true
				for _, n := range got {
					n.free, n.tasks = n.free.Add(q.spec.Resources), n.tasks-1
				}
				break
			}
			out = append(out, b.propose(q, got))
			if limit -= want; limit <= 0 {
				return out
			}
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(q *baseJob) bool { return len(q.pending) == 0 })
	b.from = len(b.queue)
	return out
}

func (b *baseline) propose(q *baseJob, nodes []*baseNode) Proposal {
	p := Proposal{Job: q.spec.ID}
	for _, n := range nodes {
		i := q.pending[0]
		q.pending = q.pending[1:]
		q.attempt[i]++
		id := workload.TaskID(q.spec.ID, i)
		b.on[id], b.size[id], b.owner[id] = n, q.spec.Resources, q
		p.Assignments = append(p.Assignments, Assignment{Node: n.ID, Task: workload.Task{ID: id, Attempt: q.attempt[i],
			Job: q.spec.ID, Kind: q.spec.Kind, Priority: q.spec.Priority, Resources: q.spec.Resources}})
	}
	return p
}

func (b *baseline) Finish(id string, _ int, r TaskResult, _ time.Time) {
	n, q := b.on[id], b.owner[id]
	n.free, n.tasks = n.free.Add(b.size[id]), n.tasks-1
	delete(b.on, id)
	clear(b.failed)
	b.from = 0
	if i, _ := taskIndex(q.spec.ID, id); r.State != workload.Finished {
		if len(q.pending) == 0 && !slices.Contains(b.queue, q) {
			b.queue = append(b.queue, q)
		}
		q.pending = append(q.pending, i)
	}
}

func (b *baseline) Commit(string, int)                    {}
func (b *baseline) Reject(string, int, string, time.Time) {}
func (b *baseline) NextWake() (time.Time, bool)           { return time.Time{}, false }
func (b *baseline) TakeStopRequests() []StopRequest       { return nil }
