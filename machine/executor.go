package machine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// The HTTP headers of the executor protocol.
const (
	HeaderEpoch     = "Sassafras-Epoch"
	HeaderRequestID = "Sassafras-Request-Id"
	HeaderClass     = "Sassafras-Class"
	HeaderDigest    = "Content-Digest" // RFC 9530, "sha-256=:<base64>:"
)

// ExecutorConfig configures an ExecutorClient. Address is required; the other fields
// take their defaults if they are zero.
type ExecutorConfig struct {
	Address        string        // IP:port
	MaxConns       int           // connections for runs; default 16. Hello and Ping share one more.
	DialTimeout    time.Duration // of one connection; default 1 s
	MaxAnswerBytes int64         // of one run; default 8 MiB
}

// ExecutorClient calls one executor. It is safe for concurrent use.
type ExecutorClient struct {
	cfg    ExecutorConfig
	base   string
	runs   *http.Transport
	probes *http.Transport
}

// ExecutorHello is the state of an executor, as it answers a hello.
type ExecutorHello struct {
	Slots       int `json:"slots"`       // runs at the same time
	Busy        int `json:"busy"`        // slots in use
	Connections int `json:"connections"` // open connections to the executor
}

// ExecutorRun is one request that an executor is to run.
type ExecutorRun struct {
	Epoch uint64 // fencing token: an executor refuses an epoch below one that it has seen
	ID    string // request id, which the answer has to repeat
	Class string // request class
	Body  []byte
}

// NewExecutorClient returns a client. Connections are opened when they are first used.
func NewExecutorClient(cfg ExecutorConfig) *ExecutorClient {
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = 16
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = 8 << 20
	}
	transport := func(conns int) *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext,
			MaxConnsPerHost:     conns,
			MaxIdleConnsPerHost: conns,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		}
	}
	return &ExecutorClient{
		cfg:  cfg,
		base: "http://" + cfg.Address,
		runs: transport(cfg.MaxConns),
		// Probes have a connection of their own, so that they never wait for runs.
		probes: transport(1),
	}
}

// CloseIdle closes the connections that no call is using.
func (c *ExecutorClient) CloseIdle() {
	c.runs.CloseIdleConnections()
	c.probes.CloseIdleConnections()
}

// Hello announces epoch to the executor and returns the executor's state. The
// error kind is StaleEpoch if the executor has seen a higher epoch, else Unreachable.
func (c *ExecutorClient) Hello(ctx context.Context, epoch uint64) (ExecutorHello, error) {
	var h ExecutorHello
	body, err := json.Marshal(map[string]uint64{"epoch": epoch})
	if err != nil {
		return h, errors.Wrap(err, "encode hello")
	}
	res, err := c.probe(ctx, http.MethodPost, "/v1/hello", body)
	if err != nil {
		return h, err
	}
	if err := json.Unmarshal(res, &h); err != nil {
		return h, errkind.Wrap(errkind.Unreachable, "bad_hello", err)
	}
	if h.Slots < 0 || h.Busy < 0 || h.Connections < 0 {
		return h, errkind.New(errkind.Unreachable, "bad_hello", "negative count in %s", res)
	}
	return h, nil
}

// Ping checks that the executor answers. The error kinds are those of Hello.
func (c *ExecutorClient) Ping(ctx context.Context) error {
	_, err := c.probe(ctx, http.MethodGet, "/v1/ping", nil)
	return err
}

// probe sends a hello or a ping and returns the body of the answer.
func (c *ExecutorClient) probe(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create probe request")
	}
	res, err := c.probes.RoundTrip(req)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "probe_failed", err)
	}
	defer res.Body.Close()
	out, err := io.ReadAll(io.LimitReader(res.Body, 64<<10))
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "probe_failed", err)
	}
	switch res.StatusCode {
	case http.StatusOK:
		return out, nil
	case http.StatusConflict:
		return nil, errkind.New(errkind.StaleEpoch, "executor_stale_epoch", "executor %s has seen a higher epoch", c.cfg.Address)
	default:
		return nil, errkind.New(errkind.Unreachable, "probe_status", "executor answered a probe with status %d", res.StatusCode)
	}
}

// Run runs r and returns the whole answer. The error kind says whether r ran:
// Unreachable, StaleEpoch and NoCapacity mean that it did not run,
// UpstreamFailed and AnswerTooLarge that it did. With OutcomeUnknown it may have run.
func (c *ExecutorClient) Run(ctx context.Context, r ExecutorRun) ([]byte, error) {
	// Once the transport has assigned a connection, it may have sent the request.
	var assigned atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { assigned.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/run", bytes.NewReader(r.Body))
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "bad_address", err)
	}
	req.Header.Set(HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
	req.Header.Set(HeaderRequestID, r.ID)
	req.Header.Set(HeaderClass, r.Class)
	res, err := c.runs.RoundTrip(req)
	if err != nil {
		if !assigned.Load() {
			return nil, errkind.Wrap(errkind.Unreachable, "not_sent", err)
		}
		return nil, errkind.Wrap(errkind.OutcomeUnknown, "no_answer", err)
	}
	defer res.Body.Close()
	if got := res.Header.Get(HeaderRequestID); got != r.ID {
		return nil, errkind.New(errkind.OutcomeUnknown, "crossed_answer", "answer is for another request, with id %q", got)
	}
	switch {
	case res.StatusCode == http.StatusConflict:
		return nil, errkind.New(errkind.StaleEpoch, "executor_stale_epoch", "executor has seen an epoch above %d", r.Epoch)
	case res.StatusCode == http.StatusServiceUnavailable:
		return nil, errkind.New(errkind.NoCapacity, "executor_busy", "executor %s has no free slot", c.cfg.Address)
	case res.StatusCode != http.StatusOK:
		return nil, errkind.New(errkind.UpstreamFailed, "executor_failed", "executor answered with status %d", res.StatusCode)
	}
	return c.readAnswer(res)
}

// readAnswer returns the body if its length and digest match the headers.
func (c *ExecutorClient) readAnswer(res *http.Response) ([]byte, error) {
	if res.ContentLength < 0 {
		return nil, errkind.New(errkind.OutcomeUnknown, "no_length", "answer has no Content-Length")
	}
	if res.ContentLength > c.cfg.MaxAnswerBytes {
		return nil, errkind.New(errkind.AnswerTooLarge, "answer_too_large", "answer of %d bytes exceeds the size limit", res.ContentLength)
	}
	body := make([]byte, res.ContentLength)
	if _, err := io.ReadFull(res.Body, body); err != nil {
		return nil, errkind.Wrap(errkind.OutcomeUnknown, "partial_answer", err)
	}
	if want := res.Header.Get(HeaderDigest); want != Digest(body) {
		return nil, errkind.New(errkind.OutcomeUnknown, "digest_mismatch", "body does not match digest %q of the header", want)
	}
	// The transport reuses the connection only if the body was read to the end.
	if n, err := res.Body.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		return nil, errkind.New(errkind.OutcomeUnknown, "partial_answer", "answer goes on after its Content-Length")
	}
	return body, nil
}

// Digest returns the value of HeaderDigest for body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}
