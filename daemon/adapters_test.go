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

// failingHosts is a host list that fails as long as err is set.
type failingHosts struct{ err error }

func (f *failingHosts) Hosts(context.Context) ([]upstream.Host, error) {
	return []upstream.Host{{ID: "w1"}}, f.err
}

// Guards against a line per failed read during an outage of the host list, an outage
// without a line, and a caller that left being taken for an outage.
func TestHostListOutageIsLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	from := &failingHosts{}
	h := &cachedHostList{source: from, log: zerolog.New(&out)}
	read := func(ctx context.Context, n int) {
		for range n {
			_, _ = h.Hosts(ctx)
		}
	}
	left, cancel := context.WithCancel(context.Background())
	cancel()
	for range 2 {
		from.err = context.Canceled
		read(left, 3)
		from.err = errors.New("connection refused")
		read(context.Background(), 5)
		read(left, 1)
		from.err = nil
		read(context.Background(), 5)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"host_list_unreadable", "host_list_readable", "host_list_unreadable", "host_list_readable"}
	if len(lines) != len(want) {
		t.Fatalf("got %d lines, want %d:\n%s", len(lines), len(want), out.String())
	}
	for i, event := range want {
		if !strings.Contains(lines[i], event) || strings.Contains(event, "unreadable") != strings.Contains(lines[i], "connection refused") {
			t.Errorf("line %d: got %s, want event %s, with the error if it is unreadable", i, lines[i], event)
		}
	}
}
