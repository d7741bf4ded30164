package placement_test

import (
	"fmt"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/workload"
)

func Example() {
	now := time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	e := placement.New(placement.Config{})
	for _, rack := range []string{"r1", "r2"} {
		e.SetNode(placement.Node{ID: "w-" + rack, Rack: rack, Zone: "lom-bergamo",
			Total: machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}})
	}
	err := e.Submit(workload.Job{ID: "web", Team: "quotes", Kind: workload.Service, Count: 2,
		Resources: machine.Resources{CPUMilli: 2_000, MemoryMiB: 4_096}}, now)
	fmt.Println("submit:", err)
	for _, p := range e.Decide(now, 10) {
		for _, a := range p.Assignments {
			fmt.Println(a.Task.ID, "on", a.Node)
			e.Commit(a.Task.ID, a.Task.Attempt)
		}
	}
	err = e.Submit(workload.Job{ID: "huge", Team: "quotes", Kind: workload.Batch, Count: 1,
		Resources: machine.Resources{CPUMilli: 64_000, MemoryMiB: 4_096}}, now)
	fmt.Println("submit:", err)
	// Output:
	// submit: <nil>
	// web.0 on w-r1
	// web.1 on w-r2
	// submit: impossible (fits_no_worker): a task needs cpu=64000m mem=4096MiB acc=0; worker_too_small_cpu on 2 workers
}
