package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// WorkerFaults are the faults that a stand-in worker injects. POST /v1/faults replaces
// them at run time; the zero value injects none.
type WorkerFaults struct {
	FailStarts         bool    `json:"fail_starts"`  // tasks started while this is set fail after WorkerConfig.FailAfter
	DelayMS            int64   `json:"slow_ms"`      // delay before a command takes effect, in milliseconds
	LoseEveryNthAnswer int     `json:"lose_answers"` // every n-th command takes effect but is not answered; 0 loses no answer
	Unreachable        bool    `json:"unreachable"`  // close the connection of every command before it takes effect
	UsageFactor        float64 `json:"usage_factor"` // reported usage of CPU and memory divided by the held resources; 0 means 1
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// handleFaults replaces the faults on POST and answers with the current ones.
func (w *Worker) handleFaults(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f WorkerFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetFaults(f)
	}
	w.mu.Lock()
	f := w.faults
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(f)
}

// handleCommand returns a handler that decodes a command of type T, injects the faults
// and runs fn with the worker locked. A refusal by fn is answered 409.
func handleCommand[T any](w *Worker, fn func(*http.Request, T) (any, *machine.Refusal)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var req T
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			writeReply(rw, http.StatusBadRequest, machine.Refusal{Reason: "bad_input", Detail: err.Error()})
			return
		}
		w.mu.Lock()
		f := w.faults
		w.mu.Unlock()
		if f.Unreachable {
			panic(http.ErrAbortHandler)
		}
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		w.mu.Lock()
		out, refused := fn(r, req)
		loseAnswer := false
		if f.LoseEveryNthAnswer > 0 {
			w.countedAnswers++
			loseAnswer = w.countedAnswers%f.LoseEveryNthAnswer == 0
		}
		w.mu.Unlock()
		switch {
		case loseAnswer:
			panic(http.ErrAbortHandler)
		case refused != nil:
			writeReply(rw, http.StatusConflict, refused)
		default:
			writeReply(rw, http.StatusOK, out)
		}
	}
}

// writeReply answers with status and body as JSON.
func writeReply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}
