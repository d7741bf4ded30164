package sched

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// The prefixes of the keys of records.
const (
	prefixJob      = "j"
	prefixProgress = "p"
	prefixMachine  = "m"
	prefixQueue    = "q"
)

func jobKey(id string) string     { return prefixJob + id }
func machineKey(id string) string { return prefixMachine + id }

// jobRecord is the stored form of a job. That of an ended job has no Spec.
type jobRecord struct {
	Spec  *Job     `cbor:"1,keyasint,omitempty"`
	State JobState `cbor:"2,keyasint,omitempty"`
	Ended int64    `cbor:"3,keyasint,omitempty"` // Unix ms
	// Tenant is set only for an ended job; Spec holds that of others. Records of ended jobs that builds
	// without tenants have stored lack it.
	Tenant string `cbor:"4,keyasint,omitempty"`
	// Holding is what the runs of an ended job still held, nil if it had none, or has no tenant.
	Holding *formerHolding `cbor:"5,keyasint,omitempty"`
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
	// queuesChanged means that SetQueues was called since the last Flush.
	queuesChanged bool
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
	for _, k := range changes.droppedKeys { // first, since what they name may be back
		b.Records = append(b.Records, Record{Key: k})
	}
	if err := e.addQueues(b); err != nil {
		return nil, false, err
	}
	for _, j := range changes.newJobs {
		b.Records = append(b.Records, j.newRecord)
		j.newRecord = Record{}
	}
	for _, j := range e.liveJobs {
		if !changes.changedJobs[j] || j.state.final() {
			continue
		}
		if err := b.addProgress(j, e.cfg.MaxRecordBytes); err != nil {
			return nil, false, err
		}
	}
	for _, j := range changes.endedJobs {
		rec := jobRecord{State: j.state, Ended: wall.UnixMilli(), Tenant: j.spec.Tenant, Holding: e.holdingAtEnd(j)}
		if err := b.add(jobKey(j.spec.ID), rec); err != nil {
			return nil, false, err
		}
		b.dropProgress(j)
	}
	for _, m := range changes.machines {
		if err := e.addMachineRecord(b, m); err != nil {
			return nil, false, err
		}
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

// addMachineRecord adds the record of a machine. If the names of the tasks that may run on
// an unresponsive machine do not fit, a new leader has to wait for the machine or its lease.
func (e *Engine) addMachineRecord(b *RecordBatch, m *machineState) error {
	rec := machineRecord{Machine: m.spec, Unresponsive: m.tasksRecorded}
	if m.tasksRecorded {
		rec.Tasks = lo.Map(m.sortedRuns(), func(r *run, _ int) string { return r.task.name })
	}
	record, err := encodeRecord(machineKey(m.spec.ID), rec)
	if err != nil {
		return err
	}
	if size := record.size(); m.tasksRecorded && e.cfg.MaxRecordBytes > 0 && size > e.cfg.MaxRecordBytes {
		m.tasksRecorded = false
		e.log.Warn().Str("event", "machine_tasks_not_recorded").Str("machine", m.spec.ID).Int("tasks", len(rec.Tasks)).
			Int("bytes", size).Int("limit", e.cfg.MaxRecordBytes).Send()
		return b.add(machineKey(m.spec.ID), machineRecord{Machine: m.spec})
	}
	b.Records = append(b.Records, record)
	return nil
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
		j.answerSubmissions(nil)
	}
	for _, j := range b.endedJobs {
		j.finalStored = true
		e.endedInMemory = append(e.endedInMemory, j)
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

// RecordRefused takes into account that the log does not take a record of a batch. It must be
// called before BatchStored. A new job is not accepted. A job whose progress cannot be stored
// fails, since a new leader would run its done tasks again; no ends are acknowledged before
// that is stored. The records of machines and of ended jobs are returned again by the next
// Flush; such a machine takes no work meanwhile.
func (e *Engine) RecordRefused(b *RecordBatch, r Record, now time.Duration) {
	e.log.Error().Str("event", "record_refused").Str("key", r.Key).Int("bytes", r.size()).Send()
	refusal := errkind.New(errkind.BadInput, "record_refused", "the log does not take the record of the job, of %d bytes", r.size())
	isNamed := func(j *job) bool { return r.Key == jobKey(j.spec.ID) }
	for _, j := range lo.Filter(b.newJobs, func(j *job, _ int) bool { return isNamed(j) && len(r.Value) > 0 }) {
		b.newJobs = lo.Without(b.newJobs, j)
		e.forgetNewJob(j)
		j.answerSubmissions(refusal)
	}
	for _, j := range lo.Filter(b.endedJobs, func(j *job, _ int) bool { return isNamed(j) }) {
		b.endedJobs = lo.Without(b.endedJobs, j)
		e.journal.endedJobs = append(e.journal.endedJobs, j)
	}
	for _, m := range lo.Filter(b.machines, func(m *machineState, _ int) bool { return r.Key == machineKey(m.spec.ID) }) {
		b.machines = lo.Without(b.machines, m)
		e.journal.machines = append(e.journal.machines, m)
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(r.Key, prefixProgress), ".")
	if j := e.jobs[id]; j != nil && strings.HasPrefix(r.Key, prefixProgress) && len(r.Value) > 0 {
		b.storedEnds = nil
		if !j.state.final() {
			e.finish(j, Failed, "the log does not take the record of its progress", now)
		}
	}
}

// answerSubmissions tells the callers that wait until the job is stored.
func (j *job) answerSubmissions(err error) {
	for _, f := range j.onStored {
		f(err)
	}
	j.onStored = nil
}

// runAndClear calls the functions of a list and empties it.
func runAndClear(list *[]func()) {
	for _, f := range *list {
		f()
	}
	*list = nil
}

// Restore loads the records that former leaders have stored. It must be called on a new
// engine, after SetQueues, whose queues the jobs refer to; a queue that the configuration
// lacks is restored from its record. Records that cannot be read
// are logged and skipped; those without an id, a value or a known prefix are only skipped.
// wall is the wall clock time at now.
func (e *Engine) Restore(records []Record, now time.Duration, wall time.Time) {
	progress := make(map[string][]progressRecord) // by job id
	var unresponsive []machineRecord
	for _, r := range records { // before the jobs, which refer to queues
		if strings.HasPrefix(r.Key, prefixQueue) && len(r.Value) > 0 {
			if err := e.restoreQueue(r.Value); err != nil {
				e.log.Error().Str("event", "record_unreadable").Str("key", r.Key).Err(err).Send()
			}
		}
	}
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
			var rec progressRecord
			if rec, err = decodeProgress(r.Key, r.Value); err == nil {
				progress[rec.job] = append(progress[rec.job], rec)
			}
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
	for id, parts := range progress {
		if j := e.jobs[id]; j != nil && !j.state.final() {
			e.restoreProgress(j, parts, now)
		}
	}
	for _, rec := range unresponsive {
		for _, name := range rec.Tasks {
			t, m := e.findTask(name), e.machines[rec.Machine.ID]
			if t != nil && m != nil {
				if len(t.mayRunOn) == 0 {
					e.former.tasks = append(e.former.tasks, t)
				}
				t.mayRunOn = append(t.mayRunOn, m)
			}
		}
	}
	e.former.jobs, e.runsResolved = slices.Clone(e.liveJobs), false
	e.log.Info().Str("event", "state_restored").Int("records", len(records)).Int("live_jobs", len(e.liveJobs)).
		Int("machines", len(e.machines)).Send()
}

// restoreJob adds a stored job. An ended one keeps only its state and its tenant. A job whose queue is
// neither in the configuration nor stored gets a queue without a service, so that its
// tasks wait until SetQueues has the queue.
func (e *Engine) restoreJob(id string, data []byte, now time.Duration, wall time.Time) error {
	var rec jobRecord
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return errors.Wrap(err, "decode job")
	}
	if rec.Spec == nil {
		e.jobs[id] = &job{spec: Job{ID: id, Tenant: rec.Tenant}, state: rec.State, stored: true, finalStored: true, begun: true}
		if rec.Holding != nil {
			e.former.ended = append(e.former.ended, *rec.Holding)
		}
		e.endedJobs = append(e.endedJobs, endedJob{id, now - clampSpan(spanOfMillis(wall.UnixMilli()-rec.Ended))})
		return nil
	}
	rec.Spec.clampTimes()
	if err := rec.Spec.Validate(); err != nil {
		return errors.Wrap(err, "validate stored job")
	}
	q := e.queues[rec.Spec.Queue]
	if q == nil {
		q = &Queue{Name: rec.Spec.Queue, MaxAttempts: math.MaxInt, Stretch: 1}
		e.log.Warn().Str("event", "queue_unknown").Str("job", id).Str("queue", q.Name).Send()
	} else if _, stored := e.storedQueues[q.Name]; !stored {
		e.storedQueues[q.Name] = storedQueue{} // to be stored with the next Flush
	}
	j := e.newJob(*rec.Spec, q, Record{Key: jobKey(id), Value: data}.size(), now, wall)
	j.stored, j.restored = true, true
	e.addJob(j)
	return nil
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
