package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// resources returns resources of thousandths of a core and MiB, without accelerators.
func resources(cpu, mem int64) machine.Resources {
	return machine.Resources{CPUMilli: cpu, MemoryMiB: mem}
}

// newEngineWithWorkers returns an engine with n workers w0, w1 and so on of 16 cores,
// two per rack and spread over three zones.
func newEngineWithWorkers(n int, cfg Config) *Engine {
	e := New(cfg)
	for _, w := range newWorkers(n, 2, italianZones, resources(16_000, 32_768)) {
		e.SetNode(w)
	}
	return e
}

// mustSubmit submits a job, for the team t if it has none, and fails the test if it is
// refused.
func mustSubmit(t testing.TB, e *Engine, j workload.Job, now time.Time) {
	t.Helper()
	if j.Team == "" {
		j.Team = "t"
	}
	if err := e.Submit(j, now); err != nil {
		t.Fatal(err)
	}
}

// placeAll decides until nothing more is proposed, commits everything and returns it.
func placeAll(e *Engine, now time.Time) []Assignment {
	var out []Assignment
	for {
		props := e.Decide(now, 1000)
		if len(props) == 0 {
			return out
		}
		for _, p := range props {
			for _, a := range p.Assignments {
				e.Commit(a.Task.ID, a.Task.Attempt)
				out = append(out, a)
			}
		}
	}
}

// finishTask reports the end of an assigned task, in state s.
func finishTask(e *Engine, a Assignment, s workload.TaskState, now time.Time) {
	e.Finish(a.Task.ID, a.Task.Attempt, TaskResult{State: s, Ran: time.Second}, now)
}

// batchJob returns a batch of n tasks that may be preempted.
func batchJob(id string, n int, need machine.Resources) workload.Job {
	return workload.Job{ID: id, Team: "t", Kind: workload.Batch, Count: n, Resources: need, RunTime: 10 * time.Second, Preemptible: true}
}

// Guards against jobs that wait for ever because no worker can hold them, either from
// their submission or since the only worker that could was removed, against a wait that
// does not end after Config.ImpossibleGrace, and against an end without a reason.
func TestImpossibleJobs(t *testing.T) {
	e := newEngineWithWorkers(4, Config{})
	err := e.Submit(batchJob("big", 1, resources(64_000, 1024)), startTime)
	if errkind.Of(err) != errkind.Impossible || errkind.ReasonOf(err) != "fits_no_worker" {
		t.Fatalf("submitting a task larger than any worker: got %v, want impossible (fits_no_worker)", err)
	}
	gang := batchJob("gang", 5, resources(16_000, 1024))
	gang.Kind = workload.Gang
	if err := e.Submit(gang, startTime); errkind.ReasonOf(err) != "gang_too_large" {
		t.Fatalf("submitting a gang larger than the cell: got %v, want gang_too_large", err)
	}
	e.SetNode(Node{ID: "large", Rack: "r", Zone: "lom-monza", Total: resources(64_000, 65_536)})
	mustSubmit(t, e, batchJob("first", 1, resources(64_000, 1024)), startTime)
	placeAll(e, startTime)
	mustSubmit(t, e, batchJob("big", 1, resources(64_000, 1024)), startTime)
	placeAll(e, startTime)
	if x, _ := e.Explain("big"); x.State != JobUnschedulable || x.Reason != "no_room" {
		t.Fatalf("big behind a job on the only worker that holds it: got %+v, want no_room", x)
	}
	e.RemoveNode("large")
	placeAll(e, startTime)
	if x, _ := e.Explain("big"); x.Reason != "fits_no_worker" {
		t.Fatalf("big after that worker is removed: got %+v, want fits_no_worker", x)
	}
	examined := e.Stats().NodesExamined
	var at time.Time
	var ended []EndedJob
	for len(ended) == 0 && at.Before(startTime.Add(time.Hour)) {
		var ok bool
		if at, ok = e.NextWake(); !ok {
			t.Fatal("NextWake returns false while a job waits for Config.ImpossibleGrace")
		}
		placeAll(e, at)
		ended = e.TakeEndedJobs()
	}
	if !at.Equal(startTime.Add(time.Minute)) {
		t.Fatalf("the job ended at %v, want one minute after the start", at)
	}
	if len(ended) != 1 || ended[0].Job != "big" || ended[0].State != JobImpossible || ended[0].Reason != "fits_no_worker" {
		t.Fatalf("got %+v, want the end of big as impossible", ended)
	}
	if got := e.Stats().NodesExamined; got != examined {
		t.Fatalf("%d workers were examined for an impossible job", got-examined)
	}
}

// Guards against services of which several tasks are in one zone or rack while others
// have free capacity.
func TestServicesAreSpread(t *testing.T) {
	for _, exactSearchWorkers := range []int{1, 64} { // sampled and exact search
		e := newEngineWithWorkers(12, Config{ExactSearchWorkers: exactSearchWorkers})
		j := batchJob("web", 6, resources(1000, 1024))
		j.Kind = workload.Service
		mustSubmit(t, e, j, startTime)
		racks, zones := map[string]int{}, map[string]int{}
		for _, a := range placeAll(e, startTime) {
			n := e.nodes[a.Node]
			racks[n.Rack]++
			zones[string(n.Zone)]++
		}
		if len(zones) != 3 || zones["lom-monza"] != 2 || exactSearchWorkers == 64 && len(racks) != 6 {
			t.Fatalf("tasks per rack %v, per zone %v; want 2 in each of 3 zones and, with exact search, 1 in each of 6 racks", racks, zones)
		}
	}
}

// Guards against a large gang that starves: a stream of small jobs takes all resources
// as they are freed, so the gang never fits without a reservation. It also guards
// against a gang of which only a part is started.
func TestLargeJobDoesNotStarve(t *testing.T) {
	e := newEngineWithWorkers(4, Config{ReserveAfter: time.Second, NoLearning: true})
	now := startTime
	var running []Assignment
	for i := range 64 {
		mustSubmit(t, e, batchJob(fmt.Sprintf("s%d", i), 1, resources(1000, 1024)), now)
	}
	running = placeAll(e, now)
	gang := batchJob("gang", 4, resources(16_000, 16_384))
	gang.Kind = workload.Gang
	mustSubmit(t, e, gang, now)
	for i := range 400 {
		now = now.Add(time.Second)
		mustSubmit(t, e, batchJob(fmt.Sprintf("more%d", i), 8, resources(1000, 1024)), now)
		for range min(6, len(running)) {
			a := running[0]
			running = running[1:]
			finishTask(e, a, workload.Finished, now)
		}
		var members int
		for _, a := range placeAll(e, now) {
			if a.Task.Job == "gang" {
				members++
			}
			running = append(running, a)
		}
		if members > 0 {
			if members != 4 {
				t.Fatalf("gang started with %d of 4 members", members)
			}
			return
		}
	}
	t.Fatal("the gang did not start in 400 s under a stream of small jobs")
}

// Guards against a team that keeps using more than its quota: another team within its
// quota must get the resources as tasks end. It also guards against accepting a service
// that is larger than its team's quota.
func TestQuotaAndFairShares(t *testing.T) {
	e := newEngineWithWorkers(4, Config{})
	e.SetTeam("a", resources(32_000, 65_536), 1)
	e.SetTeam("b", resources(32_000, 65_536), 1)
	j := batchJob("a1", 200, resources(1000, 1024))
	j.Team = "a"
	mustSubmit(t, e, j, startTime)
	running := placeAll(e, startTime)
	if len(running) != 64 {
		t.Fatalf("team a, alone in the cell, got %d of 64 cores", len(running))
	}
	j = batchJob("b1", 200, resources(1000, 1024))
	j.Team = "b"
	mustSubmit(t, e, j, startTime)
	for _, a := range running[:32] {
		finishTask(e, a, workload.Finished, startTime)
		if got := placeAll(e, startTime); len(got) != 1 || got[0].Task.Team != "b" {
			t.Fatalf("the freed core went to %v, want one task of team b", got)
		}
	}
	svc := batchJob("svc", 40, resources(1000, 1024))
	svc.Kind, svc.Team = workload.Service, "b"
	if err := e.Submit(svc, startTime); errkind.Of(err) != errkind.QuotaExceeded {
		t.Fatalf("submitting a service larger than the quota: got %v, want quota_exceeded", err)
	}
}

// Guards against a team that keeps resources beyond its quota because its tasks do not
// end, while another team within its quota waits for them.
func TestResourcesBeyondQuotaAreReclaimed(t *testing.T) {
	e := newEngineWithWorkers(2, Config{})
	e.SetTeam("a", resources(16_000, 32_768), 1)
	e.SetTeam("b", resources(16_000, 32_768), 1)
	j := batchJob("a1", 64, resources(1000, 1024))
	j.Team = "a"
	mustSubmit(t, e, j, startTime)
	placeAll(e, startTime)
	j = batchJob("b1", 64, resources(1000, 1024))
	j.Team = "b"
	mustSubmit(t, e, j, startTime)
	now := startTime
	for range 40 {
		now = now.Add(time.Second)
		placeAll(e, now)
		for _, s := range e.TakeStopRequests() {
			if s.Task.Team != "a" || s.Mode != PreemptCheckpoint || s.Reason != "quota_reclaim" {
				t.Fatalf("got %+v, want a checkpoint of a task of team a for quota_reclaim", s)
			}
			e.Finish(s.Task.ID, s.Task.Attempt, TaskResult{State: workload.Checkpointed}, now)
		}
		placeAll(e, now)
	}
	if a, b := e.teams["a"].used.CPUMilli, e.teams["b"].used.CPUMilli; a != 16_000 || b != 16_000 {
		t.Fatalf("team a uses %d and team b %d thousandths of a core, want 16,000 each", a, b)
	}
}

// Guards against preemption that stops where a checkpoint or throttling is enough or
// that takes more victims than needed, and against preemption by work that is not
// urgent: its victims could preempt in turn.
func TestVictimsAreCheapest(t *testing.T) {
	e := New(Config{})
	task := func(id string, k workload.Kind, cpu int64, p workload.Priority) workload.Task {
		return workload.Task{ID: id, Kind: k, Preemptible: true, Priority: p, Resources: resources(cpu, 1024)}
	}
	running := []workload.Task{
		task("gang", workload.Gang, 4000, workload.Low), task("svc", workload.Service, 4000, workload.Low),
		task("b2", workload.Batch, 2000, workload.Normal), task("b1", workload.Batch, 2000, workload.Low),
		task("u", workload.Batch, 8000, workload.Urgent),
	}
	for _, c := range []struct {
		need int64
		want string
	}{{1000, "[b1:checkpoint]"}, {4000, "[b2:checkpoint b1:checkpoint]"}, {6000, "[svc:throttle b2:checkpoint b1:checkpoint]"},
		{8000, "[gang:stop b2:checkpoint b1:checkpoint]"}, {13_000, "none"}} {
		v, ok := e.Victims(running, machine.Resources{MemoryMiB: 8192}, resources(c.need, 512), workload.Urgent)
		var got []string
		for _, victim := range v {
			got = append(got, victim.Task.ID+":"+string(victim.Mode))
		}
		if s := fmt.Sprint(got); ok && s != c.want || !ok && c.want != "none" {
			t.Errorf("need %d: got %s, want %s", c.need, s, c.want)
		}
	}
	if _, ok := e.Victims(running, machine.Resources{}, resources(1000, 512), workload.High); ok {
		t.Error("work of high priority preempts; only urgent work may")
	}
}

// Guards against urgent work that waits in a full cell instead of preempting, and
// against a victim that preempts in turn to run again.
func TestUrgentWorkPreempts(t *testing.T) {
	e := newEngineWithWorkers(2, Config{})
	mustSubmit(t, e, batchJob("fill", 32, resources(1000, 1024)), startTime)
	running := placeAll(e, startTime)
	urgent := batchJob("u", 1, resources(1000, 1024))
	urgent.Priority = workload.Urgent
	mustSubmit(t, e, urgent, startTime)
	got := e.Decide(startTime, 10)
	if len(got) != 1 || !got[0].Assignments[0].Preempt {
		t.Fatalf("got %+v, want one proposal with preemption", got)
	}
	finishTask(e, running[0], workload.Checkpointed, startTime)
	for _, p := range e.Decide(startTime, 10) {
		for _, a := range p.Assignments {
			if a.Preempt {
				t.Fatalf("%s, which is not urgent, preempts", a.Task.ID)
			}
		}
	}
}

// Guards against learned sizes that pack worse than declared ones. Learning is on by
// default as long as, with it, at least a tenth more of the cell is used and the work
// ends no later.
func TestLearningImprovesPacking(t *testing.T) {
	m := duesMix(3, 40_000)
	learned, _ := simulate(t, m, New(Config{}), 0)
	declared, _ := simulate(t, m, New(Config{NoLearning: true}), 0)
	used := func(o outcome) float64 { return o.usedShareSeconds / o.timeWithWaiting.Seconds() }
	t.Logf("makespan learned %v, declared %v; used share %.3f, %.3f", learned.makespan, declared.makespan, used(learned), used(declared))
	if learned.makespan > declared.makespan || used(learned) < 1.1*used(declared) {
		t.Fatal("with learned sizes the makespan is longer, or less than 1.1 times the share of the cell is used")
	}
}

// Guards against Config.DeclaredSizes being ignored: where nothing stops a task that
// uses more than it was given, tasks packed by learned sizes could exhaust a worker.
func TestDeclaredSizesAreKept(t *testing.T) {
	need := machine.Resources{CPUMilli: 4000, MemoryMiB: 4096}
	for _, declared := range []bool{false, true} {
		e := newEngineWithWorkers(1, Config{DeclaredSizes: declared, MinSamples: 5})
		now, shrunk := startTime, false
		for i := range 30 {
			j := workload.Job{ID: fmt.Sprintf("j%d", i), Team: "t", Family: "f", Kind: workload.Batch, Count: 1, Resources: need}
			if err := e.Submit(j, now); err != nil {
				t.Fatal(err)
			}
			for _, p := range e.Decide(now, 10) {
				a := p.Assignments[0]
				shrunk = shrunk || a.Task.Resources != need
				e.Commit(a.Task.ID, a.Task.Attempt)
				e.Finish(a.Task.ID, a.Task.Attempt, TaskResult{State: workload.Finished, Ran: time.Second,
					Used: machine.Resources{CPUMilli: 1000, MemoryMiB: 1024}}, now.Add(time.Second))
			}
			now = now.Add(2 * time.Second)
		}
		if shrunk == declared {
			t.Errorf("DeclaredSizes %t: a task was placed with less than it declared: %t", declared, shrunk)
		}
	}
}
