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

// cell is the fixture of most tests: a cell of one region with in-process daemons, stand-ins
// for the workers, and a log in memory.
type cell struct {
	t            testing.TB
	changeConfig func(*RackOwnerConfig)
	registry     *registry
	log          *memLog
	hosts        *hostList
	intentions   *intentions
	workers      map[string]*standin.Worker
	racks        []contract.Key
	daemons      []*daemon
}

// hostList is a host list that tests can change.
type hostList struct {
	mu   sync.Mutex
	list []upstream.Host
}

func (h *hostList) Hosts(context.Context) ([]upstream.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]upstream.Host(nil), h.list...), nil
}

// intentions is a configuration with jobs that tests can change.
type intentions struct {
	mu   sync.Mutex
	jobs []workload.Job

	entryOnlyLookups atomic.Int32 // calls of Team for entryOnlyTeam
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

// entryOnlyTeam is a team that is known to the first daemon that looks it up, the entry
// daemon of a request, and not yet to the job scheduler.
const entryOnlyTeam = "entry-only"

func (i *intentions) Team(team string) (config.Team, bool) {
	if team == entryOnlyTeam && i.entryOnlyLookups.Add(1) > 1 {
		return config.Team{}, false
	}
	return config.Team{Name: team, Home: "north", Quota: machine.Resources{CPUMilli: 1e9, MemoryMiB: 1e9, Accelerators: 1e6}, Weight: 1}, team != "nobody"
}

var workerCapacity = machine.Resources{CPUMilli: 4000, MemoryMiB: 8192, Accelerators: 2}

// newCell starts daemons and racks with perRack workers each. Daemon i owns rack i; further
// racks are owned by the daemons in turn. The last daemon owns the only job shard.
func newCell(t testing.TB, daemons, racks, perRack int) *cell {
	t.Helper()
	return newCellWith(t, daemons, racks, perRack, func(*RackOwnerConfig) {})
}

// newCellWith is newCell with a change to the configuration of the rack owners.
func newCellWith(t testing.TB, daemons, racks, perRack int, change func(*RackOwnerConfig)) *cell {
	t.Helper()
	c := &cell{
		t: t, changeConfig: change,
		registry: &registry{epoch: 10, keys: make(map[contract.Key]claim), daemons: make(map[string]*daemon)},
		log:      newMemLog(), hosts: &hostList{}, intentions: &intentions{}, workers: make(map[string]*standin.Worker),
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
		c.registry.assign(c.daemons[i%len(c.daemons)], 0, k)
	}
	c.registry.assign(c.daemons[daemons-1], 0, c.shardKey())
	return c
}

func (c *cell) shardKey() contract.Key { return contract.JobsKey("north", 0) }

// addWorker starts the stand-in of a worker and adds it to the host list.
func (c *cell) addWorker(rack, id string) {
	w := standin.NewWorker(standin.WorkerConfig{ID: id, Capacity: workerCapacity})
	srv := httptest.NewServer(w)
	c.t.Cleanup(func() { srv.Close(); w.Close() })
	c.workers[id] = w
	c.hosts.list = append(c.hosts.list, upstream.Host{
		ID: id, Kind: upstream.WorkerHost, Address: srv.Listener.Addr().String(), Zone: "n1", Rack: rack,
		State: upstream.Live, Resources: workerCapacity,
	})
}

// workerAddress returns the address of a worker.
func (c *cell) workerAddress(id string) string {
	c.hosts.mu.Lock()
	defer c.hosts.mu.Unlock()
	for _, h := range c.hosts.list {
		if h.ID == id {
			return h.Address
		}
	}
	c.t.Fatalf("the host list has no worker %s", id)
	return ""
}

// newDaemon starts a daemon that owns nothing yet.
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
		id: id, registry: c.registry, address: ln.Addr().String(), owned: make(map[contract.Key]contract.Epoch),
		unreachable: make(map[string]bool), conns: make(map[string]*drpcconn.Conn), changes: make(chan contract.OwnerChange, 1000),
	}
	d.transport = &gatedTransport{next: &http.Transport{MaxIdleConnsPerHost: 4}}
	engine := func() Engine { return placement.New(placement.Config{BackoffBase: 20 * time.Millisecond}) }
	cfg := RackOwnerConfig{
		Ownership: d, Peers: d, Hosts: c.hosts, Topology: top, Region: "north", NewEngine: engine, Shards: 1,
		Lease: testLease, RenewEvery: testRenewEvery, ProbeEvery: 100 * time.Millisecond, WorkerTimeout: time.Second,
		ReportEvery: 10 * time.Millisecond, ResendEvery: 100 * time.Millisecond, HostsEvery: 100 * time.Millisecond,
		NewTransport: func() http.RoundTripper { return d.transport }, Logger: zerolog.Nop(),
	}
	c.changeConfig(&cfg)
	d.rackOwner = NewRackOwner(cfg)
	d.scheduler = NewScheduler(SchedulerConfig{
		Ownership: d, Peers: d, Hosts: c.hosts, Log: c.log, Topology: top, Region: "north", Intentions: c.intentions,
		NewEngine: engine, Shards: 1, RetryPause: 50 * time.Millisecond, HostsEvery: 100 * time.Millisecond,
		ReconcileEvery: 50 * time.Millisecond, CallTimeout: time.Second, AdoptEvery: 200 * time.Millisecond,
		Logger: cfg.Logger,
	})
	ConnectInProcess(d.rackOwner, d.scheduler)
	mux := drpcmux.New()
	if err := rpc.DRPCRegisterRackOwner(mux, d.rackOwner); err != nil {
		c.t.Fatal(err)
	}
	if err := rpc.DRPCRegisterJobScheduler(mux, d.scheduler); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	c.registry.mu.Lock()
	c.registry.daemons[id] = d
	c.registry.mu.Unlock()
	d.done.Go(func() { _ = drpcserver.New(mux).Serve(ctx, ln) })
	d.done.Go(func() { _ = d.rackOwner.Run(ctx) })
	d.done.Go(func() { _ = d.scheduler.Run(ctx) })
	d.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case ch := <-d.changes:
				c.registry.mu.Lock()
				ws := slices.Clone(d.watchers)
				c.registry.mu.Unlock()
				for _, w := range ws {
					w(ch)
				}
			}
		}
	})
	c.t.Cleanup(d.kill)
	return d
}
