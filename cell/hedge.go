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
	_, err := r.hedge(ctx, c, r.hedgeDelay(s))
	return err
}

// read makes a call that changes nothing.
func (r *routedLog) read(ctx context.Context, c *logCall) (Page, error) {
	return r.hedge(ctx, c, c.Wait+directTimeout)
}

// hedge makes a call, and sends a copy of it after delay without an answer.
func (r *routedLog) hedge(ctx context.Context, c *logCall, delay time.Duration) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other copies: a connection on which an answer was lost is not used again
	h := hedge{log: r, call: c, results: make(chan copyResult, maxCopies), directSince: r.clock()}
	return h.run(ctx, delay)
}

// hedge is one call of which copies are sent until the log answers one of them.
type hedge struct {
	log         *routedLog
	call        *logCall
	results     chan copyResult
	sent        int
	inFlight    int
	directSince time.Duration // when the first direct copy was sent
}

// copyResult is the outcome of one copy of a call.
type copyResult struct {
	relay string // address of the daemon that made the call, empty if it was a direct one
	took  time.Duration
	page  Page
	err   error
}

// run sends copies until the log answers, ctx ends, or all copies have failed. A failure of one copy
// does not tell the outcome of the others.
func (h *hedge) run(ctx context.Context, delay time.Duration) (Page, error) {
	h.send(ctx)
	if !h.log.reachesLog() && h.log.hasRelay() {
		h.send(ctx) // through another daemon, so that this call need not wait for the direct copy
	}
	var unknownErr error
	for {
		var timer <-chan time.Time
		if h.sent < maxCopies {
			timer = time.After(delay)
		}
		select {
		case <-timer:
			h.send(ctx)
			delay = max(min(delay*3/2, maxHedgeDelay), delay)
		case result := <-h.results:
			h.inFlight--
			if isLogAnswer(result.err) {
				h.answered(result)
				return result.page, result.err
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
				h.send(ctx) // nothing is left that could be answered
				continue
			}
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				h.log.recordDirectCall(false)
			}
			return result.page, cmp.Or(unknownErr, result.err)
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

// failed takes into account that a copy was refused or broke, so that the log did not answer it.
func (h *hedge) failed(result copyResult) {
	if result.relay == "" {
		h.log.recordDirectCall(false)
	}
}

// answered takes the first answer into account. If it came through another daemon, a direct copy that
// was sent long enough before counts as not answered.
func (h *hedge) answered(result copyResult) {
	r := h.log
	switch {
	case result.relay == "":
		r.recordDirectCall(true)
	case r.clock()-h.directSince > result.took+minHedgeDelay/2:
		r.recordDirectCall(false)
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
