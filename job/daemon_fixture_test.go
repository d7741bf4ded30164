package job

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/link"
)

// The durations of the tests have about the proportions of the defaults.
const (
	testTenure       = 300 * time.Millisecond
	testTakeoverWait = 400 * time.Millisecond
	testLease        = 2 * time.Second
	testRenewEvery   = 250 * time.Millisecond
)

// registry replaces the control stream of the log: every daemon sees the same claims.
type registry struct {
	mu      sync.Mutex
	epoch   contract.Epoch
	keys    map[contract.Key]claim
	daemons map[string]*daemon
}

// claim is the latest claim of a key.
type claim struct {
	owner string
	epoch contract.Epoch
}

// assign makes a daemon the owner of keys. It may act for them after wait, the takeover wait.
func (r *registry) assign(d *daemon, wait time.Duration, keys ...contract.Key) {
	r.mu.Lock()
	for _, k := range keys {
		r.epoch++
		e := r.epoch
		r.keys[k] = claim{d.id, e}
		for _, o := range r.daemons {
			if o != d && !o.isolated {
				o.deliver(contract.OwnerChange{Key: k, Epoch: e, Owner: d.id})
			}
		}
		time.AfterFunc(wait, func() { d.activate(k, e) })
	}
	r.mu.Unlock()
}

// activate lets d act for k, unless k has been claimed again.
func (d *daemon) activate(k contract.Key, e contract.Epoch) {
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	if d.registry.keys[k] != (claim{d.id, e}) {
		return
	}
	d.owned[k] = e
	if !d.isolated {
		d.deliver(contract.OwnerChange{Key: k, Epoch: e, Owner: d.id, Held: true})
	}
}

// daemon is one in-process daemon with its own drpc listener. It implements
// contract.Ownership and link.Peers for its rack owner and job scheduler.
type daemon struct {
	id        string
	registry  *registry
	address   string
	rackOwner *RackOwner
	scheduler *Scheduler
	cancel    context.CancelFunc
	done      sync.WaitGroup
	transport *gatedTransport

	// The fields below are guarded by registry.mu.
	owned       map[contract.Key]contract.Epoch // keys that it may act for, as far as it knows
	isolated    bool                            // its tenures are not confirmed and it learns of no change
	isolatedAt  time.Time
	unreachable map[string]bool // daemons that it cannot call
	conns       map[string]*drpcconn.Conn
	watchers    []func(contract.OwnerChange)
	changes     chan contract.OwnerChange
}

// deliver queues a change of ownership for the watchers of d.
func (d *daemon) deliver(c contract.OwnerChange) { d.changes <- c }

func (d *daemon) Owner(k contract.Key) (string, contract.Epoch, bool) {
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	c, ok := d.registry.keys[k]
	if e, mine := d.owned[k]; mine && d.isolated {
		return d.id, e, true
	}
	return c.owner, c.epoch, ok
}

func (d *daemon) Tenure(k contract.Key) (contract.Tenure, bool) {
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	e, ok := d.owned[k]
	if !ok {
		return contract.Tenure{}, false
	}
	confirmed := time.Now()
	if d.isolated {
		confirmed = d.isolatedAt
	} else if d.registry.keys[k].epoch != e {
		delete(d.owned, k)
		return contract.Tenure{}, false
	}
	t := contract.Tenure{Epoch: e, Deadline: confirmed.Add(testTenure)}
	return t, time.Now().Before(t.Deadline)
}

func (d *daemon) Held() []contract.Key { return nil }

func (d *daemon) Watch(fn func(contract.OwnerChange)) func() {
	d.registry.mu.Lock()
	d.watchers = append(d.watchers, fn)
	held := make(map[contract.Key]contract.Epoch)
	for k, e := range d.owned {
		held[k] = e
	}
	d.registry.mu.Unlock()
	for k, e := range held {
		fn(contract.OwnerChange{Key: k, Epoch: e, Owner: d.id, Held: true})
	}
	return func() {}
}

// pause isolates the daemon like a pause of its process: it learns of no change, its tenures
// are not confirmed, and its requests to workers are held until reconnect.
func (d *daemon) pause() {
	d.registry.mu.Lock()
	d.isolated, d.isolatedAt = true, time.Now()
	d.registry.mu.Unlock()
	d.transport.shut()
}

// partition isolates the daemon from the log and from all other daemons. It still reaches
// the workers.
func (d *daemon) partition() {
	d.registry.mu.Lock()
	d.isolated, d.isolatedAt = true, time.Now()
	d.registry.mu.Unlock()
}

// reconnect ends a pause or a partition: held requests are sent first, then the daemon learns
// of the changes of ownership.
func (d *daemon) reconnect() {
	d.transport.open()
	d.registry.mu.Lock()
	defer d.registry.mu.Unlock()
	d.isolated = false
	for k, e := range d.owned {
		if c := d.registry.keys[k]; c.epoch != e {
			delete(d.owned, k)
			d.deliver(contract.OwnerChange{Key: k, Epoch: c.epoch, Owner: c.owner})
		}
	}
}

func (d *daemon) Self() link.Member      { return link.Member{ID: d.id, Address: d.address} }
func (d *daemon) Members() []link.Member { return nil }

func (d *daemon) Conn(ctx context.Context, id string) (drpc.Conn, error) {
	d.registry.mu.Lock()
	to := d.registry.daemons[id]
	cut := to == nil || d.unreachable[id] || to.unreachable[d.id] || d.isolated || to.isolated
	c := d.conns[id]
	d.registry.mu.Unlock()
	if cut {
		return nil, errkind.New(errkind.Unreachable, "cut", "daemon %s cannot be reached", id)
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
	d.registry.mu.Lock()
	d.conns[id] = c
	d.registry.mu.Unlock()
	return c, nil
}

// kill stops the daemon without a handover and waits for its goroutines.
func (d *daemon) kill() {
	d.transport.open()
	d.cancel()
	d.done.Wait()
}

// gatedTransport is a transport that holds requests while it is shut, as a pause of the
// process does between the check of the tenure and the send.
type gatedTransport struct {
	next        http.RoundTripper
	mu          sync.Mutex
	opened      chan struct{}   // closed when the transport opens; nil while it is open
	held        int             // number of requests that were held
	unreachable map[string]bool // addresses of workers that cannot be reached
}

// makeUnreachable makes a worker unreachable for this daemon only.
func (g *gatedTransport) makeUnreachable(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unreachable == nil {
		g.unreachable = make(map[string]bool)
	}
	g.unreachable[address] = true
}

func (g *gatedTransport) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gatedTransport) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

func (g *gatedTransport) heldRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

func (g *gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	g.mu.Lock()
	wait, cut := g.opened, g.unreachable[r.URL.Host]
	if wait != nil {
		g.held++
	}
	g.mu.Unlock()
	if cut {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("made unreachable by the test")}
	}
	if wait != nil {
		<-wait
		// In a real pause the timer of the caller stands still as well, so the request must
		// not time out.
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	return g.next.RoundTrip(r)
}
