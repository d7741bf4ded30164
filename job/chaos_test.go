package job

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/workload"
)

// failureRun is one run of overlapping failures, which a seed determines.
type failureRun struct {
	*cell
	rng      *rand.Rand
	jobs     []workload.Job
	isolated *daemon // nil if none
}

// Guards against combinations of failures that no other test causes: of daemons, workers and
// the log, at random times. The environment variable SASSAFRAS_SEED sets the seed.
func TestOverlappingFailures(t *testing.T) {
	seed := uint64(1)
	if s, err := strconv.ParseUint(os.Getenv("SASSAFRAS_SEED"), 10, 64); err == nil {
		seed = s
	}
	t.Logf("seed %d", seed)
	run := &failureRun{cell: newCell(t, 4, 3, 2), rng: rand.New(rand.NewPCG(seed, 0))}
	for range 40 {
		run.randomStep()
		time.Sleep(time.Duration(20+run.rng.IntN(150)) * time.Millisecond)
	}
	run.endFaults()
	for _, j := range run.jobs {
		eventually(t, "job "+j.ID+" is final", func() bool { return run.status(run.shardOwner(), j).Final() })
		if s := run.status(run.shardOwner(), j); s.State != StateFinished && s.State != StateCancelled {
			t.Errorf("job %s ended as %+v, want finished or cancelled", j.ID, s)
		}
	}
	run.checkViolations()
	finished := make(map[string]int)
	for _, r := range run.runRecords() {
		if r.State == workload.Finished {
			finished[r.Task]++
		}
	}
	for task, n := range finished {
		if n > 1 {
			t.Logf("task %s finished %d times", task, n) // allowed: the worker was lost before its result was recorded
		}
	}
}

func (run *failureRun) shardOwner() *daemon {
	run.registry.mu.Lock()
	defer run.registry.mu.Unlock()
	return run.registry.daemons[run.registry.keys[run.shardKey()].owner]
}

func (run *failureRun) randomWorker() *standin.Worker {
	return run.workers[run.hosts.list[run.rng.IntN(len(run.hosts.list))].ID]
}

// randomStep submits or cancels a job, or starts or ends a failure. At most one daemon is
// isolated at a time.
func (run *failureRun) randomStep() {
	switch n := run.rng.IntN(100); {
	case n < 35:
		kind := []workload.Kind{workload.Batch, workload.Batch, workload.Gang}[run.rng.IntN(3)]
		j := testJob(fmt.Sprintf("job-%d", len(run.jobs)), kind, 1+run.rng.IntN(6), 250*(1+run.rng.Int64N(4)),
			time.Duration(50+run.rng.IntN(1500))*time.Millisecond)
		j.Retries = 50
		if _, err := run.shardOwner().scheduler.Submit(context.Background(), j); err == nil ||
			errkind.ResponseOf(err).Outcome != errkind.NotRun {
			run.jobs = append(run.jobs, j)
		}
	case n < 45 && len(run.jobs) > 0:
		j := run.jobs[run.rng.IntN(len(run.jobs))]
		_, _ = run.shardOwner().scheduler.Cancel(context.Background(), j.Team, j.ID)
	case n < 60:
		run.randomWorker().SetFaults(standin.WorkerFaults{
			Unreachable: run.rng.IntN(3) == 0, LoseEveryNthAnswer: run.rng.IntN(4), DelayMS: run.rng.Int64N(60),
		})
	case n < 70:
		run.randomWorker().SetFaults(standin.WorkerFaults{})
	case n < 75:
		run.log.update(func(l *memLog) { l.answersToLose = run.rng.IntN(4) })
	case n < 80:
		run.log.update(func(l *memLog) { l.down = !l.down })
	case run.isolated != nil:
		run.isolated.reconnect()
		run.isolated = nil
	default:
		run.replaceDaemon()
	}
}

// replaceDaemon pauses or partitions a daemon and assigns its keys to another one.
func (run *failureRun) replaceDaemon() {
	i := run.rng.IntN(len(run.daemons))
	run.isolated = run.daemons[i]
	next := run.daemons[(i+1)%len(run.daemons)]
	if run.rng.IntN(2) == 0 {
		run.isolated.pause()
	} else {
		run.isolated.partition()
	}
	for _, k := range append(run.racks[:len(run.racks):len(run.racks)], run.shardKey()) {
		if id, _, _ := next.Owner(k); id == run.isolated.id {
			run.registry.assign(next, testTakeoverWait, k)
		}
	}
}

// endFaults ends all faults and repeats the submits, because the outcomes of some are unknown.
func (run *failureRun) endFaults() {
	if run.isolated != nil {
		run.isolated.reconnect()
	}
	run.log.update(func(l *memLog) { l.down, l.answersToLose = false, 0 })
	for _, w := range run.workers {
		w.SetFaults(standin.WorkerFaults{})
	}
	for _, j := range run.jobs {
		run.submit(run.shardOwner(), j)
	}
}
