// Package cluster starts a cell of real processes on loopback: stand-ins of the
// platform and daemons. It serves the demonstration and the failure tests.
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

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Options describe a cell.
type Options struct {
	BinDir  string // folder of the programs; required
	Dir     string // folder for settings and logs; required
	Regions map[zone.Region][]zone.Name
	// LogRegion is the region of the log.
	LogRegion zone.Region
	TimeZone  string
	// Daemons are the zones of the daemons, one entry each.
	Daemons []zone.Name
	// Workers and Executors are the numbers per zone. Workers stand four to a rack.
	Workers, Executors int
	Capacity           machine.Resources // of a worker
	ServiceTime        time.Duration     // of a request
	Seed               uint64
	// Settings are merged over the settings of every daemon.
	Settings map[string]any
	// LogFlags are further flags of the stand-in log.
	LogFlags []string
	// LinkDelay is the one-way delay between regions. If it is set, everything that
	// crosses regions passes forwarders that SetLink controls.
	LinkDelay time.Duration
}

const (
	workersPerRack = 4
	hostsLag       = 300 * time.Millisecond
	startLimit     = 30 * time.Second
)

// Node is one process with an HTTP interface.
type Node struct {
	ID      string
	Zone    zone.Name
	Address string // IP:port of the HTTP interface
	RPC     string // daemons: IP:port for the other daemons
	proc    *process
}

// URL returns the base URL of the HTTP interface.
func (n *Node) URL() string { return "http://" + n.Address }

// Cluster is a running cell.
type Cluster struct {
	opts      Options
	http      *http.Client
	Log       *Node
	lists     map[zone.Region]*Node // host list as a region sees it
	links     *links
	mu        sync.Mutex // guards the growth of Daemons
	Daemons   []*Node
	Workers   []*Node
	Executors []*Node
}

// Start starts the stand-ins and the daemons.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	c := &Cluster{
		opts: opts, lists: make(map[zone.Region]*Node),
		// A connection of its own for each call, so that silent connections do not hold up checks.
		http:  &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		links: &links{delay: opts.LinkDelay, byTarget: make(map[string]*Forwarder)},
	}
	if err := c.startAll(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

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

func (c *Cluster) startPlatform(ctx context.Context) error {
	var err error
	if c.Log, err = c.standin(ctx, "log", "", append([]string{"log"}, c.opts.LogFlags...)...); err != nil {
		return err
	}
	regions := slices.Sorted(maps.Keys(c.opts.Regions))
	for _, r := range regions {
		if c.lists[r], err = c.standin(ctx, "hosts-"+string(r), "", "hosts", "--lag", hostsLag.String()); err != nil {
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

// startZone starts the workers and executors of a zone and lists them.
func (c *Cluster) startZone(ctx context.Context, z zone.Name) error {
	if err := c.startWorkers(ctx, z); err != nil {
		return err
	}
	return c.startExecutors(ctx, z)
}

func (c *Cluster) startWorkers(ctx context.Context, z zone.Name) error {
	caps := c.opts.Capacity
	for i := range c.opts.Workers {
		id := fmt.Sprintf("worker-%s-%d", z, i+1)
		n, err := c.standin(ctx, id, z, "worker", "--id", id, "--cpu-milli", fmt.Sprint(caps.CPUMilli),
			"--memory-mib", fmt.Sprint(caps.MemoryMiB), "--accelerators", fmt.Sprint(caps.Accelerators))
		if err != nil {
			return err
		}
		c.Workers = append(c.Workers, n)
		host := upstream.Host{ID: id, Kind: upstream.WorkerHost, Address: n.Address, Zone: z,
			Rack: fmt.Sprintf("r%d", i/workersPerRack+1), State: upstream.Live, Resources: caps}
		if err := c.SetHost(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startExecutors(ctx context.Context, z zone.Name) error {
	for i := range c.opts.Executors {
		id := fmt.Sprintf("executor-%s-%d", z, i+1)
		n, err := c.standin(ctx, id, z, "executor", "--service-time", c.opts.ServiceTime.String(), "--seed", fmt.Sprint(c.opts.Seed+uint64(i)))
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

// standin starts a stand-in and waits until it accepts connections.
func (c *Cluster) standin(ctx context.Context, id string, z zone.Name, args ...string) (*Node, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := &Node{ID: id, Zone: z, Address: address}
	n.proc, err = startProcess(filepath.Join(c.opts.BinDir, "sassafras-standin"), filepath.Join(c.opts.Dir, id+".log"),
		append([]string{"--listen", address}, args...)...)
	if err != nil {
		return nil, err
	}
	return n, n.accepts(ctx)
}

// accepts waits until the process accepts connections.
func (n *Node) accepts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	return WaitFor(ctx, "connection to "+n.ID, func(context.Context) error {
		conn, err := net.DialTimeout("tcp", n.Address, time.Second)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// AddDaemon starts a daemon and puts it on the host list.
func (c *Cluster) AddDaemon(ctx context.Context, id string, z zone.Name) (*Node, error) {
	httpAddr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	rpcAddr, err := freeAddress()
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

// CurrentDaemons returns the daemons, also while others are added.
func (c *Cluster) CurrentDaemons() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Node(nil), c.Daemons...)
}

// StartDaemon starts the process of a daemon that does not run and lists it as live.
func (c *Cluster) StartDaemon(ctx context.Context, n *Node) error {
	var err error
	n.proc, err = startProcess(filepath.Join(c.opts.BinDir, "sassafraslbd"), filepath.Join(c.opts.Dir, n.ID+".log"),
		"run", "--config", c.SettingsFile(n))
	if err != nil {
		return err
	}
	return c.SetDaemonState(ctx, n, upstream.Live)
}

// SetDaemonState changes what the host list says of a daemon.
func (c *Cluster) SetDaemonState(ctx context.Context, n *Node, s upstream.HostState) error {
	return c.SetHost(ctx, upstream.Host{ID: n.ID, Kind: upstream.DaemonHost, Address: n.RPC, Zone: n.Zone, State: s})
}

// SettingsFile returns the path of a daemon's settings.
func (c *Cluster) SettingsFile(n *Node) string { return filepath.Join(c.opts.Dir, n.ID+".json") }

func (c *Cluster) writeSettings(n *Node) error {
	region := c.regionOf(n.Zone)
	logAddress, err := c.links.address(c.Log.Address, c.opts.LogRegion, region)
	if err != nil {
		return err
	}
	listAddress, err := c.links.address(c.lists[region].Address, c.opts.LogRegion, region)
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

// Close ends every process that Start started.
func (c *Cluster) Close() {
	lists := make([]*Node, 0, len(c.lists)+1)
	for _, n := range c.lists {
		lists = append(lists, n)
	}
	for _, group := range [][]*Node{c.Daemons, c.Executors, c.Workers, append(lists, c.Log)} {
		for _, n := range group {
			if n != nil && n.proc != nil {
				n.proc.kill()
			}
		}
	}
	c.links.close()
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer func() { _ = l.Close() }()
	address := l.Addr().String()
	if _, taken := given.LoadOrStore(address, true); taken {
		return freeAddress()
	}
	return address, nil
}

// given holds the addresses that freeAddress has returned: the system may offer a
// port again before the process that is to use it has started.
var given sync.Map
