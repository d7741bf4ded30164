// Package logline writes log events as one line of key=value pairs each.
package logline

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes key=value lines with a timestamp to w. Events
// of one name beyond the flood limit are left out and counted.
func New(w io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&writer{out: w, now: time.Now, events: make(map[string]*window)}).With().Timestamp().Logger()
}

const (
	// floodLimit is the number of lines of one event per floodSpan. A healthy daemon
	// writes far fewer; a failing dependency can cause thousands.
	floodLimit = 100
	floodSpan  = 10 * time.Second
	maxEvents  = 1024 // distinct event names tracked; beyond it windows are reset
)

// window counts the lines of one event.
type window struct {
	start   time.Time
	count   int
	dropped int
}

// writer turns the JSON of zerolog into key=value pairs in the order of the event.
type writer struct {
	mu     sync.Mutex
	out    io.Writer
	now    func() time.Time
	events map[string]*window
}

// Write implements io.Writer. p is one JSON object.
func (w *writer) Write(p []byte) (int, error) {
	pairs, event, err := decode(p)
	if err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ok, dropped := w.admit(event)
	if !ok {
		return len(p), nil
	}
	if dropped > 0 {
		pairs = append(pairs, "left_out="+strconv.Itoa(dropped))
	}
	if _, err := io.WriteString(w.out, strings.Join(pairs, " ")+"\n"); err != nil {
		return 0, err
	}
	return len(p), nil
}

// admit reports whether a line of the event may be written, and how many were
// left out before it.
func (w *writer) admit(event string) (ok bool, dropped int) {
	now := w.now()
	e := w.events[event]
	if e == nil {
		if len(w.events) >= maxEvents {
			w.events = make(map[string]*window)
		}
		e = &window{start: now}
		w.events[event] = e
	}
	if now.Sub(e.start) >= floodSpan {
		dropped = e.dropped
		*e = window{start: now}
	}
	if e.count >= floodLimit {
		e.dropped++
		return false, 0
	}
	e.count++
	return true, dropped
}

// decode returns the key=value pairs of a JSON object in their order, and the event name.
func decode(p []byte) (pairs []string, event string, err error) {
	dec := json.NewDecoder(strings.NewReader(string(p)))
	dec.UseNumber()
	if _, err := dec.Token(); err != nil {
		return nil, "", err
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return nil, "", err
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return nil, "", err
		}
		name, _ := key.(string)
		value := text(raw)
		if name == "event" {
			event = value
		}
		pairs = append(pairs, name+"="+quote(value))
	}
	return pairs, event, nil
}

// text returns a JSON string without its quotes, and any other value as it is.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// quote quotes a value that would break the line into wrong pairs.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\r\t") || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' }) {
		return strconv.Quote(s)
	}
	return s
}
