package request

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// testCell fakes everything around the services: ownership, grants, peers, host list
// and configuration. The services talk real drpc and HTTP over loopback.
type testCell struct {
	t             testing.TB
	mu            sync.Mutex
	epoch         contract.Epoch // latest one given to an owner
	owners        map[contract.Key]keyOwner
	grants        map[contract.Key][]grantedRange
	members       map[string]link.Member
	hosts         []upstream.Host
	state         *config.State                         // configuration of all daemons
	watchers      map[string]func(contract.OwnerChange) // by daemon id
	withoutTenure map[string]bool                       // by daemon id: has no valid tenure
	releasedAt    map[contract.Key]contract.Epoch       // epoch of the predecessor that released the shard to its owner
	daemons       map[string]*testDaemon
	executors     map[string]*standin.Executor
	topology      *zone.Topology
}

// keyOwner is the owner of a key and its epoch.
type keyOwner struct {
	daemon string
	epoch  contract.Epoch
}

// grantedRange is a range of mint times granted to an owner.
type grantedRange struct {
	keyOwner
	from, to int64
}

// testDaemon runs a Service and implements link.Peers, contract.Ownership and Grants
// for it from the state of the cell.
type testDaemon struct {
	cell     *testCell
	id       string
	svc      *Service
	stop     context.CancelFunc
	pool     *drpcpool.Pool[string, drpcpool.Conn]
	silenced atomic.Pointer[chan struct{}] // if set, all connections dialled by this daemon are silent
	done     chan struct{}                 // closed when Run has returned
}

func newTestCell(t testing.TB) *testCell {
	topo, err := zone.NewTopology(map[zone.Region][]zone.Name{"west": {"w1", "w2"}, "east": {"e1"}})
	if err != nil {
		t.Fatal(err)
	}
	return &testCell{t: t, owners: map[contract.Key]keyOwner{}, grants: map[contract.Key][]grantedRange{},
		members: map[string]link.Member{}, watchers: map[string]func(contract.OwnerChange){},
		withoutTenure: map[string]bool{}, releasedAt: map[contract.Key]contract.Epoch{},
		daemons: map[string]*testDaemon{}, executors: map[string]*standin.Executor{}, topology: topo,
		state: &config.State{Customers: map[string]config.Customer{"acme": {Home: "west"}, "beta": {Home: "west"}, "east": {Home: "east"}}}}
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startExecutor starts a stand-in executor and adds it to the host list.
func (c *testCell) startExecutor(z zone.Name, group string, cfg standin.ExecutorConfig) *standin.Executor {
	x := standin.NewExecutor(listen(c.t), cfg)
	c.t.Cleanup(func() { _ = x.Close() })
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := cfg.Slots
	if slots == 0 {
		slots = 8
	}
	h := upstream.Host{ID: fmt.Sprintf("x%d", len(c.hosts)), Kind: upstream.ExecutorHost, Address: x.Address(), Zone: z,
		Group: group, State: upstream.Live, Slots: slots}
	c.hosts = append(c.hosts, h)
	c.executors[h.ID] = x
	return x
}

// startDaemon starts a daemon with short intervals; configure may change its
// configuration first.
func (c *testCell) startDaemon(id string, z zone.Name, configure func(*Config)) *testDaemon {
	region, _ := c.topology.Region(z)
	l := listen(c.t)
	d := &testDaemon{cell: c, id: id, done: make(chan struct{}),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Capacity: 256, KeyCapacity: 64})}
	c.mu.Lock()
	c.members[id] = link.Member{ID: id, Address: l.Addr().String(), Zone: z, Region: region, State: link.Alive}
	c.daemons[id] = d
	c.mu.Unlock()
	cfg := Config{Peers: d, Ownership: d, Grants: d, Hosts: c, View: c, Topology: c.topology, Seed: 7,
		HostsInterval: 50 * time.Millisecond, ProbeInterval: 100 * time.Millisecond, SilentAfter: 600 * time.Millisecond,
		LoadReportInterval: 20 * time.Millisecond, LoadReportBytesPerSecond: 64 << 10,
		BaseEjectionTime: 300 * time.Millisecond, DefaultDeadline: 10 * time.Second}
	if configure != nil {
		configure(&cfg)
	}
	var err error
	if d.svc, err = New(cfg); err != nil {
		c.t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := d.svc.Register(mux); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() { _ = drpcserver.New(mux).Serve(ctx, l) }()
	go func() { defer close(d.done); _ = d.svc.Run(ctx) }()
	c.t.Cleanup(func() { cancel(); <-d.done; _ = d.pool.Close() })
	return d
}

// setOwner makes a daemon the owner of keys, without a handover. For id shards it
// also grants a range that follows the previous grant.
func (c *testCell) setOwner(id string, keys ...contract.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range keys {
		c.epoch++
		delete(c.releasedAt, k)
		o := keyOwner{id, c.epoch}
		c.owners[k] = o
		if k.Kind() == contract.IDs {
			from := time.Now().Add(-time.Minute).UnixMilli()
			if gs := c.grants[k]; len(gs) > 0 {
				from = gs[len(gs)-1].to
			}
			c.grants[k] = append(c.grants[k], grantedRange{o, from, max(from, time.Now().UnixMilli()) + 120_000})
		}
		for who, fn := range c.watchers {
			fn(contract.OwnerChange{Key: k, Epoch: o.epoch, Owner: id, Held: who == id})
		}
	}
}

// setIDShardOwners makes the daemons the owners of the id shards of a region, in turn.
func (c *testCell) setIDShardOwners(region zone.Region, ids ...string) {
	for n := range 4 {
		c.setOwner(ids[n%len(ids)], contract.IDsKey(region, n))
	}
}

func (c *testCell) setMemberState(id string, s link.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	m.State = s
	c.members[id] = m
}

func (c *testCell) setHostState(id string, s upstream.HostState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.hosts {
		if c.hosts[i].ID == id {
			c.hosts[i].State = s
		}
	}
}

func (c *testCell) Hosts(context.Context) ([]upstream.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]upstream.Host(nil), c.hosts...), nil
}

func (c *testCell) Current() *config.State                  { return c.state }
func (c *testCell) Watch(func(*config.State)) (stop func()) { return func() {} }

func (d *testDaemon) Self() link.Member {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	return d.cell.members[d.id]
}

func (d *testDaemon) Members() (out []link.Member) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	for _, m := range d.cell.members {
		out = append(out, m)
	}
	return out
}

func (d *testDaemon) Conn(ctx context.Context, id string) (drpc.Conn, error) {
	d.cell.mu.Lock()
	m, ok := d.cell.members[id]
	d.cell.mu.Unlock()
	if !ok {
		return nil, errkind.New(errkind.Unreachable, "unknown_member", "%s", id)
	}
	return d.pool.Get(ctx, m.Address, func(ctx context.Context, addr string) (drpcpool.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, errkind.Wrap(errkind.Unreachable, "dial_failed", err)
		}
		return drpcconn.New(&silencedConn{Conn: conn, d: d}), nil
	}), nil
}

// silencedConn discards what is written while its daemon is silenced.
type silencedConn struct {
	net.Conn
	d *testDaemon
}

func (q *silencedConn) Write(b []byte) (int, error) {
	if q.d.silenced.Load() != nil {
		return len(b), nil
	}
	return q.Conn.Write(b)
}

func (d *testDaemon) Owner(k contract.Key) (string, contract.Epoch, bool) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	o, ok := d.cell.owners[k]
	return o.daemon, o.epoch, ok
}

func (d *testDaemon) Tenure(k contract.Key) (contract.Tenure, bool) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	o, ok := d.cell.owners[k]
	ok = ok && o.daemon == d.id && !d.cell.withoutTenure[d.id]
	return contract.Tenure{Epoch: o.epoch, Deadline: time.Now().Add(time.Second)}, ok
}

func (d *testDaemon) Held() (out []contract.Key) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	for k, o := range d.cell.owners {
		if o.daemon == d.id {
			out = append(out, k)
		}
	}
	return out
}

func (d *testDaemon) Watch(fn func(contract.OwnerChange)) (stop func()) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	for k, o := range d.cell.owners {
		if o.daemon == d.id {
			fn(contract.OwnerChange{Key: k, Epoch: o.epoch, Owner: d.id, Held: true})
		}
	}
	d.cell.watchers[d.id] = fn
	return func() { d.cell.mu.Lock(); delete(d.cell.watchers, d.id); d.cell.mu.Unlock() }
}

func (d *testDaemon) Range(k contract.Key) (from, to int64, e contract.Epoch, ok bool) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	for _, g := range d.cell.grants[k] {
		if g.daemon == d.id && g.keyOwner == d.cell.owners[k] {
			from, to, e, ok = g.from, g.to, g.epoch, true
		}
	}
	return from, to, e, ok
}

func (d *testDaemon) Granted(k contract.Key, ms int64) (contract.Epoch, string, bool) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	for _, g := range d.cell.grants[k] {
		if g.from <= ms && ms < g.to {
			return g.epoch, g.daemon, true
		}
	}
	return 0, "", false
}

func (d *testDaemon) LastGrantEnd(k contract.Key) (h int64) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	for _, g := range d.cell.grants[k] {
		h = max(h, g.to)
	}
	return h
}

func (d *testDaemon) Predecessor(k contract.Key) (predecessor, own contract.Epoch, ok bool) {
	d.cell.mu.Lock()
	defer d.cell.mu.Unlock()
	o := d.cell.owners[k]
	return d.cell.releasedAt[k], o.epoch, o.daemon == d.id && d.cell.releasedAt[k] != 0
}

// waitForSlots waits until each of the daemons knows of that many slots in total.
func (c *testCell) waitForSlots(slots int, ds ...*testDaemon) {
	c.t.Helper()
	for _, d := range ds {
		eventually(c.t, "daemon "+d.id+" knows the slots", func() bool {
			n := 0
			for _, g := range d.svc.Stats().KnownGroups {
				n += g.Slots
			}
			return n >= slots
		})
	}
}

// eventually waits until ok returns true, and fails the test after a minute.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached within a minute: %s", what)
		}
	}
}

// runCounts returns the number of runs by request id, from the executors' records.
func (c *testCell) runCounts() map[string]int {
	out := map[string]int{}
	for _, x := range c.executors {
		for _, r := range x.Records().Runs {
			out[r.ID]++
		}
	}
	return out
}

// checkExecutorLimits fails the test if an executor had more than slots runs at a
// time or had to refuse connections.
func (c *testCell) checkExecutorLimits(slots int) {
	c.t.Helper()
	for id, x := range c.executors {
		if r := x.Records(); r.MaxBusy > slots || r.RefusedConnections > 0 {
			c.t.Errorf("executor %s: up to %d runs at a time on %d slots, %d connections refused, want none",
				id, r.MaxBusy, slots, r.RefusedConnections)
		}
	}
}
