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
	rack    *RackOwner
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
	wait chan struct{}   // nil while open
	held int             // requests that were held
	cut  map[string]bool // worker addresses that cannot be reached
}

// cutOff makes a worker unreachable for this daemon only.
func (g *gate) cutOff(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut == nil {
		g.cut = make(map[string]bool)
	}
	g.cut[address] = true
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
	wait, cut := g.wait, g.cut[r.URL.Host]
	if wait != nil {
		g.held++
	}
	g.mu.Unlock()
	if cut {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("cut off")}
	}
	if wait != nil {
		<-wait
		// The timer of the caller stood still as well.
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	return g.next.RoundTrip(r)
}
