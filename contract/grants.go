package contract

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// grantRetention is how far before the start of a new grant a span must have ended to be
// dropped. It exceeds the 10 min for which a recorder remembers ids.
const grantRetention = 15 * time.Minute

// GrantedSpan is a range [FromMS, ToMS) of mint times, in milliseconds of Unix time. Only
// the recorder Daemon at Epoch may run the ids of the shard that are minted in it. The
// spans of a shard never overlap.
type GrantedSpan struct {
	FromMS int64  `json:"f"`
	ToMS   int64  `json:"t"`
	Epoch  Epoch  `json:"e"`
	Daemon string `json:"d"`
}

// foldGrant appends a span or extends the last one. A grant that starts before the end of
// the last span is ignored, unless it cuts the span of a predecessor.
func (cs *ControlState) foldGrant(g grantRecord) {
	s := cs.keys[g.Shard]
	if g.Shard.Kind() != IDs || s.Owner == "" || s.Epoch != g.Epoch || g.FromMS >= g.ToMS {
		return
	}
	spans := append([]GrantedSpan(nil), cs.grants[g.Shard]...)
	if n := len(spans); n > 1 && g.Cut && spans[n-1].Epoch == g.Epoch {
		cs.moveBoundary(g, &spans[n-2], &spans[n-1])
		cs.grants[g.Shard] = spans
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
	for len(spans) > 1 && spans[0].ToMS < g.FromMS-grantRetention.Milliseconds() {
		spans = spans[1:]
	}
	cs.grants[g.Shard] = spans
}

// moveBoundary moves the rest of a predecessor's span, from g.FromMS on, to the next span.
// It is for a recorder that got its own grant before the predecessor was known to be gone.
func (cs *ControlState) moveBoundary(g grantRecord, old, own *GrantedSpan) {
	if old.Epoch != own.Epoch && old.ToMS == own.FromMS && g.FromMS >= old.FromMS && g.FromMS < old.ToMS {
		old.ToMS, own.FromMS = g.FromMS, g.FromMS
	}
}

// endGrant ends the last span at cutMS if it is of epoch e and ends later.
func (cs *ControlState) endGrant(shard Key, e Epoch, cutMS int64) {
	spans := append([]GrantedSpan(nil), cs.grants[shard]...)
	if n := len(spans); n > 0 && spans[n-1].Epoch == e && cutMS < spans[n-1].ToMS {
		spans[n-1].ToMS = max(cutMS, spans[n-1].FromMS)
		cs.grants[shard] = spans
	}
}

// MintStatus is the position of a mint time among the granted spans of a shard.
type MintStatus string

// The positions of a mint time.
const (
	MintGranted      MintStatus = "granted" // in a span; its recorder may have run the id
	MintBeyondGrants MintStatus = "later"   // after every span; no recorder has run the id
	MintUnknown      MintStatus = "unknown" // before or between the spans, or the last read of the log is too old
)

// Grants answers which recorder was granted a mint time of an id shard, and appends
// grants for the shards that this daemon owns. Its methods are safe for concurrent use.
type Grants struct {
	c          *Claimer
	cfg        GrantsConfig
	usedBefore map[Key]int64 // greatest end of a range that Range returned, in Unix ms; guarded by Claimer.mu
}

// GrantsConfig configures Grants.
type GrantsConfig struct {
	// GrantLength is how far beyond the present, or beyond its own start if that is
	// later, a grant reaches. Default 120 s.
	GrantLength time.Duration
	// ExtendBefore is how long before its end a grant is extended. Default 60 s.
	ExtendBefore time.Duration
	// MaxMintAhead is how far the mint time of an id that is run may be ahead of this
	// daemon's clock. Default 5 s.
	MaxMintAhead time.Duration
	// MaxClockSkew is the largest difference between the wall clocks of two daemons. It is
	// used only when the span of a recorder that is gone is cut. Default 5 s.
	MaxClockSkew time.Duration
	// Interval is the time between two checks whether grants are due. Default 250 ms.
	Interval time.Duration
	// Now returns the wall-clock time. Default time.Now.
	Now func() time.Time
}

// NewGrants returns the Grants of a Claimer. Grants are appended only while Run is running.
func NewGrants(c *Claimer, cfg GrantsConfig) *Grants {
	for _, d := range []struct {
		field        *time.Duration
		defaultValue time.Duration
	}{
		{&cfg.GrantLength, 120 * time.Second}, {&cfg.ExtendBefore, 60 * time.Second}, {&cfg.MaxMintAhead, 5 * time.Second},
		{&cfg.MaxClockSkew, 5 * time.Second}, {&cfg.Interval, 250 * time.Millisecond},
	} {
		if *d.field <= 0 {
			*d.field = d.defaultValue
		}
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	g := &Grants{c: c, cfg: cfg, usedBefore: make(map[Key]int64)}
	c.mu.Lock()
	c.firstUnusedMint = g.firstUnusedMint
	c.mu.Unlock()
	return g
}

// Range returns the range [from, to) of mint times, in milliseconds of Unix time, whose ids
// this daemon may run now for the shard, and the epoch of the grant. It needs no tenure:
// the spans of two recorders never overlap, so that a paused recorder never runs the ids
// of a successor. ok is false if there is no such range.
func (g *Grants) Range(shard Key) (from, to int64, e Epoch, ok bool) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	s, mine := g.c.owned(shard)
	spans := g.c.state.grants[shard]
	if !mine || len(spans) == 0 || spans[len(spans)-1].Epoch != s.Epoch {
		return 0, 0, 0, false
	}
	last := spans[len(spans)-1]
	to = min(last.ToMS, g.cfg.Now().Add(g.cfg.MaxMintAhead).UnixMilli()+1)
	if last.FromMS >= to {
		return 0, 0, 0, false
	}
	g.usedBefore[shard] = max(g.usedBefore[shard], to)
	return last.FromMS, to, s.Epoch, true
}

// firstUnusedMint returns the mint time, in milliseconds of Unix time, from which this
// daemon has run no id of the shard; at least 1, because a cut at zero means none. It does
// not depend on the clock, which may have been set back. The caller holds Claimer.mu.
func (g *Grants) firstUnusedMint(shard Key) int64 { return max(1, g.usedBefore[shard]) }

// AsOf returns the start of the last read that reached the head of the log. An answer
// MintBeyondGrants of OwnerOfMint takes only the grants appended before that time into
// account.
func (g *Grants) AsOf() time.Time {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	return g.c.confirmedAt
}

// OwnerOfMint returns the recorder, and its epoch, to which mint time ms (milliseconds of
// Unix time) of the shard was granted. They are zero unless m is MintGranted.
func (g *Grants) OwnerOfMint(shard Key, ms int64) (daemon string, e Epoch, m MintStatus) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	if !g.c.state.Ready() {
		return "", 0, MintUnknown
	}
	spans := g.c.state.grants[shard]
	for _, s := range spans {
		if ms >= s.FromMS && ms < s.ToMS {
			return s.Daemon, s.Epoch, MintGranted
		}
	}
	fresh := time.Since(g.c.confirmedAt) < g.c.cfg.Tenure
	if fresh && (len(spans) == 0 || ms >= spans[len(spans)-1].ToMS) {
		return "", 0, MintBeyondGrants
	}
	return "", 0, MintUnknown
}

// Run appends grants for the shards for which this daemon may act, until ctx ends.
func (g *Grants) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(g.cfg.Interval):
		}
		envelopes, keys, err := g.dueGrants()
		if err == nil && len(envelopes) > 0 {
			_, err = g.c.writer.AppendAll(ctx, envelopes)
		}
		if err != nil && ctx.Err() == nil {
			g.c.cfg.Logger.Warn().Str("event", "grant_not_appended").Str("kind", string(errkind.Of(err))).
				Int("count", len(keys)).Str("keys", firstKeys(keys)).Err(err).Send()
		}
	}
}

// dueGrants returns the grants to append now, in one batch, and their shards; with an error,
// the shard that failed. A grant whose outcome is unknown may be appended again, because
// the fold ignores a grant that would overlap the other.
func (g *Grants) dueGrants() (envelopes []upstream.Envelope, keys []Key, err error) {
	g.c.mu.Lock()
	defer g.c.mu.Unlock()
	now := g.cfg.Now()
	for _, k := range g.c.keys {
		if k.Kind() != IDs {
			continue
		}
		s, mine := g.c.owned(k)
		if !mine || !g.c.takeoverWaitPassed(k, s) {
			continue
		}
		rec, ok := g.nextGrant(k, s, now)
		if !ok {
			continue
		}
		e, err := upstream.NewEnvelope(kindGrant, rec)
		if err != nil {
			return nil, []Key{k}, err
		}
		envelopes, keys = append(envelopes, e), append(keys, k)
	}
	return envelopes, keys, nil
}

// nextGrant returns the grant that this daemon, the owner of k in state s, needs next, and
// whether it is to be appended now. The caller holds Claimer.mu.
func (g *Grants) nextGrant(k Key, s KeyState, now time.Time) (grantRecord, bool) {
	nowMS := now.UnixMilli()
	rec := grantRecord{Shard: k, Epoch: s.Epoch, FromMS: nowMS - g.cfg.MaxMintAhead.Milliseconds(), ToMS: nowMS + g.cfg.GrantLength.Milliseconds()}
	spans := g.c.state.grants[k]
	if len(spans) == 0 {
		return rec, true
	}
	last := spans[len(spans)-1]
	if last.Epoch == s.Epoch {
		if n := len(spans); n > 1 && spans[n-2].ToMS == last.FromMS {
			if from, ok := g.freeFrom(spans[n-2], now); ok {
				rec.FromMS, rec.ToMS, rec.Cut = from, last.ToMS, true
				return rec, true
			}
		}
		rec.FromMS = last.ToMS
		return rec, last.ToMS-nowMS < g.cfg.ExtendBefore.Milliseconds()
	}
	rec.FromMS = last.ToMS
	if from, ok := g.freeFrom(last, now); ok {
		rec.FromMS, rec.Cut = from, true
	}
	rec.ToMS = max(nowMS, rec.FromMS) + g.cfg.GrantLength.Milliseconds()
	return rec, true
}

// freeFrom returns the mint time from which the span of another recorder that is gone may
// be granted to this daemon: that recorder ran no id minted more than MaxMintAhead ahead of
// its own clock. ok is false if the recorder is not known to be gone or nothing is left.
func (g *Grants) freeFrom(s GrantedSpan, now time.Time) (fromMS int64, ok bool) {
	from := max(now.Add(g.cfg.MaxMintAhead+g.cfg.MaxClockSkew).UnixMilli(), s.FromMS)
	return from, from < s.ToMS && s.Daemon != g.c.self.ID && g.c.gone[s.Daemon]
}
