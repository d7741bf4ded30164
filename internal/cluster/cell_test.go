package cluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/client"
	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/daemon"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/job"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// testLimit bounds one test. It is no target; it only ends a test that hangs.
const testLimit = 3 * time.Minute

var capacity = machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}

// scaled are settings with times about a third of the defaults, to shorten the tests.
func scaled() map[string]any {
	return map[string]any{
		"ownership": map[string]any{
			"tenure": "600ms", "takeover_wait": "800ms", "heartbeat": "150ms", "suspect_after": "600ms", "stability": "1s",
		},
		"tasks":        map[string]any{"lease": "4s", "renew": "700ms"},
		"drain_notice": "300ms",
		"platform":     map[string]any{"hosts_every": "200ms"},
	}
}

// cell is a running cell under load.
type cell struct {
	*Cluster
	t      *testing.T
	ctx    context.Context
	caller *client.Client

	mu      sync.Mutex
	out     map[string]bool // daemons that the balancer does not use
	jobs    map[string]string
	stop    context.CancelFunc
	load    chan []Attempt
	invalid []string
}

// startCell starts daemons in two regions with the configuration in force, and callers.
func startCell(t *testing.T, daemons ...zone.Name) *cell {
	t.Helper()
	bin, err := filepath.Abs("../../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(bin, "sassafraslbd")); err != nil {
		t.Fatal("programs are missing; run make build first")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	c, err := Start(ctx, Options{
		BinDir: bin, Dir: t.TempDir(),
		Regions:   map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}},
		LogRegion: "lombardy", TimeZone: "Europe/Rome", Daemons: daemons,
		Workers: 4, Executors: 2, Capacity: capacity, ServiceTime: 10 * time.Millisecond, Seed: 7,
		Settings: scaled(), LinkDelay: 4 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	t.Cleanup(func() { keepLogs(t, c) })
	x := &cell{Cluster: c, t: t, ctx: ctx, out: make(map[string]bool), jobs: make(map[string]string), load: make(chan []Attempt, 1)}
	x.awaitOwners()
	x.publish()
	x.startLoad()
	return x
}

// keepLogs prints the ends of the daemons' logs after a failure.
func keepLogs(t *testing.T, c *Cluster) {
	if !t.Failed() {
		return
	}
	for _, n := range c.Daemons {
		data, err := os.ReadFile(filepath.Join(c.opts.Dir, n.ID+".log"))
		if err != nil {
			continue
		}
		if len(data) > 4000 {
			data = data[len(data)-4000:]
		}
		t.Logf("log of %s ends:\n%s", n.ID, data)
	}
}

// awaitOwners waits until every key has an owner that may act.
func (x *cell) awaitOwners(except ...string) {
	x.t.Helper()
	for _, r := range []zone.Region{"lombardy", "veneto"} {
		for _, n := range x.DaemonsIn(r) {
			if !n.Running() || slices.Contains(except, n.ID) {
				continue
			}
			if err := x.WaitForReady(x.ctx, n); err != nil {
				x.t.Fatal(err)
			}
			if err := x.WaitForOwners(x.ctx, n, except...); err != nil {
				x.t.Fatal(err)
			}
			break
		}
	}
}

// publish puts teams, a customer and two services in force.
func (x *cell) publish() {
	x.t.Helper()
	quota := machine.Resources{CPUMilli: 400_000, MemoryMiB: 1 << 20}
	service := func(team, name string, count int) config.Op {
		return config.Op{Intention: &config.Intention{Name: name, Day: time.Now().Format(time.DateOnly), Job: workload.Job{
			Team: team, Kind: workload.Service, Count: count, Priority: workload.High, Retries: 100,
			Resources: machine.Resources{CPUMilli: 1500, MemoryMiB: 2048},
		}}}
	}
	body := daemon.ChangeBody{ID: "01JEXAMPLE0000000000000001", Mode: "merge", By: "test", Ops: []config.Op{
		{Team: &config.Team{Name: "stock", Home: "lombardy", Quota: quota, Weight: 1}},
		{Team: &config.Team{Name: "valuations", Home: "lombardy", Quota: quota, Weight: 2}},
		{Team: &config.Team{Name: "quotes", Home: "veneto", Quota: quota, Weight: 1}},
		{Customer: &config.Customer{Name: "fitters", Home: "lombardy", Limits: map[string]config.Limit{"*": {PerSecond: 5000, Burst: 5000}}}},
		service("valuations", "lot-valuator", 6), service("quotes", "quick-quote", 4),
	}}
	var err error
	x.caller, err = client.New(client.Config{Servers: x.targets(), RetryFor: testLimit, Timeout: 3 * time.Second})
	if err != nil {
		x.t.Fatal(err)
	}
	var res daemon.ChangeResult
	if err := x.caller.Call(x.ctx, http.MethodPost, "/v1/config/changes", body, &res); err != nil {
		x.t.Fatal(err)
	}
	// Callers of a new customer come once it is in force everywhere, as sheet apply --wait tells.
	x.awaitVersion(res.Version)
}

// awaitVersion waits until every running daemon acts on version v or a later one.
func (x *cell) awaitVersion(v uint64) {
	x.t.Helper()
	for _, n := range x.CurrentDaemons() {
		if !n.Running() {
			continue
		}
		err := WaitFor(x.ctx, "the configuration at "+n.ID, func(ctx context.Context) error {
			var st config.State
			if err := x.Send(ctx, http.MethodGet, n.URL()+"/v1/config", nil, &st); err != nil {
				return err
			}
			if uint64(st.Version) < v {
				return errors.Errorf("version %d, want %d", st.Version, v)
			}
			return nil
		})
		if err != nil {
			x.t.Fatal(err)
		}
	}
}

// addTeam publishes a small change through n and returns its version.
func (x *cell) addTeam(n *Node, name string) uint64 {
	x.t.Helper()
	c, err := client.New(client.Config{Servers: []string{n.URL()}, RetryFor: testLimit, Timeout: 3 * time.Second})
	if err != nil {
		x.t.Fatal(err)
	}
	var st config.State
	if err := c.Call(x.ctx, http.MethodGet, "/v1/config", nil, &st); err != nil {
		x.t.Fatal(err)
	}
	body := daemon.ChangeBody{ID: ulid.Make().String(), Base: uint64(st.Version), Mode: "merge", By: "test",
		Ops: []config.Op{{Team: &config.Team{Name: name, Home: "lombardy", Weight: 1}}}}
	var res daemon.ChangeResult
	if err := c.Call(x.ctx, http.MethodPost, "/v1/config/changes", body, &res); err != nil {
		x.t.Fatal(err)
	}
	return res.Version
}

// targets returns the daemons that a balancer would use.
func (x *cell) targets() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, n := range x.CurrentDaemons() {
		if !x.out[n.ID] {
			out = append(out, n.URL())
		}
	}
	return out
}

func (x *cell) balance(n *Node, use bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.out[n.ID] = !use
}

func (x *cell) startLoad() {
	ctx, stop := context.WithCancel(x.ctx)
	x.stop = stop
	load := LoadGenerator{Targets: x.targets, Customer: "fitters", Callers: 8, Pause: 10 * time.Millisecond, Deadline: 3 * time.Second, MaxAttempts: 4}
	go func() { x.load <- load.Run(ctx) }()
}

// submit hands in a job; it must be accepted in the end.
func (x *cell) submit(team string, b daemon.JobBody) {
	x.t.Helper()
	c, err := client.New(client.Config{Servers: x.targets(), RetryFor: testLimit, Timeout: 3 * time.Second})
	if err != nil {
		x.t.Fatal(err)
	}
	if err := c.Call(x.ctx, http.MethodPost, "/v1/teams/"+team+"/jobs", b, nil); err != nil {
		x.t.Fatalf("submit %s: %s", b.ID, err)
	}
	x.mu.Lock()
	x.jobs[b.ID] = team
	x.mu.Unlock()
}

// wave submits a batch and a gang for each team.
func (x *cell) wave(n int) {
	x.t.Helper()
	for _, team := range []string{"stock", "quotes"} {
		x.submit(team, daemon.JobBody{ID: fmt.Sprintf("batch-%s-%d", team, n), Kind: "batch", Count: 12, CPUMilli: 2000, MemoryMiB: 512, RunTime: "700ms", Retries: 20})
		x.submit(team, daemon.JobBody{ID: fmt.Sprintf("gang-%s-%d", team, n), Kind: "gang", Count: 4, CPUMilli: 3000, MemoryMiB: 512, RunTime: "500ms", Retries: 20})
	}
}

// finish ends the load, waits for the end of all jobs and checks the records.
func (x *cell) finish() ([]Attempt, []standin.RunRecord) {
	x.t.Helper()
	x.stop()
	attempts := <-x.load
	c, err := client.New(client.Config{Servers: x.targets(), RetryFor: testLimit, Timeout: 3 * time.Second})
	if err != nil {
		x.t.Fatal(err)
	}
	for id, team := range x.jobs {
		var st job.Status
		err := WaitFor(x.ctx, "end of "+id, func(ctx context.Context) error {
			if err := c.Call(ctx, http.MethodGet, "/v1/teams/"+team+"/jobs/"+id, nil, &st); err != nil {
				return err
			}
			if !st.Final() {
				return errors.Errorf("%+v", st)
			}
			return nil
		})
		if err != nil {
			x.t.Fatal(err)
		}
		if st.State != job.StateFinished {
			x.t.Errorf("job %s ended as %s: %s", id, st.State, st.Reason)
		}
	}
	workers, err := x.WorkerRecords(x.ctx)
	if err != nil {
		x.t.Fatal(err)
	}
	executors, err := x.ExecutorRecords(x.ctx)
	if err != nil {
		x.t.Fatal(err)
	}
	bad := CheckTasks(workers, capacity)
	bad = append(bad, CheckSlots(executors, 8, 64)...)
	bad = append(bad, CheckAnswers(attempts, executors)...)
	bad = append(bad, x.invalid...)
	for _, b := range bad {
		x.t.Error(b)
	}
	answered, unknown := 0, 0
	reasons := make(map[string]int)
	for _, a := range attempts {
		if a.Answered {
			answered++
			continue
		}
		if a.Outcome == "unknown" {
			unknown++
		}
		reasons[a.Class+" "+string(a.Outcome)+"/"+a.Reason]++
	}
	x.t.Logf("%d calls, %d answered, %d with unknown outcome %v; %d task runs", len(attempts), answered, unknown, reasons, len(workers))
	if answered == 0 {
		x.t.Error("no call was answered")
	}
	return attempts, workers
}
