package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/client"
	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/daemon"
	"github.com/sassafraslb/sassafraslb/internal/cluster"
	"github.com/sassafraslb/sassafraslb/job"
)

// loadDuration is how long the callers send requests.
const loadDuration = 12 * time.Second

// sheetText is the sheet of the demonstration. applySheet replaces DAY by the current local date.
const sheetText = `kind;day;team;name;region;class;count;cpu;memory;priority;run_time;retries;weight;per_second;burst
team;DAY;valuations;;lombardy;;;64;128 GiB;;;;2;;
team;DAY;stock;;lombardy;;;64;128 GiB;;;;1;;
team;DAY;quotes;;veneto;;;32;64 GiB;;;;1;;
customer;DAY;;fitters;lombardy;;;;;;;;1;;
limit;DAY;;fitters;;*;;;;;;;;2000;2000
service;DAY;valuations;lot-valuator;;;6;1,5;3 GiB;high;;3;;;
service;DAY;quotes;quick-quote;;;4;500m;768 MiB;high;;3;;;
end;;;;;;7;;;;;;;;
`

// demo runs the steps of the demonstration and keeps the answers that callers got.
type demo struct {
	cluster  *cluster.Cluster
	bin, dir string

	mu           sync.Mutex
	dead         map[string]bool // ids of the daemons that were killed, guarded by mu
	attempts     []cluster.Attempt
	jobs         []submittedJob
	takeoverTime time.Duration
}

// submittedJob is a job of the demonstration with its last status.
type submittedJob struct {
	team   string
	status job.Status
}

// printStep prints one line about a step that is done.
func (d *demo) printStep(format string, args ...any) { fmt.Printf("- "+format+"\n", args...) }

// runSteps runs the demonstration up to the end of all jobs and calls.
func (d *demo) runSteps(ctx context.Context) error {
	for _, n := range d.cluster.Daemons {
		if err := d.cluster.WaitForReady(ctx, n); err != nil {
			return err
		}
	}
	for _, n := range []*cluster.Node{d.cluster.Daemons[0], d.cluster.Daemons[3]} {
		if err := d.cluster.WaitForOwners(ctx, n); err != nil {
			return err
		}
	}
	d.printStep("%d daemons are ready and own all racks, executors and shards", len(d.cluster.Daemons))
	if err := d.applySheet(); err != nil {
		return err
	}
	done := make(chan struct{})
	loadCtx, stop := context.WithTimeout(ctx, loadDuration)
	defer stop()
	go func() {
		defer close(done)
		load := cluster.LoadGenerator{Targets: d.targets, Customer: "fitters", Callers: 24, Pause: 5 * time.Millisecond, Deadline: 5 * time.Second, MaxAttempts: 6}
		d.attempts = load.Run(loadCtx)
	}()
	if err := d.submitJobs(ctx); err != nil {
		return err
	}
	if err := d.killDaemon(ctx); err != nil {
		return err
	}
	<-done
	d.printStep("callers made %d calls", len(d.attempts))
	return d.waitForJobs(ctx)
}

// targets returns the URLs of the daemons that a balancer would use: all but those that were
// killed.
func (d *demo) targets() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, n := range d.cluster.Daemons {
		if !d.dead[n.ID] {
			out = append(out, n.URL())
		}
	}
	return out
}

// applySheet applies sheetText with sassafrasctl, as an operator would, and waits until it is
// in force on all daemons.
func (d *demo) applySheet() error {
	loc, err := time.LoadLocation("Europe/Rome")
	if err != nil {
		return errors.Wrap(err, "time zone")
	}
	path := filepath.Join(d.dir, "sheet.csv")
	text := strings.ReplaceAll(sheetText, "DAY", config.LocalDate(time.Now(), loc))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write sheet")
	}
	start := time.Now()
	cmd := exec.Command(filepath.Join(d.bin, "sassafrasctl"), "sheet", "apply", path, "--wait", "--by", "demo", "-s", d.cluster.Daemons[4].URL())
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "sheet apply: %s", out)
	}
	d.printStep("sheet applied in %s: %s", time.Since(start).Round(time.Millisecond), strings.Join(strings.Fields(string(out)), " "))
	return nil
}

// submitJobs submits one job of each of the three teams.
func (d *demo) submitJobs(ctx context.Context) error {
	api, err := client.New(client.Config{Servers: []string{d.cluster.Daemons[1].URL()}, RetryFor: 10 * time.Second})
	if err != nil {
		return err
	}
	for _, j := range []struct {
		team string
		body daemon.JobBody
	}{
		{"stock", daemon.JobBody{ID: "reconcile-1", Kind: "batch", Count: 60, CPUMilli: 2000, MemoryMiB: 1024, RunTime: "2s", Retries: 3}},
		{"valuations", daemon.JobBody{ID: "revalue-1", Kind: "gang", Count: 12, CPUMilli: 4000, MemoryMiB: 2048, RunTime: "3s", Retries: 3}},
		{"quotes", daemon.JobBody{ID: "index-1", Kind: "batch", Count: 20, CPUMilli: 1000, MemoryMiB: 512, RunTime: "1s", Priority: 50, Retries: 3}},
	} {
		var st job.Status
		if err := api.Call(ctx, http.MethodPost, "/v1/teams/"+j.team+"/jobs", j.body, &st); err != nil {
			return errors.Wrap(err, "submit "+j.body.ID)
		}
		d.jobs = append(d.jobs, submittedJob{j.team, st})
		d.printStep("%s job %s of %d tasks is %s", j.body.Kind, j.body.ID, j.body.Count, st.State)
	}
	return nil
}

// killDaemon kills a daemon of Lombardy without a drain, and waits until the other daemons
// have taken over its keys.
func (d *demo) killDaemon(ctx context.Context) error {
	time.Sleep(2 * time.Second) // so that tasks and requests are running
	victim := d.cluster.Daemons[0]
	start := time.Now()
	victim.Kill()
	// A balancer notices the refused connections and stops using the daemon.
	d.mu.Lock()
	d.dead = map[string]bool{victim.ID: true}
	d.mu.Unlock()
	d.printStep("killed %s", victim.ID)
	if err := d.cluster.WaitForOwners(ctx, d.cluster.Daemons[1], victim.ID); err != nil {
		return err
	}
	d.takeoverTime = time.Since(start)
	d.printStep("all its keys are served again after %s", d.takeoverTime.Round(10*time.Millisecond))
	return nil
}

// waitForJobs waits until all submitted jobs have ended.
func (d *demo) waitForJobs(ctx context.Context) error {
	for i := range d.jobs {
		st := &d.jobs[i].status
		url := d.cluster.Daemons[1].URL() + "/v1/teams/" + d.jobs[i].team + "/jobs/" + st.Job
		err := cluster.WaitFor(ctx, "end of "+st.Job, func(ctx context.Context) error {
			if err := d.cluster.Send(ctx, http.MethodGet, url, nil, st); err != nil {
				return err
			}
			if !st.Final() {
				return errors.Errorf("status is %+v", *st)
			}
			return nil
		})
		if err != nil {
			return err
		}
		d.printStep("job %s: %s, %d tasks finished", st.Job, st.State, st.Finished)
	}
	return nil
}
