package cell

import (
	"cmp"
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
	// directTimeout bounds a direct call, beyond the time that it asks the log to wait, while another
	// daemon could relay it, and a call that this daemon relays.
	directTimeout = 450 * time.Millisecond
	// minHedgeDelay is the least wait for the answer to an append before a further copy is sent. The
	// log answers within a few round trips between regions unless the answer is lost.
	minHedgeDelay = 120 * time.Millisecond
	// hedgeDelayFactor times the mean duration of an append is the wait while the log is slow.
	hedgeDelayFactor = 3
	// maxAppendCopies bounds the copies of one append.
	maxAppendCopies = 4
	// appendTimeWeight is the weight of the newest append in the moving average of durations.
	appendTimeWeight = 0.2
)

// routedLog is a Log that calls the platform's log directly, and through another daemon while the
// log does not answer this one. Appends are hedged: copies are sent while no answer comes.
type routedLog struct {
	direct Log
	conns  *connPool
	clock  Clock
	logger zerolog.Logger

	mu             sync.Mutex
	relays         []string      // addresses of daemons that reach the log
	relayUntil     time.Duration // until then calls go through a relay, if there is one; 0 if the log answered the last direct call
	nextRelay      int
	timeouts       int           // consecutive direct calls that timed out
	meanAppendTime time.Duration // moving average over direct appends
	// onAppendCopy, if set, is called for each further copy of an append.
	onAppendCopy func()
	// onUnresponsive, if set, is called when the log does not answer this daemon at all, while other
	// daemons may reach it.
	onUnresponsive func()
}

// maxTimeouts is the number of consecutive direct calls that time out before the log counts as
// unresponsive. A call that the log answers, or that fails before its timeout because it is refused,
// resets the count.
const maxTimeouts = 2

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

// recordDirectCall takes the outcome of a direct call into account: whether the log answered, and
// if not, whether the call timed out.
func (r *routedLog) recordDirectCall(answered, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.relayUntil, r.timeouts = 0, 0
		return
	}
	if timedOut {
		r.timeouts++
	} else {
		r.timeouts = 0
	}
	if r.timeouts == maxTimeouts && len(r.relays) > 0 && r.onUnresponsive != nil {
		go r.onUnresponsive()
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

// call makes one call to the log. It uses direct, unless there is a relay and the log did not answer a
// direct call within the last relayPeriod. If direct is not used, or the log does not answer it, the
// relay makes the call, if there is one.
func (r *routedLog) call(ctx context.Context, c *logCall, direct func(context.Context) (Page, error)) (Page, error) {
	useDirect, relay := r.chooseRoute()
	if useDirect {
		limited, cancel := ctx, context.CancelFunc(func() {})
		if relay != "" {
			limited, cancel = context.WithTimeout(ctx, c.Wait+directTimeout)
		}
		page, err := direct(limited)
		timedOut := limited.Err() != nil
		cancel()
		if errors.Is(ctx.Err(), context.Canceled) {
			return page, err
		}
		r.recordDirectCall(isLogAnswer(err), timedOut)
		if isLogAnswer(err) || ctx.Err() != nil {
			return page, err
		}
		if relay == "" {
			return page, err
		}
	}
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

// Append implements Log. A copy, also through another daemon, is safe: the fence makes the log
// store an append only once. If the first copy of an append at an offset is stored and its answer
// is lost, the next copy fails with kind conflict.
func (r *routedLog) Append(ctx context.Context, s Stream, entries []Entry, f Fence) error {
	_, err := r.call(ctx, &logCall{Stream: s, Kind: "append", Entries: entries, Fence: f}, func(ctx context.Context) (Page, error) {
		return Page{}, r.hedge(ctx, func(ctx context.Context) error { return r.direct.Append(ctx, s, entries, f) })
	})
	return err
}

// hedge makes a repeatable call, and starts further copies of it while no answer comes. It returns
// the first answer of the log, or an error once all running copies have failed.
func (r *routedLog) hedge(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other copies: a connection on which an answer was lost is not used again
	r.mu.Lock()
	wait := max(minHedgeDelay, hedgeDelayFactor*r.meanAppendTime)
	r.mu.Unlock()
	results := make(chan error, maxAppendCopies)
	sent := 0
	send := func() {
		sent++
		began := r.clock()
		go func() {
			err := call(ctx)
			if isLogAnswer(err) {
				r.observeAppend(r.clock() - began)
			}
			results <- err
		}()
	}
	send()
	var unknownErr error
	for inFlight := 1; ; {
		var hedgeTimer <-chan time.Time
		if sent < maxAppendCopies {
			hedgeTimer = time.After(wait)
		}
		select {
		case err := <-results:
			inFlight--
			if isLogAnswer(err) {
				return err
			}
			if errkind.Of(err) == errkind.AppendUnknown {
				unknownErr = err
			}
			if inFlight == 0 {
				return cmp.Or(unknownErr, err) // the failure of one copy does not tell the outcome of the others
			}
		case <-hedgeTimer:
			if r.onAppendCopy != nil {
				r.onAppendCopy()
			}
			send()
			inFlight++
		}
	}
}

// observeAppend adds the duration of an append to the moving average.
func (r *routedLog) observeAppend(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meanAppendTime += time.Duration(appendTimeWeight * float64(took-r.meanAppendTime))
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
	ctx, cancel := context.WithTimeout(ctx, c.Wait+directTimeout)
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
