package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/workload"
)

// Guards against failures with the wrong consequence: a worker that is quarantined for
// a job that fails on every worker, and a job that ends because one worker fails every
// task. It also guards against a quarantined worker that is never readmitted, and
// against a quarantine of too many workers when all tasks fail.
func TestQuarantine(t *testing.T) {
	e := newEngineWithWorkers(8, Config{})
	now := startTime
	for i := range 12 {
		j := batchJob(fmt.Sprintf("j%d", i), 8, resources(8000, 4096))
		j.Retries = 50
		mustSubmit(t, e, j, now)
	}
	bad := batchJob("bad", 1, resources(1000, 1024))
	bad.Retries = 8
	mustSubmit(t, e, bad, now)
	maxQuarantined := 0
	for range 400 {
		now = now.Add(time.Second)
		for _, a := range placeAll(e, now) {
			state := workload.Finished
			if a.Node == "w3" && now.Before(startTime.Add(60*time.Second)) || a.Task.Job == "bad" {
				state = workload.Failed
			}
			finishTask(e, a, state, now)
		}
		for _, n := range e.quarantined {
			if maxQuarantined = max(maxQuarantined, len(e.quarantined)); n.ID != "w3" {
				t.Fatalf("worker %s is quarantined, want only w3", n.ID)
			}
		}
	}
	if maxQuarantined != 1 || len(e.quarantined) != 0 {
		t.Fatalf("at most %d workers were quarantined, want 1; %d still are", maxQuarantined, len(e.quarantined))
	}
	states := map[string]JobState{}
	for _, x := range e.TakeEndedJobs() {
		states[x.Job] = x.State
	}
	if states["bad"] != JobFailed || states["j0"] != JobFinished || len(states) != 13 {
		t.Fatalf("states of the ended jobs: %v, want 13, bad failed and j0 finished", states)
	}
	faultyJobs := newEngineWithWorkers(8, Config{})
	for i := range 8 {
		for k := range 10 {
			j := batchJob(fmt.Sprintf("x%d-%d", i, k), 1, resources(16_000, 1024))
			mustSubmit(t, faultyJobs, j, now)
		}
	}
	for range 20 {
		now = now.Add(time.Second)
		for _, a := range placeAll(faultyJobs, now) {
			finishTask(faultyJobs, a, workload.Failed, now)
		}
		if got := len(faultyJobs.quarantined); got > 2 {
			t.Fatalf("%d of 8 workers are quarantined, want at most 2", got)
		}
	}
}
