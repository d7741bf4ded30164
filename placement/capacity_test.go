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

var startTime = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// ledger drives an engine as its callers would, and keeps its own account of the
// resources of the workers to check the engine's proposals against.
type ledger struct {
	t          *rapid.T
	engine     *Engine
	now        time.Time
	nodes      map[string]Node                     // by worker id
	held       map[string]map[string]workload.Task // proposed or running, by worker and task id
	unanswered []Assignment                        // proposed, without a Commit or Reject yet
	jobs       []string
	jobCount   int
}

// used returns what is held on a worker.
func (l *ledger) used(node string) machine.Resources {
	var sum machine.Resources
	for _, t := range l.held[node] {
		sum = sum.Add(t.Resources)
	}
	return sum
}

// free returns what is free on a worker.
func (l *ledger) free(node string) machine.Resources {
	n := l.nodes[node]
	return n.Total.Sub(n.Foreign).Sub(l.used(node))
}

// decide records the engine's proposals, and fails the test if one does not fit.
func (l *ledger) decide(limit int) {
	for _, p := range l.engine.Decide(l.now, limit) {
		for _, a := range p.Assignments {
			for node, held := range l.held {
				if _, ok := held[a.Task.ID]; ok {
					l.t.Fatalf("task %s proposed for %s while it is proposed or runs on %s", a.Task.ID, a.Node, node)
				}
			}
			n, ok := l.nodes[a.Node]
			if !ok || n.Draining {
				l.t.Fatalf("task %s proposed for worker %s, which is draining or removed", a.Task.ID, a.Node)
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
			l.unanswered = append(l.unanswered, a)
		}
	}
}

func (l *ledger) hold(a Assignment) {
	if l.held[a.Node] == nil {
		l.held[a.Node] = make(map[string]workload.Task)
	}
	l.held[a.Node][a.Task.ID] = a.Task
}

// preempt does what a rack owner does: it preempts the victims, then starts the task.
func (l *ledger) preempt(a Assignment) {
	var running []workload.Task
	for _, t := range sortedByID(l.held[a.Node]) {
		if !slices.ContainsFunc(l.unanswered, func(o Assignment) bool { return o.Task.ID == t.ID }) {
			running = append(running, t)
		}
	}
	victims, ok := l.engine.Victims(running, l.free(a.Node), a.Task.Resources, a.Task.Priority)
	if !ok {
		l.engine.Reject(a.Task.ID, a.Task.Attempt, "no_victims", l.now)
		return
	}
	for _, v := range victims {
		state := workload.Checkpointed
		if v.Mode == PreemptThrottle {
			state = workload.Throttled
			v.Task.Resources = v.Task.Resources.Sub(l.engine.freedByThrottling(v.Task.Resources))
			l.held[a.Node][v.Task.ID] = v.Task
		} else {
			delete(l.held[a.Node], v.Task.ID)
		}
		l.engine.Finish(v.Task.ID, v.Task.Attempt, TaskResult{State: state}, l.now)
	}
	l.hold(a)
	l.engine.Commit(a.Task.ID, a.Task.Attempt)
	if free := l.free(a.Node); free.Negative() {
		l.t.Fatalf("worker %s has %s free after preemption for %s", a.Node, free, a.Task.ID)
	}
}

// sortedByID returns the tasks in a fixed order, so that a seed gives the same run.
func sortedByID(m map[string]workload.Task) []workload.Task {
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

// drawHeldTask draws a task and its worker from those held, and returns false if there
// are none.
func (l *ledger) drawHeldTask(label string) (string, workload.Task, bool) {
	var all []Assignment
	for _, id := range []string{"n0", "n1", "n2", "n3", "n4", "n5"} {
		for _, t := range sortedByID(l.held[id]) {
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
	l.unanswered = slices.DeleteFunc(l.unanswered, func(a Assignment) bool { return a.Task.ID == t.ID })
	l.engine.Finish(t.ID, t.Attempt, r, l.now)
}

// setNode adds or changes a random worker.
func (l *ledger) setNode() {
	i := rapid.IntRange(0, 5).Draw(l.t, "node")
	n := Node{ID: fmt.Sprintf("n%d", i), Rack: fmt.Sprintf("r%d", i/2), Zone: zone.Name(fmt.Sprintf("z%d", i/3)),
		Total:    machine.Resources{CPUMilli: 8000, MemoryMiB: 16000},
		Draining: rapid.IntRange(0, 5).Draw(l.t, "drain") == 0}
	if i == 5 {
		n.Total.Accelerators = 4
	}
	// Foreign tasks use only what this engine's tasks leave free, as on a real worker.
	free := n.Total.Sub(l.used(n.ID))
	if k := rapid.Int64Range(0, 4).Draw(l.t, "foreign"); free.CPUMilli > 0 && free.MemoryMiB > 0 {
		n.Foreign = machine.Resources{CPUMilli: free.CPUMilli * k / 8, MemoryMiB: free.MemoryMiB * k / 8}
	}
	l.nodes[n.ID] = n
	l.engine.SetNode(n)
}

// submit submits a random job. The engine may refuse it.
func (l *ledger) submit() {
	l.jobCount++
	t := l.t
	j := workload.Job{
		ID: fmt.Sprintf("j%d", l.jobCount), Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Family: rapid.SampledFrom([]string{"", "f", "g"}).Draw(t, "family"),
		Kind:   rapid.SampledFrom([]workload.Kind{workload.Service, workload.Batch, workload.Gang}).Draw(t, "kind"),
		Count:  rapid.IntRange(1, 6).Draw(t, "count"),
		Resources: machine.Resources{CPUMilli: rapid.Int64Range(1, 40).Draw(t, "cpu") * 200,
			MemoryMiB: rapid.Int64Range(1, 40).Draw(t, "mem") * 400},
		Priority: rapid.SampledFrom([]workload.Priority{workload.Low, workload.Normal, workload.High, workload.Urgent}).Draw(t, "prio"),
		RunTime:  time.Duration(rapid.IntRange(0, 60).Draw(t, "run")) * time.Second,
		Retries:  rapid.IntRange(0, 3).Draw(t, "retries"), Preemptible: rapid.Bool().Draw(t, "preempt"),
	}
	if rapid.IntRange(0, 9).Draw(t, "accel") == 0 {
		j.Resources.Accelerators = 1
	}
	if rapid.IntRange(0, 4).Draw(t, "zoned") == 0 {
		j.Zones = []zone.Name{"z1"}
	}
	if l.engine.Submit(j, l.now) == nil {
		l.jobs = append(l.jobs, j.ID)
	}
}

// Guards against a worker for which more is proposed than it has free, a task that is
// proposed while it is placed, and sums and queues of the engine that do not agree with
// its tasks and jobs, after random operations in any order.
func TestCapacityHoldsOverRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{t: t, now: startTime, nodes: map[string]Node{}, held: map[string]map[string]workload.Task{},
			engine: New(Config{MinSamples: 3, QuarantineFailures: 3, ReserveAfter: time.Second, ExactSearchWorkers: rapid.SampledFrom([]int{1, 64}).Draw(t, "exact")})}
		l.engine.SetTeam("a", machine.Resources{CPUMilli: 20000, MemoryMiB: 40000, Accelerators: 2}, 2)
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { l.engine.verify(t) },
			"node":   func(*rapid.T) { l.setNode() },
			"submit": func(*rapid.T) { l.submit() },
			"decide": func(*rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
				l.decide(rapid.IntRange(1, 20).Draw(t, "limit"))
			},
			"answer": func(*rapid.T) {
				if len(l.unanswered) == 0 {
					return
				}
				a := l.unanswered[0]
				l.unanswered = l.unanswered[1:]
				if rapid.IntRange(0, 3).Draw(t, "reject") == 0 {
					delete(l.held[a.Node], a.Task.ID)
					l.engine.Reject(a.Task.ID, a.Task.Attempt, "no_capacity", l.now)
					return
				}
				l.engine.Commit(a.Task.ID, a.Task.Attempt)
			},
			"finish": func(*rapid.T) {
				node, task, ok := l.drawHeldTask("task")
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
				l.engine.Cancel(rapid.SampledFrom(l.jobs).Draw(t, "job"), l.now)
			},
			"remove": func(*rapid.T) {
				id := fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(t, "node"))
				delete(l.nodes, id)
				l.engine.RemoveNode(id)
			},
			"stops": func(*rapid.T) {
				for _, s := range l.engine.TakeStopRequests() {
					if held, ok := l.held[s.Node][s.Task.ID]; ok && held.Attempt == s.Task.Attempt {
						l.finish(s.Node, held, TaskResult{State: workload.Stopped})
					}
				}
			},
		})
	})
}

// verify fails the test if the engine's sums do not match its tasks, an index entry is
// outdated or a job that should be queued is in no queue.
func (e *Engine) verify(t *rapid.T) {
	var totalUsed machine.Resources
	usedByTeam := make(map[*team]machine.Resources)
	for _, n := range e.nodes {
		var held, preemptible machine.Resources
		for i, placed := range n.tasks {
			if placed.pos != i || placed.node != n || !placed.holdsResources() || e.placedTasks[placed.id] != placed {
				t.Fatalf("task %s has wrong references to or from worker %s", placed.id, n.ID)
			}
			held = held.Add(placed.held)
			if placed.job.preemptible() {
				preemptible = preemptible.Add(placed.held)
			}
			usedByTeam[placed.job.team] = usedByTeam[placed.job.team].Add(placed.held)
		}
		if held != n.used || preemptible != n.preemptibleUsed {
			t.Fatalf("worker %s counts %s (%s preemptible) as used, its tasks hold %s (%s preemptible)", n.ID, n.used, n.preemptibleUsed, held, preemptible)
		}
		if n.pool != nil && n.acceptsTasks() && n.pool.freeIndex.entries[n.pool.freeIndex.size+n.poolIndex] != n.free() {
			t.Fatalf("the index of free resources has another value than worker %s", n.ID)
		}
		totalUsed = totalUsed.Add(held)
	}
	for _, tm := range e.teams {
		if usedByTeam[tm] != tm.used {
			t.Fatalf("team %s counts %s as used, its tasks hold %s", tm.name, tm.used, usedByTeam[tm])
		}
	}
	if totalUsed != e.used {
		t.Fatalf("the engine counts %s as used, its tasks hold %s", e.used, totalUsed)
	}
	waiting := 0
	for id, j := range e.jobs {
		if j.readyToQueue() != (j.group != nil) {
			t.Fatalf("job %s: ready to queue %v, in a group %v", id, j.readyToQueue(), j.group != nil)
		}
		if j.group == nil {
			continue
		}
		waiting++
		g := j.group
		active := !g.parked && !g.shape.blocked
		if e.groups[groupKey{g.team, g.shape}] != g || active != g.team.groups.contains(g) || active && !e.teamHeap.contains(g.team) {
			t.Fatalf("the group of job %s is missing, or wrongly in or out of the active queue", id)
		}
	}
	if waiting != e.waitingJobs || len(e.quarantined)*quarantineDivisor > max(e.knownNodes, 0)+quarantineDivisor*6 {
		t.Fatalf("%d jobs wait and the engine counts %d, or too many workers are quarantined", waiting, e.waitingJobs)
	}
}
