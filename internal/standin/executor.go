// Package standin holds stand-ins for the platform's services and endpoints. They
// speak the published protocols and keep run records for checkers.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// ExecutorConfig configures an Executor.
type ExecutorConfig struct {
	Slots       int           // default 8
	Connections int           // default 64; further ones are closed at once
	ServiceTime time.Duration // mean run time
	Exponential bool          // draws run times from an exponential distribution
	AnswerBytes int           // size of an answer; 0 echoes the body of the request
	Seed        uint64
}

// ExecutorFaults are switched at run time by POST /v1/faults. The zero value is healthy.
type ExecutorFaults struct {
	FailFastShare float64 `json:"fail_fast"` // share of runs that fail at once, 0 to 1
	SlowFactor    float64 `json:"slow"`      // factor on run times; 0 means 1
	Hang          bool    `json:"hang"`      // runs end only after this is switched off
	AnswerDelayMS int     `json:"late_ms"`   // delay of answers after the run has ended
	CrossID       bool    `json:"cross_id"`  // answers carry the id and body of another request
	Truncate      bool    `json:"truncate"`  // answers end in the middle
	// Silent makes the connections that are open when it is switched on silent for
	// good; connections opened later work.
	Silent bool `json:"silent"`
}

// ExecutorRunRecord is one run that was started.
type ExecutorRunRecord struct {
	ID        string `json:"id"`
	Class     string `json:"class"`
	Epoch     uint64 `json:"epoch"`
	StartedUS int64  `json:"started_us"` // Unix time
	EndedUS   int64  `json:"ended_us"`   // 0 while running
	Failed    bool   `json:"failed"`
}

// ExecutorRecords is the answer to GET /v1/records.
type ExecutorRecords struct {
	Runs               []ExecutorRunRecord `json:"runs"`
	Busy               int                 `json:"busy"`
	MaxBusy            int                 `json:"max_busy"`
	MaxConnections     int                 `json:"max_connections"`
	RefusedBusy        int                 `json:"refused_busy"`
	RefusedStale       int                 `json:"refused_stale"`
	RefusedConnections int                 `json:"refused_connections"`
}

// Executor is a stand-in for an executor of the back end.
type Executor struct {
	cfg      ExecutorConfig
	listener *limitListener
	server   *http.Server

	mu       sync.Mutex
	rng      *rand.Rand
	faults   ExecutorFaults
	released chan struct{} // closed when Hang is switched off
	epoch    uint64
	records  ExecutorRecords
}

// NewExecutor serves an executor on l until Close.
func NewExecutor(l net.Listener, cfg ExecutorConfig) *Executor {
	if cfg.Slots <= 0 {
		cfg.Slots = 8
	}
	if cfg.Connections <= 0 {
		cfg.Connections = 64
	}
	x := &Executor{
		cfg:      cfg,
		listener: newLimitListener(l, cfg.Connections),
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		released: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hello", x.hello)
	mux.HandleFunc("POST /v1/run", x.run)
	mux.HandleFunc("GET /v1/ping", func(w http.ResponseWriter, _ *http.Request) { executorJSON(w, struct{}{}) })
	mux.HandleFunc("GET /v1/records", func(w http.ResponseWriter, _ *http.Request) { executorJSON(w, x.Records()) })
	mux.HandleFunc("POST /v1/faults", x.setFaults)
	x.server = &http.Server{Handler: mux}
	go func() { _ = x.server.Serve(x.listener) }()
	return x
}

// Address returns the IP:port of x.
func (x *Executor) Address() string { return x.listener.Addr().String() }

// Close ends the server and its connections.
func (x *Executor) Close() error {
	x.SetFaults(ExecutorFaults{})
	return x.server.Close()
}

// Records returns a copy of the run record.
func (x *Executor) Records() ExecutorRecords {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.records
	r.Runs = append([]ExecutorRunRecord(nil), r.Runs...)
	r.MaxConnections, r.RefusedConnections = x.listener.counts()
	return r
}

// SetFaults replaces the faults.
func (x *Executor) SetFaults(f ExecutorFaults) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if f.Silent && !x.faults.Silent {
		x.listener.silence()
	}
	if x.faults.Hang && !f.Hang {
		close(x.released)
		x.released = make(chan struct{})
	}
	x.faults = f
}

func (x *Executor) setFaults(w http.ResponseWriter, r *http.Request) {
	var f ExecutorFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	executorJSON(w, f)
	x.SetFaults(f)
}

func (x *Executor) hello(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Epoch uint64 `json:"epoch"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if in.Epoch < x.epoch {
		http.Error(w, "stale_epoch", http.StatusConflict)
		return
	}
	x.epoch = in.Epoch
	executorJSON(w, machine.ExecutorHello{Slots: x.cfg.Slots, Busy: x.records.Busy, Connections: x.listener.open()})
}

// admit starts a run under the lock, or returns a status that means "not run".
func (x *Executor) admit(id, class string, epoch uint64) (run int, f ExecutorFaults, d time.Duration, hang <-chan struct{}, status int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if epoch < x.epoch {
		x.records.RefusedStale++
		return 0, f, 0, nil, http.StatusConflict
	}
	x.epoch = epoch
	if x.records.Busy >= x.cfg.Slots {
		x.records.RefusedBusy++
		return 0, f, 0, nil, http.StatusServiceUnavailable
	}
	x.records.Busy++
	x.records.MaxBusy = max(x.records.MaxBusy, x.records.Busy)
	f = x.faults
	d = x.cfg.ServiceTime
	if x.cfg.Exponential {
		d = time.Duration(x.rng.ExpFloat64() * float64(d))
	}
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	failed := f.FailFastShare > 0 && x.rng.Float64() < f.FailFastShare
	if failed {
		d = 0
	}
	if f.Hang {
		hang = x.released
	}
	x.records.Runs = append(x.records.Runs, ExecutorRunRecord{ID: id, Class: class, Epoch: epoch,
		StartedUS: time.Now().UnixMicro(), Failed: failed})
	return len(x.records.Runs) - 1, f, d, hang, http.StatusOK
}

// run executes to the end even if the caller closes the connection, as the real
// executors do: a slot is free again only when the work has ended.
func (x *Executor) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(machine.HeaderRequestID)
	w.Header().Set(machine.HeaderRequestID, id)
	epoch, err := strconv.ParseUint(r.Header.Get(machine.HeaderEpoch), 10, 64)
	if err != nil || id == "" {
		http.Error(w, "bad headers", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n, f, d, hang, status := x.admit(id, r.Header.Get(machine.HeaderClass), epoch)
	if status != http.StatusOK {
		http.Error(w, "refused", status)
		return
	}
	time.Sleep(d)
	if hang != nil {
		<-hang
	}
	failed := x.end(n)
	time.Sleep(time.Duration(f.AnswerDelayMS) * time.Millisecond)
	if failed {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	x.answer(w, id, body, f)
}

func (x *Executor) end(n int) (failed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.records.Busy--
	x.records.Runs[n].EndedUS = time.Now().UnixMicro()
	return x.records.Runs[n].Failed
}

func (x *Executor) answer(w http.ResponseWriter, id string, body []byte, f ExecutorFaults) {
	if x.cfg.AnswerBytes > 0 {
		body = make([]byte, x.cfg.AnswerBytes)
		copy(body, id)
	}
	if f.CrossID {
		other := fmt.Sprintf("%s-other", id)
		w.Header().Set(machine.HeaderRequestID, other)
		body = []byte(other)
	}
	w.Header().Set(machine.HeaderDigest, machine.Digest(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if f.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func executorJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
