package link

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	Direct upstream.Log // reads the log itself; required
	// MaxRecords is the number of recent records kept per stream. Default 4096.
	MaxRecords int
	// PollWait is how long one of the relay's own reads waits for new records. Default 300 ms.
	PollWait time.Duration
	// MaxAge is the age of the last read that reached the head of the stream above which the
	// relay does not answer from its records. Default 1.5 s.
	MaxAge time.Duration
	// IdleTimeout is the time without requests after which a stream is no longer read. Default 30 s.
	IdleTimeout time.Duration
	// MaxWait bounds how long a request waits for new records. Default 5 s.
	MaxWait time.Duration
	Logger  zerolog.Logger
}

func (c RelayConfig) withDefaults() RelayConfig {
	if c.MaxRecords <= 0 {
		c.MaxRecords = 4096
	}
	if c.PollWait <= 0 {
		c.PollWait = 300 * time.Millisecond
	}
	if c.MaxAge <= 0 {
		c.MaxAge = 1500 * time.Millisecond
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 30 * time.Second
	}
	if c.MaxWait <= 0 {
		c.MaxWait = 5 * time.Second
	}
	return c
}

// Relay reads streams of the log on demand and serves the records to the daemons of its
// region, so that a record crosses the link between regions once.
type Relay struct {
	cfg   RelayConfig
	mu    sync.Mutex
	tails map[string]*tail
}

// tail holds the most recent records of one stream. Relay.mu guards it.
type tail struct {
	batch         upstream.Batch  // Records are contiguous and end at Next
	firstOffset   upstream.Offset // of batch.Records
	valid         bool            // the stream was read since the tail was started or cleared
	headReadStart time.Time       // start of the last read that reached the head
	lastRequest   time.Time
	changed       chan struct{} // closed and replaced when the tail is extended
}

// NewRelay returns a Relay.
func NewRelay(cfg RelayConfig) *Relay {
	return &Relay{cfg: cfg.withDefaults(), tails: make(map[string]*tail)}
}

// Register adds the LogRelay service to a server's mux.
func (r *Relay) Register(mux *drpcmux.Mux) error { return rpc.DRPCRegisterLogRelay(mux, r) }

var _ rpc.DRPCLogRelayServer = (*Relay)(nil)

// ReadLog implements the LogRelay service. It waits up to WaitMs for a first record. The
// error is of kind log_unavailable if the relay has no recent read of the stream.
func (r *Relay) ReadLog(ctx context.Context, req *rpc.ReadLogRequest) (*rpc.ReadLogResponse, error) {
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, r.cfg.MaxWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for waitOver := wait == 0; ; {
		resp, changed, tooFarBack := r.answerFromTail(req, waitOver)
		if tooFarBack {
			return r.readDirectly(ctx, req)
		}
		if resp != nil {
			return resp, nil
		}
		if waitOver {
			return nil, errkind.New(errkind.LogUnavailable, "relay_stale", "relay has no recent read of stream %s", req.Stream)
		}
		select {
		case <-changed:
		case <-deadline.C:
			waitOver = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answerFromTail answers from the recent records. tooFarBack means that the request starts
// before them, or that the stream was not read yet. If resp is nil otherwise, the caller has
// to wait for changed. waitOver allows an answer without records.
func (r *Relay) answerFromTail(req *rpc.ReadLogRequest, waitOver bool) (resp *rpc.ReadLogResponse, changed chan struct{}, tooFarBack bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, now := r.tail(req.Stream), time.Now()
	t.lastRequest = now
	from := upstream.Offset(req.From)
	if !t.valid || from < t.firstOffset {
		return nil, nil, true
	}
	age := now.Sub(t.headReadStart)
	hasRecords := from < t.batch.Next
	if age > r.cfg.MaxAge || (!hasRecords && !waitOver) {
		return nil, t.changed, false
	}
	b := upstream.Batch{Next: from, Head: t.batch.Head, Oldest: t.batch.Oldest}
	if hasRecords {
		all := t.batch.Records[from-t.firstOffset:]
		b.Records = all[:min(len(all), int(req.Limit))]
		b.Next = from + upstream.Offset(len(b.Records))
	}
	return toResponse(b, age), nil, false
}

// toResponse encodes b, which was read age ago.
func toResponse(b upstream.Batch, age time.Duration) *rpc.ReadLogResponse {
	resp := &rpc.ReadLogResponse{Next: uint64(b.Next), Head: uint64(b.Head), Oldest: uint64(b.Oldest),
		AgeMs: uint32(age.Milliseconds()) + 1} // rounded up
	for _, rec := range b.Records {
		resp.Records = append(resp.Records, &rpc.LogRecord{Offset: uint64(rec.Offset), Data: rec.Data})
	}
	return resp
}

// readDirectly reads the log for a request that the tail cannot answer.
func (r *Relay) readDirectly(ctx context.Context, req *rpc.ReadLogRequest) (*rpc.ReadLogResponse, error) {
	start := time.Now()
	b, err := r.cfg.Direct.Read(ctx, req.Stream, upstream.Offset(req.From), int(req.Limit), 0)
	var trimmed *upstream.TrimmedError
	if errors.As(err, &trimmed) {
		return &rpc.ReadLogResponse{Trimmed: true, Oldest: uint64(trimmed.Oldest)}, nil
	}
	if err != nil {
		return nil, err
	}
	return toResponse(b, time.Since(start)), nil
}

// tail returns the tail of a stream, and starts reading the stream if nobody asked for it
// before. The caller holds r.mu.
func (r *Relay) tail(stream string) *tail {
	t, ok := r.tails[stream]
	if !ok {
		t = &tail{changed: make(chan struct{}), lastRequest: time.Now()}
		r.tails[stream] = t
		go r.followStream(stream, t)
	}
	return t
}

// followStream reads a stream into t until nobody has asked for it for IdleTimeout.
func (r *Relay) followStream(stream string, t *tail) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var from upstream.Offset
	fromKnown := false
	for {
		r.mu.Lock()
		if time.Since(t.lastRequest) > r.cfg.IdleTimeout {
			delete(r.tails, stream)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if !fromKnown {
			head, err := upstream.Head(ctx, r.cfg.Direct, stream)
			if err != nil {
				pause.For(ctx, r.cfg.PollWait/4)
				continue
			}
			from, fromKnown = head, true
		}
		start := time.Now()
		b, err := r.cfg.Direct.Read(ctx, stream, from, r.cfg.MaxRecords, r.cfg.PollWait)
		switch {
		case errors.Is(err, upstream.ErrTrimmed):
			fromKnown = false
			r.clearTail(t)
		case err != nil:
			pause.For(ctx, r.cfg.PollWait/4)
		default:
			r.extendTail(t, from, b, start)
			from = b.Next
		}
	}
}

// clearTail empties t after its next offset was trimmed.
func (r *Relay) clearTail(t *tail) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.valid, t.batch, t.firstOffset = false, upstream.Batch{}, 0
}

// extendTail appends b, read at from, to t, drops the records above MaxRecords, and wakes
// the requests that wait. start is when the read of b began.
func (r *Relay) extendTail(t *tail, from upstream.Offset, b upstream.Batch, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.valid {
		t.valid, t.firstOffset = true, from
	}
	records := append(t.batch.Records, b.Records...)
	if excess := len(records) - r.cfg.MaxRecords; excess > 0 {
		records, t.firstOffset = append([]upstream.Record(nil), records[excess:]...), t.firstOffset+upstream.Offset(excess)
	}
	t.batch = upstream.Batch{Records: records, Next: b.Next, Head: b.Head, Oldest: b.Oldest}
	if b.Next == b.Head {
		t.headReadStart = start
	}
	close(t.changed)
	t.changed = make(chan struct{})
}
