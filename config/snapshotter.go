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
	// EveryRecords is the number of records after the newest snapshot from which
	// another is due. It bounds what a start reads. Default 1,000.
	EveryRecords int
	// EveryBytes is the same in bytes of change records. Default 4 MiB.
	EveryBytes int64
	// MaxAge is the age from which a snapshot is renewed although nothing changed.
	// It must be well below the retention of the log. Default 1 h.
	MaxAge time.Duration
	// PartBytes is the largest payload of one record. Default 128 KiB.
	PartBytes int
	// CheckInterval is the pause between two checks. Default 1 s.
	CheckInterval time.Duration
	// Delay gives the wait between a due snapshot and writing it, within which
	// another daemon's snapshot makes it unnecessary. Default random up to 10 s.
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

// Snapshotter appends snapshots of the configuration before the log's retention
// removes the records that it came from. Several daemons may run one; two
// snapshots at once cost only bytes.
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

// Run appends snapshots when they are due, until ctx ends.
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

// due reports whether the newest snapshot is too old or about to lose its use. A
// snapshot is of use while the log still holds the first record after it.
func (s *Snapshotter) due() bool {
	st := s.cfg.Store
	st.mu.Lock()
	defer st.mu.Unlock()
	if !st.ready || st.logErr != nil || st.im.Next == 0 {
		return false
	}
	mark, next := st.snapshot, st.im.Next
	if mark.next == 0 {
		return true
	}
	// Parts of the snapshot itself follow its offset; they are not a reason for another.
	records := int(next-mark.next) - mark.parts
	trimmed := st.oldest > 0 && mark.next < st.oldest+(next-min(next, st.oldest))/4
	return records >= s.cfg.EveryRecords || mark.bytes >= s.cfg.EveryBytes ||
		st.cfg.Now().Sub(mark.at) >= s.cfg.MaxAge || trimmed && records > 0
}

// Write appends a snapshot of what the store holds now. A failure half way
// leaves a snapshot that every reader ignores.
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
