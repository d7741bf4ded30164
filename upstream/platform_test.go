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

// abortConnection closes the connection without an answer.
func abortConnection(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// Guards against an append that may have taken effect but is reported as not appended.
func TestAppendClassification(t *testing.T) {
	status := func(code int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code); fmt.Fprint(w, body) }
	}
	release := make(chan struct{})
	for _, tc := range []struct {
		name    string
		handler http.HandlerFunc
		want    errkind.Kind
	}{
		{"503 means log unavailable", status(503, ""), errkind.LogUnavailable},
		{"400 means bad input", status(400, ""), errkind.BadInput},
		{"500 after a possible append", status(500, ""), errkind.AppendUnknown},
		{"502 after a possible append", status(502, ""), errkind.AppendUnknown},
		{"garbled answer", status(200, `{"first_off`), errkind.AppendUnknown},
		{"answer without offset", status(200, `{}`), errkind.AppendUnknown},
		{"connection closed", abortConnection, errkind.AppendUnknown},
		{"timeout after sending", func(http.ResponseWriter, *http.Request) { <-release }, errkind.AppendUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.handler)
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
	t.Run("refused connection means log unavailable", func(t *testing.T) {
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

// startWriter runs a Writer of stream "s" on a stand-in log until the test ends.
func startWriter(t *testing.T, cfg standin.LogConfig) (*standin.Log, *upstream.LogClient, *upstream.Writer) {
	l := standin.NewLog(cfg)
	srv := httptest.NewServer(l)
	client := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 5 * time.Second})
	w := upstream.NewWriter(upstream.WriterConfig{Log: client, Stream: "s", ResolveTimeout: 300 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; srv.CloseClientConnections(); srv.Close() })
	return l, client, w
}

// envelope returns a new envelope of kind "test" around v.
func envelope(t *testing.T, v any) upstream.Envelope {
	e, err := upstream.NewEnvelope("test", v)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against an append that is reported as failed, or repeated, because its answer was
// lost.
func TestLostAppendAnswersAreResolved(t *testing.T) {
	l, client, w := startWriter(t, standin.LogConfig{})
	l.SetFaults(standin.LogFaults{LoseAnswers: -1})
	for i := range 5 {
		offset, err := w.Append(context.Background(), envelope(t, i))
		if err != nil || offset != upstream.Offset(i) {
			t.Fatalf("append %d: offset %d, error %v, want its number as offset", i, offset, err)
		}
	}
	if b, err := client.Read(context.Background(), "s", 0, 100, 0); err != nil || len(b.Records) != 5 {
		t.Errorf("log holds %d records, want 5 (%v)", len(b.Records), err)
	}
}

// Guards against a record that is reported as not appended because the Writer did not find
// it in time, although a slow log appends it later.
func TestRecordNotFoundIsAppendUnknown(t *testing.T) {
	l, _, _ := startWriter(t, standin.LogConfig{})
	srv := httptest.NewServer(l)
	defer srv.Close()
	appender := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 50 * time.Millisecond})
	reader := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL, Timeout: 5 * time.Second})
	w := upstream.NewWriter(upstream.WriterConfig{Log: splitLog{appender, reader}, Stream: "s", ResolveTimeout: 100 * time.Millisecond})
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

// Guards against success that is reported before the record can be read, and against one
// append per record.
func TestAppendsAreBatchedAndReadBack(t *testing.T) {
	l, client, w := startWriter(t, standin.LogConfig{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	seen := make(map[upstream.Offset]bool)
	for i := range 100 {
		e := envelope(t, i)
		wg.Go(func() {
			offset, err := w.Append(context.Background(), e)
			if err != nil {
				t.Error(err)
				return
			}
			b, err := client.Read(context.Background(), "s", offset, 1, 0)
			if err != nil || len(b.Records) == 0 {
				t.Errorf("record %d cannot be read after its append succeeded: %v", offset, err)
				return
			}
			if got, ok := upstream.DecodeEnvelope(b.Records[0].Data); !ok || got.ID != e.ID {
				t.Errorf("offset %d holds another record", offset)
			}
			mu.Lock()
			seen[offset] = true
			mu.Unlock()
		})
	}
	wg.Wait()
	if len(seen) != 100 {
		t.Errorf("%d different offsets, want 100", len(seen))
	}
	if n := l.Appends("s"); n > 50 {
		t.Errorf("%d appends for 100 concurrent records, want at most 50", n)
	}
	l.SetFaults(standin.LogFaults{Down: true})
	if _, err := w.Append(context.Background(), envelope(t, 0)); errkind.Of(err) != errkind.LogUnavailable {
		t.Errorf("error %v, want log_unavailable", err)
	}
}

// Guards against a read below the retention limit that looks like an empty stream.
func TestReadBelowRetentionLimit(t *testing.T) {
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

// trimmingLog trims one more record of its stream after each read, up to offset 5.
type trimmingLog struct {
	*upstream.LogClient
	log    *standin.Log
	trimTo upstream.Offset
}

func (l *trimmingLog) Read(ctx context.Context, stream string, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	b, err := l.LogClient.Read(ctx, stream, from, limit, wait)
	if l.trimTo < 5 {
		l.trimTo++
		l.log.Trim(stream, l.trimTo)
	}
	return b, err
}

// Guards against Head failing because the stream is trimmed again between its reads.
func TestHeadWhileStreamIsTrimmed(t *testing.T) {
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

// Guards against a stand-in of the host list that shows changes without the configured lag.
func TestHostListStandInLags(t *testing.T) {
	h := standin.NewHostList(time.Hour)
	srv := httptest.NewServer(h)
	defer srv.Close()
	h.Set(upstream.Host{ID: "w", Kind: upstream.WorkerHost, State: upstream.Live})
	client := upstream.NewHostClient(upstream.ClientConfig{BaseURL: srv.URL})
	if hosts, err := client.Hosts(context.Background()); err != nil || len(hosts) != 0 {
		t.Errorf("%d hosts before the lag has passed, want none, error %v", len(hosts), err)
	}
	resp, err := http.DefaultClient.Do(newPutRequest(t, srv.URL+"/v1/lag", `{"lag_ms":0}`))
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal(resp, err)
	}
	_ = resp.Body.Close()
	if hosts, err := client.Hosts(context.Background()); err != nil || len(hosts) != 1 {
		t.Errorf("%d hosts, want 1, error %v", len(hosts), err)
	}
}

func newPutRequest(t *testing.T, url, body string) *http.Request {
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against an unchanged host list that is sent whole again, and against a change that
// a conditional request misses.
func TestHostListIsFetchedOnChange(t *testing.T) {
	version, fullAnswers := "1", 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", version)
		if r.Header.Get("If-None-Match") == version {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullAnswers++
		_, _ = w.Write([]byte(`{"hosts":[{"id":"entry-` + version + `"}]}`))
	}))
	defer s.Close()
	c := upstream.NewHostClient(upstream.ClientConfig{BaseURL: s.URL})
	for _, want := range []string{"1", "1", "1", "2", "2"} {
		version = want
		hosts, err := c.Hosts(context.Background())
		if err != nil || len(hosts) != 1 || hosts[0].ID != "entry-"+want {
			t.Fatalf("version %s: got %v, %v, want one host of that version", want, hosts, err)
		}
	}
	if fullAnswers != 2 {
		t.Errorf("whole list sent %d times, want 2", fullAnswers)
	}
}
