// Package standin holds stand-ins of the platform for tests and demonstrations.
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

// WorkerConfig configures a stand-in worker.
type WorkerConfig struct {
	ID       string
	Capacity machine.Resources
	// FailAfter is the run time of a task that fails by the fault FailStarts. Default 5 ms.
	FailAfter time.Duration
}

// RunRecord is one execution of a task, for checkers. Times are microseconds of
// the monotonic clock of the host, so records of several processes compare.
type RunRecord struct {
	Worker    string             `json:"worker"`
	Task      string             `json:"task"`
	Attempt   int                `json:"attempt"`
	Job       string             `json:"job"`
	Resources machine.Resources  `json:"resources"`
	StartUS   int64              `json:"start_us"`
	EndUS     int64              `json:"end_us"` // zero while it runs
	State     workload.TaskState `json:"state"`
}

// Worker is a stand-in worker. It is an http.Handler.
type Worker struct {
	cfg WorkerConfig
	mux *http.ServeMux

	mu      sync.Mutex
	faults  WorkerFaults
	epoch   uint64
	lease   time.Time // the leases of all tasks end here
	lapse   *time.Timer
	tasks   map[machine.TaskRef]*workerTask
	records []*RunRecord
	closed  bool
	lost    int // answers cut off so far
}

type workerTask struct {
	spec   machine.TaskStart
	state  workload.TaskState
	exit   int
	record *RunRecord
	began  int64 // start of the task; a record may start later
	timer  *time.Timer
}

// uses returns the resources that the task holds.
func (t *workerTask) uses() machine.Resources {
	switch {
	case !t.state.Holds():
		return machine.Resources{}
	case t.state == workload.Throttled:
		return machine.Throttled(t.spec.Resources)
	}
	return t.spec.Resources
}

// NewWorker returns a stand-in worker without tasks.
func NewWorker(cfg WorkerConfig) *Worker {
	if cfg.FailAfter == 0 {
		cfg.FailAfter = 5 * time.Millisecond
	}
	w := &Worker{cfg: cfg, mux: http.NewServeMux(), tasks: make(map[machine.TaskRef]*workerTask)}
	w.mux.HandleFunc("POST /v1/renew", command(w, w.renew))
	w.mux.HandleFunc("POST /v1/tasks", command(w, w.start))
	w.mux.HandleFunc("POST /v1/tasks/{task}/stop", command(w, w.stop))
	w.mux.HandleFunc("POST /v1/ack", command(w, w.ack))
	w.mux.HandleFunc("GET /v1/records", w.serveRecords)
	w.mux.HandleFunc("GET /v1/faults", w.serveFaults)
	w.mux.HandleFunc("POST /v1/faults", w.serveFaults)
	return w
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Close stops the timers. Tasks are left as they are.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.lapse != nil {
		w.lapse.Stop()
	}
	for _, t := range w.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
	}
}

// monotonicUS returns CLOCK_MONOTONIC in microseconds.
func monotonicUS() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return ts.Nano() / 1000
}

func clockMS() int64 { return monotonicUS() / 1000 }

// admit applies the fencing rules that all commands share.
func (w *Worker) admit(epoch uint64, notAfterMS int64) *machine.Refusal {
	if epoch < w.epoch {
		return &machine.Refusal{Reason: machine.ReasonStaleEpoch}
	}
	if notAfterMS != 0 && clockMS() > notAfterMS {
		return &machine.Refusal{Reason: machine.ReasonExpiredCommand}
	}
	w.epoch = epoch
	return nil
}

func (w *Worker) renew(_ *http.Request, req machine.RenewRequest) (any, *machine.Refusal) {
	if r := w.admit(req.Epoch, req.NotAfterMS); r != nil {
		return nil, r
	}
	if req.LeaseMS > 0 {
		if req.NotAfterMS == 0 {
			return nil, &machine.Refusal{Reason: machine.ReasonExpiredCommand, Detail: "a renewal needs not_after_ms"}
		}
		lease := time.Duration(req.LeaseMS) * time.Millisecond
		w.lease = time.Now().Add(lease)
		if w.lapse != nil {
			w.lapse.Stop()
		}
		w.lapse = time.AfterFunc(lease, w.lapsed)
	}
	reply := machine.RenewReply{ClockMS: clockMS(), Epoch: w.epoch, Capacity: w.cfg.Capacity, Tasks: []machine.TaskReport{}}
	for _, t := range w.tasks {
		reply.Tasks = append(reply.Tasks, w.report(t))
	}
	return reply, nil
}

func (w *Worker) report(t *workerTask) machine.TaskReport {
	end := t.record.EndUS
	if end == 0 {
		end = monotonicUS()
	}
	r := machine.TaskReport{TaskStart: t.spec, State: string(t.state), Exit: t.exit, RanMS: (end - t.began) / 1000}
	if t.state.Holds() {
		factor := w.faults.UsageFactor
		if factor == 0 {
			factor = 1
		}
		res := t.uses()
		r.Usage = machine.Resources{
			CPUMilli:     int64(float64(res.CPUMilli) * factor),
			MemoryMiB:    int64(float64(res.MemoryMiB) * factor),
			Accelerators: res.Accelerators,
		}
	}
	return r
}

func (w *Worker) start(_ *http.Request, req machine.StartRequest) (any, *machine.Refusal) {
	if r := w.admit(req.Epoch, req.NotAfterMS); r != nil {
		return nil, r
	}
	ref := machine.TaskRef{Task: req.Task.ID, Attempt: req.Task.Attempt}
	if _, ok := w.tasks[ref]; ok {
		return struct{}{}, nil
	}
	if !time.Now().Before(w.lease) {
		return nil, &machine.Refusal{Reason: machine.ReasonNoLease}
	}
	used := req.Task.Resources
	for _, t := range w.tasks {
		used = used.Add(t.uses())
	}
	if !used.Fits(w.cfg.Capacity) {
		return nil, &machine.Refusal{Reason: machine.ReasonNoCapacity}
	}
	t := &workerTask{spec: req.Task, state: workload.Running, record: &RunRecord{
		Worker: w.cfg.ID, Task: ref.Task, Attempt: ref.Attempt, Job: req.Task.Job,
		Resources: req.Task.Resources, StartUS: monotonicUS(), State: workload.Running,
	}}
	t.began = t.record.StartUS
	w.tasks[ref] = t
	w.records = append(w.records, t.record)
	switch {
	case w.faults.FailStarts:
		t.timer = time.AfterFunc(w.cfg.FailAfter, func() { w.expire(t, workload.Failed, 1) })
	case req.Task.RunTime > 0:
		t.timer = time.AfterFunc(req.Task.RunTime, func() { w.expire(t, workload.Finished, 0) })
	}
	return struct{}{}, nil
}

func (w *Worker) stop(r *http.Request, req machine.StopRequest) (any, *machine.Refusal) {
	if r := w.admit(req.Epoch, req.NotAfterMS); r != nil {
		return nil, r
	}
	t, ok := w.tasks[machine.TaskRef{Task: r.PathValue("task"), Attempt: req.Attempt}]
	if !ok {
		return nil, &machine.Refusal{Reason: machine.ReasonUnknownTask}
	}
	if !t.state.Holds() {
		return struct{}{}, nil
	}
	switch req.Mode {
	case machine.ModeCheckpoint:
		w.end(t, workload.Checkpointed, 0)
	case machine.ModeThrottle:
		w.resize(t, workload.Throttled)
	case machine.ModeResume:
		if refused := w.resume(t); refused != nil {
			return nil, refused
		}
	default:
		w.end(t, workload.Stopped, 0)
	}
	return struct{}{}, nil
}

// resize changes what a running task holds. A new run record starts, because a
// record has one size.
func (w *Worker) resize(t *workerTask, s workload.TaskState) {
	if t.state == s {
		return
	}
	t.state = s
	next := *t.record
	t.record.EndUS = monotonicUS()
	next.StartUS, next.Resources, next.State = t.record.EndUS, t.uses(), s
	t.record = &next
	w.records = append(w.records, t.record)
}

func (w *Worker) resume(t *workerTask) *machine.Refusal {
	used := t.spec.Resources
	for _, o := range w.tasks {
		if o != t {
			used = used.Add(o.uses())
		}
	}
	if !used.Fits(w.cfg.Capacity) {
		return &machine.Refusal{Reason: machine.ReasonNoCapacity}
	}
	w.resize(t, workload.Running)
	return nil
}

func (w *Worker) ack(_ *http.Request, req machine.AckRequest) (any, *machine.Refusal) {
	if r := w.admit(req.Epoch, 0); r != nil {
		return nil, r
	}
	for _, ref := range req.Tasks {
		if t, ok := w.tasks[ref]; ok && !t.state.Holds() {
			delete(w.tasks, ref)
		}
	}
	return struct{}{}, nil
}

// expire ends a task by its own timer.
func (w *Worker) expire(t *workerTask, s workload.TaskState, exit int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(t, s, exit)
}

func (w *Worker) end(t *workerTask, s workload.TaskState, exit int) {
	if !t.state.Holds() || w.closed {
		return
	}
	t.state, t.exit = s, exit
	t.record.EndUS, t.record.State = monotonicUS(), s
	if t.timer != nil {
		t.timer.Stop()
	}
}

// lapsed stops all tasks when the lease has ended without a renewal.
func (w *Worker) lapsed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.lease) {
		return
	}
	for _, t := range w.tasks {
		w.end(t, workload.Lost, 0)
	}
}

// Records returns a copy of the run record.
func (w *Worker) Records() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]RunRecord, len(w.records))
	for i, r := range w.records {
		out[i] = *r
	}
	return out
}

func (w *Worker) serveRecords(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(struct {
		Worker   string            `json:"worker"`
		Capacity machine.Resources `json:"capacity"`
		Records  []RunRecord       `json:"records"`
	}{w.cfg.ID, w.cfg.Capacity, w.Records()})
}
