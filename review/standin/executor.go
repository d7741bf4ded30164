package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	// maxLeaseMs is the longest lease (maxHoldMs).
	maxLeaseMs = 6000
	// heartbeat is the interval at which an executor writes its entry (heartbeatMs).
	heartbeat = 1500 * time.Millisecond
	// endsPerAnswer is how many ends one answer returns.
	endsPerAnswer = 500
	// stopTime is how long a stop takes, within stopTimeoutMs.
	stopTime = 50 * time.Millisecond
)

// Event is one thing that an executor has done with a run.
type Event struct {
	At       time.Time
	Kind     string // start, end or noted: the end was taken note of, because lastSeen has reached it
	Executor string
	Task     string
	Run      int64
	How      string // of an end
	Lapsed   int    // leases of the executor that have run out so far
	AtWork   bool   // at an end: the task lasts and was at work
}

// Executor is a worker of a service. Its tasks take the time that TaskTime returns.
type Executor struct {
	ID, Address string

	service  string
	cpu, mem int64
	labels   []string
	store    *Store
	record   *Record
	taskTime func(task string) time.Duration
	startup  time.Duration
	cut      *cut

	mu       sync.Mutex
	listener net.Listener
	born     time.Time
	crashed  bool
	draining time.Time // when it will leave, zero if it doesn't drain
	events   []Event
	token    int64
	leaseEnd int64 // on the executor's clock
	runs     map[string]*execution
	highest  map[string]int64 // run that has ended or was stopped, by task
	ends     []endRow
	endCount int64
	lapses   int
	ended    chan struct{} // closed and replaced at each end
}

type execution struct {
	run   int64
	began time.Time
	takes time.Duration
	timer *time.Timer
}

type endRow struct {
	number int64
	task   string
	run    int64
	how    string
}

// ExecutorConfig describes an Executor. Tasks last if Startup is set, and are at work when so much time has passed.
type ExecutorConfig struct {
	ID, Service string
	CPU, MemMb  int64
	Labels      []string
	TaskTime    func(task string) time.Duration
	Startup     time.Duration
}

// NewExecutor starts an executor on a free loopback port and registers it.
func NewExecutor(store *Store, record *Record, cfg ExecutorConfig) (*Executor, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Executor{
		ID: cfg.ID, Address: listener.Addr().String(), service: cfg.Service, cpu: cfg.CPU, mem: cfg.MemMb,
		labels: cfg.Labels, store: store, record: record, taskTime: cfg.TaskTime, startup: cfg.Startup, cut: newCut(),
		runs: map[string]*execution{}, highest: map[string]int64{}, ended: make(chan struct{}),
	}
	e.serveOn(listener)
	go e.heartbeats()
	go e.watchLease()
	return e, nil
}

// serveOn begins a lifetime.
func (e *Executor) serveOn(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sassafraslb/run-start", e.serve(e.start))
	mux.HandleFunc("POST /sassafraslb/run-stop", e.serve(e.stop))
	mux.HandleFunc("POST /sassafraslb/hold", e.serve(e.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.mu.Lock()
	e.listener, e.born, e.crashed, e.draining = listener, time.Now(), false, time.Time{}
	e.token, e.leaseEnd, e.endCount, e.ends = 0, 0, 0, nil
	e.runs, e.highest = map[string]*execution{}, map[string]int64{}
	e.mu.Unlock()
	go func() { _ = http.Serve(&cutListener{listener, e.cut}, mux) }()
}

// heartbeats writes the entry of the executor at intervals while it is up.
func (e *Executor) heartbeats() {
	for sequence := 1; ; sequence++ {
		if !e.isCrashed() {
			e.writeEntry(sequence)
		}
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the entry of this lifetime.
func (e *Executor) writeEntry(sequence int) {
	e.mu.Lock()
	born, draining := e.born, e.draining
	e.mu.Unlock()
	entry := map[string]any{
		"service": e.service, "address": e.Address, "zone": "bagmati-a", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": e.cpu, "memMb": e.mem, "gpus": 0}, "labels": e.labels,
		"clockMs": time.Since(born).Milliseconds() + 1, "born": born.UnixMilli(), "sequence": sequence,
	}
	if !draining.IsZero() {
		entry["state"], entry["remainingMs"] = "draining", max(time.Until(draining).Milliseconds(), 0)
	}
	if value, err := json.Marshal(entry); err == nil {
		e.store.Put("keyed.servers", e.ID, value)
	}
}

// Replace empties the executor and starts it again under its id: it reports that it drains, goes on for a while, leaves,
// and is back after downTime.
func (e *Executor) Replace(drainTime, downTime time.Duration) error {
	e.mu.Lock()
	e.draining = time.Now().Add(drainTime)
	e.record.Add("executor %s: drains, and leaves in %v", e.ID, drainTime)
	e.mu.Unlock()
	e.writeEntry(1)
	time.Sleep(drainTime)
	e.end("leaves")
	e.removeEntry()
	time.Sleep(downTime)
	return e.StartAgain()
}

func (e *Executor) isCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// Crash ends the executor with all its runs. It sends nothing any more, and its port refuses connections.
func (e *Executor) Crash() { e.end("crash") }

// end ends a lifetime.
func (e *Executor) end(how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for task, x := range e.runs {
		x.timer.Stop()
		e.events = append(e.events, Event{time.Now(), "lost", e.ID, task, x.run, how, e.lapses, false})
	}
	e.record.Add("executor %s: %s with %d runs", e.ID, how, len(e.runs))
	e.runs = map[string]*execution{}
	_ = e.listener.Close()
	e.cut.breakAll()
}

// StartAgain begins another lifetime under the id of an executor that has left or crashed.
func (e *Executor) StartAgain() error {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.serveOn(listener)
	e.record.Add("executor %s: is back under its id", e.ID)
	e.writeEntry(1)
	return nil
}

// removeEntry removes the entry, as the platform does after a silence of three intervals.
func (e *Executor) removeEntry() {
	e.record.Add("executor %s: its entry is removed", e.ID)
	e.store.Put("keyed.servers", e.ID, nil)
}

// GoneForGood has the entry of a crashed executor removed after three intervals of silence.
func (e *Executor) GoneForGood() { time.AfterFunc(3*heartbeat, e.removeEntry) }

func (e *Executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// Cut keeps everything from the executor, and everything that it sends, for a while. Its runs go on.
func (e *Executor) Cut(d time.Duration) {
	e.record.Add("executor %s is cut off for %v", e.ID, d)
	e.cut.begin()
	time.Sleep(d)
	e.cut.end()
	e.record.Add("executor %s is reachable again", e.ID)
}

// Running returns how many runs the executor has.
func (e *Executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// Events returns what has happened so far.
func (e *Executor) Events() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Event(nil), e.events...)
}

// add keeps an event. mu must be held.
func (e *Executor) add(kind, task string, run int64, how string) {
	atWork := kind == "end" && e.atWork(e.runs[task])
	e.events = append(e.events, Event{time.Now(), kind, e.ID, task, run, how, e.lapses, atWork})
	e.record.Add("executor %s: %s of task %s run %d %s", e.ID, kind, task, run, how)
}

// atWork reports whether a run of a task that lasts is past its startup. mu must be held.
func (e *Executor) atWork(x *execution) bool {
	return x != nil && e.startup > 0 && time.Since(x.began) >= e.startup
}

// order is the body of each request.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

// serve returns the handler of a call. It checks the lifetime and the fencing token, and takes the lease.
func (e *Executor) serve(call func(o order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != e.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		if e.crashed {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.FencingToken >= e.token {
			e.token = o.FencingToken
			status, body = call(o)
		}
		body["clockMs"] = e.clock()
		e.mu.Unlock()
		data, err := json.Marshal(body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		reply(w, status, string(data))
	}
}

// extend extends the lease. mu must be held.
func (e *Executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+maxLeaseMs))
}

// watchLease ends all runs when the lease runs out.
func (e *Executor) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		e.mu.Lock()
		if e.leaseEnd != 0 && e.clock() > e.leaseEnd && len(e.runs) > 0 {
			e.lapses++
			for task := range e.runs {
				e.finish(task, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// start serves run-start. mu must be held, as in all calls.
func (e *Executor) start(o order) (int, map[string]any) {
	if x := e.runs[o.Task]; x != nil && x.run == o.Run {
		e.extend(o.DeadlineMs)
		return http.StatusOK, map[string]any{}
	}
	if o.DeadlineMs <= e.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	e.extend(o.DeadlineMs)
	if o.Run <= e.highest[o.Task] || e.runs[o.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	x := &execution{run: o.Run, began: time.Now(), takes: e.taskTime(o.Task)}
	e.runs[o.Task] = x
	e.add("start", o.Task, o.Run, "")
	x.timer = time.AfterFunc(x.takes, func() { e.finishLater(o.Task, x, "done") })
	return http.StatusOK, map[string]any{}
}

// finishLater ends a run unless it has ended.
func (e *Executor) finishLater(task string, x *execution, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[task] == x {
		e.finish(task, how)
	}
}

// finish ends the run of a task. mu must be held.
func (e *Executor) finish(task, how string) {
	x := e.runs[task]
	x.timer.Stop()
	e.add("end", task, x.run, how)
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], x.run)
	e.endCount++
	e.ends = append(e.ends, endRow{e.endCount, task, x.run, how})
	close(e.ended)
	e.ended = make(chan struct{})
}

// stop serves run-stop.
func (e *Executor) stop(o order) (int, map[string]any) {
	if x := e.runs[o.Task]; x != nil && x.run <= o.Run {
		time.AfterFunc(stopTime, func() { e.finishLater(o.Task, x, "stopped") })
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

// hold serves hold: it forgets the ends up to lastSeen, waits for one if there is none, and lists runs and ends.
func (e *Executor) hold(o order) (int, map[string]any) {
	e.extend(o.DeadlineMs)
	for len(e.ends) > 0 && e.ends[0].number <= o.LastSeen {
		x := e.ends[0]
		e.add("noted", x.task, x.run, x.how)
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && o.WaitMs > 0 {
		ended := e.ended
		e.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, x := range e.runs {
		percent := min(int(100*time.Since(x.began)/x.takes), 99)
		if e.atWork(x) {
			percent = 100
		}
		running = append(running, []any{task, x.run, "", percent, 10})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, x := range e.ends[:min(len(e.ends), endsPerAnswer)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended, "born": e.born.UnixMilli()}
}

// cut is a partition in front of an executor. What is sent during it is lost, and connections that it has hit break
// when it is over.
type cut struct {
	mu     sync.Mutex
	conns  []net.Conn
	count  int           // partitions so far
	healed chan struct{} // closed while there is none
}

func newCut() *cut {
	c := &cut{healed: make(chan struct{})}
	close(c.healed)
	return c
}

func (c *cut) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.healed = make(chan struct{})
}

func (c *cut) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.healed)
}

// breakAll closes all connections.
func (c *cut) breakAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// state returns the number of partitions so far, and a channel that is closed while there is none.
func (c *cut) state() (int, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.healed
}

type cutListener struct {
	net.Listener
	cut *cut
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	count, healed := l.cut.state()
	select {
	case <-healed:
	default:
		count-- // opened during a partition
	}
	l.cut.mu.Lock()
	l.cut.conns = append(l.cut.conns, conn)
	l.cut.mu.Unlock()
	return &cutConn{conn, l.cut, count}, nil
}

type cutConn struct {
	net.Conn
	cut   *cut
	count int // partitions when it was opened
}

// pass waits for the end of a partition and fails if one has hit the connection.
func (c *cutConn) pass() error {
	count, healed := c.cut.state()
	if count == c.count {
		return nil
	}
	<-healed
	_ = c.Close()
	return fmt.Errorf("the connection was cut")
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if failed := c.pass(); failed != nil {
		return 0, failed
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
