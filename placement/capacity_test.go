package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// ledger is an account of the workers that is kept apart from the engine's own.
type ledger struct {
	t     *rapid.T
	e     *Engine
	now   time.Time
	nodes map[string]Node
	held  map[string]map[string]workload.Task // by node and task id
	open  []Assignment                        // proposed, not answered
	jobs  []string
	next  int
}

func (l *ledger) used(node string) machine.Resources {
	var sum machine.Resources
	for _, t := range l.held[node] {
		sum = sum.Add(t.Resources)
	}
	return sum
}

func (l *ledger) free(node string) machine.Resources {
	n := l.nodes[node]
	return n.Total.Sub(n.Foreign).Sub(l.used(node))
}

// decide takes the proposals and fails if one does not fit in the ledger.
func (l *ledger) decide(limit int) {
	for _, p := range l.e.Decide(l.now, limit) {
		for _, a := range p.Assignments {
			for node, held := range l.held {
				if _, ok := held[a.Task.ID]; ok {
					l.t.Fatalf("task %s proposed for %s while it is held on %s", a.Task.ID, a.Node, node)
				}
			}
			n, ok := l.nodes[a.Node]
			if !ok || n.Draining {
				l.t.Fatalf("task %s proposed for unusable worker %s", a.Task.ID, a.Node)
			}
			if a.Preempt {
				if a.Task.Priority < workload.Urgent {
					l.t.Fatalf("task %s of priority %d preempts", a.Task.ID, a.Task.Priority)
				}
				l.preempt(a)
				continue
			}
			if free := l.free(a.Node); !a.Task.Resources.Fits(free) {
				l.t.Fatalf("task %s of %s proposed for %s with %s free", a.Task.ID, a.Task.Resources, a.Node, free)
			}
			l.hold(a)
			l.open = append(l.open, a)
		}
	}
}

func (l *ledger) hold(a Assignment) {
	if l.held[a.Node] == nil {
		l.held[a.Node] = make(map[string]workload.Task)
	}
	l.held[a.Node][a.Task.ID] = a.Task
}

// preempt acts as the rack owner: it takes the victims off, then starts the task.
func (l *ledger) preempt(a Assignment) {
	var running []workload.Task
	for _, t := range sorted(l.held[a.Node]) {
		if !slices.ContainsFunc(l.open, func(o Assignment) bool { return o.Task.ID == t.ID }) {
			running = append(running, t)
		}
	}
	victims, ok := l.e.Victims(running, l.free(a.Node), a.Task.Resources, a.Task.Priority)
	if !ok {
		l.e.Reject(a.Task.ID, a.Task.Attempt, "no_victims", l.now)
		return
	}
	for _, v := range victims {
		state := workload.Checkpointed
		if v.Mode == PreemptThrottle {
			state = workload.Throttled
			v.Task.Resources = v.Task.Resources.Sub(l.e.throttled(v.Task.Resources))
			l.held[a.Node][v.Task.ID] = v.Task
		} else {
			delete(l.held[a.Node], v.Task.ID)
		}
		l.e.Finish(v.Task.ID, v.Task.Attempt, TaskResult{State: state}, l.now)
	}
	l.hold(a)
	l.e.Commit(a.Task.ID, a.Task.Attempt)
	if free := l.free(a.Node); free.Negative() {
		l.t.Fatalf("worker %s has %s free after preemption for %s", a.Node, free, a.Task.ID)
	}
}

func sorted(m map[string]workload.Task) []workload.Task {
	out := make([]workload.Task, 0, len(m))
	for _, t := range m {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b workload.Task) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (l *ledger) anyHeld(label string) (string, workload.Task, bool) {
	var all []Assignment
	for _, id := range []string{"n0", "n1", "n2", "n3", "n4", "n5"} {
		for _, t := range sorted(l.held[id]) {
			all = append(all, Assignment{Task: t, Node: id})
		}
	}
	if len(all) == 0 {
		return "", workload.Task{}, false
	}
	a := rapid.SampledFrom(all).Draw(l.t, label)
	return a.Node, a.Task, true
}

func (l *ledger) finish(node string, t workload.Task, r TaskResult) {
	delete(l.held[node], t.ID)
	l.open = slices.DeleteFunc(l.open, func(a Assignment) bool { return a.Task.ID == t.ID })
	l.e.Finish(t.ID, t.Attempt, r, l.now)
}

func (l *ledger) setNode() {
	i := rapid.IntRange(0, 5).Draw(l.t, "node")
	n := Node{ID: fmt.Sprintf("n%d", i), Rack: fmt.Sprintf("r%d", i/2), Zone: zone.Name(fmt.Sprintf("z%d", i/3)),
		Total:    machine.Resources{CPUMilli: 8000, MemoryMiB: 16000},
		Draining: rapid.IntRange(0, 5).Draw(l.t, "drain") == 0}
	if i == 5 {
		n.Total.Accelerators = 4
	}
	// Foreign work fits into what this engine leaves, as on a real worker.
	free := n.Total.Sub(l.used(n.ID))
	if k := rapid.Int64Range(0, 4).Draw(l.t, "foreign"); free.CPUMilli > 0 && free.MemoryMiB > 0 {
		n.Foreign = machine.Resources{CPUMilli: free.CPUMilli * k / 8, MemoryMiB: free.MemoryMiB * k / 8}
	}
	l.nodes[n.ID] = n
	l.e.SetNode(n)
}

func (l *ledger) submit() {
	l.next++
	t := l.t
	j := workload.Job{
		ID: fmt.Sprintf("j%d", l.next), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Family: rapid.SampledFrom([]string{"", "f", "g"}).Draw(t, "family"),
		Kind:   rapid.SampledFrom([]workload.Kind{workload.Service, workload.Batch, workload.Gang}).Draw(t, "kind"),
		Count:  rapid.IntRange(1, 6).Draw(t, "count"),
		Resources: machine.Resources{CPUMilli: rapid.Int64Range(1, 40).Draw(t, "cpu") * 200,
			MemoryMiB: rapid.Int64Range(1, 40).Draw(t, "mem") * 400},
		Priority: rapid.SampledFrom([]workload.Priority{workload.Low, workload.Normal, workload.High, workload.Urgent}).Draw(t, "prio"),
		RunTime:  time.Duration(rapid.IntRange(0, 60).Draw(t, "run")) * time.Second,
		Retries:  rapid.IntRange(0, 3).Draw(t, "retries"), Preempt: rapid.Bool().Draw(t, "preempt"),
	}
	if rapid.IntRange(0, 9).Draw(t, "accel") == 0 {
		j.Resources.Accelerators = 1
	}
	if rapid.IntRange(0, 4).Draw(t, "zoned") == 0 {
		j.Zones = []zone.Name{"z1"}
	}
	if l.e.Submit(j, l.now) == nil {
		l.jobs = append(l.jobs, j.ID)
	}
}

// Guards against a worker that is promised more than it has, a task that is
// proposed twice, and books of the engine that drift apart, over random
// operations in any order.
func TestCapacityHoldsOverRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{t: t, now: start, nodes: map[string]Node{}, held: map[string]map[string]workload.Task{},
			e: New(Config{MinSamples: 3, QuarantineFailures: 3, ReserveAfter: time.Second, ExactSearchWorkers: rapid.SampledFrom([]int{1, 64}).Draw(t, "exact")})}
		l.e.SetTeam("a", machine.Resources{CPUMilli: 20000, MemoryMiB: 40000, Accelerators: 2}, 2)
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { l.e.verify(t) },
			"node":   func(*rapid.T) { l.setNode() },
			"submit": func(*rapid.T) { l.submit() },
			"decide": func(*rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				l.decide(rapid.IntRange(1, 20).Draw(t, "limit"))
			},
			"answer": func(*rapid.T) {
				if len(l.open) == 0 {
					return
				}
				a := l.open[0]
				l.open = l.open[1:]
				if rapid.IntRange(0, 3).Draw(t, "reject") == 0 {
					delete(l.held[a.Node], a.Task.ID)
					l.e.Reject(a.Task.ID, a.Task.Attempt, "no_capacity", l.now)
					return
				}
				l.e.Commit(a.Task.ID, a.Task.Attempt)
			},
			"finish": func(*rapid.T) {
				node, task, ok := l.anyHeld("task")
				if !ok {
					return
				}
				state := rapid.SampledFrom([]workload.TaskState{workload.Finished, workload.Finished, workload.Failed,
					workload.Checkpointed, workload.Stopped, workload.Lost}).Draw(t, "state")
				used := machine.Resources{CPUMilli: task.Resources.CPUMilli * 2 / 3, MemoryMiB: task.Resources.MemoryMiB / 2}
				l.finish(node, task, TaskResult{State: state, Ran: 5 * time.Second, Used: used})
			},
			"cancel": func(*rapid.T) {
				if len(l.jobs) == 0 {
					return
				}
				l.e.Cancel(rapid.SampledFrom(l.jobs).Draw(t, "job"), l.now)
			},
			"remove": func(*rapid.T) {
				id := fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(t, "node"))
				delete(l.nodes, id)
				l.e.RemoveNode(id)
			},
			"stops": func(*rapid.T) {
				for _, s := range l.e.TakeStopRequests() {
					if held, ok := l.held[s.Node][s.Task.ID]; ok && held.Attempt == s.Task.Attempt {
						l.finish(s.Node, held, TaskResult{State: workload.Stopped})
					}
				}
			},
		})
	})
}

// verify fails if the engine's sums do not match its tasks or a queue lost a job.
func (e *Engine) verify(t *rapid.T) {
	var used machine.Resources
	teams := make(map[*team]machine.Resources)
	for _, n := range e.nodes {
		var sum, soft machine.Resources
		for i, k := range n.tasks {
			if k.pos != i || k.node != n || !k.holds() || e.placed[k.id] != k {
				t.Fatalf("task %s is misfiled on %s", k.id, n.ID)
			}
			sum = sum.Add(k.res)
			if k.job.preemptible() {
				soft = soft.Add(k.res)
			}
			teams[k.job.team] = teams[k.job.team].Add(k.res)
		}
		if sum != n.used || soft != n.soft {
			t.Fatalf("worker %s counts %s (%s preemptible), its tasks hold %s (%s)", n.ID, n.used, n.soft, sum, soft)
		}
		if n.pool != nil && n.open() && n.pool.free.nodes[n.pool.free.size+n.slot] != n.free() {
			t.Fatalf("index of %s is stale", n.ID)
		}
		used = used.Add(sum)
	}
	for _, tm := range e.teams {
		if teams[tm] != tm.used {
			t.Fatalf("team %s counts %s, its tasks hold %s", tm.name, tm.used, teams[tm])
		}
	}
	if used != e.used {
		t.Fatalf("cell counts %s, tasks hold %s", e.used, used)
	}
	waiting := 0
	for id, j := range e.jobs {
		if j.ready() != (j.group != nil) {
			t.Fatalf("job %s: ready %v, queued %v", id, j.ready(), j.group != nil)
		}
		if j.group == nil {
			continue
		}
		waiting++
		g := j.group
		active := !g.parked && !g.shape.blocked
		if e.groups[groupKey{g.team, g.shape}] != g || active != g.team.groups.has(g) || active && !e.teamHeap.has(g.team) {
			t.Fatalf("job %s is in no queue", id)
		}
	}
	if waiting != e.waiting || len(e.quarantined)*quarantineShare > max(e.known, 0)+quarantineShare*6 {
		t.Fatalf("%d jobs wait, counted %d", waiting, e.waiting)
	}
}
