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

// cell is a fake of everything around the services: ownership, grants, peers,
// host list and configuration, with real drpc and HTTP over loopback.
type cell struct {
	t       testing.TB
	mu      sync.Mutex
	epoch   contract.Epoch
	owners  map[contract.Key]owned
	grants  map[contract.Key][]granted
	members map[string]link.Member
	hosts   []upstream.Host
	state   *config.State
	watch   map[string]func(contract.OwnerChange)
	paused  map[string]bool                 // daemons without tenure
	from    map[contract.Key]contract.Epoch // epoch that released the shard to its owner
	daemons map[string]*daemon
	execs   map[string]*standin.Executor
	topo    *zone.Topology
}

type owned struct {
	daemon string
	epoch  contract.Epoch
}

type granted struct {
	owned
	from, to int64
}

type daemon struct {
	c       *cell
	id      string
	svc     *Service
	stop    context.CancelFunc
	pool    *drpcpool.Pool[string, drpcpool.Conn]
	silence atomic.Pointer[chan struct{}] // set: connections dialled so far are silent
	done    chan struct{}
}

func newCell(t testing.TB) *cell {
	topo, err := zone.NewTopology(map[zone.Region][]zone.Name{"west": {"w1", "w2"}, "east": {"e1"}})
	if err != nil {
		t.Fatal(err)
	}
	return &cell{t: t, owners: map[contract.Key]owned{}, grants: map[contract.Key][]granted{},
		members: map[string]link.Member{}, watch: map[string]func(contract.OwnerChange){}, paused: map[string]bool{}, from: map[contract.Key]contract.Epoch{},
		daemons: map[string]*daemon{}, execs: map[string]*standin.Executor{}, topo: topo,
		state: &config.State{Customers: map[string]config.Customer{"acme": {Home: "west"}, "beta": {Home: "west"}, "east": {Home: "east"}}}}
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// executor starts a stand-in executor and lists it.
func (c *cell) executor(z zone.Name, group string, cfg standin.ExecutorConfig) *standin.Executor {
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
	c.execs[h.ID] = x
	return x
}

// daemon starts a daemon with short intervals.
func (c *cell) daemon(id string, z zone.Name, change func(*Config)) *daemon {
	region, _ := c.topo.Region(z)
	l := listen(c.t)
	d := &daemon{c: c, id: id, done: make(chan struct{}),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Capacity: 256, KeyCapacity: 64})}
	c.mu.Lock()
	c.members[id] = link.Member{ID: id, Address: l.Addr().String(), Zone: z, Region: region, State: link.Alive}
	c.daemons[id] = d
	c.mu.Unlock()
	cfg := Config{Peers: d, Ownership: d, Grants: d, Hosts: c, View: c, Topology: c.topo, Seed: 7,
		HostsInterval: 50 * time.Millisecond, ProbeInterval: 100 * time.Millisecond, SilentAfter: 600 * time.Millisecond,
		LoadInterval: 20 * time.Millisecond, LoadBytes: 64 << 10, EjectTime: 300 * time.Millisecond, DefaultDeadline: 10 * time.Second}
	if change != nil {
		change(&cfg)
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

// own makes a daemon the owner of keys and grants it ranges of id shards.
func (c *cell) own(id string, keys ...contract.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range keys {
		c.epoch++
		delete(c.from, k)
		o := owned{id, c.epoch}
		c.owners[k] = o
		if k.Kind() == contract.IDs {
			from := time.Now().Add(-time.Minute).UnixMilli()
			if gs := c.grants[k]; len(gs) > 0 {
				from = gs[len(gs)-1].to
			}
			c.grants[k] = append(c.grants[k], granted{o, from, max(from, time.Now().UnixMilli()) + 120_000})
		}
		for who, fn := range c.watch {
			fn(contract.OwnerChange{Key: k, Epoch: o.epoch, Owner: id, Held: who == id})
		}
	}
}

func (c *cell) ownIDs(region zone.Region, ids ...string) {
	for n := range 4 {
		c.own(ids[n%len(ids)], contract.IDsKey(region, n))
	}
}

func (c *cell) setMember(id string, s link.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	m.State = s
	c.members[id] = m
}

func (c *cell) setHost(id string, s upstream.HostState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.hosts {
		if c.hosts[i].ID == id {
			c.hosts[i].State = s
		}
	}
}

func (c *cell) Hosts(context.Context) ([]upstream.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]upstream.Host(nil), c.hosts...), nil
}

func (c *cell) Current() *config.State                  { return c.state }
func (c *cell) Watch(func(*config.State)) (stop func()) { return func() {} }

func (d *daemon) Self() link.Member {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	return d.c.members[d.id]
}

func (d *daemon) Members() (out []link.Member) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for _, m := range d.c.members {
		out = append(out, m)
	}
	return out
}

func (d *daemon) Conn(ctx context.Context, id string) (drpc.Conn, error) {
	d.c.mu.Lock()
	m, ok := d.c.members[id]
	d.c.mu.Unlock()
	if !ok {
		return nil, errkind.New(errkind.Unreachable, "unknown_member", "%s", id)
	}
	return d.pool.Get(ctx, m.Address, func(ctx context.Context, addr string) (drpcpool.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, errkind.Wrap(errkind.Unreachable, "dial_failed", err)
		}
		return drpcconn.New(&quietConn{Conn: conn, d: d}), nil
	}), nil
}

// quietConn swallows what is written while silence is set.
type quietConn struct {
	net.Conn
	d *daemon
}

func (q *quietConn) Write(b []byte) (int, error) {
	if q.d.silence.Load() != nil {
		return len(b), nil
	}
	return q.Conn.Write(b)
}

func (d *daemon) Owner(k contract.Key) (string, contract.Epoch, bool) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	o, ok := d.c.owners[k]
	return o.daemon, o.epoch, ok
}

func (d *daemon) Tenure(k contract.Key) (contract.Tenure, bool) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	o, ok := d.c.owners[k]
	ok = ok && o.daemon == d.id && !d.c.paused[d.id]
	return contract.Tenure{Epoch: o.epoch, Deadline: time.Now().Add(time.Second)}, ok
}

func (d *daemon) Held() (out []contract.Key) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for k, o := range d.c.owners {
		if o.daemon == d.id {
			out = append(out, k)
		}
	}
	return out
}

func (d *daemon) Watch(fn func(contract.OwnerChange)) (stop func()) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for k, o := range d.c.owners {
		if o.daemon == d.id {
			fn(contract.OwnerChange{Key: k, Epoch: o.epoch, Owner: d.id, Held: true})
		}
	}
	d.c.watch[d.id] = fn
	return func() { d.c.mu.Lock(); delete(d.c.watch, d.id); d.c.mu.Unlock() }
}

func (d *daemon) Range(k contract.Key) (from, to int64, e contract.Epoch, ok bool) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for _, g := range d.c.grants[k] {
		if g.daemon == d.id && g.owned == d.c.owners[k] {
			from, to, e, ok = g.from, g.to, g.epoch, true
		}
	}
	return from, to, e, ok
}

func (d *daemon) Granted(k contract.Key, ms int64) (contract.Epoch, string, bool) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for _, g := range d.c.grants[k] {
		if g.from <= ms && ms < g.to {
			return g.epoch, g.daemon, true
		}
	}
	return 0, "", false
}

func (d *daemon) LastGrantEnd(k contract.Key) (h int64) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	for _, g := range d.c.grants[k] {
		h = max(h, g.to)
	}
	return h
}

func (d *daemon) Predecessor(k contract.Key) (predecessor, own contract.Epoch, ok bool) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	o := d.c.owners[k]
	return d.c.from[k], o.epoch, o.daemon == d.id && d.c.from[k] != 0
}

// ready waits until daemon d has usable slots in every group that it knows.
func (c *cell) ready(slots int, ds ...*daemon) {
	c.t.Helper()
	for _, d := range ds {
		eventually(c.t, "daemon "+d.id+" knows the slots", func() bool {
			n := 0
			for _, g := range d.svc.Stats().Known {
				n += g.Slots
			}
			return n >= slots
		})
	}
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// runs returns all runs in the executors' records by request id.
func (c *cell) runs() map[string]int {
	out := map[string]int{}
	for _, x := range c.execs {
		for _, r := range x.Records().Runs {
			out[r.ID]++
		}
	}
	return out
}

// withinLimits fails if an executor had more runs or connections than it allows.
func (c *cell) withinLimits(slots int) {
	c.t.Helper()
	for id, x := range c.execs {
		if r := x.Records(); r.MaxBusy > slots || r.RefusedConnections > 0 {
			c.t.Errorf("executor %s: %d busy of %d, %d connections refused", id, r.MaxBusy, slots, r.RefusedConnections)
		}
	}
}
