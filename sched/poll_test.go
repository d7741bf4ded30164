package sched

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
)

// TestUnreadableRowsDoNotEndRuns guards against a task that is started again because the
// row that lists its run could not be read.
func TestUnreadableRowsDoNotEndRuns(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	f.submit(smallStep(1))
	placed := f.planAndConfirm()
	if len(placed) != 1 {
		t.Fatalf("started %v, want one task", placed)
	}
	for task, id := range placed {
		f.now += time.Second
		f.engine.PollAnswered(id, 256,
			PollResult{Born: 1, Clock: f.now.Milliseconds(), Sent: f.now, Unreadable: 1}, f.now)
		if again := f.planAndConfirm(); len(again) != 0 {
			t.Errorf("task %s was started again: %v", task, again)
		}
	}
}

// answer reports the answer of a machine to a poll that was sent now.
func (f *engineFixture) answer(id string, result PollResult) {
	f.engine.GrantLease(id, f.now)
	view, _ := f.engine.Machine(id)
	result.Born, result.Clock, result.Sent = 1, f.now.Milliseconds(), f.now
	f.engine.PollAnswered(id, view.Token, result, f.now)
}

// TestRunsWithEndsOnALaterPageAreKept guards against tasks that have ended and are started again, because
// their machine had more ends to list than one answer holds, as after a partition.
func TestRunsWithEndsOnALaterPageAreKept(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"))
	job := f.submit(smallStep(2))
	if placed := f.planAndConfirm(); len(placed) != 2 {
		t.Fatalf("started %v, want two tasks", placed)
	}
	f.engine.SetMachines([]Machine{worker("a"), worker("b")}, f.now)
	f.flush()
	f.poll("b", nil, nil)
	f.now += time.Second
	f.answer("a", PollResult{MoreEnds: true, Ended: []EndReport{{Number: 1, Task: job + ".0.0.0", Run: 1, Kind: EndDone}}})
	if again := f.planAndConfirm(); len(again) != 0 {
		t.Errorf("started %v again, whose end may be on the next page", again)
	}
	f.answer("a", PollResult{Ended: []EndReport{{Number: 2, Task: job + ".0.0.1", Run: 1, Kind: EndDone}}})
	f.flush()
	if again := f.planAndConfirm(); len(again) != 0 {
		t.Errorf("started %v again after its end", again)
	}
	if n := f.engine.Stats().Completed; n != 1 {
		t.Errorf("%d jobs are completed, want 1", n)
	}
}

// TestNewLeaderReadsAllPagesOfEnds guards against a new leader that starts tasks again whose ends are on a
// later page than the first that it reads, also if it could not acknowledge that page for longer than a
// lease, as while the log is away.
func TestNewLeaderReadsAllPagesOfEnds(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
	job := f.submit(smallStep(2))
	records := encodeRecords(t, map[string]any{jobKey(job): jobRecord{Spec: &f.engine.jobs[job].spec},
		machineKey("a"): machineRecord{Machine: worker("a")}, machineKey("b"): machineRecord{Machine: worker("b")}})
	f.engine = New(Config{Token: 512, Lease: 6 * time.Second, StopLimit: 400 * time.Millisecond, Logger: zerolog.Nop()}, f.now)
	f.engine.SetQueues(1, plainQueues)
	f.engine.Restore(records, f.now, time.UnixMilli(f.now.Milliseconds()))
	f.engine.SetMachines([]Machine{worker("a"), worker("b")}, f.now)
	f.flush()
	firstPage := PollResult{MoreEnds: true, Ended: []EndReport{{Number: 1, Task: job + ".0.0.0", Run: 1, Kind: EndDone}}}
	for range 20 { // 10 s, in which nothing is stored and so the machine lists the same page
		f.now += 500 * time.Millisecond
		f.poll("b", nil, nil)
		f.answer("a", firstPage)
		if again := f.planAndConfirm(); len(again) != 0 {
			t.Fatalf("started %v before all ends of its machine were read", again)
		}
	}
	f.flush()
	f.answer("a", PollResult{Ended: []EndReport{{Number: 2, Task: job + ".0.0.1", Run: 1, Kind: EndDone}}})
	f.planAndConfirm()
	f.flush()
	if s := f.engine.Stats(); s.Completed != 1 || s.Starts != 0 {
		t.Errorf("%d jobs are completed after %d starts, want 1 after none", s.Completed, s.Starts)
	}
}

// TestUnreadPagesOfALostMachineHoldNothing guards against a new leader that never places restored jobs,
// because a machine was lost, or restarted and was lost, before all its ends were read.
func TestUnreadPagesOfALostMachineHoldNothing(t *testing.T) {
	for name, restart := range map[string]bool{"lost": false, "restarted and lost": true} {
		t.Run(name, func(t *testing.T) {
			f := newEngineFixture(t, plainQueues, worker("a"), worker("b"))
			job := f.submit(smallStep(1))
			records := encodeRecords(t, map[string]any{jobKey(job): jobRecord{Spec: &f.engine.jobs[job].spec},
				machineKey("a"): machineRecord{Machine: worker("a")}, machineKey("b"): machineRecord{Machine: worker("b")}})
			f.engine = New(Config{Token: 512, Lease: 6 * time.Second, StopLimit: 400 * time.Millisecond, Logger: zerolog.Nop()}, f.now)
			f.engine.SetQueues(1, plainQueues)
			f.engine.Restore(records, f.now, time.UnixMilli(f.now.Milliseconds()))
			f.engine.SetMachines([]Machine{worker("a"), worker("b")}, f.now)
			f.flush()
			f.answer("a", PollResult{MoreEnds: true})
			if restart {
				f.restart("a", 2)
			}
			f.engine.PollUnanswered("a")
			if _, ok := f.placedAgain("a", 10*time.Second); !ok {
				t.Error("the task is not started within 10 s")
			}
		})
	}
}

// encodeRecords returns the stored form of records by key.
func encodeRecords(t *testing.T, values map[string]any) []Record {
	var out []Record
	for key, value := range values {
		data, err := cbor.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, Record{Key: key, Value: data})
	}
	return out
}
