// Package request routes requests to executors. Every daemon runs one Service,
// which has three roles:
//   - the entry accepts calls, applies the limits of customers and chooses an
//     executor group;
//   - the owner of an executor group queues calls and is the only daemon that
//     sends runs to the executors of the group;
//   - the recorder of an id shard runs each id of a non-repeatable request at
//     most once and remembers its answer for repeats.
package request

import (
	"crypto/sha256"
	"hash/fnv"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
)

// Class is the class of a request. It decides whether a request may be repeated.
type Class string

// The request classes.
const (
	Valuation      Class = "valuation"
	Reconciliation Class = "reconciliation"
	Batch          Class = "batch"
	Quote          Class = "quote"
	Nudge          Class = "nudge"
)

var repeatable = map[Class]bool{Valuation: true, Reconciliation: true, Batch: true, Quote: false, Nudge: false}

// Repeatable reports whether a request of class c may run more than once.
func (c Class) Repeatable() bool { return repeatable[c] }

// Valid reports whether c is a known class.
func (c Class) Valid() bool {
	_, ok := repeatable[c]
	return ok
}

// Call is a request as the caller gives it, before validation. Do refuses an invalid one
// with kind BadInput, and a passed deadline with DeadlineUnmet.
type Call struct {
	Customer string // 1 to 128 bytes
	Class    Class
	ID       string    // ULID; if empty, the entry mints one
	Deadline time.Time // zero means Config.DefaultDeadline from now; at most Config.MaxDeadline from now counts
	Body     []byte    // at most Config.MaxBodyBytes
}

// Answer is the complete answer of an executor.
type Answer struct {
	ID     string
	Body   []byte
	Waited time.Duration // time in the queue of the executor group
}

// Grants tells which daemon may run ids of which mint times. The mint time of an
// id is the time in its ULID, in milliseconds of Unix time. Each id shard is
// granted to its owner in half-open ranges [from, to) of mint times.
type Grants interface {
	// Range returns this daemon's own range for a shard that it holds.
	Range(shard contract.Key) (from, to int64, e contract.Epoch, ok bool)
	// Granted returns the epoch and the daemon that mint time ms was granted to;
	// ok is false if it was granted to none.
	Granted(shard contract.Key, ms int64) (e contract.Epoch, daemon string, ok bool)
	// LastGrantEnd returns the end of the last grant of the shard.
	LastGrantEnd(shard contract.Key) int64
	// Predecessor returns the epoch of the owner that released the shard to this
	// daemon, and this daemon's own epoch; ok is false if it does not hold the shard
	// or claimed it without a release.
	Predecessor(shard contract.Key) (predecessor, own contract.Epoch, ok bool)
}

// request is a validated call. Its id is zero until one is minted.
type request struct {
	id       ulid.ULID
	customer string
	class    Class
	weight   int // share of the customer in queues, relative to other customers
	deadline time.Time
	body     []byte
}

// contentHash returns a hash of customer, class and body, by which a repeat of an
// id is told from another request under the same id.
func (r *request) contentHash() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{r.customer, string(r.class)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// reply is the result of one attempt: an answer, or an error.
type reply struct {
	answer Answer
	err    error
	// explicit is false if the link to another daemon failed: there was no connection,
	// it broke or went silent, or what arrived was unusable. err then comes from this
	// side and not from the daemon that was called.
	explicit bool
	// confirmedNotRun is set by the recorder of the id if no call with the id has run
	// and this call will not run either. On the wire it is RequestFailure.Fresh.
	confirmedNotRun bool
}

// failed returns the reply of a call that this daemon refuses or ends itself.
func failed(err error) reply { return reply{err: err, explicit: true} }

// outcome returns what is known about whether the request ran.
func (r reply) outcome() errkind.Outcome {
	if r.err == nil {
		return errkind.Ran
	}
	return errkind.ResponseOf(r.err).Outcome
}

// Shard returns the shard of id among n shards, 0 to n-1; n must be positive. It depends
// only on the random part of the id, not on its mint time.
func Shard(id ulid.ULID, n int) int {
	h := fnv.New64a()
	h.Write(id.Entropy())
	return int(h.Sum64() % uint64(n))
}

// parse validates c. All errors are of kind BadInput or DeadlineUnmet.
func (s *Service) parse(c Call, now time.Time) (*request, error) {
	r := &request{customer: c.Customer, class: c.Class, deadline: c.Deadline, body: c.Body}
	if c.ID != "" {
		id, err := ulid.ParseStrict(c.ID)
		if err != nil {
			return nil, errkind.Wrap(errkind.BadInput, "bad_id", err)
		}
		r.id = id
	}
	if r.deadline.IsZero() {
		r.deadline = now.Add(s.cfg.DefaultDeadline)
	}
	if limit := now.Add(s.cfg.MaxDeadline); r.deadline.After(limit) {
		r.deadline = limit
	}
	if !r.deadline.After(now) {
		return nil, errkind.New(errkind.DeadlineUnmet, "deadline_passed", "deadline %s has passed", c.Deadline)
	}
	return r, s.validate(r, now)
}

// validate applies the rules that hold for calls from callers as well as from other daemons.
func (s *Service) validate(r *request, now time.Time) error {
	switch {
	case !r.class.Valid():
		return errkind.New(errkind.BadInput, "unknown_class", "unknown class %.40q", string(r.class))
	case r.customer == "" || len(r.customer) > 128:
		return errkind.New(errkind.BadInput, "bad_customer", "customer name of %d bytes, want 1 to 128", len(r.customer))
	case len(r.body) > s.cfg.MaxBodyBytes:
		return errkind.New(errkind.BadInput, "body_too_large", "body of %d bytes, at most %d are allowed",
			len(r.body), s.cfg.MaxBodyBytes)
	case int64(r.id.Time()) > now.Add(time.Hour).UnixMilli():
		return errkind.New(errkind.BadInput, "id_in_future", "mint time %d ms is more than an hour ahead", r.id.Time())
	}
	return nil
}
