package job

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/workload"
)

// logBuffer collects the log lines of several goroutines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines that contain part.
func (b *logBuffer) lines(part string) (out []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range strings.Split(b.buf.String(), "\n") {
		if strings.Contains(l, part) {
			out = append(out, l)
		}
	}
	return out
}

// Guards against a job of the configuration that fits on no worker and is submitted again with
// every comparison, is neither logged nor shown, or stays refused after a worker has joined
// on which it fits.
func TestRefusedJobOfConfiguration(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	d := c.daemons[1] // owns the job shard
	c.submit(d, testJob("first", workload.Batch, 1, 100, time.Millisecond))
	var logs logBuffer
	d.scheduler.cfg.Logger = zerolog.New(&logs)
	huge := testJob("huge", workload.Service, 1, 2*workerCapacity.CPUMilli, 0)
	c.intentions.set(huge)
	c.awaitState(d, huge, StateRefused)
	if s := c.status(d, huge); s.Reason != "fits_no_worker" || s.Final() || s.Waiting != 1 {
		t.Errorf("got status %+v, want one waiting task, reason fits_no_worker and no final state", s)
	}
	x, err := d.scheduler.Explain(context.Background(), huge.Team, huge.ID)
	if err != nil || x.State != StateRefused || !strings.Contains(x.Detail, "worker_too_small_cpu") {
		t.Errorf("got explanation %+v, error %v, want refused because of worker_too_small_cpu", x, err)
	}
	sh, err := d.scheduler.shard(string(c.shardKey()))
	if err != nil {
		t.Fatal(err)
	}
	// The pause until the job is submitted again is now far longer than the test.
	sh.mu.Lock()
	sh.refusals[huge.ID].repeats, sh.refusals[huge.ID].nextTry = 15, time.Now().Add(time.Hour)
	sh.mu.Unlock()
	before := counterValue(t, d.scheduler.counts, "reconcile_failed", "fits_no_worker")
	for range 20 {
		sh.reconcile()
	}
	// The reconcile loop of the shard may have been submitting the job.
	if n := counterValue(t, d.scheduler.counts, "reconcile_failed", "fits_no_worker") - before; n > 1 {
		t.Errorf("the job was submitted %v times in 20 comparisons, want at most 1", n)
	}
	if l := logs.lines("job_refused"); len(l) != 1 || !strings.Contains(l[0], `"team":"`+huge.Team+`"`) ||
		!strings.Contains(l[0], `"reason":"fits_no_worker"`) || !strings.Contains(l[0], `"job":"huge"`) {
		t.Errorf("got log lines %q, want one with job, team and reason fits_no_worker", l)
	}
	sh.mu.Lock()
	sh.refusals[huge.ID].nextTry = time.Now().Add(time.Hour) // now only a change of the workers can end the refusal
	sh.rackOfNode["large"] = c.racks[0]
	large := placement.Node{ID: "large", Rack: string(c.racks[0]), Zone: "n1", Total: workerCapacity.Scale(4)}
	sh.updateNodeClass(large)
	sh.engine.SetNode(large)
	sh.mu.Unlock()
	c.awaitState(d, huge, StateAccepted)
	c.intentions.set()
}

// Guards against an error of kind bad input, which callers never retry, for a team that the
// entry daemon knows while its job scheduler has not read the newest configuration yet.
func TestTeamNotYetKnownIsRetryable(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	entry, owner := c.daemons[0], c.daemons[1]
	c.submit(owner, testJob("first", workload.Batch, 1, 100, time.Millisecond))
	j := testJob("second", workload.Batch, 1, 100, time.Millisecond)
	j.Team = entryOnlyTeam
	_, err := entry.scheduler.Submit(context.Background(), j)
	if errkind.Of(err) != errkind.NotReady || errkind.ResponseOf(err).Retry != errkind.RetryBackoff {
		t.Errorf("got %v, want an error of kind not_ready that may be retried", err)
	}
}
