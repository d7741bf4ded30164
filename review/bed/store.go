package bed

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

// maxRecordBytes is the platform's bound on one record, recordBytes of the settings.
const maxRecordBytes = 262144

// Store is a stand-in for the platform's store: a log of topics with one partition each, of which it serves the calls
// that the system makes. It loses nothing and never fails.
type Store struct {
	Address string

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced when a record is added
}

// topic is one topic of a Store.
type topic struct {
	records  [][]byte         // in keyed topics the length of the key and the key come before the value
	epoch    int64            // highest epoch of an append
	last     int64            // sequence of the last append of that epoch
	answers  map[int64]string // to the last appends of that epoch, by sequence
	sequence []int64          // of these, the oldest first
}

// NewStore starts a Store on a free loopback port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: listener.Addr().String(), topics: map[string]*topic{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// Put appends a record to a keyed topic, as operators and executors do. A nil value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, slices.Concat([]byte{byte(len(key))}, []byte(key), value))
	s.wake()
}

// topic returns a topic, which is created on first use. The caller holds mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{answers: map[int64]string{}}
		s.topics[name] = t
	}
	return t
}

// wake wakes the reads that wait for a record. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/sassafraslb/log-append":
		s.append(w, r)
	case "/sassafraslb/log-read":
		s.read(w, r)
	case "/sassafraslb/log-newest":
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// number returns a whole number of the query, -1 if there is none.
func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return -1
	}
	return n
}

// answer writes a response with a body.
func answer(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// split returns the records of a body, and false if one is cut off or too large.
func split(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > maxRecordBytes || n > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := split(body)
	if !ok {
		answer(w, http.StatusBadRequest, "{}")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	end := int64(len(t.records))
	if at := number(r, "at"); at >= 0 && at != end {
		answer(w, http.StatusPreconditionFailed, fmt.Sprintf(`{"endOffset":%d}`, end))
		return
	}
	sequence := number(r, "sequence")
	if r.URL.Query().Has("producer") {
		switch epoch := number(r, "epoch"); {
		case epoch < t.epoch:
			answer(w, http.StatusConflict, `{"reason":"fenced"}`)
			return
		case epoch > t.epoch:
			t.epoch, t.answers, t.sequence = epoch, map[int64]string{}, nil
		default:
			if old, known := t.answers[sequence]; known {
				answer(w, http.StatusOK, old)
				return
			}
			if sequence != t.last+1 {
				answer(w, http.StatusConflict, fmt.Sprintf(`{"reason":"seq","sequence":%d}`, t.last+1))
				return
			}
		}
	}
	t.records = append(t.records, records...)
	text := fmt.Sprintf(`{"offset":%d,"endOffset":%d}`, end, len(t.records))
	if r.URL.Query().Has("producer") {
		t.last, t.answers[sequence], t.sequence = sequence, text, append(t.sequence, sequence)
		if len(t.sequence) > 5 {
			delete(t.answers, t.sequence[0])
			t.sequence = t.sequence[1:]
		}
	}
	s.wake()
	answer(w, http.StatusOK, text)
}

// maxReadBytes bounds the records of one read, as the default of maxKb does.
const maxReadBytes = 1 << 20

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	name, from := r.URL.Query().Get("topic"), max(number(r, "from"), 0)
	timeout := time.After(time.Duration(max(number(r, "waitMs"), 0)) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		records, changed := s.topic(name).records, s.changed
		s.mu.Unlock()
		if from < int64(len(records)) || waited {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < int64(len(records)) && len(out) < maxReadBytes; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
				out = append(out, records[i]...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// newest serves the newest record of each key, 500 at a time.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	reply := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		End     int64  `json:"endOffset"`
	}{Items: []item{}}
	after := r.URL.Query().Get("dependsOn")
	newest := map[string]item{}
	s.mu.Lock()
	records := s.topic(r.URL.Query().Get("topic")).records
	s.mu.Unlock()
	for i, record := range records {
		n := 1 + int(record[0])
		key, value := string(record[1:n]), record[n:]
		delete(newest, key)
		if len(value) > 0 && key > after {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), int64(i)}
		}
	}
	for _, found := range newest {
		reply.Items = append(reply.Items, found)
	}
	slices.SortFunc(reply.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(reply.Items) > 500 {
		reply.Items, reply.HasMore = reply.Items[:500], true
	}
	reply.End = int64(len(records))
	_ = json.NewEncoder(w).Encode(reply)
}
