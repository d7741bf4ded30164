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

// PeerSource asks other daemons for their configuration.
type PeerSource interface {
	// NewestImage returns the newest image of any peer that has folded more than have.
	// ok is false if peers answered and none has more. The error is of kind
	// not_ready if no peer answered with a configuration.
	NewestImage(ctx context.Context, have upstream.Offset) (im Image, ok bool, err error)
}

// StoreConfig configures a Store.
type StoreConfig struct {
	Log      upstream.Log   // required; may read through a relay
	Location *time.Location // required; time zone of the deployment
	// Peers is asked while the log cannot be read. Nil means no peers.
	Peers PeerSource
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// ReadLimit is the largest number of records per read. Default 512.
	ReadLimit int
	// ReadWait is the long poll of a read. Default 10 s.
	ReadWait time.Duration
	// RetryMin and RetryMax bound the pause after a failed read. Default 100 ms and 2 s.
	RetryMin, RetryMax time.Duration
	// PeerInterval is the shortest time between two questions to peers. Default 1 s.
	PeerInterval time.Duration
	// ScanChunk is the number of records of the first backward read for a
	// snapshot; it doubles with each further read. Default 128.
	ScanChunk int
	// HistoryLimit is the number of changes kept in the history. Conflicts are
	// judged by it, so it must cover a burst between an operator's read and
	// submit. All daemons of a cell must use the same number. Default 10,000.
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

func setDefault[T int | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// StoreStatus tells which version a daemon acts on.
type StoreStatus struct {
	Version Version
	Since   time.Time       // when this daemon put it in force
	Next    upstream.Offset // every record below it is folded
	Head    upstream.Offset // head of the log at the last successful read
	Ready   bool
	LogErr  error // last read failed with it; nil while the log can be read
	FoldErr error // the fold stopped at a record that it cannot read
}

// Store folds the stream config. It implements View.
type Store struct {
	cfg     StoreConfig
	metrics storeMetrics

	mu       sync.Mutex
	im       Image
	current  *State // im.State as of the local date
	started  bool   // im comes from the log or a peer
	ready    bool
	since    time.Time
	head     upstream.Offset
	oldest   upstream.Offset
	logErr   error
	stalled  error
	snapshot snapshotMark
	parts    snapshotSet
	watchers map[*watcher]struct{}
	waiters  map[string]*waiter
}

// snapshotMark describes the newest complete snapshot that was seen in the log.
type snapshotMark struct {
	next  upstream.Offset
	at    time.Time
	parts int   // records of the snapshot itself
	bytes int64 // bytes of change records folded since
}

// NewStore returns a Store that is not ready until Run has read the log or a peer.
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
		cfg: cfg.withDefaults(), metrics: m, im: im, current: im.State,
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

// Status returns the version in force and since when.
func (s *Store) Status() StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStatus{s.im.State.Version, s.since, s.im.Next, s.head, s.ready, s.logErr, s.stalled}
}

// Image returns what the store has folded, and false while it is not ready.
func (s *Store) Image() (Image, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.im, s.ready
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

// install replaces the image by one from a snapshot or a peer. An image that is
// not ahead of the store is refused, so that the configuration never reverts.
func (s *Store) install(im Image, source string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started && (im.Next <= s.im.Next || im.State.Version < s.im.State.Version) {
		s.metrics.images.WithLabelValues(source, "stale").Inc()
		return false
	}
	s.im, s.started = im, true
	s.metrics.images.WithLabelValues(source, "installed").Inc()
	s.cfg.Logger.Info().Str("event", "config_installed").Str("source", source).
		Uint64("version", uint64(im.State.Version)).Uint64("next", uint64(im.Next)).Send()
	s.publishLocked()
	return true
}

// foldRecord applies the record at the expected offset.
func (s *Store) foldRecord(r upstream.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteSnapshot(r)
	next, v, err := s.im.fold(r, s.cfg.HistoryLimit)
	if err != nil {
		s.stalled = err
		return err
	}
	s.im, s.stalled = next, nil
	s.metrics.records.WithLabelValues(v.label()).Inc()
	switch {
	case v.ignored != nil:
		s.cfg.Logger.Warn().Str("event", "config_record_ignored").Uint64("offset", uint64(r.Offset)).Err(v.ignored).Send()
	case v.accepted:
		s.snapshot.bytes += int64(len(r.Data))
		if s.ready {
			// Records read before the store is ready are history, not news.
			s.observeDelayLocked()
		}
		s.publishLocked()
	case len(v.rec.Parts) > 0:
		s.settleLocked(v.rec.Parts[0].ID)
	}
	return nil
}

// observeDelayLocked notes how long the newest change took to get here. The
// clocks of the publisher and of this daemon may differ.
func (s *Store) observeDelayLocked() {
	if n := len(s.im.History); n > 0 {
		s.metrics.delay.Observe(max(0, s.cfg.Now().Sub(s.im.History[n-1].PublishedAt).Seconds()))
	}
}

// noteSnapshot remembers the newest complete snapshot of the log.
func (s *Store) noteSnapshot(r upstream.Record) {
	if im, head, ok := s.parts.add(r.Data); ok && im.Next >= s.snapshot.next {
		s.snapshot = snapshotMark{next: im.Next, at: head.At, parts: head.Parts}
	}
}

func (v verdict) label() string {
	switch {
	case v.accepted:
		return "accepted"
	case v.ignored != nil:
		return "ignored"
	case len(v.rec.Parts) > 0:
		return "beaten"
	}
	return "snapshot"
}

// publishLocked puts the image in force: views, watchers and waiting publishers.
func (s *Store) publishLocked() {
	s.settleLocked("")
	if !s.ready {
		return
	}
	next := s.im.State.AsOf(LocalDate(s.cfg.Now(), s.cfg.Location))
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
	s.cfg.Logger.Info().Str("event", "config_ready").Uint64("version", uint64(s.im.State.Version)).Send()
	s.publishLocked()
}

// rollover puts the plans of a new local date in force.
func (s *Store) rollover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	date := LocalDate(s.cfg.Now(), s.cfg.Location)
	if s.ready && len(s.current.Plans) > 0 && sortedKeys(s.current.Plans)[0] <= date {
		s.publishLocked()
	}
}
