package daemon

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/platform"
	"github.com/sassafraslb/sassafraslb/workload"
)

// configReadWait is the long poll of the configuration stream. It is the largest
// share of the 4 s target that a read which starts just before a change can add
// when its source is lost.
const configReadWait = time.Second

// cachedHosts shares one read of the host list between the parts of the daemon.
type cachedHosts struct {
	from  platform.HostList
	every time.Duration

	mu    sync.Mutex
	at    time.Time
	hosts []platform.Host
}

// Hosts implements platform.HostList. The result must not be changed.
func (h *cachedHosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hosts != nil && time.Since(h.at) < h.every {
		return h.hosts, nil
	}
	hosts, err := h.from.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	h.hosts, h.at = hosts, time.Now()
	return hosts, nil
}

// drainedHosts shows hosts that the configuration drains as leaving.
type drainedHosts struct {
	from platform.HostList
	view config.View
}

// Hosts implements platform.HostList.
func (h *drainedHosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := h.from.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	drains := h.view.Current().Drains
	if len(drains) == 0 {
		return hosts, nil
	}
	out := make([]platform.Host, len(hosts))
	copy(out, hosts)
	for i := range out {
		if out[i].State == platform.Live && drained(drains, &out[i]) {
			out[i].State = platform.Leaving
		}
	}
	return out, nil
}

func drained(drains map[string]config.Drain, h *platform.Host) bool {
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
	return config.Desired(n.view.Current(), now, n.loc)
}

// Has implements job.Intentions.
func (n *intentions) Has(team string) (config.Team, bool) {
	t, ok := n.view.Current().Teams[strings.TrimSpace(team)]
	return t, ok
}
