package sched

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxTasksPerJob bounds the tasks of one job in all its occurrences, so that its
	// records fit into one append to the log.
	maxTasksPerJob = 20_000
	// maxResourceAmount bounds each resource that a task needs or a machine has, in the unit
	// of its field in machine.Resources, so that sums do not overflow.
	maxResourceAmount = 1 << 40
	// maxDuration bounds declared run times, intervals and the time until a machine leaves,
	// so that sums do not overflow.
	maxDuration = 366 * 24 * time.Hour
	// maxLatencyTarget bounds the latency target of a step, in ms.
	maxLatencyTarget = 1 << 31
	// maxUnixMs bounds points of wall clock time, in Unix ms. It is the end of the year 9999.
	maxUnixMs = 253_402_300_799_999
)

// Validate returns an error if the job has no steps, a step has no tasks or depends on
// one that is not an earlier step, or a number is out of range. The numbers come from
// callers and from stored records, so the engine checks each job.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	if j.Repeat < 0 || j.Repeat > maxTasksPerJob {
		return errors.Errorf("the job has %d occurrences, 0 to %d are allowed", j.Repeat, maxTasksPerJob)
	}
	if j.FirstDue < 0 || j.FirstDue > maxUnixMs {
		return errors.Errorf("the job is due at %d Unix ms, 0 to %d are allowed", j.FirstDue, int64(maxUnixMs))
	}
	if j.Accepted < 0 || j.Accepted > maxUnixMs {
		return errors.Errorf("the job arrived at %d Unix ms, 0 to %d are allowed", j.Accepted, int64(maxUnixMs))
	}
	if j.Interval < 0 || j.Interval > maxDuration {
		return errors.Errorf("the interval is %v, 0 to %v are allowed", j.Interval, maxDuration)
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.Count > maxTasksPerJob {
			return errors.Errorf("step %d has %d tasks, 1 to %d are allowed", i, s.Count, maxTasksPerJob)
		}
		if tasks += s.Count; tasks*j.Occurrences() > maxTasksPerJob {
			return errors.Errorf("the job has at least %d tasks in each of %d occurrences, at most %d in total are allowed",
				tasks, j.Occurrences(), maxTasksPerJob)
		}
		for _, amount := range []int64{s.Need.CPUMilli, s.Need.MemoryMiB, s.Need.Accelerators} {
			if amount < 0 || amount > maxResourceAmount {
				return errors.Errorf("step %d needs %d of a resource, 0 to %d are allowed", i, amount, int64(maxResourceAmount))
			}
		}
		if s.Estimate < 0 || s.Estimate > maxDuration {
			return errors.Errorf("step %d has an estimated run time of %v, 0 to %v are allowed", i, s.Estimate, maxDuration)
		}
		if s.LatencyTarget < 0 || s.LatencyTarget > maxLatencyTarget {
			return errors.Errorf("step %d has a latency target of %d ms, 0 to %d are allowed", i, s.LatencyTarget, maxLatencyTarget)
		}
		if s.MaxPerMachine < 0 || s.MaxUnavailable < 0 {
			return errors.Errorf("step %d has a negative limit of tasks", i)
		}
		for _, d := range s.DependsOn {
			if d < 0 || d >= i {
				return errors.Errorf("step %d depends on step %d, which is not an earlier one", i, d)
			}
		}
	}
	return nil
}

// clampTimes moves points of time that former builds have accepted into the range that
// Validate allows.
func (j *Job) clampTimes() {
	j.FirstDue, j.Accepted = min(max(j.FirstDue, 0), maxUnixMs), min(max(j.Accepted, 0), maxUnixMs)
	for i := range j.Steps {
		j.Steps[i].LatencyTarget = min(max(j.Steps[i].LatencyTarget, 0), maxLatencyTarget)
	}
}

// Validate returns an error if the machine has no id, or a number is out of range.
func (m *Machine) Validate() error {
	if m.ID == "" {
		return errors.New("the machine has no id")
	}
	for _, amount := range []int64{m.Capacity.CPUMilli, m.Capacity.MemoryMiB, m.Capacity.Accelerators} {
		if amount < 0 || amount > maxResourceAmount {
			return errors.Errorf("the machine has %d of a resource, 0 to %d are allowed", amount, int64(maxResourceAmount))
		}
	}
	if m.Born < 0 || m.Born > maxUnixMs {
		return errors.Errorf("the machine has started at %d Unix ms, 0 to %d are allowed", m.Born, int64(maxUnixMs))
	}
	if m.Remaining < 0 || m.Remaining > maxDuration {
		return errors.Errorf("the machine leaves in %v, 0 to %v are allowed", m.Remaining, maxDuration)
	}
	return nil
}
