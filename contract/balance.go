package contract

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// balanceLoop keeps the electorates of the owned keys up to date and hands keys over to
// the daemons that rank first for them.
func (c *Claimer) balanceLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, c.cfg.BalanceInterval/4)
		now := time.Now()
		c.mu.Lock()
		due := c.fresh(now) && c.joined && !c.draining && now.Sub(c.balancedAt) >= c.cfg.BalanceInterval
		var electorate *electorateRecord
		var releases []releaseRecord
		if due {
			if electorate = c.dueElectorate(); electorate == nil {
				releases = c.dueHandover(now)
			}
			if electorate != nil || len(releases) > 0 {
				c.balancedAt = now
			}
		}
		c.mu.Unlock()
		if electorate != nil {
			c.appendElectorate(ctx, *electorate)
		}
		if len(releases) > 0 {
			_ = c.appendReleases(ctx, releases)
		}
	}
	return nil
}

// dueElectorate returns an update of all owned keys whose electorate differs from the alive
// and suspected daemons of the region, or nil. It removes dead daemons, so that tenure by
// promises does not need their promises, and adds new ones. It also returns nil while this
// daemon hears no majority of the region. The caller holds c.mu.
func (c *Claimer) dueElectorate() *electorateRecord {
	known, heard := c.regionMembers()
	if 2*heard <= len(known) {
		return nil
	}
	rec := &electorateRecord{}
	for _, m := range known {
		d, joined := c.state.Daemon(m.ID)
		if joined && !d.Left && (m.State == link.Alive || m.State == link.Suspected) {
			rec.Daemons = append(rec.Daemons, m.ID)
		}
	}
	rec.Daemons = sortedSet(append(rec.Daemons, c.self.ID))
	for _, k := range sortedKeys(c.readiness) {
		if s, mine := c.owned(k); mine && !slices.Equal(s.Electorate, rec.Daemons) {
			rec.Keys = append(rec.Keys, epochKey{Key: k, Epoch: s.Epoch})
		}
	}
	if len(rec.Keys) == 0 {
		return nil
	}
	return rec
}

// appendElectorate appends an update of the electorate. It stays pending until it is read
// back, or until it is certain that it is not in the log.
func (c *Claimer) appendElectorate(ctx context.Context, rec electorateRecord) {
	e, err := upstream.NewEnvelope(kindElectorate, rec)
	if err != nil {
		return
	}
	c.mu.Lock()
	for _, k := range rec.Keys {
		c.pending.add(e.ID, k.Key, k.Epoch, rec.Daemons, time.Now())
	}
	c.mu.Unlock()
	if _, err := c.writer.Append(ctx, e); err != nil && errkind.Of(err) != errkind.AppendUnknown {
		c.mu.Lock()
		c.pending.resolve(e.ID)
		c.mu.Unlock()
	}
}

// dueHandover returns the releases of up to HandoverBatch keys for which another daemon
// of the electorate ranks first, and stops serving these keys. The caller holds c.mu.
func (c *Claimer) dueHandover(now time.Time) []releaseRecord {
	known, heard := c.regionMembers()
	if 2*heard <= len(known) {
		return nil
	}
	candidates := c.candidates(known)
	byTarget := make(map[string][]Key)
	count := 0
	for _, k := range c.held(now) {
		s := c.state.Key(k)
		order := ranked(k, candidates)
		if count >= c.cfg.HandoverBatch || len(order) == 0 || order[0] == c.self.ID || !slices.Contains(s.Electorate, order[0]) {
			continue
		}
		count++
		byTarget[order[0]] = append(byTarget[order[0]], k)
	}
	return c.stopServing(byTarget)
}

// stopServing stops serving the keys, which ends their tenure, and returns one release
// record per target. The caller holds c.mu.
func (c *Claimer) stopServing(byTarget map[string][]Key) []releaseRecord {
	var out []releaseRecord
	for to, keys := range byTarget {
		rec := releaseRecord{From: c.self.ID, To: to}
		for _, k := range keys {
			s := c.state.Key(k)
			c.stoppedEpoch[k] = s.Epoch
			ek := epochKey{Key: k, Epoch: s.Epoch}
			if k.Kind() == IDs {
				ek.CutMS = c.firstUnusedMint(k)
			}
			rec.Keys = append(rec.Keys, ek)
			c.watchers.send(OwnerChange{Key: k, Epoch: s.Epoch, Owner: s.Owner})
		}
		out = append(out, rec)
	}
	return out
}

// announceReleases calls onRelease with the id shards that are about to be released, and
// with a context that ends after Config.Tenure.
func (c *Claimer) announceReleases(ctx context.Context, recs []releaseRecord) {
	var out []Release
	c.mu.Lock()
	for _, rec := range recs {
		for _, k := range rec.Keys {
			if k.Key.Kind() == IDs {
				out = append(out, c.releaseOf(k, rec.To))
			}
		}
	}
	fn := c.onRelease
	c.mu.Unlock()
	if len(out) == 0 {
		return
	}
	// The time is bounded because no daemon acts for the keys until the release is appended.
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Tenure)
	defer cancel()
	fn(ctx, out)
}

// appendReleases appends the release records and others in one append. If they are
// certainly not in the log, this daemon serves the keys again.
func (c *Claimer) appendReleases(ctx context.Context, recs []releaseRecord, others ...upstream.Envelope) error {
	envelopes := make([]upstream.Envelope, 0, len(recs))
	c.announceReleases(ctx, recs)
	c.mu.Lock()
	for _, rec := range recs {
		e, err := upstream.NewEnvelope(kindRelease, rec)
		if err != nil {
			c.mu.Unlock()
			return err
		}
		envelopes = append(envelopes, e)
		for _, k := range rec.Keys {
			c.pending.add(e.ID, k.Key, k.Epoch, nil, time.Now())
		}
	}
	c.mu.Unlock()
	_, err := c.writer.AppendAll(ctx, append(envelopes, others...))
	if err == nil || errkind.Of(err) == errkind.AppendUnknown {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, rec := range recs {
		c.pending.resolve(envelopes[i].ID)
		for _, k := range rec.Keys {
			delete(c.stoppedEpoch, k.Key)
			if r, ok := c.readiness[k.Key]; ok {
				r.notified = false // so that notifyReady notifies the watchers again
				c.readiness[k.Key] = r
			}
		}
	}
	return err
}

// Drain stops claiming and releases all keys, each to the daemon that ranks first for it
// in its electorate, or to nobody if there is none. It may be called again after an error.
// The daemon stays a member until Leave.
func (c *Claimer) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	known, _ := c.regionMembers()
	candidates := slices.DeleteFunc(c.candidates(known), func(id string) bool { return id == c.self.ID })
	byTarget := make(map[string][]Key)
	for _, k := range sortedKeys(c.readiness) {
		s, mine := c.owned(k)
		if !mine {
			continue
		}
		to := ""
		for _, id := range ranked(k, candidates) {
			if slices.Contains(s.Electorate, id) {
				to = id
				break
			}
		}
		byTarget[to] = append(byTarget[to], k)
	}
	recs := c.stopServing(byTarget)
	c.mu.Unlock()
	e, err := upstream.NewEnvelope(kindDrain, leaveRecord{c.self.ID, c.cfg.Incarnation})
	if err != nil {
		return err
	}
	return c.appendReleases(ctx, recs, e)
}

// Leave appends the leave record, after which the other daemons end the contact with this
// one. It must be called after Drain, when the open calls are finished.
func (c *Claimer) Leave(ctx context.Context) error {
	e, err := upstream.NewEnvelope(kindLeave, leaveRecord{c.self.ID, c.cfg.Incarnation})
	if err != nil {
		return err
	}
	_, err = c.writer.Append(ctx, e)
	return err
}

// snapshotLoop appends a snapshot when enough records have been appended or enough time has
// passed since the last one. The daemon of rank r waits for r more quarters of
// SnapshotRecords and SnapshotInterval, so that usually only one daemon appends it.
func (c *Claimer) snapshotLoop(ctx context.Context) error {
	var seenAt time.Time
	var through upstream.Offset
	for ctx.Err() == nil {
		pause.For(ctx, c.cfg.Tick)
		now := time.Now()
		c.mu.Lock()
		if !c.fresh(now) || !c.joined || c.state.Next() == 0 {
			c.mu.Unlock()
			continue
		}
		if seenAt.IsZero() || c.state.snapshotThrough != through {
			seenAt, through = now, c.state.snapshotThrough
		}
		rank := c.snapshotRank()
		records := int(c.state.Next() - through)
		due := records >= c.cfg.SnapshotRecords*(4+rank)/4 ||
			now.Sub(seenAt) >= c.cfg.SnapshotInterval*time.Duration(4+rank)/4
		due = due && now.Sub(c.snapshotAt) >= c.cfg.ResolveTimeout
		if !due {
			c.mu.Unlock()
			continue
		}
		c.snapshotAt = now
		envelopes, err := c.state.Snapshot()
		c.mu.Unlock()
		if err == nil {
			_, err = c.writer.AppendAll(ctx, envelopes)
		}
		if err != nil && ctx.Err() == nil {
			c.cfg.Logger.Warn().Str("event", "snapshot_not_appended").Str("kind", string(errkind.Of(err))).Send()
		}
	}
	return nil
}

// snapshotRank returns the rank of this daemon among the alive daemons of the cell for
// appending snapshots; zero is the first.
func (c *Claimer) snapshotRank() int {
	var ids []string
	for _, m := range c.cfg.Members.Members() {
		if m.State == link.Alive {
			ids = append(ids, m.ID)
		}
	}
	return max(0, slices.Index(ranked("snapshot", ids), c.self.ID))
}
