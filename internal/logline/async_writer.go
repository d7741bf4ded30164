package logline

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 4096
	// gatherFor is how long the first line waits for others. A call for each line costs
	// a busy daemon more than the line itself; a killed one loses the lines that wait.
	gatherFor = 10 * time.Millisecond
	// gatherBytes bounds the lines that are written with one call: a pipe takes that
	// much at once or not at all.
	gatherBytes = 4096
	// closeWait bounds how long Close waits for the reader.
	closeWait = 300 * time.Millisecond
)

// AsyncWriter is a writer that never blocks its caller: lines wait in a bounded queue,
// and lines beyond it are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
}

// NewAsyncWriter returns an AsyncWriter that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run(out)
	return q
}

func (q *AsyncWriter) run(out io.Writer) {
	defer close(q.done)
	var gathered []byte
	write := func() {
		if len(gathered) > 0 {
			_, _ = out.Write(gathered) // a log that cannot be written has no other place to be reported
			gathered = gathered[:0]
		}
	}
	add := func(line []byte) {
		if len(gathered)+len(line) > gatherBytes {
			write()
		}
		gathered = append(gathered, line...)
	}
	for line := range q.lines {
		if len(q.lines) == 0 {
			time.Sleep(gatherFor)
		}
		if n := q.dropped.Swap(0); n > 0 {
			add([]byte(`{"event":"log_lines_dropped","lines":` + strconv.FormatInt(n, 10) + "}\n"))
		}
		add(line)
		if len(q.lines) == 0 {
			write()
		}
	}
	write()
}

// Write implements io.Writer. It keeps a copy of p and never fails.
func (q *AsyncWriter) Write(p []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return len(p), nil
	}
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Close writes what waits, for a short time, and drops what comes later.
func (q *AsyncWriter) Close() {
	q.mu.Lock()
	q.closed = true
	close(q.lines)
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(closeWait):
	}
}
