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
	s := c.book.Key(k)
	return s.Owner, s.Epoch, s.Owner != ""
}

// Tenure implements Ownership.
func (c *Claimer) Tenure(k Key) (Tenure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenure(k, time.Now())
}

func (c *Claimer) tenure(k Key, now time.Time) (Tenure, bool) {
	s, mine := c.owned(k)
	if !mine || !c.actionable(k, s) {
		return Tenure{}, false
	}
	confirmed := c.confirmed
	if p := c.promised[k]; p.After(confirmed) {
		confirmed = p
	}
	t := Tenure{Epoch: s.Epoch, Deadline: confirmed.Add(c.cfg.Tenure)}
	return t, now.Before(t.Deadline)
}

// owned reports whether this incarnation owns k and has not stopped serving it.
func (c *Claimer) owned(k Key) (KeyState, bool) {
	s := c.book.Key(k)
	if s.Owner != c.self.ID || s.Incarnation != c.cfg.Incarnation {
		return s, false
	}
	e, stopped := c.stopped[k]
	return s, !stopped || e != s.Epoch
}

// actionable reports whether the takeover wait of s has passed.
func (c *Claimer) actionable(k Key, s KeyState) bool {
	r, ok := c.readyAt[k]
	return ok && r.epoch == s.Epoch && !time.Now().Before(r.at)
}

// Held implements Ownership. The keys are sorted.
func (c *Claimer) Held() []Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held(time.Now())
}

func (c *Claimer) held(now time.Time) []Key {
	var out []Key
	for _, k := range sortedKeys(c.readyAt) {
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

// tenureService serves the Tenure service.
type tenureService struct{ c *Claimer }

// Promise promises not to claim the keys for the time asked. It refuses a key
// with a newer epoch, or of which a claim of this daemon may still take effect.
func (t tenureService) Promise(_ context.Context, req *rpc.PromiseRequest) (*rpc.PromiseResponse, error) {
	c, resp := t.c, &rpc.PromiseResponse{Granted: make([]bool, len(req.Keys))}
	c.mu.Lock()
	defer c.mu.Unlock()
	// Without a read since its start, a daemon does not know what its former
	// incarnation claimed.
	if !c.book.Ready() || c.rebuild != nil || c.confirmed.IsZero() {
		return resp, nil
	}
	until := time.Now().Add(c.cfg.drifted(time.Duration(req.ForMs) * time.Millisecond))
	for i, pk := range req.Keys {
		k := Key(pk.Key)
		if c.book.Key(k).Epoch > Epoch(pk.Epoch) || c.doubts.claimed(k) {
			continue
		}
		resp.Granted[i] = true
		if until.After(c.promises[k]) {
			c.promises[k] = until
		}
	}
	return resp, nil
}

// promiseLoop confirms tenure by promises while the log cannot be read.
func (c *Claimer) promiseLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, c.cfg.Tenure/6)
		now := time.Now()
		c.mu.Lock()
		keys := c.unconfirmed(now)
		c.mu.Unlock()
		if len(keys) > 0 {
			c.promiseRound(ctx, keys, now)
		}
	}
	return nil
}

// promiseKey is a key with the daemons whose claim could win.
type promiseKey struct {
	key     Key
	epoch   Epoch
	members []string
}

// unconfirmed returns the owned keys if the log was not read for a third of the
// tenure. Members that are gone cannot claim and are not asked.
func (c *Claimer) unconfirmed(now time.Time) []promiseKey {
	if now.Sub(c.confirmed) < c.cfg.Tenure/3+c.cfg.PollWait || !c.book.Ready() {
		return nil
	}
	var out []promiseKey
	for _, k := range sortedKeys(c.readyAt) {
		s, mine := c.owned(k)
		if !mine {
			continue
		}
		pk := promiseKey{key: k, epoch: s.Epoch}
		for _, id := range sortedSet(append(c.doubts.electors(k), s.Electorate...)) {
			if id != c.self.ID && !c.gone[id] {
				pk.members = append(pk.members, id)
			}
		}
		out = append(out, pk)
	}
	return out
}

// promiseRound asks every member for all its keys at once and confirms the keys
// that all their members granted.
func (c *Claimer) promiseRound(ctx context.Context, keys []promiseKey, start time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Tenure/3)
	defer cancel()
	byMember := make(map[string][]*rpc.PromiseKey)
	for _, pk := range keys {
		for _, id := range pk.members {
			byMember[id] = append(byMember[id], &rpc.PromiseKey{Key: string(pk.key), Epoch: uint64(pk.epoch)})
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	granted := make(map[Key]int)
	for id, ask := range byMember {
		wg.Go(func() {
			for _, k := range c.askPromise(ctx, id, ask) {
				mu.Lock()
				granted[k]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pk := range keys {
		if c.book.Key(pk.key).Epoch == pk.epoch && granted[pk.key] == len(pk.members) {
			c.promised[pk.key] = start
		}
	}
}

func (c *Claimer) askPromise(ctx context.Context, id string, ask []*rpc.PromiseKey) []Key {
	conn, err := c.cfg.Members.Conn(ctx, id)
	if err != nil {
		return nil
	}
	resp, err := rpc.NewDRPCTenureClient(conn).Promise(ctx, &rpc.PromiseRequest{
		Daemon: c.self.ID, Keys: ask, ForMs: uint32(c.cfg.Tenure.Milliseconds())})
	if err != nil || len(resp.Granted) != len(ask) {
		return nil
	}
	var out []Key
	for i, ok := range resp.Granted {
		if ok {
			out = append(out, Key(ask[i].Key))
		}
	}
	return out
}
