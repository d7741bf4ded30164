package sched

import (
	"unsafe"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// defaultMaxJobBytes is the default of Config.MaxJobBytes. It is a fifth of the memory of
// the smallest hosts.
const defaultMaxJobBytes = 32 << 20

const (
	// jobOverheadBytes is the memory of a job beside its steps and its record: the struct, its places in
	// lists and maps, and functions that wait for its end.
	jobOverheadBytes = 1 << 10
	// nameBytes is the memory of the name of a step or task: its id of up to 20 bytes, three numbers and
	// the dots between them.
	nameBytes = 48
	// progressBytes is the size of a step of one occurrence in the record of a job's progress, beside a bit for
	// each task.
	progressBytes = 16
	pointerBytes  = int64(unsafe.Sizeof(uintptr(0)))
	// occurrencesShare is the divisor of Config.MaxJobBytes that gives the memory that occurrences beyond
	// one of each job may take, so that a backlog of theirs leaves room for new jobs.
	occurrencesShare = 2
)

// jobSize is the memory that a job takes, in bytes.
type jobSize struct {
	fixed      int64 // without its tasks
	occurrence int64 // of the tasks of one open occurrence
}

// newJobSize returns the size of a job whose record has recordBytes. It depends on nothing else, so that
// each leader gets the same.
func newJobSize(spec *Job, recordBytes int) jobSize {
	steps, tasks := int64(len(spec.Steps)), int64(0)
	for i := range spec.Steps {
		tasks += int64(spec.Steps[i].Count)
	}
	occurrences := int64(spec.Occurrences())
	return jobSize{
		// Texts are in the record and in the decoded job.
		fixed: jobOverheadBytes + 2*int64(recordBytes) + steps*int64(unsafe.Sizeof(Step{})) + occurrences*(steps*progressBytes+tasks/8),
		occurrence: int64(unsafe.Sizeof(occurrence{})) + pointerBytes +
			steps*(int64(unsafe.Sizeof(step{}))+pointerBytes+nameBytes) +
			tasks*(int64(unsafe.Sizeof(task{}))+pointerBytes+nameBytes),
	}
}

// least returns the memory that a job needs to be carried on: one occurrence at a time.
func (s jobSize) least() int64 { return s.fixed + s.occurrence }

// jobMemory is the memory that all jobs take whose end is not stored, in bytes. Each job has room for one
// open occurrence, which is reserved when it is accepted. A new leader opens no other occurrences
// than its predecessor had open, so a bound on the memory holds for each of them.
type jobMemory struct {
	fixed   int64 // of all jobs without their tasks
	first   int64 // reserved for one open occurrence of each job
	further int64 // open occurrences beyond one of each job
	open    int64 // all open occurrences
}

// used returns the memory that is reserved or in use.
func (m *jobMemory) used() int64 { return m.fixed + m.first + m.further }

// add adds a job without open occurrences.
func (m *jobMemory) add(j *job) {
	m.fixed += j.size.fixed
	m.first += j.size.occurrence
}

// remove removes a job with its open occurrences.
func (m *jobMemory) remove(j *job) {
	m.fixed -= j.size.fixed
	m.first -= j.size.occurrence
	m.further -= int64(max(len(j.open)-1, 0)) * j.size.occurrence
	m.open -= int64(len(j.open)) * j.size.occurrence
}

// opened takes into account that j has one more open occurrence.
func (m *jobMemory) opened(j *job) {
	m.open += j.size.occurrence
	if len(j.open) > 1 {
		m.further += j.size.occurrence
	}
}

// closed takes into account that j has one open occurrence less.
func (m *jobMemory) closed(j *job) {
	m.open -= j.size.occurrence
	if len(j.open) > 0 {
		m.further -= j.size.occurrence
	}
}

// canOpen reports whether j may open another occurrence within limit. Its first one has room, unless
// a leader without such a limit has accepted more jobs; these take turns.
func (m *jobMemory) canOpen(j *job, limit int64) bool {
	need := j.size.occurrence
	if len(j.open) == 0 {
		return m.fixed+m.open+need <= limit || m.open+need <= limit/occurrencesShare || m.open == 0
	}
	return m.further+need <= limit/occurrencesShare && m.used()+need <= limit
}

// admit returns an error if a job does not fit within limit beside the others, or alone.
func (m *jobMemory) admit(size jobSize, limit int64) error {
	need := size.least()
	switch {
	case need > limit:
		return errkind.New(errkind.BadInput, "job_too_large", "the job takes %d bytes of memory; at most %d are allowed for all jobs",
			need, limit)
	case m.used()+need > limit:
		return errkind.New(errkind.Overloaded, "job_memory_full",
			"the jobs that have not ended take %d bytes of memory and this job takes %d; at most %d are allowed for all jobs",
			m.used(), need, limit)
	}
	return nil
}
