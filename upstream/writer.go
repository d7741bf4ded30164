package upstream

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	Log    Log    // required
	Stream string // required
	// MaxBatch is the number of records from which a batch takes no further calls. A batch may
	// have more, because the records of one AppendAll are not split. It is also the limit of
	// one read. Default 256.
	MaxBatch int
	// Linger is how long the first call of a batch waits for others. Default 5 ms.
	Linger time.Duration
	// ResolveTimeout bounds the reading back of a batch, also of one whose append answer was
	// lost; after it the outcome is append_unknown. Default 3 s.
	ResolveTimeout time.Duration
	// ResolveInterval is the pause before the stream is read again. Default 50 ms.
	ResolveInterval time.Duration
	Logger          zerolog.Logger
}

func (c WriterConfig) withDefaults() WriterConfig {
	if c.MaxBatch <= 0 {
		c.MaxBatch = 256
	}
	if c.Linger <= 0 {
		c.Linger = 5 * time.Millisecond
	}
	if c.ResolveTimeout <= 0 {
		c.ResolveTimeout = 3 * time.Second
	}
	if c.ResolveInterval <= 0 {
		c.ResolveInterval = 50 * time.Millisecond
	}
	return c
}

// Writer appends envelopes in batches and reports success only after it has read them back.
// Append and AppendAll need Run to be running; without it they wait until their context ends.
type Writer struct {
	cfg             WriterConfig
	queue           chan *pendingWrite
	searchFrom      Offset // where the search for the next batch starts; its records have no lower offset
	searchFromKnown bool   // false until the head of the stream was read, and after a trim
}

// pendingWrite is a call of AppendAll that waits for its result.
type pendingWrite struct {
	envelopes []Envelope
	result    chan writeResult
}

type writeResult struct {
	firstOffset Offset
	err         error
}

// NewWriter returns a Writer for one stream.
func NewWriter(cfg WriterConfig) *Writer {
	return &Writer{cfg: cfg.withDefaults(), queue: make(chan *pendingWrite)}
}

// Append appends e and returns its offset after reading it back. An error of kind
// append_unknown means that the record may be in the log or may still get there; every other
// error means that it never will.
func (w *Writer) Append(ctx context.Context, e Envelope) (Offset, error) {
	return w.AppendAll(ctx, []Envelope{e})
}

// AppendAll appends the envelopes contiguously, all or nothing, and returns the offset of
// the first one. Its errors are those of Append.
func (w *Writer) AppendAll(ctx context.Context, envelopes []Envelope) (Offset, error) {
	if len(envelopes) == 0 {
		return 0, errkind.New(errkind.BadInput, "empty", "no records")
	}
	pending := &pendingWrite{envelopes: envelopes, result: make(chan writeResult, 1)}
	select {
	case w.queue <- pending:
	case <-ctx.Done():
		return 0, errkind.Wrap(errkind.LogUnavailable, "not_sent", ctx.Err())
	}
	select {
	case r := <-pending.result:
		return r.firstOffset, r.err
	case <-ctx.Done():
		return 0, errkind.Wrap(errkind.AppendUnknown, "caller_left", ctx.Err())
	}
}

// Run appends batches until ctx ends. It always returns nil. Only one Run may be running.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			w.appendBatch(ctx, w.collectBatch(ctx, first))
		}
	}
}

// collectBatch collects further writes for Linger or until the batch has at least MaxBatch
// records.
func (w *Writer) collectBatch(ctx context.Context, first *pendingWrite) []*pendingWrite {
	batch, records := []*pendingWrite{first}, len(first.envelopes)
	linger := time.NewTimer(w.cfg.Linger)
	defer linger.Stop()
	for records < w.cfg.MaxBatch {
		select {
		case pending := <-w.queue:
			batch, records = append(batch, pending), records+len(pending.envelopes)
		case <-linger.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// appendBatch appends one batch and sends each caller its result.
func (w *Writer) appendBatch(ctx context.Context, batch []*pendingWrite) {
	var envelopes []Envelope
	for _, pending := range batch {
		envelopes = append(envelopes, pending.envelopes...)
	}
	first, err := w.appendAndResolve(ctx, envelopes)
	for _, pending := range batch {
		pending.result <- writeResult{first, err}
		first += Offset(len(pending.envelopes))
	}
}

// appendAndResolve appends the envelopes and returns the offset of the first one after it
// was read back.
func (w *Writer) appendAndResolve(ctx context.Context, envelopes []Envelope) (Offset, error) {
	records := make([][]byte, len(envelopes))
	for i, e := range envelopes {
		data, err := e.Encode()
		if err != nil {
			return 0, err
		}
		records[i] = data
	}
	if !w.searchFromKnown {
		head, err := Head(ctx, w.cfg.Log, w.cfg.Stream)
		if err != nil {
			return 0, errkind.Wrap(errkind.LogUnavailable, "head_unknown", err)
		}
		w.searchFrom, w.searchFromKnown = head, true
	}
	from := w.searchFrom
	first, err := w.cfg.Log.Append(ctx, w.cfg.Stream, records)
	if err != nil && errkind.Of(err) != errkind.AppendUnknown {
		return 0, err
	}
	if err != nil {
		w.cfg.Logger.Warn().Str("event", "append_answer_lost").Str("stream", w.cfg.Stream).
			Str("record", envelopes[0].ID).Int("count", len(envelopes)).Err(err).Send()
	} else {
		from = first
	}
	return w.resolve(ctx, from, envelopes)
}

// resolve searches the stream from offset from on for the first envelope of a batch. A batch
// is appended whole or not at all, so the first id is enough. If it is not found, a slow log
// may still apply the append, so the error is append_unknown.
func (w *Writer) resolve(ctx context.Context, from Offset, envelopes []Envelope) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.ResolveTimeout)
	defer cancel()
	for {
		b, err := w.cfg.Log.Read(ctx, w.cfg.Stream, from, w.cfg.MaxBatch, 0)
		if errors.Is(err, ErrTrimmed) {
			w.searchFromKnown = false
			return 0, errkind.Wrap(errkind.AppendUnknown, "trimmed_before_read_back", err)
		}
		if err == nil {
			for _, r := range b.Records {
				if e, ok := DecodeEnvelope(r.Data); ok && e.ID == envelopes[0].ID {
					w.searchFrom = r.Offset + Offset(len(envelopes))
					return r.Offset, nil
				}
			}
			if len(b.Records) > 0 {
				from = b.Next
				continue
			}
		}
		select {
		case <-ctx.Done():
			return 0, errkind.New(errkind.AppendUnknown, "not_settled", "record %s not found in stream %s", envelopes[0].ID, w.cfg.Stream)
		case <-time.After(w.cfg.ResolveInterval):
		}
	}
}

// maxHeadReads bounds the reads of one call of Head. The stream can be trimmed again between
// the answer that names its oldest offset and the next read.
const maxHeadReads = 10

// Head returns the offset after the last record of the stream. Its errors are those of
// log.Read.
func Head(ctx context.Context, log Log, stream string) (Offset, error) {
	var from Offset
	var err error
	for range maxHeadReads {
		var b Batch
		var trimmed *TrimmedError
		b, err = log.Read(ctx, stream, from, 1, 0)
		if !errors.As(err, &trimmed) {
			return b.Head, err
		}
		from = trimmed.Oldest
	}
	return 0, err
}
