package config

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// PeerSource fetches the configuration from other daemons.
type PeerSource interface {
	// NewestImage returns the newest image of any peer whose Image.Next is above next.
	// ok is false if peers answered and none is ahead. The error is of kind not_ready
	// if no peer answered with a configuration.
	NewestImage(ctx context.Context, next upstream.Offset) (im Image, ok bool, err error)
}

// StoreConfig configures a Store.
type StoreConfig struct {
	Log      upstream.Log   // required; may read through a relay
	Location *time.Location // required; time zone of the deployment
	// Peers supplies the configuration while the log cannot be read. Nil means no peers.
	Peers PeerSource
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// ReadLimit is the largest number of records per read. Default 512.
	ReadLimit int
	// ReadWait is how long a read at the head of the log waits for a record (long poll). Default 10 s.
	ReadWait time.Duration
	// RetryMin and RetryMax bound the exponential backoff after a failed read. Default 100 ms and 2 s.
	RetryMin, RetryMax time.Duration
	// PeerInterval is the shortest time between two requests to Peers. Default 1 s.
	PeerInterval time.Duration
	// ScanChunk is the number of records of the first backward read for a
	// snapshot; it doubles with each further read. Default 128.
	ScanChunk int
	// HistoryLimit is the number of changes kept in the history. Conflicts are
	// detected with it, so it must cover the changes accepted between an operator's
	// read and submit, also in a burst. All daemons of a cell must use the same
	// number. Default 10,000.
	HistoryLimit int
	Logger       zerolog.Logger
	Registerer   prometheus.Registerer // nil registers nothing
}

func (c StoreConfig) withDefaults() StoreConfig {
	setDefault(&c.ReadLimit, 512)
	setDefault(&c.ReadWait, 10*time.Second)
	setDefault(&c.RetryMin, 100*time.Millisecond)
	setDefault(&c.RetryMax, 2*time.Second)
	setDefault(&c.PeerInterval, time.Second)
	setDefault(&c.ScanChunk, 128)
	setDefault(&c.HistoryLimit, 10_000)
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// setDefault sets *v to def if it is not above zero.
func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// StoreStatus tells which version a daemon has in force and how far it has read the log.
type StoreStatus struct {
	Version Version
	Since   time.Time       // when this daemon put Version in force; zero if not Ready
	Next    upstream.Offset // offset of the next record to fold
	Head    upstream.Offset // head of the log at the last successful read
	Ready   bool            // a configuration is in force
	LogErr  error           // why the last read, snapshot load or fold failed; nil if it succeeded
	FoldErr error           // why the fold has stopped; nil while it can proceed
}

// Store folds the stream config of the log and puts the result in force. It
// implements View.
type Store struct {
	cfg     StoreConfig
	metrics storeMetrics

	mu               sync.Mutex
	image            Image
	current          *State          // image.State as of the local date
	initialized      bool            // image comes from the log or a peer
	ready            bool            // current is in force
	since            time.Time       // when the version of current was put in force
	head             upstream.Offset // highest head of the log that was read
	oldest           upstream.Offset // first offset that the log still holds, as of the last read
	logErr           error           // see StoreStatus.LogErr
	foldErr          error           // see StoreStatus.FoldErr
	newestSnapshot   snapshotMark
	partialSnapshots snapshotAssembler
	watchers         map[*watcher]struct{}
	waiters          map[string]*waiter // by id of the first change of their record
}

// snapshotMark describes the newest complete snapshot that was read from the log. It
// is zero while none was read.
type snapshotMark struct {
	next        upstream.Offset // Image.Next of the snapshot
	writtenAt   time.Time       // by the clock of the writer
	records     int             // number of records that the snapshot consists of
	changeBytes int64           // bytes of accepted change records folded since
}

// NewStore returns a Store. It is not ready until Run has read the log or got an image
// from a peer.
func NewStore(cfg StoreConfig) (*Store, error) {
	if cfg.Log == nil || cfg.Location == nil {
		return nil, errkind.New(errkind.BadInput, "config_store", "Log and Location are required")
	}
	m, err := newStoreMetrics(cfg.Registerer)
	if err != nil {
		return nil, err
	}
	im := emptyImage()
	return &Store{
		cfg: cfg.withDefaults(), metrics: m, image: im, current: im.State,
		watchers: make(map[*watcher]struct{}), waiters: make(map[string]*waiter),
	}, nil
}

// Current returns the configuration in force today. It is the empty state while
// the store is not ready.
func (s *Store) Current() *State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Ready returns nil when a configuration is in force, else a not_ready error with the cause.
func (s *Store) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		return nil
	}
	if s.logErr != nil {
		return errkind.New(errkind.NotReady, "no_configuration", "neither the log nor a peer gave a configuration: %v", s.logErr)
	}
	return errkind.New(errkind.NotReady, "no_configuration", "the log has not been read yet")
}

// Status returns the version in force and how far the log has been read.
func (s *Store) Status() StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStatus{s.image.State.Version, s.since, s.image.Next, s.head, s.ready, s.logErr, s.foldErr}
}

// Image returns what the store has folded. The bool is false while the store is not ready.
func (s *Store) Image() (Image, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.image, s.ready
}

// History returns up to limit accepted changes, newest first.
func (s *Store) History(limit int) []Entry {
	im, _ := s.Image()
	var out []Entry
	for i := len(im.History) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, im.History[i])
	}
	return out
}

// installImage replaces the image by one from a snapshot or a peer. It refuses an image
// that is not ahead of the store and returns false, so that the configuration never
// reverts. source is "snapshot" or "peer" and appears in the log and in a metric.
func (s *Store) installImage(im Image, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.initialized && (im.Next <= s.image.Next || im.State.Version < s.image.State.Version) {
		s.metrics.images.WithLabelValues(source, "stale").Inc()
		return false
	}
	s.image, s.initialized = im, true
	s.metrics.images.WithLabelValues(source, "installed").Inc()
	s.cfg.Logger.Info().Str("event", "config_installed").Str("source", source).
		Uint64("version", uint64(im.State.Version)).Uint64("next", uint64(im.Next)).Send()
	s.publishLocked()
	return true
}

// foldRecord folds r, whose offset must be image.Next. The error is errNewerFormat.
func (s *Store) foldRecord(r upstream.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trackSnapshotLocked(r)
	next, result, err := s.image.fold(r, s.cfg.HistoryLimit)
	if err != nil {
		s.foldErr = err
		return err
	}
	s.image, s.foldErr = next, nil
	s.metrics.records.WithLabelValues(result.metricLabel()).Inc()
	switch {
	case result.ignored != nil:
		s.cfg.Logger.Warn().Str("event", "config_record_ignored").Uint64("offset", uint64(r.Offset)).Err(result.ignored).Send()
	case result.accepted:
		s.newestSnapshot.changeBytes += int64(len(r.Data))
		if s.ready {
			// Before the store is ready it reads old changes, whose age is no delay.
			s.observeDelayLocked()
		}
		s.publishLocked()
	case len(result.rec.Changes) > 0:
		s.resolveWaitersLocked(result.rec.Changes[0].ID)
	}
	return nil
}

// observeDelayLocked records in a metric how long after its publication the newest
// change was read here. The clocks of the publisher and of this daemon may differ, so
// a negative delay counts as zero.
func (s *Store) observeDelayLocked() {
	if n := len(s.image.History); n > 0 {
		s.metrics.inForceDelay.Observe(max(0, s.cfg.Now().Sub(s.image.History[n-1].PublishedAt).Seconds()))
	}
}

// trackSnapshotLocked updates newestSnapshot if r completes a snapshot.
func (s *Store) trackSnapshotLocked(r upstream.Record) {
	if im, header, ok := s.partialSnapshots.add(r.Data); ok && im.Next >= s.newestSnapshot.next {
		s.newestSnapshot = snapshotMark{next: im.Next, writtenAt: header.WrittenAt, records: header.Parts}
	}
}

// metricLabel returns the value of the label "result" of the records metric.
func (result foldResult) metricLabel() string {
	switch {
	case result.accepted:
		return "accepted"
	case result.ignored != nil:
		return "ignored"
	case len(result.rec.Changes) > 0:
		return "beaten"
	}
	return "snapshot"
}

// publishLocked resolves the waiting publishers and, once the store is ready, puts the
// image in force as of today and notifies the watchers.
func (s *Store) publishLocked() {
	s.resolveWaitersLocked("")
	if !s.ready {
		return
	}
	next := s.image.State.AsOf(LocalDate(s.cfg.Now(), s.cfg.Location))
	if next == s.current {
		return
	}
	if next.Version != s.current.Version || s.since.IsZero() {
		s.since = s.cfg.Now()
		s.metrics.version.Set(float64(next.Version))
	}
	s.current = next
	for w := range s.watchers {
		w.push(next)
	}
}

// setReady puts the image in force for the first time.
func (s *Store) setReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ready {
		return
	}
	s.ready, s.since = true, s.cfg.Now()
	s.cfg.Logger.Info().Str("event", "config_ready").Uint64("version", uint64(s.image.State.Version)).Send()
	s.publishLocked()
}

// applyDuePlans puts the plans in force whose local date has begun.
func (s *Store) applyDuePlans() {
	s.mu.Lock()
	defer s.mu.Unlock()
	date := LocalDate(s.cfg.Now(), s.cfg.Location)
	if s.ready && len(s.current.Plans) > 0 && sortedKeys(s.current.Plans)[0] <= date {
		s.publishLocked()
	}
}
