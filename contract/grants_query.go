package contract

import "context"

// Granted returns the epoch and the daemon to which mint time ms (milliseconds of Unix time)
// of a shard was granted. ok is false if OwnerOfMint does not answer MintGranted.
func (g *Grants) Granted(shard Key, ms int64) (e Epoch, daemon string, ok bool) {
	daemon, e, m := g.OwnerOfMint(shard, ms)
	return e, daemon, m == MintGranted
}

// LastGrantEnd returns the end of the last grant of a shard, in milliseconds of Unix
// time, or 0 if there is none.
func (g *Grants) LastGrantEnd(shard Key) int64 {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	spans := g.c.state.grants[shard]
	if len(spans) == 0 {
		return 0
	}
	return spans[len(spans)-1].ToMS
}

// Predecessor returns the epoch of the owner that released the shard to this daemon, and
// this daemon's own epoch. ok is false if this daemon does not own the shard or claimed
// it. Since a release is folded once, a predecessor has at most one successor.
func (g *Grants) Predecessor(shard Key) (predecessor, own Epoch, ok bool) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	s, mine := g.c.owned(shard)
	return s.PredecessorEpoch, s.Epoch, mine && s.PredecessorEpoch != 0
}

// OnRelease sets a function that is called after this daemon has stopped running the ids of
// shards and before their release is appended. The release waits for the function, whose
// context ends after Config.Tenure. It must be set before Claimer.Run.
func (g *Grants) OnRelease(fn func(context.Context, []Release)) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	g.c.onRelease = fn
}

// Release describes an id shard that is about to be released. Times are mint times in
// milliseconds of Unix time.
type Release struct {
	Shard            Key
	Epoch            Epoch  // at which this daemon owns the shard
	PredecessorEpoch Epoch  // epoch of the owner that released it to this daemon; zero if it was claimed
	To               string // daemon that gets the shard; empty if there is none
	FromMS           int64  // this daemon was granted [FromMS, CutMS); both are zero if nothing was granted
	CutMS            int64
}

// releaseOf describes the release of a shard at an epoch to daemon to. The caller holds
// c.mu and has stopped serving the shard.
func (c *Claimer) releaseOf(k epochKey, to string) Release {
	r := Release{Shard: k.Key, Epoch: k.Epoch, PredecessorEpoch: c.state.Key(k.Key).PredecessorEpoch, To: to}
	spans := c.state.grants[k.Key]
	if n := len(spans); n > 0 && spans[n-1].Epoch == k.Epoch {
		r.FromMS, r.CutMS = spans[n-1].FromMS, max(k.CutMS, spans[n-1].FromMS)
	}
	return r
}
