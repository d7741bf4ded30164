package contract

import (
	"context"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// Owner implements Ownership.
func (c *Claimer) Owner(k Key) (daemon string, e Epoch, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state.Key(k)
	return s.Owner, s.Epoch, s.Owner != ""
}

// Tenure implements Ownership.
func (c *Claimer) Tenure(k Key) (Tenure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenure(k, time.Now())
}

// tenure returns the tenure of this daemon for k, counted from the later of the last
// confirmation by the log and the last round of promises. The caller holds c.mu.
func (c *Claimer) tenure(k Key, now time.Time) (Tenure, bool) {
	s, mine := c.owned(k)
	if !mine || !c.takeoverWaitPassed(k, s) {
		return Tenure{}, false
	}
	confirmed := c.confirmedAt
	if p := c.promisesRequestedAt[k]; p.After(confirmed) {
		confirmed = p
	}
	t := Tenure{Epoch: s.Epoch, Deadline: confirmed.Add(c.cfg.Tenure)}
	return t, now.Before(t.Deadline)
}

// owned returns the state of k, and whether this incarnation owns it and has not stopped
// serving it to release it. The caller holds c.mu.
func (c *Claimer) owned(k Key) (KeyState, bool) {
	s := c.state.Key(k)
	if s.Owner != c.self.ID || s.Incarnation != c.cfg.Incarnation {
		return s, false
	}
	e, stopped := c.stoppedEpoch[k]
	return s, !stopped || e != s.Epoch
}

// takeoverWaitPassed reports whether this daemon owns k at the epoch of s and its
// takeover wait, if any, has passed. The caller holds c.mu.
func (c *Claimer) takeoverWaitPassed(k Key, s KeyState) bool {
	r, ok := c.readiness[k]
	return ok && r.epoch == s.Epoch && !time.Now().Before(r.actFrom)
}

// Held implements Ownership. The keys are sorted.
func (c *Claimer) Held() []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held(time.Now())
}

// held returns the keys for which this daemon has a tenure at now, sorted. The caller holds
// c.mu.
func (c *Claimer) held(now time.Time) []Key {
	var out []Key
	for _, k := range sortedKeys(c.readiness) {
		if _, ok := c.tenure(k, now); ok {
			out = append(out, k)
		}
	}
	return out
}

// Register adds the Tenure service to a server's mux.
func (c *Claimer) Register(mux *drpcmux.Mux) error {
	return rpc.DRPCRegisterTenure(mux, tenureService{c})
}

// tenureService implements the Tenure RPC service.
type tenureService struct{ c *Claimer }

// Promise promises the caller not to claim the requested keys for the requested time,
// plus clock drift. It refuses a key that has a newer epoch, and a key of which a claim
// or release by this daemon may still take effect.
func (t tenureService) Promise(_ context.Context, req *rpc.PromiseRequest) (*rpc.PromiseResponse, error) {
	c, resp := t.c, &rpc.PromiseResponse{Granted: make([]bool, len(req.Keys))}
	c.mu.Lock()
	defer c.mu.Unlock()
	// A daemon that has not read the log since its start does not know what its former
	// incarnation claimed.
	if !c.state.Ready() || c.rebuilding != nil || c.confirmedAt.IsZero() {
		return resp, nil
	}
	until := time.Now().Add(c.cfg.withDrift(time.Duration(req.ForMs) * time.Millisecond))
	for i, pk := range req.Keys {
		k := Key(pk.Key)
		if c.state.Key(k).Epoch > Epoch(pk.Epoch) || c.pending.mayChangeOwner(k) {
			continue
		}
		resp.Granted[i] = true
		if until.After(c.promisedUntil[k]) {
			c.promisedUntil[k] = until
		}
	}
	return resp, nil
}

// promiseLoop confirms tenure by promises of the other daemons while the log cannot be read.
func (c *Claimer) promiseLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, c.cfg.Tenure/6)
		now := time.Now()
		c.mu.Lock()
		keys := c.unconfirmedKeys(now)
		c.mu.Unlock()
		if len(keys) > 0 {
			c.requestPromises(ctx, keys, now)
		}
	}
	return nil
}

// unconfirmedKey is an owned key and its electors: the other daemons whose claim of it could
// succeed.
type unconfirmedKey struct {
	key      Key
	epoch    Epoch
	electors []string
}

// unconfirmedKeys returns the owned keys if the log has confirmed no tenure for
// Tenure/3 + PollWait. Their electors don't include daemons that are gone, because
// those cannot claim. The caller holds c.mu.
func (c *Claimer) unconfirmedKeys(now time.Time) []unconfirmedKey {
	if now.Sub(c.confirmedAt) < c.cfg.Tenure/3+c.cfg.PollWait || !c.state.Ready() {
		return nil
	}
	var out []unconfirmedKey
	for _, k := range sortedKeys(c.readiness) {
		s, mine := c.owned(k)
		if !mine {
			continue
		}
		uk := unconfirmedKey{key: k, epoch: s.Epoch}
		for _, id := range sortedSet(append(c.pending.possibleElectors(k), s.Electorate...)) {
			if id != c.self.ID && !c.gone[id] {
				uk.electors = append(uk.electors, id)
			}
		}
		out = append(out, uk)
	}
	return out
}

// requestPromises requests promises from the electors of all keys in parallel, with one call
// per elector. The tenure of each key that all its electors promised counts from start.
func (c *Claimer) requestPromises(ctx context.Context, keys []unconfirmedKey, start time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Tenure/3)
	defer cancel()
	byElector := make(map[string][]*rpc.PromiseKey)
	for _, uk := range keys {
		for _, id := range uk.electors {
			byElector[id] = append(byElector[id], &rpc.PromiseKey{Key: string(uk.key), Epoch: uint64(uk.epoch)})
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	granted := make(map[Key]int)
	for id, requested := range byElector {
		wg.Go(func() {
			for _, k := range c.requestPromisesFrom(ctx, id, requested) {
				mu.Lock()
				granted[k]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, uk := range keys {
		if c.state.Key(uk.key).Epoch == uk.epoch && granted[uk.key] == len(uk.electors) {
			c.promisesRequestedAt[uk.key] = start
		}
	}
}

// requestPromisesFrom returns those of the requested keys that daemon id promises not to
// claim; none if the call fails.
func (c *Claimer) requestPromisesFrom(ctx context.Context, id string, requested []*rpc.PromiseKey) []Key {
	conn, err := c.cfg.Members.Conn(ctx, id)
	if err != nil {
		return nil
	}
	resp, err := rpc.NewDRPCTenureClient(conn).Promise(ctx, &rpc.PromiseRequest{
		Daemon: c.self.ID, Keys: requested, ForMs: uint32(c.cfg.Tenure.Milliseconds())})
	if err != nil || len(resp.Granted) != len(requested) {
		return nil
	}
	var out []Key
	for i, ok := range resp.Granted {
		if ok {
			out = append(out, Key(requested[i].Key))
		}
	}
	return out
}
