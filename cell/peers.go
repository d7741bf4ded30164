package cell

import (
	"time"
)

// peer is a daemon that reports to the leader.
type peer struct {
	name  string
	seen  time.Duration
	reach bool // it reaches the log
	cores float64
}

// hello takes the report of another daemon.
func (l *lead) hello(c *call) *reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	p := l.peers[c.Address]
	if p == nil {
		p = &peer{name: c.Daemon}
		l.peers[c.Address] = p
		l.log.Info().Str("event", "daemon_joined").Str("daemon", c.Daemon).Str("address", c.Address).Send()
	}
	p.seen, p.reach, p.cores = now, c.Reach, c.Cores
	out := &reply{Pending: l.engine.Pending()}
	if l.d.route.reaches() {
		out.Peers = append(out.Peers, l.d.tenure.cfg.Self.Address)
	}
	const relayLimit = 5 // a daemon needs few others to get through
	for address, p := range l.peers {
		if p.reach && address != c.Address && now-p.seen < peerAge && len(out.Peers) < relayLimit {
			out.Peers = append(out.Peers, address)
		}
	}
	return out
}

// refreshPeers forgets daemons that are silent and passes the others on as relays.
func (l *lead) refreshPeers(now time.Duration) {
	var relays []string
	for address, p := range l.peers {
		if now-p.seen > peerAge {
			delete(l.peers, address)
			l.log.Info().Str("event", "daemon_silent").Str("daemon", p.name).Int64("silent_ms", (now - p.seen).Milliseconds()).Send()
			continue
		}
		if p.reach {
			relays = append(relays, address)
		}
	}
	l.d.route.setRelays(relays)
	strongest, able := 0.0, 0.0
	for _, p := range l.peers {
		strongest = max(strongest, p.cores)
		if p.reach {
			able = max(able, p.cores)
		}
	}
	if now-l.began > strengthGrace {
		l.d.tenure.SetStrongestCores(strongest)
	}
	if l.d.set.Cores < weakShare*able && now-l.began > strengthGrace {
		l.d.tenure.Resign("a much stronger daemon can lead")
	}
}

// strengthGrace is how long a new leader takes over what is known of the strength of
// the others, since they have not reported yet, and how long a weak daemon leads
// before it hands over to a stronger one, so that a cell in trouble has a leader.
const strengthGrace = time.Second
