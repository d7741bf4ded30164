package logline

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait while the underlying writer is slow.
	maxQueuedLines = 4096
	// batchDelay is how long a batch waits for further lines when the queue is empty. A busy daemon would spend more
	// processor time on one system call per line than on the line itself; a daemon that is killed loses the waiting lines.
	batchDelay = 10 * time.Millisecond
	// maxBatchBytes bounds a batch of several lines. It is PIPE_BUF of Linux: a pipe takes a write of up to that size
	// whole, so lines of several writers do not mix. A longer line is written alone.
	maxBatchBytes = 4096
	// closeTimeout bounds how long Close waits until the queued lines are written.
	closeTimeout = 300 * time.Millisecond
)

// AsyncWriter is an io.Writer that never blocks its caller: lines wait in a bounded queue until a goroutine writes
// them in batches. Lines that find the queue full are dropped; the event log_lines_dropped tells their number.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
}

// NewAsyncWriter returns an AsyncWriter that writes to out. Its goroutine ends after Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.writeLoop(out)
	return w
}

// writeLoop writes queued lines in batches until the queue is closed and empty.
func (w *AsyncWriter) writeLoop(out io.Writer) {
	defer close(w.done)
	var batch []byte
	flush := func() {
		if len(batch) > 0 {
			_, _ = out.Write(batch) // a failure to write the log cannot be logged
			batch = batch[:0]
		}
	}
	add := func(line []byte) {
		if len(batch)+len(line) > maxBatchBytes {
			flush()
		}
		batch = append(batch, line...)
	}
	for line := range w.lines {
		if len(w.lines) == 0 {
			time.Sleep(batchDelay)
		}
		if n := w.dropped.Swap(0); n > 0 {
			add([]byte(`{"event":"log_lines_dropped","lines":` + strconv.FormatInt(n, 10) + "}\n"))
		}
		add(line)
		if len(w.lines) == 0 {
			flush()
		}
	}
	flush()
}

// Write implements io.Writer. It queues a copy of p, which must be whole lines, and never fails.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Close waits for a short time until the queued lines are written. Lines written later are dropped. It must be called
// once only.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
