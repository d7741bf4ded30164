package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
)

// WorkerFaults are the faults of a stand-in worker. They can be switched while it runs.
type WorkerFaults struct {
	FailStarts         bool    `json:"fail_starts"`  // every task that is started fails
	DelayMS            int64   `json:"slow_ms"`      // delay before a command takes effect
	LoseEveryNthAnswer int     `json:"lose_answers"` // cut off every n-th answer after the effect; 0 is none
	Unreachable        bool    `json:"unreachable"`  // cut off every command before the effect
	UsageFactor        float64 `json:"usage_factor"` // reported usage over declared resources; 0 is 1
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

func (w *Worker) serveFaults(rw http.ResponseWriter, r *http.Request) {
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

// command decodes a command, applies the faults and runs fn under the lock.
func command[T any](w *Worker, fn func(*http.Request, T) (any, *machine.Refusal)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var req T
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			answer(rw, http.StatusBadRequest, machine.Refusal{Reason: "bad_input", Detail: err.Error()})
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
		cut := false
		if f.LoseEveryNthAnswer > 0 {
			w.lost++
			cut = w.lost%f.LoseEveryNthAnswer == 0
		}
		w.mu.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case refused != nil:
			answer(rw, http.StatusConflict, refused)
		default:
			answer(rw, http.StatusOK, out)
		}
	}
}

func answer(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}
