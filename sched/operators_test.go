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
func TestLongTasksAreNotStuck(t *testing.T) {
	b := newBench(t, plainQueue, worker("a"), worker("b"))
	step := small(1)
	step.Estimate = 10 * time.Minute
	b.submit(step)
	placed := b.plan()
	for name, id := range placed {
		for range 10 {
			b.now += 500 * time.Millisecond
			b.look(id, []RunReport{{Task: name, Run: 1}}, nil)
			if stops := b.e.Plan(b.now).Stops; len(stops) > 0 {
				t.Fatalf("stopped after %v of ten minutes: %+v", b.now-time.Second, stops)
			}
		}
	}
	if len(placed) != 1 {
		t.Fatalf("started %v, want one task", placed)
	}
}

// TestStuckTasksMove guards against work on a machine whose tasks stand still that
// is left there.
func TestStuckTasksMove(t *testing.T) {
	b := newBench(t, plainQueue, worker("a"), worker("b"))
	step := small(1)
	step.Estimate = 3 * time.Second
	b.submit(step)
	stops := 0
	for name, id := range b.plan() {
		for range 10 {
			b.now += 500 * time.Millisecond
			b.look(id, []RunReport{{Task: name, Run: 1, Percent: 20}}, nil)
			stops += len(b.e.Plan(b.now).Stops)
		}
	}
	if stops == 0 {
		t.Error("a task without progress for 5 s is not moved")
	}
}

// TestLeftMachineStaysOut guards against a machine that has left being used again
// by a leader that finds it in the stored records.
func TestLeftMachineStaysOut(t *testing.T) {
	b := newBench(t, plainQueue)
	data, err := cbor.Marshal(machineRecord{Machine: worker("gone")})
	if err != nil {
		t.Fatal(err)
	}
	b.e.Restore([]Record{{Key: machineKey("gone"), Value: data}}, b.now, time.UnixMilli(0))
	b.e.SetMachines([]Machine{worker("a")}, b.now)
	b.flush()
	b.look("a", nil, nil)
	b.look("gone", nil, nil) // it still answers
	b.submit(small(2))
	for name, id := range b.plan() {
		if id == "gone" {
			t.Errorf("task %s was started on a machine that is not in the host list", name)
		}
	}
	b.now += 10 * time.Second
	b.look("a", nil, nil)
	b.plan()
	if _, known := b.e.Machine("gone"); known {
		t.Error("a machine that has left is still looked at after its leases have ended")
	}
}

// TestSilentMachineKeepsItsWork guards against work that is started again, or given
// up, because its machine did not answer for a while that is shorter than its lease.
func TestSilentMachineKeepsItsWork(t *testing.T) {
	b := newBench(t, plainQueue, worker("a"), worker("b"))
	b.submit(small(1))
	for name, id := range b.plan() {
		b.look(id, []RunReport{{Task: name, Run: 1, Percent: 1}}, nil)
		b.e.PollUnanswered(id)
		for range 10 {
			b.now += 500 * time.Millisecond
			if orders := b.e.Plan(b.now); len(orders.Starts)+len(orders.Stops) > 0 {
				t.Fatalf("orders for a silent machine's work: %+v", orders)
			}
		}
		b.flush()
		b.look(id, []RunReport{{Task: name, Run: 1, Percent: 60}}, nil)
		if orders := b.e.Plan(b.now); len(orders.Starts)+len(orders.Stops) > 0 {
			t.Fatalf("orders after the machine has answered again: %+v", orders)
		}
		b.look(id, nil, []EndReport{{Number: 1, Task: name, Run: 1, Kind: EndDone}})
	}
	if s := b.e.Stats(); s.Completed != 1 || s.Starts != 1 {
		t.Errorf("stats %+v, want one start and one completed job", s)
	}
}

// TestWaitingStepsSayWhy guards against a job that waits for long without a line in
// the log, and against a line for each pass.
func TestWaitingStepsSayWhy(t *testing.T) {
	var out bytes.Buffer
	b := newBench(t, plainQueue, worker("a"))
	b.e.log = zerolog.New(&out)
	b.submit(Step{Count: 2, Estimate: time.Second, Need: machine.Resources{CPUMilli: 4000, MemoryMiB: 100}})
	b.plan()
	for range 20 {
		b.now += 500 * time.Millisecond
		b.look("a", []RunReport{{Task: "0000000000000001.0.0.0", Run: 1, Percent: 50}}, nil)
		b.e.Plan(b.now)
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
	b := newBench(t, []Queue{queue("q", "s"), queue("r", "s")}, worker("a"), other)
	b.submitTo("r", small(1)) // its turn comes first, so the machines of service s are in the pass
	moved := b.submit(small(1))
	b.plan()
	for {
		ask, ok := b.e.NextAdviceRequest(time.Hour, false, b.now)
		if !ok {
			break
		}
		b.e.AdviceAnswered(ask, map[string]string{"a": "ticket", "b": "ticket"}, time.Minute, true, b.now, b.now)
	}
	b.e.SetQueues(2, []Queue{queue("q", "t"), queue("r", "s")})
	for name, id := range b.plan() {
		if name[:16] == moved && id == "a" {
			t.Errorf("task %s starts on machine a of service s, its queue belongs to service t", name)
		}
	}
}
