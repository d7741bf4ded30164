package job

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// Kinds of the records in the stream upstream.StreamJobs.
const (
	recordJobAccepted = "job_accepted"
	recordJobCancel   = "job_cancel"
	recordTaskEnds    = "task_ends"
	recordJobEnd      = "job_end"
	recordSnapshot    = "job_carried" // snapshot: replaces all earlier records of a job
)

// States of a job.
const (
	StateAccepted   = "accepted"   // open: its tasks wait or run
	StateCancelling = "cancelling" // its tasks are being stopped
	StateFinished   = "finished"   // final: every task finished
	StateFailed     = "failed"     // final: the engine has given it up after failures
	StateCancelled  = "cancelled"  // final: no task runs any more
	StateImpossible = "impossible" // final: it can never run
	// StateRefused is the state of a job of the configuration that the placement policy
	// refuses. It is not final: the job is submitted again when the configuration or the
	// workers change, and after a growing pause.
	StateRefused = "refused"
)

// record is the body of every record in the jobs stream. Fields that a kind does not use are empty.
type record struct {
	Shard      string        `json:"shard"`
	Job        *workload.Job `json:"job,omitempty"`
	ID         string        `json:"id,omitempty"`      // of the job
	Managed    bool          `json:"managed,omitempty"` // the job comes from the configuration
	Time       time.Time     `json:"at,omitzero"`       // of the acceptance, the cancellation or the end
	Ends       []taskEnd     `json:"ends,omitempty"`    // Job is empty in a snapshot
	State      string        `json:"state,omitempty"`
	Reason     string        `json:"reason,omitempty"`
	Cancel     bool          `json:"cancel,omitempty"`
	Done       int           `json:"done,omitempty"`   // finished tasks of an ended job
	Failed     int           `json:"failed,omitempty"` // failed attempts of an ended job
	Ended      time.Time     `json:"ended,omitzero"`   // when the job of a snapshot ended
	SnapshotAt time.Time     `json:"carried,omitzero"` // when a snapshot was written
}

// taskEnd is the end of one attempt. It is recorded, because the next owner of the shard
// must know which tasks have finished and how often a task has failed.
type taskEnd struct {
	Job     string             `json:"j,omitempty"`
	Task    int                `json:"t"` // index
	Attempt int                `json:"a"`
	State   workload.TaskState `json:"s"`
}

// endKey identifies the end of one attempt.
type endKey struct {
	job     string
	task    int
	attempt int
}

func (e taskEnd) key() endKey { return endKey{e.Job, e.Task, e.Attempt} }

// jobState is what a job scheduler knows about one job. It is guarded by the lock of the shard.
type jobState struct {
	job             workload.Job
	managed         bool // comes from the configuration
	acceptedAt      time.Time
	recordOffset    upstream.Offset    // of the newest record that holds the whole job
	recordedAt      time.Time          // when that record was written
	ends            map[endKey]taskEnd // nil when the job is final
	finishedIndexes map[int]bool       // by task index; nil when the job is final
	finishedTasks   int
	failedAttempts  int
	cancelRequested bool
	endQueued       bool // the record of the end waits to be written
	state           string
	reason          string
	endedAt         time.Time

	recovering          bool                // not in the engine yet: a previous owner may have started tasks
	stoppingPartialGang bool                // the takeover found only some tasks of the gang; they are being stopped
	inEngine            bool                // the engine knows the job
	attempts            map[string]*attempt // not ended yet, by task id
	attemptCounts       map[string]int      // attempts in this tenure, by task id
}

func newJobState(j workload.Job) *jobState {
	return &jobState{
		job: j, state: StateAccepted, ends: make(map[endKey]taskEnd), finishedIndexes: make(map[int]bool),
		attempts: make(map[string]*attempt), attemptCounts: make(map[string]int),
	}
}

func (j *jobState) final() bool { return isFinalState(j.state) }

// runningTasks returns the number of attempts that are confirmed to run.
func (j *jobState) runningTasks() int {
	n := 0
	for _, a := range j.attempts {
		if a.running {
			n++
		}
	}
	return n
}

func isFinalState(s string) bool {
	return s != StateAccepted && s != StateCancelling && s != StateRefused
}

// addEnd adds the end of an attempt. It returns false, and changes nothing, if the end is
// known already or the job is final.
func (j *jobState) addEnd(e taskEnd) bool {
	e.Job = j.job.ID
	if _, ok := j.ends[e.key()]; ok || j.final() {
		return false
	}
	j.ends[e.key()] = e
	switch {
	case e.State == workload.Failed:
		j.failedAttempts++
	case !j.finishedIndexes[e.Task]:
		j.finishedIndexes[e.Task] = true
		j.finishedTasks++
	}
	return true
}

// complete reports whether every task has finished.
func (j *jobState) complete() bool { return j.finishedTasks == j.job.Count }

// end moves the job to a final state, unless it is in one already.
func (j *jobState) end(state, reason string, at time.Time) {
	if !j.final() {
		j.state, j.reason, j.endedAt = state, reason, at
		// Many ended jobs are kept for EndedRetention, so their task details are released.
		j.ends, j.finishedIndexes, j.attemptCounts = nil, nil, nil
	}
}

// snapshot returns the record that replaces all earlier records of the job.
func (j *jobState) snapshot(shard string) record {
	r := record{
		Shard: shard, Job: &j.job, ID: j.job.ID, Managed: j.managed, Time: j.acceptedAt,
		State: j.state, Reason: j.reason, Cancel: j.cancelRequested, Ended: j.endedAt,
	}
	if j.final() {
		r.Done, r.Failed = j.finishedTasks, j.failedAttempts
	} else {
		for _, e := range j.ends {
			e.Job = ""
			r.Ends = append(r.Ends, e)
		}
	}
	return r
}

// splitTaskID is the inverse of workload.TaskID: it returns the id of the job and the index of
// the task. ok is false if id does not end in an index.
func splitTaskID(id string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(id, '.')
	if i < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(id[i+1:])
	return id[:i], index, err == nil
}

// decodeRecord decodes one record of the jobs stream. ok is false if it is unreadable.
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
