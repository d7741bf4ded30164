// Package cluster starts a cell of real processes on loopback: daemons, and stand-ins
// for the platform, the workers and the executors. It also generates load and checks the
// records of what ran. The demonstration, the failure tests and benchmarks use it.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/internal/loopback"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Options configures a Cluster.
type Options struct {
	BinDir  string                      // folder of the executables; required
	Dir     string                      // folder for settings and logs; required
	Regions map[zone.Region][]zone.Name // zones of each region
	// LogRegion is the region that the log runs in.
	LogRegion zone.Region
	TimeZone  string // IANA name
	// Daemons holds the zone of each daemon to start.
	Daemons []zone.Name
	// Workers and Executors are the numbers per zone. Each rack has four workers.
	Workers, Executors int
	Capacity           machine.Resources // of a worker
	ServiceTime        time.Duration     // mean run time of a request
	Seed               uint64            // of run times; executor i of each zone, from 0, uses Seed+i
	// Settings override the settings of every daemon, by top-level key.
	Settings map[string]any
	// LogFlags are additional flags of the stand-in for the log.
	LogFlags []string
	// LinkDelay is the one-way delay between regions. If it is above 0, all traffic
	// between regions passes through forwarders that SetLinkState controls.
	LinkDelay time.Duration
}

const (
	workersPerRack = 4
	hostListLag    = 300 * time.Millisecond // age of the list that the stand-in shows
	startTimeout   = 30 * time.Second       // from the start of a stand-in until it accepts connections
)

// Node is one process with an HTTP interface.
type Node struct {
	ID      string
	Zone    zone.Name
	Address string // IP:port of the HTTP interface
	RPC     string // IP:port for calls between daemons; empty if the node is no daemon
	proc    *process
}

// URL returns the base URL of the HTTP interface.
func (n *Node) URL() string { return "http://" + n.Address }

// Cluster is a running cell.
type Cluster struct {
	opts       Options
	http       *http.Client
	Log        *Node
	hostLists  map[zone.Region]*Node // the stand-in that answers each region with the addresses it has to use
	forwarders *regionForwarders
	mu         sync.Mutex // held while Daemons grows, and by CurrentDaemons
	Daemons    []*Node
	Workers    []*Node
	Executors  []*Node
}

// Start starts the stand-ins and the daemons. It does not wait until the daemons are
// ready. If it fails, it ends the processes it has started.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	c := &Cluster{
		opts: opts, hostLists: make(map[zone.Region]*Node),
		// Each call has a connection of its own, so that silent connections do not delay checks.
		http:       &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		forwarders: &regionForwarders{delay: opts.LinkDelay, byTarget: make(map[string]*Forwarder)},
	}
	if err := c.startAll(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startAll starts the stand-ins and then the daemons entry-1, entry-2 and so on.
func (c *Cluster) startAll(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	for i, z := range c.opts.Daemons {
		if _, err := c.AddDaemon(ctx, fmt.Sprintf("entry-%d", i+1), z); err != nil {
			return err
		}
	}
	return nil
}

// startPlatform starts the log, the host lists and the machines of all zones.
func (c *Cluster) startPlatform(ctx context.Context) error {
	var err error
	if c.Log, err = c.startStandin(ctx, "log", "", append([]string{"log"}, c.opts.LogFlags...)...); err != nil {
		return err
	}
	regions := slices.Sorted(maps.Keys(c.opts.Regions))
	for _, r := range regions {
		if c.hostLists[r], err = c.startStandin(ctx, "hosts-"+string(r), "", "hosts", "--lag", hostListLag.String()); err != nil {
			return err
		}
	}
	for _, r := range regions {
		for _, z := range c.opts.Regions[r] {
			if err := c.startZone(ctx, z); err != nil {
				return err
			}
		}
	}
	return nil
}

// startZone starts the workers and executors of a zone and puts them on the host list.
func (c *Cluster) startZone(ctx context.Context, z zone.Name) error {
	if err := c.startWorkers(ctx, z); err != nil {
		return err
	}
	return c.startExecutors(ctx, z)
}

func (c *Cluster) startWorkers(ctx context.Context, z zone.Name) error {
	capacity := c.opts.Capacity
	for i := range c.opts.Workers {
		id := fmt.Sprintf("worker-%s-%d", z, i+1)
		n, err := c.startStandin(ctx, id, z, "worker", "--id", id, "--cpu-milli", fmt.Sprint(capacity.CPUMilli),
			"--memory-mib", fmt.Sprint(capacity.MemoryMiB), "--accelerators", fmt.Sprint(capacity.Accelerators))
		if err != nil {
			return err
		}
		c.Workers = append(c.Workers, n)
		host := upstream.Host{ID: id, Kind: upstream.WorkerHost, Address: n.Address, Zone: z,
			Rack: fmt.Sprintf("r%d", i/workersPerRack+1), State: upstream.Live, Resources: capacity}
		if err := c.SetHost(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startExecutors(ctx context.Context, z zone.Name) error {
	for i := range c.opts.Executors {
		id := fmt.Sprintf("executor-%s-%d", z, i+1)
		n, err := c.startStandin(ctx, id, z, "executor", "--service-time", c.opts.ServiceTime.String(), "--seed", fmt.Sprint(c.opts.Seed+uint64(i)))
		if err != nil {
			return err
		}
		c.Executors = append(c.Executors, n)
		host := upstream.Host{ID: id, Kind: upstream.ExecutorHost, Address: n.Address, Zone: z, Group: "g1", State: upstream.Live, Slots: 8}
		if err := c.SetHost(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

// startStandin starts a stand-in with the given arguments and waits until it accepts
// connections.
func (c *Cluster) startStandin(ctx context.Context, id string, z zone.Name, args ...string) (*Node, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Zone: z, Address: address}
	n.proc, err = startProcess(filepath.Join(c.opts.BinDir, "sassafras-standin"), filepath.Join(c.opts.Dir, id+".log"),
		append([]string{"--listen", address}, args...)...)
	if err != nil {
		return nil, err
	}
	return n, n.waitForAccept(ctx)
}

// waitForAccept waits until the process accepts connections, at most startTimeout.
func (n *Node) waitForAccept(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return WaitFor(ctx, "connection to "+n.ID, func(context.Context) error {
		conn, err := net.DialTimeout("tcp", n.Address, time.Second)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// AddDaemon starts a daemon with new addresses and puts it on the host list as live.
func (c *Cluster) AddDaemon(ctx context.Context, id string, z zone.Name) (*Node, error) {
	httpAddr, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	rpcAddr, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Zone: z, Address: httpAddr, RPC: rpcAddr}
	if err := c.writeSettings(n); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.Daemons = append(c.Daemons, n)
	c.mu.Unlock()
	if err := c.StartDaemon(ctx, n); err != nil {
		return nil, err
	}
	return n, nil
}

// CurrentDaemons returns a copy of Daemons. It is safe to call while AddDaemon runs.
func (c *Cluster) CurrentDaemons() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Node(nil), c.Daemons...)
}

// StartDaemon starts the process of a daemon that does not run and sets it live on the
// host list.
func (c *Cluster) StartDaemon(ctx context.Context, n *Node) error {
	var err error
	n.proc, err = startProcess(filepath.Join(c.opts.BinDir, "sassafraslbd"), filepath.Join(c.opts.Dir, n.ID+".log"),
		"run", "--config", c.SettingsFile(n))
	if err != nil {
		return err
	}
	return c.SetDaemonState(ctx, n, upstream.Live)
}

// SetDaemonState sets the state of a daemon on the host list.
func (c *Cluster) SetDaemonState(ctx context.Context, n *Node, s upstream.HostState) error {
	return c.SetHost(ctx, upstream.Host{ID: n.ID, Kind: upstream.DaemonHost, Address: n.RPC, Zone: n.Zone, State: s})
}

// SettingsFile returns the path of a daemon's settings file.
func (c *Cluster) SettingsFile(n *Node) string { return filepath.Join(c.opts.Dir, n.ID+".json") }

// writeSettings writes the settings file of a daemon.
func (c *Cluster) writeSettings(n *Node) error {
	region := c.regionOf(n.Zone)
	logAddress, err := c.forwarders.address(c.Log.Address, c.opts.LogRegion, region)
	if err != nil {
		return err
	}
	listAddress, err := c.forwarders.address(c.hostLists[region].Address, c.opts.LogRegion, region)
	if err != nil {
		return err
	}
	set := map[string]any{
		"daemon_id": n.ID, "zone": n.Zone, "http_address": n.Address, "rpc_address": n.RPC,
		"log_url": "http://" + logAddress, "hosts_url": "http://" + listAddress, "time_zone": c.opts.TimeZone,
		"log_region": c.opts.LogRegion, "regions": c.opts.Regions,
	}
	for k, v := range c.opts.Settings {
		set[k] = v
	}
	data, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(c.SettingsFile(n), data, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}

// Close kills every process of the cell and closes the forwarders.
func (c *Cluster) Close() {
	lists := make([]*Node, 0, len(c.hostLists)+1)
	for _, n := range c.hostLists {
		lists = append(lists, n)
	}
	for _, group := range [][]*Node{c.Daemons, c.Executors, c.Workers, append(lists, c.Log)} {
		for _, n := range group {
			if n != nil && n.proc != nil {
				n.proc.kill()
			}
		}
	}
	c.forwarders.close()
}
