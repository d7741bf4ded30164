package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// SnapshotterConfig configures a Snapshotter.
type SnapshotterConfig struct {
	Store *Store       // required; must be running
	Log   upstream.Log // required
	// EveryRecords is the number of records after the newest snapshot at which
	// another is due. It bounds what a starting daemon reads. Default 1,000.
	EveryRecords int
	// EveryBytes is the size of accepted change records after the newest snapshot at
	// which another is due. Default 4 MiB.
	EveryBytes int64
	// MaxAge is the age of the newest snapshot at which another is due even if nothing
	// has changed. It must be well below the retention of the log. Default 1 h.
	MaxAge time.Duration
	// PartBytes is the largest payload of one snapshot record. Default 128 KiB.
	PartBytes int
	// CheckInterval is the pause between two checks whether a snapshot is due. Default 1 s.
	CheckInterval time.Duration
	// Delay returns how long to wait before a due snapshot is written. If another daemon
	// writes one in that time, it is no longer due. Default random up to 10 s.
	Delay func() time.Duration
	// AppendTimeout bounds one append. Default 5 s.
	AppendTimeout time.Duration
	Logger        zerolog.Logger
}

func (c SnapshotterConfig) withDefaults() SnapshotterConfig {
	setDefault(&c.EveryRecords, 1000)
	if c.EveryBytes <= 0 {
		c.EveryBytes = 4 << 20
	}
	setDefault(&c.MaxAge, time.Hour)
	setDefault(&c.PartBytes, 128<<10)
	setDefault(&c.CheckInterval, time.Second)
	setDefault(&c.AppendTimeout, 5*time.Second)
	if c.Delay == nil {
		c.Delay = func() time.Duration { return rand.N(10 * time.Second) }
	}
	return c
}

// Snapshotter appends snapshots of the configuration to the log before retention
// removes the records that the configuration was folded from. Several daemons may run
// one; two snapshots at the same time are harmless and cost only space.
type Snapshotter struct {
	cfg SnapshotterConfig
}

// NewSnapshotter returns a Snapshotter.
func NewSnapshotter(cfg SnapshotterConfig) (*Snapshotter, error) {
	if cfg.Store == nil || cfg.Log == nil {
		return nil, errkind.New(errkind.BadInput, "config_snapshotter", "Store and Log are required")
	}
	return &Snapshotter{cfg.withDefaults()}, nil
}

// Run appends snapshots when they are due, until ctx ends, and returns the error of ctx.
func (s *Snapshotter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, s.cfg.CheckInterval)
		if !s.due() {
			continue
		}
		pause.For(ctx, s.cfg.Delay())
		if ctx.Err() != nil || !s.due() {
			continue
		}
		if err := s.Write(ctx); err != nil && ctx.Err() == nil {
			s.cfg.Logger.Warn().Str("event", "config_snapshot_failed").Err(err).Send()
		}
	}
	return ctx.Err()
}

// due reports whether another snapshot is needed. The newest one is usable only while
// the log still holds the first record after it. If that record lies in the oldest
// quarter of the log, retention may soon remove it and another snapshot is due.
func (s *Snapshotter) due() bool {
	store := s.cfg.Store
	store.mu.Lock()
	defer store.mu.Unlock()
	if !store.ready || store.logErr != nil || store.image.Next == 0 {
		return false
	}
	mark, next := store.newestSnapshot, store.image.Next
	if mark.next == 0 {
		return true
	}
	// The records of the snapshot itself follow its offset. They do not count.
	records := int(next-mark.next) - mark.records
	nearRetention := store.oldest > 0 && mark.next < store.oldest+(next-min(next, store.oldest))/4
	return records >= s.cfg.EveryRecords || mark.changeBytes >= s.cfg.EveryBytes ||
		store.cfg.Now().Sub(mark.writtenAt) >= s.cfg.MaxAge || nearRetention && records > 0
}

// Write appends a snapshot of the store's current image. The error is of kind not_ready
// while the store is not ready. After any other error the log may hold some parts of the
// snapshot, which every reader ignores.
func (s *Snapshotter) Write(ctx context.Context) error {
	im, ready := s.cfg.Store.Image()
	if !ready {
		return s.cfg.Store.Ready()
	}
	records, err := encodeSnapshot(ulid.Make().String(), im, s.cfg.Store.cfg.Now().UTC(), s.cfg.PartBytes)
	if err != nil {
		return errkind.Wrap(errkind.InternalFailure, "encode_snapshot", err)
	}
	size := 0
	for _, r := range records {
		if err := s.append(ctx, r); err != nil {
			return err
		}
		size += len(r)
	}
	s.cfg.Logger.Info().Str("event", "config_snapshot").Uint64("version", uint64(im.State.Version)).Int("parts", len(records)).Int("bytes", size).Send()
	return nil
}

func (s *Snapshotter) append(ctx context.Context, r []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.AppendTimeout)
	defer cancel()
	_, err := s.cfg.Log.Append(ctx, upstream.StreamConfig, [][]byte{r})
	return err
}
