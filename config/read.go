package config

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// rolloverCheck is how often the store looks for a new local date.
const rolloverCheck = time.Second

// maxScanBytes bounds the records that are kept while the log is searched
// backwards for a snapshot. Beyond it they are read a second time.
const maxScanBytes = 32 << 20

// Run reads the log until ctx ends. While the log cannot be read it asks peers.
func (s *Store) Run(ctx context.Context) error {
	var rollover sync.WaitGroup
	rollover.Go(func() { s.runRollover(ctx) })
	defer rollover.Wait()
	wait := s.cfg.RetryMin
	var asked time.Time
	for ctx.Err() == nil {
		err := s.step(ctx)
		if ctx.Err() != nil {
			break
		}
		s.setLogErr(err)
		if err == nil {
			wait = s.cfg.RetryMin
			continue
		}
		if now := time.Now(); s.cfg.Peers != nil && (asked.IsZero() || now.Sub(asked) >= s.cfg.PeerInterval) {
			asked = now
			s.askPeers(ctx)
		}
		pause.For(ctx, wait)
		wait = min(2*wait, s.cfg.RetryMax)
	}
	return ctx.Err()
}

func (s *Store) runRollover(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, rolloverCheck)
		s.rollover()
	}
}

func (s *Store) setLogErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err == nil) != (s.logErr == nil) {
		s.cfg.Logger.Info().Str("event", "config_log_reachable").Bool("reachable", err == nil).Err(err).Send()
	}
	s.logErr = err
}

// step loads a snapshot if the store has no position in the log, else folds one read.
func (s *Store) step(ctx context.Context) error {
	s.mu.Lock()
	started, next := s.started, s.im.Next
	s.mu.Unlock()
	if !started {
		return s.load(ctx)
	}
	wait := s.cfg.ReadWait
	if s.Ready() != nil {
		wait = 0
	}
	b, err := s.read(ctx, next, s.cfg.ReadLimit, wait)
	if errors.Is(err, upstream.ErrTrimmed) {
		return s.load(ctx)
	}
	if err != nil {
		return err
	}
	if err := s.foldAll(b.Records); err != nil {
		return err
	}
	if s.position() >= b.Head {
		s.setReady()
	}
	return nil
}

func (s *Store) position() upstream.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.im.Next
}

// foldAll folds records from the store's position on. A gap is an error, because
// a missing record would make this daemon diverge from the others.
func (s *Store) foldAll(records []upstream.Record) error {
	for _, r := range records {
		next := s.position()
		if r.Offset < next {
			continue
		}
		if r.Offset > next {
			return errkind.New(errkind.LogUnavailable, "offset_gap", "read gave offset %d where %d was expected", r.Offset, next)
		}
		if err := s.foldRecord(r); err != nil {
			return err
		}
	}
	return nil
}

// read reads once and notes the bounds of the log. A head below the store's
// position is a stale answer.
func (s *Store) read(ctx context.Context, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	b, err := s.cfg.Log.Read(ctx, upstream.StreamConfig, from, limit, wait)
	s.metrics.reads.Inc()
	for _, r := range b.Records {
		s.metrics.bytes.Add(float64(len(r.Data)))
	}
	if err != nil {
		return b, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Head < s.im.Next {
		return b, errkind.New(errkind.LogUnavailable, "stale_read", "head %d is below the position %d of this daemon", b.Head, s.im.Next)
	}
	s.head, s.oldest = max(s.head, b.Head), max(s.oldest, b.Oldest)
	return b, nil
}

// load finds the newest complete snapshot by reading backwards from the head, so
// that a start costs the distance to the snapshot and not the whole history.
func (s *Store) load(ctx context.Context) error {
	oldest, head, err := s.bounds(ctx)
	if err != nil {
		return err
	}
	var kept []upstream.Record
	var parts snapshotSet
	size, complete := 0, true
	chunk := upstream.Offset(s.cfg.ScanChunk)
	for hi := head; hi > oldest; chunk *= 2 {
		lo := oldest
		if hi-oldest > chunk {
			lo = hi - chunk
		}
		records, err := s.readRange(ctx, lo, hi)
		if err != nil {
			return err
		}
		if best, mark, ok := newestSnapshot(&parts, records, oldest); ok {
			s.adopt(best, mark)
			if complete && lo <= best.Next {
				return s.foldAll(append(records, kept...))
			}
			return nil // the records from the snapshot on are read by the next steps
		}
		for _, r := range records {
			size += len(r.Data)
		}
		if complete = complete && size <= maxScanBytes; complete {
			kept = append(records, kept...)
		} else {
			kept = nil
		}
		hi = lo
	}
	if err := s.loadWithoutSnapshot(oldest); err != nil || !complete {
		return err
	}
	return s.foldAll(kept)
}

func (s *Store) loadWithoutSnapshot(oldest upstream.Offset) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if oldest == 0 {
		s.started = true // the log still holds the whole history
		return nil
	}
	if s.started && s.im.Next >= oldest {
		return nil
	}
	return errkind.New(errkind.NotReady, "no_snapshot", "records before offset %d are gone and the log holds no usable snapshot", oldest)
}

func (s *Store) adopt(im Image, mark snapshotMark) {
	s.install(im, "snapshot")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = mark
}

// newestSnapshot returns the newest image that the records complete and that the
// log can continue.
func newestSnapshot(parts *snapshotSet, records []upstream.Record, oldest upstream.Offset) (Image, snapshotMark, bool) {
	var best Image
	var mark snapshotMark
	found := false
	for _, r := range records {
		im, head, ok := parts.add(r.Data)
		if ok && im.Next >= oldest && im.Next <= r.Offset && (!found || im.Next > best.Next) {
			best, mark, found = im, snapshotMark{next: im.Next, at: head.At, parts: head.Parts}, true
		}
	}
	return best, mark, found
}

// bounds returns the first offset kept and the head.
func (s *Store) bounds(ctx context.Context) (oldest, head upstream.Offset, err error) {
	b, err := s.read(ctx, s.position(), 1, 0)
	var trimmed *upstream.TrimmedError
	if errors.As(err, &trimmed) {
		b, err = s.read(ctx, trimmed.Oldest, 1, 0)
	}
	return b.Oldest, b.Head, err
}

// readRange reads the records from lo to hi, which may take several reads.
func (s *Store) readRange(ctx context.Context, lo, hi upstream.Offset) ([]upstream.Record, error) {
	var out []upstream.Record
	for at := lo; at < hi; {
		b, err := s.read(ctx, at, int(min(hi-at, upstream.Offset(s.cfg.ReadLimit))), 0)
		if err != nil {
			return nil, err
		}
		if len(b.Records) == 0 || b.Records[0].Offset != at {
			return nil, errkind.New(errkind.LogUnavailable, "offset_gap", "read at offset %d below the head gave no record of it", at)
		}
		for _, r := range b.Records {
			if r.Offset < hi {
				out = append(out, r)
			}
		}
		at = b.Records[len(b.Records)-1].Offset + 1
	}
	return out, nil
}

func (s *Store) askPeers(ctx context.Context) {
	s.mu.Lock()
	have := s.im.Next
	if !s.started {
		have = 0
	}
	s.mu.Unlock()
	im, ok, err := s.cfg.Peers.NewestImage(ctx, have)
	if err != nil {
		s.cfg.Logger.Debug().Str("event", "config_peers_failed").Err(err).Send()
		return
	}
	if ok {
		s.install(im, "peer")
	}
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	if started {
		s.setReady()
	}
}
