// Package bed holds the stand-ins for the cases of the second review: a store, executors, an advisor and clients, beside
// daemons that run as processes of their own. They do what the platform's pages say. Cases write what was sent,
// answered and run to a record, and judge by it alone.
package bed

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Event is something that an executor did.
type Event struct {
	At       time.Duration // since the start of the record
	What     string        // start, end, noted, lost, lapse, refused, power off, power on
	Executor string
	Task     string
	Run      int64
	How      string // of an end or a refusal
	Number   int64  // of an end
}

// Record is what was sent, answered and run, in order. It is also written to a file.
type Record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	events []Event
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Note writes a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Add adds an event and writes it.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.Now()
	r.events = append(r.events, e)
	fmt.Fprintf(r.out, "%8.3f  %s: %s", e.At.Seconds(), e.Executor, e.What)
	if e.Task != "" {
		fmt.Fprintf(r.out, " %s run %d", e.Task, e.Run)
	}
	if e.Number != 0 {
		fmt.Fprintf(r.out, ", end %d", e.Number)
	}
	if e.How != "" {
		fmt.Fprintf(r.out, " (%s)", e.How)
	}
	fmt.Fprintln(r.out)
}

// Events returns the events so far.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}

// Close writes what is left to the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

// LastStart returns the last start of a task, and false if there was none.
func (r *Record) LastStart(task string) (Event, bool) {
	events := r.Events()
	for i := len(events) - 1; i >= 0; i-- {
		if events[i].What == "start" && events[i].Task == task {
			return events[i], true
		}
	}
	return Event{}, false
}
