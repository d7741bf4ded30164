package upstream

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

	"github.com/sassafraslb/sassafraslb/errkind"
)

// maxAnswerBytes bounds the body of an answer of the log or of the host list. A longer one is
// cut and cannot be decoded.
const maxAnswerBytes = 64 << 20

// ClientConfig configures a LogClient or a HostClient.
type ClientConfig struct {
	// BaseURL of the service, for example "http://10.0.0.5:7000". Required.
	BaseURL string
	// HTTP sends the requests. Default: a client with its own transport.
	HTTP *http.Client
	// Timeout bounds one call, in addition to the wait of a read for new records. Default 2 s.
	Timeout time.Duration
}

func (c ClientConfig) withDefaults() ClientConfig {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}}
	}
	if c.Timeout <= 0 {
		c.Timeout = 2 * time.Second
	}
	c.BaseURL = strings.TrimRight(c.BaseURL, "/")
	return c
}

// LogClient is the HTTP client of the log. It is safe for concurrent use.
type LogClient struct{ cfg ClientConfig }

// NewLogClient returns a client of the log at cfg.BaseURL.
func NewLogClient(cfg ClientConfig) *LogClient { return &LogClient{cfg: cfg.withDefaults()} }

var _ Log = (*LogClient)(nil)

type appendRequest struct {
	Records [][]byte `json:"records"`
}

type appendAnswer struct {
	FirstOffset *Offset `json:"first_offset"`
}

// Append implements Log. Nothing was appended if the call never obtained a connection
// (log_unavailable) or was answered 503 (log_unavailable) or 4xx (bad_input). Every other
// failure is append_unknown.
func (c *LogClient) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	body, err := json.Marshal(appendRequest{records})
	if err != nil {
		return 0, errkind.Wrap(errkind.BadInput, "encode", err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	// gotConn is set before the first byte of the request can be written.
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(body))
	if err != nil {
		return 0, errkind.Wrap(errkind.BadInput, "request", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		if !gotConn.Load() {
			return 0, errkind.Wrap(errkind.LogUnavailable, "no_connection", err)
		}
		return 0, errkind.Wrap(errkind.AppendUnknown, "answer_lost", err)
	}
	defer drainAndClose(resp.Body)
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable:
		return 0, errkind.New(errkind.LogUnavailable, "log_down", "append to %s: status 503", stream)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return 0, errkind.New(errkind.BadInput, "refused", "append to %s: status %d", stream, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return 0, errkind.New(errkind.AppendUnknown, "bad_status", "append to %s: status %d", stream, resp.StatusCode)
	}
	var answer appendAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return 0, errkind.Wrap(errkind.AppendUnknown, "answer_garbled", err)
	}
	if answer.FirstOffset == nil {
		return 0, errkind.New(errkind.AppendUnknown, "answer_garbled", "append to %s: no first_offset", stream)
	}
	return *answer.FirstOffset, nil
}

// Read implements Log. Errors match ErrTrimmed or are of kind log_unavailable, or bad_input
// if the request cannot be built.
func (c *LogClient) Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+wait)
	defer cancel()
	requestURL := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", c.recordsURL(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return Batch{}, errkind.Wrap(errkind.BadInput, "request", err)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return Batch{}, errkind.Wrap(errkind.LogUnavailable, "read_failed", err)
	}
	defer drainAndClose(resp.Body)
	var b Batch
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Batch{}, errkind.New(errkind.LogUnavailable, "read_status", "read %s: status %d", stream, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&b); err != nil {
		return Batch{}, errkind.Wrap(errkind.LogUnavailable, "read_garbled", err)
	}
	if resp.StatusCode == http.StatusGone {
		return Batch{}, &TrimmedError{Stream: stream, Oldest: b.Oldest}
	}
	return b, nil
}

// recordsURL returns the URL of the records of a stream.
func (c *LogClient) recordsURL(stream string) string {
	return c.cfg.BaseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// drainAndClose reads the rest of a small body and closes it, so that the connection can be
// reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 4096))
	_ = body.Close()
}
