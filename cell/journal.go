package cell

import (
	"context"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

// takeOver makes the log refuse the appends of former leaders, and reads what
// they have stored.
func (l *lead) takeOver(ctx context.Context) ([]sched.Record, bool) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, logTimeout)
		err := l.d.route.Append(limited, StreamState, nil, Fence{Epoch: l.term, Sequence: 0})
		cancel()
		if err == nil {
			break
		}
		if errkind.Of(err) == errkind.StaleEpoch {
			l.log.Warn().Str("event", "takeover_fenced").Err(err).Send()
			return nil, false
		}
		l.log.Warn().Str("event", "takeover_retried").Err(err).Send()
		pause.For(ctx, restoreRetry)
	}
	page, ok := newestOfAll(ctx, l.d.route, StreamState, l.log)
	if !ok {
		return nil, false
	}
	records := make([]sched.Record, 0, len(page.Entries))
	for _, e := range page.Entries {
		records = append(records, sched.Record{Key: e.Key, Value: e.Value})
	}
	return records, true
}

// journal stores what the engine hands out.
func (l *lead) journal(ctx context.Context) {
	sequence := int64(1)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.flushSoon:
		case <-time.After(planEvery):
		}
		l.mu.Lock()
		batch, some, err := l.engine.Flush(time.Now())
		l.mu.Unlock()
		if err != nil {
			l.log.Error().Str("event", "flush_failed").Err(err).Send()
			l.d.tenure.Resign("job state cannot be encoded")
			return
		}
		if !some {
			continue
		}
		var ok bool
		if sequence, ok = l.store(ctx, batch.Records, sequence); !ok {
			return
		}
		l.mu.Lock()
		l.engine.BatchStored(batch, l.clock())
		close(l.stored)
		l.stored = make(chan struct{})
		l.mu.Unlock()
		kick(l.planSoon)
		pause.For(ctx, flushGap)
	}
}

// appendBytes bounds one append, so that it ends in time over a link of 10 Mbit/s.
const appendBytes = 128 << 10

// store appends records until they are stored, in as few calls as possible. It
// reports false if ctx ended or another daemon leads.
func (l *lead) store(ctx context.Context, records []sched.Record, sequence int64) (int64, bool) {
	limit := min(l.d.set.MaxAppendBytes, appendBytes)
	for len(records) > 0 {
		size, n := 0, 0
		var entries []Entry
		for n < len(records) && (n == 0 || size+len(records[n].Value)+len(records[n].Key)+8 <= limit) {
			r := records[n]
			entries = append(entries, Entry{Key: r.Key, Value: r.Value})
			size += len(r.Value) + len(r.Key) + 8
			n++
		}
		if !l.append(ctx, entries, sequence) {
			return sequence, false
		}
		sequence++
		records = records[n:]
	}
	return sequence, true
}

// append repeats one append until it is stored. The log recognizes the repeat.
func (l *lead) append(ctx context.Context, entries []Entry, sequence int64) bool {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sent := l.clock()
		limited, cancel := context.WithTimeout(ctx, logTimeout)
		err := l.d.route.Append(limited, StreamState, entries, Fence{Epoch: l.term, Sequence: sequence})
		cancel()
		l.d.set.Metrics.AppendSeconds.Observe((l.clock() - sent).Seconds())
		if err == nil {
			l.d.set.Metrics.Appends.WithLabelValues("stored").Inc()
			return true
		}
		l.d.set.Metrics.Appends.WithLabelValues(errkind.ReasonOf(err)).Inc()
		switch errkind.Of(err) {
		case errkind.StaleEpoch:
			l.log.Warn().Str("event", "append_fenced").Int64("sequence", sequence).Err(err).Send()
			l.d.tenure.Resign("another daemon has taken over the job state")
			return false
		case errkind.Conflict:
			l.log.Error().Str("event", "append_out_of_sequence").Int64("sequence", sequence).Err(err).Send()
			l.d.tenure.Resign("the sequence of appends is broken")
			return false
		}
		l.d.set.Metrics.Retries.WithLabelValues("append").Inc()
		if attempt == 0 {
			l.log.Warn().Str("event", "append_retried").Int64("sequence", sequence).Int("records", len(entries)).Err(err).Send()
		}
		pause.For(ctx, logRetry)
	}
	return false
}
