package contract

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// grantMemory is how long the spans of former recorders are kept before the end
// of the newest one. It exceeds the 10 min for which a recorder remembers ids.
const grantMemory = 15 * time.Minute

// GrantedSpan is a range [FromMS, ToMS) of mint times of a shard's ids that one
// recorder may run. The spans of a shard never overlap.
type GrantedSpan struct {
	FromMS int64  `json:"f"`
	ToMS   int64  `json:"t"`
	Epoch  Epoch  `json:"e"`
	Daemon string `json:"d"`
}

// foldGrant appends a span. A grant that starts before the end of the last span
// is void, unless it cuts the span of a predecessor.
func (b *ControlState) foldGrant(g grantRecord) {
	s := b.keys[g.Shard]
	if g.Shard.Kind() != IDs || s.Owner == "" || s.Epoch != g.Epoch || g.FromMS >= g.ToMS {
		return
	}
	spans := append([]GrantedSpan(nil), b.grants[g.Shard]...)
	if n := len(spans); n > 1 && g.Cut && spans[n-1].Epoch == g.Epoch {
		b.moveBoundary(g, &spans[n-2], &spans[n-1])
		b.grants[g.Shard] = spans
		return
	}
	if n := len(spans); n > 0 && g.FromMS < spans[n-1].ToMS {
		last := &spans[n-1]
		if !g.Cut || last.Epoch == g.Epoch || g.FromMS < last.FromMS {
			return
		}
		last.ToMS = g.FromMS
	}
	if n := len(spans); n > 0 && spans[n-1].Epoch == g.Epoch && spans[n-1].ToMS == g.FromMS {
		spans[n-1].ToMS = g.ToMS
	} else {
		spans = append(spans, GrantedSpan{g.FromMS, g.ToMS, g.Epoch, s.Owner})
	}
	for len(spans) > 1 && spans[0].ToMS < g.FromMS-grantMemory.Milliseconds() {
		spans = spans[1:]
	}
	b.grants[g.Shard] = spans
}

// moveBoundary gives the end of a predecessor's span to the next span, whose
// recorder had a grant before the predecessor was known to be gone.
func (b *ControlState) moveBoundary(g grantRecord, old, own *GrantedSpan) {
	if old.Epoch != own.Epoch && old.ToMS == own.FromMS && g.FromMS >= old.FromMS && g.FromMS < old.ToMS {
		old.ToMS, own.FromMS = g.FromMS, g.FromMS
	}
}

// cutGrant ends the last span of epoch e at cutMS.
func (b *ControlState) cutGrant(shard Key, e Epoch, cutMS int64) {
	spans := append([]GrantedSpan(nil), b.grants[shard]...)
	if n := len(spans); n > 0 && spans[n-1].Epoch == e && cutMS < spans[n-1].ToMS {
		spans[n-1].ToMS = max(cutMS, spans[n-1].FromMS)
		b.grants[shard] = spans
	}
}

// MintStatus tells where a mint time lies among the spans of a shard.
type MintStatus string

// The positions of a mint time.
const (
	MintGranted      MintStatus = "granted" // in a span; its recorder may have run the id
	MintBeyondGrants MintStatus = "later"   // after every span: nobody has run the id
	MintUnknown      MintStatus = "unknown" // before the known spans, between them, or the log was not read
)

// Grants gives the ranges of mint times per id shard and extends those of the
// shards that this daemon holds.
type Grants struct {
	c     *Claimer
	cfg   GrantsConfig
	ended map[Key]int64 // greatest end of a range that Range returned; Claimer.mu guards it
}

// GrantsConfig configures Grants.
type GrantsConfig struct {
	// GrantLength is the length of a grant from now on. Default 120 s.
	GrantLength time.Duration
	// ExtendBefore is what is left of a grant when it is extended. Default 60 s.
	ExtendBefore time.Duration
	// MaxMintAhead is how far in the future of this daemon's clock an id may be
	// minted to be run. Default 5 s.
	MaxMintAhead time.Duration
	// MaxClockSkew is the largest difference between the clocks of two daemons. It
	// matters only when the span of a recorder that is gone is cut. Default 5 s.
	MaxClockSkew time.Duration
	// Interval between two checks. Default 250 ms.
	Interval time.Duration
	// Now gives the wall clock. Default time.Now.
	Now func() time.Time
}

// NewGrants returns the Grants of a Claimer. Run must be running.
func NewGrants(c *Claimer, cfg GrantsConfig) *Grants {
	for _, d := range []struct {
		d   *time.Duration
		def time.Duration
	}{
		{&cfg.GrantLength, 120 * time.Second}, {&cfg.ExtendBefore, 60 * time.Second}, {&cfg.MaxMintAhead, 5 * time.Second},
		{&cfg.MaxClockSkew, 5 * time.Second}, {&cfg.Interval, 250 * time.Millisecond},
	} {
		if *d.d <= 0 {
			*d.d = d.def
		}
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	g := &Grants{c: c, cfg: cfg, ended: make(map[Key]int64)}
	c.mu.Lock()
	c.cut = g.cut
	c.mu.Unlock()
	return g
}

// Range returns the mint times [from, to) in milliseconds of the ids that this
// daemon may run now for the shard. It needs no tenure: the spans of two
// recorders never overlap, so a paused recorder never runs a successor's ids.
func (g *Grants) Range(shard Key) (from, to int64, e Epoch, ok bool) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	s, mine := g.c.owned(shard)
	spans := g.c.book.grants[shard]
	if !mine || len(spans) == 0 || spans[len(spans)-1].Epoch != s.Epoch {
		return 0, 0, 0, false
	}
	last := spans[len(spans)-1]
	to = min(last.ToMS, g.cfg.Now().Add(g.cfg.MaxMintAhead).UnixMilli()+1)
	if last.FromMS >= to {
		return 0, 0, 0, false
	}
	g.ended[shard] = max(g.ended[shard], to)
	return last.FromMS, to, s.Epoch, true
}

// cut returns the mint time from which this daemon has run no id of the shard.
// It does not depend on the clock, which may have been set back.
func (g *Grants) cut(shard Key) int64 { return max(1, g.ended[shard]) }

// AsOf returns the start of the last read that reached the head of the log. What
// OwnerOfMint says of MintBeyondGrants holds for what was granted before that time.
func (g *Grants) AsOf() time.Time {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	return g.c.confirmed
}

// OwnerOfMint returns the recorder whose span holds the mint time ms of a shard.
func (g *Grants) OwnerOfMint(shard Key, ms int64) (daemon string, e Epoch, m MintStatus) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	if !g.c.book.Ready() {
		return "", 0, MintUnknown
	}
	spans := g.c.book.grants[shard]
	for _, s := range spans {
		if ms >= s.FromMS && ms < s.ToMS {
			return s.Daemon, s.Epoch, MintGranted
		}
	}
	fresh := time.Since(g.c.confirmed) < g.c.cfg.Tenure
	if fresh && (len(spans) == 0 || ms >= spans[len(spans)-1].ToMS) {
		return "", 0, MintBeyondGrants
	}
	return "", 0, MintUnknown
}

// Run appends grants for the shards held until ctx ends.
func (g *Grants) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(g.cfg.Interval):
		}
		group, keys, err := g.due()
		if err == nil && len(group) > 0 {
			_, err = g.c.writer.AppendAll(ctx, group)
		}
		if err != nil && ctx.Err() == nil {
			g.c.cfg.Logger.Warn().Str("event", "grant_not_appended").Str("kind", string(errkind.Of(err))).
				Int("count", len(keys)).Str("keys", firstKeys(keys)).Err(err).Send()
		}
	}
}

// due returns the grants to append now, in one batch, and their shards. A grant whose outcome is
// unknown may be appended again: the fold voids the one that would overlap.
func (g *Grants) due() (group []upstream.Envelope, keys []Key, err error) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	now := g.cfg.Now()
	for _, k := range g.c.keys {
		if k.Kind() != IDs {
			continue
		}
		s, mine := g.c.owned(k)
		if !mine || !g.c.actionable(k, s) {
			continue
		}
		rec, ok := g.next(k, s, now)
		if !ok {
			continue
		}
		e, err := upstream.NewEnvelope(kindGrant, rec)
		if err != nil {
			return nil, []Key{k}, err
		}
		group, keys = append(group, e), append(keys, k)
	}
	return group, keys, nil
}

func (g *Grants) next(k Key, s KeyState, now time.Time) (grantRecord, bool) {
	ms := now.UnixMilli()
	rec := grantRecord{Shard: k, Epoch: s.Epoch, FromMS: ms - g.cfg.MaxMintAhead.Milliseconds(), ToMS: ms + g.cfg.GrantLength.Milliseconds()}
	spans := g.c.book.grants[k]
	if len(spans) == 0 {
		return rec, true
	}
	last := spans[len(spans)-1]
	if last.Epoch == s.Epoch {
		if n := len(spans); n > 1 && spans[n-2].ToMS == last.FromMS {
			if from, ok := g.free(spans[n-2], now); ok {
				rec.FromMS, rec.ToMS, rec.Cut = from, last.ToMS, true
				return rec, true
			}
		}
		rec.FromMS = last.ToMS
		return rec, last.ToMS-ms < g.cfg.ExtendBefore.Milliseconds()
	}
	rec.FromMS = last.ToMS
	if from, ok := g.free(last, now); ok {
		rec.FromMS, rec.Cut = from, true
	}
	rec.ToMS = max(ms, rec.FromMS) + g.cfg.GrantLength.Milliseconds()
	return rec, true
}

// free returns the mint time from which the span of a recorder that is gone is
// free: it ran no id minted later than MaxMintAhead after its own clock.
func (g *Grants) free(s GrantedSpan, now time.Time) (fromMS int64, ok bool) {
	from := max(now.Add(g.cfg.MaxMintAhead+g.cfg.MaxClockSkew).UnixMilli(), s.FromMS)
	return from, from < s.ToMS && s.Daemon != g.c.self.ID && g.c.gone[s.Daemon]
}
