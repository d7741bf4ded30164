package cell

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
)

// watcher follows a keyed stream: it reads the newest entry of every key, and then all new entries.
type watcher struct {
	log    Log
	stream Stream
	// readWait is how long one read waits for new entries.
	readWait time.Duration
	// batchPause is the pause after a page with entries, so that several new entries cost one read.
	batchPause time.Duration
	logger     zerolog.Logger
	// reset is called before the newest entries of all keys are applied, apply for each entry, and
	// done after the entries of a page, unless it has none.
	reset func()
	apply func(e Entry)
	done  func()
	// current, if set, is called with the start of each answered read, on clock, after which all entries
	// that the log has acknowledged before that start are applied.
	current func(began time.Duration)
	clock   Clock // needed if current is set
}

// run follows the stream until ctx ends.
func (w *watcher) run(ctx context.Context) {
	nextOffset := int64(-1)
	for ctx.Err() == nil {
		began := w.now()
		if nextOffset < 0 {
			page, ok := readAllNewest(ctx, w.log, w.stream, w.logger)
			if !ok {
				return
			}
			w.reset()
			w.applyPage(ctx, page)
			nextOffset = page.End // the pages are not one snapshot: later pages may hold newer entries
			w.confirm(began)
			continue
		}
		page, err := w.read(ctx, nextOffset)
		if err != nil {
			if errkind.Of(err) == errkind.NotFound {
				nextOffset = -1 // older entries have expired, but the log keeps the newest of each key
			} else {
				w.logger.Debug().Str("event", "read_failed").Str("stream", string(w.stream)).Err(err).Send()
			}
			pause.For(ctx, logRetry)
			continue
		}
		w.applyPage(ctx, page)
		for _, e := range page.Entries {
			nextOffset = max(nextOffset, e.Offset+1)
		}
		switch {
		case len(page.Entries) > 0 && nextOffset < page.End: // there are more
		case len(page.Entries) == 0 && page.End < nextOffset && w.current != nil:
			// The log has lost entries, so new ones may be stored before nextOffset.
			w.logger.Warn().Str("event", "stream_shortened").Str("stream", string(w.stream)).Int64("offset", nextOffset).
				Int64("end", page.End).Send()
			nextOffset = -1
			pause.For(ctx, logRetry)
		default:
			w.confirm(began)
		}
	}
}

// now returns the time on clock, 0 if it is not needed.
func (w *watcher) now() time.Duration {
	if w.current == nil {
		return 0
	}
	return w.clock()
}

// confirm calls current.
func (w *watcher) confirm(began time.Duration) {
	if w.current != nil {
		w.current(began)
	}
}

// applyPage applies the entries of a page, and pauses if there are any.
func (w *watcher) applyPage(ctx context.Context, page Page) {
	for _, e := range page.Entries {
		w.apply(e)
	}
	if len(page.Entries) > 0 {
		w.done()
		pause.For(ctx, w.batchPause)
	}
}

// readAllNewest reads the newest entry of every key, page by page. End of the result is that of the
// first page, so that no entry written during the reads is missed. Only pages that fail are read
// again, so that a large stream can be read over a slow link. It reports false if ctx ended.
func readAllNewest(ctx context.Context, log Log, s Stream, logger zerolog.Logger) (Page, bool) {
	out := Page{End: -1}
	after, lastFailed := "", false
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, newestWait+2*logTimeout)
		page, err := log.Newest(limited, s, after)
		cancel()
		if err != nil {
			if !lastFailed { // log only the first of several failures in a row
				logger.Warn().Str("event", "restore_retried").Str("stream", string(s)).Int("entries", len(out.Entries)).Err(err).Send()
			}
			lastFailed = true
			pause.For(ctx, restoreRetryWait)
			continue
		}
		lastFailed = false
		if out.End < 0 {
			out.End = page.End
		}
		out.Entries = append(out.Entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return out, true
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
	return out, false
}

// read returns the entries from an offset on. It waits up to readWait for the first.
func (w *watcher) read(ctx context.Context, from int64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, w.readWait+logTimeout)
	defer cancel()
	return w.log.Read(ctx, w.stream, from, w.readWait)
}
