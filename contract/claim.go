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

// claimLoop claims vacant keys, all keys that are due in one record, and notifies the
// watchers when a takeover wait has passed.
func (c *Claimer) claimLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, c.cfg.Tick)
		now := time.Now()
		c.mu.Lock()
		c.notifyReady(now)
		due := c.dueClaims(now)
		c.mu.Unlock()
		if len(due.Keys) > 0 && ctx.Err() == nil {
			c.claim(ctx, due)
		}
	}
	return nil
}

// notifyReady notifies the watchers of the owned keys whose takeover wait has passed since
// they were last notified. The caller holds c.mu.
func (c *Claimer) notifyReady(now time.Time) {
	for _, k := range sortedKeys(c.readiness) {
		if r := c.readiness[k]; !r.notified && !now.Before(r.actFrom) {
			c.notifyWatchers(k, c.state.Key(k), now)
		}
	}
}

// claim appends a claim record. It stays pending until it is read back, or until it is
// certain that it is not in the log.
func (c *Claimer) claim(ctx context.Context, rec claimRecord) {
	e, err := upstream.NewEnvelope(kindClaim, rec)
	if err != nil {
		return
	}
	c.mu.Lock()
	now := time.Now()
	// This daemon may have promised since dueClaims not to claim a key.
	rec.Keys = slices.DeleteFunc(rec.Keys, func(k claimKey) bool { return now.Before(c.promisedUntil[k.Key]) })
	if len(rec.Keys) == 0 {
		c.mu.Unlock()
		return
	}
	for _, k := range rec.Keys {
		c.pending.add(e.ID, k.Key, k.PrevEpoch, nil, now)
	}
	c.mu.Unlock()
	if e.Body, err = encodeBody(rec); err != nil {
		return
	}
	at, err := c.writer.Append(ctx, e)
	if err != nil {
		c.cfg.Logger.Warn().Str("event", "claim_not_appended").Str("kind", string(errkind.Of(err))).
			Int("count", len(rec.Keys)).Str("keys", firstKeys(rec.claimedKeys())).Err(err).Send()
		if errkind.Of(err) != errkind.AppendUnknown {
			c.mu.Lock()
			c.pending.resolve(e.ID)
			c.mu.Unlock()
		}
		return
	}
	c.cfg.Logger.Info().Str("event", "claim_appended").Uint64("offset", uint64(at)).
		Int("count", len(rec.Keys)).Str("keys", firstKeys(rec.claimedKeys())).Send()
}

// maxLoggedKeys bounds the keys in one log line; a takeover can claim hundreds.
const maxLoggedKeys = 5

// firstKeys returns the first maxLoggedKeys keys, separated by commas, for a log line.
func firstKeys(keys []Key) string {
	names := make([]string, 0, maxLoggedKeys)
	for _, k := range keys[:min(len(keys), maxLoggedKeys)] {
		names = append(names, string(k))
	}
	return strings.Join(names, ",")
}

// claimedKeys returns the keys of the claim.
func (r claimRecord) claimedKeys() []Key {
	keys := make([]Key, len(r.Keys))
	for i, k := range r.Keys {
		keys[i] = k.Key
	}
	return keys
}

// dueClaims returns the claim to append now; it has no keys if none is due. The caller
// holds c.mu.
func (c *Claimer) dueClaims(now time.Time) claimRecord {
	rec := claimRecord{Daemon: c.self.ID, Incarnation: c.cfg.Incarnation}
	known, heard := c.regionMembers()
	if 2*heard <= len(known) {
		c.isolatedAt = now
	}
	// An isolated daemon cannot distinguish the death of an owner from its own isolation.
	// The wait after the start covers the promises that a former incarnation has given.
	if !c.fresh(now) || !c.joined || c.draining || !c.hostsRead || now.Sub(c.isolatedAt) < c.cfg.PostIsolationWait ||
		now.Sub(c.startedAt) < c.cfg.withDrift(c.cfg.Tenure) || !c.cfg.Members.Eligible(c.self.ID) || c.leaving[c.self.ID] {
		clear(c.vacantSince)
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
		// A dead owner's key is claimed only when a majority has been heard since it became
		// vacant: a daemon that is being isolated loses its peers one after another.
		if ok && (ck.PrevEpoch == 0 || c.heardMajoritySince(known, c.vacantSince[k])) {
			rec.Keys = append(rec.Keys, ck)
		}
	}
	return rec
}

// dueClaim returns the claim of k if this daemon may claim it now: the key is vacant, the
// delay for the rank of this daemon among the daemons allowed to claim it has passed, and
// no promise or pending record forbids it. states are the states of the known daemons of the region.
func (c *Claimer) dueClaim(k Key, now time.Time, candidates []string, states map[string]link.State) (claimKey, bool) {
	s := c.state.Key(k)
	if !c.isVacant(k, s, states) {
		delete(c.vacantSince, k)
		return claimKey{}, false
	}
	since, ok := c.vacantSince[k]
	if !ok {
		since = now
		c.vacantSince[k] = now
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
	if rank < 0 || now.Sub(since) < wait || now.Before(c.promisedUntil[k]) || c.pending.blocksClaim(k, now, c.cfg.ResolveTimeout) {
		return claimKey{}, false
	}
	return ck, true
}

// isVacant reports whether k, of state s, may be claimed: it has no owner, or its owner has
// left or restarted, is gone, dead or unknown, or is this daemon after it has stopped
// serving k.
func (c *Claimer) isVacant(k Key, s KeyState, states map[string]link.State) bool {
	if s.Owner == "" || c.state.Orphaned(s) || c.gone[s.Owner] {
		return true
	}
	if s.Owner == c.self.ID {
		// The outcome of the release is unknown. Whichever of it and a new claim comes first
		// in the log takes effect.
		return c.stoppedEpoch[k] == s.Epoch && !c.draining
	}
	state, known := states[s.Owner]
	return !known || state == link.Dead
}

// allGone reports whether all the daemons have left or are gone according to the host list.
func (c *Claimer) allGone(ids []string) bool {
	for _, id := range ids {
		d, joined := c.state.Daemon(id)
		if !c.gone[id] && !(joined && d.Left) {
			return false
		}
	}
	return true
}

// ranked returns ids in the order of their rank for k, by rendezvous hashing: each daemon
// has a pseudo-random weight for each key, and the greatest weight comes first.
func ranked(k Key, ids []string) []string {
	weight := func(id string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(k) + "\x00" + id))
		// FNV alone yields similar high bits for similar inputs; mix them with the finalizer
		// of MurmurHash3.
		sum := h.Sum64()
		sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
		sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
		return sum ^ sum>>33
	}
	out := slices.Clone(ids)
	slices.SortFunc(out, func(a, b string) int {
		weightA, weightB := weight(a), weight(b)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		}
		return 0
	})
	return out
}
