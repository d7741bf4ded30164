package contract

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// claimLoop claims vacant keys, all that are due in one record, and tells the
// watchers when a takeover wait has passed.
func (c *Claimer) claimLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, c.cfg.Tick)
		now := time.Now()
		c.mu.Lock()
		c.tellReady(now)
		due := c.dueClaims(now)
		c.mu.Unlock()
		if len(due.Keys) > 0 && ctx.Err() == nil {
			c.claim(ctx, due)
		}
	}
	return nil
}

func (c *Claimer) tellReady(now time.Time) {
	for _, k := range sortedKeys(c.readyAt) {
		if r := c.readyAt[k]; !r.told && !now.Before(r.at) {
			c.tell(k, c.book.Key(k), now)
		}
	}
}

// claim appends the record and settles what is known of it.
func (c *Claimer) claim(ctx context.Context, rec claimRecord) {
	e, err := upstream.NewEnvelope(kindClaim, rec)
	if err != nil {
		return
	}
	c.mu.Lock()
	now := time.Now()
	// A promise may have been given since the decision.
	rec.Keys = slices.DeleteFunc(rec.Keys, func(k claimKey) bool { return now.Before(c.promises[k.Key]) })
	if len(rec.Keys) == 0 {
		c.mu.Unlock()
		return
	}
	for _, k := range rec.Keys {
		c.doubts.add(e.ID, k.Key, k.PrevEpoch, nil, now)
	}
	c.mu.Unlock()
	if e.Body, err = encodeBody(rec); err != nil {
		return
	}
	at, err := c.writer.Append(ctx, e)
	if err != nil {
		c.cfg.Logger.Warn().Str("event", "claim_not_appended").Str("kind", string(errkind.Of(err))).
			Int("count", len(rec.Keys)).Str("keys", firstKeys(rec.names())).Err(err).Send()
		if errkind.Of(err) != errkind.AppendUnknown {
			c.mu.Lock()
			c.doubts.settle(e.ID)
			c.mu.Unlock()
		}
		return
	}
	c.cfg.Logger.Info().Str("event", "claim_appended").Uint64("offset", uint64(at)).
		Int("count", len(rec.Keys)).Str("keys", firstKeys(rec.names())).Send()
}

// logKeys bounds the keys named in one log line; a takeover can claim hundreds.
const logKeys = 5

// firstKeys returns the first keys as one text for a log line.
func firstKeys(keys []Key) string {
	names := make([]string, 0, logKeys)
	for _, k := range keys[:min(len(keys), logKeys)] {
		names = append(names, string(k))
	}
	return strings.Join(names, ",")
}

// names returns the claimed keys.
func (r claimRecord) names() []Key {
	keys := make([]Key, len(r.Keys))
	for i, k := range r.Keys {
		keys[i] = k.Key
	}
	return keys
}

// dueClaims returns the claim to append now.
func (c *Claimer) dueClaims(now time.Time) claimRecord {
	rec := claimRecord{Daemon: c.self.ID, Incarnation: c.cfg.Incarnation}
	known, heard := c.region()
	if 2*heard <= len(known) {
		c.isolatedAt = now
	}
	// An isolated daemon cannot tell a dead owner from its own isolation. The wait
	// after the start covers the promises of a former incarnation.
	if !c.fresh(now) || !c.joined || c.draining || !c.hostsOK || now.Sub(c.isolatedAt) < c.cfg.PostIsolationWait ||
		now.Sub(c.started) < c.cfg.drifted(c.cfg.Tenure) || !c.cfg.Members.Eligible(c.self.ID) || c.leaving[c.self.ID] {
		clear(c.vacant)
		return rec
	}
	candidates := c.candidates(known)
	for _, m := range known {
		if m.State == link.Alive {
			rec.Electorate = append(rec.Electorate, m.ID)
		}
	}
	states := make(map[string]link.State, len(known))
	for _, m := range known {
		states[m.ID] = m.State
	}
	for _, k := range c.keys {
		ck, ok := c.dueClaim(k, now, candidates, states)
		// The death of an owner is confirmed by a majority that speaks after it: a
		// daemon that is cut off loses its peers one after another.
		if ok && (ck.PrevEpoch == 0 || c.majoritySince(known, c.vacant[k])) {
			rec.Keys = append(rec.Keys, ck)
		}
	}
	return rec
}

func (c *Claimer) dueClaim(k Key, now time.Time, candidates []string, states map[string]link.State) (claimKey, bool) {
	s := c.book.Key(k)
	if !c.isVacant(k, s, states) {
		delete(c.vacant, k)
		return claimKey{}, false
	}
	since, ok := c.vacant[k]
	if !ok {
		since = now
		c.vacant[k] = now
	}
	ck := claimKey{Key: k, PrevEpoch: s.Epoch}
	allowed := candidates
	if s.Owner != "" {
		allowed = slices.DeleteFunc(slices.Clone(candidates), func(id string) bool { return !slices.Contains(s.Electorate, id) })
		if !slices.Contains(s.Electorate, c.self.ID) {
			if !c.allGone(s.Electorate) {
				return claimKey{}, false
			}
			ck.ElectorateVersion, allowed = s.ElectorateVersion, candidates
		}
	}
	rank := slices.Index(ranked(k, allowed), c.self.ID)
	wait := time.Duration(rank) * c.cfg.RankDelay
	if rank < 0 || now.Sub(since) < wait || now.Before(c.promises[k]) || c.doubts.blocksClaim(k, now, c.cfg.ResolveTimeout) {
		return claimKey{}, false
	}
	return ck, true
}

// isVacant reports whether the key has no owner that may still be serving it.
func (c *Claimer) isVacant(k Key, s KeyState, states map[string]link.State) bool {
	if s.Owner == "" || c.book.Orphaned(s) || c.gone[s.Owner] {
		return true
	}
	if s.Owner == c.self.ID {
		// A release of unknown outcome: the first of it and a new claim wins.
		return c.stopped[k] == s.Epoch && !c.draining
	}
	state, known := states[s.Owner]
	return !known || state == link.Dead
}

func (c *Claimer) allGone(ids []string) bool {
	for _, id := range ids {
		d, joined := c.book.Daemon(id)
		if !c.gone[id] && !(joined && d.Left) {
			return false
		}
	}
	return true
}

// ranked orders daemons for a key by rendezvous hashing.
func ranked(k Key, ids []string) []string {
	weight := func(id string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(k) + "\x00" + id))
		// FNV alone leaves the high bits of similar inputs alike.
		x := h.Sum64()
		x = (x ^ x>>33) * 0xff51afd7ed558ccd
		x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
		return x ^ x>>33
	}
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int {
		wa, wb := weight(a), weight(b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return out
}
