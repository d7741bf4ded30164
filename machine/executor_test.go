package machine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against an error that says that a request did not run although it may have,
// and against accepting an answer that is incomplete or belongs to another request.
func TestRunErrorKinds(t *testing.T) {
	const id = "01M8ZRQ089NRMHBC0NM8TGRV14"
	respond := func(status int, echo, body, digest string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderRequestID, echo)
			w.Header().Set(HeaderDigest, digest)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    errkind.Kind
		reason  string
	}{
		"stale epoch":                      {respond(409, id, "", ""), errkind.StaleEpoch, "executor_stale_epoch"},
		"busy":                             {respond(503, id, "", ""), errkind.NoCapacity, "executor_busy"},
		"busy for another":                 {respond(503, "other", "", ""), errkind.OutcomeUnknown, "crossed_answer"},
		"busy without id":                  {respond(503, "", "", ""), errkind.OutcomeUnknown, "crossed_answer"},
		"failed":                           {respond(500, id, "", ""), errkind.UpstreamFailed, "executor_failed"},
		"answer for another id":            {respond(200, "other", "x", Digest([]byte("x"))), errkind.OutcomeUnknown, "crossed_answer"},
		"wrong digest":                     {respond(200, id, "x", Digest([]byte("y"))), errkind.OutcomeUnknown, "digest_mismatch"},
		"answer too large":                 {respond(200, id, strings.Repeat("x", 101), ""), errkind.AnswerTooLarge, "answer_too_large"},
		"connection closed without answer": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, errkind.OutcomeUnknown, "no_answer"},
		"truncated": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "50")
			respond(200, id, "half", Digest([]byte("half")))(w, r)
		}, errkind.OutcomeUnknown, "partial_answer"},
		"without length": {func(w http.ResponseWriter, r *http.Request) {
			respond(200, id, "x", Digest([]byte("x")))(w, r)
			w.(http.Flusher).Flush()
		}, errkind.OutcomeUnknown, "no_length"},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(c.handler)
			defer s.Close()
			x := NewExecutorClient(ExecutorConfig{Address: s.Listener.Addr().String(), MaxAnswerBytes: 100})
			defer x.CloseIdle()
			body, err := x.Run(context.Background(), ExecutorRun{Epoch: 1, ID: id, Class: "quote"})
			if errkind.Of(err) != c.want || errkind.ReasonOf(err) != c.reason || body != nil {
				t.Errorf("body %q, error %v, want %s (%s)", body, err, c.want, c.reason)
			}
		})
	}
}

// Guards against OutcomeUnknown for a request that was never sent, because the
// connection was refused.
func TestRunRefusedConnectionIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = NewExecutorClient(ExecutorConfig{Address: l.Addr().String()}).Run(context.Background(), ExecutorRun{ID: "x"})
	if errkind.Of(err) != errkind.Unreachable {
		t.Errorf("error %v, want kind unreachable", err)
	}
}

// Guards against more connections to an executor than MaxConns allows when 40 runs
// start together.
func TestRunLimitsConnections(t *testing.T) {
	var open, maxOpen atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set(HeaderDigest, Digest(nil))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		switch st {
		case http.StateNew:
			if n := open.Add(1); n > maxOpen.Load() {
				maxOpen.Store(n)
			}
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Start()
	defer s.Close()
	x := NewExecutorClient(ExecutorConfig{Address: s.Listener.Addr().String(), MaxConns: 3})
	defer x.CloseIdle()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := x.Run(context.Background(), ExecutorRun{ID: fmt.Sprint(i)}); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	if maxOpen.Load() > 3 {
		t.Errorf("%d connections, want at most 3", maxOpen.Load())
	}
}
