package sched

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// invalidJobs returns jobs that would exhaust the leader's memory or overflow its sums, by
// the reason why they are invalid.
func invalidJobs() map[string]Job {
	step := Step{Count: 2, Need: machine.Resources{CPUMilli: 1, MemoryMiB: 1}}
	with := func(f func(*Job, *Step)) Job {
		j := Job{ID: "0000000000000001", Queue: "q", Steps: []Step{step}}
		f(&j, &j.Steps[0])
		return j
	}
	return map[string]Job{
		"no steps":               with(func(j *Job, _ *Step) { j.Steps = nil }),
		"product that overflows": with(func(j *Job, _ *Step) { j.Repeat = 1 << 62 }),
		"huge step":              with(func(_ *Job, s *Step) { s.Count = math.MaxInt64 }),
		"sum that overflows":     with(func(j *Job, s *Step) { s.Count = 1 << 62; j.Steps = append(j.Steps, *s, *s) }),
		"no tasks":               with(func(_ *Job, s *Step) { s.Count = 0 }),
		"negative need":          with(func(_ *Job, s *Step) { s.Need.MemoryMiB = -1 }),
		"huge need":              with(func(_ *Job, s *Step) { s.Need.CPUMilli = math.MaxInt64 }),
		"negative run time":      with(func(_ *Job, s *Step) { s.Estimate = -time.Second }),
		"endless run time":       with(func(_ *Job, s *Step) { s.Estimate = math.MaxInt64 }),
		"negative interval":      with(func(j *Job, _ *Step) { j.Interval = -1 }),
		"depends on itself":      with(func(_ *Job, s *Step) { s.DependsOn = []int{0} }),
		"depends on step -1":     with(func(_ *Job, s *Step) { s.DependsOn = []int{-1} }),
	}
}

// jobsWithTimesOutOfRange returns jobs that are refused, but which former builds have accepted.
func jobsWithTimesOutOfRange() map[string]Job {
	with := func(f func(*Job, *Step)) Job {
		j := Job{ID: "0000000000000001", Queue: "q", Steps: []Step{{Count: 2}}}
		f(&j, &j.Steps[0])
		return j
	}
	return map[string]Job{
		"due too late":            with(func(j *Job, _ *Step) { j.FirstDue = maxUnixMs + 1 }),
		"due before 1970":         with(func(j *Job, _ *Step) { j.FirstDue = -1 }),
		"negative latency target": with(func(_ *Job, s *Step) { s.LatencyTarget = -1 }),
	}
}

// TestInvalidJobsAreRefused guards against a job that makes the leader fail, and then
// each leader that the caller's retries reach.
func TestInvalidJobsAreRefused(t *testing.T) {
	for name, job := range lo.Assign(invalidJobs(), jobsWithTimesOutOfRange()) {
		f := newEngineFixture(t, plainQueues, worker("a"))
		err := f.engine.Submit(job, f.now, time.UnixMilli(0), func(error) {})
		if errkind.Of(err) != errkind.BadInput {
			t.Errorf("%s: Submit returned %v, want a refusal of kind %s", name, err, errkind.BadInput)
		}
	}
}

// TestInvalidRecordsAreSkipped guards against a stored record that makes every daemon
// fail that becomes the leader.
func TestInvalidRecordsAreSkipped(t *testing.T) {
	encode := func(v any) []byte {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	good := Job{ID: "00000000000000ff", Queue: "q", Steps: []Step{{Count: 1, Need: machine.Resources{CPUMilli: 1}}}}
	records := []Record{
		{Key: jobKey(good.ID), Value: encode(jobRecord{Spec: &good})},
		{Key: progressKey(good.ID, 0), Value: encode(progressRecord{
			Steps: []stepProgress{{Occurrence: -1}, {Step: -1}, {Step: 7}}})},
		{Key: "x"}, {Key: "jgarbage", Value: []byte{0xff}}, {Key: "mgarbage", Value: []byte{0xff}},
		{Key: "pgarbage", Value: []byte{0xff}},
	}
	for name, job := range invalidJobs() {
		job.ID = name
		records = append(records, Record{Key: jobKey(name), Value: encode(jobRecord{Spec: &job})})
	}
	f := newEngineFixture(t, plainQueues)
	f.engine.Restore(records, f.now, time.UnixMilli(0))
	if n := f.engine.Stats().LiveJobs; n != 1 {
		t.Errorf("%d jobs restored, want the one that is valid", n)
	}
}

// TestJobBeyondRecordLimitIsRefused guards against a job that is accepted although the log refuses its record: the
// leader repeated that append without end, and stored nothing any more for anybody.
func TestJobBeyondRecordLimitIsRefused(t *testing.T) {
	f := newEngineFixture(t, plainQueues, worker("a"))
	f.engine.cfg.MaxRecordBytes = 1000
	submit := func(id string, steps int) error {
		job := Job{ID: id, Queue: "q", Steps: slices.Repeat([]Step{smallStep(1)}, steps)}
		return f.engine.Submit(job, f.now, time.UnixMilli(0), func(error) {})
	}
	if err := submit("00000000000000a1", 100); errkind.Of(err) != errkind.BadInput || !strings.Contains(err.Error(), "at most 1000") {
		t.Errorf("a job of 100 steps: %v, want a refusal that names the limit", err)
	}
	largest := 0
	for steps := 1; steps < 100; steps++ {
		if submit(fmt.Sprintf("%016d", steps), steps) == nil {
			largest = steps
		}
	}
	batch, _, err := f.engine.Flush(time.UnixMilli(0))
	jobs := 0
	for _, r := range batch.Records {
		if strings.HasPrefix(r.Key, prefixJob) {
			jobs++
		}
	}
	if err != nil || largest < 10 || jobs != largest {
		t.Fatalf("jobs of up to %d steps accepted, records of %d jobs, %v; want jobs of 10 steps and more, and a record for each", largest, jobs, err)
	}
	for _, r := range batch.Records {
		if size := 1 + len(r.Key) + len(r.Value); size > 1000 {
			t.Errorf("record %s takes %d bytes, want at most 1000", r.Key, size)
		}
	}
}
