package job

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/upstream"
)

const (
	// journalReadWait is how long a read of the jobs stream waits for new records.
	journalReadWait = time.Second
	// journalReadRecords is the maximum number of records of one read.
	journalReadRecords = 1000
	// journalRetryPause is the pause after a failed read.
	journalRetryPause = 100 * time.Millisecond
)

// journal appends to the jobs stream and applies the records that it reads from it. A
// record takes effect only when it is read back.
type journal struct {
	log    upstream.Log
	writer *upstream.Writer
	apply  func(upstream.Record)

	mu         sync.Mutex
	next       upstream.Offset // offset below which all records are applied
	oldest     upstream.Offset // oldest offset that the log retained at the last read
	advanced   chan struct{}   // closed and replaced when next increases
	replayed   chan struct{}   // closed when all records that existed at the first read are applied
	replayHead upstream.Offset // end of the stream at the first read; used by follow only
}

func newJournal(log upstream.Log, w *upstream.Writer, apply func(upstream.Record)) *journal {
	return &journal{log: log, writer: w, apply: apply, advanced: make(chan struct{}), replayed: make(chan struct{})}
}

// follow applies the stream from its oldest record until ctx ends.
func (j *journal) follow(ctx context.Context) {
	first := true
	for ctx.Err() == nil {
		j.mu.Lock()
		from := j.next
		j.mu.Unlock()
		b, err := j.log.Read(ctx, upstream.StreamJobs, from, journalReadRecords, journalReadWait)
		var trimmed *upstream.TrimmedError
		if errors.As(err, &trimmed) {
			// The dropped records are not needed: the owner of the shard has appended snapshots
			// of its jobs in time.
			j.mu.Lock()
			j.next = max(j.next, trimmed.Oldest)
			j.mu.Unlock()
			continue
		}
		if err != nil {
			pause.For(ctx, journalRetryPause)
			continue
		}
		if first {
			j.replayHead, first = b.Head, false
		}
		for _, r := range b.Records {
			j.apply(r)
		}
		j.mu.Lock()
		j.next, j.oldest = max(j.next, b.Next), b.Oldest
		close(j.advanced)
		j.advanced = make(chan struct{})
		done := j.next >= j.replayHead
		j.mu.Unlock()
		if done {
			select {
			case <-j.replayed:
			default:
				close(j.replayed)
			}
		}
	}
}

// append writes one record and returns when it has been read back and applied. After an
// error of kind errkind.AppendUnknown the record may still take effect; after any other
// error it does not.
func (j *journal) append(ctx context.Context, kind string, body record) error {
	e, err := upstream.NewEnvelope(kind, body)
	if err != nil {
		return err
	}
	off, err := j.writer.Append(ctx, e)
	if err != nil {
		return err
	}
	return j.awaitApplied(ctx, off)
}

// awaitApplied waits until the record at off is applied. When ctx ends first, the record
// may still take effect: the error is of kind errkind.AppendUnknown.
func (j *journal) awaitApplied(ctx context.Context, off upstream.Offset) error {
	for {
		j.mu.Lock()
		next, advanced := j.next, j.advanced
		j.mu.Unlock()
		if next > off {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return errkind.Wrap(errkind.AppendUnknown, "not_read_back", ctx.Err())
		}
	}
}

// position returns the oldest offset that the log still retains and the next one to read.
func (j *journal) position() (oldest, next upstream.Offset) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.oldest, j.next
}

// appendAll writes records of one kind, all or none of them, and returns when all have been
// read back and applied. It does nothing if there are none. Its errors are those of append.
func (j *journal) appendAll(ctx context.Context, kind string, bodies []record) error {
	if len(bodies) == 0 {
		return nil
	}
	envelopes := make([]upstream.Envelope, 0, len(bodies))
	for _, b := range bodies {
		e, err := upstream.NewEnvelope(kind, b)
		if err != nil {
			return err
		}
		envelopes = append(envelopes, e)
	}
	first, err := j.writer.AppendAll(ctx, envelopes)
	if err != nil {
		return err
	}
	return j.awaitApplied(ctx, first+upstream.Offset(len(envelopes))-1)
}
