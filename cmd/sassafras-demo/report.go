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

// Limits of each executor stand-in: the defaults of the command sassafras-standin executor.
const (
	executorSlots       = 8  // requests that run at the same time
	executorConnections = 64 // open connections
)

// report prints the measurements and the violations of the guarantees, and returns the exit
// code: 1 if there is a violation or the records cannot be read.
func (d *demo) report(ctx context.Context) int {
	workers, err := d.cluster.WorkerRecords(ctx)
	if err != nil {
		fmt.Println("worker records:", err)
		return 1
	}
	executors, err := d.cluster.ExecutorRecords(ctx)
	if err != nil {
		fmt.Println("executor records:", err)
		return 1
	}
	violations := cluster.CheckTasks(workers, workerSize)
	violations = append(violations, cluster.CheckSlots(executors, executorSlots, executorConnections)...)
	violations = append(violations, cluster.CheckAnswers(d.attempts, executors)...)
	for _, j := range d.jobs {
		if st := j.status; st.State != job.StateFinished {
			violations = append(violations, fmt.Sprintf("job %s ended as %s: %s", st.Job, st.State, st.Reason))
		}
	}
	d.printRequests(executors)
	d.printPacking(workers)
	d.printBytes(ctx)
	for _, violation := range violations {
		fmt.Println("VIOLATION:", violation)
	}
	if len(violations) > 0 {
		return 1
	}
	fmt.Println("no violation: nothing was lost or overcommitted, nothing that must not repeat ran twice, every answer belonged to its request")
	return 0
}

// printRequests prints how many requests were answered, refused or left with an unknown
// outcome, and the quantiles of their times.
func (d *demo) printRequests(executors map[string]standin.ExecutorRecords) {
	var waitTimes, callTimes []time.Duration
	refused := make(map[string]int)
	unknown := 0
	for _, a := range d.attempts {
		switch {
		case a.Answered:
			waitTimes = append(waitTimes, a.Waited)
			callTimes = append(callTimes, a.Took)
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
		len(waitTimes), len(d.attempts)-len(waitTimes)-unknown, refused, unknown, runs)
	fmt.Printf("waiting time before start: p50 %s, p99 %s; whole call: p50 %s, p99 %s\n",
		quantile(waitTimes, 0.5), quantile(waitTimes, 0.99), quantile(callTimes, 0.5), quantile(callTimes, 0.99))
}

// quantile returns the q-quantile of v, rounded to 10 µs, or 0 if v is empty. It sorts v.
func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	return v[int(q*float64(len(v)-1))].Round(10 * time.Microsecond)
}

// printPacking prints the largest share of the workers' processors that was in use at one time.
func (d *demo) printPacking(records []standin.RunRecord) {
	type cpuChange struct {
		atUS     int64
		cpuMilli int64
	}
	var changes []cpuChange
	for _, r := range records {
		changes = append(changes, cpuChange{r.StartUS, r.Resources.CPUMilli})
		if r.EndUS > 0 {
			changes = append(changes, cpuChange{r.EndUS, -r.Resources.CPUMilli})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].atUS < changes[j].atUS })
	var used, peak int64
	for _, change := range changes {
		used += change.cpuMilli
		peak = max(peak, used)
	}
	total := int64(len(d.cluster.Workers)) * workerSize.CPUMilli
	fmt.Printf("packing: %d task runs on %d workers, peak %d%% of processors\n", len(records), len(d.cluster.Workers), 100*peak/total)
}

// printBytes prints how much the daemons sent across and within regions, and how much all
// processes sent over the link between the regions.
func (d *demo) printBytes(ctx context.Context) {
	var acrossRegions, withinRegions float64
	for _, n := range d.cluster.Daemons {
		if !n.Running() {
			continue
		}
		m, err := d.cluster.Metrics(ctx, n)
		if err != nil {
			fmt.Println("metrics of", n.ID, err)
			continue
		}
		const name = "sassafraslb_link_bytes_total"
		acrossRegions += cluster.SumMetric(m, name, "distance=cross_region", "direction=out")
		withinRegions += cluster.SumMetric(m, name, "direction=out") - cluster.SumMetric(m, name, "distance=cross_region", "direction=out")
	}
	fmt.Printf("bytes sent by the daemons that still run: %.0f across regions, %.0f within regions\n", acrossRegions, withinRegions)
	fmt.Printf("bytes on the link between the regions, both ways, all processes: %d\n", d.cluster.LinkBytes())
}
