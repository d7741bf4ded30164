package daemon

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// failingHostList is a host list that fails as long as err is set.
type failingHostList struct{ err error }

func (f *failingHostList) Hosts(context.Context) ([]upstream.Host, error) {
	return []upstream.Host{{ID: "w1"}}, f.err
}

// Guards against a log line for each failed read during an outage of the host list, against
// an outage that is not logged, and against logging an outage because the context of one
// caller was cancelled while the list could be read.
func TestHostListOutageIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	source := &failingHostList{}
	h := &cachedHostList{source: source, log: zerolog.New(&out)}
	read := func(ctx context.Context, n int) {
		for range n {
			_, _ = h.Hosts(ctx)
		}
	}
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 {
		source.err = context.Canceled
		read(cancelledCtx, 3)
		source.err = errors.New("connection refused")
		read(context.Background(), 5)
		read(cancelledCtx, 1)
		source.err = nil
		read(context.Background(), 5)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"host_list_unreadable", "host_list_readable", "host_list_unreadable", "host_list_readable"}
	if len(lines) != len(want) {
		t.Fatalf("got %d log lines, want %d:\n%s", len(lines), len(want), out.String())
	}
	for i, event := range want {
		if !strings.Contains(lines[i], event) || strings.Contains(event, "unreadable") != strings.Contains(lines[i], "connection refused") {
			t.Errorf("line %d: got %s, want event %s, with the error if it is unreadable", i, lines[i], event)
		}
	}
}
