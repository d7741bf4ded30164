package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	ID       string
	Capacity machine.Resources
	// FailAfter is the time after which tasks fail under WorkerFaults.FailStarts. Default 5 ms.
	FailAfter time.Duration
}

// RunRecord describes one run of a task on a worker, or a part of it during which the
// task held the same resources. Times are microseconds of the host's monotonic clock,
// so that the records of processes on one host can be compared.
type RunRecord struct {
	Worker    string             `json:"worker"`
	Task      string             `json:"task"`
	Attempt   int                `json:"attempt"`
	Job       string             `json:"job"`
	Resources machine.Resources  `json:"resources"`
	StartUS   int64              `json:"start_us"`
	EndUS     int64              `json:"end_us"` // 0 while it runs
	State     workload.TaskState `json:"state"`
}

// Worker is a stand-in for a worker: it runs tasks, which only hold resources and
// time, under leases and epochs, and refuses commands as the protocol demands. It is an
// http.Handler.
type Worker struct {
	cfg WorkerConfig
	mux *http.ServeMux

	mu             sync.Mutex
	faults         WorkerFaults
	epoch          uint64    // newest epoch seen
	leaseEnd       time.Time // end of the lease, which all tasks share
	leaseTimer     *time.Timer
	tasks          map[machine.TaskRef]*workerTask
	records        []*RunRecord
	closed         bool
	countedAnswers int // commands run while LoseEveryNthAnswer was set, lost answers included
}

// workerTask is one attempt of a task, kept until it has ended and is acknowledged.
type workerTask struct {
	spec     machine.TaskSpec
	state    workload.TaskState
	exitCode int
	record   *RunRecord  // the newest one of this attempt
	startUS  int64       // start of the attempt, on the clock of monotonicUS; record may start later
	runTimer *time.Timer // ends the task by itself; nil for a task without a run time
}

// heldResources returns the resources that the task occupies in its present state.
func (t *workerTask) heldResources() machine.Resources {
	switch {
	case !t.state.HoldsResources():
		return machine.Resources{}
	case t.state == workload.Throttled:
		return machine.Throttled(t.spec.Resources)
	}
	return t.spec.Resources
}

// NewWorker returns a worker without tasks and without a lease.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.FailAfter == 0 {
		cfg.FailAfter = 5 * time.Millisecond
	}
	w := &Worker{cfg: cfg, mux: http.NewServeMux(), tasks: make(map[machine.TaskRef]*workerTask)}
	w.mux.HandleFunc("POST /v1/renew", handleCommand(w, w.renew))
	w.mux.HandleFunc("POST /v1/tasks", handleCommand(w, w.start))
	w.mux.HandleFunc("POST /v1/tasks/{task}/stop", handleCommand(w, w.stop))
	w.mux.HandleFunc("POST /v1/ack", handleCommand(w, w.ack))
	w.mux.HandleFunc("GET /v1/records", w.handleRecords)
	w.mux.HandleFunc("GET /v1/faults", w.handleFaults)
	w.mux.HandleFunc("POST /v1/faults", w.handleFaults)
	return w
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Close stops the timers of the lease and of the tasks. Tasks keep their state.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	for _, t := range w.tasks {
		if t.runTimer != nil {
			t.runTimer.Stop()
		}
	}
}

// monotonicUS returns CLOCK_MONOTONIC in microseconds, or 0 if it can't be read.
func monotonicUS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return ts.Nano() / 1000
}

// clockMS returns the worker's clock for the protocol: CLOCK_MONOTONIC in milliseconds.
func clockMS() int64 { return monotonicUS() / 1000 }

// checkFence applies the fencing rules that all commands share: it refuses an older
// epoch than the newest one and a command later than notAfterMS on the worker's clock
// (0 means no limit). Otherwise it adopts the epoch and returns nil.
func (w *Worker) checkFence(epoch uint64, notAfterMS int64) *machine.Refusal {
	if epoch < w.epoch {
		return &machine.Refusal{Reason: machine.ReasonStaleEpoch}
	}
	if notAfterMS != 0 && clockMS() > notAfterMS {
		return &machine.Refusal{Reason: machine.ReasonExpiredCommand}
	}
	w.epoch = epoch
	return nil
}

// renew extends the lease, if the request asks for one, and reports all tasks.
func (w *Worker) renew(_ *http.Request, req machine.RenewRequest) (any, *machine.Refusal) {
	if r := w.checkFence(req.Epoch, req.NotAfterMS); r != nil {
		return nil, r
	}
	if req.LeaseMS > 0 {
		if req.NotAfterMS == 0 {
			return nil, &machine.Refusal{Reason: machine.ReasonExpiredCommand, Detail: "a renewal needs not_after_ms"}
		}
		lease := time.Duration(req.LeaseMS) * time.Millisecond
		w.leaseEnd = time.Now().Add(lease)
		if w.leaseTimer != nil {
			w.leaseTimer.Stop()
		}
		w.leaseTimer = time.AfterFunc(lease, w.handleLeaseExpiry)
	}
	reply := machine.RenewReply{ClockMS: clockMS(), Epoch: w.epoch, Capacity: w.cfg.Capacity, Tasks: []machine.TaskReport{}}
	for _, t := range w.tasks {
		reply.Tasks = append(reply.Tasks, w.taskReport(t))
	}
	return reply, nil
}

// taskReport describes a task for the answer to a renewal.
func (w *Worker) taskReport(t *workerTask) machine.TaskReport {
	end := t.record.EndUS
	if end == 0 {
		end = monotonicUS()
	}
	r := machine.TaskReport{TaskSpec: t.spec, State: string(t.state), ExitCode: t.exitCode, ElapsedMS: (end - t.startUS) / 1000}
	if t.state.HoldsResources() {
		factor := w.faults.UsageFactor
		if factor == 0 {
			factor = 1
		}
		held := t.heldResources()
		r.Usage = machine.Resources{
			CPUMilli:     int64(float64(held.CPUMilli) * factor),
			MemoryMiB:    int64(float64(held.MemoryMiB) * factor),
			Accelerators: held.Accelerators,
		}
	}
	return r
}

// start starts a task; a repeated start of the same attempt changes nothing.
func (w *Worker) start(_ *http.Request, req machine.StartRequest) (any, *machine.Refusal) {
	if r := w.checkFence(req.Epoch, req.NotAfterMS); r != nil {
		return nil, r
	}
	ref := machine.TaskRef{Task: req.Task.ID, Attempt: req.Task.Attempt}
	if _, ok := w.tasks[ref]; ok {
		return struct{}{}, nil
	}
	if !time.Now().Before(w.leaseEnd) {
		return nil, &machine.Refusal{Reason: machine.ReasonNoLease}
	}
	used := req.Task.Resources
	for _, t := range w.tasks {
		used = used.Add(t.heldResources())
	}
	if !used.Fits(w.cfg.Capacity) {
		return nil, &machine.Refusal{Reason: machine.ReasonNoCapacity}
	}
	t := &workerTask{spec: req.Task, state: workload.Running, record: &RunRecord{
		Worker: w.cfg.ID, Task: ref.Task, Attempt: ref.Attempt, Job: req.Task.Job,
		Resources: req.Task.Resources, StartUS: monotonicUS(), State: workload.Running,
	}}
	t.startUS = t.record.StartUS
	w.tasks[ref] = t
	w.records = append(w.records, t.record)
	switch {
	case w.faults.FailStarts:
		t.runTimer = time.AfterFunc(w.cfg.FailAfter, func() { w.endByTimer(t, workload.Failed, 1) })
	case req.Task.RunTime > 0:
		t.runTimer = time.AfterFunc(req.Task.RunTime, func() { w.endByTimer(t, workload.Finished, 0) })
	}
	return struct{}{}, nil
}

// stop stops, checkpoints, throttles or resumes a task, depending on the mode.
func (w *Worker) stop(r *http.Request, req machine.StopRequest) (any, *machine.Refusal) {
	if r := w.checkFence(req.Epoch, req.NotAfterMS); r != nil {
		return nil, r
	}
	t, ok := w.tasks[machine.TaskRef{Task: r.PathValue("task"), Attempt: req.Attempt}]
	if !ok {
		return nil, &machine.Refusal{Reason: machine.ReasonUnknownTask}
	}
	if !t.state.HoldsResources() {
		return struct{}{}, nil
	}
	switch req.Mode {
	case machine.ModeCheckpoint:
		w.end(t, workload.Checkpointed, 0)
	case machine.ModeThrottle:
		w.setRunningState(t, workload.Throttled)
	case machine.ModeResume:
		if refused := w.resume(t); refused != nil {
			return nil, refused
		}
	default:
		w.end(t, workload.Stopped, 0)
	}
	return struct{}{}, nil
}

// setRunningState switches a task between running and throttled, which changes the
// resources it holds. The resources of a record are constant, so a new record begins.
func (w *Worker) setRunningState(t *workerTask, state workload.TaskState) {
	if t.state == state {
		return
	}
	t.state = state
	nextRecord := *t.record
	t.record.EndUS = monotonicUS()
	nextRecord.StartUS, nextRecord.Resources, nextRecord.State = t.record.EndUS, t.heldResources(), state
	t.record = &nextRecord
	w.records = append(w.records, t.record)
}

// resume gives a throttled task its full resources back, if the worker has them free.
func (w *Worker) resume(t *workerTask) *machine.Refusal {
	used := t.spec.Resources
	for _, other := range w.tasks {
		if other != t {
			used = used.Add(other.heldResources())
		}
	}
	if !used.Fits(w.cfg.Capacity) {
		return &machine.Refusal{Reason: machine.ReasonNoCapacity}
	}
	w.setRunningState(t, workload.Running)
	return nil
}

// ack forgets tasks that have ended and whose end the caller has recorded.
func (w *Worker) ack(_ *http.Request, req machine.AckRequest) (any, *machine.Refusal) {
	if r := w.checkFence(req.Epoch, 0); r != nil {
		return nil, r
	}
	for _, ref := range req.Tasks {
		if t, ok := w.tasks[ref]; ok && !t.state.HoldsResources() {
			delete(w.tasks, ref)
		}
	}
	return struct{}{}, nil
}

// endByTimer ends a task whose run time is over. It is called by the task's timer.
func (w *Worker) endByTimer(t *workerTask, state workload.TaskState, exitCode int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(t, state, exitCode)
}

// end ends a task unless it has ended already or the worker is closed. The caller
// holds w.mu.
func (w *Worker) end(t *workerTask, state workload.TaskState, exitCode int) {
	if !t.state.HoldsResources() || w.closed {
		return
	}
	t.state, t.exitCode = state, exitCode
	t.record.EndUS, t.record.State = monotonicUS(), state
	if t.runTimer != nil {
		t.runTimer.Stop()
	}
}

// handleLeaseExpiry ends all tasks as lost. The timer of the lease calls it; it does
// nothing if the lease was renewed in the meantime.
func (w *Worker) handleLeaseExpiry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	for _, t := range w.tasks {
		w.end(t, workload.Lost, 0)
	}
}

// Records returns a copy of the run records in the order of their start.
func (w *Worker) Records() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]RunRecord, len(w.records))
	for i, r := range w.records {
		out[i] = *r
	}
	return out
}

func (w *Worker) handleRecords(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(struct {
		Worker   string            `json:"worker"`
		Capacity machine.Resources `json:"capacity"`
		Records  []RunRecord       `json:"records"`
	}{w.cfg.ID, w.cfg.Capacity, w.Records()})
}
