package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/machine"
)

// engineFixture is an engine whose machines have answered a poll. Time passes only when
// its methods or a test advance now.
type engineFixture struct {
	t        *testing.T
	engine   *Engine
	now      time.Duration
	jobCount int
}

// newEngineFixture returns a fixture whose machines have no runs.
func newEngineFixture(t *testing.T, queues []Queue, machines ...Machine) *engineFixture {
	f := &engineFixture{t: t, now: time.Second}
	f.engine = New(Config{Token: 256, Lease: 6 * time.Second, StopLimit: 400 * time.Millisecond,
		GangWait: 3 * time.Second, SpreadFactor: 3, Logger: zerolog.Nop()}, f.now)
	f.engine.SetQueues(1, queues)
	f.engine.SetMachines(machines, f.now)
	f.flush()
	for _, m := range machines {
		f.poll(m.ID, nil, nil)
	}
	return f
}

// flush confirms that all changes are stored.
func (f *engineFixture) flush() {
	batch, _, err := f.engine.Flush(time.UnixMilli(f.now.Milliseconds()))
	if err != nil {
		f.t.Fatal(err)
	}
	f.engine.BatchStored(batch, f.now)
}

// poll reports the answer of a machine to a poll.
func (f *engineFixture) poll(id string, running []RunReport, ended []EndReport) {
	f.engine.GrantLease(id, f.now)
	view, _ := f.engine.Machine(id)
	f.engine.PollAnswered(id, view.Token, PollResult{Born: 1, Clock: f.now.Milliseconds(), Sent: f.now,
		Running: running, Ended: ended}, f.now)
}

// submit submits a job to the queue q, stores it and returns its id.
func (f *engineFixture) submit(steps ...Step) string { return f.submitTo("q", steps...) }

// submitTo submits a job to a queue, stores it and returns its id.
func (f *engineFixture) submitTo(queue string, steps ...Step) string {
	f.jobCount++
	id := fmt.Sprintf("%016d", f.jobCount)
	if err := f.engine.Submit(Job{ID: id, Queue: queue, Steps: steps, Accepted: f.now.Milliseconds()}, f.now,
		time.UnixMilli(f.now.Milliseconds()), func(error) {}); err != nil {
		f.t.Fatal(err)
	}
	f.flush()
	return id
}

// planAndConfirm makes a pass 10 ms later, confirms all starts and returns the ids of the
// machines by the names of the started tasks.
func (f *engineFixture) planAndConfirm() map[string]string {
	f.now += 10 * time.Millisecond
	out := map[string]string{}
	for _, o := range f.engine.Plan(f.now).Starts {
		out[o.Task] = o.Machine.ID
		f.engine.StartAnswered(o, Started, f.now)
	}
	return out
}

// worker returns a machine of 4 processors and 8000 MiB in a rack of its own.
func worker(id string, labels ...string) Machine {
	return Machine{ID: id, Born: 1, Service: "s", Rack: "r-" + id, Labels: labels,
		Capacity: machine.Resources{CPUMilli: 4000, MemoryMiB: 8000}}
}

// plainQueues has one queue, q, without an advisor.
var plainQueues = []Queue{{Name: "q", Service: "s", MaxAttempts: 2, Stretch: 2, Target: time.Second}}

// smallStep returns a step of which four tasks fit on a worker.
func smallStep(count int) Step {
	return Step{Count: count, Estimate: time.Second, Need: machine.Resources{CPUMilli: 1000, MemoryMiB: 1000}}
}

// reportProgress advances the time by after and reports the progress of the placed tasks
// that percent returns.
func (f *engineFixture) reportProgress(id string, placed map[string]string, after time.Duration,
	percent func(task, machine string) int) {
	f.now += after
	running := map[string][]RunReport{}
	for task, m := range placed {
		running[m] = append(running[m], RunReport{Task: task, Run: 1, Percent: percent(task, m)})
	}
	for m, list := range running {
		f.poll(m, list, nil)
	}
}
