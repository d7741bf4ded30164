package logline

import (
	"fmt"
	"strings"
	"testing"
)

// countingWriter keeps what is written, the number of calls to Write and the longest write in bytes.
type countingWriter struct {
	text           strings.Builder
	calls, longest int
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.calls++
	w.longest = max(w.longest, len(p))
	return w.text.Write(p)
}

// TestLinesAreBatched guards against one system call per line of a busy daemon, and against lines that are lost or
// change their order in a batch.
func TestLinesAreBatched(t *testing.T) {
	out := &countingWriter{}
	w := NewAsyncWriter(out)
	const lines = 2000
	var want strings.Builder
	for i := range lines {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		if n, err := w.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatalf("Write returned %d, %v; want the length of the line and no error", n, err)
		}
	}
	w.Close()
	if out.text.String() != want.String() {
		t.Errorf("wrote %d bytes, want %d in the same order", out.text.Len(), want.Len())
	}
	if out.calls > lines/100 || out.longest > maxBatchBytes {
		t.Errorf("%d writes for %d lines, the longest of %d bytes; want at most 1 per 100 lines, of at most maxBatchBytes", out.calls, lines, out.longest)
	}
}
