package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// bench is an engine with free machines that have been looked at.
type bench struct {
	t   *testing.T
	e   *Engine
	now time.Duration
	n   int
}

func newBench(t *testing.T, queues []Queue, machines ...Machine) *bench {
	b := &bench{t: t, now: time.Second}
	b.e = New(Config{Token: 256, Lease: 6 * time.Second, StopLimit: 400 * time.Millisecond, GangWait: 3 * time.Second, SpreadFactor: 3,
		Logger: zerolog.Nop()}, b.now)
	b.e.SetQueues(1, queues)
	b.e.SetMachines(machines, b.now)
	b.flush()
	for _, m := range machines {
		b.look(m.ID, nil, nil)
	}
	return b
}

func (b *bench) flush() {
	batch, _, err := b.e.Flush(time.UnixMilli(b.now.Milliseconds()))
	if err != nil {
		b.t.Fatal(err)
	}
	b.e.BatchStored(batch, b.now)
}

func (b *bench) look(id string, running []RunReport, ended []EndReport) {
	b.e.GrantLease(id, b.now)
	view, _ := b.e.Machine(id)
	b.e.PollAnswered(id, view.Token, PollResult{Born: 1, Clock: b.now.Milliseconds(), Sent: b.now, Running: running, Ended: ended}, b.now)
}

// submit stores a job of the queue q and returns its id.
func (b *bench) submit(steps ...Step) string { return b.submitTo("q", steps...) }

// submitTo stores a job and returns its id.
func (b *bench) submitTo(queue string, steps ...Step) string {
	b.n++
	id := fmt.Sprintf("%016d", b.n)
	if err := b.e.Submit(Job{ID: id, Queue: queue, Steps: steps, Accepted: b.now.Milliseconds()}, b.now,
		time.UnixMilli(b.now.Milliseconds()), func() {}); err != nil {
		b.t.Fatal(err)
	}
	b.flush()
	return id
}

// plan makes a pass, confirms all starts and returns where the tasks went.
func (b *bench) plan() map[string]string {
	b.now += 10 * time.Millisecond
	out := map[string]string{}
	for _, o := range b.e.Plan(b.now).Starts {
		out[o.Task] = o.Machine.ID
		b.e.StartAnswered(o, Started, b.now)
	}
	return out
}

func worker(id string, labels ...string) Machine {
	return Machine{ID: id, Born: 1, Service: "s", Rack: "r-" + id, Labels: labels, Capacity: machine.Resources{CPUMilli: 4000, MemoryMiB: 8000}}
}

var plainQueue = []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Target: time.Second}}

func small(count int) Step {
	return Step{Count: count, Estimate: time.Second, Need: machine.Resources{CPUMilli: 1000, MemoryMiB: 1000}}
}

// TestFieldsOfSteps guards against fields of a job that placing ignores.
func TestFieldsOfSteps(t *testing.T) {
	t.Run("label", func(t *testing.T) {
		b := newBench(t, plainQueue, worker("m1", "a"), worker("m2", "b"))
		s := small(3)
		s.Label = "b"
		b.submit(s)
		for task, m := range b.plan() {
			if m != "m2" {
				t.Errorf("%s is on %s, which lacks the label", task, m)
			}
		}
	})
	t.Run("data rack", func(t *testing.T) {
		b := newBench(t, plainQueue, worker("m1"), worker("m2"), worker("m3"))
		s := small(2)
		s.DataRack = "r-m3"
		b.submit(s)
		for task, m := range b.plan() {
			if m != "m3" {
				t.Errorf("%s is on %s, away from its data", task, m)
			}
		}
	})
	t.Run("per machine", func(t *testing.T) {
		b := newBench(t, plainQueue, worker("m1"), worker("m2"))
		s := small(3)
		s.MaxPerMachine = 1
		b.submit(s)
		if got := b.plan(); len(got) != 2 || got["0000000000000001.0.0.0"] == got["0000000000000001.0.0.1"] {
			t.Errorf("placed %v, want one task on each machine", got)
		}
	})
	t.Run("fillers away from serving tasks", func(t *testing.T) {
		b := newBench(t, plainQueue, worker("m1"), worker("m2"))
		serving := small(1)
		serving.Persistent, serving.LatencyTarget = true, 50
		b.submit(serving)
		var at string
		for _, m := range b.plan() {
			at = m
		}
		filler := small(4)
		filler.Filler = true
		b.submit(filler)
		got := b.plan()
		if len(got) != 4 {
			t.Errorf("placed %v, want 4 tasks", got)
		}
		for task, m := range got {
			if m == at {
				t.Errorf("%s fills the machine of a serving task", task)
			}
		}
	})
	t.Run("fillers take no processors", func(t *testing.T) {
		b := newBench(t, plainQueue, worker("m1"))
		b.submit(small(4)) // all processors
		b.plan()
		filler := small(2)
		filler.Filler = true
		b.submit(filler)
		if got := b.plan(); len(got) != 2 {
			t.Errorf("placed %v, want 2 tasks", got)
		}
	})
	t.Run("rack-local gang", func(t *testing.T) {
		m1, m2, m3 := worker("m1"), worker("m2"), worker("m3")
		m2.Rack, m3.Rack = "r-x", "r-x"
		b := newBench(t, plainQueue, m1, m2, m3)
		s := small(8)
		s.Gang, s.RackLocal = true, true
		b.submit(s)
		got := b.plan()
		if len(got) != 8 {
			t.Fatalf("placed %v, want 8 tasks", got)
		}
		for task, m := range got {
			if m == "m1" {
				t.Errorf("%s is outside the rack that could hold the gang", task)
			}
		}
	})
	t.Run("occurrences", func(t *testing.T) {
		b := newBench(t, plainQueue, worker("m1"))
		j := Job{ID: "00000000000000aa", Queue: "q", Steps: []Step{small(1)}, Accepted: b.now.Milliseconds(),
			FirstDue: b.now.Milliseconds() + 500, Interval: time.Second, Repeat: 2}
		if err := b.e.Submit(j, b.now, time.UnixMilli(b.now.Milliseconds()), func() {}); err != nil {
			t.Fatal(err)
		}
		b.flush()
		if got := b.plan(); len(got) != 0 {
			t.Errorf("placed %v before it is due", got)
		}
		b.now += 500 * time.Millisecond
		b.look("m1", nil, nil)
		if got := b.plan(); len(got) != 1 || got["00000000000000aa.0.0.0"] == "" {
			t.Errorf("placed %v, want occurrence 0", got)
		}
	})
}

// TestGangStartsWhole guards against a gang of which only a part is started.
func TestGangStartsWhole(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"), worker("m2"))
	s := small(9) // 8 fit
	s.Gang = true
	b.submit(s)
	if got := b.plan(); len(got) != 0 {
		t.Errorf("started %d members of a gang that does not fit", len(got))
	}
	s.Count = 8
	b.submit(s)
	if got := b.plan(); len(got) != 8 {
		t.Errorf("started %d of 8 members", len(got))
	}
}

// TestFailuresAreCounted guards against a job that is tried more often than
// allowed, and against attempts on the machine on which the task has just failed.
func TestFailuresAreCounted(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"), worker("m2"))
	id := b.submit(small(1))
	first := b.plan()[id+".0.0.0"]
	b.look(first, nil, []EndReport{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: EndFailed}})
	second := b.plan()[id+".0.0.0"]
	if second == "" || second == first {
		t.Errorf("after a failure on %s the task went to %q", first, second)
	}
	b.look(second, nil, []EndReport{{Number: 1, Task: id + ".0.0.0", Run: 2, Kind: EndFailed}})
	b.flush()
	if state, _ := b.e.State(id); state != Failed {
		t.Errorf("after two of two attempts the job is %s", state)
	}
	if got := b.plan(); len(got) != 0 {
		t.Errorf("started %v after the job had failed", got)
	}
}

// TestSickMachineIsLeftAlone guards against a machine that fails all that it starts
// and draws all work, since it always has room.
func TestSickMachineIsLeftAlone(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"), worker("m2"), worker("m3"))
	one, two := b.submit(small(1)), b.submit(small(1))
	got := b.plan()
	if got[one+".0.0.0"] != "m1" || got[two+".0.0.0"] != "m1" {
		t.Fatalf("placed %v, want both on m1", got)
	}
	b.look("m1", nil, []EndReport{
		{Number: 1, Task: one + ".0.0.0", Run: 1, Kind: EndFailed}, {Number: 2, Task: two + ".0.0.0", Run: 1, Kind: EndFailed},
	})
	b.submit(small(10))
	got = b.plan()
	if len(got) != 8 { // the room of the other two
		t.Errorf("placed %d tasks, want 8", len(got))
	}
	for task, m := range got {
		if m == "m1" {
			t.Errorf("%s went to a machine with failures of two jobs", task)
		}
	}
	b.now += failureMemory
	b.look("m1", nil, nil)
	if got := b.plan(); len(got) == 0 {
		t.Error("the machine is not tried again after its failures are forgotten")
	}
}

// TestFinalStateIsShownOnceStored guards against a job that is shown as completed
// and would run again if the leader died.
func TestFinalStateIsShownOnceStored(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"))
	id := b.submit(small(1))
	b.plan()
	b.look("m1", nil, []EndReport{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: EndDone}})
	if _, ack := b.e.GrantLease("m1", b.now); ack != 0 {
		t.Errorf("the end is acknowledged up to %d before it is stored", ack)
	}
	if state, _ := b.e.State(id); state != Running {
		t.Errorf("before its record is stored the job is %s", state)
	}
	b.flush()
	if state, _ := b.e.State(id); state != Completed {
		t.Errorf("the job is %s", state)
	}
	if _, ack := b.e.GrantLease("m1", b.now); ack != 1 {
		t.Errorf("the end is acknowledged up to %d, want 1", ack)
	}
}

// TestGangMemberGoesElsewhere guards against a gang that is started again as a
// whole because a member is sent to a machine that has closed its number.
func TestGangMemberGoesElsewhere(t *testing.T) {
	b := newBench(t, plainQueue, worker("m1"), worker("m2"), worker("m3"))
	s := small(4)
	s.Gang = true
	id := b.submit(s)
	b.now += 10 * time.Millisecond
	var lost Start
	for _, o := range b.e.Plan(b.now).Starts {
		if o.Task == id+".0.0.0" {
			lost = o
			b.e.StartAnswered(o, Unanswered, b.now)
			continue
		}
		b.e.StartAnswered(o, Started, b.now)
	}
	var closed Stop
	for _, o := range b.e.Plan(b.now).Stops {
		closed = o
	}
	if closed.Task != lost.Task || closed.Run != lost.Run {
		t.Fatalf("stopped %+v, want the start without an answer", closed)
	}
	b.now += 20 * time.Millisecond
	b.e.StopAnswered(closed, true, b.now)
	b.now += 20 * time.Millisecond
	var present []RunReport
	for i := 1; i < 4; i++ {
		r := b.e.findTask(fmt.Sprintf("%s.0.0.%d", id, i)).run
		if r.machine.spec.ID == lost.Machine.ID {
			present = append(present, RunReport{Task: r.task.name, Run: r.number})
		}
	}
	b.look(lost.Machine.ID, present, nil)
	again := b.plan()
	if at := again[lost.Task]; at == "" || at == lost.Machine.ID {
		t.Errorf("the member went to %q; %s has closed its number", at, lost.Machine.ID)
	}
	if r := b.e.findTask(lost.Task).run; r == nil || r.number != lost.Run {
		t.Error("the member does not carry the number of its gang")
	}
}
