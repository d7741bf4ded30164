// Package request routes requests to executors. Every daemon runs one Service,
// which is the entry for callers, the recorder of the id shards it holds, and
// the owner of the executor groups it holds.
package request

import (
	"crypto/sha256"
	"hash/fnv"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
)

// Class is the class of a request.
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

// Call is a request as the caller gives it.
type Call struct {
	Customer string
	Class    Class
	ID       string    // ULID; empty lets the entry mint one
	Deadline time.Time // zero means Config.DefaultDeadline from now
	Body     []byte
}

// Answer is the whole answer of an executor.
type Answer struct {
	ID     string
	Body   []byte
	Waited time.Duration // time in the queue of the executor group
}

// Grants gives the granted ranges of mint times of the id shards, in
// milliseconds of Unix time.
type Grants interface {
	// Range returns this daemon's own range for a shard that it holds.
	Range(shard contract.Key) (from, to int64, e contract.Epoch, ok bool)
	// Granted returns the epoch and the daemon that mint time ms was granted to.
	Granted(shard contract.Key, ms int64) (e contract.Epoch, daemon string, ok bool)
	// LastGrantEnd returns the end of the last grant.
	LastGrantEnd(shard contract.Key) int64
	// Predecessor returns the epoch at which the shard was released to this daemon,
	// and this daemon's own epoch; ok is false if it does not hold the shard or
	// claimed it.
	Predecessor(shard contract.Key) (predecessor, own contract.Epoch, ok bool)
}

// request is a validated call.
type request struct {
	id       ulid.ULID
	customer string
	class    Class
	weight   int
	deadline time.Time
	body     []byte
}

// content identifies what is asked for under an id.
func (r *request) content() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{r.customer, string(r.class)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.body)
	return [sha256.Size]byte(h.Sum(nil))
}

// reply is the result of one attempt.
type reply struct {
	answer Answer
	err    error
	// explicit is false if the other daemon's own verdict did not arrive.
	explicit bool
	// fresh is set by a recorder that has never run the id and never will.
	fresh bool
}

func failed(err error) reply { return reply{err: err, explicit: true} }

func (r reply) outcome() errkind.Outcome {
	if r.err == nil {
		return errkind.Ran
	}
	return errkind.AnswerOf(r.err).Outcome
}

// Shard returns the number of the shard of id among n, from its random part.
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
		return nil, errkind.New(errkind.DeadlineUnmet, "deadline_passed", "deadline %s", c.Deadline)
	}
	return r, s.check(r, now)
}

// check applies the rules that hold for calls from callers and from daemons.
func (s *Service) check(r *request, now time.Time) error {
	switch {
	case !r.class.Valid():
		return errkind.New(errkind.BadInput, "unknown_class", "class %.40q", string(r.class))
	case r.customer == "" || len(r.customer) > 128:
		return errkind.New(errkind.BadInput, "bad_customer", "customer name of %d bytes", len(r.customer))
	case len(r.body) > s.cfg.MaxBodyBytes:
		return errkind.New(errkind.BadInput, "body_too_large", "%d bytes, at most %d", len(r.body), s.cfg.MaxBodyBytes)
	case int64(r.id.Time()) > now.Add(time.Hour).UnixMilli():
		return errkind.New(errkind.BadInput, "id_in_future", "mint time %d", r.id.Time())
	}
	return nil
}
