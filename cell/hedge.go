package cell

import (
	"cmp"
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/errkind"
)

const (
	// minHedgeDelay is the least wait for the answer to an append before a further copy is sent. The
	// log answers within a few round trips between regions unless the answer is lost.
	minHedgeDelay = 120 * time.Millisecond
	// maxHedgeDelay is the longest wait before a further copy, unless the log is known to take longer.
	// It bounds the time until a leader sees that a lost log is back.
	maxHedgeDelay = 300 * time.Millisecond
	// directHeadStart is the wait before a copy through another daemon if the log did not answer the last
	// direct call.
	directHeadStart = 25 * time.Millisecond
	// maxCopies bounds the copies of one call.
	maxCopies = 6
	// directLossPeriod is how long appends are answered only through other daemons before a leader hands
	// over to one of them: relayed appends take longer, and the relay may be a small host.
	directLossPeriod = 300 * time.Millisecond
)

// Append implements Log. A copy, also through another daemon, is safe: the fence makes the log
// store an append only once. If the first copy of an append at an offset is stored and its answer
// is lost, the next copy fails with kind conflict.
func (r *routedLog) Append(ctx context.Context, s Stream, entries []Entry, f Fence) error {
	c := &logCall{Stream: s, Kind: "append", Entries: entries, Fence: f}
	delay := r.hedgeDelay(s)
	_, err := r.hedge(ctx, c, delay, delay == minHedgeDelay)
	return err
}

// read makes a call that changes nothing.
func (r *routedLog) read(ctx context.Context, c *logCall) (Page, error) {
	return r.hedge(ctx, c, c.Wait+directTimeout, true)
}

// hedge makes a call, and sends a copy of it after delay without an answer. fast means that copies do
// not queue at the log, so that another daemon may be tried sooner.
func (r *routedLog) hedge(ctx context.Context, c *logCall, delay time.Duration, fast bool) (Page, error) {
	copies, endCopies := context.WithCancel(context.WithoutCancel(ctx))
	defer context.AfterFunc(ctx, endCopies)()
	h := hedge{log: r, call: c, fast: fast, results: make(chan copyResult, maxCopies), directSince: r.clock()}
	result := h.run(ctx, copies, delay)
	if result.relay != "" && !h.directFailed && isLogAnswer(result.err) {
		go h.judgeDirect(endCopies)
	} else {
		endCopies() // a connection on which an answer was lost is not used again
	}
	return result.page, result.err
}

// hedge is one call of which copies are sent until the log answers one of them.
type hedge struct {
	log          *routedLog
	call         *logCall
	fast         bool
	results      chan copyResult
	sent         int
	inFlight     int
	directSince  time.Duration // when the first direct copy was sent
	directFailed bool          // a direct copy was refused or its connection broke
}

// copyResult is the outcome of one copy of a call.
type copyResult struct {
	relay string // address of the daemon that made the call, empty if it was a direct one
	took  time.Duration
	page  Page
	err   error
}

// run sends copies, which end with the context copies, until the log answers, ctx ends, or all copies
// have failed. It returns the first answer or the failure. A failure of one copy does not tell the
// outcome of the others.
func (h *hedge) run(ctx, copies context.Context, delay time.Duration) copyResult {
	h.send(copies)
	wait := delay
	if h.fast && !h.log.reachesLog() && h.log.hasRelay() {
		wait = directHeadStart
	}
	var unknownErr error
	for {
		var timer <-chan time.Time
		if h.sent < maxCopies {
			timer = time.After(wait)
		}
		select {
		case <-timer:
			h.send(copies)
			if wait = delay; h.sent > 2 {
				delay = max(min(delay*3/2, maxHedgeDelay), delay)
			}
		case result := <-h.results:
			h.inFlight--
			if isLogAnswer(result.err) {
				h.answered(result)
				return result
			}
			if ctx.Err() == nil {
				h.failed(result)
			}
			if errkind.Of(result.err) == errkind.AppendUnknown {
				unknownErr = result.err
			}
			if h.inFlight > 0 {
				continue
			}
			if ctx.Err() == nil && h.sent < maxCopies && (h.log.hasRelay() || result.isBroken()) {
				h.send(copies) // nothing is left that could be answered
				continue
			}
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				h.log.recordDirectCall(false)
			}
			result.err = cmp.Or(unknownErr, result.err)
			return result
		}
	}
}

// isBroken reports whether the connection of a copy broke, so that another one may be answered at once.
func (c copyResult) isBroken() bool { return errkind.Of(c.err) == errkind.AppendUnknown }

// send starts one copy: the first directly, further ones in turn through another daemon and directly.
func (h *hedge) send(ctx context.Context) {
	relay := ""
	if h.sent%2 == 1 {
		relay = h.log.relay()
	}
	if h.sent > 0 && h.call.Kind == "append" && h.log.onAppendCopy != nil {
		h.log.onAppendCopy()
	}
	h.sent++
	h.inFlight++
	began := h.log.clock()
	go func() {
		result := copyResult{relay: relay}
		if relay == "" {
			result.page, result.err = makeCall(ctx, h.log.direct, h.call)
		} else {
			result.page, result.err = h.log.callRelay(ctx, relay, h.call)
		}
		result.took = h.log.clock() - began
		if relay != "" && (ctx.Err() == nil || result.took > h.call.Wait+relayTimeout) {
			h.log.recordRelay(relay, isLogAnswer(result.err))
		}
		h.results <- result
	}()
}

// failed takes into account that a copy was not answered by the log.
func (h *hedge) failed(result copyResult) {
	if result.relay == "" {
		h.directFailed = true
		h.log.recordDirectCall(false)
	}
}

// judgeDirect waits, after an answer through another daemon, whether a direct copy is answered too, and
// then ends all copies. A repeat may be answered sooner than the first copy, so the answer through the
// other daemon does not tell that the direct one is lost.
func (h *hedge) judgeDirect(endCopies func()) {
	defer endCopies()
	timer := time.After(h.call.Wait + logTimeout - (h.log.clock() - h.directSince))
	for {
		select {
		case result := <-h.results:
			if result.relay == "" {
				h.log.recordDirectCall(isLogAnswer(result.err))
				return
			}
		case <-timer:
			h.log.recordDirectCall(false)
			return
		}
	}
}

// answered takes the first answer of the log into account.
func (h *hedge) answered(result copyResult) {
	r := h.log
	if result.relay == "" {
		r.recordDirectCall(true)
	}
	if h.call.Kind != "append" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch now := r.clock(); {
	case !r.directLost:
		r.onlyRelayedSince = 0
	case r.onlyRelayedSince == 0:
		r.onlyRelayedSince = now
	case now-r.onlyRelayedSince >= directLossPeriod && r.onOnlyRelayed != nil:
		go r.onOnlyRelayed()
	}
	if r.appendTimes == nil {
		r.appendTimes = make(map[Stream]*responseTimes)
	}
	times := r.appendTimes[h.call.Stream]
	if times == nil {
		times = &responseTimes{}
		r.appendTimes[h.call.Stream] = times
	}
	times.observe(result.took)
}

// hedgeDelay returns the wait for the answer to an append to s before its first further copy.
func (r *routedLog) hedgeDelay(s Stream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if times := r.appendTimes[s]; times != nil {
		return max(minHedgeDelay, times.limit())
	}
	return minHedgeDelay
}

// hasRelay reports whether another daemon can relay calls.
func (r *routedLog) hasRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.relays) > 0
}
