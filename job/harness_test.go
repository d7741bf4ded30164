package job

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/platform"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// The times of the tests keep the proportions of the defaults.
const (
	testTenure   = 300 * time.Millisecond
	testTakeover = 400 * time.Millisecond
	testLease    = 2 * time.Second
	testRenew    = 250 * time.Millisecond
)

// registry stands for the folded control stream: every daemon sees the same claims.
type registry struct {
	mu      sync.Mutex
	epoch   contract.Epoch
	keys    map[contract.Key]claim
	daemons map[string]*daemon
}

type claim struct {
	owner string
	epoch contract.Epoch
}

// give makes a daemon the owner of keys, which may act after the takeover wait.
func (r *registry) give(d *daemon, wait time.Duration, keys ...contract.Key) {
	r.mu.Lock()
	for _, k := range keys {
		r.epoch++
		e := r.epoch
		r.keys[k] = claim{d.id, e}
		for _, o := range r.daemons {
			if o != d && !o.frozen {
				o.tell(contract.Change{Key: k, Epoch: e, Owner: d.id})
			}
		}
		time.AfterFunc(wait, func() { d.mine(k, e) })
	}
	r.mu.Unlock()
}

func (d *daemon) mine(k contract.Key, e contract.Epoch) {
	d.reg.mu.Lock()
	defer d.reg.mu.Unlock()
	if d.reg.keys[k] != (claim{d.id, e}) {
		return
	}
	d.held[k] = e
	if !d.frozen {
		d.tell(contract.Change{Key: k, Epoch: e, Owner: d.id, Mine: true})
	}
}

// daemon is one in-process daemon with its own drpc listener.
type daemon struct {
	id      string
	reg     *registry
	address string
	rack    *Rack
	sched   *Scheduler
	cancel  context.CancelFunc
	done    sync.WaitGroup
	gate    *gate

	// guarded by reg.mu
	held     map[contract.Key]contract.Epoch // keys it may act for, as far as it knows
	frozen   bool                            // confirms no tenure and hears of no change
	frozenAt time.Time
	cut      map[string]bool // daemons that it cannot call
	conns    map[string]*drpcconn.Conn
	watchers []func(contract.Change)
	changes  chan contract.Change
}

func (d *daemon) tell(c contract.Change) { d.changes <- c }

func (d *daemon) Owner(k contract.Key) (string, contract.Epoch, bool) {
	d.reg.mu.Lock()
	defer d.reg.mu.Unlock()
	c, ok := d.reg.keys[k]
	if e, mine := d.held[k]; mine && d.frozen {
		return d.id, e, true
	}
	return c.owner, c.epoch, ok
}

func (d *daemon) Tenure(k contract.Key) (contract.Tenure, bool) {
	d.reg.mu.Lock()
	defer d.reg.mu.Unlock()
	e, ok := d.held[k]
	if !ok {
		return contract.Tenure{}, false
	}
	confirmed := time.Now()
	if d.frozen {
		confirmed = d.frozenAt
	} else if d.reg.keys[k].epoch != e {
		delete(d.held, k)
		return contract.Tenure{}, false
	}
	t := contract.Tenure{Epoch: e, Deadline: confirmed.Add(testTenure)}
	return t, time.Now().Before(t.Deadline)
}

func (d *daemon) Held() []contract.Key { return nil }

func (d *daemon) Watch(fn func(contract.Change)) func() {
	d.reg.mu.Lock()
	d.watchers = append(d.watchers, fn)
	held := make(map[contract.Key]contract.Epoch)
	for k, e := range d.held {
		held[k] = e
	}
	d.reg.mu.Unlock()
	for k, e := range held {
		fn(contract.Change{Key: k, Epoch: e, Owner: d.id, Mine: true})
	}
	return func() {}
}

// freeze stops confirmations and news, as a pause or a partition does.
func (d *daemon) freeze() {
	d.reg.mu.Lock()
	d.frozen, d.frozenAt = true, time.Now()
	d.reg.mu.Unlock()
	d.gate.shut()
}

// partition cuts the daemon off from the log and from all daemons. It still
// reaches the workers.
func (d *daemon) partition() {
	d.reg.mu.Lock()
	d.frozen, d.frozenAt = true, time.Now()
	d.reg.mu.Unlock()
}

// thaw ends a freeze: held messages go out first, then the daemon reads the news.
func (d *daemon) thaw() {
	d.gate.open()
	d.reg.mu.Lock()
	defer d.reg.mu.Unlock()
	d.frozen = false
	for k, e := range d.held {
		if c := d.reg.keys[k]; c.epoch != e {
			delete(d.held, k)
			d.tell(contract.Change{Key: k, Epoch: c.epoch, Owner: c.owner})
		}
	}
}

func (d *daemon) Self() link.Member      { return link.Member{ID: d.id, Address: d.address} }
func (d *daemon) Members() []link.Member { return nil }

func (d *daemon) Conn(ctx context.Context, id string) (drpc.Conn, error) {
	d.reg.mu.Lock()
	to := d.reg.daemons[id]
	cut := to == nil || d.cut[id] || to.cut[d.id] || d.frozen || to.frozen
	c := d.conns[id]
	d.reg.mu.Unlock()
	if cut {
		return nil, errkind.New(errkind.Unreachable, "cut", "%s cannot be reached", id)
	}
	if c != nil {
		select {
		case <-c.Closed():
		default:
			return c, nil
		}
	}
	tcp, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, errkind.Wrap(errkind.Unreachable, "dial", err)
	}
	c = drpcconn.New(tcp)
	d.reg.mu.Lock()
	d.conns[id] = c
	d.reg.mu.Unlock()
	return c, nil
}

// kill ends the daemon at once.
func (d *daemon) kill() {
	d.gate.open()
	d.cancel()
	d.done.Wait()
}

// gate is a transport that holds requests while it is shut, after the sender
// has checked its tenure.
type gate struct {
	next http.RoundTripper
	mu   sync.Mutex
	wait chan struct{} // nil while open
	held int           // requests that were held
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wait == nil {
		g.wait = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wait != nil {
		close(g.wait)
		g.wait = nil
	}
}

func (g *gate) heldRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

func (g *gate) RoundTrip(r *http.Request) (*http.Response, error) {
	g.mu.Lock()
	wait := g.wait
	if wait != nil {
		g.held++
	}
	g.mu.Unlock()
	if wait != nil {
		<-wait
		// The timer of the caller stood still as well.
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	return g.next.RoundTrip(r)
}

// cell is a whole cell of one region.
type cell struct {
	t       *testing.T
	reg     *registry
	log     *memLog
	hosts   *hostList
	wants   *intentions
	workers map[string]*standin.Worker
	racks   []contract.Key
	daemons []*daemon
}

type hostList struct {
	mu   sync.Mutex
	list []platform.Host
}

func (h *hostList) Hosts(context.Context) ([]platform.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]platform.Host(nil), h.list...), nil
}

type intentions struct {
	mu   sync.Mutex
	jobs []workload.Job
}

func (i *intentions) set(jobs ...workload.Job) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.jobs = jobs
}

func (i *intentions) Desired(time.Time) []workload.Job {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.jobs
}

func (i *intentions) Has(team string) (config.Team, bool) {
	return config.Team{Name: team, Home: "north", Quota: machine.Resources{CPUMilli: 1e9, MemoryMiB: 1e9, Accelerators: 1e6}, Weight: 1}, team != "nobody"
}

var workerSize = machine.Resources{CPUMilli: 4000, MemoryMiB: 8192, Accelerators: 2}

// newCell starts daemons over racks of workers. Daemon i owns rack i; the last
// daemon owns the one job shard.
func newCell(t *testing.T, daemons, racks, perRack int) *cell {
	t.Helper()
	c := &cell{
		t: t, reg: &registry{epoch: 10, keys: make(map[contract.Key]claim), daemons: make(map[string]*daemon)},
		log: newMemLog(), hosts: &hostList{}, wants: &intentions{}, workers: make(map[string]*standin.Worker),
	}
	for r := range racks {
		name := string(rune('a' + r))
		c.racks = append(c.racks, contract.RackKey("n1", name))
		for w := range perRack {
			c.addWorker(name, name+"-"+string(rune('0'+w)))
		}
	}
	for i := range daemons {
		c.daemons = append(c.daemons, c.newDaemon("d"+string(rune('0'+i))))
	}
	for i, k := range c.racks {
		c.reg.give(c.daemons[i%len(c.daemons)], 0, k)
	}
	c.reg.give(c.daemons[daemons-1], 0, c.shard())
	return c
}

func (c *cell) shard() contract.Key { return contract.JobsKey("north", 0) }

func (c *cell) addWorker(rack, id string) {
	w := standin.NewWorker(standin.WorkerConfig{ID: id, Capacity: workerSize})
	srv := httptest.NewServer(w)
	c.t.Cleanup(func() { srv.Close(); w.Close() })
	c.workers[id] = w
	c.hosts.list = append(c.hosts.list, platform.Host{
		ID: id, Kind: platform.WorkerHost, Address: srv.Listener.Addr().String(), Zone: "n1", Rack: rack,
		State: platform.Live, Resources: workerSize,
	})
}

func (c *cell) newDaemon(id string) *daemon {
	c.t.Helper()
	top, err := zone.NewTopology(map[zone.Region][]zone.Name{"north": {"n1"}})
	if err != nil {
		c.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	d := &daemon{
		id: id, reg: c.reg, address: ln.Addr().String(), held: make(map[contract.Key]contract.Epoch),
		cut: make(map[string]bool), conns: make(map[string]*drpcconn.Conn), changes: make(chan contract.Change, 1000),
	}
	d.gate = &gate{next: &http.Transport{MaxIdleConnsPerHost: 4}}
	engine := func() Engine { return placement.New(placement.Config{BackoffBase: 20 * time.Millisecond}) }
	logger := zerolog.Nop()
	d.rack = NewRack(RackConfig{
		Ownership: d, Peers: d, Hosts: c.hosts, Topology: top, Region: "north", NewEngine: engine, Shards: 1,
		Lease: testLease, RenewEvery: testRenew, ProbeEvery: 100 * time.Millisecond, WorkerTimeout: time.Second,
		ReportEvery: 10 * time.Millisecond, ReportAgain: 100 * time.Millisecond, HostsEvery: 100 * time.Millisecond,
		NewTransport: func() http.RoundTripper { return d.gate }, Logger: logger,
	})
	d.sched = NewScheduler(SchedulerConfig{
		Ownership: d, Peers: d, Hosts: c.hosts, Log: c.log, Topology: top, Region: "north", Intentions: c.wants,
		NewEngine: engine, Shards: 1, RetryEvery: 50 * time.Millisecond, HostsEvery: 100 * time.Millisecond,
		ReconcileEvery: 50 * time.Millisecond, CallTimeout: time.Second, Logger: logger,
	})
	Join(d.rack, d.sched)
	mux := drpcmux.New()
	if err := rpc.DRPCRegisterRackOwner(mux, d.rack); err != nil {
		c.t.Fatal(err)
	}
	if err := rpc.DRPCRegisterJobScheduler(mux, d.sched); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	c.reg.mu.Lock()
	c.reg.daemons[id] = d
	c.reg.mu.Unlock()
	d.done.Go(func() { _ = drpcserver.New(mux).Serve(ctx, ln) })
	d.done.Go(func() { _ = d.rack.Run(ctx) })
	d.done.Go(func() { _ = d.sched.Run(ctx) })
	d.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case ch := <-d.changes:
				c.reg.mu.Lock()
				ws := slices.Clone(d.watchers)
				c.reg.mu.Unlock()
				for _, w := range ws {
					w(ch)
				}
			}
		}
	})
	c.t.Cleanup(d.kill)
	return d
}
