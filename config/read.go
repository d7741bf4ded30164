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

// rolloverCheckInterval is the time between two checks for a new local date.
const rolloverCheckInterval = time.Second

// maxScanBytes is the largest total size of the records that are kept in memory while
// the log is searched backwards for a snapshot. If they are larger, they are dropped
// and read a second time.
const maxScanBytes = 32 << 20

// Run reads the log until ctx ends, and returns the error of ctx. While the log cannot
// be read it fetches the configuration from peers.
func (s *Store) Run(ctx context.Context) error {
	var rollover sync.WaitGroup
	rollover.Go(func() { s.runRollover(ctx) })
	defer rollover.Wait()
	retryDelay := s.cfg.RetryMin
	var lastFetch time.Time
	for ctx.Err() == nil {
		err := s.advance(ctx)
		if ctx.Err() != nil {
			break
		}
		s.setLogErr(err)
		if err == nil {
			retryDelay = s.cfg.RetryMin
			continue
		}
		if now := time.Now(); s.cfg.Peers != nil && (lastFetch.IsZero() || now.Sub(lastFetch) >= s.cfg.PeerInterval) {
			lastFetch = now
			s.fetchFromPeers(ctx)
		}
		pause.For(ctx, retryDelay)
		retryDelay = min(2*retryDelay, s.cfg.RetryMax)
	}
	return ctx.Err()
}

// runRollover puts due plans in force until ctx ends.
func (s *Store) runRollover(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, rolloverCheckInterval)
		s.applyDuePlans()
	}
}

// setLogErr sets the result of the last call of advance, and logs when calls begin to
// fail or to succeed again.
func (s *Store) setLogErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err == nil) != (s.logErr == nil) {
		s.cfg.Logger.Info().Str("event", "config_log_reachable").Bool("reachable", err == nil).Err(err).Send()
	}
	s.logErr = err
}

// advance performs one read and folds its records. If the store has no position in the
// log, or the log no longer holds that position, it loads a snapshot instead.
func (s *Store) advance(ctx context.Context) error {
	s.mu.Lock()
	initialized, next := s.initialized, s.image.Next
	s.mu.Unlock()
	if !initialized {
		return s.loadSnapshot(ctx)
	}
	wait := s.cfg.ReadWait
	if s.Ready() != nil {
		wait = 0 // the first read that reaches the head makes the store ready
	}
	batch, err := s.read(ctx, next, s.cfg.ReadLimit, wait)
	if errors.Is(err, upstream.ErrTrimmed) {
		return s.loadSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	if err := s.foldRecords(batch.Records); err != nil {
		return err
	}
	if s.position() >= batch.Head {
		s.setReady()
	}
	return nil
}

// position returns the offset of the next record to fold.
func (s *Store) position() upstream.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.image.Next
}

// foldRecords folds the records from the store's position on and skips earlier ones. A
// gap is an error, because a missing record would make this daemon diverge from the
// others.
func (s *Store) foldRecords(records []upstream.Record) error {
	for _, r := range records {
		next := s.position()
		if r.Offset < next {
			continue
		}
		if r.Offset > next {
			return errkind.New(errkind.LogUnavailable, "offset_gap", "read returned offset %d where %d was expected", r.Offset, next)
		}
		if err := s.foldRecord(r); err != nil {
			return err
		}
	}
	return nil
}

// read performs one read and updates head and oldest. A head below the store's
// position is an error: a relay or a cache gave an old view of the log.
func (s *Store) read(ctx context.Context, from upstream.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	batch, err := s.cfg.Log.Read(ctx, upstream.StreamConfig, from, limit, wait)
	s.metrics.readCalls.Inc()
	for _, r := range batch.Records {
		s.metrics.readBytes.Add(float64(len(r.Data)))
	}
	if err != nil {
		return batch, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if batch.Head < s.image.Next {
		return batch, errkind.New(errkind.LogUnavailable, "stale_read", "head %d is below the position %d of this daemon", batch.Head, s.image.Next)
	}
	s.head, s.oldest = max(s.head, batch.Head), max(s.oldest, batch.Oldest)
	return batch, nil
}

// loadSnapshot finds the newest complete snapshot by reading backwards from the head,
// so that a start reads the log only from the snapshot on and not from its beginning.
// Without a usable snapshot it needs a log that still holds every record from the
// store's position on.
func (s *Store) loadSnapshot(ctx context.Context) error {
	oldest, head, err := s.logBounds(ctx)
	if err != nil {
		return err
	}
	var tail []upstream.Record // the records read so far, from hi to the head
	var parts snapshotAssembler
	tailBytes, tailComplete := 0, true
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
		if im, mark, ok := findNewestSnapshot(&parts, records, oldest); ok {
			s.installSnapshot(im, mark)
			if tailComplete && lo <= im.Next {
				return s.foldRecords(append(records, tail...))
			}
			return nil // the next calls of advance read the records from the snapshot on
		}
		for _, r := range records {
			tailBytes += len(r.Data)
		}
		if tailComplete = tailComplete && tailBytes <= maxScanBytes; tailComplete {
			tail = append(records, tail...)
		} else {
			tail = nil
		}
		hi = lo
	}
	if err := s.loadWithoutSnapshot(oldest); err != nil || !tailComplete {
		return err
	}
	return s.foldRecords(tail)
}

// loadWithoutSnapshot lets the store fold the log from its beginning or from its
// position, and fails if the log no longer holds the records needed.
func (s *Store) loadWithoutSnapshot(oldest upstream.Offset) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if oldest == 0 {
		s.initialized = true // the log still holds the whole history
		return nil
	}
	if s.initialized && s.image.Next >= oldest {
		return nil
	}
	return errkind.New(errkind.NotReady, "no_snapshot", "the log no longer holds the records before offset %d and holds no usable snapshot", oldest)
}

// installSnapshot installs the image of a snapshot that was read from the log.
func (s *Store) installSnapshot(im Image, mark snapshotMark) {
	s.installImage(im, "snapshot")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestSnapshot = mark
}

// findNewestSnapshot adds the records to parts and returns the newest image completed
// by them that can be brought up to date from the log: the log must still hold the
// record at Image.Next, and the image must not be newer than its own records.
func findNewestSnapshot(parts *snapshotAssembler, records []upstream.Record, oldest upstream.Offset) (Image, snapshotMark, bool) {
	var newest Image
	var mark snapshotMark
	found := false
	for _, r := range records {
		im, header, ok := parts.add(r.Data)
		if ok && im.Next >= oldest && im.Next <= r.Offset && (!found || im.Next > newest.Next) {
			newest, mark, found = im, snapshotMark{next: im.Next, writtenAt: header.WrittenAt, records: header.Parts}, true
		}
	}
	return newest, mark, found
}

// logBounds returns the first offset that the log holds and its head.
func (s *Store) logBounds(ctx context.Context) (oldest, head upstream.Offset, err error) {
	batch, err := s.read(ctx, s.position(), 1, 0)
	var trimmed *upstream.TrimmedError
	if errors.As(err, &trimmed) {
		batch, err = s.read(ctx, trimmed.Oldest, 1, 0)
	}
	return batch.Oldest, batch.Head, err
}

// readRange returns the records from offset lo up to but not including hi. It may take
// several reads.
func (s *Store) readRange(ctx context.Context, lo, hi upstream.Offset) ([]upstream.Record, error) {
	var out []upstream.Record
	for next := lo; next < hi; {
		batch, err := s.read(ctx, next, int(min(hi-next, upstream.Offset(s.cfg.ReadLimit))), 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 || batch.Records[0].Offset != next {
			return nil, errkind.New(errkind.LogUnavailable, "offset_gap", "read at offset %d, which is below the head, did not return that record", next)
		}
		for _, r := range batch.Records {
			if r.Offset < hi {
				out = append(out, r)
			}
		}
		next = batch.Records[len(batch.Records)-1].Offset + 1
	}
	return out, nil
}

// fetchFromPeers installs the newest image of the peers if it is ahead of the store. If a
// peer answered and the store has an image by then, it becomes ready even if no peer is
// ahead of it.
func (s *Store) fetchFromPeers(ctx context.Context) {
	s.mu.Lock()
	next := s.image.Next
	if !s.initialized {
		next = 0
	}
	s.mu.Unlock()
	im, ok, err := s.cfg.Peers.NewestImage(ctx, next)
	if err != nil {
		s.cfg.Logger.Debug().Str("event", "config_peers_failed").Err(err).Send()
		return
	}
	if ok {
		s.installImage(im, "peer")
	}
	s.mu.Lock()
	initialized := s.initialized
	s.mu.Unlock()
	if initialized {
		s.setReady()
	}
}
