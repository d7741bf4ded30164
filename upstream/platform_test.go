package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

func hijackClose(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// Guards against calling an append that may have taken effect "not appended".
func TestAppendClassification(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code); fmt.Fprint(w, body) }
	}
	release := make(chan struct{})
	for _, tc := range []struct {
		name string
		h    http.HandlerFunc
		want errkind.Kind
	}{
		{"503 is down", status(503, ""), errkind.LogUnavailable},
		{"400 is refused", status(400, ""), errkind.BadInput},
		{"500 may be appended", status(500, ""), errkind.AppendUnknown},
		{"502 may be appended", status(502, ""), errkind.AppendUnknown},
		{"garbled answer", status(200, `{"first_off`), errkind.AppendUnknown},
		{"answer without offset", status(200, `{}`), errkind.AppendUnknown},
		{"connection closed", hijackClose, errkind.AppendUnknown},
		{"timeout after sending", func(http.ResponseWriter, *http.Request) { <-release }, errkind.AppendUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.h)
			defer srv.Close()
			if tc.name == "timeout after sending" {
				defer close(release)
			}
			c := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 200 * time.Millisecond})
			_, err := c.Append(context.Background(), "s", [][]byte{[]byte("x")})
			if got := errkind.Of(err); got != tc.want {
				t.Errorf("kind %s, want %s (%v)", got, tc.want, err)
			}
		})
	}
	t.Run("refused connection is down", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		url := "http://" + l.Addr().String()
		_ = l.Close()
		_, err = upstream.NewLogClient(upstream.ClientConfig{BaseURL: url}).Append(context.Background(), "s", [][]byte{nil})
		if got := errkind.Of(err); got != errkind.LogUnavailable {
			t.Errorf("kind %s, want %s", got, errkind.LogUnavailable)
		}
	})
}

func startWriter(t *testing.T, cfg standin.LogConfig) (*standin.Log, *upstream.LogClient, *upstream.Writer) {
	l := standin.NewLog(cfg)
	srv := httptest.NewServer(l)
	client := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 5 * time.Second})
	w := upstream.NewWriter(upstream.WriterConfig{Log: client, Stream: "s", SettleTimeout: 300 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; srv.CloseClientConnections(); srv.Close() })
	return l, client, w
}

func envelope(t *testing.T, v any) upstream.Envelope {
	e, err := upstream.NewEnvelope("test", v)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against a lost answer that is reported as failed or appended twice.
func TestLostAnswersAreSettled(t *testing.T) {
	l, client, w := startWriter(t, standin.LogConfig{})
	l.SetFaults(standin.LogFaults{LoseAnswers: -1})
	for i := range 5 {
		at, err := w.Append(context.Background(), envelope(t, i))
		if err != nil || at != upstream.Offset(i) {
			t.Fatalf("append %d: offset %d, error %v", i, at, err)
		}
	}
	if b, err := client.Read(context.Background(), "s", 0, 100, 0); err != nil || len(b.Records) != 5 {
		t.Errorf("log holds %d records, want 5 (%v)", len(b.Records), err)
	}
}

// Guards against "not appended" for a record that takes effect after the search for it.
func TestAbsenceIsNotProof(t *testing.T) {
	l, _, _ := startWriter(t, standin.LogConfig{})
	srv := httptest.NewServer(l)
	defer srv.Close()
	impatient := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 50 * time.Millisecond})
	direct := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 5 * time.Second})
	w := upstream.NewWriter(upstream.WriterConfig{Log: splitLog{impatient, direct}, Stream: "s", SettleTimeout: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = w.Run(ctx) }()
	if _, err := w.Append(ctx, envelope(t, 0)); err != nil {
		t.Fatal(err)
	}
	l.SetFaults(standin.LogFaults{DelayMS: 200})
	if _, err := w.Append(ctx, envelope(t, 1)); errkind.Of(err) != errkind.AppendUnknown {
		t.Errorf("error %v, want append_unknown", err)
	}
}

// splitLog appends and reads through different clients.
type splitLog struct{ appender, reader upstream.Log }

func (s splitLog) Append(ctx context.Context, stream string, r [][]byte) (upstream.Offset, error) {
	return s.appender.Append(ctx, stream, r)
}

func (s splitLog) Read(ctx context.Context, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	return s.reader.Read(ctx, stream, from, limit, wait)
}

// Guards against success before read-back, and against one append per record.
func TestBatchesAndReadBack(t *testing.T) {
	l, client, w := startWriter(t, standin.LogConfig{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	seen := make(map[upstream.Offset]bool)
	for i := range 100 {
		e := envelope(t, i)
		wg.Go(func() {
			at, err := w.Append(context.Background(), e)
			if err != nil {
				t.Error(err)
				return
			}
			b, err := client.Read(context.Background(), "s", at, 1, 0)
			if err != nil || len(b.Records) == 0 {
				t.Errorf("record %d cannot be read: %v", at, err)
				return
			}
			if got, ok := upstream.DecodeEnvelope(b.Records[0].Data); !ok || got.ID != e.ID {
				t.Errorf("offset %d holds another record", at)
			}
			mu.Lock()
			seen[at] = true
			mu.Unlock()
		})
	}
	wg.Wait()
	if len(seen) != 100 {
		t.Errorf("%d different offsets, want 100", len(seen))
	}
	if n := l.Appends("s"); n > 50 {
		t.Errorf("%d appends for 100 concurrent records", n)
	}
	l.SetFaults(standin.LogFaults{Down: true})
	if _, err := w.Append(context.Background(), envelope(t, 0)); errkind.Of(err) != errkind.LogUnavailable {
		t.Errorf("error %v, want log_unavailable", err)
	}
}

// Guards against a trimmed read that looks like an empty stream.
func TestTrimmedRead(t *testing.T) {
	l, client, w := startWriter(t, standin.LogConfig{MaxRecords: 3})
	for i := range 10 {
		if _, err := w.Append(context.Background(), envelope(t, i)); err != nil {
			t.Fatal(err)
		}
	}
	_, err := client.Read(context.Background(), "s", 0, 1, 0)
	var trimmed *upstream.TrimmedError
	if !errors.Is(err, upstream.ErrTrimmed) || !errors.As(err, &trimmed) || trimmed.Oldest != 7 {
		t.Errorf("error %v, want trimmed with oldest 7", err)
	}
	if head, err := upstream.Head(context.Background(), client, "s"); err != nil || head != 10 {
		t.Errorf("head %d, want 10 (%v)", head, err)
	}
	if n := l.Appends("s"); n != 10 {
		t.Errorf("%d appends, want 10", n)
	}
}

// trimmingLog trims its stream after every read.
type trimmingLog struct {
	*upstream.LogClient
	log *standin.Log
	to  upstream.Offset
}

func (l *trimmingLog) Read(ctx context.Context, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	b, err := l.LogClient.Read(ctx, stream, from, limit, wait)
	if l.to < 5 {
		l.to++
		l.log.Trim(stream, l.to)
	}
	return b, err
}

// Guards against a head that cannot be found while the stream is being trimmed.
func TestHeadWhileTrimmed(t *testing.T) {
	l, client, w := startWriter(t, standin.LogConfig{})
	for i := range 10 {
		if _, err := w.Append(t.Context(), envelope(t, i)); err != nil {
			t.Fatal(err)
		}
	}
	l.Trim("s", 1)
	if head, err := upstream.Head(t.Context(), &trimmingLog{client, l, 1}, "s"); err != nil || head != 10 {
		t.Errorf("head %d, want 10 (%v)", head, err)
	}
}

// Guards against a host list stand-in that shows changes at once.
func TestHostListLags(t *testing.T) {
	h := standin.NewHostList(time.Hour)
	srv := httptest.NewServer(h)
	defer srv.Close()
	h.Set(upstream.Host{ID: "w", Kind: upstream.WorkerHost, State: upstream.Live})
	client := upstream.NewHostClient(upstream.ClientConfig{BaseURL: srv.URL})
	if hosts, err := client.Hosts(context.Background()); err != nil || len(hosts) != 0 {
		t.Errorf("%d hosts before the lag has passed, error %v", len(hosts), err)
	}
	resp, err := http.DefaultClient.Do(mustPut(t, srv.URL+"/v1/lag", `{"lag_ms":0}`))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	if hosts, err := client.Hosts(context.Background()); err != nil || len(hosts) != 1 {
		t.Errorf("%d hosts, want 1, error %v", len(hosts), err)
	}
}

func mustPut(t *testing.T, url, body string) *http.Request {
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against the whole host list crossing the network although nothing
// changed, and against a change that a conditional request hides.
func TestHostListIsFetchedOnChange(t *testing.T) {
	version, full := "1", 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", version)
		if r.Header.Get("If-None-Match") == version {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		full++
		_, _ = w.Write([]byte(`{"hosts":[{"id":"entry-` + version + `"}]}`))
	}))
	defer s.Close()
	c := upstream.NewHostClient(upstream.ClientConfig{BaseURL: s.URL})
	for _, want := range []string{"1", "1", "1", "2", "2"} {
		version = want
		hosts, err := c.Hosts(context.Background())
		if err != nil || len(hosts) != 1 || hosts[0].ID != "entry-"+want {
			t.Fatalf("version %s: got %v, %v", want, hosts, err)
		}
	}
	if full != 2 {
		t.Errorf("whole list sent %d times, want 2", full)
	}
}
