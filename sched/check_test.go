package sched

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/machine"
)

// senseless are jobs that would exhaust the leader or overflow its sums.
func senseless() map[string]Job {
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
		"negative size":          with(func(_ *Job, s *Step) { s.Need.MemoryMiB = -1 }),
		"huge size":              with(func(_ *Job, s *Step) { s.Need.CPUMilli = math.MaxInt64 }),
		"negative run time":      with(func(_ *Job, s *Step) { s.Estimate = -time.Second }),
		"endless run time":       with(func(_ *Job, s *Step) { s.Estimate = math.MaxInt64 }),
		"negative interval":      with(func(j *Job, _ *Step) { j.Interval = -1 }),
		"depends on itself":      with(func(_ *Job, s *Step) { s.DependsOn = []int{0} }),
		"depends on step -1":     with(func(_ *Job, s *Step) { s.DependsOn = []int{-1} }),
	}
}

// TestSenselessJobsAreRefused guards against one job that takes the leader down,
// and with it each leader that the caller's next try reaches.
func TestSenselessJobsAreRefused(t *testing.T) {
	for name, job := range senseless() {
		b := newBench(t, plainQueue, worker("a"))
		err := b.e.Submit(job, b.now, time.UnixMilli(0), func() {})
		if errkind.Of(err) != errkind.BadInput {
			t.Errorf("%s: Submit returned %v, want a refusal of kind %s", name, err, errkind.BadInput)
		}
	}
}

// TestSenselessRecordsAreSkipped guards against a stored record that takes down
// every daemon that becomes the leader.
func TestSenselessRecordsAreSkipped(t *testing.T) {
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
		{Key: progressKey(good.ID), Value: encode(progressRecord{Steps: []stepProgress{{Occurrence: -1}, {Step: -1}, {Step: 7}}})},
		{Key: "x"}, {Key: "jgarbage", Value: []byte{0xff}}, {Key: "mgarbage", Value: []byte{0xff}}, {Key: "pgarbage", Value: []byte{0xff}},
	}
	for name, job := range senseless() {
		job.ID = name
		records = append(records, Record{Key: jobKey(name), Value: encode(jobRecord{Spec: &job})})
	}
	b := newBench(t, plainQueue)
	b.e.Restore(records, b.now, time.UnixMilli(0))
	if n := b.e.Stats().LiveJobs; n != 1 {
		t.Errorf("%d jobs restored, want the one that makes sense", n)
	}
}

// TestUnreadableRowsEndNothing guards against a run that is started again because
// the row that lists it could not be read.
func TestUnreadableRowsEndNothing(t *testing.T) {
	b := newBench(t, plainQueue, worker("a"), worker("b"))
	b.submit(small(1))
	placed := b.plan()
	if len(placed) != 1 {
		t.Fatalf("started %v, want one task", placed)
	}
	for task, id := range placed {
		b.now += time.Second
		b.e.PollAnswered(id, 256, PollResult{Born: 1, Clock: b.now.Milliseconds(), Sent: b.now, Unreadable: 1}, b.now)
		if again := b.plan(); len(again) != 0 {
			t.Errorf("task %s was started again: %v", task, again)
		}
	}
}
