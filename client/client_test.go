package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against a call that fails because the first daemon of the list refuses connections.
func TestNextDaemonIsTried(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"ok":true}`))
	}))
	defer up.Close()
	c, err := New(Config{Servers: []string{"http://127.0.0.1:1", up.URL}})
	if err != nil {
		t.Fatal(err)
	}
	var out struct{ OK bool }
	if err := c.Call(context.Background(), http.MethodGet, "/v1/cell", nil, &out); err != nil || !out.OK {
		t.Fatalf("got %v, %v, want the answer of the second daemon", out, err)
	}
}

// Guards against a repeat that the retry rule of the answer forbids, and against giving up where
// the rule allows a repeat.
func TestRepeatFollowsRetryRule(t *testing.T) {
	for _, c := range []struct {
		retry errkind.Retry
		want  int32 // calls that reach the daemon
	}{{errkind.RetryNever, 1}, {errkind.RetryBackoff, 3}, {errkind.RetrySameID, 3}} {
		var calls atomic.Int32
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) == 3 {
				_, _ = w.Write([]byte(`{}`))
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"kind":"overloaded","retry":"` + string(c.retry) + `"}`))
		}))
		cl, err := New(Config{Servers: []string{s.URL}, RetryFor: time.Minute, Backoff: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		_ = cl.Call(context.Background(), http.MethodGet, "/", nil, nil)
		if got := calls.Load(); got != c.want {
			t.Errorf("retry %s: %d calls, want %d", c.retry, got, c.want)
		}
		s.Close()
	}
}

// Guards against the error page of a proxy that is taken for the answer of a daemon.
func TestErrorPageOfProxyIsNoAnswer(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "bad gateway", http.StatusBadGateway)
	}))
	defer s.Close()
	c, err := New(Config{Servers: []string{s.URL}})
	if err != nil {
		t.Fatal(err)
	}
	var none *NoAnswerError
	if err := c.Call(context.Background(), http.MethodGet, "/", nil, nil); !errors.As(err, &none) {
		t.Errorf("got %v, want NoAnswerError", err)
	}
}

// refusingServer returns the URL of a port on which nothing listens.
func refusingServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return "http://" + l.Addr().String()
}

// abortingServer returns the URL of a server that receives each call, counts it in received, and closes the
// connection without an answer.
func abortingServer(t *testing.T, received *atomic.Int32) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received.Add(1)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against a refused connection that counts as a call that may have been received, and
// against a call without an answer that does not.
func TestRefusedConnectionIsNotMaybeReceived(t *testing.T) {
	var received atomic.Int32
	refused, lost := refusingServer(t), abortingServer(t, &received)
	for _, c := range []struct {
		servers []string
		want    bool
	}{{[]string{refused}, false}, {[]string{lost}, true}, {[]string{lost, refused}, true}} {
		cl, err := New(Config{Servers: c.servers})
		if err != nil {
			t.Fatal(err)
		}
		var none *NoAnswerError
		if err := cl.Call(context.Background(), http.MethodPost, "/", nil, nil); !errors.As(err, &none) {
			t.Fatalf("got %v, want NoAnswerError", err)
		}
		if none.MaybeReceived != c.want {
			t.Errorf("servers %v: maybe received %v, want %v", c.servers, none.MaybeReceived, c.want)
		}
	}
}

// Guards against an error that says that nothing was sent, because the connections of the last
// round were refused, although a daemon received the call in the first round.
func TestMaybeReceivedCoversAllRounds(t *testing.T) {
	var received, dials atomic.Int32
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			cancel()
			return nil, errors.New("refused")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	cl, err := New(Config{
		Servers: []string{abortingServer(t, &received)}, RetryFor: time.Hour, Backoff: time.Millisecond, HTTP: &http.Client{Transport: transport},
	})
	if err != nil {
		t.Fatal(err)
	}
	var none *NoAnswerError
	if err := cl.Call(ctx, http.MethodPost, "/", nil, nil); !errors.As(err, &none) {
		t.Fatalf("got %v, want NoAnswerError", err)
	}
	if received.Load() != 1 || dials.Load() < 2 || !none.MaybeReceived {
		t.Errorf("received %d, dials %d, maybe received %v; want 1 call received, a repeat, and true", received.Load(), dials.Load(), none.MaybeReceived)
	}
}

// Guards against the outcome "not run" from the last daemon tried although an earlier daemon, which
// closed the connection without an answer, may have run the call.
func TestRefusalAfterCallWithoutAnswerIsUnknown(t *testing.T) {
	var received atomic.Int32
	refuse := func(kind errkind.Kind) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			a := errkind.Table[kind]
			w.WriteHeader(a.Status)
			_, _ = fmt.Fprintf(w, `{"kind":%q,"outcome":%q,"retry":%q}`, kind, a.Outcome, a.Retry)
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	lost, draining, failed := abortingServer(t, &received), refuse(errkind.Draining), refuse(errkind.UpstreamFailed)
	for _, c := range []struct {
		servers []string
		want    errkind.Outcome
	}{
		{[]string{draining}, errkind.NotRun}, {[]string{refusingServer(t), draining}, errkind.NotRun},
		{[]string{lost, draining}, errkind.Unknown}, {[]string{lost, failed}, errkind.Ran},
	} {
		cl, err := New(Config{Servers: c.servers})
		if err != nil {
			t.Fatal(err)
		}
		var errorAnswer *Error
		if err := cl.Call(context.Background(), http.MethodPost, "/", nil, nil); !errors.As(err, &errorAnswer) {
			t.Fatalf("got %v, want Error", err)
		}
		if errorAnswer.Outcome != c.want {
			t.Errorf("servers %v: outcome %s, want %s", c.servers, errorAnswer.Outcome, c.want)
		}
	}
}

// Guards against the outcome "not run" after a repeat although a daemon answered "unknown" to an
// earlier attempt.
func TestRefusalAfterUnknownOutcomeIsUnknown(t *testing.T) {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		kind := errkind.BadInput
		if calls.Add(1) == 1 {
			kind = errkind.OutcomeUnknown
		}
		a := errkind.Table[kind]
		w.WriteHeader(a.Status)
		_, _ = fmt.Fprintf(w, `{"kind":%q,"outcome":%q,"retry":%q}`, kind, a.Outcome, a.Retry)
	}))
	defer s.Close()
	cl, err := New(Config{Servers: []string{s.URL}, RetryFor: time.Hour, Backoff: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	var errorAnswer *Error
	if err := cl.Call(context.Background(), http.MethodPost, "/", nil, nil); !errors.As(err, &errorAnswer) {
		t.Fatalf("got %v, want Error", err)
	}
	if calls.Load() != 2 || errorAnswer.Kind != errkind.BadInput || errorAnswer.Outcome != errkind.Unknown {
		t.Errorf("calls %d, kind %s, outcome %s; want 2, bad_input, unknown", calls.Load(), errorAnswer.Kind, errorAnswer.Outcome)
	}
}
