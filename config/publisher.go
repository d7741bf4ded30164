package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Store *Store       // required; must be running
	Log   upstream.Log // required; appends go to it
	// Linger is how long the first proposal of a batch waits for others. Default 20 ms.
	Linger time.Duration
	// MaxProposals is the largest number of proposals in one record. Default 512.
	MaxProposals int
	// MaxOps is the number of ops from which a record takes no further proposals. Default 2,000.
	MaxOps int
	// AppendTimeout bounds one append. Default 2 s.
	AppendTimeout time.Duration
	// AppendRetryDelay is the wait for read-back after an append whose answer was lost;
	// then the same record is appended again. Default 500 ms.
	AppendRetryDelay time.Duration
	// CommitTimeout bounds append and read-back; after it the outcome is append_unknown. Default 10 s.
	CommitTimeout time.Duration
	// MaxAttempts bounds how often a proposal is put on a new base after other
	// changes won. Default 64.
	MaxAttempts int
	Logger      zerolog.Logger
	Registerer  prometheus.Registerer // nil registers nothing
}

func (c PublisherConfig) withDefaults() PublisherConfig {
	setDefault(&c.Linger, 20*time.Millisecond)
	setDefault(&c.MaxProposals, 512)
	setDefault(&c.MaxOps, 2000)
	setDefault(&c.AppendTimeout, 2*time.Second)
	setDefault(&c.AppendRetryDelay, 500*time.Millisecond)
	setDefault(&c.CommitTimeout, 10*time.Second)
	setDefault(&c.MaxAttempts, 64)
	return c
}

// Publisher appends proposals to the log and accepts them only after the store
// has read them back. Proposals that arrive together share a record.
type Publisher struct {
	cfg     PublisherConfig
	metrics publisherMetrics
	wake    chan struct{}

	mu     sync.Mutex
	queue  []*pending
	closed bool
}

type pending struct {
	Proposal
	ctx    context.Context
	rounds int
	done   chan decided

	seen     Version // changes up to it have been looked at
	accepted Version // of an earlier submission of the same ID
	winner   *Entry  // change that beats this one
	lost     bool    // the history did not reach back to the base
}

// NewPublisher returns a Publisher. Run must be running for Submit to make progress.
func NewPublisher(cfg PublisherConfig) (*Publisher, error) {
	if cfg.Store == nil || cfg.Log == nil {
		return nil, errkind.New(errkind.BadInput, "config_publisher", "Store and Log are required")
	}
	m, err := newPublisherMetrics(cfg.Registerer)
	if err != nil {
		return nil, err
	}
	return &Publisher{cfg: cfg.withDefaults(), metrics: m, wake: make(chan struct{}, 1)}, nil
}

// Submit publishes p and returns when it is in force on this daemon, or refused.
// The error kinds are bad_input, conflict (see ConflictingChange), not_ready,
// log_unavailable, overloaded and draining, which mean that p has no effect;
// append_unknown, which a repeat with the same ID settles; and outcome_unknown,
// if the ID and base are older than the history.
func (p *Publisher) Submit(ctx context.Context, prop Proposal) (Result, error) {
	res, err := p.submit(ctx, prop)
	p.metrics.results.WithLabelValues(resultLabel(res, err)).Inc()
	return res, err
}

func resultLabel(res Result, err error) string {
	switch {
	case err != nil:
		return errkind.ReasonOf(err)
	case res.NoChange:
		return "no_change"
	case res.Repeated:
		return "repeated"
	}
	return "accepted"
}

func (p *Publisher) submit(ctx context.Context, prop Proposal) (Result, error) {
	if err := prop.validate(); err != nil {
		return Result{}, err
	}
	if err := p.cfg.Store.Ready(); err != nil {
		return Result{}, err
	}
	if prop.Day == "" {
		prop.Day = p.today(p.cfg.Store.Current())
	}
	w := &pending{Proposal: prop, ctx: ctx, done: make(chan decided, 1), seen: prop.Base}
	if prop.Base == AnyBase {
		w.seen = 0 // the whole history is searched for the ID
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return Result{}, errkind.New(errkind.Draining, "publisher_stopped", "the publisher has stopped")
	}
	p.queue = append(p.queue, w)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case d := <-w.done:
		return d.res, d.err
	case <-ctx.Done():
		return Result{}, errkind.New(errkind.AppendUnknown, "submit_cancelled", "the change may still take effect: %v", ctx.Err())
	}
}

func (p *Publisher) today(st *State) string {
	cfg := p.cfg.Store.cfg
	return max(st.Today, LocalDate(cfg.Now(), cfg.Location))
}

// Run publishes queued proposals until ctx ends.
func (p *Publisher) Run(ctx context.Context) error {
	defer p.close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		}
		pause.For(ctx, p.cfg.Linger)
		for batch := p.take(); len(batch) > 0 && ctx.Err() == nil; batch = append(batch, p.take()...) {
			batch = p.round(ctx, batch)
		}
	}
}

func (p *Publisher) take() []*pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.queue
	p.queue = nil
	return out
}

func (p *Publisher) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, w := range p.take() {
		w.done <- decided{err: errkind.New(errkind.Draining, "publisher_stopped", "the publisher has stopped")}
	}
}

// round publishes one record and returns the proposals that are still open.
func (p *Publisher) round(ctx context.Context, batch []*pending) []*pending {
	im, ready := p.cfg.Store.Image()
	if !ready {
		for _, w := range batch {
			w.done <- decided{err: p.cfg.Store.Ready()}
		}
		return nil
	}
	g := p.group(im, batch)
	if len(g.members) == 0 {
		return g.rest
	}
	f, err := p.commit(ctx, g.rec)
	switch {
	case err != nil:
		g.answer(decided{err: err})
	case f.accepted:
		for _, w := range g.members {
			p.cfg.Logger.Info().Str("event", "config_accepted").Uint64("version", uint64(f.version)).Str("change", w.ID).Str("by", w.By).Send()
		}
		g.answer(decided{res: Result{Version: f.version}})
	case !f.known:
		g.answer(decided{err: errkind.New(errkind.AppendUnknown, "history_passed", "too many changes followed to tell whether this one was among them")})
	default:
		return append(p.beaten(ctx, g), g.rest...)
	}
	return g.rest
}

// beaten returns the members to be put on the new base.
func (p *Publisher) beaten(ctx context.Context, g group) []*pending {
	var again []*pending
	for _, w := range g.members {
		if w.rounds++; w.rounds < p.cfg.MaxAttempts {
			again = append(again, w)
		} else {
			w.done <- decided{err: errkind.New(errkind.Overloaded, "base_contended", "other changes won %d times", w.rounds)}
		}
	}
	if len(again) > 0 && again[0].rounds > 1 {
		pause.For(ctx, rand.N(p.cfg.Linger))
	}
	return again
}

// commit appends rec until its fate is certain or CommitTimeout has passed.
// Appending the same record again is safe: the fold accepts a base only once.
func (p *Publisher) commit(ctx context.Context, rec changeRecord) (fate, error) {
	data, err := encodeChange(rec)
	if err != nil {
		return fate{}, errkind.Wrap(errkind.BadInput, "encode", err)
	}
	id := rec.Parts[0].ID
	settled := p.cfg.Store.await(id, rec.Base)
	defer p.cfg.Store.forget(id)
	deadline := time.NewTimer(p.cfg.CommitTimeout)
	defer deadline.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := false // the record may be in the log
	answer := p.append(ctx, data)
	var repeat <-chan time.Time
	for {
		// The record may be read back before a slow log answers the append.
		select {
		case f := <-settled:
			return f, nil
		case err := <-answer:
			if err != nil && !sent && !maybeAppended(err) {
				return fate{}, errkind.Wrap(errkind.LogUnavailable, "append_failed", err)
			}
			sent, answer = true, nil
			if err != nil {
				repeat = time.After(p.cfg.AppendRetryDelay)
			}
		case <-repeat:
			answer, repeat = p.append(ctx, data), nil
		case <-deadline.C:
			return fate{}, errkind.New(errkind.AppendUnknown, "not_read_back", "the change was not read back within %s", p.cfg.CommitTimeout)
		case <-ctx.Done():
			return fate{}, errkind.New(errkind.AppendUnknown, "publisher_stopped", "the publisher stopped before read-back")
		}
	}
}

// append sends one append and returns the channel of its answer.
func (p *Publisher) append(ctx context.Context, data []byte) <-chan error {
	p.metrics.appends.Inc()
	p.metrics.bytes.Add(float64(len(data)))
	answer := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, p.cfg.AppendTimeout)
		defer cancel()
		_, err := p.cfg.Log.Append(ctx, upstream.StreamConfig, [][]byte{data})
		answer <- err
	}()
	return answer
}

// maybeAppended reports errors after which the record may be in the log. An
// error without a kind counts, because it may come from after the sending.
func maybeAppended(err error) bool {
	k := errkind.Of(err)
	return k == errkind.AppendUnknown || k == errkind.InternalFailure || k == errkind.Cancelled
}
