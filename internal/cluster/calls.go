package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// retryInterval is the pause of WaitFor between two calls.
const retryInterval = 20 * time.Millisecond

// WaitFor calls fn until it returns nil. If ctx ends first, it returns the last error of
// fn, wrapped with what, a description of what fn waits for.
func WaitFor(ctx context.Context, what string, fn func(context.Context) error) error {
	for {
		err := fn(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "gave up waiting for %s", what)
		case <-time.After(retryInterval):
		}
	}
}

// Send makes an HTTP call with in as the JSON body and decodes the JSON answer into out.
// Either may be nil. A status of 300 or above is an error.
func (c *Cluster) Send(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode >= 300 {
		return errors.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}

// SetHost adds or replaces a host on every region's host list, with the address under
// which that region reaches it.
func (c *Cluster) SetHost(ctx context.Context, h upstream.Host) error {
	direct := h.Address
	for r, list := range c.hostLists {
		var err error
		if h.Address, err = c.forwarders.address(direct, c.regionOf(h.Zone), r); err != nil {
			return err
		}
		if err := c.Send(ctx, http.MethodPut, list.URL()+"/v1/hosts/"+h.ID, h, nil); err != nil {
			return err
		}
	}
	return nil
}

// SetLinkState sets the state of the link between the regions. It has no effect
// without Options.LinkDelay.
func (c *Cluster) SetLinkState(s LinkState) { c.forwarders.set(s) }

// LinkBytes returns the number of bytes that have crossed regions, in both directions.
// It is 0 without Options.LinkDelay.
func (c *Cluster) LinkBytes() int64 { return c.forwarders.bytes() }

// regionOf returns the region of a zone, or "" if no region has it.
func (c *Cluster) regionOf(z zone.Name) zone.Region {
	for r, zones := range c.opts.Regions {
		if slices.Contains(zones, z) {
			return r
		}
	}
	return ""
}

// SetLogFaults replaces the faults that the log injects.
func (c *Cluster) SetLogFaults(ctx context.Context, f standin.LogFaults) error {
	return c.Send(ctx, http.MethodPut, c.Log.URL()+"/v1/faults", f, nil)
}

// WaitForReady waits until a daemon reports that it is ready (GET /readyz).
func (c *Cluster) WaitForReady(ctx context.Context, n *Node) error {
	return WaitFor(ctx, n.ID+" to be ready", func(ctx context.Context) error {
		return c.Send(ctx, http.MethodGet, n.URL()+"/readyz", nil, nil)
	})
}

// KeyOwner is a key and its owner as a daemon sees them (GET /v1/cell). Owner is empty if
// the daemon knows of none. MayAct means that the daemon itself owns the key and may act
// for it.
type KeyOwner struct {
	Key    string `json:"key"`
	Owner  string `json:"owner"`
	MayAct bool   `json:"mine"`
}

// WaitForOwners waits until every key of the region of daemon n has an owner that is not
// in except (daemon ids) and that reports that it may act.
func (c *Cluster) WaitForOwners(ctx context.Context, n *Node, except ...string) error {
	return WaitFor(ctx, "owners of all keys in the region of "+n.ID, func(ctx context.Context) error {
		owners, err := c.keyOwners(ctx, n)
		if err != nil {
			return err
		}
		acting := make(map[string]map[string]bool)
		for _, k := range owners {
			if k.Owner == "" || slices.Contains(except, k.Owner) {
				return errors.Errorf("%s has owner %q", k.Key, k.Owner)
			}
			if acting[k.Owner] == nil {
				if acting[k.Owner], err = c.keysActedFor(ctx, k.Owner); err != nil {
					return err
				}
			}
			if !acting[k.Owner][k.Key] {
				return errors.Errorf("%s: %s may not act yet", k.Key, k.Owner)
			}
		}
		return nil
	})
}

// keyOwners returns the keys of the region of daemon n, as n sees them.
func (c *Cluster) keyOwners(ctx context.Context, n *Node) ([]KeyOwner, error) {
	var cell struct {
		Keys []KeyOwner `json:"keys"`
	}
	err := c.Send(ctx, http.MethodGet, n.URL()+"/v1/cell", nil, &cell)
	return cell.Keys, err
}

// keysActedFor returns, by key, whether the daemon with this id reports that it may act
// for it.
func (c *Cluster) keysActedFor(ctx context.Context, id string) (map[string]bool, error) {
	for _, n := range c.Daemons {
		if n.ID != id {
			continue
		}
		keys, err := c.keyOwners(ctx, n)
		if err != nil {
			return nil, err
		}
		out := make(map[string]bool)
		for _, k := range keys {
			out[k.Key] = k.MayAct
		}
		return out, nil
	}
	return nil, errors.Errorf("no daemon has the id %q", id)
}

// WorkerRecords fetches the run records of all workers.
func (c *Cluster) WorkerRecords(ctx context.Context) ([]standin.RunRecord, error) {
	var all []standin.RunRecord
	for _, n := range c.Workers {
		var answer struct {
			Records []standin.RunRecord `json:"records"`
		}
		if err := c.Send(ctx, http.MethodGet, n.URL()+"/v1/records", nil, &answer); err != nil {
			return nil, err
		}
		all = append(all, answer.Records...)
	}
	return all, nil
}

// ExecutorRecords fetches the records of all executors, by executor id.
func (c *Cluster) ExecutorRecords(ctx context.Context) (map[string]standin.ExecutorRecords, error) {
	out := make(map[string]standin.ExecutorRecords)
	for _, n := range c.Executors {
		var r standin.ExecutorRecords
		if err := c.Send(ctx, http.MethodGet, n.URL()+"/v1/records", nil, &r); err != nil {
			return nil, err
		}
		out[n.ID] = r
	}
	return out, nil
}

// Metrics fetches the Prometheus metrics of a daemon, by metric name.
func (c *Cluster) Metrics(ctx context.Context, n *Node) (map[string]*dto.MetricFamily, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.URL()+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(resp.Body)
}

// SumMetric returns the sum of a counter or gauge over all series that have every label
// of want, given as "name=value". An unknown metric counts as 0.
func SumMetric(families map[string]*dto.MetricFamily, name string, want ...string) float64 {
	var sum float64
	f := families[name]
	if f == nil {
		return 0
	}
	for _, m := range f.Metric {
		if hasLabels(m, want) {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}

// hasLabels reports whether m has every label of want, given as "name=value".
func hasLabels(m *dto.Metric, want []string) bool {
	for _, w := range want {
		name, value, _ := strings.Cut(w, "=")
		found := false
		for _, l := range m.Label {
			found = found || (l.GetName() == name && l.GetValue() == value)
		}
		if !found {
			return false
		}
	}
	return true
}

// DaemonsIn returns the daemons of a region.
func (c *Cluster) DaemonsIn(r zone.Region) []*Node {
	var out []*Node
	for _, n := range c.Daemons {
		if slices.Contains(c.opts.Regions[r], n.Zone) {
			out = append(out, n)
		}
	}
	return out
}
