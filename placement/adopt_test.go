package placement

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against a task that is placed a second time, or a worker of which resources in
// use are assigned again, after a takeover: running tasks are adopted before or after
// their job is restored, and before their worker is known.
func TestAdoptedTasksAreNotPlacedAgain(t *testing.T) {
	for _, adoptFirst := range []bool{true, false} {
		e := New(Config{})
		j := batchJob("j", 3, resources(8000, 1024))
		found := workload.Task{ID: workload.TaskID("j", 1), Attempt: 4, Job: "j", Team: "t", Kind: workload.Batch,
			Preemptible: true, Resources: j.Resources, RunTime: j.RunTime}
		if !adoptFirst {
			if err := e.Restore(j, startTime); err != nil {
				t.Fatal(err)
			}
		}
		e.Adopt(found, "w0")
		e.Adopt(found, "w0")
		if adoptFirst {
			if err := e.Restore(j, startTime); err != nil {
				t.Fatal(err)
			}
		}
		e.SetNode(newWorkers(1, 1, italianZones, resources(16_000, 32_768))[0])
		got := placeAll(e, startTime)
		if len(got) != 1 || got[0].Task.ID == found.ID {
			t.Fatalf("adopted before the restore %v: placed %+v, want one other task", adoptFirst, got)
		}
		now := startTime.Add(time.Second)
		e.Finish(found.ID, found.Attempt-1, TaskResult{State: workload.Finished}, now) // about an older attempt
		if again := placeAll(e, now); len(again) != 0 {
			t.Fatalf("a report about an older attempt freed resources: %+v was placed", again)
		}
		e.Finish(found.ID, found.Attempt, TaskResult{State: workload.Finished}, now)
		for _, a := range append(placeAll(e, now), got...) {
			finishTask(e, a, workload.Finished, now)
		}
		if x, _ := e.Explain("j"); x.State != JobFinished || x.Finished != 3 {
			t.Fatalf("got %+v, want a finished job of 3 tasks", x)
		}
	}
}

// Guards against a gang of which a part keeps running, or starts alone, after one of its
// tasks has failed.
func TestGangRestartsAsAWhole(t *testing.T) {
	e := newEngineWithWorkers(4, Config{})
	gang := batchJob("g", 3, resources(8000, 1024))
	gang.Kind, gang.Retries = workload.Gang, 2
	mustSubmit(t, e, gang, startTime)
	first := placeAll(e, startTime)
	if len(first) != 3 {
		t.Fatalf("%d of 3 tasks started", len(first))
	}
	finishTask(e, first[0], workload.Failed, startTime)
	stops := e.TakeStopRequests()
	if len(stops) != 2 {
		t.Fatalf("got stops %+v, want those of the 2 other tasks", stops)
	}
	for _, s := range stops {
		if again := placeAll(e, startTime.Add(time.Hour)); len(again) != 0 {
			t.Fatalf("%d tasks start while others still run", len(again))
		}
		e.Finish(s.Task.ID, s.Task.Attempt, TaskResult{State: workload.Checkpointed}, startTime)
	}
	if again := placeAll(e, startTime.Add(time.Hour)); len(again) != 3 {
		t.Fatalf("%d of 3 tasks restarted", len(again))
	}
}
