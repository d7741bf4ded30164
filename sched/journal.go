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

// jobRecord is the stored form of a job. A final one has no Spec.
type jobRecord struct {
	Spec  *Job     `cbor:"1,keyasint,omitempty"`
	State JobState `cbor:"2,keyasint,omitempty"`
	Ended int64    `cbor:"3,keyasint,omitempty"` // Unix ms
}

// progressRecord holds what a job has achieved so far.
type progressRecord struct {
	Begun bool           `cbor:"1,keyasint,omitempty"`
	Steps []stepProgress `cbor:"2,keyasint,omitempty"` // only steps with something to tell
}

type stepProgress struct {
	Occurrence int             `cbor:"1,keyasint,omitempty"`
	Step       int             `cbor:"2,keyasint,omitempty"`
	Done       []byte          `cbor:"3,keyasint,omitempty"` // one bit a task
	Failures   map[int][]int64 `cbor:"4,keyasint,omitempty"` // task to its failed runs
}

type machineRecord struct {
	Machine Machine `cbor:"1,keyasint"`
	// Unresponsive means that the machine did not answer, and that no other tasks than
	// Tasks can run on it.
	Unresponsive bool     `cbor:"2,keyasint,omitempty"`
	Tasks        []string `cbor:"3,keyasint,omitempty"`
}

// journal collects what has to be stored.
type journal struct {
	fresh    []*job
	dirty    map[*job]bool // progress has changed
	final    []*job
	machines []*machineState
	drops    []string
}

// RecordBatch is a set of records that are stored together.
type RecordBatch struct {
	Records  []Record
	fresh    []*job
	final    []*job
	machines []*machineState
	acks     []ack
}

type ack struct {
	m      *machineState
	token  int64
	number int64
}

// Flush returns what has to be stored since the last Flush, and false if there is
// nothing. Flushed must be called before the next Flush.
func (e *Engine) Flush(wall time.Time) (*RecordBatch, bool, error) {
	j := &e.journal
	b := &RecordBatch{}
	for _, x := range j.fresh {
		if err := b.add(jobKey(x.spec.ID), jobRecord{Spec: &x.spec}); err != nil {
			return nil, false, err
		}
	}
	for _, x := range e.live {
		if !j.dirty[x] || x.state.final() {
			continue
		}
		if err := b.add(progressKey(x.spec.ID), progressOf(x)); err != nil {
			return nil, false, err
		}
		x.progressStored = true
	}
	for _, x := range j.final {
		if err := b.add(jobKey(x.spec.ID), jobRecord{State: x.state, Ended: wall.UnixMilli()}); err != nil {
			return nil, false, err
		}
		if x.progressStored {
			b.Records = append(b.Records, Record{Key: progressKey(x.spec.ID)})
		}
	}
	for _, m := range j.machines {
		rec := machineRecord{Machine: m.spec, Unresponsive: m.named}
		if m.named {
			rec.Tasks = lo.Map(m.sortedRuns(), func(r *run, _ int) string { return r.task.name })
		}
		if err := b.add(machineKey(m.spec.ID), rec); err != nil {
			return nil, false, err
		}
	}
	for _, k := range j.drops {
		b.Records = append(b.Records, Record{Key: k})
	}
	for _, m := range e.byID {
		if m.processed > m.ackable {
			b.acks = append(b.acks, ack{m, m.token, m.processed})
		}
	}
	b.fresh, b.final, b.machines = j.fresh, j.final, j.machines
	*j = journal{dirty: make(map[*job]bool)}
	return b, len(b.Records) > 0 || len(b.acks) > 0, nil
}

func (b *RecordBatch) add(key string, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode record %s", key)
	}
	b.Records = append(b.Records, Record{Key: key, Value: data})
	return nil
}

// BatchStored confirms that a batch is stored.
func (e *Engine) BatchStored(b *RecordBatch, now time.Duration) {
	for _, j := range b.fresh {
		j.stored = true
		call(&j.onStored)
	}
	for _, j := range b.final {
		j.finalStored = true
		call(&j.onFinal)
		e.expired = append(e.expired, finalJob{j.spec.ID, now})
	}
	for _, m := range b.machines {
		m.unsaved--
	}
	for _, a := range b.acks {
		if a.m.token == a.token {
			a.m.ackable = max(a.m.ackable, a.number)
		}
	}
}

func call(list *[]func()) {
	for _, f := range *list {
		f()
	}
	*list = nil
}

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
				if len(t.failed) > 0 {
					if p.Failures == nil {
						p.Failures = make(map[int][]int64)
					}
					p.Failures[i] = t.failed
				}
			}
			if p.Done != nil || p.Failures != nil {
				rec.Steps = append(rec.Steps, p)
			}
		}
	}
	return rec
}

// Restore loads the records that former leaders have stored. It must be called
// before anything else. Records that cannot be read are reported and skipped.
func (e *Engine) Restore(records []Record, now time.Duration, wall time.Time) {
	progress := make(map[string][]byte)
	var silent []machineRecord
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
				silent = append(silent, rec)
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
	for _, rec := range silent {
		for _, name := range rec.Tasks {
			if t := e.findTask(name); t != nil {
				t.mayRunOn = e.machines[rec.Machine.ID]
			}
		}
	}
	e.settled = false
	e.log.Info().Str("event", "state_restored").Int("records", len(records)).Int("live_jobs", len(e.live)).
		Int("machines", len(e.machines)).Send()
}

func (e *Engine) restoreJob(id string, data []byte, now time.Duration, wall time.Time) error {
	var rec jobRecord
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return errors.Wrap(err, "decode job")
	}
	if rec.Spec == nil {
		e.jobs[id] = &job{spec: Job{ID: id}, state: rec.State, stored: true, finalStored: true, begun: true}
		age := time.Duration(wall.UnixMilli()-rec.Ended) * time.Millisecond
		e.expired = append(e.expired, finalJob{id, now - max(age, 0)})
		return nil
	}
	if err := rec.Spec.Validate(); err != nil {
		return errors.Wrap(err, "stored job")
	}
	q := e.queues[rec.Spec.Queue]
	if q == nil {
		q = &Queue{Name: rec.Spec.Queue, MaxAttempts: 1, Stretch: 1}
		e.log.Warn().Str("event", "queue_unknown").Str("job", id).Str("queue", q.Name).Send()
	}
	j := newJob(*rec.Spec, q)
	j.stored, j.restored = true, true
	j.deadlines(now, wall, &e.speeds)
	e.jobs[id] = j
	e.live = append(e.live, j)
	return nil
}

func (e *Engine) restoreProgress(j *job, rec *progressRecord, now time.Duration) {
	j.begun, j.progressStored = rec.Begun, true
	if j.begun {
		j.state = Running
	}
	for _, p := range rec.Steps {
		if p.Occurrence < 0 || p.Occurrence >= len(j.occurrences) || p.Step < 0 || p.Step >= len(j.occurrences[p.Occurrence].steps) {
			continue
		}
		s := j.occurrences[p.Occurrence].steps[p.Step]
		for i, t := range s.tasks {
			t.failed = p.Failures[i]
			for _, run := range t.failed {
				t.lastRun = max(t.lastRun, run)
			}
			if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
				e.taskDone(t, now)
			}
		}
	}
}

func (e *Engine) restoreMachine(data []byte, now time.Duration) (machineRecord, error) {
	var rec machineRecord
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return rec, errors.Wrap(err, "decode machine")
	}
	m := &machineState{
		spec: rec.Machine, token: e.cfg.Token, runs: make(map[runKey]*run), perStep: make(map[*step]int),
		lookedAt: now, foreign: true, named: rec.Unresponsive, silent: rec.Unresponsive,
	}
	m.clock.maxLease = e.cfg.Lease
	e.insert(m)
	return rec, nil
}

// Machines returns the machines that have to be looked at.
func (e *Engine) Machines() []MachineView {
	out := make([]MachineView, 0, len(e.machines))
	for _, m := range e.byID {
		out = append(out, MachineView{m.spec, m.token})
	}
	return out
}

// MachineView is a machine and the token for calls to it.
type MachineView struct {
	Machine Machine
	Token   int64
}
