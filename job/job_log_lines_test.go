package job

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/workload"
)

// lockedBuffer collects the log lines of several goroutines.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// with returns the lines that contain all parts.
func (b *lockedBuffer) with(parts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, line := range strings.Split(b.buf.String(), "\n") {
		ok := line != ""
		for _, p := range parts {
			ok = ok && strings.Contains(line, p)
		}
		if ok {
			out = append(out, line)
		}
	}
	return out
}

// Guards against a job whose acceptance, refusal or end is not logged with job and team, and
// against a job scheduler that logs the ends recorded by the previous owner of its shard again.
func TestJobsAreLogged(t *testing.T) {
	var out lockedBuffer
	c := newCellWith(t, 2, 2, 2, func(cfg *RackOwnerConfig) { cfg.Logger = zerolog.New(&out) })
	d := c.daemons[0]
	done, cancelled := testJob("done", workload.Batch, 2, 500, 10*time.Millisecond), testJob("dropped", workload.Service, 1, 500, 0)
	c.submit(d, done)
	c.submit(d, cancelled)
	c.awaitState(d, done, StateFinished)
	if _, err := d.scheduler.Cancel(context.Background(), cancelled.Team, cancelled.ID); err != nil {
		t.Fatal(err)
	}
	c.awaitState(d, cancelled, StateCancelled)
	changed := done
	changed.Count++
	if _, err := d.scheduler.Submit(context.Background(), changed); err == nil {
		t.Fatal("a submit with the id of a job and different values was accepted")
	}
	count := func(want int, parts ...string) {
		t.Helper()
		if got := out.with(parts...); len(got) != want {
			t.Errorf("%d lines with %q, want %d:\n%s", len(got), parts, want, strings.Join(got, "\n"))
		}
	}
	for _, j := range []workload.Job{done, cancelled} {
		count(1, `"job_accepted"`, `"job":"`+j.ID+`"`, `"team":"`+j.Team+`"`)
	}
	count(1, `"job_ended"`, `"job":"`+done.ID+`"`, `"team":"`+done.Team+`"`, `"state":"finished"`)
	count(1, `"job_ended"`, `"job":"`+cancelled.ID+`"`, `"state":"cancelled"`)
	count(1, `"job_refused"`, `"job":"`+done.ID+`"`, `"team":"`+done.Team+`"`, `"reason":"job_id_in_use"`)

	owner, _, _ := d.Owner(c.shardKey())
	for _, o := range c.daemons {
		if o.id != owner {
			c.registry.assign(o, testTakeoverWait, c.shardKey())
		}
	}
	eventually(t, "the new owner of the shard has recovered", func() bool {
		return len(out.with(`"shard_recovered"`)) == 2
	})
	count(2, `"job_ended"`)
}
