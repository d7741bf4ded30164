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

// configLongPoll is how long a read of the configuration stream waits for a new record.
// If the log or the relay stops answering during a read, a change is delayed by up to this
// time, the largest single part of the 4 s within which a change is to be in force.
const configLongPoll = time.Second

// cachedHostList reads the host list once per maxAge for all components of the daemon.
type cachedHostList struct {
	source upstream.HostList
	maxAge time.Duration
	log    zerolog.Logger

	mu             sync.Mutex
	readAt         time.Time // last successful read
	hosts          []upstream.Host
	lastReadFailed bool // the last read failed, and the start of the outage has been logged
}

// Hosts implements upstream.HostList. It returns the hosts of the last read if they are
// younger than maxAge. The slice is shared: callers must not change it. A failed read is
// returned as an error, even if older hosts are known.
func (h *cachedHostList) Hosts(ctx context.Context) ([]upstream.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hosts != nil && time.Since(h.readAt) < h.maxAge {
		return h.hosts, nil
	}
	// A caller that gave up while it waited for the lock is no sign of an outage.
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	hosts, err := h.source.Hosts(ctx)
	if !errors.Is(ctx.Err(), context.Canceled) {
		h.logOutage(err)
	}
	if err != nil {
		return nil, err
	}
	h.hosts, h.readAt = hosts, time.Now()
	return hosts, nil
}

// logOutage logs the start and the end of an outage of the host list, once each. err is
// the result of the newest read.
func (h *cachedHostList) logOutage(err error) {
	switch {
	case err != nil && !h.lastReadFailed:
		h.log.Warn().Str("event", "host_list_unreadable").Err(err).Send()
	case err == nil && h.lastReadFailed:
		h.log.Info().Str("event", "host_list_readable").Send()
	}
	h.lastReadFailed = err != nil
}

// drainAwareHostList is a host list in which live hosts that the configuration drains
// have the state upstream.Leaving.
type drainAwareHostList struct {
	source upstream.HostList
	view   config.View
}

// Hosts implements upstream.HostList.
func (h *drainAwareHostList) Hosts(ctx context.Context) ([]upstream.Host, error) {
	hosts, err := h.source.Hosts(ctx)
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
		if out[i].State == upstream.Live && isDrained(drains, &out[i]) {
			out[i].State = upstream.Leaving
		}
	}
	return out, nil
}

// isDrained reports whether the configuration drains the host itself, its zone or its
// rack. The keys of drains are host ids, "zone/" with the name of a zone, and rack keys.
func isDrained(drains map[string]config.Drain, h *upstream.Host) bool {
	if _, ok := drains[h.ID]; ok {
		return true
	}
	if _, ok := drains["zone/"+string(h.Zone)]; ok {
		return true
	}
	_, ok := drains[string(contract.RackKey(h.Zone, h.Rack))]
	return ok && h.Rack != ""
}

// configIntentions implements job.Intentions: it gives the job scheduler the jobs and teams
// of the configuration in force.
type configIntentions struct {
	view     config.View
	location *time.Location
}

// Desired implements job.Intentions. It returns the jobs that the configuration in force
// wants to run at now, whose date is taken in the time zone of the deployment.
func (n *configIntentions) Desired(now time.Time) []workload.Job {
	return config.DesiredJobs(n.view.Current(), now, n.location)
}

// Team implements job.Intentions. It ignores spaces around the name, and returns false if
// the configuration has no such team.
func (n *configIntentions) Team(team string) (config.Team, bool) {
	t, ok := n.view.Current().Teams[strings.TrimSpace(team)]
	return t, ok
}
