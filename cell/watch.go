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
	// longest is how long one read waits for news.
	longest time.Duration
	// gather is the pause after news, so that several entries cost one read.
	gather time.Duration
	logger zerolog.Logger
	// reset is called before a full reading is applied, apply for each entry, and
	// done after each group of entries.
	reset func()
	apply func(e Entry)
	done  func()
}

// run follows the stream until ctx ends.
func (w *watcher) run(ctx context.Context) {
	next := int64(-1)
	for ctx.Err() == nil {
		var page Page
		var err error
		if next < 0 {
			page, err = w.newest(ctx)
		} else {
			page, err = w.read(ctx, next)
		}
		if err != nil {
			if errkind.Of(err) == errkind.NotFound {
				next = -1 // the history is gone; the newest entries are kept
			} else {
				w.logger.Debug().Str("event", "read_failed").Str("stream", string(w.stream)).Err(err).Send()
			}
			pause.For(ctx, logRetry)
			continue
		}
		if next < 0 {
			w.reset()
			next = page.End
		}
		for _, e := range page.Entries {
			w.apply(e)
			next = max(next, e.Offset+1)
		}
		if len(page.Entries) > 0 {
			w.done()
			pause.For(ctx, w.gather)
		}
	}
}

func (w *watcher) newest(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*logTimeout)
	defer cancel()
	return w.log.Newest(ctx, w.stream)
}

func (w *watcher) read(ctx context.Context, from int64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, w.longest+logTimeout)
	defer cancel()
	return w.log.Read(ctx, w.stream, from, w.longest)
}
