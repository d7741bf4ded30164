package request

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// executor is what the owner of a group knows about one of its executors. The owner
// learns its state from hellos: requests that announce the owner's epoch and return
// the number of slots and of busy slots. The lock of the group guards the fields.
type executor struct {
	host    upstream.Host
	client  *machine.ExecutorClient
	slots   int
	leaving bool // the host list says that it will go away
	removed bool // no longer in the host list
	health  health

	inFlight map[*run]struct{} // sent and not ended
	// foreign counts slots that are busy with runs this owner does not track: those
	// of an earlier owner and those abandoned without an answer.
	foreign int
	// held counts slots that are kept free although no run is in flight on them: for
	// calls that are about to start, and after runs that failed sooner than usual.
	held int

	helloAnswered bool      // the executor has answered a hello with the epoch of this owner
	up            bool      // false after hellos failed for Config.SilentAfter or one was refused as stale
	foreignStale  bool      // foreign has to be computed anew from the next hello
	lastHello     time.Time // when the latest answered hello was sent
	missingSince  time.Time // since when hellos report fewer busy slots than runs in flight
	probing       bool      // a hello is in progress
}

// run is the run of one call in flight on an executor.
type run struct {
	exec    *executor
	started time.Time
	cancel  context.CancelCauseFunc
}

func newExecutor(h upstream.Host, maxConns int, maxAnswerBytes int64) *executor {
	return &executor{
		host: h,
		client: machine.NewExecutorClient(machine.ExecutorConfig{Address: h.Address, MaxConns: maxConns,
			MaxAnswerBytes: maxAnswerBytes}),
		slots:        h.Slots,
		foreignStale: true,
		inFlight:     make(map[*run]struct{}),
	}
}

// usable reports whether new work may go to x.
func (x *executor) usable() bool {
	return x.helloAnswered && x.up && !x.leaving && !x.removed && x.health.state != ejected
}

// freeShare returns the share of the slots that may take new work, 0 to 1.
func (x *executor) freeShare() float64 {
	slots := x.slots
	// An executor on trial counts as one with a single slot, so that it gets its
	// calls even while the others have more free slots.
	if x.health.state == trial {
		slots = min(slots, 1)
	}
	if !x.usable() || slots <= 0 {
		return 0
	}
	return float64(max(0, slots-len(x.inFlight)-x.foreign-x.held)) / float64(slots)
}

// busySlots returns the slots in use, without those that are held.
func (x *executor) busySlots() int { return min(x.slots, len(x.inFlight)+x.foreign) }

// applyHello updates x from the answer to a hello that was sent at the time sent. It
// returns the runs that are lost: those the executor has not known for the duration
// silence.
func (x *executor) applyHello(h machine.ExecutorHello, sent time.Time, silence time.Duration) []*run {
	x.helloAnswered, x.up, x.lastHello = true, true, sent
	x.slots = h.Slots
	// Runs in flight during the whole hello are known to be of this owner. The
	// executor may count others that started or ended meanwhile, which are taken as
	// foreign until the next hello, so that the slots are never exceeded.
	runningThroughout := make([]*run, 0, len(x.inFlight))
	for r := range x.inFlight {
		if r.started.Before(sent) {
			runningThroughout = append(runningThroughout, r)
		}
	}
	if x.foreignStale {
		x.foreign = max(0, h.Busy-len(runningThroughout))
		x.foreignStale = x.foreign > 0
	}
	// A run on a connection that went silent is either unknown to the executor or
	// has ended there, so that fewer slots are busy than runs are in flight.
	lost := len(runningThroughout) - h.Busy
	if lost <= 0 {
		x.missingSince = time.Time{}
		return nil
	}
	if x.missingSince.IsZero() {
		x.missingSince = sent
	}
	if sent.Sub(x.missingSince) < silence {
		return nil
	}
	// Hello does not tell which runs are lost; the oldest are the most likely.
	slices.SortFunc(runningThroughout, func(a, b *run) int { return a.started.Compare(b.started) })
	for lost > 0 && runningThroughout[lost-1].started.After(x.missingSince) {
		lost--
	}
	x.missingSince = time.Time{}
	return runningThroughout[:lost]
}
