package sched

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

// The prefixes of the keys of records.
const (
	prefixJob      = "j"
	prefixProgress = "p"
	prefixMachine  = "m"
)

func jobKey(id string) string      { return prefixJob + id }
func progressKey(id string) string { return prefixProgress + id }
func machineKey(id string) string  { return prefixMachine + id }

// jobRecord is the stored form of a job. That of an ended job has no Spec.
type jobRecord struct {
	Spec  *Job     `cbor:"1,keyasint,omitempty"`
	State JobState `cbor:"2,keyasint,omitempty"`
	Ended int64    `cbor:"3,keyasint,omitempty"` // Unix ms
}

// progressRecord holds what a job has achieved so far.
type progressRecord struct {
	Begun bool           `cbor:"1,keyasint,omitempty"`
	Steps []stepProgress `cbor:"2,keyasint,omitempty"` // only steps with done or failed tasks
}

// stepProgress is the progress of one step of one occurrence.
type stepProgress struct {
	Occurrence int             `cbor:"1,keyasint,omitempty"`
	Step       int             `cbor:"2,keyasint,omitempty"`
	Done       []byte          `cbor:"3,keyasint,omitempty"` // one bit for each task, the lowest bit of byte 0 first
	Failures   map[int][]int64 `cbor:"4,keyasint,omitempty"` // index of a task to the numbers of its failed runs
}

// machineRecord is the stored form of a machine.
type machineRecord struct {
	Machine Machine `cbor:"1,keyasint"`
	// Unresponsive means that the machine did not answer, and that no other tasks than
	// Tasks can run on it.
	Unresponsive bool     `cbor:"2,keyasint,omitempty"`
	Tasks        []string `cbor:"3,keyasint,omitempty"`
}

// journal collects what has changed and has to be stored with the next Flush.
type journal struct {
	newJobs     []*job
	changedJobs map[*job]bool // jobs whose progress has changed
	endedJobs   []*job
	machines    []*machineState
	droppedKeys []string
}

// RecordBatch is a set of records that are stored together.
type RecordBatch struct {
	Records    []Record
	newJobs    []*job
	endedJobs  []*job
	machines   []*machineState
	storedEnds []storedEnd
}

// storedEnd is the number up to which the effects of a machine's ends are in a batch.
type storedEnd struct {
	machine *machineState
	token   int64
	number  int64
}

// Flush returns what has changed since the last Flush and has to be stored, and false if
// there is nothing. BatchStored must be called before the next Flush. A batch can have no
// records and only ends to acknowledge. wall is the time that is stored as the end of
// ended jobs. An error means that a record cannot be encoded; nothing is handed out then.
func (e *Engine) Flush(wall time.Time) (*RecordBatch, bool, error) {
	changes := &e.journal
	b := &RecordBatch{}
	for _, j := range changes.newJobs {
		b.Records = append(b.Records, j.newRecord)
		j.newRecord = Record{}
	}
	for _, j := range e.liveJobs {
		if !changes.changedJobs[j] || j.state.final() {
			continue
		}
		if err := b.add(progressKey(j.spec.ID), progressOf(j)); err != nil {
			return nil, false, err
		}
		j.progressStored = true
	}
	for _, j := range changes.endedJobs {
		if err := b.add(jobKey(j.spec.ID), jobRecord{State: j.state, Ended: wall.UnixMilli()}); err != nil {
			return nil, false, err
		}
		if j.progressStored {
			b.Records = append(b.Records, Record{Key: progressKey(j.spec.ID)})
		}
	}
	for _, m := range changes.machines {
		rec := machineRecord{Machine: m.spec, Unresponsive: m.tasksRecorded}
		if m.tasksRecorded {
			rec.Tasks = lo.Map(m.sortedRuns(), func(r *run, _ int) string { return r.task.name })
		}
		if err := b.add(machineKey(m.spec.ID), rec); err != nil {
			return nil, false, err
		}
	}
	for _, k := range changes.droppedKeys {
		b.Records = append(b.Records, Record{Key: k})
	}
	for _, m := range e.byID {
		if m.processedEnds > m.storedEnds {
			b.storedEnds = append(b.storedEnds, storedEnd{m, m.token, m.processedEnds})
		}
	}
	b.newJobs, b.endedJobs, b.machines = changes.newJobs, changes.endedJobs, changes.machines
	*changes = journal{changedJobs: make(map[*job]bool)}
	return b, len(b.Records) > 0 || len(b.storedEnds) > 0, nil
}

// add encodes a record and adds it to the batch.
func (b *RecordBatch) add(key string, v any) error {
	record, err := encodeRecord(key, v)
	if err == nil {
		b.Records = append(b.Records, record)
	}
	return err
}

// encodeRecord encodes a record with CBOR.
func encodeRecord(key string, v any) (Record, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return Record{}, errors.Wrapf(err, "encode record %s", key)
	}
	return Record{Key: key, Value: data}, nil
}

// size returns the bytes that r takes in the log: its key with one byte for the length, and its value.
func (r Record) size() int { return 1 + len(r.Key) + len(r.Value) }

// BatchStored confirms that a batch is stored, and tells the callers that wait for it.
func (e *Engine) BatchStored(b *RecordBatch, now time.Duration) {
	for _, j := range b.newJobs {
		j.stored = true
		runAndClear(&j.onStored)
	}
	for _, j := range b.endedJobs {
		j.finalStored = true
		runAndClear(&j.onFinal)
		e.endedJobs = append(e.endedJobs, endedJob{j.spec.ID, now})
	}
	for _, m := range b.machines {
		m.unstoredRecords--
	}
	for _, end := range b.storedEnds {
		if end.machine.token == end.token {
			end.machine.storedEnds = max(end.machine.storedEnds, end.number)
		}
	}
}

// runAndClear calls the functions of a list and empties it.
func runAndClear(list *[]func()) {
	for _, f := range *list {
		f()
	}
	*list = nil
}

// progressOf returns the progress record of a job.
func progressOf(j *job) progressRecord {
	rec := progressRecord{Begun: j.begun}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			p := stepProgress{Occurrence: o.number, Step: s.index}
			if s.doneTasks > 0 {
				p.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			for i, t := range s.tasks {
				if t.done {
					p.Done[i/8] |= 1 << (i % 8)
				}
				if len(t.failedRuns) > 0 {
					if p.Failures == nil {
						p.Failures = make(map[int][]int64)
					}
					p.Failures[i] = t.failedRuns
				}
			}
			if p.Done != nil || p.Failures != nil {
				rec.Steps = append(rec.Steps, p)
			}
		}
	}
	return rec
}

// Restore loads the records that former leaders have stored. It must be called on a new
// engine, after SetQueues, whose queues the jobs refer to. Records that cannot be read
// are logged and skipped; those without an id, a value or a known prefix are only skipped.
// wall is the wall clock time at now.
func (e *Engine) Restore(records []Record, now time.Duration, wall time.Time) {
	progress := make(map[string][]byte)
	var unresponsive []machineRecord
	for _, r := range records {
		if len(r.Key) < 2 || len(r.Value) == 0 {
			continue
		}
		id := r.Key[1:]
		var err error
		switch r.Key[:1] {
		case prefixJob:
			err = e.restoreJob(id, r.Value, now, wall)
		case prefixProgress:
			progress[id] = r.Value
		case prefixMachine:
			var rec machineRecord
			if rec, err = e.restoreMachine(r.Value, now); rec.Unresponsive {
				unresponsive = append(unresponsive, rec)
			}
		}
		if err != nil {
			e.log.Error().Str("event", "record_unreadable").Str("key", r.Key).Err(err).Send()
		}
	}
	for id, data := range progress {
		var rec progressRecord
		if err := cbor.Unmarshal(data, &rec); err != nil {
			e.log.Error().Str("event", "record_unreadable").Str("key", progressKey(id)).Err(err).Send()
			continue
		}
		if j := e.jobs[id]; j != nil && !j.state.final() {
			e.restoreProgress(j, &rec, now)
		}
	}
	for _, rec := range unresponsive {
		for _, name := range rec.Tasks {
			if t := e.findTask(name); t != nil {
				t.mayRunOn = e.machines[rec.Machine.ID]
			}
		}
	}
	e.runsResolved = false
	e.log.Info().Str("event", "state_restored").Int("records", len(records)).Int("live_jobs", len(e.liveJobs)).
		Int("machines", len(e.machines)).Send()
}

// restoreJob adds a stored job. An ended one keeps only its state. A job whose queue is
// not in the configuration gets a queue without a service, so that its tasks wait until
// SetQueues has the queue.
func (e *Engine) restoreJob(id string, data []byte, now time.Duration, wall time.Time) error {
	var rec jobRecord
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return errors.Wrap(err, "decode job")
	}
	if rec.Spec == nil {
		e.jobs[id] = &job{spec: Job{ID: id}, state: rec.State, stored: true, finalStored: true, begun: true}
		age := time.Duration(wall.UnixMilli()-rec.Ended) * time.Millisecond
		e.endedJobs = append(e.endedJobs, endedJob{id, now - max(age, 0)})
		return nil
	}
	if err := rec.Spec.Validate(); err != nil {
		return errors.Wrap(err, "validate stored job")
	}
	q := e.queues[rec.Spec.Queue]
	if q == nil {
		q = &Queue{Name: rec.Spec.Queue, MaxAttempts: 1, Stretch: 1}
		e.log.Warn().Str("event", "queue_unknown").Str("job", id).Str("queue", q.Name).Send()
	}
	j := newJob(*rec.Spec, q)
	j.stored, j.restored = true, true
	j.setTimes(now, wall, &e.estimator)
	e.jobs[id] = j
	e.liveJobs = append(e.liveJobs, j)
	return nil
}

// restoreProgress marks the done tasks of a restored job and counts their failed runs.
// Steps that the job does not have are skipped.
func (e *Engine) restoreProgress(j *job, rec *progressRecord, now time.Duration) {
	j.begun, j.progressStored = rec.Begun, true
	if j.begun {
		j.state = Running
	}
	for _, p := range rec.Steps {
		if p.Occurrence < 0 || p.Occurrence >= len(j.occurrences) ||
			p.Step < 0 || p.Step >= len(j.occurrences[p.Occurrence].steps) {
			continue
		}
		s := j.occurrences[p.Occurrence].steps[p.Step]
		for i, t := range s.tasks {
			t.failedRuns = p.Failures[i]
			for _, run := range t.failedRuns {
				t.lastRun = max(t.lastRun, run)
			}
			if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
				e.taskDone(t, now)
			}
		}
	}
}

// restoreMachine adds a stored machine, which may have runs of former leaders.
func (e *Engine) restoreMachine(data []byte, now time.Duration) (machineRecord, error) {
	var rec machineRecord
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return rec, errors.Wrap(err, "decode machine")
	}
	m := e.newMachine(rec.Machine, now)
	m.mayHaveFormerRuns, m.tasksRecorded, m.unresponsive = true, rec.Unresponsive, rec.Unresponsive
	e.insertMachine(m)
	return rec, nil
}
