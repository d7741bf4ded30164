package sched

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// queueRecord is the stored form of a queue that has taken jobs. A new leader carries their
// jobs on by it if the configuration lacks the queue.
type queueRecord struct {
	Name        string         `cbor:"1,keyasint"`
	Service     string         `cbor:"2,keyasint"`
	Priority    int            `cbor:"3,keyasint,omitempty"`
	MaxAttempts int            `cbor:"4,keyasint"`
	Stretch     float64        `cbor:"5,keyasint,omitempty"`
	Target      time.Duration  `cbor:"6,keyasint,omitempty"`
	Advisor     *advisorRecord `cbor:"7,keyasint,omitempty"`
}

// advisorRecord is the stored form of an advisor.
type advisorRecord struct {
	BaseDuration       time.Duration `cbor:"1,keyasint,omitempty"`
	DurationPerMachine time.Duration `cbor:"2,keyasint,omitempty"`
	TicketLife         time.Duration `cbor:"3,keyasint,omitempty"`
}

// storedQueue is the record of a queue that Flush has returned, or that was restored.
type storedQueue struct {
	queue *Queue // from which it was made, nil if it was restored
	value []byte
}

// queueKey returns the key of the record of a queue. Operators choose the names of queues,
// which may be longer than a key.
func queueKey(name string) string {
	sum := sha256.Sum256([]byte(name))
	return prefixQueue + hex.EncodeToString(sum[:])
}

// SetQueues adds the queues of a configuration and replaces those of the same name, also
// for the jobs that have not ended. A queue that the configuration lacks stays as it was,
// and still takes jobs. An older version than the current one is ignored.
func (e *Engine) SetQueues(version int64, queues []Queue) {
	if version < e.configVersion {
		return
	}
	e.log.Info().Str("event", "queues_in_force").Int64("version", version).Int64("replaced", e.configVersion).
		Int("queues", len(queues)).Send()
	e.configVersion = version
	configured := make(map[string]bool, len(queues))
	for _, q := range queues {
		e.queues[q.Name] = &q
		configured[q.Name] = true
	}
	inUse := make(map[string]bool)
	for _, j := range e.liveJobs {
		inUse[j.spec.Queue] = true
		if q := e.queues[j.spec.Queue]; q != nil {
			j.replaceQueue(q)
		}
	}
	e.journal.queuesChanged = true
	for name := range e.storedQueues {
		if !configured[name] && !inUse[name] {
			delete(e.storedQueues, name)
			e.journal.droppedKeys = append(e.journal.droppedKeys, queueKey(name))
		}
	}
}

// replaceQueue sets the queue of j. Answers of an advisor that the queue no longer has are forgotten: the next one that
// it gets may decide otherwise.
func (j *job) replaceQueue(q *Queue) {
	if j.queue != nil && j.queue.Advisor != nil && q.Advisor == nil {
		for _, o := range j.open {
			for _, s := range o.steps {
				s.advice.dropAnswers()
			}
		}
	}
	j.queue = q
}

// addQueues adds the records of queues that have new jobs, and of those stored before whose
// policy has changed since.
func (e *Engine) addQueues(b *RecordBatch) error {
	for _, j := range e.journal.newJobs {
		if err := e.addQueue(b, j.spec.Queue); err != nil {
			return err
		}
	}
	if !e.journal.queuesChanged {
		return nil
	}
	for name := range e.storedQueues {
		if err := e.addQueue(b, name); err != nil {
			return err
		}
	}
	return nil
}

// addQueue adds the record of a queue unless it is stored as it is now.
func (e *Engine) addQueue(b *RecordBatch, name string) error {
	q, stored := e.queues[name], e.storedQueues[name]
	if q == nil || stored.queue == q {
		return nil
	}
	rec := queueRecord{Name: q.Name, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target}
	if a := q.Advisor; a != nil {
		rec.Advisor = &advisorRecord{a.BaseDuration, a.DurationPerMachine, a.TicketLife}
	}
	record, err := encodeRecord(queueKey(name), rec)
	if err != nil {
		return err
	}
	if !bytes.Equal(record.Value, stored.value) {
		b.Records = append(b.Records, record)
	}
	e.storedQueues[name] = storedQueue{q, record.Value}
	return nil
}

// restoreQueue restores the policy of a queue if the configuration lacks it.
func (e *Engine) restoreQueue(data []byte) error {
	var rec queueRecord
	if err := cbor.Unmarshal(data, &rec); err != nil {
		return errors.Wrap(err, "decode queue")
	}
	e.storedQueues[rec.Name] = storedQueue{value: data}
	if e.queues[rec.Name] != nil {
		return nil
	}
	q := &Queue{Name: rec.Name, Service: rec.Service, Priority: rec.Priority, MaxAttempts: max(rec.MaxAttempts, 1), Stretch: rec.Stretch, Target: rec.Target}
	if a := rec.Advisor; a != nil {
		q.Advisor = &Advisor{BaseDuration: a.BaseDuration, DurationPerMachine: a.DurationPerMachine, TicketLife: a.TicketLife}
	}
	e.queues[rec.Name] = q
	e.log.Info().Str("event", "queue_restored").Str("queue", q.Name).Str("service", q.Service).Int64("config", e.configVersion).Send()
	return nil
}
