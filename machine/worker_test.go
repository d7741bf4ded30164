package machine

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// Guards against an error that says that a command had no effect although it may
// have, as after a 5xx answer or a closed connection.
func TestWorkerClientErrorKinds(t *testing.T) {
	var status int // of the answer to a start; 0 closes the connection instead
	var body string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/renew" {
			_ = json.NewEncoder(w).Encode(RenewReply{ClockMS: 1000})
			return
		}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer srv.Close()
	now := time.Now()
	deadline := now.Add(time.Second)
	cfg := WorkerConfig{
		Address: srv.Listener.Addr().String(), Epoch: 7,
		Now:    func() time.Time { return now },
		Tenure: func() (time.Time, bool) { return deadline, true },
	}
	c := NewWorkerClient(cfg)
	if _, err := c.Start(context.Background(), TaskSpec{}); errkind.Of(err) != errkind.NotReady {
		t.Errorf("start before the clock is known: got %v, want kind not_ready", err)
	}
	if _, err := c.Inventory(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, s := range []struct {
		status int
		body   string
		want   errkind.Kind
	}{
		{409, `{"reason":"stale_epoch"}`, errkind.StaleEpoch},
		{409, `{"reason":"expired_command"}`, errkind.Conflict},
		{409, `{"reason":"no_capacity"}`, errkind.NoCapacity},
		{400, `nonsense`, errkind.Conflict},
		{500, ``, errkind.OutcomeUnknown},
		{0, ``, errkind.OutcomeUnknown},
	} {
		status, body = s.status, s.body
		if _, err := c.Start(context.Background(), TaskSpec{}); errkind.Of(err) != s.want {
			t.Errorf("status %d %s: got %v, want %s", s.status, s.body, err, s.want)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Address = ln.Addr().String()
	_ = ln.Close()
	if _, err := NewWorkerClient(cfg).Inventory(context.Background()); errkind.Of(err) != errkind.Unreachable {
		t.Errorf("inventory on a closed port: got %v, want kind unreachable", err)
	}
	now = now.Add(2 * time.Second)
	cfg.Address = srv.Listener.Addr().String()
	if _, err := c.Start(context.Background(), TaskSpec{}); errkind.Of(err) != errkind.NotOwner {
		t.Errorf("start after the tenure: got %v, want kind not_owner", err)
	}
	if _, err := NewWorkerClient(cfg).Inventory(context.Background()); errkind.Of(err) != errkind.NotOwner {
		t.Errorf("inventory after the tenure: got %v, want kind not_owner", err)
	}
}

// Guards against a not_after_ms that ignores the clock drift or depends on how long
// ago the worker stated its clock. A late bound would let a command take effect after
// the tenure.
func TestNotAfterInWorkerClock(t *testing.T) {
	var received StartRequest
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/renew" {
			_ = json.NewEncoder(w).Encode(RenewReply{ClockMS: 50_000})
			return
		}
		_ = json.NewDecoder(r.Body).Decode(&received)
	}))
	defer srv.Close()
	now := time.Now()
	deadline := now.Add(10 * time.Second)
	c := NewWorkerClient(WorkerConfig{
		Address: srv.Listener.Addr().String(), Epoch: 7, ClockDrift: 0.1,
		Now:    func() time.Time { return now },
		Tenure: func() (time.Time, bool) { return deadline, true },
	})
	if _, err := c.Inventory(context.Background()); err != nil {
		t.Fatal(err)
	}
	now = now.Add(4 * time.Second) // the tenure ends at the same instant, however old the worker's answer is
	notAfter, err := c.Start(context.Background(), TaskSpec{})
	if err != nil || notAfter != 59_000 || received.NotAfterMS != 59_000 || received.Epoch != 7 {
		t.Errorf("not after %d, sent %+v, err %v; want 59000", notAfter, received, err)
	}
}
