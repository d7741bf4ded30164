package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// HostClient is the HTTP client of the host list. Its requests are conditional
// (If-None-Match), so an unchanged list is sent again only if the service gives no ETag. It
// is safe for concurrent use.
type HostClient struct {
	cfg ClientConfig

	mu    sync.Mutex
	etag  string
	hosts []Host // the list that etag belongs to
}

// NewHostClient returns a client of the host list at cfg.BaseURL.
func NewHostClient(cfg ClientConfig) *HostClient { return &HostClient{cfg: cfg.withDefaults()} }

var _ HostList = (*HostClient)(nil)

// Hosts implements HostList. Errors are of kind unreachable, or bad_input if the request
// cannot be built. Later calls may return the same slice again.
func (c *HostClient) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.BaseURL+"/v1/hosts", nil)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadInput, "request", err)
	}
	etag, hosts := c.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "host_list", err)
	}
	defer drainAndClose(resp.Body)
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return hosts, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errkind.New(errkind.Unreachable, "host_list_status", "host list: status %d", resp.StatusCode)
	}
	var answer struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "host_list_garbled", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.hosts = resp.Header.Get("ETag"), answer.Hosts
	return answer.Hosts, nil
}

// cached returns the ETag and the hosts of the last complete answer.
func (c *HostClient) cached() (string, []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.hosts
}
