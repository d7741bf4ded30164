package contract

import "context"

// Granted returns the epoch and the daemon to which the mint time ms of a shard was granted.
func (g *Grants) Granted(shard Key, ms int64) (e Epoch, daemon string, ok bool) {
	daemon, e, m := g.OwnerOfMint(shard, ms)
	return e, daemon, m == MintGranted
}

// LastGrantEnd returns the end of the last grant of a shard, in milliseconds of Unix
// time, or 0 if there is none.
func (g *Grants) LastGrantEnd(shard Key) int64 {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	spans := g.c.book.grants[shard]
	if len(spans) == 0 {
		return 0
	}
	return spans[len(spans)-1].ToMS
}

// Predecessor returns the epoch at which the last owner of a shard released it to
// this daemon, and this daemon's own epoch. ok is false if the shard was claimed:
// a release is folded once, so that a predecessor has at most one successor.
func (g *Grants) Predecessor(shard Key) (predecessor, own Epoch, ok bool) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	s, mine := g.c.owned(shard)
	return s.PredecessorEpoch, s.Epoch, mine && s.PredecessorEpoch != 0
}

// OnRelease sets a function that is called before id shards are released, when
// this daemon has stopped running their ids. The release waits for it, but no
// longer than a tenure. It must be set before Claimer.Run.
func (g *Grants) OnRelease(fn func(context.Context, []Release)) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	g.c.onRelease = fn
}

// Release is an id shard that is about to be released.
type Release struct {
	Shard            Key
	Epoch            Epoch
	PredecessorEpoch Epoch  // epoch at which it was released to this daemon; zero if it was claimed
	To               string // empty if there is no successor
	FromMS           int64  // own granted range [FromMS, CutMS); both zero if there is none
	CutMS            int64
}

// releaseOf describes the release of a shard at an epoch. The caller holds the
// Claimer's mutex and has stopped serving the shard.
func (c *Claimer) releaseOf(k epochKey, to string) Release {
	r := Release{Shard: k.Key, Epoch: k.Epoch, PredecessorEpoch: c.book.Key(k.Key).PredecessorEpoch, To: to}
	spans := c.book.grants[k.Key]
	if n := len(spans); n > 0 && spans[n-1].Epoch == k.Epoch {
		r.FromMS, r.CutMS = spans[n-1].FromMS, max(k.CutMS, spans[n-1].FromMS)
	}
	return r
}
