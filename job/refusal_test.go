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

// logBuffer collects log lines of concurrent writers.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

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

// Guards against a job of the configuration that can never fit and is tried
// again with every comparison, that nobody is told about, or that stays refused
// after a worker has come that can hold it.
func TestRefusedJobOfTheConfiguration(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	d := c.daemons[1] // owns the job shard
	c.submit(d, testJob("first", workload.Batch, 1, 100, time.Millisecond))
	var logs logBuffer
	d.sched.cfg.Logger = zerolog.New(&logs)
	huge := testJob("huge", workload.Service, 1, 2*workerSize.CPUMilli, 0)
	c.wants.set(huge)
	c.awaitState(d, huge, StateRefused)
	if s := c.status(d, huge); s.Reason != "fits_no_worker" || s.Final() || s.Waiting != 1 {
		t.Errorf("got status %+v", s)
	}
	x, err := d.sched.Explain(context.Background(), huge.Team, huge.ID)
	if err != nil || x.State != StateRefused || !strings.Contains(x.Detail, "worker_too_small_cpu") {
		t.Errorf("got explanation %+v, error %v", x, err)
	}
	sh, err := d.sched.shard(string(c.shard()))
	if err != nil {
		t.Fatal(err)
	}
	// The pause of a later attempt is now far longer than the test.
	sh.mu.Lock()
	sh.refusals[huge.ID].tries, sh.refusals[huge.ID].next = 15, time.Now().Add(time.Hour)
	sh.mu.Unlock()
	before := count(t, d.sched.counts, "reconcile_failed", "fits_no_worker")
	for range 20 {
		sh.reconcile()
	}
	// The comparison loop may have had one attempt under way.
	if n := count(t, d.sched.counts, "reconcile_failed", "fits_no_worker") - before; n > 1 {
		t.Errorf("tried %v times in 20 comparisons", n)
	}
	if l := logs.lines("job_refused"); len(l) != 1 || !strings.Contains(l[0], `"team":"`+huge.Team+`"`) ||
		!strings.Contains(l[0], `"reason":"fits_no_worker"`) || !strings.Contains(l[0], `"job":"huge"`) {
		t.Errorf("got log lines %q", l)
	}
	sh.mu.Lock()
	sh.refusals[huge.ID].next = time.Now().Add(time.Hour) // only a change may help now
	sh.nodes["large"] = c.racks[0]
	large := placement.Node{ID: "large", Rack: string(c.racks[0]), Zone: "n1", Total: workerSize.Scale(4)}
	sh.noteNode(large)
	sh.engine.SetNode(large)
	sh.mu.Unlock()
	c.awaitState(d, huge, StateAccepted)
	c.wants.set()
}

// Guards against "bad input, never retry" for a team that the entry knows and
// whose job scheduler has only not read the newest configuration yet.
func TestTeamNotYetKnownIsRetryable(t *testing.T) {
	c := newCell(t, 2, 1, 2)
	entry, owner := c.daemons[0], c.daemons[1]
	c.submit(owner, testJob("first", workload.Batch, 1, 100, time.Millisecond))
	j := testJob("second", workload.Batch, 1, 100, time.Millisecond)
	j.Team = entryOnly
	_, err := entry.sched.Submit(context.Background(), j)
	if errkind.Of(err) != errkind.NotReady || errkind.AnswerOf(err).Retry != errkind.RetryBackoff {
		t.Errorf("got %v, want a refusal that may be retried", err)
	}
}
