package link

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// peer is what this daemon knows about another one. Membership.mu guards the fields.
type peer struct {
	id          string // never changes
	member      Member
	incarnation uint64 // last one stated by the peer; 0 if none
	// lastHeard is when the last sign of life arrived, or when the wait for one began: at the
	// start, or at the end of a pause of this daemon.
	lastHeard      time.Time
	everHeard      bool // a sign of life arrived at least once
	probing        bool // indirect probes are running
	stability      stabilityRecord
	cancel         context.CancelFunc // ends the heartbeats; nil before they start
	addressChanged chan struct{}      // closed when the address changes
	pool           *pool
}

// stabilityRecord tells when a daemon that came back is eligible again. The zero value is
// that of a daemon that never came back.
type stabilityRecord struct {
	returns    int // how often the daemon came back; it sets the next delay
	eligibleAt time.Time
}

// delayEligibility makes a daemon that came back ineligible for baseDelay, doubled for each
// earlier return and at most maxDelay. A daemon that was eligible for longer than maxDelay
// starts again with baseDelay.
func (s *stabilityRecord) delayEligibility(now time.Time, baseDelay, maxDelay time.Duration) {
	if now.Sub(s.eligibleAt) > maxDelay {
		s.returns = 0
	}
	delay := min(baseDelay<<min(s.returns, 20), maxDelay)
	s.returns++
	s.eligibleAt = now.Add(delay)
}

// update replaces the entry of p but keeps its state. A new address ends the connections
// to the old one.
func (p *peer) update(member Member) {
	if member.Address != p.member.Address {
		close(p.addressChanged)
		p.addressChanged = make(chan struct{})
		go p.pool.closeAll()
	}
	member.State = p.member.State
	p.member = member
}

// leave ends the heartbeats and refuses new calls. Open calls go on, because a daemon that
// stops as planned still answers those it has accepted.
func (p *peer) leave() {
	if p.member.State == Left {
		return
	}
	p.member.State = Left
	if p.cancel != nil {
		p.cancel()
	}
	go p.pool.retire()
}

// sendHeartbeats keeps a heartbeat stream to a peer and replaces it when it fails or its
// echoes stop, until ctx ends.
func (m *Membership) sendHeartbeats(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		began := time.Now()
		err := m.runHeartbeatStream(ctx, p)
		if ctx.Err() != nil {
			return
		}
		m.cfg.Logger.Debug().Str("event", "heartbeat_stream_ended").Str("peer", p.id).Err(err).Send()
		p.pool.closeIdle()
		// A stream that worked is replaced without delay, failing dials are retried with a pause.
		if time.Since(began) < m.cfg.HeartbeatInterval {
			pause.For(ctx, m.cfg.HeartbeatInterval/2)
		}
	}
}

// runHeartbeatStream sends heartbeats over one new connection until an echo is late or wrong,
// the address changes, or ctx ends. The error is never nil.
func (m *Membership) runHeartbeatStream(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	changed := p.addressChanged
	m.mu.Unlock()
	conn, err := m.dial(ctx, p)
	if err != nil {
		return err
	}
	var once sync.Once
	// conn.Close waits for the goroutine that reads. cancel ends that goroutine first, so that
	// the watchdog need not wait for it.
	endStream := func() { once.Do(func() { cancel(); _ = conn.Close() }) }
	defer endStream()
	watchdog := time.AfterFunc(m.cfg.EchoTimeout, endStream)
	defer watchdog.Stop()
	stream, err := rpc.NewDRPCLinkClient(conn).Heartbeats(ctx)
	if err != nil {
		return err
	}
	for seq := uint64(1); ; seq++ {
		watchdog.Reset(m.cfg.EchoTimeout)
		beat := &rpc.Beat{Seq: seq}
		if seq == 1 {
			beat.Daemon, beat.Incarnation = m.cfg.Self.ID, m.cfg.Incarnation
		}
		if err := stream.Send(beat); err != nil {
			return err
		}
		echo, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Stop()
		if echo.Seq != seq {
			return errors.Errorf("peer echoed heartbeat %d instead of %d", echo.Seq, seq)
		}
		if seq == 1 && echo.Daemon != p.id {
			return errors.Errorf("daemon %q answers at the address of daemon %q", echo.Daemon, p.id)
		}
		m.markAlive(p.id, echo.Incarnation)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			return errors.New("address changed")
		case <-time.After(m.cfg.HeartbeatInterval):
		}
	}
}

// markAlive records a sign of life of a daemon. incarnation is zero if the message did not
// state it. A daemon that was dead or restarted becomes ineligible for a time.
func (m *Membership) markAlive(id string, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[id]
	if !ok || p.member.State == Left {
		return
	}
	now := time.Now()
	restarted := incarnation != 0 && p.incarnation != 0 && incarnation != p.incarnation
	if p.everHeard && p.member.State == Dead || restarted {
		p.stability.delayEligibility(now, m.cfg.Stability, m.cfg.StabilityMax)
	}
	if incarnation != 0 {
		p.incarnation = incarnation
	}
	if p.member.State != Alive {
		m.cfg.Logger.Info().Str("event", "member_alive").Str("peer", id).Send()
	}
	p.lastHeard, p.member.State, p.everHeard = now, Alive, true
}

// checkPeers marks unresponsive peers as suspected and starts indirect probes of them.
func (m *Membership) checkPeers(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.lastTick) > m.cfg.SuspectAfter {
		// This daemon was paused. Its peers may have sent heartbeats all the time, and for
		// them it is this daemon that was unresponsive and comes back.
		m.selfStability.delayEligibility(now, m.cfg.Stability, m.cfg.StabilityMax)
		for _, p := range m.peers {
			p.lastHeard = now
		}
	}
	m.lastTick = now
	for id, p := range m.peers {
		if now.Sub(p.lastHeard) <= m.cfg.SuspectAfter || p.probing {
			continue
		}
		if p.member.State == Alive {
			p.member.State = Suspected
			m.cfg.Logger.Info().Str("event", "member_suspected").Str("peer", id).Send()
		}
		if p.member.State != Suspected {
			continue
		}
		p.probing = true
		go m.probeIndirectly(ctx, p, m.indirectProbers(id))
	}
}

// indirectProbers returns up to IndirectProbes live peers that can probe id on behalf of
// this daemon, those of its own region first. The caller holds m.mu.
func (m *Membership) indirectProbers(id string) []string {
	var ids []string
	for _, sameRegion := range []bool{true, false} {
		for other, p := range m.peers {
			if other != id && p.member.State == Alive && (p.member.Region == m.cfg.Self.Region) == sameRegion {
				ids = append(ids, other)
			}
		}
	}
	return ids[:min(len(ids), m.cfg.IndirectProbes)]
}

// probeIndirectly has other peers probe a suspected one, and sets its state to Alive if one
// of them reached it, else to Dead.
func (m *Membership) probeIndirectly(ctx context.Context, p *peer, probers []string) {
	ctx, cancel := context.WithTimeout(ctx, 3*m.cfg.ProbeTimeout)
	defer cancel()
	answers := make(chan bool, len(probers))
	for _, id := range probers {
		go func() { answers <- m.requestProbe(ctx, id, p.id) }()
	}
	reached := false
	for range probers {
		reached = <-answers || reached
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.probing = false
	if p.member.State != Suspected {
		return
	}
	if reached {
		p.lastHeard, p.member.State = time.Now(), Alive
		return
	}
	p.member.State = Dead
	go p.pool.closeAll()
	m.cfg.Logger.Warn().Str("event", "member_dead").Str("peer", p.member.ID).Int("asked", len(probers)).Send()
}

// requestProbe reports whether peer prober reached target by a probe.
func (m *Membership) requestProbe(ctx context.Context, prober, target string) bool {
	conn, err := m.Conn(ctx, prober)
	if err != nil {
		return false
	}
	resp, err := rpc.NewDRPCLinkClient(conn).Probe(ctx, &rpc.ProbeRequest{Target: target})
	return err == nil && resp.Reached
}

// linkService serves the Link service.
type linkService struct{ m *Membership }

// Heartbeats echoes heartbeats. Each one also counts as a sign of life of its sender.
func (s linkService) Heartbeats(stream rpc.DRPCLink_HeartbeatsStream) error {
	var from string
	for {
		beat, err := stream.Recv()
		if err != nil {
			return err
		}
		echo := &rpc.Beat{Seq: beat.Seq}
		if beat.Daemon != "" {
			from = beat.Daemon
			echo.Daemon, echo.Incarnation = s.m.cfg.Self.ID, s.m.cfg.Incarnation
		}
		if s.m.running() {
			s.m.markAlive(from, beat.Incarnation)
		}
		if err := stream.Send(echo); err != nil {
			return err
		}
	}
}

// Probe confirms that this daemon is alive, or probes the target over a new connection.
func (s linkService) Probe(ctx context.Context, req *rpc.ProbeRequest) (*rpc.ProbeResponse, error) {
	if req.Target == "" || req.Target == s.m.cfg.Self.ID {
		return &rpc.ProbeResponse{Reached: true}, nil
	}
	s.m.mu.Lock()
	p, ok := s.m.peers[req.Target]
	s.m.mu.Unlock()
	if !ok {
		return &rpc.ProbeResponse{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.m.cfg.ProbeTimeout)
	defer cancel()
	conn, err := s.m.dial(ctx, p)
	if err != nil {
		return &rpc.ProbeResponse{}, nil
	}
	defer func() { _ = conn.Close() }()
	return &rpc.ProbeResponse{Reached: p.pool.probe(ctx, conn)}, nil
}

// running reports whether Run is running.
func (m *Membership) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runCtx != nil
}
