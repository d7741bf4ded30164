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
	Log   upstream.Log // required
	// Linger is how long the first queued proposal waits for others to share its record. Default 20 ms.
	Linger time.Duration
	// MaxProposals is the largest number of proposals in one record. Default 512.
	MaxProposals int
	// MaxOps is the number of ops at which a record takes no further proposals. Default 2,000.
	MaxOps int
	// AppendTimeout bounds one append. Default 2 s.
	AppendTimeout time.Duration
	// AppendRetryDelay is how long an append whose answer was lost waits for its record
	// to be read back, before the same record is appended again. Default 500 ms.
	AppendRetryDelay time.Duration
	// CommitTimeout bounds the appends and the read-back of one record. After it the
	// proposals fail with append_unknown. Default 10 s.
	CommitTimeout time.Duration
	// MaxAttempts is the number of refused records after which a proposal fails with
	// overloaded. A record is refused if another one on the same base came first. Default 64.
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
	wake    chan struct{} // capacity 1; signals Run that the queue is not empty

	mu     sync.Mutex
	queue  []*pendingProposal
	closed bool
}

// pendingProposal is a proposal that waits for its response.
type pendingProposal struct {
	Proposal
	ctx      context.Context // of the call of Submit
	attempts int             // records with this proposal that were refused
	done     chan response   // capacity 1

	// Set by checkHistory.
	checkedUpTo     Version // accepted changes up to this version have been checked
	acceptedVersion Version // of an earlier submission with the same ID; 0 if none is known
	conflict        *Entry  // accepted change that this one conflicts with; nil if none is known
	historyTooShort bool    // the history did not reach back to checkedUpTo, so a conflict may have been missed
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

// Submit publishes a proposal and returns when it has been accepted and read back by
// the store of this daemon, or refused. The error kinds bad_input, conflict (see
// ConflictingChange), not_ready, log_unavailable, overloaded, draining and cancelled
// mean that the proposal has no effect. After append_unknown it may take effect, and a
// repeat with the same ID resolves that. outcome_unknown means that the base is older
// than the history, so that an earlier submission with the same ID may have taken effect.
func (p *Publisher) Submit(ctx context.Context, proposal Proposal) (Result, error) {
	res, err := p.submit(ctx, proposal)
	p.metrics.results.WithLabelValues(resultLabel(res, err)).Inc()
	return res, err
}

// resultLabel returns the value of the label "result" of the results metric.
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

func (p *Publisher) submit(ctx context.Context, proposal Proposal) (Result, error) {
	if err := proposal.validate(); err != nil {
		return Result{}, err
	}
	if err := p.cfg.Store.Ready(); err != nil {
		return Result{}, err
	}
	if proposal.Day == "" {
		proposal.Day = p.today(p.cfg.Store.Current())
	}
	pp := &pendingProposal{Proposal: proposal, ctx: ctx, done: make(chan response, 1), checkedUpTo: proposal.Base}
	if proposal.Base == AnyBase {
		pp.checkedUpTo = 0 // the whole history is searched for the ID
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return Result{}, errkind.New(errkind.Draining, "publisher_stopped", "the publisher has stopped")
	}
	p.queue = append(p.queue, pp)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-pp.done:
		return r.result, r.err
	case <-ctx.Done():
		return Result{}, errkind.New(errkind.AppendUnknown, "submit_cancelled", "the change may still take effect: %v", ctx.Err())
	}
}

// today returns the local date, or st.Today if the local clock is behind that.
func (p *Publisher) today(st *State) string {
	cfg := p.cfg.Store.cfg
	return max(st.Today, LocalDate(cfg.Now(), cfg.Location))
}

// Run publishes queued proposals until ctx ends, and returns the error of ctx.
func (p *Publisher) Run(ctx context.Context) error {
	defer p.close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		}
		pause.For(ctx, p.cfg.Linger)
		for proposals := p.takeQueue(); len(proposals) > 0 && ctx.Err() == nil; proposals = append(proposals, p.takeQueue()...) {
			proposals = p.publishOnce(ctx, proposals)
		}
	}
}

// takeQueue empties the queue and returns what it held.
func (p *Publisher) takeQueue() []*pendingProposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queue
	p.queue = nil
	return queue
}

// close refuses the queued proposals and makes Submit refuse further ones.
func (p *Publisher) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, pp := range p.takeQueue() {
		pp.done <- response{err: errkind.New(errkind.Draining, "publisher_stopped", "the publisher has stopped")}
	}
}

// publishOnce commits at most one record and returns the proposals that have no response
// yet: those that were deferred to a later record and those to be tried again.
func (p *Publisher) publishOnce(ctx context.Context, proposals []*pendingProposal) []*pendingProposal {
	im, ready := p.cfg.Store.Image()
	if !ready {
		for _, pp := range proposals {
			pp.done <- response{err: p.cfg.Store.Ready()}
		}
		return nil
	}
	group := p.buildCommitGroup(im, proposals)
	if len(group.members) == 0 {
		return group.deferred
	}
	outcome, err := p.commit(ctx, group.rec)
	switch {
	case err != nil:
		group.respond(response{err: err})
	case outcome.accepted:
		for _, pp := range group.members {
			p.cfg.Logger.Info().Str("event", "config_accepted").Uint64("version", uint64(outcome.version)).Str("change", pp.ID).Str("by", pp.By).Send()
		}
		group.respond(response{result: Result{Version: outcome.version}})
	case !outcome.known:
		group.respond(response{err: errkind.New(errkind.AppendUnknown, "history_passed", "too many changes followed to tell whether this one was among them")})
	default:
		return append(p.retryMembers(ctx, group), group.deferred...)
	}
	return group.deferred
}

// retryMembers returns the members of a refused record that are to be tried again on the
// new base. Others get a response. After repeated refusals it waits for a random time,
// so that publishers of different daemons do not keep colliding.
func (p *Publisher) retryMembers(ctx context.Context, group commitGroup) []*pendingProposal {
	var retries []*pendingProposal
	for _, pp := range group.members {
		if pp.attempts++; pp.attempts < p.cfg.MaxAttempts {
			retries = append(retries, pp)
		} else {
			pp.done <- response{err: errkind.New(errkind.Overloaded, "base_contended", "the change was refused %d times because others were accepted first", pp.attempts)}
		}
	}
	if len(retries) > 0 && retries[0].attempts > 1 {
		pause.For(ctx, rand.N(p.cfg.Linger))
	}
	return retries
}

// commit appends rec and returns its outcome as soon as the store has folded it, or
// another record on the same base. If the answer of the append is lost, the record is
// appended again. That is safe, because the fold accepts only one record on a base. The
// error is append_unknown if the outcome is not known within CommitTimeout.
func (p *Publisher) commit(ctx context.Context, rec changeRecord) (recordOutcome, error) {
	data, err := encodeChange(rec)
	if err != nil {
		return recordOutcome{}, errkind.Wrap(errkind.BadInput, "encode", err)
	}
	id := rec.Changes[0].ID
	resolved := p.cfg.Store.addWaiter(id, rec.Base)
	defer p.cfg.Store.removeWaiter(id)
	deadline := time.NewTimer(p.cfg.CommitTimeout)
	defer deadline.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := false // an append may have taken effect
	answer := p.append(ctx, data)
	var retry <-chan time.Time
	for {
		// The record may be read back before a slow log answers the append.
		select {
		case outcome := <-resolved:
			return outcome, nil
		case err := <-answer:
			if err != nil && !sent && !maybeAppended(err) {
				return recordOutcome{}, errkind.Wrap(errkind.LogUnavailable, "append_failed", err)
			}
			sent, answer = true, nil
			if err != nil {
				retry = time.After(p.cfg.AppendRetryDelay)
			}
		case <-retry:
			answer, retry = p.append(ctx, data), nil
		case <-deadline.C:
			return recordOutcome{}, errkind.New(errkind.AppendUnknown, "not_read_back", "the change was not read back within %s", p.cfg.CommitTimeout)
		case <-ctx.Done():
			return recordOutcome{}, errkind.New(errkind.AppendUnknown, "publisher_stopped", "the publisher stopped before read-back")
		}
	}
}

// append starts one append and returns a channel that gets its error, nil on success.
func (p *Publisher) append(ctx context.Context, data []byte) <-chan error {
	p.metrics.appends.Inc()
	p.metrics.appendBytes.Add(float64(len(data)))
	answer := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, p.cfg.AppendTimeout)
		defer cancel()
		_, err := p.cfg.Log.Append(ctx, upstream.StreamConfig, [][]byte{data})
		answer <- err
	}()
	return answer
}

// maybeAppended reports whether the record may be in the log after an append that
// returned err. InternalFailure, the kind of errors without a kind, counts: such an
// error may have come up after the record was sent.
func maybeAppended(err error) bool {
	k := errkind.Of(err)
	return k == errkind.AppendUnknown || k == errkind.InternalFailure || k == errkind.Cancelled
}
