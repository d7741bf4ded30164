package cell

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
)

const (
	// silentRelayPeriod is how long a daemon that did not answer is not used as a relay, unless there is
	// no other.
	silentRelayPeriod = 1500 * time.Millisecond
	// relayTimeout is how long a call through another daemon may take, beyond the time that it asks the
	// log to wait, before that daemon counts as silent.
	relayTimeout = 200 * time.Millisecond
	// directTimeout is how long a direct read may take, beyond the time that it asks the log to wait,
	// before another daemon relays it.
	directTimeout = 450 * time.Millisecond
)

// routedLog is a Log that calls the platform's log directly, and through other daemons while the log
// does not answer this one. Calls are hedged: copies are sent while no answer comes, in turn directly
// and through other daemons.
type routedLog struct {
	direct Log
	conns  *connPool
	clock  Clock
	logger zerolog.Logger

	mu          sync.Mutex
	directLost  bool     // the log did not answer the last direct call
	relays      []string // addresses of daemons that reach the log
	nextRelay   int
	silentUntil map[string]time.Duration // by address of a daemon that did not answer as a relay
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
	return !r.directLost
}

var _ Log = (*routedLog)(nil)

// setRelays sets the addresses of the daemons that can relay calls for this one.
func (r *routedLog) setRelays(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relays = addresses
}

// relay returns the address of the daemon that makes the next call for this one, empty if there is
// none. Daemons that did not answer lately are used only if there is no other.
func (r *routedLog) relay() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	for range r.relays {
		r.nextRelay++
		if address := r.relays[r.nextRelay%len(r.relays)]; now >= r.silentUntil[address] {
			return address
		}
	}
	if len(r.relays) == 0 {
		return ""
	}
	return r.relays[r.nextRelay%len(r.relays)]
}

// recordRelay takes into account whether another daemon had an answer of the log.
func (r *routedLog) recordRelay(address string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.silentUntil, address)
		return
	}
	if r.silentUntil == nil {
		r.silentUntil = make(map[string]time.Duration)
	}
	r.silentUntil[address] = r.clock() + silentRelayPeriod
}

// recordDirectCall takes into account whether the log answered a direct call.
func (r *routedLog) recordDirectCall(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.directLost, r.onlyRelayedSince = false, 0
		return
	}
	if !r.directLost && len(r.relays) > 0 {
		r.logger.Warn().Str("event", "log_through_relays").Int("relays", len(r.relays)).Send()
	}
	r.directLost = true
}

// isLogAnswer reports whether err, which may be nil, is an answer of the log itself.
func isLogAnswer(err error) bool {
	if err == nil {
		return true
	}
	switch errkind.Of(err) {
	case errkind.Conflict, errkind.StaleEpoch, errkind.NotFound, errkind.BadInput:
		return true
	}
	return false
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
	return r.read(ctx, &logCall{Stream: s, Kind: "read", From: from, Wait: wait})
}

// newestWait is the time that the transfer of one page of newest entries may take beyond that of
// another call: 1 MB over a link of 10 Mbit/s.
const newestWait = time.Second

// Newest implements Log.
func (r *routedLog) Newest(ctx context.Context, s Stream, after string) (Page, error) {
	return r.read(ctx, &logCall{Stream: s, Kind: "newest", After: after, Wait: newestWait})
}

// makeCall makes a call to the log.
func makeCall(ctx context.Context, log Log, c *logCall) (Page, error) {
	switch c.Kind {
	case "append":
		return Page{}, log.Append(ctx, c.Stream, c.Entries, c.Fence)
	case "read":
		return log.Read(ctx, c.Stream, c.From, c.Wait)
	case "newest":
		return log.Newest(ctx, c.Stream, c.After)
	default:
		return Page{}, errkind.New(errkind.BadInput, "log_call", "unknown call %q", c.Kind)
	}
}

// serveLog relays a call to the log for another daemon.
func serveLog(ctx context.Context, direct Log, c *logCall) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+logTimeout)
	defer cancel()
	page, err := makeCall(ctx, direct, c)
	return &reply{Page: &page}, err
}
