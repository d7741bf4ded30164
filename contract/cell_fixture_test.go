package contract_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// eventTimeout is how long tests wait for an event. It is generous, for slow machines.
const eventTimeout = 60 * time.Second

// cell is a fixture: daemons in this process, which reach each other over TCP, and stand-ins
// for the log and the host list, which they reach over HTTP.
type cell struct {
	t         testing.TB
	log       *standin.Log
	hosts     *standin.HostList
	logURL    string
	hostsURL  string
	topology  *zone.Topology
	daemons   map[string]*daemon
	configure func(*contract.Config) // changes the configuration of daemons started later; may be nil

	byAddress   sync.Map    // address -> *daemon
	partitioned atomic.Bool // daemons of different regions cannot reach each other
}

// daemon is one daemon of a cell, as far as ownership needs it.
type daemon struct {
	id         string
	members    *link.Membership
	claimer    *contract.Claimer
	grants     *contract.Grants
	counters   *link.ByteCounters
	server     *link.Server
	logBytes   link.ByteCounters // of the HTTP connections to the log, counted as SameZone
	logBlocked atomic.Bool       // this daemon cannot reach the log
	isolated   atomic.Bool       // its connections to peers carry nothing and cannot be opened
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// newCell returns a cell with 4 racks in zone lom-bergamo and no daemons. It stops the
// daemons at the end of the test.
func newCell(t testing.TB, cfg standin.LogConfig) *cell {
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}})
	if err != nil {
		t.Fatal(err)
	}
	c := &cell{t: t, log: standin.NewLog(cfg), hosts: standin.NewHostList(0), topology: topology, daemons: make(map[string]*daemon)}
	logServer, hostServer := httptest.NewServer(c.log), httptest.NewServer(c.hosts)
	c.logURL, c.hostsURL = logServer.URL, hostServer.URL
	t.Cleanup(func() {
		for _, d := range c.daemons {
			d.stop()
		}
		logServer.CloseClientConnections()
		logServer.Close()
		hostServer.Close()
	})
	for i := range 4 {
		c.hosts.Set(upstream.Host{ID: fmt.Sprintf("w%d", i), Kind: upstream.WorkerHost, Zone: "lom-bergamo", Rack: fmt.Sprintf("r%d", i), State: upstream.Live})
	}
	return c
}

// gatedTransport fails requests, like a refused connection, while blocked is set.
type gatedTransport struct {
	blocked *atomic.Bool
	rt      http.RoundTripper
}

func (g gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if g.blocked.Load() {
		return nil, errors.New("connection refused by the test")
	}
	return g.rt.RoundTrip(r)
}

// gatedConn drops what is written and what is read while blocked returns true.
type gatedConn struct {
	net.Conn
	blocked func() bool
}

func (g gatedConn) Write(p []byte) (int, error) {
	if g.blocked() {
		return len(p), nil
	}
	return g.Conn.Write(p)
}

func (g gatedConn) Read(p []byte) (int, error) {
	for {
		n, err := g.Conn.Read(p)
		if err != nil || !g.blocked() {
			return n, err
		}
	}
}

// start starts a daemon and puts it on the host list. The incarnation must grow between
// starts of the same id.
func (c *cell) start(id string, z zone.Name, incarnation uint64) *daemon {
	c.t.Helper()
	region, _ := c.topology.Region(z)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	d := &daemon{id: id, counters: &link.ByteCounters{}}
	self := link.Member{ID: id, Address: listener.Addr().String(), Zone: z, Region: region}
	d.members = link.NewMembership(link.Config{Self: self, Incarnation: incarnation, Topology: c.topology, Counters: d.counters,
		HeartbeatInterval: 50 * time.Millisecond, SuspectAfter: 400 * time.Millisecond, EchoTimeout: 250 * time.Millisecond,
		ProbeTimeout: 200 * time.Millisecond, DialTimeout: 200 * time.Millisecond, Stability: 500 * time.Millisecond,
		StabilityMax: 10 * time.Second, Dial: c.dial(d)})
	client := &http.Client{Transport: gatedTransport{&d.logBlocked, &http.Transport{DialContext: d.dialLog}}}
	direct := upstream.NewLogClient(upstream.ClientConfig{BaseURL: c.logURL, HTTP: client})
	cfg := contract.Config{Members: d.members, Incarnation: incarnation,
		Log:   link.NewRelayedLog(link.RelayedLogConfig{Direct: direct, Peers: d.members, LogRegion: "lombardy"}),
		Hosts: upstream.NewHostClient(upstream.ClientConfig{BaseURL: c.hostsURL}), Topology: c.topology,
		JobShards: 4, IDShards: 4, Tenure: 500 * time.Millisecond, TakeoverWait: 700 * time.Millisecond, RankDelay: 150 * time.Millisecond, PostIsolationWait: 400 * time.Millisecond,
		Tick: 20 * time.Millisecond, PollWait: 100 * time.Millisecond, HostsInterval: 100 * time.Millisecond, BalanceInterval: 300 * time.Millisecond,
		ResolveTimeout: 400 * time.Millisecond, SnapshotRecords: 1000}
	if c.configure != nil {
		c.configure(&cfg)
	}
	if d.claimer, err = contract.NewClaimer(cfg); err != nil {
		c.t.Fatal(err)
	}
	d.grants = contract.NewGrants(d.claimer, contract.GrantsConfig{Interval: 30 * time.Millisecond})
	relay := link.NewRelay(link.RelayConfig{Direct: direct, PollWait: 100 * time.Millisecond})
	d.server = link.NewServer(link.ServerConfig{Listener: listener, Zone: z, Topology: c.topology, Counters: d.counters})
	for _, registration := range []error{d.server.Register(d.members.Register), d.server.Register(d.claimer.Register), d.server.Register(relay.Register)} {
		if registration != nil {
			c.t.Fatal(registration)
		}
	}
	c.daemons[fmt.Sprint(id, "#", incarnation)] = d
	c.byAddress.Store(self.Address, d)
	c.hosts.Set(upstream.Host{ID: id, Kind: upstream.DaemonHost, Address: self.Address, Zone: z, State: upstream.Live})
	d.run(d.server.Run, d.members.Run, d.claimer.Run, d.grants.Run)
	return d
}

// dialLog opens a connection to the log whose bytes are counted in d.logBytes.
func (d *daemon) dialLog(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.logBytes.CountConn(conn, zone.SameZone), nil
}

// dial returns the function by which d opens connections to peers. It fails while d is
// separated from the peer, and connections that are open then carry nothing.
func (c *cell) dial(d *daemon) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		blocked := func() bool { return c.separated(d, address) }
		if blocked() {
			return nil, errors.New("connection refused by the test")
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return gatedConn{conn, blocked}, nil
	}
}

// separated reports whether d and the daemon at address cannot reach each other.
func (c *cell) separated(d *daemon, address string) bool {
	other, ok := c.byAddress.Load(address)
	if !ok {
		return d.isolated.Load()
	}
	peer := other.(*daemon)
	return d.isolated.Load() || peer.isolated.Load() || (c.partitioned.Load() && d.members.Self().Region != peer.members.Self().Region)
}

// run starts parts of the daemon, which run until stop is called.
func (d *daemon) run(parts ...func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, part := range parts {
		d.wg.Go(func() { _ = part(ctx) })
	}
}

// stop ends all goroutines of the daemon without a release of its keys, as SIGKILL would.
func (d *daemon) stop() {
	d.cancel()
	d.wg.Wait()
}

// setIsolated isolates d from its peers, or ends that.
func (d *daemon) setIsolated(on bool) { d.isolated.Store(on) }

// eventually polls until cond returns true. It fails the test after eventTimeout.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("%s: not seen within %v", what, eventTimeout)
}

// holdExactly returns a condition that is true while ds together hold n keys, and no key is
// held by two of them.
func holdExactly(n int, ds ...*daemon) func() bool {
	return func() bool {
		seen := make(map[contract.Key]bool)
		for _, d := range ds {
			for _, k := range d.claimer.Held() {
				if seen[k] {
					return false
				}
				seen[k] = true
			}
		}
		return len(seen) == n
	}
}
