package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

func res(cpu, mem int64) machine.Resources { return machine.Resources{CPUMilli: cpu, MemoryMiB: mem} }

func cell(n int, cfg Config) *Engine {
	e := New(cfg)
	for _, w := range workers(n, 2, ritagliZones, res(16_000, 32_768)) {
		e.SetNode(w)
	}
	return e
}

func mustSubmit(t testing.TB, e *Engine, j workload.Job, now time.Time) {
	t.Helper()
	if j.Team == "" {
		j.Team = "t"
	}
	if err := e.Submit(j, now); err != nil {
		t.Fatal(err)
	}
}

// place decides until nothing fits and commits everything.
func place(e *Engine, now time.Time) []Assignment {
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

func finish(e *Engine, a Assignment, s workload.TaskState, now time.Time) {
	e.Finish(a.Task.ID, a.Task.Attempt, TaskResult{State: s, Ran: time.Second}, now)
}

func batch(id string, n int, need machine.Resources) workload.Job {
	return workload.Job{ID: id, Team: "t", Kind: workload.Batch, Count: n, Resources: need, RunTime: 10 * time.Second, Preempt: true}
}

// Guards against jobs that wait for ever because nothing can hold them, at
// submission and after the only fitting worker has left, and against an end
// without the reason.
func TestImpossibleJobs(t *testing.T) {
	e := cell(4, Config{})
	err := e.Submit(batch("big", 1, res(64_000, 1024)), start)
	if errkind.Of(err) != errkind.Impossible || errkind.ReasonOf(err) != "fits_no_worker" {
		t.Fatalf("got %v", err)
	}
	gang := batch("gang", 5, res(16_000, 1024))
	gang.Kind = workload.Gang
	if err := e.Submit(gang, start); errkind.ReasonOf(err) != "gang_too_large" {
		t.Fatalf("got %v", err)
	}
	e.SetNode(Node{ID: "large", Rack: "r", Zone: "lom-monza", Total: res(64_000, 65_536)})
	mustSubmit(t, e, batch("first", 1, res(64_000, 1024)), start)
	place(e, start)
	mustSubmit(t, e, batch("big", 1, res(64_000, 1024)), start)
	place(e, start)
	if x, _ := e.Explain("big"); x.State != JobUnschedulable || x.Reason != "no_room" {
		t.Fatalf("got %+v", x)
	}
	e.RemoveNode("large")
	place(e, start)
	if x, _ := e.Explain("big"); x.Reason != "fits_no_worker" {
		t.Fatalf("got %+v", x)
	}
	steps := e.Stats().NodesExamined
	var at time.Time
	var ended []EndedJob
	for len(ended) == 0 && at.Before(start.Add(time.Hour)) {
		var ok bool
		if at, ok = e.NextWake(); !ok {
			t.Fatal("the engine asks for no wake-up")
		}
		place(e, at)
		ended = e.TakeEndedJobs()
	}
	if !at.Equal(start.Add(time.Minute)) {
		t.Fatalf("the job ended at %v", at)
	}
	if len(ended) != 1 || ended[0].Job != "big" || ended[0].State != JobImpossible || ended[0].Reason != "fits_no_worker" {
		t.Fatalf("got %+v", ended)
	}
	if got := e.Stats().NodesExamined; got != steps {
		t.Fatalf("an impossible job cost %d searches", got-steps)
	}
}

// Guards against services that share a rack while another rack has room.
func TestServicesSpread(t *testing.T) {
	for _, exact := range []int{1, 64} { // sampled and exact search
		e := cell(12, Config{ExactSearchWorkers: exact})
		j := batch("web", 6, res(1000, 1024))
		j.Kind = workload.Service
		mustSubmit(t, e, j, start)
		racks, zones := map[string]int{}, map[string]int{}
		for _, a := range place(e, start) {
			n := e.nodes[a.Node]
			racks[n.Rack]++
			zones[string(n.Zone)]++
		}
		if len(zones) != 3 || zones["lom-monza"] != 2 || exact == 64 && len(racks) != 6 {
			t.Fatalf("racks %v, zones %v", racks, zones)
		}
	}
}

// Guards against a large job that starves under a stream of small ones, and
// against a gang that is split.
func TestLargeJobDoesNotStarve(t *testing.T) {
	e := cell(4, Config{ReserveAfter: time.Second, NoLearning: true})
	now := start
	var running []Assignment
	for i := range 64 {
		mustSubmit(t, e, batch(fmt.Sprintf("s%d", i), 1, res(1000, 1024)), now)
	}
	running = place(e, now)
	gang := batch("gang", 4, res(16_000, 16_384))
	gang.Kind = workload.Gang
	mustSubmit(t, e, gang, now)
	for i := range 400 {
		now = now.Add(time.Second)
		mustSubmit(t, e, batch(fmt.Sprintf("more%d", i), 8, res(1000, 1024)), now)
		for range min(6, len(running)) {
			a := running[0]
			running = running[1:]
			finish(e, a, workload.Finished, now)
		}
		var members int
		for _, a := range place(e, now) {
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

// Guards against a team that keeps others from their share, and against borrowed
// resources that are not given back as work ends.
func TestQuotaAndShares(t *testing.T) {
	e := cell(4, Config{})
	e.SetTeam("a", res(32_000, 65_536), 1)
	e.SetTeam("b", res(32_000, 65_536), 1)
	j := batch("a1", 200, res(1000, 1024))
	j.Team = "a"
	mustSubmit(t, e, j, start)
	running := place(e, start)
	if len(running) != 64 {
		t.Fatalf("a alone got %d of 64 cores", len(running))
	}
	j = batch("b1", 200, res(1000, 1024))
	j.Team = "b"
	mustSubmit(t, e, j, start)
	for _, a := range running[:32] {
		finish(e, a, workload.Finished, start)
		if got := place(e, start); len(got) != 1 || got[0].Task.Team != "b" {
			t.Fatalf("freed core went to %v", got)
		}
	}
	svc := batch("svc", 40, res(1000, 1024))
	svc.Kind, svc.Team = workload.Service, "b"
	if err := e.Submit(svc, start); errkind.Of(err) != errkind.QuotaExceeded {
		t.Fatalf("got %v", err)
	}
}

// Guards against borrowed resources that are kept although their owner needs
// them and the borrower's work does not end.
func TestBorrowedResourcesAreReclaimed(t *testing.T) {
	e := cell(2, Config{})
	e.SetTeam("a", res(16_000, 32_768), 1)
	e.SetTeam("b", res(16_000, 32_768), 1)
	j := batch("a1", 64, res(1000, 1024))
	j.Team = "a"
	mustSubmit(t, e, j, start)
	place(e, start)
	j = batch("b1", 64, res(1000, 1024))
	j.Team = "b"
	mustSubmit(t, e, j, start)
	now := start
	for range 40 {
		now = now.Add(time.Second)
		place(e, now)
		for _, s := range e.TakeStopRequests() {
			if s.Task.Team != "a" || s.Mode != PreemptCheckpoint || s.Reason != "quota_reclaim" {
				t.Fatalf("got %+v", s)
			}
			e.Finish(s.Task.ID, s.Task.Attempt, TaskResult{State: workload.Checkpointed}, now)
		}
		place(e, now)
	}
	if a, b := e.teams["a"].used.CPUMilli, e.teams["b"].used.CPUMilli; a != 16_000 || b != 16_000 {
		t.Fatalf("a uses %d, b %d of 16,000 each", a, b)
	}
}

// Guards against dear or superfluous preemption and against preemption by work
// that is not urgent, which could cascade.
func TestVictimsCheapest(t *testing.T) {
	e := New(Config{})
	task := func(id string, k workload.Kind, cpu int64, p workload.Priority) workload.Task {
		return workload.Task{ID: id, Kind: k, Preempt: true, Priority: p, Resources: res(cpu, 1024)}
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
		v, ok := e.Victims(running, machine.Resources{MemoryMiB: 8192}, res(c.need, 512), workload.Urgent)
		var got []string
		for _, x := range v {
			got = append(got, x.Task.ID+":"+string(x.Mode))
		}
		if s := fmt.Sprint(got); ok && s != c.want || !ok && c.want != "none" {
			t.Errorf("need %d: got %s, want %s", c.need, s, c.want)
		}
	}
	if _, ok := e.Victims(running, machine.Resources{}, res(1000, 512), workload.High); ok {
		t.Error("high priority preempts")
	}
}

// Guards against urgent work that waits in a full cell, and against the victim
// taking its place back by preemption.
func TestUrgentPreemptsAtOnce(t *testing.T) {
	e := cell(2, Config{})
	mustSubmit(t, e, batch("fill", 32, res(1000, 1024)), start)
	running := place(e, start)
	u := batch("u", 1, res(1000, 1024))
	u.Priority = workload.Urgent
	mustSubmit(t, e, u, start)
	got := e.Decide(start, 10)
	if len(got) != 1 || !got[0].Assignments[0].Preempt {
		t.Fatalf("got %+v", got)
	}
	finish(e, running[0], workload.Checkpointed, start)
	for _, p := range e.Decide(start, 10) {
		for _, a := range p.Assignments {
			if a.Preempt {
				t.Fatalf("%s preempts in its turn", a.Task.ID)
			}
		}
	}
}

// Guards against blaming a worker for a job that fails everywhere, a job for a
// bad worker, an unbounded quarantine, and a worker that is never readmitted.
func TestQuarantine(t *testing.T) {
	e := cell(8, Config{})
	now := start
	for i := range 12 {
		j := batch(fmt.Sprintf("j%d", i), 8, res(8000, 4096))
		j.Retries = 50
		mustSubmit(t, e, j, now)
	}
	bad := batch("bad", 1, res(1000, 1024))
	bad.Retries = 8
	mustSubmit(t, e, bad, now)
	saw := 0
	for range 400 {
		now = now.Add(time.Second)
		for _, a := range place(e, now) {
			s := workload.Finished
			if a.Node == "w3" && now.Before(start.Add(60*time.Second)) || a.Task.Job == "bad" {
				s = workload.Failed
			}
			finish(e, a, s, now)
		}
		for _, n := range e.quarantined {
			if saw = max(saw, len(e.quarantined)); n.ID != "w3" {
				t.Fatalf("worker %s is quarantined", n.ID)
			}
		}
	}
	if saw != 1 || len(e.quarantined) != 0 {
		t.Fatalf("w3 was quarantined %d times, %d still are", saw, len(e.quarantined))
	}
	ends := map[string]JobState{}
	for _, x := range e.TakeEndedJobs() {
		ends[x.Job] = x.State
	}
	if ends["bad"] != JobFailed || ends["j0"] != JobFinished || len(ends) != 13 {
		t.Fatalf("ends: %v", ends)
	}
	f := cell(8, Config{})
	for i := range 8 {
		for k := range 10 {
			j := batch(fmt.Sprintf("x%d-%d", i, k), 1, res(16_000, 1024))
			mustSubmit(t, f, j, now)
		}
	}
	for range 20 {
		now = now.Add(time.Second)
		for _, a := range place(f, now) {
			finish(f, a, workload.Failed, now)
		}
		if got := len(f.quarantined); got > 2 {
			t.Fatalf("%d of 8 workers are quarantined", got)
		}
	}
}

// Guards against waves whose cost grows faster than their size.
func TestWavesAreLinear(t *testing.T) {
	steps := func(n int) (submit, cancel int64) {
		e := cell(8, Config{})
		mustSubmit(t, e, batch("fill", 128, res(1000, 1024)), start)
		place(e, start)
		count := func() int64 { s := e.Stats(); return s.QueueSteps + s.IndexSteps + s.NodesExamined }
		c0 := count()
		for i := range n {
			mustSubmit(t, e, batch(fmt.Sprint(i), 1, res(1000, 1024)), start)
			e.Decide(start, 10)
		}
		c1 := count()
		for i := range n {
			e.Cancel(fmt.Sprint(i), start)
			e.Decide(start, 10)
		}
		if s := e.Stats(); s.Active+s.Unschedulable != 0 {
			t.Fatalf("%d jobs still wait", s.Active+s.Unschedulable)
		}
		return c1 - c0, count() - c1
	}
	s1, c1 := steps(1000)
	s10, c10 := steps(10_000)
	t.Logf("steps for 1,000: submit %d cancel %d; for 10,000: submit %d cancel %d", s1, c1, s10, c10)
	if s10 > 11*s1 || c10 > 11*c1 {
		t.Fatalf("submit %d -> %d, cancel %d -> %d", s1, s10, c1, c10)
	}
}

// Guards against decisions whose cost grows with the cell.
func TestDecisionCostIsSublinear(t *testing.T) {
	steps := func(n int) float64 {
		m := churnMix(n, 1)
		e := New(Config{})
		o, _ := replay(t, m, e, 10*n)
		s := e.Stats()
		return float64(s.IndexSteps+s.NodesExamined) / float64(o.placed)
	}
	small, large := steps(1000), steps(9000)
	t.Logf("steps per placement: %.1f at 1,000 workers, %.1f at 9,000", small, large)
	if large > 3*small {
		t.Fatalf("%.1f -> %.1f steps for nine times the workers", small, large)
	}
}

// Guards against learning that costs packing: it stays on only while workers are
// used at least a tenth more than with declared sizes and the work ends no later.
func TestLearningBeatsDeclaration(t *testing.T) {
	m := duesMix(3, 40_000)
	learned, _ := replay(t, m, New(Config{}), 0)
	declared, _ := replay(t, m, New(Config{NoLearning: true}), 0)
	used := func(o outcome) float64 { return o.realArea / o.waitTime.Seconds() }
	t.Logf("makespan learned %v, declared %v; used share %.3f, %.3f", learned.makespan, declared.makespan, used(learned), used(declared))
	if learned.makespan > declared.makespan || used(learned) < 1.1*used(declared) {
		t.Fatal("learning does not pack better than the declarations")
	}
}

// Guards against a host packed by sizes below the declaration where the embedder
// has nothing that stops a task that outgrows them.
func TestDeclaredSizesAreKept(t *testing.T) {
	need := machine.Resources{CPUMilli: 4000, MemoryMiB: 4096}
	for _, declared := range []bool{false, true} {
		e := cell(1, Config{DeclaredSizes: declared, MinSamples: 5})
		now, shrunk := start, false
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
