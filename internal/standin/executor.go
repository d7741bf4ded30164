// Package standin holds in-memory stand-ins for the platform's services and
// machines: the log, the host list, workers and executors. They speak the platform's
// HTTP protocols, can inject faults, and keep records of what ran for the checkers of
// tests and demonstrations.
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
	Slots       int           // runs at the same time; default 8
	Connections int           // open connections allowed, default 64; further ones are closed on accept
	ServiceTime time.Duration // mean run time
	Exponential bool          // draw run times from an exponential distribution instead of using the mean
	AnswerBytes int           // size of an answer; 0 echoes the body of the request
	Seed        uint64        // of the random run times and failures
}

// ExecutorFaults are the faults that a stand-in executor injects. POST /v1/faults
// replaces them at run time; the zero value injects none.
type ExecutorFaults struct {
	FailFastShare float64 `json:"fail_fast"` // share of runs that fail without using any run time, 0 to 1
	SlowFactor    float64 `json:"slow"`      // multiplies run times; 0 means 1
	Hang          bool    `json:"hang"`      // runs started while this is set end only after it is switched off
	AnswerDelayMS int     `json:"late_ms"`   // delay between the end of a run and its answer, in milliseconds
	CrossID       bool    `json:"cross_id"`  // answers carry the id and body of another request
	Truncate      bool    `json:"truncate"`  // the connection is closed after half of the answer
	// Silent makes the connections that are open when it is switched on permanently
	// silent: they stay open but carry nothing. Connections opened later work.
	Silent bool `json:"silent"`
}

// ExecutorRunRecord describes one run of a request.
type ExecutorRunRecord struct {
	ID        string `json:"id"`
	Class     string `json:"class"`
	Epoch     uint64 `json:"epoch"`
	StartedUS int64  `json:"started_us"` // Unix time in microseconds
	EndedUS   int64  `json:"ended_us"`   // Unix time in microseconds; 0 while running
	Failed    bool   `json:"failed"`     // set at the start if FailFastShare lets the run fail
}

// ExecutorRecords is the answer to GET /v1/records.
type ExecutorRecords struct {
	Runs               []ExecutorRunRecord `json:"runs"`                // in the order of their start
	Busy               int                 `json:"busy"`                // slots in use
	MaxBusy            int                 `json:"max_busy"`            // most slots in use at the same time so far
	MaxConnections     int                 `json:"max_connections"`     // most connections open at the same time so far
	RefusedBusy        int                 `json:"refused_busy"`        // calls refused because all slots were in use
	RefusedStale       int                 `json:"refused_stale"`       // calls refused because of an older epoch
	RefusedConnections int                 `json:"refused_connections"` // connections closed on accept
}

// Executor is a stand-in for an executor of the back end. It runs requests in slots,
// answers with their bodies, and refuses calls with an epoch older than the newest it saw.
type Executor struct {
	cfg      ExecutorConfig
	listener *limitListener
	server   *http.Server

	mu        sync.Mutex
	rng       *rand.Rand
	faults    ExecutorFaults
	hangEnded chan struct{} // closed and replaced when Hang is switched off
	epoch     uint64        // newest epoch seen
	records   ExecutorRecords
}

// NewExecutor returns an executor that serves on l until Close.
func NewExecutor(l net.Listener, cfg ExecutorConfig) *Executor {
	if cfg.Slots <= 0 {
		cfg.Slots = 8
	}
	if cfg.Connections <= 0 {
		cfg.Connections = 64
	}
	x := &Executor{
		cfg:       cfg,
		listener:  newLimitListener(l, cfg.Connections),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		hangEnded: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/hello", x.handleHello)
	mux.HandleFunc("POST /v1/run", x.handleRun)
	mux.HandleFunc("GET /v1/ping", func(w http.ResponseWriter, _ *http.Request) { writeOK(w, struct{}{}) })
	mux.HandleFunc("GET /v1/records", func(w http.ResponseWriter, _ *http.Request) { writeOK(w, x.Records()) })
	mux.HandleFunc("POST /v1/faults", x.handleFaults)
	x.server = &http.Server{Handler: mux}
	go func() { _ = x.server.Serve(x.listener) }()
	return x
}

// Address returns the IP:port of x.
func (x *Executor) Address() string { return x.listener.Addr().String() }

// Close clears the faults, so that hanging runs end, and closes the server and its
// connections.
func (x *Executor) Close() error {
	x.SetFaults(ExecutorFaults{})
	return x.server.Close()
}

// Records returns a copy of the records.
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
		x.listener.silenceOpen()
	}
	if x.faults.Hang && !f.Hang {
		close(x.hangEnded)
		x.hangEnded = make(chan struct{})
	}
	x.faults = f
}

func (x *Executor) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f ExecutorFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeOK(w, f)
	x.SetFaults(f)
}

// handleHello answers POST /v1/hello, by which a daemon announces its epoch. It refuses
// an older epoch than the newest it saw, else returns the slots and connections in use.
func (x *Executor) handleHello(w http.ResponseWriter, r *http.Request) {
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
	writeOK(w, machine.ExecutorHello{Slots: x.cfg.Slots, Busy: x.records.Busy, Connections: x.listener.openCount()})
}

// startRun records the start of a run and returns its index in the records, the faults
// that apply to it, its run time, and a channel to wait for if it hangs. A status other
// than 200 means that the request was not run.
func (x *Executor) startRun(id, class string, epoch uint64) (run int, f ExecutorFaults, runTime time.Duration, hangEnded <-chan struct{}, status int) {
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
	runTime = x.cfg.ServiceTime
	if x.cfg.Exponential {
		runTime = time.Duration(x.rng.ExpFloat64() * float64(runTime))
	}
	if f.SlowFactor > 0 {
		runTime = time.Duration(float64(runTime) * f.SlowFactor)
	}
	failed := f.FailFastShare > 0 && x.rng.Float64() < f.FailFastShare
	if failed {
		runTime = 0
	}
	if f.Hang {
		hangEnded = x.hangEnded
	}
	x.records.Runs = append(x.records.Runs, ExecutorRunRecord{ID: id, Class: class, Epoch: epoch,
		StartedUS: time.Now().UnixMicro(), Failed: failed})
	return len(x.records.Runs) - 1, f, runTime, hangEnded, http.StatusOK
}

// handleRun runs a request to its end even if the caller closes the connection, as
// real executors do: a slot is free again only when the work has ended.
func (x *Executor) handleRun(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(machine.HeaderRequestID)
	w.Header().Set(machine.HeaderRequestID, id)
	epoch, err := strconv.ParseUint(r.Header.Get(machine.HeaderEpoch), 10, 64)
	if err != nil || id == "" {
		http.Error(w, "the request id is missing or the epoch is not a number", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run, f, runTime, hangEnded, status := x.startRun(id, r.Header.Get(machine.HeaderClass), epoch)
	if status != http.StatusOK {
		http.Error(w, "refused", status)
		return
	}
	time.Sleep(runTime)
	if hangEnded != nil {
		<-hangEnded
	}
	failed := x.finishRun(run)
	time.Sleep(time.Duration(f.AnswerDelayMS) * time.Millisecond)
	if failed {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	x.writeAnswer(w, id, body, f)
}

// finishRun records the end of a run and frees its slot.
func (x *Executor) finishRun(run int) (failed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.records.Busy--
	x.records.Runs[run].EndedUS = time.Now().UnixMicro()
	return x.records.Runs[run].Failed
}

// writeAnswer writes the answer of a successful run, corrupted by the faults CrossID
// and Truncate if they are set.
func (x *Executor) writeAnswer(w http.ResponseWriter, id string, body []byte, f ExecutorFaults) {
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

// writeOK answers 200 with v as JSON.
func writeOK(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
