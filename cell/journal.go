package cell

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

// takeOver makes the log refuse appends of former leaders, and returns the records that they
// have stored. It reports false if ctx ends or a later term has taken over. The records are read while
// the log sets the fence; those that a former leader has stored meanwhile are read after it.
func (l *leadership) takeOver(ctx context.Context) ([]sched.Record, bool) {
	log := l.daemon.platformLog
	pages := make(chan Page, 1)
	go func() {
		page, _ := readAllNewest(ctx, log, StreamState, l.logger) // incomplete only if ctx ends
		pages <- page
	}()
	if !l.fenceFormerLeaders(ctx) {
		return nil, false
	}
	page := <-pages
	for ctx.Err() == nil {
		newer, err := readRest(ctx, log, StreamState, page.End)
		if err == nil {
			return mergeRecords(page.Entries, newer), true
		}
		l.logger.Warn().Str("event", "takeover_retried").Err(err).Send()
		if errkind.Of(err) != errkind.NotFound {
			pause.For(ctx, restoreRetryWait)
			continue
		}
		page, _ = readAllNewest(ctx, log, StreamState, l.logger) // the entries after the pages have expired
	}
	return nil, false
}

// fenceFormerLeaders makes the log refuse appends of former leaders. It reports false if ctx ends or a
// later term has taken over.
func (l *leadership) fenceFormerLeaders(ctx context.Context) bool {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, logTimeout)
		err := l.daemon.platformLog.Append(limited, StreamState, nil, Fence{Epoch: l.term, Sequence: 0})
		cancel()
		if err == nil {
			return true
		}
		if errkind.Of(err) == errkind.StaleEpoch {
			l.logger.Warn().Str("event", "takeover_fenced").Err(err).Send()
			return false
		}
		l.logger.Warn().Str("event", "takeover_retried").Err(err).Send()
		pause.For(ctx, restoreRetryWait)
	}
	return false
}

// readRest returns all entries of a stream from an offset on.
func readRest(ctx context.Context, log Log, s Stream, from int64) ([]Entry, error) {
	var out []Entry
	for {
		limited, cancel := context.WithTimeout(ctx, newestWait+logTimeout)
		page, err := log.Read(limited, s, from, 0)
		cancel()
		if err != nil {
			return nil, err
		}
		out = append(out, page.Entries...)
		if len(page.Entries) > 0 {
			from = page.Entries[len(page.Entries)-1].Offset + 1
		}
		if len(page.Entries) == 0 || from >= page.End {
			return out, nil
		}
	}
}

// mergeRecords returns the newest record of each key, in the order of keys: the entries of newer, in
// their order, replace the others and each other. An entry without a value deletes its key.
func mergeRecords(newest, newer []Entry) []sched.Record {
	replaced := make(map[string]int, len(newer)) // index of the last entry in newer, by key
	for i, e := range newer {
		replaced[e.Key] = i
	}
	records := make([]sched.Record, 0, len(newest)+len(newer))
	for _, e := range newest {
		if _, ok := replaced[e.Key]; !ok {
			records = append(records, sched.Record{Key: e.Key, Value: e.Value})
		}
	}
	for i, e := range newer {
		if replaced[e.Key] == i && len(e.Value) > 0 {
			records = append(records, sched.Record{Key: e.Key, Value: e.Value})
		}
	}
	slices.SortFunc(records, func(a, b sched.Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// storeRecords appends the engine's changed records to the log until ctx ends. If records cannot
// be encoded, or the log refuses an append for good, it resigns and returns.
func (l *leadership) storeRecords(ctx context.Context) {
	sequence := int64(1)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.flushSignal:
		case <-time.After(maxPlanInterval):
		}
		l.mu.Lock()
		batch, hasRecords, err := l.engine.Flush(time.Now())
		l.mu.Unlock()
		if err != nil {
			l.logger.Error().Str("event", "flush_failed").Err(err).Send()
			l.daemon.tenure.Resign("job state cannot be encoded")
			return
		}
		if !hasRecords {
			continue
		}
		var refused []sched.Record
		var ok bool
		if sequence, refused, ok = l.appendRecords(ctx, batch.Records, sequence); !ok {
			return
		}
		l.mu.Lock()
		for _, r := range refused {
			l.engine.RecordRefused(batch, r, l.clock())
		}
		l.engine.BatchStored(batch, l.clock())
		close(l.recordsStored)
		l.recordsStored = make(chan struct{})
		l.mu.Unlock()
		notify(l.planSignal)
		if len(refused) > 0 {
			pause.For(ctx, logRetry)
		}
		pause.For(ctx, minFlushInterval)
	}
}

// maxAppendBytes bounds the entries of one append, so that it ends within logTimeout over a link
// of 10 Mbit/s.
const maxAppendBytes = 128 << 10

// appendRecords stores records in order, as many in each append as fit into maxAppendBytes and
// Settings.MaxAppendBytes; a larger record is appended alone. The size of a record includes 8 bytes
// for its encoding. It returns the sequence number of the next append, the records that the log does not
// take, and false if ctx ended or the log refused the leader.
func (l *leadership) appendRecords(ctx context.Context, records []sched.Record, sequence int64) (int64, []sched.Record, bool) {
	limit := min(l.daemon.settings.MaxAppendBytes, maxAppendBytes)
	var refused []sched.Record
	for len(records) > 0 {
		size, n := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n].Value)+len(records[n].Key)+8 <= limit) {
			size += len(records[n].Value) + len(records[n].Key) + 8
			n++
		}
		// Halves of a refused append are appended until the records that the log does not take are alone.
		for rest := [][]sched.Record{records[:n]}; len(rest) > 0; {
			group := rest[0]
			rest = rest[1:]
			switch l.append(ctx, toEntries(group), sequence) {
			case appendGivenUp:
				return sequence, refused, false
			case appendStored:
				sequence++
			case appendRefused:
				if len(group) == 1 {
					refused = append(refused, group[0])
					continue
				}
				rest = append([][]sched.Record{group[:len(group)/2], group[len(group)/2:]}, rest...)
			}
		}
		records = records[n:]
	}
	return sequence, refused, true
}

// toEntries returns the entries of the log for records.
func toEntries(records []sched.Record) []Entry {
	entries := make([]Entry, len(records))
	for i, r := range records {
		entries[i] = Entry{Key: r.Key, Value: r.Value}
	}
	return entries
}

// appendOutcome is the outcome of an append that is repeated until it is clear.
type appendOutcome int

const (
	appendStored  appendOutcome = iota
	appendRefused               // the log does not take these entries
	appendGivenUp               // ctx ended, or the log refused the leader, which has resigned
)

// append repeats one append until its outcome is clear. The log recognizes a repeated append by its
// sequence number. The leader resigns if the log refuses this term or the sequence number.
func (l *leadership) append(ctx context.Context, entries []Entry, sequence int64) appendOutcome {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sent := l.clock()
		limited, cancel := context.WithTimeout(ctx, logTimeout)
		err := l.daemon.platformLog.Append(limited, StreamState, entries, Fence{Epoch: l.term, Sequence: sequence})
		cancel()
		l.daemon.settings.Metrics.AppendSeconds.Observe((l.clock() - sent).Seconds())
		if err == nil {
			l.daemon.settings.Metrics.Appends.WithLabelValues("stored").Inc()
			return appendStored
		}
		l.daemon.settings.Metrics.Appends.WithLabelValues(errkind.ReasonOf(err)).Inc()
		switch errkind.Of(err) {
		case errkind.BadInput:
			l.logger.Error().Str("event", "append_refused").Int64("sequence", sequence).Int("records", len(entries)).
				Str("first_key", entries[0].Key).Int("first_bytes", len(entries[0].Value)).Err(err).Send()
			return appendRefused
		case errkind.StaleEpoch:
			l.logger.Warn().Str("event", "append_fenced").Int64("sequence", sequence).Err(err).Send()
			l.daemon.tenure.Resign("another daemon has taken over the job state")
			return appendGivenUp
		case errkind.Conflict:
			l.logger.Error().Str("event", "append_out_of_sequence").Int64("sequence", sequence).Err(err).Send()
			l.daemon.tenure.Resign("the log refused the sequence number of an append")
			return appendGivenUp
		}
		l.daemon.settings.Metrics.Retries.WithLabelValues("append").Inc()
		if attempt == 0 {
			l.logger.Warn().Str("event", "append_retried").Int64("sequence", sequence).Int("records", len(entries)).Err(err).Send()
		}
		pause.For(ctx, logRetry)
	}
	return appendGivenUp
}
