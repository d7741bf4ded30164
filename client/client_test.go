package client

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against a call that fails because the first daemon of the list is down.
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
		t.Fatalf("got %v, %v", out, err)
	}
}

// Guards against repeating what must not be repeated and against giving up on what may be.
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

// Guards against an error page of something else taken for the answer of a daemon.
func TestForeignErrorIsNoAnswer(t *testing.T) {
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
