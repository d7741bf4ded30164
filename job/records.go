package job

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Kinds of the records in upstream.StreamJobs.
const (
	recordAccepted = "job_accepted"
	recordCancel   = "job_cancel"
	recordEnds     = "task_ends"
	recordEnd      = "job_end"
	recordCarried  = "job_carried" // replaces all earlier records of a job
)

// States of a job.
const (
	StateAccepted   = "accepted" // waits or runs
	StateCancelling = "cancelling"
	StateFinished   = "finished"   // final: every task finished
	StateFailed     = "failed"     // final
	StateCancelled  = "cancelled"  // final: no task runs any more
	StateImpossible = "impossible" // final: it can never run
	// StateRefused is the state of a job of the configuration that is not accepted; it
	// is tried again when the configuration or the workers change.
	StateRefused = "refused"
)

// record is the body of every record. Fields that a kind does not use are empty.
type record struct {
	Shard      string        `json:"shard"`
	Job        *workload.Job `json:"job,omitempty"`
	ID         string        `json:"id,omitempty"` // of the job
	Managed    bool          `json:"managed,omitempty"`
	Time       time.Time     `json:"at,omitzero"`
	Ends       []taskEnd     `json:"ends,omitempty"`
	State      string        `json:"state,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	Cancel     bool          `json:"cancel,omitempty"`
	Done       int           `json:"done,omitempty"`   // finished tasks of an ended job
	Failed     int           `json:"failed,omitempty"` // failed attempts of an ended job
	Ended      time.Time     `json:"ended,omitzero"`
	SnapshotAt time.Time     `json:"carried,omitzero"` // when a carried record was written
}

// taskEnd is the end of one attempt that must outlive the job scheduler.
type taskEnd struct {
	Job     string             `json:"j,omitempty"`
	Task    int                `json:"t"`
	Attempt int                `json:"a"`
	State   workload.TaskState `json:"s"`
}

type endKey struct {
	job     string
	task    int
	attempt int
}

func (e taskEnd) key() endKey { return endKey{e.Job, e.Task, e.Attempt} }

// jobState is a job of a shard. It is guarded by the lock of the shard.
type jobState struct {
	job        workload.Job
	managed    bool // wanted by the configuration
	acceptedAt time.Time
	offset     upstream.Offset // newest record that holds the whole job
	recordedAt time.Time
	ends       map[endKey]taskEnd // nil when the job is final
	finished   map[int]bool       // tasks; nil when the job is final
	done       int                // tasks that finished
	failed     int                // attempts that failed
	cancel     bool
	ending     bool // an end record is being written
	state      string
	reason     string
	endedAt    time.Time

	recovering bool // accepted before this tenure; missing tasks may not be placed yet
	regrouping bool // a gang found incomplete, whose rest is being stopped
	submitted  bool // the engine knows the job
	flights    map[string]*flight
	tries      map[string]int
}

func newJobState(j workload.Job) *jobState {
	return &jobState{
		job: j, state: StateAccepted, ends: make(map[endKey]taskEnd), finished: make(map[int]bool),
		flights: make(map[string]*flight), tries: make(map[string]int),
	}
}

func (j *jobState) final() bool { return finalState(j.state) }

// running returns the number of tasks that run.
func (j *jobState) running() int {
	n := 0
	for _, f := range j.flights {
		if f.running {
			n++
		}
	}
	return n
}

func finalState(s string) bool {
	return s != StateAccepted && s != StateCancelling && s != StateRefused
}

// addEnd notes the end of an attempt and reports whether it is new.
func (j *jobState) addEnd(e taskEnd) bool {
	e.Job = j.job.ID
	if _, ok := j.ends[e.key()]; ok || j.final() {
		return false
	}
	j.ends[e.key()] = e
	switch {
	case e.State == workload.Failed:
		j.failed++
	case !j.finished[e.Task]:
		j.finished[e.Task] = true
		j.done++
	}
	return true
}

// complete reports whether every task has finished.
func (j *jobState) complete() bool { return j.done == j.job.Count }

// end moves the job to a final state, once.
func (j *jobState) end(state, reason string, at time.Time) {
	if !j.final() {
		j.state, j.reason, j.endedAt = state, reason, at
		// Ended jobs are remembered for long and in great number.
		j.ends, j.finished, j.tries = nil, nil, nil
	}
}

// carried returns the record that replaces all earlier ones of the job.
func (j *jobState) carried(shard string) record {
	r := record{
		Shard: shard, Job: &j.job, ID: j.job.ID, Managed: j.managed, Time: j.acceptedAt,
		State: j.state, Reason: j.reason, Cancel: j.cancel, Ended: j.endedAt,
	}
	if j.final() {
		r.Done, r.Failed = j.done, j.failed
	} else {
		for _, e := range j.ends {
			e.Job = ""
			r.Ends = append(r.Ends, e)
		}
	}
	return r
}

// taskIndex returns the index of a task within its job.
func taskIndex(id string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[i+1:])
	return id[:i], index, err == nil
}

func decodeRecord(data []byte) (kind string, r record, ok bool) {
	e, ok := upstream.DecodeEnvelope(data)
	if !ok {
		return "", record{}, false
	}
	if err := json.Unmarshal(e.Body, &r); err != nil {
		return "", record{}, false
	}
	return e.Kind, r, true
}
