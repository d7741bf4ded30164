package main

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/cluster"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/job"
)

const (
	slots       = 8  // of an executor
	connections = 64 // of an executor
)

// report prints the measures and the violations, and returns the exit code.
func (d *demo) report(ctx context.Context) int {
	workers, err := d.c.WorkerRecords(ctx)
	if err != nil {
		fmt.Println("worker records:", err)
		return 1
	}
	executors, err := d.c.ExecutorRecords(ctx)
	if err != nil {
		fmt.Println("executor records:", err)
		return 1
	}
	bad := cluster.CheckTasks(workers, workerSize)
	bad = append(bad, cluster.CheckSlots(executors, slots, connections)...)
	bad = append(bad, cluster.CheckAnswers(d.attempts, executors)...)
	for _, j := range d.jobs {
		if st := j.status; st.State != job.StateFinished {
			bad = append(bad, fmt.Sprintf("job %s ended as %s: %s", st.Job, st.State, st.Reason))
		}
	}
	d.printRequests(executors)
	d.printPacking(workers)
	d.printBytes(ctx)
	for _, b := range bad {
		fmt.Println("VIOLATION:", b)
	}
	if len(bad) > 0 {
		return 1
	}
	fmt.Println("nothing was lost, doubled, crossed or overcommitted")
	return 0
}

func (d *demo) printRequests(executors map[string]standin.ExecutorRecords) {
	var waited, took []time.Duration
	refused := make(map[string]int)
	unknown := 0
	for _, a := range d.attempts {
		switch {
		case a.Answered:
			waited = append(waited, a.Waited)
			took = append(took, a.Took)
		case a.Outcome == errkind.Unknown:
			unknown++
		default:
			refused[string(a.Kind)+"/"+a.Reason]++
		}
	}
	runs := 0
	for _, r := range executors {
		runs += len(r.Runs)
	}
	fmt.Printf("requests: %d answered, %d refused %v, %d with unknown outcome; executors ran %d\n",
		len(waited), len(d.attempts)-len(waited)-unknown, refused, unknown, runs)
	fmt.Printf("waiting time before start: p50 %s, p99 %s; whole call: p50 %s, p99 %s\n",
		quantile(waited, 0.5), quantile(waited, 0.99), quantile(took, 0.5), quantile(took, 0.99))
}

func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	return v[int(q*float64(len(v)-1))].Round(10 * time.Microsecond)
}

// printPacking prints the peak share of processors in use at the workers.
func (d *demo) printPacking(records []standin.RunRecord) {
	type step struct {
		at  int64
		cpu int64
	}
	var steps []step
	for _, r := range records {
		steps = append(steps, step{r.StartUS, r.Resources.CPUMilli})
		if r.EndUS > 0 {
			steps = append(steps, step{r.EndUS, -r.Resources.CPUMilli})
		}
	}
	sort.Slice(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	var used, peak int64
	for _, s := range steps {
		used += s.cpu
		peak = max(peak, used)
	}
	total := int64(len(d.c.Workers)) * workerSize.CPUMilli
	fmt.Printf("packing: %d task runs on %d workers, peak %d%% of processors\n", len(records), len(d.c.Workers), 100*peak/total)
}

func (d *demo) printBytes(ctx context.Context) {
	var cross, near float64
	for _, n := range d.c.Daemons {
		if !n.Running() {
			continue
		}
		m, err := d.c.Metrics(ctx, n)
		if err != nil {
			fmt.Println("metrics of", n.ID, err)
			continue
		}
		const name = "sassafraslb_link_bytes_total"
		cross += cluster.SumMetric(m, name, "distance=cross_region", "direction=out")
		near += cluster.SumMetric(m, name, "direction=out") - cluster.SumMetric(m, name, "distance=cross_region", "direction=out")
	}
	fmt.Printf("bytes sent by the daemons that still run: %.0f across regions, %.0f within regions\n", cross, near)
	fmt.Printf("bytes on the link between the regions, both ways, all processes: %d\n", d.c.LinkBytes())
}
