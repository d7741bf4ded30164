// Package client is the HTTP client of the daemons. It tries the daemons one after
// another until one answers. Callers must give every call that changes something an id of
// its own, so that a repeat through another daemon has no second effect.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
)

// maxAnswerBytes is the largest part of an answer that is read, in bytes. It is above the
// largest answer of an executor that the settings allow, 64 MiB.
const maxAnswerBytes = 80 << 20

// Config configures a Client.
type Config struct {
	// Servers are the base URLs of daemons, for example "http://10.0.0.5:8080". Required.
	Servers []string
	// Timeout bounds one attempt at one daemon. Default 15 s.
	Timeout time.Duration
	// RetryFor is how long a call is repeated if no daemon answered or the answer allows a
	// repeat, also with an unknown outcome. A repeat is the same request with the same id.
	// Default 0, no repeat.
	RetryFor time.Duration
	// Backoff is the pause before the first repeat; it doubles up to 2 s. Default 100 ms.
	Backoff time.Duration
	// HTTP sends the requests. Default: a new http.Client for this Client.
	HTTP *http.Client
}

// Client calls daemons. It is safe for concurrent use.
type Client struct{ cfg Config }

// New returns a Client, or an error if no server is given or one is not a URL with a host.
func New(cfg Config) (*Client, error) {
	if len(cfg.Servers) == 0 {
		return nil, errors.New("no server given")
	}
	for _, s := range cfg.Servers {
		if u, err := url.Parse(s); err != nil || u.Host == "" {
			return nil, errors.Errorf("server must be a URL such as http://10.0.0.5:8080, got %q", s)
		}
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = 15 * time.Second
	}
	if cfg.Backoff <= 0 {
		cfg.Backoff = 100 * time.Millisecond
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	return &Client{cfg: cfg}, nil
}

// Error is the error answer of a daemon that refused a call or failed to run it.
type Error struct {
	Status int          `json:"status"`
	Kind   errkind.Kind `json:"kind"`
	Reason string       `json:"reason"`
	// Outcome covers all attempts: it is unknown if this daemon did not run the call but
	// another attempt may have.
	Outcome   errkind.Outcome `json:"outcome"`
	Retry     errkind.Retry   `json:"retry"`
	Detail    string          `json:"detail"`
	RequestID string          `json:"request_id,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s), outcome %s: %s", e.Kind, e.Reason, e.Outcome, e.Detail)
}

// NoAnswerError is the error of a call that no daemon answered.
type NoAnswerError struct {
	Attempts []string // errors of the last round of attempts, one per daemon tried
	// MaybeReceived is true if a daemon may have received the call without answering, or
	// answered that the outcome is unknown, in the last round of attempts or an earlier
	// one. If it is false, the call certainly had no effect.
	MaybeReceived bool
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return "no daemon answered:\n  " + strings.Join(e.Attempts, "\n  ")
}

// Request is one call, which is sent to each daemon tried.
type Request struct {
	Method string
	Path   string // starts with a slash, includes the query
	Header http.Header
	Body   []byte
}

// Response is an answer with a status below 400.
type Response struct {
	Header http.Header
	Body   []byte
	Server string // base URL of the daemon that answered
}

// Do sends r to the daemons in turn until one answers. Within Config.RetryFor it
// repeats r if none answered or the answer allows a repeat. The call must be
// idempotent. The error is an *Error if a daemon answered, otherwise a *NoAnswerError. If
// ctx ends, it is that of the last round of attempts.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	deadline := time.Now().Add(c.cfg.RetryFor)
	maybeRan := false
	for backoff := c.cfg.Backoff; ; backoff = min(2*backoff, 2*time.Second) {
		resp, err := c.tryServers(ctx, r, &maybeRan)
		if err == nil || !retryable(err) || time.Now().Add(backoff).After(deadline) {
			return resp, err
		}
		if !pause.For(ctx, backoff) {
			return nil, err
		}
	}
}

// retryable reports whether a repeat of the same call is safe and may help.
func retryable(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Retry != errkind.RetryNever
	}
	var noAnswer *NoAnswerError
	return errors.As(err, &noAnswer)
}

// tryServers sends r to each daemon once, until one answers. It sets maybeRan to true if a
// daemon may have received r without answering, or answered that the outcome is unknown.
// Once maybeRan is true, a refusal with the outcome "not run" is returned as unknown.
func (c *Client) tryServers(ctx context.Context, r Request, maybeRan *bool) (*Response, error) {
	noAnswer := &NoAnswerError{}
	for _, server := range c.cfg.Servers {
		resp, maybeReceived, err := c.attempt(ctx, server, r)
		var errorAnswer *Error
		if errors.As(err, &errorAnswer) {
			switch errorAnswer.Outcome {
			case errkind.Unknown:
				*maybeRan = true
			case errkind.NotRun:
				if *maybeRan {
					errorAnswer.Outcome = errkind.Unknown
				}
			}
		}
		if err == nil || errorAnswer != nil {
			return resp, err
		}
		*maybeRan = *maybeRan || maybeReceived
		noAnswer.Attempts = append(noAnswer.Attempts, err.Error())
		if ctx.Err() != nil {
			break
		}
	}
	noAnswer.MaybeReceived = *maybeRan
	return nil, noAnswer
}

// attempt sends r to one daemon. maybeReceived is true if the daemon may have received it,
// which is assumed as soon as there is a connection.
func (c *Client) attempt(ctx context.Context, server string, r Request) (resp *Response, maybeReceived bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.Method, strings.TrimRight(server, "/")+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, false, err
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	if r.Body != nil && req.Header.Get("Content-Type") == "" {
		req.Header.Set("Content-Type", "application/json")
	}
	httpResp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, connected.Load(), err
	}
	defer func() { _ = httpResp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxAnswerBytes))
	if err != nil {
		return nil, true, errors.Wrap(err, server)
	}
	if httpResp.StatusCode >= 400 {
		return nil, true, decodeErrorAnswer(server, httpResp.StatusCode, body)
	}
	return &Response{Header: httpResp.Header, Body: body, Server: server}, true, nil
}

// decodeErrorAnswer returns the *Error in the body of an error answer. If the body is not
// that of a daemon, such as the error page of a proxy, it returns another error, which
// counts as no answer.
func decodeErrorAnswer(server string, status int, body []byte) error {
	var e Error
	if json.Unmarshal(body, &e) != nil || e.Kind == "" {
		return errors.Errorf("%s: status %d, not the answer of a daemon", server, status)
	}
	return &e
}

// Call sends in as JSON (nil sends no body) and decodes the answer into out (nil ignores
// it). It tries and repeats as Do does.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	r := Request{Method: method, Path: path}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		r.Body = body
	}
	resp, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
