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

// chaos is one seeded run of overlapping failures.
type chaos struct {
	*cell
	rng    *rand.Rand
	jobs   []workload.Job
	frozen *daemon
}

// Guards against combinations of failures that no single test provokes. The seed
// can be set by SASSAFRAS_SEED.
func TestOverlappingFailures(t *testing.T) {
	seed := uint64(1)
	if s, err := strconv.ParseUint(os.Getenv("SASSAFRAS_SEED"), 10, 64); err == nil {
		seed = s
	}
	t.Logf("seed %d", seed)
	x := &chaos{cell: newCell(t, 4, 3, 2), rng: rand.New(rand.NewPCG(seed, 0))}
	for range 40 {
		x.step()
		time.Sleep(time.Duration(20+x.rng.IntN(150)) * time.Millisecond)
	}
	x.heal()
	for _, j := range x.jobs {
		eventually(t, "job "+j.ID+" is final", func() bool { return x.status(x.owner(), j).Final() })
		if s := x.status(x.owner(), j); s.State != StateFinished && s.State != StateCancelled {
			t.Errorf("job %s ended as %+v", j.ID, s)
		}
	}
	x.check()
	finished := make(map[string]int)
	for _, r := range x.records() {
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

func (x *chaos) owner() *daemon {
	x.reg.mu.Lock()
	defer x.reg.mu.Unlock()
	return x.reg.daemons[x.reg.keys[x.shard()].owner]
}

func (x *chaos) worker() *standin.Worker {
	return x.workers[x.hosts.list[x.rng.IntN(len(x.hosts.list))].ID]
}

// step does one random thing. At most one daemon is paused or partitioned.
func (x *chaos) step() {
	switch n := x.rng.IntN(100); {
	case n < 35:
		kind := []workload.Kind{workload.Batch, workload.Batch, workload.Gang}[x.rng.IntN(3)]
		j := testJob(fmt.Sprintf("job-%d", len(x.jobs)), kind, 1+x.rng.IntN(6), 250*(1+x.rng.Int64N(4)),
			time.Duration(50+x.rng.IntN(1500))*time.Millisecond)
		j.Retries = 50
		if _, err := x.owner().sched.Submit(context.Background(), j); err == nil ||
			errkind.AnswerOf(err).Outcome != errkind.NotRun {
			x.jobs = append(x.jobs, j)
		}
	case n < 45 && len(x.jobs) > 0:
		j := x.jobs[x.rng.IntN(len(x.jobs))]
		_, _ = x.owner().sched.Cancel(context.Background(), j.Team, j.ID)
	case n < 60:
		x.worker().SetFaults(standin.WorkerFaults{
			Unreachable: x.rng.IntN(3) == 0, LoseEveryNthAnswer: x.rng.IntN(4), DelayMS: x.rng.Int64N(60),
		})
	case n < 70:
		x.worker().SetFaults(standin.WorkerFaults{})
	case n < 75:
		x.log.set(func(l *memLog) { l.lose = x.rng.IntN(4) })
	case n < 80:
		x.log.set(func(l *memLog) { l.down = !l.down })
	case x.frozen != nil:
		x.frozen.thaw()
		x.frozen = nil
	default:
		x.replace()
	}
}

// replace pauses or partitions a daemon and gives its keys to another one.
func (x *chaos) replace() {
	i := x.rng.IntN(len(x.daemons))
	x.frozen = x.daemons[i]
	next := x.daemons[(i+1)%len(x.daemons)]
	if x.rng.IntN(2) == 0 {
		x.frozen.freeze()
	} else {
		x.frozen.partition()
	}
	for _, k := range append(x.racks[:len(x.racks):len(x.racks)], x.shard()) {
		if id, _, _ := next.Owner(k); id == x.frozen.id {
			x.reg.give(next, testTakeover, k)
		}
	}
}

// heal ends all faults and settles submits with an unknown outcome.
func (x *chaos) heal() {
	if x.frozen != nil {
		x.frozen.thaw()
	}
	x.log.set(func(l *memLog) { l.down, l.lose = false, 0 })
	for _, w := range x.workers {
		w.SetFaults(standin.WorkerFaults{})
	}
	for _, j := range x.jobs {
		x.submit(x.owner(), j)
	}
}
