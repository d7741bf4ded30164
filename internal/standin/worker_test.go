package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/workload"
)

// workerClient sends commands to a worker over HTTP.
type workerClient struct {
	t   *testing.T
	url string
}

// post returns the status, or 0 if no answer came, and decodes the answer into out.
func (c workerClient) post(path string, in, out any) int {
	c.t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		c.t.Fatal(err)
	}
	res, err := http.Post(c.url+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if out != nil {
		_ = json.NewDecoder(res.Body).Decode(out)
	}
	return res.StatusCode
}

// renew asks for the report of all tasks and, if lease is above 0, for a lease.
func (c workerClient) renew(epoch uint64, lease time.Duration) (r machine.RenewReply, status int) {
	req := machine.RenewRequest{Epoch: epoch, LeaseMS: lease.Milliseconds()}
	if lease > 0 {
		req.NotAfterMS = clockMS() + 10_000
	}
	status = c.post("/v1/renew", req, &r)
	return r, status
}

// start starts a task. The refusal is empty unless the status is 409.
func (c workerClient) start(epoch uint64, id string, attempt int, cpuMilli int64) (machine.Refusal, int) {
	var r machine.Refusal
	status := c.post("/v1/tasks", machine.StartRequest{Epoch: epoch, NotAfterMS: clockMS() + 10_000, Task: machine.TaskSpec{
		ID: id, Attempt: attempt, Resources: machine.Resources{CPUMilli: cpuMilli},
	}}, &r)
	return r, status
}

// newTestWorker serves a worker with a capacity of one processor.
func newTestWorker(t *testing.T) (*Worker, workerClient) {
	w := NewWorker(WorkerConfig{ID: "w", Capacity: machine.Resources{CPUMilli: 1000}})
	srv := httptest.NewServer(w)
	t.Cleanup(func() { srv.Close(); w.Close() })
	return w, workerClient{t, srv.URL}
}

// Guards against a stand-in that is more lenient than the protocol. The tests of the
// job path rely on these refusals and would pass against a faulty caller.
func TestWorkerRefusals(t *testing.T) {
	w, c := newTestWorker(t)
	if r, status := c.start(5, "t.0", 1, 100); status != 409 || r.Reason != machine.ReasonNoLease {
		t.Errorf("start without a lease: %d %+v, want 409 no_lease", status, r)
	}
	if _, status := c.renew(5, time.Minute); status != 200 {
		t.Fatalf("renew: status %d, want 200", status)
	}
	if _, status := c.start(5, "t.0", 1, 600); status != 200 {
		t.Errorf("start: status %d, want 200", status)
	}
	if _, status := c.start(5, "t.0", 1, 600); status != 200 {
		t.Errorf("repeated start: status %d, want 200", status)
	}
	if r, status := c.start(5, "t.1", 1, 401); status != 409 || r.Reason != machine.ReasonNoCapacity {
		t.Errorf("start over capacity: %d %+v, want 409 no_capacity", status, r)
	}
	if _, status := c.renew(4, time.Minute); status != 409 {
		t.Errorf("renewal with an older epoch: status %d, want 409", status)
	}
	var r machine.Refusal
	status := c.post("/v1/renew", machine.RenewRequest{Epoch: 5, LeaseMS: 1000, NotAfterMS: clockMS() - 1}, &r)
	if status != 409 || r.Reason != machine.ReasonExpiredCommand {
		t.Errorf("renewal after not_after_ms: %d %+v, want 409 expired_command", status, r)
	}
	if n := len(w.Records()); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// Guards against tasks that run on after their lease has expired, and against results
// that the worker forgets before they are acknowledged.
func TestWorkerLeaseAndAck(t *testing.T) {
	w, c := newTestWorker(t)
	c.renew(1, 50*time.Millisecond)
	if _, status := c.start(1, "t.0", 1, 100); status != 200 {
		t.Fatalf("start: status %d, want 200", status)
	}
	for end := time.Now().Add(10 * time.Second); w.Records()[0].EndUS == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	reply, _ := c.renew(1, time.Minute)
	if len(reply.Tasks) != 1 || reply.Tasks[0].State != string(workload.Lost) {
		t.Fatalf("tasks after the lease: %+v, want one that is lost", reply.Tasks)
	}
	c.post("/v1/ack", machine.AckRequest{Epoch: 1, Tasks: []machine.TaskRef{{Task: "t.0", Attempt: 1}}}, nil)
	if reply, _ = c.renew(1, time.Minute); len(reply.Tasks) != 0 {
		t.Errorf("tasks after the acknowledgement: %+v, want none", reply.Tasks)
	}
}

// Guards against faults that have no effect when set while the worker runs, against a
// lost answer whose command took no effect, and against a throttled task whose records
// overlap or leave a gap.
func TestWorkerFaultsOverHTTP(t *testing.T) {
	w, c := newTestWorker(t)
	c.renew(1, time.Minute)
	c.post("/v1/faults", WorkerFaults{LoseEveryNthAnswer: 1}, nil)
	if _, status := c.start(1, "t.0", 1, 100); status != 0 || len(w.Records()) != 1 {
		t.Errorf("lost answer: status %d, %d runs; want no answer and 1 run", status, len(w.Records()))
	}
	c.post("/v1/faults", WorkerFaults{Unreachable: true}, nil)
	if _, status := c.start(1, "t.1", 1, 100); status != 0 || len(w.Records()) != 1 {
		t.Errorf("unreachable: status %d, %d runs; want no answer and no further run", status, len(w.Records()))
	}
	c.post("/v1/faults", WorkerFaults{UsageFactor: 2}, nil)
	if r, _ := c.renew(1, time.Minute); len(r.Tasks) != 1 || r.Tasks[0].Usage.CPUMilli != 200 {
		t.Errorf("tasks with usage factor 2: %+v, want one with twice its CPU", r.Tasks)
	}
	stop := machine.StopRequest{Epoch: 1, Attempt: 1, Mode: machine.ModeThrottle}
	c.post("/v1/tasks/t.0/stop", stop, nil)
	records := w.Records()
	if len(records) != 2 || records[1].Resources.CPUMilli != 50 || records[0].EndUS != records[1].StartUS {
		t.Errorf("records of a throttled task: %+v, want two without a gap, the second with half of the CPU", records)
	}
}
