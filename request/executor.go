package request

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// executor is the owner's view of one executor. The lock of its group guards it.
type executor struct {
	host    upstream.Host
	client  *machine.ExecutorClient
	slots   int
	leaving bool
	removed bool // no longer in the host list
	health  health

	calls map[*run]struct{} // sent and not settled
	// foreign counts slots that are busy with runs this owner does not follow:
	// those of an earlier owner and those given up without an answer.
	foreign int
	// held counts slots kept free after failures that came sooner than an answer.
	held int

	known     bool // a hello of this epoch was answered
	up        bool
	uncertain bool // foreign has to be learned again
	lastHello time.Time
	missing   time.Time // since when hellos report fewer busy slots than calls in flight
	probing   bool
}

// run is one call in flight on an executor.
type run struct {
	exec    *executor
	started time.Time
	cancel  context.CancelCauseFunc
}

func newExecutor(h upstream.Host, conns int, maxAnswer int64) *executor {
	return &executor{
		host:      h,
		client:    machine.NewExecutorClient(machine.ExecutorConfig{Address: h.Address, MaxConns: conns, MaxAnswerBytes: maxAnswer}),
		slots:     h.Slots,
		uncertain: true,
		calls:     make(map[*run]struct{}),
	}
}

// usable reports whether new work may go to x.
func (x *executor) usable() bool {
	return x.known && x.up && !x.leaving && !x.removed && x.health.state != ejected
}

// free returns the share of slots that may take new work.
func (x *executor) free() float64 {
	slots := x.slots
	// An executor on trial counts as one with a single slot, so that it gets its
	// calls even while the others have more free slots.
	if x.health.state == trial {
		slots = min(slots, 1)
	}
	if !x.usable() || slots <= 0 {
		return 0
	}
	return float64(max(0, slots-len(x.calls)-x.foreign-x.held)) / float64(slots)
}

func (x *executor) inUse() int { return min(x.slots, len(x.calls)+x.foreign) }

// learn takes in the answer to a hello that was sent at sent. It returns the
// calls that the executor has not known for the time silence.
func (x *executor) learn(h machine.ExecutorHello, sent time.Time, silence time.Duration) []*run {
	x.known, x.up, x.lastHello = true, true, sent
	x.slots = h.Slots
	// Calls in flight during the whole hello are certainly ours; the executor may
	// count others that started or ended meanwhile, which are taken as foreign
	// until the next hello, so that the slots are never exceeded.
	steady := make([]*run, 0, len(x.calls))
	for r := range x.calls {
		if r.started.Before(sent) {
			steady = append(steady, r)
		}
	}
	if x.uncertain {
		x.foreign = max(0, h.Busy-len(steady))
		x.uncertain = x.foreign > 0
	}
	// A call on a connection that went silent is either unknown to the executor or
	// has ended there, so fewer slots are busy than calls are in flight.
	lost := len(steady) - h.Busy
	if lost <= 0 {
		x.missing = time.Time{}
		return nil
	}
	if x.missing.IsZero() {
		x.missing = sent
	}
	if sent.Sub(x.missing) < silence {
		return nil
	}
	// Which of the calls is lost cannot be told; the oldest are the most likely.
	slices.SortFunc(steady, func(a, b *run) int { return a.started.Compare(b.started) })
	for lost > 0 && steady[lost-1].started.After(x.missing) {
		lost--
	}
	x.missing = time.Time{}
	return steady[:lost]
}
