// Package logline writes each log event as one line of key=value pairs. It also has a writer that never blocks the
// code that logs.
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

// New returns a logger that writes key=value lines with a timestamp to w. Lines of one event beyond a rate limit are
// dropped; the next line of that event that is written carries their number as left_out.
func New(w io.Writer) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(&writer{out: w, now: time.Now, events: make(map[string]*eventWindow)}).With().Timestamp().Logger()
}

const (
	// maxLinesPerWindow is the most lines of one event that are written per rateWindow. A healthy daemon writes far
	// fewer; a failing dependency can cause thousands.
	maxLinesPerWindow = 100
	rateWindow        = 10 * time.Second
	maxTrackedEvents  = 1024 // distinct event names; one more resets all windows, which bounds their memory
)

// eventWindow counts the lines of one event within one rateWindow.
type eventWindow struct {
	start   time.Time
	count   int
	dropped int
}

// writer turns the JSON of zerolog into key=value pairs, which keep the order of the JSON fields, and applies the rate
// limit of each event.
type writer struct {
	mu     sync.Mutex
	out    io.Writer
	now    func() time.Time
	events map[string]*eventWindow
}

// Write implements io.Writer. p must be one JSON object. A line that is dropped is no error.
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

// admit reports whether a line of the event may be written. dropped is the number of lines that the previous window
// dropped, and is reported once.
func (w *writer) admit(event string) (ok bool, dropped int) {
	now := w.now()
	window := w.events[event]
	if window == nil {
		if len(w.events) >= maxTrackedEvents {
			w.events = make(map[string]*eventWindow)
		}
		window = &eventWindow{start: now}
		w.events[event] = window
	}
	if now.Sub(window.start) >= rateWindow {
		dropped = window.dropped
		*window = eventWindow{start: now}
	}
	if window.count >= maxLinesPerWindow {
		window.dropped++
		return false, 0
	}
	window.count++
	return true, dropped
}

// decode returns the fields of a JSON object as key=value pairs in their order, and the value of the field "event".
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

// text returns the decoded value of a JSON string, an empty string for null, and the JSON text of any other value.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// quote quotes a value that is empty or holds a character that would split the line or the pair.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\r\t") || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' }) {
		return strconv.Quote(s)
	}
	return s
}
