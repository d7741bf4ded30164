package cell

import (
	"time"
)

// peer is a daemon that has registered with the leader.
type peer struct {
	name         string
	registeredAt time.Duration // last registration
	reachesLog   bool          // by direct calls
	cores        float64       // processor capacity, 0 if not known
	logRoundTrip time.Duration // least round trip to the log, 0 if not known
	leaving      bool          // it is about to stop
}

// register records the registration of another daemon. The reply holds the number of pending jobs by
// queue and the addresses of daemons that can relay calls to the log.
func (l *leadership) register(c *call) *reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	p := l.peers[c.Address]
	if p == nil {
		p = &peer{name: c.Daemon}
		l.peers[c.Address] = p
		l.logger.Info().Str("event", "daemon_joined").Str("daemon", c.Daemon).Str("address", c.Address).Send()
	}
	p.registeredAt, p.reachesLog, p.cores = now, c.ReachesLog, c.Cores
	p.logRoundTrip, p.leaving = time.Duration(c.LogRoundTripMicros)*time.Microsecond, c.Leaving
	out := &reply{Pending: l.engine.Pending()}
	if l.daemon.platformLog.reachesLog() {
		out.Relays = append(out.Relays, l.daemon.tenure.cfg.Self.Address)
	}
	const maxRelays = 5 // a daemon needs few others to reach the log
	for address, p := range l.peers {
		if p.reachesLog && address != c.Address && now-p.registeredAt < maxPeerAge && len(out.Relays) < maxRelays {
			out.Relays = append(out.Relays, address)
		}
	}
	return out
}

// refreshPeers forgets daemons that have not registered for maxPeerAge, and uses the successors that it
// chooses from the others as relays. After capacityGrace it also tells the Tenure these successors and
// the largest capacity of the others, and hands over if a daemon that reaches the log is much stronger
// than this one. l.mu must be held.
func (l *leadership) refreshPeers(now time.Duration) {
	for address, p := range l.peers {
		if now-p.registeredAt > maxPeerAge {
			delete(l.peers, address)
			l.logger.Info().Str("event", "daemon_silent").Str("daemon", p.name).Int64("silent_ms", (now - p.registeredAt).Milliseconds()).Send()
		}
	}
	strongest, strongestWithLog := 0.0, 0.0
	var candidates []successor
	addresses := make(map[string]string) // by name
	for address, p := range l.peers {
		strongest = max(strongest, p.cores)
		if p.reachesLog {
			strongestWithLog = max(strongestWithLog, p.cores)
		}
		if p.reachesLog && !p.leaving {
			candidates = append(candidates, successor{p.name, p.cores, p.logRoundTrip})
			addresses[p.name] = address
		}
	}
	successors := chooseSuccessors(candidates, max(strongest, l.daemon.settings.Cores))
	var relays []string
	for _, name := range successors {
		if address, ok := addresses[name]; ok {
			relays = append(relays, address)
		}
	}
	l.daemon.platformLog.setRelays(relays)
	if now-l.startedAt > capacityGrace {
		l.daemon.tenure.SetStrongestCores(strongest)
		l.daemon.tenure.SetSuccessors(successors)
	}
	if l.daemon.settings.Cores < weakShare*strongestWithLog && now-l.startedAt > capacityGrace {
		go l.daemon.handOver("a much stronger daemon can lead", openChangesLimit)
	}
}

// capacityGrace is how long a new leader keeps its predecessor's StrongestCores, since the other
// daemons have not registered yet. A weak leader also does not resign in favour of a stronger daemon
// before, so that a cell in trouble has a leader.
const capacityGrace = time.Second
