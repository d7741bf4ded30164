package sched

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// TestPlacementHonoursStepFields guards against fields of a step that Plan ignores.
func TestPlacementHonoursStepFields(t *testing.T) {
	t.Run("label", func(t *testing.T) {
		f := newEngineFixture(t, plainQueues, worker("m1", "a"), worker("m2", "b"))
		s := smallStep(3)
		s.Label = "b"
		f.submit(s)
		for task, m := range f.planAndConfirm() {
			if m != "m2" {
				t.Errorf("%s is on %s, which lacks the label", task, m)
			}
		}
	})
	t.Run("data rack", func(t *testing.T) {
		f := newEngineFixture(t, plainQueues, worker("m1"), worker("m2"), worker("m3"))
		s := smallStep(2)
		s.DataRack = "r-m3"
		f.submit(s)
		for task, m := range f.planAndConfirm() {
			if m != "m3" {
				t.Errorf("%s is on %s, away from its data", task, m)
			}
		}
	})
	t.Run("per machine", func(t *testing.T) {
		f := newEngineFixture(t, plainQueues, worker("m1"), worker("m2"))
		s := smallStep(3)
		s.MaxPerMachine = 1
		f.submit(s)
		if got := f.planAndConfirm(); len(got) != 2 || got["0000000000000001.0.0.0"] == got["0000000000000001.0.0.1"] {
			t.Errorf("placed %v, want one task on each machine", got)
		}
	})
	t.Run("fillers avoid serving tasks", func(t *testing.T) {
		f := newEngineFixture(t, plainQueues, worker("m1"), worker("m2"))
		serving := smallStep(1)
		serving.Persistent, serving.LatencyTarget = true, 50
		f.submit(serving)
		var servingMachine string
		for _, m := range f.planAndConfirm() {
			servingMachine = m
		}
		filler := smallStep(4)
		filler.Filler = true
		f.submit(filler)
		got := f.planAndConfirm()
		if len(got) != 4 {
			t.Errorf("placed %v, want 4 tasks", got)
		}
		for task, m := range got {
			if m == servingMachine {
				t.Errorf("filler task %s is on the machine of a serving task", task)
			}
		}
	})
	t.Run("fillers take no processors", func(t *testing.T) {
		f := newEngineFixture(t, plainQueues, worker("m1"))
		f.submit(smallStep(4)) // all processors
		f.planAndConfirm()
		filler := smallStep(2)
		filler.Filler = true
		f.submit(filler)
		if got := f.planAndConfirm(); len(got) != 2 {
			t.Errorf("placed %v, want 2 tasks", got)
		}
	})
	t.Run("rack-local gang", func(t *testing.T) {
		m1, m2, m3 := worker("m1"), worker("m2"), worker("m3")
		m2.Rack, m3.Rack = "r-x", "r-x"
		f := newEngineFixture(t, plainQueues, m1, m2, m3)
		s := smallStep(8)
		s.Gang, s.RackLocal = true, true
		f.submit(s)
		got := f.planAndConfirm()
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
		f := newEngineFixture(t, plainQueues, worker("m1"))
		j := Job{ID: "00000000000000aa", Queue: "q", Steps: []Step{smallStep(1)}, Accepted: f.now.Milliseconds(),
			FirstDue: f.now.Milliseconds() + 500, Interval: time.Second, Repeat: 2}
		if err := f.engine.Submit(j, f.now, time.UnixMilli(f.now.Milliseconds()), func(error) {}); err != nil {
			t.Fatal(err)
		}
		f.flush()
		if got := f.planAndConfirm(); len(got) != 0 {
			t.Errorf("placed %v before it is due, want nothing", got)
		}
		f.now += 500 * time.Millisecond
		f.poll("m1", nil, nil)
		if got := f.planAndConfirm(); len(got) != 1 || got["00000000000000aa.0.0.0"] == "" {
			t.Errorf("placed %v, want occurrence 0", got)
		}
	})
}

// TestGangStartsCompleteOrNotAtAll guards against a gang of which only some members are
// started.
func TestGangStartsCompleteOrNotAtAll(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"), worker("m2"))
	s := smallStep(9) // 8 fit
	s.Gang = true
	f.submit(s)
	if got := f.planAndConfirm(); len(got) != 0 {
		t.Errorf("started %d members of a gang that does not fit, want none", len(got))
	}
	s.Count = 8
	f.submit(s)
	if got := f.planAndConfirm(); len(got) != 8 {
		t.Errorf("started %d of 8 members, want all", len(got))
	}
}

// TestFailedAttemptsAreLimited guards against a task that is started more often than
// allowed, and against attempts on the machine on which the task has just failed.
func TestFailedAttemptsAreLimited(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"), worker("m2"))
	id := f.submit(smallStep(1))
	first := f.planAndConfirm()[id+".0.0.0"]
	f.poll(first, nil, []EndReport{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: EndFailed}})
	second := f.planAndConfirm()[id+".0.0.0"]
	if second == "" || second == first {
		t.Errorf("after a failure on %s the task went to %q, want the other machine", first, second)
	}
	f.poll(second, nil, []EndReport{{Number: 1, Task: id + ".0.0.0", Run: 2, Kind: EndFailed}})
	f.flush()
	if state, _ := f.engine.State(id); state != Failed {
		t.Errorf("after two of two attempts the job is %s, want failed", state)
	}
	if got := f.planAndConfirm(); len(got) != 0 {
		t.Errorf("started %v after the job had failed", got)
	}
}

// TestFailingMachineGetsNoWork guards against a machine that fails everything that it
// starts and therefore attracts all work, since it always has free capacity.
func TestFailingMachineGetsNoWork(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"), worker("m2"), worker("m3"))
	first, second := f.submit(smallStep(1)), f.submit(smallStep(1))
	got := f.planAndConfirm()
	if got[first+".0.0.0"] != "m1" || got[second+".0.0.0"] != "m1" {
		t.Fatalf("placed %v, want both on m1", got)
	}
	f.poll("m1", nil, []EndReport{
		{Number: 1, Task: first + ".0.0.0", Run: 1, Kind: EndFailed},
		{Number: 2, Task: second + ".0.0.0", Run: 1, Kind: EndFailed},
	})
	f.submit(smallStep(10))
	got = f.planAndConfirm()
	if len(got) != 8 { // the capacity of the other two machines
		t.Errorf("placed %d tasks, want 8", len(got))
	}
	for task, m := range got {
		if m == "m1" {
			t.Errorf("%s went to a machine with failures of two jobs", task)
		}
	}
	f.now += failureMemory
	f.poll("m1", nil, nil)
	if got := f.planAndConfirm(); len(got) == 0 {
		t.Error("the machine is not tried again after its failures are forgotten")
	}
}

// TestFinalStateIsShownOnceStored guards against a job that is shown as completed but
// would run again under the next leader, because its final state was not stored.
func TestFinalStateIsShownOnceStored(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"))
	id := f.submit(smallStep(1))
	f.planAndConfirm()
	f.poll("m1", nil, []EndReport{{Number: 1, Task: id + ".0.0.0", Run: 1, Kind: EndDone}})
	if _, ack := f.engine.GrantLease("m1", f.now); ack != 0 {
		t.Errorf("the end is acknowledged up to %d before it is stored, want 0", ack)
	}
	if state, _ := f.engine.State(id); state != Running {
		t.Errorf("before its record is stored the job is %s, want running", state)
	}
	f.flush()
	if state, _ := f.engine.State(id); state != Completed {
		t.Errorf("once its record is stored the job is %s, want completed", state)
	}
	if _, ack := f.engine.GrantLease("m1", f.now); ack != 1 {
		t.Errorf("the end is acknowledged up to %d, want 1", ack)
	}
}

// TestMemberAvoidsMachineThatClosedItsRun guards against a gang whose attempt is aborted
// because a member is started on a machine that refuses its run number: a stop with that
// number has closed it there after an unanswered start.
func TestMemberAvoidsMachineThatClosedItsRun(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("m1"), worker("m2"), worker("m3"))
	s := smallStep(4)
	s.Gang = true
	id := f.submit(s)
	f.now += 10 * time.Millisecond
	var unanswered Start
	for _, o := range f.engine.Plan(f.now).Starts {
		if o.Task == id+".0.0.0" {
			unanswered = o
			f.engine.StartAnswered(o, Unanswered, f.now)
			continue
		}
		f.engine.StartAnswered(o, Started, f.now)
	}
	var stop Stop
	for _, o := range f.engine.Plan(f.now).Stops {
		stop = o
	}
	if stop.Task != unanswered.Task || stop.Run != unanswered.Run {
		t.Fatalf("stopped %+v, want the run whose start was not answered", stop)
	}
	f.now += 20 * time.Millisecond
	f.engine.StopAnswered(stop, true, f.now)
	f.now += 20 * time.Millisecond
	var listed []RunReport
	for i := 1; i < 4; i++ {
		r := f.engine.findTask(fmt.Sprintf("%s.0.0.%d", id, i)).run
		if r.machine.spec.ID == unanswered.Machine.ID {
			listed = append(listed, RunReport{Task: r.task.name, Run: r.number})
		}
	}
	f.poll(unanswered.Machine.ID, listed, nil)
	again := f.planAndConfirm()
	if newMachine := again[unanswered.Task]; newMachine == "" || newMachine == unanswered.Machine.ID {
		t.Errorf("the member went to %q; %s has closed its run number", newMachine, unanswered.Machine.ID)
	}
	if r := f.engine.findTask(unanswered.Task).run; r == nil || r.number != unanswered.Run {
		t.Error("the member does not have the run number of its gang")
	}
}

// TestWaitingStepLogsReason guards against a job that waits for long without a line in
// the log, and against a line for each pass.
func TestWaitingStepLogsReason(t *testing.T) {
	var out bytes.Buffer
	f := newEngineFixture(t, plainQueues, worker("a"))
	f.engine.log = zerolog.New(&out)
	f.submit(Step{Count: 2, Estimate: time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	f.planAndConfirm()
	for range 20 {
		f.now += 500 * time.Millisecond
		f.poll("a", []RunReport{{Task: "0000000000000001.0.0.0", Run: 1, Percent: 50}}, nil)
		f.engine.Plan(f.now)
	}
	lines := strings.Count(out.String(), `"event":"step_waits"`)
	if lines < 2 || lines > 4 || !strings.Contains(out.String(), `"reason":"no_room_on_allowed_machines"`) {
		t.Errorf("%d lines in 10 s, want one every 3 s with the reason:\n%s", lines, out.String())
	}
}

// TestQueueMovesToAnotherService guards against a start on a machine of the service to
// which the queue belonged when the advisor allowed the machine.
func TestQueueMovesToAnotherService(t *testing.T) {
	queue := func(name, service string) Queue {
		return Queue{Name: name, Service: service, MaxAttempts: 2, Stretch: 2, Advisor: &Advisor{TicketLife: time.Minute}}
	}
	other := worker("b")
	other.Service = "t"
	f := newEngineFixture(t, []Queue{queue("q", "s"), queue("r", "s")}, worker("a"), other)
	f.submitTo("r", smallStep(1)) // placed first, so that the pass has the machines of service s
	moved := f.submit(smallStep(1))
	f.planAndConfirm()
	for {
		request, ok := f.engine.NextAdviceRequest(time.Hour, false, f.now)
		if !ok {
			break
		}
		f.engine.AdviceAnswered(request, map[string]string{"a": "ticket", "b": "ticket"}, time.Minute, true, f.now, f.now)
	}
	f.engine.SetQueues(2, []Queue{queue("q", "t"), queue("r", "s")})
	for name, id := range f.planAndConfirm() {
		if name[:16] == moved && id == "a" {
			t.Errorf("task %s starts on machine a of service s, its queue belongs to service t", name)
		}
	}
}
