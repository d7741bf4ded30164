package cell

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
)

// watcher follows the newest entries of a keyed stream.
type watcher struct {
	log    Log
	stream Stream
	// readWait is how long one read waits for news.
	readWait time.Duration
	// batchPause is the pause after news, so that several entries cost one read.
	batchPause time.Duration
	logger     zerolog.Logger
	// reset is called before a full reading is applied, apply for each entry, and
	// done after each group of entries.
	reset func()
	apply func(e Entry)
	done  func()
}

// run follows the stream until ctx ends.
func (w *watcher) run(ctx context.Context) {
	nextOffset := int64(-1)
	for ctx.Err() == nil {
		if nextOffset < 0 {
			page, ok := readAllNewest(ctx, w.log, w.stream, w.logger)
			if !ok {
				return
			}
			w.reset()
			w.applyPage(ctx, page)
			nextOffset = page.End // pages are no snapshot: later ones may be newer
			continue
		}
		page, err := w.read(ctx, nextOffset)
		if err != nil {
			if errkind.Of(err) == errkind.NotFound {
				nextOffset = -1 // the history is gone; the newest entries are kept
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
	}
}

// applyPage applies the entries of a page.
func (w *watcher) applyPage(ctx context.Context, page Page) {
	for _, e := range page.Entries {
		w.apply(e)
	}
	if len(page.Entries) > 0 {
		w.done()
		pause.For(ctx, w.batchPause)
	}
}

// readAllNewest reads the newest entry of every key, page by page, and the end of the
// stream at the first page. A page that fails is asked for again and the others are
// kept, so that a large stream is read over a slow link too. It reports false if
// ctx ended.
func readAllNewest(ctx context.Context, log Log, s Stream, logger zerolog.Logger) (Page, bool) {
	out := Page{End: -1}
	after, failed := "", false
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, newestWait+2*logTimeout)
		page, err := log.Newest(limited, s, after)
		cancel()
		if err != nil {
			if !failed { // one line for failures in a row
				logger.Warn().Str("event", "restore_retried").Str("stream", string(s)).Int("entries", len(out.Entries)).Err(err).Send()
			}
			failed = true
			pause.For(ctx, restoreRetryWait)
			continue
		}
		failed = false
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

func (w *watcher) read(ctx context.Context, from int64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, w.readWait+logTimeout)
	defer cancel()
	return w.log.Read(ctx, w.stream, from, w.readWait)
}
