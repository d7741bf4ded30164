package machine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// MaxClockDrift is the largest assumed drift between the monotonic clocks of two
// hosts, as a fraction (assumption A7 of docs/design.md).
const MaxClockDrift = 0.01

// maxWorkerAnswerBytes bounds an answer of a worker. An inventory of 10,000 tasks
// of about 400 bytes each fits.
const maxWorkerAnswerBytes = 4 << 20

// Reasons of the errors of a WorkerClient. The last three are set by the client;
// the others are refusals of the worker.
const (
	ReasonStaleEpoch     = "stale_epoch"     // the worker has seen a higher epoch
	ReasonExpiredCommand = "expired_command" // arrived after its NotAfterMS
	ReasonNoCapacity     = "no_capacity"     // the task does not fit
	ReasonNoLease        = "no_lease"        // the lease of the worker has expired
	ReasonUnknownTask    = "unknown_task"    // the worker does not have this attempt
	ReasonTenureExpired  = "tenure_passed"   // not sent, because the tenure has passed
	ReasonNotSent        = "not_sent"        // no connection, or the worker's clock is not known
	ReasonAnswerLost     = "answer_lost"     // sent, but no usable answer arrived
)

// StopMode says what a stop command does to a task.
type StopMode string

// The stop modes.
const (
	ModeStop       StopMode = "stop"       // ends the task
	ModeCheckpoint StopMode = "checkpoint" // saves its progress and ends it
	ModeThrottle   StopMode = "throttle"   // reduces its CPU to ThrottledCPUShare
	ModeResume     StopMode = "resume"     // gives a throttled task its full resources back
)

// TaskSpec describes the task of a start command. Its fields are those of
// workload.Task; package workload imports this package, so it cannot be used here.
type TaskSpec struct {
	ID          string        `json:"task"`
	Attempt     int           `json:"attempt"`
	Job         string        `json:"job"`
	Team        string        `json:"team"`
	Kind        string        `json:"kind"`
	Priority    int           `json:"priority"`
	Preemptible bool          `json:"preemptible"`
	Shard       string        `json:"shard"`
	ShardEpoch  uint64        `json:"shard_epoch"`
	Resources   Resources     `json:"resources"`
	RunTime     time.Duration `json:"run_time,omitempty"` // declared; nanoseconds in JSON, 0 if unknown
}

// TaskReport is the state of one task in the inventory of a worker.
type TaskReport struct {
	TaskSpec
	State     string    `json:"state"` // a workload.TaskState
	ExitCode  int       `json:"exit"`
	ElapsedMS int64     `json:"ran_ms"` // how long it has run, in milliseconds
	Usage     Resources `json:"usage"`
}

// TaskRef names one attempt of a task.
type TaskRef struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// RenewRequest is the body of a renewal, which extends the lease of a worker and
// its tasks. With LeaseMS zero it extends no lease, and only raises the epoch of
// the worker and reads its inventory. Fields that end in MS are milliseconds;
// NotAfterMS and ClockMS are instants in the worker's clock.
type RenewRequest struct {
	Epoch      uint64 `json:"epoch"`
	NotAfterMS int64  `json:"not_after_ms"` // zero is no bound; allowed only if LeaseMS is zero
	LeaseMS    int64  `json:"lease_ms"`
}

// RenewReply is the answer to a renewal: the worker's clock, epoch, capacity and
// inventory.
type RenewReply struct {
	ClockMS  int64        `json:"clock_ms"`
	Epoch    uint64       `json:"epoch"`
	Capacity Resources    `json:"capacity"`
	Tasks    []TaskReport `json:"tasks"`
}

// StartRequest is the body of a start command. The worker refuses it after
// NotAfterMS in its clock.
type StartRequest struct {
	Epoch      uint64   `json:"epoch"`
	NotAfterMS int64    `json:"not_after_ms"`
	Task       TaskSpec `json:"task"`
}

// StopRequest is the body of a stop command. The worker refuses it after
// NotAfterMS in its clock.
type StopRequest struct {
	Epoch      uint64   `json:"epoch"`
	NotAfterMS int64    `json:"not_after_ms"`
	Attempt    int      `json:"attempt"`
	Mode       StopMode `json:"mode"`
}

// AckRequest is the body of an acknowledgement (see WorkerClient.Ack).
type AckRequest struct {
	Epoch uint64    `json:"epoch"`
	Tasks []TaskRef `json:"tasks"`
}

// Refusal is the body of a 4xx answer.
type Refusal struct {
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
}

// WorkerConfig configures a WorkerClient. Address, Epoch and Tenure are required.
type WorkerConfig struct {
	Address    string                        // IP:port
	Epoch      uint64                        // fencing token of every command
	ClockDrift float64                       // fraction; default MaxClockDrift
	Timeout    time.Duration                 // of one call; default 2 s
	Transport  http.RoundTripper             // default: a transport with one connection
	Now        func() time.Time              // monotonic; default time.Now
	Tenure     func() (d time.Time, ok bool) // deadline up to which commands may be sent; ok is false without a tenure
}

// WorkerClient sends commands to one worker under one epoch. It is safe for
// concurrent use. An error of kind errkind.OutcomeUnknown means that the command may
// have taken effect; every other error means that it has not. The kind is
// errkind.NotOwner if the tenure has passed, and errkind.Unreachable if there is no
// connection to the worker.
type WorkerClient struct {
	cfg  WorkerConfig
	http *http.Client

	mu            sync.Mutex
	clockReadAt   time.Time // receipt of the last renewal answer; zero before the first
	workerClockMS int64     // the worker's clock in that answer, in milliseconds
}

// NewWorkerClient returns a client for one worker. Inventory has to be called first,
// because the other commands need the worker's clock. Before it has answered, they fail
// with errkind.NotReady.
func NewWorkerClient(cfg WorkerConfig) *WorkerClient {
	if cfg.ClockDrift == 0 {
		cfg.ClockDrift = MaxClockDrift
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = 2 * time.Second
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{
			MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}
	}
	return &WorkerClient{cfg: cfg, http: &http.Client{Transport: cfg.Transport}}
}

// Close closes the idle connections.
func (c *WorkerClient) Close() { c.http.CloseIdleConnections() }

// commandDeadline returns the latest instant at which a command may take effect: the
// end of the tenure, in this process's clock and in milliseconds of the worker's
// clock. The latter is shortened by the drift, in case the worker's clock is slow.
// It fails if the tenure has passed or the worker's clock is not known.
func (c *WorkerClient) commandDeadline() (time.Time, int64, error) {
	now := c.cfg.Now()
	deadline, ok := c.cfg.Tenure()
	if !ok || !now.Before(deadline) {
		return time.Time{}, 0, errkind.New(errkind.NotOwner, ReasonTenureExpired, "tenure has passed")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clockReadAt.IsZero() {
		return time.Time{}, 0, errkind.New(errkind.NotReady, ReasonNotSent, "clock of worker %s is not known", c.cfg.Address)
	}
	remaining := float64(deadline.Sub(c.clockReadAt)) * (1 - c.cfg.ClockDrift)
	return deadline, c.workerClockMS + int64(remaining/float64(time.Millisecond)), nil
}

// Inventory reads the tasks of the worker and raises the worker's epoch to that of
// the client. It extends no lease.
func (c *WorkerClient) Inventory(ctx context.Context) (RenewReply, error) {
	if d, ok := c.cfg.Tenure(); !ok || !c.cfg.Now().Before(d) {
		return RenewReply{}, errkind.New(errkind.NotOwner, ReasonTenureExpired, "tenure has passed")
	}
	return c.renew(ctx, RenewRequest{Epoch: c.cfg.Epoch})
}

// Renew extends the lease of the worker and its tasks. effective is the latest
// instant, in this process's clock, from which the lease can run. It is also set if
// the outcome is unknown, and zero if the lease was not extended.
func (c *WorkerClient) Renew(ctx context.Context, lease time.Duration) (r RenewReply, effective time.Time, err error) {
	deadline, notAfter, err := c.commandDeadline()
	if err != nil {
		return RenewReply{}, time.Time{}, err
	}
	r, err = c.renew(ctx, RenewRequest{Epoch: c.cfg.Epoch, NotAfterMS: notAfter, LeaseMS: lease.Milliseconds()})
	switch {
	case err == nil:
		// The worker set the lease before it answered.
		if now := c.cfg.Now(); now.Before(deadline) {
			deadline = now
		}
		return r, deadline, nil
	case errkind.Of(err) == errkind.OutcomeUnknown:
		return r, deadline, err
	}
	return r, time.Time{}, err
}

func (c *WorkerClient) renew(ctx context.Context, req RenewRequest) (RenewReply, error) {
	var r RenewReply
	if err := c.post(ctx, "/v1/renew", req, &r); err != nil {
		return RenewReply{}, err
	}
	c.mu.Lock()
	c.clockReadAt, c.workerClockMS = c.cfg.Now(), r.ClockMS
	c.mu.Unlock()
	return r, nil
}

// Start starts a task; it is idempotent on (task, attempt). notAfterMS is the instant,
// in milliseconds of the worker's clock, after which the command cannot take effect;
// it is 0 if no command was sent because of the tenure or the clock.
func (c *WorkerClient) Start(ctx context.Context, t TaskSpec) (notAfterMS int64, err error) {
	_, notAfterMS, err = c.commandDeadline()
	if err != nil {
		return 0, err
	}
	return notAfterMS, c.post(ctx, "/v1/tasks", StartRequest{Epoch: c.cfg.Epoch, NotAfterMS: notAfterMS, Task: t}, nil)
}

// Stop stops, checkpoints, throttles or resumes a task, as mode says. If the worker does
// not have the attempt, the error is of kind errkind.NotFound.
func (c *WorkerClient) Stop(ctx context.Context, ref TaskRef, mode StopMode) error {
	_, notAfter, err := c.commandDeadline()
	if err != nil {
		return err
	}
	path := "/v1/tasks/" + url.PathEscape(ref.Task) + "/stop"
	return c.post(ctx, path, StopRequest{Epoch: c.cfg.Epoch, NotAfterMS: notAfter, Attempt: ref.Attempt, Mode: mode}, nil)
}

// Ack tells the worker that the results of ended tasks were received and need not be
// kept any longer.
func (c *WorkerClient) Ack(ctx context.Context, refs []TaskRef) error {
	if _, _, err := c.commandDeadline(); err != nil {
		return err
	}
	return c.post(ctx, "/v1/ack", AckRequest{Epoch: c.cfg.Epoch, Tasks: refs}, nil)
}

// post sends in as JSON and decodes the answer into out, unless out is nil.
func (c *WorkerClient) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errkind.Wrap(errkind.InternalFailure, "encode", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.cfg.Address+path, bytes.NewReader(body))
	if err != nil {
		return errkind.Wrap(errkind.InternalFailure, "encode", err)
	}
	req.Header.Set("Content-Type", "application/json")
	// With a nil GetBody the transport cannot retry the command on a new connection.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxWorkerAnswerBytes+1))
	if err != nil || len(data) > maxWorkerAnswerBytes {
		return errkind.New(errkind.OutcomeUnknown, ReasonAnswerLost, "answer too large or incomplete (read error: %v)", err)
	}
	if res.StatusCode == http.StatusOK {
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(data, out); err != nil {
			return errkind.Wrap(errkind.OutcomeUnknown, ReasonAnswerLost, err)
		}
		return nil
	}
	return statusError(res.StatusCode, data)
}

// sendError maps a failed dial to Unreachable, since nothing was sent, and any other
// failure to OutcomeUnknown, since the answer may be lost.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errkind.Wrap(errkind.Unreachable, ReasonNotSent, err)
	}
	return errkind.Wrap(errkind.OutcomeUnknown, ReasonAnswerLost, err)
}

// statusError returns the error for an answer with a status other than 200. With a 4xx
// status the worker refused the command, which had no effect; any other status says
// nothing about the effect.
func statusError(status int, data []byte) error {
	if status < 400 || status >= 500 {
		return errkind.New(errkind.OutcomeUnknown, ReasonAnswerLost, "worker answered with status %d", status)
	}
	var r Refusal
	if err := json.Unmarshal(data, &r); err != nil || r.Reason == "" {
		r = Refusal{Reason: "refused", Detail: fmt.Sprintf("status %d", status)}
	}
	kind := errkind.Conflict
	switch r.Reason {
	case ReasonStaleEpoch:
		kind = errkind.StaleEpoch
	case ReasonNoCapacity:
		kind = errkind.NoCapacity
	case ReasonUnknownTask:
		kind = errkind.NotFound
	}
	return errkind.New(kind, r.Reason, "worker refused: %s", r.Detail)
}
