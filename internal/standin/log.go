package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// LogConfig configures the retention of a Log. Records beyond either limit are trimmed.
type LogConfig struct {
	MaxRecords int           // records kept per stream; 0 keeps all
	MaxAge     time.Duration // age up to which records are kept; 0 keeps all
}

// LogFaults are the faults that a stand-in log injects. PUT /v1/faults replaces them
// at run time; the zero value injects none.
type LogFaults struct {
	Down          bool `json:"down"`         // every call is answered 503
	DelayMS       int  `json:"delay_ms"`     // delay before a call takes effect, in milliseconds
	LoseAnswers   int  `json:"lose_answers"` // number of next appends that take effect but are not answered; -1 means all
	AnswerDelayMS int  `json:"answer_ms"`    // delay between the effect of an append and its answer, in milliseconds
}

// Log is an in-memory stand-in for the platform's append-only log over HTTP.
type Log struct {
	cfg     LogConfig
	mux     *http.ServeMux
	mu      sync.Mutex
	faults  LogFaults
	streams map[string]*logStream
}

type logStream struct {
	oldestOffset upstream.Offset // of the first record kept
	records      []upstream.Record
	appendTimes  []time.Time   // of records, by index
	appendCalls  int           // append calls that took effect
	appended     chan struct{} // closed and replaced at every append
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
	return l.stream(stream).appendCalls
}

// Trim drops the records of stream with offsets below to.
func (l *Log) Trim(stream string, to upstream.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(stream).trim(to)
}

// stream returns the stream of that name and creates it if necessary. The caller
// holds l.mu.
func (l *Log) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// head returns the offset that the next record will get.
func (s *logStream) head() upstream.Offset { return s.oldestOffset + upstream.Offset(len(s.records)) }

// trim drops the records with offsets below to, at most up to the head.
func (s *logStream) trim(to upstream.Offset) {
	if to > s.head() {
		to = s.head()
	}
	if to > s.oldestOffset {
		n := to - s.oldestOffset
		s.records, s.appendTimes, s.oldestOffset = s.records[n:], s.appendTimes[n:], to
	}
}

// applyRetention trims s to the limits of the configuration.
func (l *Log) applyRetention(s *logStream, now time.Time) {
	if l.cfg.MaxRecords > 0 && len(s.records) > l.cfg.MaxRecords {
		s.trim(s.head() - upstream.Offset(l.cfg.MaxRecords))
	}
	for l.cfg.MaxAge > 0 && len(s.appendTimes) > 0 && now.Sub(s.appendTimes[0]) > l.cfg.MaxAge {
		s.trim(s.oldestOffset + 1)
	}
}

// delayOrRefuse waits for the fault DelayMS. It reports whether the call may go on; if
// the log is down, it answers 503 and returns false.
func (l *Log) delayOrRefuse(w http.ResponseWriter, r *http.Request) bool {
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
		http.Error(w, "the body must be JSON with at least one record in \"records\"", http.StatusBadRequest)
		return
	}
	if !l.delayOrRefuse(w, r) {
		return
	}
	first, f := l.appendRecords(r.PathValue("stream"), body.Records)
	if f.AnswerDelayMS > 0 {
		time.Sleep(time.Duration(f.AnswerDelayMS) * time.Millisecond)
	}
	if f.LoseAnswers != 0 {
		panic(http.ErrAbortHandler) // close the connection without an answer
	}
	writeJSON(w, http.StatusOK, map[string]any{"first_offset": first})
}

// appendRecords appends the records to a stream. It returns the offset of the first one
// and the faults that apply to this call.
func (l *Log) appendRecords(name string, records [][]byte) (upstream.Offset, LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.stream(name), time.Now()
	first := s.head()
	for i, data := range records {
		s.records = append(s.records, upstream.Record{Offset: first + upstream.Offset(i), Data: data})
		s.appendTimes = append(s.appendTimes, now)
	}
	s.appendCalls++
	close(s.appended)
	s.appended = make(chan struct{})
	l.applyRetention(s, now)
	f := l.faults
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
	}
	return first, f
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, errMax := strconv.Atoi(q.Get("max"))
	waitMS, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errFrom != nil || errMax != nil || errWait != nil || limit <= 0 {
		http.Error(w, "from, max and wait_ms must be numbers and max greater than 0", http.StatusBadRequest)
		return
	}
	if !l.delayOrRefuse(w, r) {
		return
	}
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		batch, appended, trimmed, down := l.read(r.PathValue("stream"), upstream.Offset(from), limit)
		switch {
		case down:
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		case trimmed:
			writeJSON(w, http.StatusGone, batch)
			return
		case len(batch.Records) > 0 || waitMS == 0:
			writeJSON(w, http.StatusOK, batch)
			return
		}
		select {
		case <-appended:
		case <-deadline.C:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

// read returns up to limit records of a stream from offset from, and a channel that is
// closed at the next append. trimmed means that from is below the oldest offset kept, down
// that the fault Down is set.
func (l *Log) read(name string, from upstream.Offset, limit int) (batch upstream.Batch, appended chan struct{}, trimmed, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.applyRetention(s, time.Now())
	batch = upstream.Batch{Records: []upstream.Record{}, Next: from, Head: s.head(), Oldest: s.oldestOffset}
	if from < s.oldestOffset {
		return batch, nil, true, l.faults.Down
	}
	if from < s.head() {
		all := s.records[from-s.oldestOffset:]
		batch.Records = append(batch.Records, all[:min(limit, len(all))]...)
		batch.Next = from + upstream.Offset(len(batch.Records))
	}
	return batch, s.appended, false, l.faults.Down
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

// handleStats answers with the number of append calls that took effect, by stream.
func (l *Log) handleStats(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int)
	for name, s := range l.streams {
		out[name] = s.appendCalls
	}
	writeJSON(w, http.StatusOK, map[string]any{"appends": out})
}

// writeJSON answers with status and v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
