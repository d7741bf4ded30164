package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
)

// configReadWait is the long poll of the configuration stream. It is the largest
// share of the 4 s target that a read which starts just before a change can add
// when its source is lost.
const configReadWait = time.Second

// cachedHosts shares one read of the host list between the parts of the daemon.
type cachedHosts struct {
	from  upstream.HostList
	every time.Duration
	log   zerolog.Logger

	mu     sync.Mutex
	at     time.Time
	hosts  []upstream.Host
	failed bool // the last read failed
}

// Hosts implements upstream.HostList. The result must not be changed.
func (h *cachedHosts) Hosts(ctx context.Context) ([]upstream.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hosts != nil && time.Since(h.at) < h.every {
		return h.hosts, nil
	}
	// A caller that left while it waited for the lock says nothing of the list.
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	hosts, err := h.from.Hosts(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) {
		h.report(err)
	}
	if err != nil {
		return nil, err
	}
	h.hosts, h.at = hosts, time.Now()
	return hosts, nil
}

// report logs the begin and the end of an outage of the host list, once each.
func (h *cachedHosts) report(err error) {
	switch {
	case err != nil && !h.failed:
		h.log.Warn().Str("event", "host_list_unreadable").Err(err).Send()
	case err == nil && h.failed:
		h.log.Info().Str("event", "host_list_readable").Send()
	}
	h.failed = err != nil
}

// drainedHosts shows hosts that the configuration drains as leaving.
type drainedHosts struct {
	from upstream.HostList
	view config.View
}

// Hosts implements upstream.HostList.
func (h *drainedHosts) Hosts(ctx context.Context) ([]upstream.Host, error) {
	hosts, err := h.from.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	drains := h.view.Current().Drains
	if len(drains) == 0 {
		return hosts, nil
	}
	out := make([]upstream.Host, len(hosts))
	copy(out, hosts)
	for i := range out {
		if out[i].State == upstream.Live && drained(drains, &out[i]) {
			out[i].State = upstream.Leaving
		}
	}
	return out, nil
}

func drained(drains map[string]config.Drain, h *upstream.Host) bool {
	if _, ok := drains[h.ID]; ok {
		return true
	}
	if _, ok := drains["zone/"+string(h.Zone)]; ok {
		return true
	}
	_, ok := drains[string(contract.RackKey(h.Zone, h.Rack))]
	return ok && h.Rack != ""
}

// intentions gives the job scheduler the jobs that the configuration wants.
type intentions struct {
	view config.View
	loc  *time.Location
}

// Desired implements job.Intentions.
func (n *intentions) Desired(now time.Time) []workload.Job {
	return config.DesiredJobs(n.view.Current(), now, n.loc)
}

// Team implements job.Intentions.
func (n *intentions) Team(team string) (config.Team, bool) {
	t, ok := n.view.Current().Teams[strings.TrimSpace(team)]
	return t, ok
}
