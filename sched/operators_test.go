package sched

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// TestLongTasksAreNotStuck guards against long work that is stopped and started
// elsewhere because its progress, in whole percent, stands still between two looks.
func TestLongTaskIsNotStuck(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	step := smallStep(1)
	step.Estimate = 10 * time.Minute
	f.submit(step)
	placed := f.planAndConfirm()
	for name, id := range placed {
		for range 10 {
			f.now += 500 * time.Millisecond
			f.poll(id, []RunReport{{Task: name, Run: 1}}, nil)
			if stops := f.engine.Plan(f.now).Stops; len(stops) > 0 {
				t.Fatalf("stopped after %v of ten minutes: %+v", f.now-time.Second, stops)
			}
		}
	}
	if len(placed) != 1 {
		t.Fatalf("started %v, want one task", placed)
	}
}

// TestStuckTasksMove guards against work on a machine whose tasks stand still that
// is left there.
func TestStuckRunOfLongTaskIsMoved(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	step := smallStep(1)
	step.Estimate = 3 * time.Second
	f.submit(step)
	stops := 0
	for name, id := range f.planAndConfirm() {
		for range 10 {
			f.now += 500 * time.Millisecond
			f.poll(id, []RunReport{{Task: name, Run: 1, Percent: 20}}, nil)
			stops += len(f.engine.Plan(f.now).Stops)
		}
	}
	if stops == 0 {
		t.Error("a task without progress for 5 s is not moved")
	}
}

// TestLeftMachineStaysOut guards against a machine that has left being used again
// by a leader that finds it in the stored records.
func TestUnlistedMachineGetsNoWork(t *testing.T) {
	f := newEngineFixture(t, plainQueues)
	data, err := cbor.Marshal(machineRecord{Machine: worker("gone")})
	if err != nil {
		t.Fatal(err)
	}
	f.engine.Restore([]Record{{Key: machineKey("gone"), Value: data}}, f.now, time.UnixMilli(0))
	f.engine.SetMachines([]Machine{worker("a")}, f.now)
	f.flush()
	f.poll("a", nil, nil)
	f.poll("gone", nil, nil) // it still answers
	f.submit(smallStep(2))
	for name, id := range f.planAndConfirm() {
		if id == "gone" {
			t.Errorf("task %s was started on a machine that is not in the host list", name)
		}
	}
	f.now += 10 * time.Second
	f.poll("a", nil, nil)
	f.planAndConfirm()
	if _, known := f.engine.Machine("gone"); known {
		t.Error("a machine that has left is still looked at after its leases have ended")
	}
}

// TestSilentMachineKeepsItsWork guards against work that is started again, or given
// up, because its machine did not answer for a while that is shorter than its lease.
func TestUnresponsiveMachineKeepsItsRuns(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.submit(smallStep(1))
	for name, id := range f.planAndConfirm() {
		f.poll(id, []RunReport{{Task: name, Run: 1, Percent: 1}}, nil)
		f.engine.PollUnanswered(id)
		for range 10 {
			f.now += 500 * time.Millisecond
			if orders := f.engine.Plan(f.now); len(orders.Starts)+len(orders.Stops) > 0 {
				t.Fatalf("orders for a silent machine's work: %+v", orders)
			}
		}
		f.flush()
		f.poll(id, []RunReport{{Task: name, Run: 1, Percent: 60}}, nil)
		if orders := f.engine.Plan(f.now); len(orders.Starts)+len(orders.Stops) > 0 {
			t.Fatalf("orders after the machine has answered again: %+v", orders)
		}
		f.poll(id, nil, []EndReport{{Number: 1, Task: name, Run: 1, Kind: EndDone}})
	}
	if s := f.engine.Stats(); s.Completed != 1 || s.Starts != 1 {
		t.Errorf("stats %+v, want one start and one completed job", s)
	}
}

// TestWaitingStepsSayWhy guards against a job that waits for long without a line in
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
		t.Errorf("%d lines in 10 s, want one each 3 s with the reason:\n%s", lines, out.String())
	}
}

// TestQueueMovesToAnotherService guards against a start on a machine of the service
// that a queue had when the advisor allowed the machine.
func TestQueueMovesToAnotherService(t *testing.T) {
	queue := func(name, service string) Queue {
		return Queue{Name: name, Service: service, MaxAttempts: 2, Stretch: 2, Advisor: &Advisor{TicketLife: time.Minute}}
	}
	other := worker("b")
	other.Service = "t"
	f := newEngineFixture(t, []Queue{queue("q", "s"), queue("r", "s")}, worker("a"), other)
	f.submitTo("r", smallStep(1)) // its turn comes first, so the machines of service s are in the pass
	moved := f.submit(smallStep(1))
	f.planAndConfirm()
	for {
		ask, ok := f.engine.NextAdviceRequest(time.Hour, false, f.now)
		if !ok {
			break
		}
		f.engine.AdviceAnswered(ask, map[string]string{"a": "ticket", "b": "ticket"}, time.Minute, true, f.now, f.now)
	}
	f.engine.SetQueues(2, []Queue{queue("q", "t"), queue("r", "s")})
	for name, id := range f.planAndConfirm() {
		if name[:16] == moved && id == "a" {
			t.Errorf("task %s starts on machine a of service s, its queue belongs to service t", name)
		}
	}
}
