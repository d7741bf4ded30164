package cell

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

const (
	// relayPeriod is how long calls go through another daemon after the log did not answer a direct
	// call.
	relayPeriod = 1500 * time.Millisecond
	// directTimeout bounds a direct read, beyond the time that it asks the log to wait, while another
	// daemon could relay it.
	directTimeout = 450 * time.Millisecond
)

// routedLog is a Log that calls the platform's log directly, and through another daemon while the
// log does not answer this one. Appends are hedged: copies are sent while no answer comes, in turn
// directly and through other daemons.
type routedLog struct {
	direct Log
	conns  *connPool
	clock  Clock
	logger zerolog.Logger

	mu          sync.Mutex
	relays      []string      // addresses of daemons that reach the log
	relayUntil  time.Duration // until then calls go through a relay, if there is one; 0 if the log answered the last direct call
	nextRelay   int
	appendTimes map[Stream]*responseTimes
	// onlyRelayedSince is since when appends are answered only through other daemons, 0 if they are not.
	onlyRelayedSince time.Duration
	// onOnlyRelayed, if set, is called for each append that is answered through another daemon when that
	// has gone on for directLossPeriod.
	onOnlyRelayed func()
	// onAppendCopy, if set, is called for each further copy of an append.
	onAppendCopy func()
}

// reachesLog reports whether the log answered the last direct call of this daemon. It is true before
// the first one.
func (r *routedLog) reachesLog() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relayUntil == 0
}

var _ Log = (*routedLog)(nil)

// setRelays sets the addresses of the daemons that can relay calls for this one.
func (r *routedLog) setRelays(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays = addresses
}

// chooseRoute reports whether the next call is made directly, and returns the address of the daemon
// that can relay it, empty if there is none. Relays are used in turn.
func (r *routedLog) chooseRoute() (direct bool, relay string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.relays) > 0 {
		r.nextRelay++
		relay = r.relays[r.nextRelay%len(r.relays)]
	}
	return r.clock() >= r.relayUntil || relay == "", relay
}

// recordDirectCall takes into account whether the log answered a direct call.
func (r *routedLog) recordDirectCall(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.relayUntil, r.onlyRelayedSince = 0, 0
		return
	}
	if r.relayUntil == 0 && len(r.relays) > 0 {
		r.logger.Warn().Str("event", "log_through_relays").Int("relays", len(r.relays)).Send()
	}
	r.relayUntil = r.clock() + relayPeriod
}

// isLogAnswer reports whether err, which may be nil, is an answer of the log itself.
func isLogAnswer(err error) bool {
	if err == nil {
		return true
	}
	switch errkind.Of(err) {
	case errkind.Conflict, errkind.StaleEpoch, errkind.NotFound:
		return true
	}
	return false
}

// call makes one call to the log that may be repeated by another daemon. It uses direct, unless there
// is a relay and the log did not answer a direct call within the last relayPeriod. If direct is not
// used, or the log does not answer it, the relay makes the call, if there is one.
func (r *routedLog) call(ctx context.Context, c *logCall, direct func(context.Context) (Page, error)) (Page, error) {
	useDirect, relay := r.chooseRoute()
	if useDirect {
		limited, cancel := ctx, context.CancelFunc(func() {})
		if relay != "" {
			limited, cancel = context.WithTimeout(ctx, c.Wait+directTimeout)
		}
		page, err := direct(limited)
		cancel()
		if errors.Is(ctx.Err(), context.Canceled) {
			return page, err
		}
		r.recordDirectCall(isLogAnswer(err))
		if isLogAnswer(err) || ctx.Err() != nil {
			return page, err
		}
		if relay == "" {
			return page, err
		}
	}
	return r.callRelay(ctx, relay, c)
}

// callRelay makes one call to the log through another daemon.
func (r *routedLog) callRelay(ctx context.Context, relay string, c *logCall) (Page, error) {
	out, err := r.conns.call(ctx, relay, rpcLog, &call{Log: c})
	if err != nil && errkind.Of(err) == errkind.OutcomeUnknown && c.Kind == "append" {
		return Page{}, errkind.Wrap(errkind.AppendUnknown, "relay_silent", err)
	}
	if out == nil {
		return Page{}, errkind.Wrap(errkind.LogUnavailable, "relay_failed", err)
	}
	if out.Page == nil {
		out.Page = &Page{}
	}
	return *out.Page, err
}

// Read implements Log.
func (r *routedLog) Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error) {
	return r.call(ctx, &logCall{Stream: s, Kind: "read", From: from, Wait: wait}, func(ctx context.Context) (Page, error) {
		return r.direct.Read(ctx, s, from, wait)
	})
}

// newestWait is the time that the transfer of one page of newest entries may take beyond that of
// another call: 1 MB over a link of 10 Mbit/s.
const newestWait = time.Second

// Newest implements Log.
func (r *routedLog) Newest(ctx context.Context, s Stream, after string) (Page, error) {
	return r.call(ctx, &logCall{Stream: s, Kind: "newest", After: after, Wait: newestWait}, func(ctx context.Context) (Page, error) {
		return r.direct.Newest(ctx, s, after)
	})
}

// serveLog relays a call to the log for another daemon.
func serveLog(ctx context.Context, direct Log, c *logCall) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+logTimeout)
	defer cancel()
	var page Page
	var err error
	switch c.Kind {
	case "append":
		err = direct.Append(ctx, c.Stream, c.Entries, c.Fence)
	case "read":
		page, err = direct.Read(ctx, c.Stream, c.From, c.Wait)
	case "newest":
		page, err = direct.Newest(ctx, c.Stream, c.After)
	default:
		err = errkind.New(errkind.BadInput, "log_call", "unknown call %q", c.Kind)
	}
	return &reply{Page: &page}, err
}
