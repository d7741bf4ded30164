package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// drainNode marks a worker of the cell as draining.
func drainNode(e *Engine, id string) {
	n := e.nodes[id].Node
	n.Draining = true
	e.SetNode(n)
}

// Guards against services that stay on a drained worker, of which more than one task is
// unavailable at a time, or whose stopped task cannot start again because other work
// takes the capacity held for it.
func TestDrainReplacesServicesOneByOne(t *testing.T) {
	e := New(Config{})
	nodes := newWorkers(2, 2, italianZones, resources(16_000, 32_768))
	e.SetNode(nodes[0])
	web := workload.Job{ID: "web", Team: "t", Kind: workload.Service, Count: 3, Resources: resources(4000, 1024)}
	mustSubmit(t, e, web, startTime)
	running := make(map[string]Assignment)
	for _, a := range placeAll(e, startTime) {
		running[a.Task.ID] = a
	}
	now := startTime.Add(time.Second)
	drainNode(e, nodes[0].ID)
	e.Decide(now, 10)
	if stops := e.TakeStopRequests(); len(stops) != 0 {
		t.Fatalf("stopped while no other worker can take the tasks: %+v", stops)
	}
	e.SetNode(nodes[1])
	mustSubmit(t, e, batchJob("small", 10, resources(2000, 512)), now)
	moved := 0
	for range 20 {
		now = now.Add(time.Second)
		for _, a := range placeAll(e, now) {
			if a.Node != nodes[1].ID {
				t.Fatalf("%s was placed on the drained worker", a.Task.ID)
			}
			if a.Task.Job == "web" {
				if _, ok := running[a.Task.ID]; ok {
					t.Fatalf("%s was proposed again while it runs", a.Task.ID)
				}
				running[a.Task.ID] = a
				moved++
			}
		}
		stops := e.TakeStopRequests()
		if len(stops) > 1 || len(stops) == 1 && (stops[0].Mode != PreemptStop || stops[0].Reason != "drain") {
			t.Fatalf("got stops %+v, want at most one, to drain", stops)
		}
		if len(stops) == 1 {
			// Work that is submitted while the task stops must not get the capacity
			// held for it.
			mustSubmit(t, e, batchJob("grab", 100, resources(2000, 100)), now)
			placeAll(e, now)
			if len(e.TakeStopRequests()) != 0 {
				t.Fatal("a second task was stopped before the first had been replaced")
			}
			finishTask(e, running[stops[0].Task.ID], workload.Stopped, now)
			delete(running, stops[0].Task.ID)
			for _, a := range placeAll(e, now) {
				if a.Task.ID == stops[0].Task.ID {
					running[a.Task.ID] = a
					moved++
				}
			}
			if _, ok := running[stops[0].Task.ID]; !ok {
				t.Fatalf("%s was not placed again after its stop", stops[0].Task.ID)
			}
		}
	}
	if moved < 1 || len(running) != 3 {
		t.Fatalf("%d tasks were moved and %d run, want at least 1 and 3", moved, len(running))
	}
	if held := e.nodes[nodes[1].ID].heldForMoves; !held.IsZero() {
		t.Fatalf("capacity is still held for moved tasks: %s", held)
	}
}

// Guards against a drain that stops batches and gangs that cannot be resumed, or that
// leaves batches that can be checkpointed on the worker.
func TestDrainCheckpointsOnlyBatchesThatAllowIt(t *testing.T) {
	e := newEngineWithWorkers(1, Config{})
	keep := batchJob("keep", 1, resources(1000, 512))
	keep.Preemptible = false
	gang := batchJob("gang", 2, resources(1000, 512))
	gang.Kind = workload.Gang
	for _, j := range []workload.Job{batchJob("resume", 2, resources(1000, 512)), keep, gang} {
		mustSubmit(t, e, j, startTime)
	}
	node := placeAll(e, startTime)[0].Node
	drainNode(e, node)
	e.Decide(startTime.Add(time.Second), 10)
	stops := e.TakeStopRequests()
	if len(stops) != 2 {
		t.Fatalf("got stops %+v, want those of the two tasks of resume", stops)
	}
	for _, s := range stops {
		if s.Task.Job != "resume" || s.Mode != PreemptCheckpoint || s.Reason != "drain" {
			t.Errorf("got stop %+v, want a checkpoint of resume to drain", s)
		}
	}
}

// Guards against tasks that are placed on a worker whose rack owner cannot reach it, and
// against an explanation that gives draining as the reason for such a worker.
func TestUnreachableWorkersAreExcludedForTheirOwnReason(t *testing.T) {
	e := newEngineWithWorkers(3, Config{})
	drainNode(e, "w0")
	for _, id := range []string{"w1", "w2"} {
		n := e.nodes[id].Node
		n.Unreachable = true
		e.SetNode(n)
	}
	mustSubmit(t, e, batchJob("j", 1, resources(1000, 512)), startTime)
	if got := placeAll(e, startTime); len(got) != 0 {
		t.Fatalf("placed %+v, want nothing", got)
	}
	x, _ := e.Explain("j")
	want := []ReasonCount{{"unreachable", 2}, {"draining", 1}}
	if !slices.Equal(x.Reasons, want) {
		t.Errorf("got %+v, want %+v", x.Reasons, want)
	}
}
