package config_test

import (
	"fmt"
	"time"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// A batch at 02:30 starts once on the day on which that time occurs twice.
func ExampleDesiredJobs() {
	loc, err := time.LoadLocation("Europe/Rome")
	if err != nil {
		panic(err)
	}
	st := &config.State{Intentions: map[string]config.Intention{"stock/nightly": {
		Name: "nightly", Day: "2026-10-01", StartTime: "02:30", Grace: 30 * time.Minute,
		Job: workload.Job{Team: "stock", Kind: workload.Batch, Count: 1, Resources: machine.Resources{CPUMilli: 500, MemoryMiB: 256}},
	}}}
	for _, now := range []string{"2026-10-25T00:29:00Z", "2026-10-25T00:30:00Z", "2026-10-25T01:30:00Z"} {
		t, err := time.Parse(time.RFC3339, now)
		if err != nil {
			panic(err)
		}
		fmt.Println(t.In(loc).Format("15:04 MST"), len(config.DesiredJobs(st, t, loc)))
	}
	// Output:
	// 02:29 CEST 0
	// 02:30 CEST 1
	// 02:30 CET 0
}
