// Package standin holds the stand-ins that the review's cases run against: the platform's store, executors, an operator
// and clients, with the daemons as separate processes. They do what the users' pages say and nothing else.
package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// RecordBytes and CallBytes are the store's limits of one record and of the records of one append, as the settings
	// of a process give them (recordBytes, callBytes).
	RecordBytes = 262144
	CallBytes   = 2097152
	// appendTime is how long one append to a partition takes (appendMs).
	appendTime = 4 * time.Millisecond
	// pageKeys is the most keys on one page of the newest records.
	pageKeys = 500
	// repeats is how many of the last appends of a producer are answered again.
	repeats = 5
)

// Store is the platform's store, held in memory. It has partition 0 of each topic only.
type Store struct {
	Address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced when a record is added
}

// topic is one topic of a Store.
type topic struct {
	appending sync.Mutex // a partition serves one append at a time
	records   [][]byte   // without their length; in keyed topics the key comes before the value
	epoch     int64
	reads     int   // log-reads that were answered since the epoch began
	sequence  int64 // expected next
	answered  map[int64]string
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /sassafraslb/log-append", s.serveAppend)
	mux.HandleFunc("GET /sassafraslb/log-read", s.serveRead)
	mux.HandleFunc("GET /sassafraslb/log-newest", s.serveNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// topic returns a topic, and creates it on first use. mu must be held.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{answered: map[int64]string{}}
		s.topics[name] = t
	}
	return t
}

// Put writes a record of a keyed topic, as the operator and the executors do.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	t.records = append(t.records, slices.Concat([]byte{byte(len(key))}, []byte(key), value))
	s.wake()
}

// wake ends the waits of readers. mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

func reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// splitRecords splits the body of an append into records. It returns false if the body cannot be read or breaks a limit.
func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	total := 0
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > RecordBytes || n > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+n])
		total += n
		body = body[4+n:]
	}
	return records, total <= CallBytes
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		reply(w, http.StatusForbidden, `{}`)
		return
	}
	records, ok := splitRecords(body)
	if !ok {
		reply(w, http.StatusBadRequest, `{"reason":"a record or the call is too large or cannot be read"}`)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(t.records))
	if r.URL.Query().Has("at") && number(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, fmt.Sprintf(`{"endOffset":%d}`, end))
		return
	}
	produced, sequence := r.URL.Query().Has("producer"), number(r, "sequence")
	if produced {
		epoch := number(r, "epoch")
		switch {
		case epoch < t.epoch:
			reply(w, http.StatusConflict, `{"reason":"fenced"}`)
			return
		case epoch > t.epoch:
			t.epoch, t.reads, t.sequence, t.answered = epoch, 0, sequence, map[int64]string{}
		}
		if before, ok := t.answered[sequence]; ok && sequence >= t.sequence-repeats {
			reply(w, http.StatusOK, before)
			return
		}
		if sequence != t.sequence {
			reply(w, http.StatusConflict, fmt.Sprintf(`{"reason":"seq","sequence":%d}`, t.sequence))
			return
		}
		t.sequence++
	}
	t.records = append(t.records, records...)
	text := fmt.Sprintf(`{"offset":%d,"endOffset":%d}`, end, len(t.records))
	if produced {
		t.answered[sequence] = text
	}
	s.wake()
	reply(w, http.StatusOK, text)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	name, from := r.URL.Query().Get("topic"), max(number(r, "from"), 0)
	limit := 1024 << 10
	if kb := number(r, "maxKb"); kb > 0 {
		limit = int(kb) << 10
	}
	deadline := time.After(time.Duration(max(number(r, "waitMs"), 0)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		end := int64(len(t.records))
		if from < end || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end && len(out) < limit; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			t.reads++
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			expired = true
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	newest := map[string]item{}
	for i, record := range t.records {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
	}
	end := len(t.records)
	s.mu.Unlock()
	after := r.URL.Query().Get("dependsOn")
	items := []item{}
	for _, x := range newest {
		if after == "" || x.Key > after {
			items = append(items, x)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageKeys
	if more {
		items = items[:pageKeys]
	}
	data, err := json.Marshal(map[string]any{"items": items, "hasMore": more, "endOffset": end})
	if err != nil {
		reply(w, http.StatusInternalServerError, `{}`)
		return
	}
	reply(w, http.StatusOK, string(data))
}

// Epoch returns the epoch of the last append to a topic, and how many reads of its log were answered since.
func (s *Store) Epoch(name string) (epoch int64, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	return t.epoch, t.reads
}
