package link

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Config configures a Membership.
type Config struct {
	Self        Member         // ID, Address, Zone and Region of this daemon; required
	Incarnation uint64         // greater after every start of the daemon; required
	Topology    *zone.Topology // required
	Counters    *ByteCounters  // shared with Server; required
	// HeartbeatInterval is the time between two heartbeats to a peer. Default 500 ms.
	HeartbeatInterval time.Duration
	// SuspectAfter is the time without a sign of life after which a peer is suspected. A sign of
	// life is a heartbeat, the echo of one, or an indirect probe that reached it. Default 1.5 s.
	SuspectAfter time.Duration
	// EchoTimeout is how long the echo of a heartbeat may take before the connection is
	// replaced. Keep it below SuspectAfter, so that one silent connection does not
	// make a peer suspected. Default 750 ms.
	EchoTimeout time.Duration
	// ProbeTimeout bounds one Probe call, for this daemon or on behalf of a peer. Default 500 ms.
	ProbeTimeout time.Duration
	// DialTimeout bounds the opening of a connection. Default 500 ms.
	DialTimeout time.Duration
	// IndirectProbes is how many peers are requested to probe a suspected one. Default 2.
	IndirectProbes int
	// Stability is how long a daemon that was dead, restarted or paused is not eligible; it doubles
	// each time the daemon comes back, up to StabilityMax. Defaults 5 s and 5 min.
	Stability, StabilityMax time.Duration
	// ProbeIdleAfter is the idle time after which a connection is probed before use. Default 1 s.
	ProbeIdleAfter time.Duration
	// KeepaliveInterval is the time without received bytes after which a connection is pinged,
	// also while a call is in flight. Default 1 s.
	KeepaliveInterval time.Duration
	// KeepaliveTimeout is how long such a ping may stay unanswered before the connection is
	// closed and the calls on it fail. Default 3 s.
	KeepaliveTimeout time.Duration
	// MaxIdleConns is the number of idle connections kept per peer. Default 16.
	MaxIdleConns int
	// Dial opens a TCP connection. Default: net.Dialer.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Logger zerolog.Logger
}

func (c Config) withDefaults() Config {
	durations := []struct {
		field        *time.Duration
		defaultValue time.Duration
	}{
		{&c.HeartbeatInterval, 500 * time.Millisecond},
		{&c.SuspectAfter, 1500 * time.Millisecond},
		{&c.EchoTimeout, 750 * time.Millisecond},
		{&c.ProbeTimeout, 500 * time.Millisecond},
		{&c.DialTimeout, 500 * time.Millisecond},
		{&c.Stability, 5 * time.Second},
		{&c.StabilityMax, 5 * time.Minute},
		{&c.ProbeIdleAfter, time.Second},
		{&c.KeepaliveInterval, time.Second},
		{&c.KeepaliveTimeout, 3 * time.Second},
	}
	for _, d := range durations {
		if *d.field <= 0 {
			*d.field = d.defaultValue
		}
	}
	if c.IndirectProbes <= 0 {
		c.IndirectProbes = 2
	}
	if c.MaxIdleConns <= 0 {
		c.MaxIdleConns = 16
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return c
}

// Membership detects which daemons are alive and keeps the connections to them.
type Membership struct {
	cfg Config

	mu            sync.Mutex // guards the fields below except wg
	peers         map[string]*peer
	selfStability stabilityRecord
	runCtx        context.Context // the context of Run; nil while Run is not running
	wg            sync.WaitGroup  // of the goroutines that send heartbeats
	lastTick      time.Time       // last run of checkPeers; a long gap means that this daemon was paused
}

var _ Peers = (*Membership)(nil)

// NewMembership returns a Membership that knows only this daemon.
func NewMembership(cfg Config) *Membership {
	cfg = cfg.withDefaults()
	cfg.Self.State = Alive
	return &Membership{cfg: cfg, peers: make(map[string]*peer)}
}

// Register adds the Link service to a server's mux. The service is needed by the Membership of
// every peer.
func (m *Membership) Register(mux *drpcmux.Mux) error {
	return rpc.DRPCRegisterLink(mux, linkService{m})
}

// UpdateMembers adds or updates daemons that are in the host list or in join records. Of
// the state of an entry only Left counts: it ends the heartbeats to the daemon and refuses
// new calls to it. A later entry of another state adds the daemon anew.
func (m *Membership) UpdateMembers(members ...Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if member.ID == m.cfg.Self.ID {
			continue
		}
		p, ok := m.peers[member.ID]
		switch {
		case member.State == Left && ok:
			p.leave()
		case member.State == Left:
		case !ok || p.member.State == Left:
			m.peers[member.ID] = m.addPeer(member)
		default:
			p.update(member)
		}
	}
}

// Self implements Peers.
func (m *Membership) Self() Member { return m.cfg.Self }

// Members implements Peers. The members are sorted by id.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []Member{m.cfg.Self}
	for _, p := range m.peers {
		out = append(out, p.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Eligible reports whether the daemon may be ranked for keys: it is alive, and
// if it has come back, its stability time has passed.
func (m *Membership) Eligible(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if id == m.cfg.Self.ID {
		return !now.Before(m.selfStability.eligibleAt)
	}
	p, ok := m.peers[id]
	return ok && p.member.State == Alive && !now.Before(p.stability.eligibleAt)
}

// HeardSince reports whether the daemon is alive and a sign of life of it arrived after t. A
// pause of this daemon counts as a sign of life of every peer when it ends.
func (m *Membership) HeardSince(id string, t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[id]
	return ok && p.member.State == Alive && p.lastHeard.After(t)
}

// Conn implements Peers. It opens a connection or finds one that works, so that an
// unreachable peer shows here. The result is safe for concurrent calls.
func (m *Membership) Conn(ctx context.Context, id string) (drpc.Conn, error) {
	m.mu.Lock()
	p, ok := m.peers[id]
	m.mu.Unlock()
	if !ok {
		return nil, errkind.New(errkind.Unreachable, "unknown_peer", "daemon %q is not known", id)
	}
	conn, err := p.pool.acquire(ctx)
	if err != nil {
		return nil, err
	}
	p.pool.release(conn)
	return &pooledConn{pool: p.pool, closed: make(chan struct{})}, nil
}

// Run sends heartbeats and watches the peers until ctx ends, and then returns nil. It may be
// called again after that.
func (m *Membership) Run(ctx context.Context) error {
	m.mu.Lock()
	m.runCtx, m.lastTick = ctx, time.Now()
	for _, p := range m.peers {
		p.lastHeard, p.member.State = time.Now(), initialState(p.member.State)
		m.startPeer(p)
	}
	m.mu.Unlock()
	tick := time.NewTicker(m.cfg.HeartbeatInterval / 2)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			m.stopPeers()
			return nil
		case <-tick.C:
			m.checkPeers(ctx, time.Now())
		}
	}
}

// initialState returns the state of a peer when Run starts: Suspected until it is heard,
// unless it has left.
func initialState(s State) State {
	if s == Left {
		return Left
	}
	return Suspected
}

// stopPeers waits for the heartbeat goroutines, whose context has ended, and closes all
// connections.
func (m *Membership) stopPeers() {
	m.mu.Lock()
	m.runCtx = nil
	peers := make([]*peer, 0, len(m.peers))
	for _, p := range m.peers {
		peers = append(peers, p)
	}
	m.mu.Unlock()
	m.wg.Wait()
	for _, p := range peers {
		p.pool.closeAll()
	}
}

// addPeer returns a new peer and, if Run is running, starts its heartbeats. The caller
// holds m.mu.
func (m *Membership) addPeer(member Member) *peer {
	member.State = Suspected // until first heard
	p := &peer{id: member.ID, member: member, lastHeard: time.Now(), addressChanged: make(chan struct{})}
	p.pool = &pool{
		dial:           func(ctx context.Context) (*drpcconn.Conn, error) { return m.dial(ctx, p) },
		probeIdleAfter: m.cfg.ProbeIdleAfter, probeTimeout: m.cfg.ProbeTimeout, maxIdleConns: m.cfg.MaxIdleConns,
		open: make(map[*drpcconn.Conn]struct{}),
	}
	if m.runCtx != nil {
		m.startPeer(p)
	}
	return p
}

// startPeer starts the heartbeats to p unless it has left. The caller holds m.mu.
func (m *Membership) startPeer(p *peer) {
	if p.member.State == Left {
		return
	}
	ctx, cancel := context.WithCancel(m.runCtx)
	p.cancel = cancel
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		m.sendHeartbeats(ctx, p)
	}()
}

// dial opens a connection to the present address of p and sends the preamble.
func (m *Membership) dial(ctx context.Context, p *peer) (*drpcconn.Conn, error) {
	m.mu.Lock()
	address, z := p.member.Address, p.member.Zone
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	raw, err := m.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := newCountedConn(raw, m.cfg.Counters, m.cfg.Topology.Distance(m.cfg.Self.Zone, z))
	if err := sendPreamble(c, m.cfg.Self.Zone); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(newFramedConn(c, m.cfg.KeepaliveInterval, m.cfg.KeepaliveTimeout)), nil
}
