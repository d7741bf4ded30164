package link_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

const eventuallyTimeout = 60 * time.Second

// eventually fails the test unless holds returns true within eventuallyTimeout.
func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition %q not met within %v", condition, eventuallyTimeout)
}

// testDaemon is the part of a daemon that this package implements, with faults that can be set.
type testDaemon struct {
	*link.Membership
	counters         *link.ByteCounters
	relay            *link.Relay
	blockedAddresses sync.Map // address -> true: dials to it fail
	mu               sync.Mutex
	conns            []*droppingConn // all dialled so far
	dials            atomic.Int64    // attempts, refused ones included
	stop             func()
}

// droppingConn discards what is written to it once dropWrites is set.
type droppingConn struct {
	net.Conn
	dropWrites atomic.Bool
}

func (c *droppingConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// silenceOpenConns makes the connections that are open now drop all writes; later ones work.
func (d *testDaemon) silenceOpenConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.dropWrites.Store(true)
	}
}

// startDaemon runs a daemon with short intervals until the test ends. Its relay reads direct.
func startDaemon(t testing.TB, id string, z zone.Name, direct upstream.Log) *testDaemon {
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"r1": {"z1", "z2"}, "r2": {"z3"}})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &testDaemon{counters: &link.ByteCounters{}}
	region, _ := topology.Region(z)
	d.Membership = link.NewMembership(link.Config{
		Self: link.Member{ID: id, Address: listener.Addr().String(), Zone: z, Region: region}, Incarnation: 1,
		Topology: topology, Counters: d.counters, HeartbeatInterval: 40 * time.Millisecond, SuspectAfter: 600 * time.Millisecond,
		EchoTimeout: 200 * time.Millisecond, ProbeIdleAfter: time.Millisecond, KeepaliveInterval: 100 * time.Millisecond, KeepaliveTimeout: 300 * time.Millisecond, Stability: time.Minute,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			d.dials.Add(1)
			if _, blocked := d.blockedAddresses.Load(address); blocked {
				return nil, errors.New("dial refused by the test")
			}
			raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			c := &droppingConn{Conn: raw}
			d.mu.Lock()
			d.conns = append(d.conns, c)
			d.mu.Unlock()
			// The address may have been blocked, and the open connections silenced, while this one was opened.
			if _, blocked := d.blockedAddresses.Load(address); blocked {
				c.dropWrites.Store(true)
			}
			return c, nil
		}})
	server := link.NewServer(link.ServerConfig{Listener: listener, Zone: z, Topology: topology, Counters: d.counters})
	if err := server.Register(d.Membership.Register); err != nil {
		t.Fatal(err)
	}
	d.relay = link.NewRelay(link.RelayConfig{Direct: direct, PollWait: 50 * time.Millisecond})
	if err := server.Register(d.relay.Register); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Run(ctx) })
	wg.Go(func() { _ = d.Membership.Run(ctx) })
	d.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(d.stop)
	return d
}

// introduce makes each daemon know all the others.
func introduce(ds ...*testDaemon) {
	for _, d := range ds {
		for _, other := range ds {
			d.UpdateMembers(other.Self())
		}
	}
}

// state returns the state of daemon id as d sees it, or "" if d does not know it.
func (d *testDaemon) state(id string) link.State {
	for _, m := range d.Membership.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

// Guards against a peer that is considered dead because the open connections to it became
// silent, although new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	a, b := startDaemon(t, "a", "z1", nil), startDaemon(t, "b", "z1", nil)
	introduce(a, b)
	eventually(t, "b alive", func() bool { return a.state("b") == link.Alive && b.state("a") == link.Alive })
	conn, err := a.Conn(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	dials := a.dials.Load()
	a.silenceOpenConns()
	time.Sleep(2 * time.Millisecond) // longer than ProbeIdleAfter
	// The idle connection of the pool is silent. The probe before use detects that.
	if _, err := rpc.NewDRPCLinkClient(conn).Probe(t.Context(), &rpc.ProbeRequest{}); err != nil {
		t.Errorf("call after connections went silent: %v", err)
	}
	eventually(t, "heartbeat connection replaced and b alive", func() bool { return a.dials.Load() > dials+1 && a.state("b") == link.Alive })
	if !a.Eligible("b") {
		t.Error("b is not eligible, as if it had been dead")
	}
}

// Guards against open calls that are cut off when the far end stops as planned: the leave
// record must only refuse new calls.
func TestOpenCallOutlivesLeave(t *testing.T) {
	a, b := startDaemon(t, "a", "z1", nil), startDaemon(t, "b", "z1", nil)
	introduce(a, b)
	conn, err := a.Conn(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	call, err := rpc.NewDRPCLinkClient(conn).Heartbeats(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	left := b.Self()
	left.State = link.Left
	a.UpdateMembers(left)
	eventually(t, "new calls refused", func() bool {
		_, err := a.Conn(t.Context(), "b")
		return errkind.Of(err) == errkind.Unreachable
	})
	for seq := uint64(1); seq <= 3; seq++ {
		if err := call.Send(&rpc.Beat{Seq: seq, Daemon: "a"}); err != nil {
			t.Fatalf("open call after the leave: %v", err)
		}
		if echo, err := call.Recv(); err != nil || echo.Seq != seq {
			t.Fatalf("open call after the leave: %v, %v", echo, err)
		}
	}
}

// Guards against a call that waits for ever on a connection that became silent.
func TestCallOnSilentConnectionFails(t *testing.T) {
	l := standin.NewLog(standin.LogConfig{})
	srv := httptest.NewServer(l)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	direct := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL})
	a, b := startDaemon(t, "a", "z1", direct), startDaemon(t, "b", "z1", direct)
	introduce(a, b)
	conn, err := a.Conn(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	client := rpc.NewDRPCLogRelayClient(conn)
	eventually(t, "relay reads", func() bool {
		_, err := client.ReadLog(t.Context(), &rpc.ReadLogRequest{Stream: "s", Limit: 1})
		return err == nil
	})
	ended := make(chan error, 1)
	go func() {
		for { // a poll that ends without an error is repeated
			if _, err := client.ReadLog(t.Context(), &rpc.ReadLogRequest{Stream: "s", Limit: 1, WaitMs: 3_600_000}); err != nil {
				ended <- err
				return
			}
		}
	}()
	time.Sleep(500 * time.Millisecond) // longer than KeepaliveTimeout: pongs keep the connection open
	select {
	case err := <-ended:
		t.Fatalf("call ended while the connection worked: %v", err)
	default:
	}
	a.silenceOpenConns()
	select {
	case <-ended:
	case <-time.After(eventuallyTimeout):
		t.Error("call on a silent connection still waits")
	}
}

// Guards against a peer that is considered dead because only the link to it is cut, while
// other peers reach it.
func TestIndirectProbe(t *testing.T) {
	a, b, c := startDaemon(t, "a", "z1", nil), startDaemon(t, "b", "z1", nil), startDaemon(t, "c", "z2", nil)
	introduce(a, b, c)
	eventually(t, "all alive", func() bool {
		return a.state("b") == link.Alive && a.state("c") == link.Alive && b.state("a") == link.Alive && c.state("b") == link.Alive
	})
	a.blockedAddresses.Store(b.Self().Address, true)
	b.blockedAddresses.Store(a.Self().Address, true)
	a.silenceOpenConns()
	b.silenceOpenConns()
	eventually(t, "b suspected", func() bool { return a.state("b") == link.Suspected })
	eventually(t, "b alive by a probe of c", func() bool { return a.state("b") == link.Alive })
	if !a.Eligible("b") {
		t.Error("b is not eligible, as if it had been dead")
	}
	c.blockedAddresses.Store(b.Self().Address, true)
	c.silenceOpenConns()
	eventually(t, "b dead when no peer reaches it", func() bool { return a.state("b") == link.Dead })
	a.blockedAddresses.Delete(b.Self().Address)
	b.blockedAddresses.Delete(a.Self().Address)
	eventually(t, "b alive again", func() bool { return a.state("b") == link.Alive })
	if a.Eligible("b") {
		t.Error("b is eligible before its stability time has passed")
	}
}

// Guards against an error of another kind than unreachable for a daemon that is not known or
// has stopped: the caller relies on it to know that nothing was sent.
func TestConnToUnknownOrStoppedPeer(t *testing.T) {
	a, b := startDaemon(t, "a", "z1", nil), startDaemon(t, "b", "z1", nil)
	introduce(a, b)
	if _, err := a.Conn(t.Context(), "nobody"); errkind.Of(err) != errkind.Unreachable {
		t.Errorf("error %v, want unreachable", err)
	}
	b.stop()
	if _, err := a.Conn(t.Context(), "b"); errkind.Of(err) != errkind.Unreachable {
		t.Errorf("error %v, want unreachable", err)
	}
}

// Guards against concurrent calls that wait for each other on one connection.
func TestConcurrentCallsDoNotWait(t *testing.T) {
	l := standin.NewLog(standin.LogConfig{})
	srv := httptest.NewServer(l)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	direct := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL})
	a, b := startDaemon(t, "a", "z1", direct), startDaemon(t, "b", "z1", direct)
	introduce(a, b)
	conn, err := a.Conn(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	client := rpc.NewDRPCLogRelayClient(conn)
	ctx, cancel := context.WithCancel(t.Context())
	waiting := make(chan struct{})
	eventually(t, "relay reads", func() bool {
		_, err := client.ReadLog(ctx, &rpc.ReadLogRequest{Stream: "s", Limit: 1})
		return err == nil
	})
	go func() { // a long poll, which the relay ends after RelayConfig.MaxWait
		defer close(waiting)
		_, _ = client.ReadLog(ctx, &rpc.ReadLogRequest{Stream: "s", Limit: 1, WaitMs: 3_600_000})
	}()
	for range 10 {
		if _, err := rpc.NewDRPCLinkClient(conn).Probe(ctx, &rpc.ProbeRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	<-waiting
}

// Guards against bytes that are counted at the wrong distance or not at all. What one end
// sends at a distance, the other end receives at the same distance.
func TestBytesPerDistance(t *testing.T) {
	a, b, c := startDaemon(t, "a", "z1", nil), startDaemon(t, "b", "z2", nil), startDaemon(t, "c", "z3", nil)
	introduce(a, b, c)
	eventually(t, "heartbeats flow", func() bool {
		for _, d := range []*testDaemon{a, b, c} {
			s := d.counters.Snapshot()
			if d != c && (s[zone.SameRegion].In < 1000 || s[zone.SameRegion].Out < 1000) || s[zone.CrossRegion].In < 1000 {
				return false
			}
		}
		return true
	})
	for _, d := range []*testDaemon{a, b, c} {
		d.stop()
	}
	if s := a.counters.Snapshot()[zone.SameZone]; s != (link.ByteCounts{}) {
		t.Errorf("bytes within the zone: %v, but the zone has one daemon", s)
	}
	sa, sb := a.counters.Snapshot()[zone.SameRegion], b.counters.Snapshot()[zone.SameRegion]
	// Bytes in flight when the daemons stop are counted at one end only.
	const inFlight = 512 // bytes
	if diff := int64(sa.Out) - int64(sb.In); diff < -inFlight || diff > inFlight {
		t.Errorf("a sent %d bytes, b received %d", sa.Out, sb.In)
	}
	if diff := int64(sb.Out) - int64(sa.In); diff < -inFlight || diff > inFlight {
		t.Errorf("b sent %d bytes, a received %d", sb.Out, sa.In)
	}
}
