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

// testTimeout bounds one test or benchmark, so that one that hangs ends. It is no
// target.
const testTimeout = 3 * time.Minute

// capacity is that of every worker.
var capacity = machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}

// shortenedSettings returns settings with times of about a third of the defaults, to
// shorten the tests.
func shortenedSettings() map[string]any {
	return map[string]any{
		"ownership": map[string]any{
			"tenure": "600ms", "takeover_wait": "800ms", "heartbeat": "150ms", "suspect_after": "600ms", "stability": "1s",
		},
		"tasks":        map[string]any{"lease": "4s", "renew": "700ms"},
		"drain_notice": "300ms",
		"platform":     map[string]any{"hosts_every": "200ms"},
	}
}

// loadedCell is the fixture of the failure tests: a running cell, callers that send
// requests to it, and the jobs submitted so far.
type loadedCell struct {
	*Cluster
	t      *testing.T
	ctx    context.Context
	caller *client.Client

	mu         sync.Mutex
	unbalanced map[string]bool    // by daemon id: the balancer sends it no callers
	jobs       map[string]string  // team by job id
	stop       context.CancelFunc // stops the callers
	load       chan []Attempt     // receives all attempts once the callers have stopped
	violations []string           // reported by finish
}

// startCell starts daemons in the given zones of two regions, publishes the configuration
// and starts the callers.
func startCell(t *testing.T, daemons ...zone.Name) *loadedCell {
	t.Helper()
	bin, err := filepath.Abs("../../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(bin, "sassafraslbd")); err != nil {
		t.Fatal("bin/sassafraslbd is missing; run make build first")
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c, err := Start(ctx, Options{
		BinDir: bin, Dir: t.TempDir(),
		Regions:   map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}},
		LogRegion: "lombardy", TimeZone: "Europe/Rome", Daemons: daemons,
		Workers: 4, Executors: 2, Capacity: capacity, ServiceTime: 10 * time.Millisecond, Seed: 7,
		Settings: shortenedSettings(), LinkDelay: 4 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	t.Cleanup(func() { printLogTails(t, c) })
	x := &loadedCell{Cluster: c, t: t, ctx: ctx, unbalanced: make(map[string]bool), jobs: make(map[string]string), load: make(chan []Attempt, 1)}
	x.awaitOwners()
	x.publish()
	x.startLoad()
	return x
}

// printLogTails prints the last 4000 bytes of each daemon's log if the test has failed.
func printLogTails(t *testing.T, c *Cluster) {
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

// awaitOwners waits until, in each region, a running daemon is ready and every key has an
// owner that may act. Daemons of except (ids) count neither as ready nor as owners.
func (x *loadedCell) awaitOwners(except ...string) {
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

// publish submits a configuration with teams, a customer and two services and waits
// until it is in force at every daemon.
func (x *loadedCell) publish() {
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
	x.caller, err = client.New(client.Config{Servers: x.targets(), RetryFor: testTimeout, Timeout: 3 * time.Second})
	if err != nil {
		x.t.Fatal(err)
	}
	var res daemon.ChangeResult
	if err := x.caller.Call(x.ctx, http.MethodPost, "/v1/config/changes", body, &res); err != nil {
		x.t.Fatal(err)
	}
	// Operators let callers of a new customer start only once the change is in force
	// everywhere ("sheet apply --wait").
	x.awaitVersion(res.Version)
}

// awaitVersion waits until every running daemon has configuration version v or a later
// one in force.
func (x *loadedCell) awaitVersion(v uint64) {
	x.t.Helper()
	for _, n := range x.CurrentDaemons() {
		if !n.Running() {
			continue
		}
		err := WaitFor(x.ctx, "the configuration version at "+n.ID, func(ctx context.Context) error {
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

// addTeam adds a team to the configuration through daemon n and returns the version of
// the change.
func (x *loadedCell) addTeam(n *Node, name string) uint64 {
	x.t.Helper()
	c, err := client.New(client.Config{Servers: []string{n.URL()}, RetryFor: testTimeout, Timeout: 3 * time.Second})
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

// targets returns the base URLs of the daemons that the balancer uses.
func (x *loadedCell) targets() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, n := range x.CurrentDaemons() {
		if !x.unbalanced[n.ID] {
			out = append(out, n.URL())
		}
	}
	return out
}

// setBalanced sets whether the balancer sends callers to n.
func (x *loadedCell) setBalanced(n *Node, use bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unbalanced[n.ID] = !use
}

// startLoad starts callers that send requests until x.stop is called.
func (x *loadedCell) startLoad() {
	ctx, stop := context.WithCancel(x.ctx)
	x.stop = stop
	load := LoadGenerator{Targets: x.targets, Customer: "fitters", Callers: 8, Pause: 10 * time.Millisecond, Deadline: 3 * time.Second, MaxAttempts: 4}
	go func() { x.load <- load.Run(ctx) }()
}

// submit submits a job, with retries until it is accepted.
func (x *loadedCell) submit(team string, b daemon.JobBody) {
	x.t.Helper()
	c, err := client.New(client.Config{Servers: x.targets(), RetryFor: testTimeout, Timeout: 3 * time.Second})
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

// submitJobs submits a batch and a gang for each of two teams. Number n makes the job ids
// unique.
func (x *loadedCell) submitJobs(n int) {
	x.t.Helper()
	for _, team := range []string{"stock", "quotes"} {
		x.submit(team, daemon.JobBody{ID: fmt.Sprintf("batch-%s-%d", team, n), Kind: "batch", Count: 12, CPUMilli: 2000, MemoryMiB: 512, RunTime: "700ms", Retries: 20})
		x.submit(team, daemon.JobBody{ID: fmt.Sprintf("gang-%s-%d", team, n), Kind: "gang", Count: 4, CPUMilli: 3000, MemoryMiB: 512, RunTime: "500ms", Retries: 20})
	}
}

// finish stops the callers, waits until all jobs have finished and checks the records of
// workers, executors and callers. It returns the attempts and the workers' run records.
func (x *loadedCell) finish() ([]Attempt, []standin.RunRecord) {
	x.t.Helper()
	x.stop()
	attempts := <-x.load
	c, err := client.New(client.Config{Servers: x.targets(), RetryFor: testTimeout, Timeout: 3 * time.Second})
	if err != nil {
		x.t.Fatal(err)
	}
	for id, team := range x.jobs {
		var st job.Status
		err := WaitFor(x.ctx, "the end of job "+id, func(ctx context.Context) error {
			if err := c.Call(ctx, http.MethodGet, "/v1/teams/"+team+"/jobs/"+id, nil, &st); err != nil {
				return err
			}
			if !st.Final() {
				return errors.Errorf("the job has not ended: %+v", st)
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
	violations := CheckTasks(workers, capacity)
	violations = append(violations, CheckSlots(executors, 8, 64)...)
	violations = append(violations, CheckAnswers(attempts, executors)...)
	violations = append(violations, x.violations...)
	for _, violation := range violations {
		x.t.Error(violation)
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
		x.t.Error("no call was answered, so the checks of answers prove nothing")
	}
	return attempts, workers
}
