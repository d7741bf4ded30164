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

// balanceLoop keeps the electorates of the owned keys up to date and hands keys
// over to the daemon that ranks first.
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

// dueElectorate returns an update if the electorate of a key differs from the
// live daemons of the region. A silent daemon is dropped, so that it does not
// block promises, and a new one is added.
func (c *Claimer) dueElectorate() *electorateRecord {
	known, heard := c.region()
	if 2*heard <= len(known) {
		return nil
	}
	rec := &electorateRecord{}
	for _, m := range known {
		d, joined := c.book.Daemon(m.ID)
		if joined && !d.Left && (m.State == link.Alive || m.State == link.Suspected) {
			rec.Daemons = append(rec.Daemons, m.ID)
		}
	}
	rec.Daemons = sortedSet(append(rec.Daemons, c.self.ID))
	for _, k := range sortedKeys(c.readyAt) {
		if s, mine := c.owned(k); mine && !slices.Equal(s.Electorate, rec.Daemons) {
			rec.Keys = append(rec.Keys, epochKey{Key: k, Epoch: s.Epoch})
		}
	}
	if len(rec.Keys) == 0 {
		return nil
	}
	return rec
}

func (c *Claimer) appendElectorate(ctx context.Context, rec electorateRecord) {
	e, err := upstream.NewEnvelope(kindElectorate, rec)
	if err != nil {
		return
	}
	c.mu.Lock()
	for _, k := range rec.Keys {
		c.doubts.add(e.ID, k.Key, k.Epoch, rec.Daemons, time.Now())
	}
	c.mu.Unlock()
	if _, err := c.writer.Append(ctx, e); err != nil && errkind.Of(err) != errkind.AppendUnknown {
		c.mu.Lock()
		c.doubts.settle(e.ID)
		c.mu.Unlock()
	}
}

// dueHandover returns the releases of up to HandoverBatch keys for which another
// daemon of the electorate ranks first.
func (c *Claimer) dueHandover(now time.Time) []releaseRecord {
	known, heard := c.region()
	if 2*heard <= len(known) {
		return nil
	}
	candidates := c.candidates(known)
	byTarget := make(map[string][]Key)
	n := 0
	for _, k := range c.held(now) {
		s := c.book.Key(k)
		order := ranked(k, candidates)
		if n >= c.cfg.HandoverBatch || len(order) == 0 || order[0] == c.self.ID || !slices.Contains(s.Electorate, order[0]) {
			continue
		}
		n++
		byTarget[order[0]] = append(byTarget[order[0]], k)
	}
	return c.stopAndRelease(byTarget)
}

// stopAndRelease ends the commands for the keys and returns the release records.
func (c *Claimer) stopAndRelease(byTarget map[string][]Key) []releaseRecord {
	var out []releaseRecord
	for to, keys := range byTarget {
		rec := releaseRecord{From: c.self.ID, To: to}
		for _, k := range keys {
			s := c.book.Key(k)
			c.stopped[k] = s.Epoch
			ek := epochKey{Key: k, Epoch: s.Epoch}
			if k.Kind() == IDs {
				ek.CutMS = c.cut(k)
			}
			rec.Keys = append(rec.Keys, ek)
			c.watch.send(OwnerChange{Key: k, Epoch: s.Epoch, Owner: s.Owner})
		}
		out = append(out, rec)
	}
	return out
}

// announce tells of the id shards that are about to be released.
func (c *Claimer) announce(ctx context.Context, recs []releaseRecord) {
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
	// The keys of the release have no owner that acts meanwhile.
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Tenure)
	defer cancel()
	fn(ctx, out)
}

// appendReleases appends the records and those of others in one append. If they are certainly not in
// the log, this daemon serves the keys again.
func (c *Claimer) appendReleases(ctx context.Context, recs []releaseRecord, others ...upstream.Envelope) error {
	group := make([]upstream.Envelope, 0, len(recs))
	c.announce(ctx, recs)
	c.mu.Lock()
	for _, rec := range recs {
		e, err := upstream.NewEnvelope(kindRelease, rec)
		if err != nil {
			c.mu.Unlock()
			return err
		}
		group = append(group, e)
		for _, k := range rec.Keys {
			c.doubts.add(e.ID, k.Key, k.Epoch, nil, time.Now())
		}
	}
	c.mu.Unlock()
	_, err := c.writer.AppendAll(ctx, append(group, others...))
	if err == nil || errkind.Of(err) == errkind.AppendUnknown {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, rec := range recs {
		c.doubts.settle(group[i].ID)
		for _, k := range rec.Keys {
			delete(c.stopped, k.Key)
			if r, ok := c.readyAt[k.Key]; ok {
				r.told = false // tellReady tells the watchers again
				c.readyAt[k.Key] = r
			}
		}
	}
	return err
}

// Drain stops claiming and hands all keys over to the daemons that rank first. It
// may be called again after an error. The daemon stays a member until Leave.
func (c *Claimer) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	known, _ := c.region()
	candidates := slices.DeleteFunc(c.candidates(known), func(id string) bool { return id == c.self.ID })
	byTarget := make(map[string][]Key)
	for _, k := range sortedKeys(c.readyAt) {
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
	recs := c.stopAndRelease(byTarget)
	c.mu.Unlock()
	e, err := upstream.NewEnvelope(kindDrain, leaveRecord{c.self.ID, c.cfg.Incarnation})
	if err != nil {
		return err
	}
	return c.appendReleases(ctx, recs, e)
}

// Leave appends the leave record, after which the other daemons end the contact.
// It must come after Drain and after the open calls are finished.
func (c *Claimer) Leave(ctx context.Context) error {
	e, err := upstream.NewEnvelope(kindLeave, leaveRecord{c.self.ID, c.cfg.Incarnation})
	if err != nil {
		return err
	}
	_, err = c.writer.Append(ctx, e)
	return err
}

// snapshotLoop appends a snapshot when enough records or time have passed. The
// daemon of rank r of the cell waits for r more shares, so that usually one does.
func (c *Claimer) snapshotLoop(ctx context.Context) error {
	var newSince time.Time
	var through upstream.Offset
	for ctx.Err() == nil {
		pause.For(ctx, c.cfg.Tick)
		now := time.Now()
		c.mu.Lock()
		if !c.fresh(now) || !c.joined || c.book.Next() == 0 {
			c.mu.Unlock()
			continue
		}
		if newSince.IsZero() || c.book.snapshotThrough != through {
			newSince, through = now, c.book.snapshotThrough
		}
		rank := c.snapshotRank()
		records := int(c.book.Next() - through)
		due := records >= c.cfg.SnapshotRecords*(4+rank)/4 ||
			now.Sub(newSince) >= c.cfg.SnapshotInterval*time.Duration(4+rank)/4
		due = due && now.Sub(c.snapshotAt) >= c.cfg.ResolveTimeout
		if !due {
			c.mu.Unlock()
			continue
		}
		c.snapshotAt = now
		group, err := c.book.Snapshot()
		c.mu.Unlock()
		if err == nil {
			_, err = c.writer.AppendAll(ctx, group)
		}
		if err != nil && ctx.Err() == nil {
			c.cfg.Logger.Warn().Str("event", "snapshot_not_appended").Str("kind", string(errkind.Of(err))).Send()
		}
	}
	return nil
}

func (c *Claimer) snapshotRank() int {
	var ids []string
	for _, m := range c.cfg.Members.Members() {
		if m.State == link.Alive {
			ids = append(ids, m.ID)
		}
	}
	return max(0, slices.Index(ranked("snapshot", ids), c.self.ID))
}
