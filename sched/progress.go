package sched

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// progressPart is a range of the tasks of a job, in the order of occurrences, steps and
// indices, whose progress is one record. A job begins with one part. A part whose record
// would exceed Config.MaxRecordBytes is split, and parts are never joined.
type progressPart struct {
	first   int  // the part ends where the next one begins
	changed bool // since its record was last returned by Flush
	stored  bool // its record may be stored
}

// progressRecord holds what a job has achieved so far, in one of its parts. The progress of
// a job is that of all its records together: what one of them says is never withdrawn.
type progressRecord struct {
	Begun bool           `cbor:"1,keyasint,omitempty"`
	Steps []stepProgress `cbor:"2,keyasint,omitempty"` // only steps with done or failed tasks

	job   string // id, from the key
	first int    // of the part, from the key
}

// stepProgress is the progress of one step of one occurrence.
type stepProgress struct {
	Occurrence int             `cbor:"1,keyasint,omitempty"`
	Step       int             `cbor:"2,keyasint,omitempty"`
	Done       []byte          `cbor:"3,keyasint,omitempty"` // one bit for each task from First on, the lowest bit of byte 0 first
	Failures   map[int][]int64 `cbor:"4,keyasint,omitempty"` // index of a task to the numbers of its failed runs
	First      int             `cbor:"5,keyasint,omitempty"` // index of the task of the first bit of Done
}

// progressKey returns the key of the record of a part. That of the first part is the id
// alone; the others have the number of their first task behind a dot.
func progressKey(id string, first int) string {
	if first == 0 {
		return prefixProgress + id
	}
	return prefixProgress + id + "." + strconv.Itoa(first)
}

// decodeProgress decodes the record of a part.
func decodeProgress(key string, data []byte) (rec progressRecord, err error) {
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return rec, errors.Wrap(err, "decode progress")
	}
	id, first, hasFirst := strings.Cut(strings.TrimPrefix(key, prefixProgress), ".")
	rec.job = id
	if hasFirst {
		if rec.first, err = strconv.Atoi(first); err != nil {
			return rec, errors.Wrap(err, "first task of the part")
		}
	}
	return rec, nil
}

// number returns the number of t among the tasks of its job, in the order of occurrences,
// steps and indices.
func (t *task) number() int { return t.step.firstTask + t.index }

// progressChanged marks the part of a task as changed.
func (e *Engine) progressChanged(t *task) {
	j := t.step.occ.job
	e.journal.changedJobs[j] = true
	i, found := slices.BinarySearchFunc(j.parts, t.number(), func(p progressPart, n int) int { return cmp.Compare(p.first, n) })
	if !found {
		i--
	}
	j.parts[i].changed = true
}

// addProgress adds the records of the changed parts of a job. The last part comes first:
// if only some of the records are stored, a part that was split is still covered by its
// former record.
func (b *RecordBatch) addProgress(j *job, maxRecordBytes int) error {
	for i := len(j.parts) - 1; i >= 0; i-- {
		p := &j.parts[i]
		if !p.changed {
			continue
		}
		end := j.partEnd(i)
		record, err := encodeRecord(progressKey(j.spec.ID, p.first), j.progress(p.first, end))
		if err != nil {
			return err
		}
		if maxRecordBytes > 0 && record.size() > maxRecordBytes && end-p.first > 1 {
			middle := p.first + (end-p.first)/2
			j.parts = slices.Insert(j.parts, i+1, progressPart{first: middle, changed: true})
			i += 2 // both halves are added next
			continue
		}
		b.Records = append(b.Records, record)
		p.changed, p.stored = false, true
	}
	return nil
}

// dropProgress adds the deletion of the progress of an ended job.
func (b *RecordBatch) dropProgress(j *job) {
	for _, p := range j.parts {
		if p.stored {
			b.Records = append(b.Records, Record{Key: progressKey(j.spec.ID, p.first)})
		}
	}
}

// partEnd returns the number of the task after part i.
func (j *job) partEnd(i int) int {
	if i+1 < len(j.parts) {
		return j.parts[i+1].first
	}
	return j.taskCount
}

// progress returns the record of the tasks from first up to end.
func (j *job) progress(first, end int) progressRecord {
	rec := progressRecord{Begun: j.begun}
	size := j.tasksPerOccurrence()
	for number := first / size; number*size < end; number++ {
		i, open := j.findOpen(number)
		if !open && !j.done.has(number) {
			continue
		}
		firstTask := number * size // of the step
		for k := range j.spec.Steps {
			count := j.spec.Steps[k].Count
			from, to := max(first-firstTask, 0), min(end-firstTask, count)
			firstTask += count
			if from >= to {
				continue
			}
			p := stepProgress{Occurrence: number, Step: k, First: from}
			if open {
				p.addTasks(j.open[i].steps[k].tasks[from:to])
			} else {
				p.Done = allDone(to - from)
			}
			if p.Done != nil || p.Failures != nil {
				rec.Steps = append(rec.Steps, p)
			}
		}
	}
	return rec
}

// addTasks adds what the tasks from p.First on have achieved.
func (p *stepProgress) addTasks(tasks []*task) {
	for i, t := range tasks {
		if t.done {
			if p.Done == nil {
				p.Done = make([]byte, (len(tasks)+7)/8)
			}
			p.Done[i/8] |= 1 << (i % 8)
		}
		if len(t.failedRuns) > 0 {
			if p.Failures == nil {
				p.Failures = make(map[int][]int64)
			}
			p.Failures[t.index] = t.failedRuns
		}
	}
}

// allDone returns the bits of n done tasks.
func allDone(n int) []byte {
	out := make([]byte, (n+7)/8)
	for i := range n {
		out[i/8] |= 1 << (i % 8)
	}
	return out
}

// restoreProgress restores the parts of a job, marks its done tasks and counts their failed
// runs. Parts, steps and tasks that the job does not have are skipped.
func (e *Engine) restoreProgress(j *job, records []progressRecord, now time.Duration) {
	for _, rec := range records {
		i, found := slices.BinarySearchFunc(j.parts, rec.first, func(p progressPart, n int) int { return cmp.Compare(p.first, n) })
		switch {
		case rec.first < 0 || rec.first >= j.taskCount:
			continue
		case !found:
			j.parts = slices.Insert(j.parts, i, progressPart{first: rec.first, stored: true})
		default:
			j.parts[i].stored = true
		}
	}
	for _, rec := range records {
		j.begun = j.begun || rec.Begun
		for _, p := range rec.Steps {
			if p.Step < 0 || p.Step >= len(j.spec.Steps) || p.First < 0 {
				continue
			}
			if o := e.occurrence(j, p.Occurrence); o != nil {
				e.restoreStep(o.steps[p.Step], &p, now)
			}
		}
	}
	if j.begun && j.state == Queued {
		j.state = Running
	}
}

// restoreStep restores the progress of the tasks of a step that one record covers.
func (e *Engine) restoreStep(s *step, p *stepProgress, now time.Duration) {
	for _, t := range s.tasks {
		for _, run := range p.Failures[t.index] {
			if !slices.Contains(t.failedRuns, run) {
				t.failedRuns = append(t.failedRuns, run)
			}
			t.lastRun = max(t.lastRun, run)
		}
		if i := t.index - p.First; i >= 0 && i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			e.taskDone(t, now)
		}
	}
}
