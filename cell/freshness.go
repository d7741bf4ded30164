package cell

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
)

const (
	// permitMarginDivisor gives the margin of a permit: one part in so many of Settings.RevokeWithin. It
	// covers that the clock of this host, and the one by which the bound is judged, each run wrong by up to
	// 2 %, the drift that is assumed for machines, too.
	permitMarginDivisor = 25
	// permitReadDivisor gives the longest wait of one read of the configuration while permits are needed: one
	// part in so many of Settings.RevokeWithin.
	//
	// It is chosen so that lost reads do not end the permit while the log works. Let w be the wait, and r
	// the round trip to the log. A permit that was proven by a read at t is next renewed by the read that
	// begins at t + w + r. If that one gets no answer (a silent connection), it ends after w + logTimeout:
	// the copy that directTimeout sends through another daemon waits up to w as well, so it is not counted
	// on. The next read begins after logRetry, directly and through another daemon at once, and is answered
	// after w + r. The renewal thus comes after 3w + logTimeout + logRetry + 2r, and with two lost reads in a
	// row after 4w + 2 (logTimeout + logRetry) + 2r. For a bound of 5 s (w = 500 ms, the permit lasts 4.8 s)
	// that is 2.55 s + 2r and 4.1 s + 2r: two lost reads are outlasted if r is below 350 ms. One lost read is
	// outlasted from a bound of 1.6 s + 3r on. With the wait of 1 s that is used without permits it would
	// be 4.05 s + 2r, and two lost reads would end the permit.
	permitReadDivisor = 10
	// permitCheckInterval is how often the end of the permit is looked for, to log it, and the age of the
	// last proof is measured. No call waits for it: each checks the permit itself.
	permitCheckInterval = 250 * time.Millisecond
)

// freshness holds the permit of a daemon to serve calls with keys. A read of the configuration that began at
// some time and was answered proves that all versions that the log had acknowledged before are known, once
// its entries are applied. The permit ends when the last proof is older than life: a version that removes a
// key may be in force since then. Time is that of a Clock that goes on while the host is suspended.
type freshness struct {
	clock  Clock
	life   time.Duration // of a permit, 0 if none is needed
	logger zerolog.Logger

	mu       sync.Mutex
	proven   bool          // provenAt is the start of a read, otherwise the start of this daemon
	provenAt time.Duration // start of the last read that is a proof
	// unreadable means that the log has a version that this daemon cannot read. No read is a proof until a
	// newer version is applied.
	unreadable bool
	wasHeld    bool          // the permit was held when report last looked
	endedAt    time.Duration // when it ended or the daemon started; valid unless wasHeld
}

// newFreshness returns a freshness without a permit, or one that needs none unless settings ask for it.
func newFreshness(settings *Settings) *freshness {
	f := &freshness{clock: settings.Clock, logger: settings.Logger}
	if settings.StrictRevoke && settings.RevokeWithin > 0 {
		f.life = settings.RevokeWithin - settings.RevokeWithin/permitMarginDivisor
	}
	f.provenAt = f.clock()
	f.endedAt = f.provenAt
	return f
}

// configWait returns how long one read waits for a new configuration.
func configWait(settings *Settings) time.Duration {
	if !settings.StrictRevoke || settings.RevokeWithin <= 0 {
		return configReadWait
	}
	return min(configReadWait, settings.RevokeWithin/permitReadDivisor)
}

// prove takes into account that a read that began at a time was answered and its entries are applied.
func (f *freshness) prove(began time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreadable {
		return
	}
	f.reportLocked() // an end since the last check, which the proof would hide
	f.proven, f.provenAt = true, max(f.provenAt, began)
	f.reportLocked()
}

// setUnreadable says whether the newest version that the log has could not be read. The permit lasts on,
// since the proof that it rests on still holds, but it is not renewed.
func (f *freshness) setUnreadable(unreadable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreadable = unreadable
}

// held reports whether the permit holds now, or none is needed.
func (f *freshness) held() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldLocked(f.clock())
}

// heldLocked is held at time now. The caller holds mu.
func (f *freshness) heldLocked(now time.Duration) bool {
	return f.life == 0 || f.proven && now-f.provenAt < f.life
}

// report logs when the permit has ended or is held again, and returns the age of the last proof, or of the
// daemon before the first.
func (f *freshness) report() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reportLocked()
}

// reportLocked is report for a caller that holds mu.
func (f *freshness) reportLocked() time.Duration {
	now := f.clock()
	age := now - f.provenAt
	if f.life == 0 {
		return age
	}
	switch held := f.heldLocked(now); {
	case held && !f.wasHeld:
		f.logger.Info().Str("event", "key_permit_granted").Int64("after_ms", (now - f.endedAt).Milliseconds()).Send()
		f.wasHeld = true
	case !held && f.wasHeld:
		f.wasHeld, f.endedAt = false, f.provenAt+f.life
		f.logger.Warn().Str("event", "key_permit_ended").Int64("proof_age_ms", age.Milliseconds()).
			Int64("lasts_ms", f.life.Milliseconds()).Bool("unreadable", f.unreadable).Send()
	}
	return age
}

// watchPermit reports the permit until ctx ends.
func (d *Daemon) watchPermit(ctx context.Context) {
	for pause.For(ctx, permitCheckInterval) {
		d.settings.Metrics.ConfigProofAge.Set(d.freshness.report().Seconds())
	}
}

// reasonKeysNotFresh is the reason of a refusal because this daemon may lack a version of the configuration
// that removes a key.
const reasonKeysNotFresh = "keys_not_fresh"

// FreshConfig returns the configuration in force, nil if there is none yet, and whether calls with keys may
// be served by it. The permit is read first: a version that arrives in between is then used, while a permit
// that it renews would make the former version valid again.
func (d *Daemon) FreshConfig() (*Config, bool) {
	fresh := d.freshness.held()
	return d.config.Load(), fresh
}

// ErrKeysNotFresh returns the refusal of a call with a key while FreshConfig reports that none may be served.
func ErrKeysNotFresh() error {
	return errkind.New(errkind.NotReady, reasonKeysNotFresh, "the configuration on this daemon may be out of date")
}
