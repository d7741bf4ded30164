package job

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// cell is a whole cell of one region.
type cell struct {
	t       testing.TB
	change  func(*RackOwnerConfig)
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
	list []upstream.Host
}

func (h *hostList) Hosts(context.Context) ([]upstream.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]upstream.Host(nil), h.list...), nil
}

type intentions struct {
	mu   sync.Mutex
	jobs []workload.Job

	asked atomic.Int32 // for entryOnly
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

// entryOnly is a team that is known to the first daemon that asks, the entry, and
// not yet to the job scheduler.
const entryOnly = "entry-only"

func (i *intentions) Team(team string) (config.Team, bool) {
	if team == entryOnly && i.asked.Add(1) > 1 {
		return config.Team{}, false
	}
	return config.Team{Name: team, Home: "north", Quota: machine.Resources{CPUMilli: 1e9, MemoryMiB: 1e9, Accelerators: 1e6}, Weight: 1}, team != "nobody"
}

var workerSize = machine.Resources{CPUMilli: 4000, MemoryMiB: 8192, Accelerators: 2}

// newCell starts daemons over racks of workers. Daemon i owns rack i; the last
// daemon owns the one job shard.
func newCell(t testing.TB, daemons, racks, perRack int) *cell {
	t.Helper()
	return newCellWith(t, daemons, racks, perRack, func(*RackOwnerConfig) {})
}

// newCellWith is newCell with a change to the configuration of the rack owners.
func newCellWith(t testing.TB, daemons, racks, perRack int, change func(*RackOwnerConfig)) *cell {
	t.Helper()
	c := &cell{
		t: t, change: change, reg: &registry{epoch: 10, keys: make(map[contract.Key]claim), daemons: make(map[string]*daemon)},
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
	c.hosts.list = append(c.hosts.list, upstream.Host{
		ID: id, Kind: upstream.WorkerHost, Address: srv.Listener.Addr().String(), Zone: "n1", Rack: rack,
		State: upstream.Live, Resources: workerSize,
	})
}

// address returns the address of a worker.
func (c *cell) address(id string) string {
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	for _, h := range c.hosts.list {
		if h.ID == id {
			return h.Address
		}
	}
	c.t.Fatalf("no worker %s", id)
	return ""
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
	cfg := RackOwnerConfig{
		Ownership: d, Peers: d, Hosts: c.hosts, Topology: top, Region: "north", NewEngine: engine, Shards: 1,
		Lease: testLease, RenewEvery: testRenew, ProbeEvery: 100 * time.Millisecond, WorkerTimeout: time.Second,
		ReportEvery: 10 * time.Millisecond, ResendEvery: 100 * time.Millisecond, HostsEvery: 100 * time.Millisecond,
		NewTransport: func() http.RoundTripper { return d.gate }, Logger: zerolog.Nop(),
	}
	c.change(&cfg)
	d.rack = NewRackOwner(cfg)
	d.sched = NewScheduler(SchedulerConfig{
		Ownership: d, Peers: d, Hosts: c.hosts, Log: c.log, Topology: top, Region: "north", Intentions: c.wants,
		NewEngine: engine, Shards: 1, RetryPause: 50 * time.Millisecond, HostsEvery: 100 * time.Millisecond,
		ReconcileEvery: 50 * time.Millisecond, CallTimeout: time.Second, AdoptEvery: 200 * time.Millisecond, Logger: cfg.Logger,
	})
	ConnectInProcess(d.rack, d.sched)
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
