package bed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeatMs of the settings. The platform removes an executor after three of silence.
	heartbeat = 1500 * time.Millisecond
	// maxHoldMs is maxHoldMs of the bounds: the longest lease.
	maxHoldMs = 6000
	// stopTime is how long an executor takes to stop a run; stopTimeoutMs of the bounds is 200.
	stopTime = 50 * time.Millisecond
	// endsAtATime is how many ends an executor lists in one response.
	endsAtATime = 500
)

// Executor is a stand-in for an executor that starts whatever it is told to (admissionCheck is false). The payload of
// a task is its duration in ms; a task without a number works until it is stopped.
type Executor struct {
	ID, Service, Kind, Rack, Address string
	CPU, Memory                      int64
	// FirstEntry is how long after its start a new life writes to the store first. It is at most heartbeat.
	FirstEntry time.Duration
	// Ticket, if set, returns the ticket of a step for this executor, empty if the policy of the queue forbids it, and
	// noTicket if the queue has no advice.
	Ticket func(step string) string

	store  *Store
	record *Record
	gate   *gate

	mu   sync.Mutex
	life *life // nil while the power is off
	seq  int
	// holdSince is since when a hold waits, zero if none does.
	holdSince time.Time
}

// life is one lifetime of an executor: what it holds and knows is gone with it.
type life struct {
	executor *Executor
	born     time.Time
	token    int64
	lease    int64 // end, ms on the clock of this life; 0 before the first
	running  map[string]*running
	highest  map[string]int64 // the highest run that ended or was stopped, by task
	ends     []end            // that have not been acknowledged
	count    int64            // number of the last end
	ended    chan struct{}    // closed and replaced with each end
	watched  bool             // a timer runs for the end of the lease
	over     bool
}

type running struct {
	task     string
	run      int64
	began    time.Time
	length   time.Duration // 0 for tasks that last
	stopping bool
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// Start starts the executor's server and its first life.
func (e *Executor) Start(store *Store, record *Record) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.Address, e.store, e.record, e.gate = listener.Addr().String(), store, record, newGate(listener)
	go func() { _ = http.Serve(e.gate, e) }()
	e.begin(0)
	return nil
}

// PowerOff ends the life of the executor without a word.
func (e *Executor) PowerOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gate.powerOff()
	e.record.Add(Event{What: "power off", Executor: e.ID})
	for _, r := range e.life.running {
		e.record.Add(Event{What: "lost", Executor: e.ID, Task: r.task, Run: r.run})
	}
	ended := e.life
	ended.over = true
	e.life = nil
	time.AfterFunc(3*heartbeat, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life == nil {
			e.store.Put("keyed.servers", e.ID, nil)
			e.record.Note("the platform has removed the entry of %s", e.ID)
		}
	})
}

// PowerOn begins a new life under the same id and at the same address.
func (e *Executor) PowerOn() { e.begin(e.FirstEntry) }

// begin begins a life, which writes its first entry to the store after a pause.
func (e *Executor) begin(pause time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &life{executor: e, born: time.Now(), running: map[string]*running{}, highest: map[string]int64{}, ended: make(chan struct{})}
	e.life = l
	e.gate.powerOn()
	e.record.Add(Event{What: "power on", Executor: e.ID})
	go func() {
		time.Sleep(pause)
		for e.register(l) {
			time.Sleep(heartbeat)
		}
	}()
}

// register writes the entry of a life to the store, and returns false if the life is over.
func (e *Executor) register(l *life) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.over {
		return false
	}
	e.seq++
	e.store.Put("keyed.servers", e.ID, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"bagmati-a","version":"v1","slots":8,"state":"ready",`+
		`"coldRemainingMs":0,"capacity":{"cpu":%d,"memMb":%d,"gpus":0},"labels":[%q,%q],"clockMs":%d,"born":%d,"sequence":%d}`,
		e.Service, e.Address, e.CPU, e.Memory, e.Kind, e.Rack, l.clock(), l.born.UnixMilli(), e.seq))
	return true
}

// clock returns the time on the clock of the life, in ms.
func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1 }

// order holds the fields of all requests to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	Ticket   string `json:"ticket"`
	LastSeen int64  `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK) // of the health probe
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	if l == nil {
		return // the answer is lost with the connection
	}
	status, body := l.handle(r.URL.Path, o)
	body["clockMs"] = l.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handle carries out an order. The caller holds mu of the executor.
func (l *life) handle(path string, o order) (int, map[string]any) {
	body := map[string]any{}
	refuse := func(reason string) (int, map[string]any) {
		l.executor.record.Add(Event{What: "refused", Executor: l.executor.ID, Task: o.Task, Run: o.Run, How: reason})
		body["reason"] = reason
		return http.StatusConflict, body
	}
	if o.Token < l.token {
		return refuse("fence")
	}
	l.token = o.Token
	l.lapse()
	if path != "/sassafraslb/run-stop" && o.Deadline > 0 {
		if path == "/sassafraslb/run-start" && o.Deadline <= l.clock() {
			return refuse("late")
		}
		l.lease = max(l.lease, min(o.Deadline, l.clock()+maxHoldMs))
		l.watchLease()
	}
	switch path {
	case "/sassafraslb/run-start":
		step := o.Task[:strings.LastIndex(o.Task, ".")]
		if ticket := l.executor.Ticket(step); ticket != noTicket && (ticket == "" || ticket != o.Ticket) {
			return refuse("ticket")
		}
		if now := l.running[o.Task]; now != nil && now.run == o.Run {
			return http.StatusOK, body
		}
		if o.Run <= l.highest[o.Task] {
			return refuse("old")
		}
		l.start(o)
	case "/sassafraslb/run-stop":
		l.highest[o.Task] = max(l.highest[o.Task], o.Run)
		if r := l.running[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
			r.stopping = true
			l.later(stopTime, func() { l.end(r, "stopped") })
		}
	case "/sassafraslb/hold":
		l.hold(body, o)
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

// later calls f after d, with mu held, unless the life is over then.
func (l *life) later(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		l.executor.mu.Lock()
		defer l.executor.mu.Unlock()
		if !l.over {
			f()
		}
	})
}

func (l *life) start(o order) {
	ms, err := strconv.Atoi(o.Spec)
	if err != nil {
		ms = 0
	}
	r := &running{task: o.Task, run: o.Run, began: time.Now(), length: time.Duration(ms) * time.Millisecond}
	l.running[o.Task] = r
	l.executor.record.Add(Event{What: "start", Executor: l.executor.ID, Task: o.Task, Run: o.Run})
	if r.length > 0 {
		l.later(r.length, func() { l.end(r, "done") })
	}
}

// end ends a run, if it still runs.
func (l *life) end(r *running, how string) {
	if l.running[r.task] != r {
		return
	}
	delete(l.running, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.run)
	l.count++
	l.ends = append(l.ends, end{l.count, r.task, r.run, how})
	l.executor.record.Add(Event{What: "end", Executor: l.executor.ID, Task: r.task, Run: r.run, How: how, Number: l.count})
	close(l.ended)
	l.ended = make(chan struct{})
}

// watchLease ends all runs when the lease has expired.
func (l *life) watchLease() {
	if l.watched {
		return
	}
	l.watched = true
	l.later(time.Duration(l.lease-l.clock()+1)*time.Millisecond, func() {
		l.watched = false
		if l.lapse(); l.lease != 0 {
			l.watchLease()
		}
	})
}

func (l *life) lapse() {
	if l.lease == 0 || l.clock() <= l.lease {
		return
	}
	l.executor.record.Add(Event{What: "lapse", Executor: l.executor.ID})
	l.lease = 0
	for _, r := range l.running {
		l.end(r, "lapsed")
	}
}

// hold forgets the acknowledged ends, waits for an end if there is none, and adds both lists to the body.
func (l *life) hold(body map[string]any, o order) {
	for len(l.ends) > 0 && l.ends[0].number <= o.LastSeen {
		e := l.ends[0]
		l.ends = l.ends[1:]
		l.executor.record.Add(Event{What: "noted", Executor: l.executor.ID, Task: e.task, Run: e.run, How: e.how, Number: e.number})
	}
	if len(l.ends) == 0 && o.WaitMs > 0 {
		ended := l.ended
		l.executor.holdSince = time.Now()
		l.executor.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		l.executor.mu.Lock()
		l.executor.holdSince = time.Time{}
	}
	rows, ends := [][]any{}, [][]any{}
	for _, r := range l.running {
		percent := 100
		if r.length > 0 {
			percent = int(min(100*time.Since(r.began)/r.length, 99))
		}
		rows = append(rows, []any{r.task, r.run, "", percent, 10})
	}
	for _, e := range l.ends[:min(len(l.ends), endsAtATime)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	body["running"], body["ended"], body["born"] = rows, ends, l.born.UnixMilli()
}

// WaitForHold returns when a hold has waited on the executor for d.
func (e *Executor) WaitForHold(d time.Duration) {
	for {
		e.mu.Lock()
		since := e.holdSince
		e.mu.Unlock()
		if !since.IsZero() && time.Since(since) > d && time.Since(since) < d+100*time.Millisecond {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// NewExecutors returns executors with the ids i-00, i-01 and so on, eight in a rack. Those for which isB is true are of kind
// b, the others of kind a.
func NewExecutors(n int, isB func(i int) bool) []*Executor {
	var all []*Executor
	for i := range n {
		kind := "a"
		if isB(i) {
			kind = "b"
		}
		all = append(all, &Executor{ID: fmt.Sprintf("i-%02d", i), Service: "svc", Kind: kind, Rack: fmt.Sprintf("r1-%d", i/8), CPU: 32000, Memory: 65536})
	}
	return all
}
