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

// failureRun is one seeded run of overlapping failures.
type failureRun struct {
	*cell
	rng      *rand.Rand
	jobs     []workload.Job
	isolated *daemon
}

// Guards against combinations of failures that no single test provokes. The seed
// can be set by SASSAFRAS_SEED.
func TestOverlappingFailures(t *testing.T) {
	seed := uint64(1)
	if s, err := strconv.ParseUint(os.Getenv("SASSAFRAS_SEED"), 10, 64); err == nil {
		seed = s
	}
	t.Logf("seed %d", seed)
	x := &failureRun{cell: newCell(t, 4, 3, 2), rng: rand.New(rand.NewPCG(seed, 0))}
	for range 40 {
		x.randomStep()
		time.Sleep(time.Duration(20+x.rng.IntN(150)) * time.Millisecond)
	}
	x.endFaults()
	for _, j := range x.jobs {
		eventually(t, "job "+j.ID+" is final", func() bool { return x.status(x.shardOwner(), j).Final() })
		if s := x.status(x.shardOwner(), j); s.State != StateFinished && s.State != StateCancelled {
			t.Errorf("job %s ended as %+v", j.ID, s)
		}
	}
	x.checkViolations()
	finished := make(map[string]int)
	for _, r := range x.runRecords() {
		if r.State == workload.Finished {
			finished[r.Task]++
		}
	}
	for task, n := range finished {
		if n > 1 {
			t.Logf("task %s finished %d times", task, n) // possible when its worker was lost with the result
		}
	}
}

func (x *failureRun) shardOwner() *daemon {
	x.registry.mu.Lock()
	defer x.registry.mu.Unlock()
	return x.registry.daemons[x.registry.keys[x.shardKey()].owner]
}

func (x *failureRun) randomWorker() *standin.Worker {
	return x.workers[x.hosts.list[x.rng.IntN(len(x.hosts.list))].ID]
}

// randomStep does one random thing. At most one daemon is paused or partitioned.
func (x *failureRun) randomStep() {
	switch n := x.rng.IntN(100); {
	case n < 35:
		kind := []workload.Kind{workload.Batch, workload.Batch, workload.Gang}[x.rng.IntN(3)]
		j := testJob(fmt.Sprintf("job-%d", len(x.jobs)), kind, 1+x.rng.IntN(6), 250*(1+x.rng.Int64N(4)),
			time.Duration(50+x.rng.IntN(1500))*time.Millisecond)
		j.Retries = 50
		if _, err := x.shardOwner().scheduler.Submit(context.Background(), j); err == nil ||
			errkind.AnswerOf(err).Outcome != errkind.NotRun {
			x.jobs = append(x.jobs, j)
		}
	case n < 45 && len(x.jobs) > 0:
		j := x.jobs[x.rng.IntN(len(x.jobs))]
		_, _ = x.shardOwner().scheduler.Cancel(context.Background(), j.Team, j.ID)
	case n < 60:
		x.randomWorker().SetFaults(standin.Faults{
			Unreachable: x.rng.IntN(3) == 0, LoseAnswers: x.rng.IntN(4), SlowMS: x.rng.Int64N(60),
		})
	case n < 70:
		x.randomWorker().SetFaults(standin.Faults{})
	case n < 75:
		x.log.update(func(l *memLog) { l.answersToLose = x.rng.IntN(4) })
	case n < 80:
		x.log.update(func(l *memLog) { l.down = !l.down })
	case x.isolated != nil:
		x.isolated.reconnect()
		x.isolated = nil
	default:
		x.replaceDaemon()
	}
}

// replaceDaemon pauses or partitions a daemon and gives its keys to another one.
func (x *failureRun) replaceDaemon() {
	i := x.rng.IntN(len(x.daemons))
	x.isolated = x.daemons[i]
	next := x.daemons[(i+1)%len(x.daemons)]
	if x.rng.IntN(2) == 0 {
		x.isolated.pause()
	} else {
		x.isolated.partition()
	}
	for _, k := range append(x.racks[:len(x.racks):len(x.racks)], x.shardKey()) {
		if id, _, _ := next.Owner(k); id == x.isolated.id {
			x.registry.assign(next, testTakeover, k)
		}
	}
}

// endFaults ends all faults and settles submits with an unknown outcome.
func (x *failureRun) endFaults() {
	if x.isolated != nil {
		x.isolated.reconnect()
	}
	x.log.update(func(l *memLog) { l.down, l.answersToLose = false, 0 })
	for _, w := range x.workers {
		w.SetFaults(standin.Faults{})
	}
	for _, j := range x.jobs {
		x.submit(x.shardOwner(), j)
	}
}
