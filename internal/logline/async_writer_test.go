package logline

import (
	"fmt"
	"strings"
	"testing"
)

// countingWriter counts the calls to Write.
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

// TestLinesShareCalls guards against a system call for each line of a busy daemon,
// and against lines that are lost or mixed when several are written at once.
func TestLinesShareCalls(t *testing.T) {
	out := &countingWriter{}
	q := NewAsyncWriter(out)
	const lines = 2000
	var want strings.Builder
	for i := range lines {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		if n, err := q.Write([]byte(line)); n != len(line) || err != nil {
			t.Fatalf("Write: %d, %v", n, err)
		}
	}
	q.Close()
	if out.text.String() != want.String() {
		t.Errorf("wrote %d bytes, want %d in the same order", out.text.Len(), want.Len())
	}
	if out.calls > lines/100 || out.longest > gatherBytes {
		t.Errorf("%d calls for %d lines, the longest with %d bytes", out.calls, lines, out.longest)
	}
}
