// Package standin holds stand-ins of the platform's services for tests and trials.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// LogConfig configures the stand-in of the log.
type LogConfig struct {
	MaxRecords int           // kept per stream; 0 means all
	MaxAge     time.Duration // records older than this are trimmed; 0 means none
}

// LogFaults are the faults of the log that can be switched at run time with
// PUT /v1/faults.
type LogFaults struct {
	Down          bool `json:"down"`         // every call is answered 503
	DelayMS       int  `json:"delay_ms"`     // before the effect of a call
	LoseAnswers   int  `json:"lose_answers"` // appends whose answer is lost after the effect; -1 means all
	AnswerDelayMS int  `json:"answer_ms"`    // between the effect of an append and its answer
}

// Log is an in-memory stand-in of the platform's log over HTTP.
type Log struct {
	cfg     LogConfig
	mux     *http.ServeMux
	mu      sync.Mutex
	faults  LogFaults
	streams map[string]*logStream
}

type logStream struct {
	oldest  upstream.Offset
	records []upstream.Record
	times   []time.Time
	appends int
	changed chan struct{} // closed and replaced at every append
}

// NewLog returns an empty log.
func NewLog(cfg LogConfig) *Log {
	l := &Log{cfg: cfg, mux: http.NewServeMux(), streams: make(map[string]*logStream)}
	l.mux.HandleFunc("POST /v1/streams/{stream}/records", l.handleAppend)
	l.mux.HandleFunc("GET /v1/streams/{stream}/records", l.handleRead)
	l.mux.HandleFunc("PUT /v1/faults", l.handleFaults)
	l.mux.HandleFunc("GET /v1/stats", l.handleStats)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of append calls that took effect on stream.
func (l *Log) Appends(stream string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(stream).appends
}

// Trim drops the records of stream below offset to.
func (l *Log) Trim(stream string, to upstream.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(stream).trim(to)
}

func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) head() upstream.Offset { return s.oldest + upstream.Offset(len(s.records)) }

func (s *logStream) trim(to upstream.Offset) {
	if to > s.head() {
		to = s.head()
	}
	if to > s.oldest {
		n := to - s.oldest
		s.records, s.times, s.oldest = s.records[n:], s.times[n:], to
	}
}

func (l *Log) retain(s *logStream, now time.Time) {
	if l.cfg.MaxRecords > 0 && len(s.records) > l.cfg.MaxRecords {
		s.trim(s.head() - upstream.Offset(l.cfg.MaxRecords))
	}
	for l.cfg.MaxAge > 0 && len(s.times) > 0 && now.Sub(s.times[0]) > l.cfg.MaxAge {
		s.trim(s.oldest + 1)
	}
}

// admit applies the delay and reports whether the log is up.
func (l *Log) admit(w http.ResponseWriter, r *http.Request) bool {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.DelayMS > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	if f.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Records [][]byte `json:"records"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Records) == 0 {
		http.Error(w, "body must hold records", http.StatusBadRequest)
		return
	}
	if !l.admit(w, r) {
		return
	}
	first, f := l.apply(r.PathValue("stream"), body.Records)
	if f.AnswerDelayMS > 0 {
		time.Sleep(time.Duration(f.AnswerDelayMS) * time.Millisecond)
	}
	if f.LoseAnswers != 0 {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	writeJSON(w, http.StatusOK, map[string]any{"first_offset": first})
}

// apply appends the records and returns the faults that hold for this call.
func (l *Log) apply(name string, records [][]byte) (upstream.Offset, LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.stream(name), time.Now()
	first := s.head()
	for i, data := range records {
		s.records = append(s.records, upstream.Record{Offset: first + upstream.Offset(i), Data: data})
		s.times = append(s.times, now)
	}
	s.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	l.retain(s, now)
	f := l.faults
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
	}
	return first, f
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	waitMS, err3 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil || err3 != nil || limit <= 0 {
		http.Error(w, "from, max and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	if !l.admit(w, r) {
		return
	}
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		b, changed, trimmed, down := l.read(r.PathValue("stream"), upstream.Offset(from), limit)
		switch {
		case down:
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		case trimmed:
			writeJSON(w, http.StatusGone, b)
			return
		case len(b.Records) > 0 || waitMS == 0:
			writeJSON(w, http.StatusOK, b)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) read(name string, from upstream.Offset, limit int) (b upstream.Batch, changed chan struct{}, trimmed, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.retain(s, time.Now())
	b = upstream.Batch{Records: []upstream.Record{}, Next: from, Head: s.head(), Oldest: s.oldest}
	if from < s.oldest {
		return b, nil, true, l.faults.Down
	}
	if from < s.head() {
		all := s.records[from-s.oldest:]
		b.Records = append(b.Records, all[:min(limit, len(all))]...)
		b.Next = from + upstream.Offset(len(b.Records))
	}
	return b, s.changed, false, l.faults.Down
}

func (l *Log) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (l *Log) handleStats(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for name, s := range l.streams {
		out[name] = s.appends
	}
	writeJSON(w, http.StatusOK, map[string]any{"appends": out})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
