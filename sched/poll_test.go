package sched

import (
	"testing"
	"time"
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
