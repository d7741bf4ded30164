package contract

// Granted returns the epoch and the daemon to which the mint time ms of a shard was granted.
func (g *Grants) Granted(shard Key, ms int64) (e Epoch, daemon string, ok bool) {
	daemon, e, m := g.OwnerOfMint(shard, ms)
	return e, daemon, m == MintGranted
}

// Horizon returns the end of the last grant of a shard, in milliseconds of Unix
// time, or 0 if there is none.
func (g *Grants) Horizon(shard Key) int64 {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	spans := g.c.book.grants[shard]
	if len(spans) == 0 {
		return 0
	}
	return spans[len(spans)-1].ToMS
}
