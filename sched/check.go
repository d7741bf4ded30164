package sched

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxTasks bounds the tasks of one job in all its occurrences, so that its records
	// fit into one append.
	maxTasks = 20_000
	// maxNeed bounds each size of a task, so that sums of sizes do not overflow.
	maxNeed = 1 << 40
	// maxSpan bounds declared run times and intervals, so that sums of them do not
	// overflow.
	maxSpan = 366 * 24 * time.Hour
)

// Validate reports the first fault of a job that no scheduler could serve. An engine
// refuses such a job, whoever hands it in: its numbers may come from anywhere.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	if j.Repeat < 0 || j.Repeat > maxTasks {
		return errors.Errorf("the job has %d occurrences, 0 to %d are allowed", j.Repeat, maxTasks)
	}
	if j.Interval < 0 || j.Interval > maxSpan {
		return errors.Errorf("the interval is %v, 0 to %v are allowed", j.Interval, maxSpan)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.Count > maxTasks {
			return errors.Errorf("step %d has %d tasks, 1 to %d are allowed", i, s.Count, maxTasks)
		}
		if tasks += s.Count; tasks*j.Occurrences() > maxTasks {
			return errors.Errorf("the job has %d tasks or more in %d occurrences, at most %d are allowed", tasks, j.Occurrences(), maxTasks)
		}
		for _, size := range []int64{s.Need.CPUMilli, s.Need.MemoryMiB, s.Need.Accelerators} {
			if size < 0 || size > maxNeed {
				return errors.Errorf("step %d: a size of %d, 0 to %d are allowed", i, size, int64(maxNeed))
			}
		}
		if s.Estimate < 0 || s.Estimate > maxSpan {
			return errors.Errorf("step %d: a run time of %v, 0 to %v are allowed", i, s.Estimate, maxSpan)
		}
		if s.MaxPerMachine < 0 || s.MaxUnavailable < 0 {
			return errors.Errorf("step %d: a number of tasks below 0", i)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return errors.Errorf("step %d depends on step %d, which is not an earlier one", i, d)
			}
		}
	}
	return nil
}
