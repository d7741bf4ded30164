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

// Guards against services that stay on a drained worker, that lose more than one
// task at once, and that lose the room kept for a replacement to other work.
func TestDrainReplacesServicesOneByOne(t *testing.T) {
	e := New(Config{})
	ws := workers(2, 2, ritagliZones, res(16_000, 32_768))
	e.SetNode(ws[0])
	web := workload.Job{ID: "web", Team: "t", Kind: workload.Service, Count: 3, Resources: res(4000, 1024)}
	mustSubmit(t, e, web, start)
	running := make(map[string]Assignment)
	for _, a := range place(e, start) {
		running[a.Task.ID] = a
	}
	now := start.Add(time.Second)
	drainNode(e, ws[0].ID)
	e.Decide(now, 10)
	if stops := e.TakeStopRequests(); len(stops) != 0 {
		t.Fatalf("stopped without room elsewhere: %+v", stops)
	}
	e.SetNode(ws[1])
	mustSubmit(t, e, batch("small", 10, res(2000, 512)), now)
	moved := 0
	for range 20 {
		now = now.Add(time.Second)
		for _, a := range place(e, now) {
			if a.Node != ws[1].ID {
				t.Fatalf("%s was placed on the drained worker", a.Task.ID)
			}
			if a.Task.Job == "web" {
				if _, ok := running[a.Task.ID]; ok {
					t.Fatalf("%s was proposed before its end", a.Task.ID)
				}
				running[a.Task.ID] = a
				moved++
			}
		}
		stops := e.TakeStopRequests()
		if len(stops) > 1 || len(stops) == 1 && (stops[0].Mode != PreemptStop || stops[0].Reason != "drain") {
			t.Fatalf("got stops %+v", stops)
		}
		if len(stops) == 1 {
			// Work that comes while the task stops must not get the room kept for it.
			mustSubmit(t, e, batch("grab", 100, res(2000, 100)), now)
			place(e, now)
			if len(e.TakeStopRequests()) != 0 {
				t.Fatal("a second task was stopped before the first had been replaced")
			}
			finish(e, running[stops[0].Task.ID], workload.Stopped, now)
			delete(running, stops[0].Task.ID)
			for _, a := range place(e, now) {
				if a.Task.ID == stops[0].Task.ID {
					running[a.Task.ID] = a
					moved++
				}
			}
			if _, ok := running[stops[0].Task.ID]; !ok {
				t.Fatalf("%s lost the room kept for it", stops[0].Task.ID)
			}
		}
	}
	if moved < 1 || len(running) != 3 {
		t.Fatalf("moved %d, running %d", moved, len(running))
	}
	if kept := e.nodes[ws[1].ID].kept; !kept.IsZero() {
		t.Fatalf("room is still kept: %s", kept)
	}
}

// Guards against a drain that stops work which cannot be resumed, or that leaves
// checkpointable batches on the worker.
func TestDrainCheckpointsOnlyBatchesThatAllowIt(t *testing.T) {
	e := cell(1, Config{})
	keep := batch("keep", 1, res(1000, 512))
	keep.Preempt = false
	gang := batch("gang", 2, res(1000, 512))
	gang.Kind = workload.Gang
	for _, j := range []workload.Job{batch("resume", 2, res(1000, 512)), keep, gang} {
		mustSubmit(t, e, j, start)
	}
	node := place(e, start)[0].Node
	drainNode(e, node)
	e.Decide(start.Add(time.Second), 10)
	stops := e.TakeStopRequests()
	if len(stops) != 2 {
		t.Fatalf("got %+v", stops)
	}
	for _, s := range stops {
		if s.Task.Job != "resume" || s.Mode != PreemptCheckpoint || s.Reason != "drain" {
			t.Errorf("got %+v", s)
		}
	}
}

// Guards against an explanation that calls a worker which cannot be reached
// draining, and against work that is planned there.
func TestUnreachableWorkersHaveTheirOwnReason(t *testing.T) {
	e := cell(3, Config{})
	drainNode(e, "w0")
	for _, id := range []string{"w1", "w2"} {
		n := e.nodes[id].Node
		n.Unreachable = true
		e.SetNode(n)
	}
	mustSubmit(t, e, batch("j", 1, res(1000, 512)), start)
	if got := place(e, start); len(got) != 0 {
		t.Fatalf("placed %+v", got)
	}
	x, _ := e.Explain("j")
	want := []ReasonCount{{"unreachable", 2}, {"draining", 1}}
	if !slices.Equal(x.Reasons, want) {
		t.Errorf("got %+v, want %+v", x.Reasons, want)
	}
}
