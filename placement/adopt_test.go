package placement

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against a task that is placed a second time, or a worker that is filled
// a second time, after a takeover in which running tasks are found before or
// after their job is read, and before their worker is known.
func TestAdoptedTasksAreNotPlacedAgain(t *testing.T) {
	for _, adoptFirst := range []bool{true, false} {
		e := New(Config{})
		j := batch("j", 3, res(8000, 1024))
		found := workload.Task{ID: workload.TaskID("j", 1), Attempt: 4, Job: "j", Team: "t", Kind: workload.Batch,
			Preempt: true, Resources: j.Resources, RunTime: j.RunTime}
		if !adoptFirst {
			if err := e.Restore(j, start); err != nil {
				t.Fatal(err)
			}
		}
		e.Adopt(found, "w0")
		e.Adopt(found, "w0")
		if adoptFirst {
			if err := e.Restore(j, start); err != nil {
				t.Fatal(err)
			}
		}
		e.SetNode(workers(1, 1, ritagliZones, res(16_000, 32_768))[0])
		got := place(e, start)
		if len(got) != 1 || got[0].Task.ID == found.ID {
			t.Fatalf("adopt first %v: placed %+v", adoptFirst, got)
		}
		now := start.Add(time.Second)
		e.Finish(found.ID, found.Attempt-1, TaskResult{State: workload.Finished}, now) // a stale report
		if more := place(e, now); len(more) != 0 {
			t.Fatalf("a stale report freed room: %+v", more)
		}
		e.Finish(found.ID, found.Attempt, TaskResult{State: workload.Finished}, now)
		for _, a := range append(place(e, now), got...) {
			finish(e, a, workload.Finished, now)
		}
		if x, _ := e.Explain("j"); x.State != JobFinished || x.Finished != 3 {
			t.Fatalf("got %+v", x)
		}
	}
}

// Guards against a gang that goes on in part after a member failed or was refused.
func TestGangRestartsWhole(t *testing.T) {
	e := cell(4, Config{})
	g := batch("g", 3, res(8000, 1024))
	g.Kind, g.Retries = workload.Gang, 2
	mustSubmit(t, e, g, start)
	first := place(e, start)
	if len(first) != 3 {
		t.Fatalf("%d members started", len(first))
	}
	finish(e, first[0], workload.Failed, start)
	stops := e.TakeStopRequests()
	if len(stops) != 2 {
		t.Fatalf("got %+v", stops)
	}
	for _, s := range stops {
		if again := place(e, start.Add(time.Hour)); len(again) != 0 {
			t.Fatalf("%d members start while others still run", len(again))
		}
		e.Finish(s.Task.ID, s.Task.Attempt, TaskResult{State: workload.Checkpointed}, start)
	}
	if again := place(e, start.Add(time.Hour)); len(again) != 3 {
		t.Fatalf("%d of 3 members restarted", len(again))
	}
}
