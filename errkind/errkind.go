// Package errkind holds the closed list of error kinds and the table that maps
// each kind to its response: the HTTP status, whether the work ran, and whether
// the caller may retry.
package errkind

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Kind classifies an error. The set is closed: every Kind has a row in Table.
// The values leave the process in error bodies and metric labels.
type Kind string

// The error kinds.
const (
	BadInput        Kind = "bad_input"           // the request is malformed or too large
	Unauthorized    Kind = "unauthorized"        // the call carries no key, or one that is not known
	NotFound        Kind = "not_found"           // the named object does not exist
	Conflict        Kind = "conflict"            // contradicts what is already recorded
	QuotaExceeded   Kind = "quota_exceeded"      // over a team's quota
	RateLimited     Kind = "rate_limited"        // over a customer's rate or concurrency limit
	Overloaded      Kind = "overloaded"          // a queue or a table of this service is full
	DeadlineUnmet   Kind = "deadline_unmeetable" // the deadline passed, or would pass, before the work starts
	NotReady        Kind = "not_ready"           // something needed to serve the request is still missing
	NotOwner        Kind = "not_owner"           // the receiver does not own the key
	StaleEpoch      Kind = "stale_epoch"         // the receiver has seen a newer epoch than that of the call
	LogUnavailable  Kind = "log_unavailable"     // the log cannot be reached; nothing was appended
	AppendUnknown   Kind = "append_unknown"      // an append was sent and its result did not arrive
	Impossible      Kind = "impossible"          // the cell could never satisfy the request, however long it waits
	NoCapacity      Kind = "no_capacity"         // no capacity is free at present
	Draining        Kind = "draining"            // the receiver is shutting down and takes no new work
	UpstreamFailed  Kind = "upstream_failed"     // the called service ran the request and failed
	OutcomeUnknown  Kind = "outcome_unknown"     // the work may have run; its result did not arrive
	AnswerTooLarge  Kind = "answer_too_large"    // the work ran; its answer exceeds the size limit
	Cancelled       Kind = "cancelled"           // the caller went away
	Unreachable     Kind = "unreachable"         // no connection; nothing was sent
	InternalFailure Kind = "internal"            // a fault of this service, or an error without a kind
)

// Outcome says whether the requested work ran, as far as that is known.
type Outcome string

// The outcomes. NotRun is a guarantee: any doubt makes the outcome Unknown.
const (
	NotRun  Outcome = "not_run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Retry says how a caller may retry after an error.
type Retry string

// The retry rules.
const (
	RetryNever   Retry = "never"           // the same input fails again
	RetryBackoff Retry = "with_backoff"    // safe, because nothing ran
	RetrySameID  Retry = "same_request_id" // safe only with the same request id
)

// Response says how an error of a Kind is reported to a caller.
type Response struct {
	Status  int // HTTP status code
	Outcome Outcome
	Retry   Retry
}

// Table maps every Kind to its Response. docs/errors.md shows the same rows to callers.
var Table = map[Kind]Response{
	BadInput:        {400, NotRun, RetryNever},
	Unauthorized:    {401, NotRun, RetryNever},
	NotFound:        {404, NotRun, RetryNever},
	Conflict:        {409, NotRun, RetryNever},
	QuotaExceeded:   {429, NotRun, RetryBackoff},
	RateLimited:     {429, NotRun, RetryBackoff},
	Overloaded:      {503, NotRun, RetryBackoff},
	DeadlineUnmet:   {504, NotRun, RetryBackoff},
	NotReady:        {503, NotRun, RetryBackoff},
	NotOwner:        {503, NotRun, RetryBackoff},
	StaleEpoch:      {503, NotRun, RetryBackoff},
	LogUnavailable:  {503, NotRun, RetryBackoff},
	AppendUnknown:   {504, Unknown, RetrySameID},
	Impossible:      {422, NotRun, RetryNever},
	NoCapacity:      {503, NotRun, RetryBackoff},
	Draining:        {503, NotRun, RetryBackoff},
	UpstreamFailed:  {502, Ran, RetryNever},
	OutcomeUnknown:  {504, Unknown, RetrySameID},
	AnswerTooLarge:  {502, Ran, RetryNever},
	Cancelled:       {499, Unknown, RetrySameID},
	Unreachable:     {503, NotRun, RetryBackoff},
	InternalFailure: {500, Unknown, RetrySameID},
}

// Error is an error with a kind and a short, stable reason that is used as a metric label.
type Error struct {
	Kind   Kind
	Reason string // lower_snake_case, from a fixed set in the code that creates it
	Detail string // free text for people
	Err    error  // wrapped error; may be nil
	// Wait is the expected time until the request could be served, 0 if not known.
	Wait time.Duration
}

// New returns an Error of the kind with the reason and a formatted detail.
func New(k Kind, reason, format string, args ...any) *Error {
	return &Error{Kind: k, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of the kind around err, or nil if err is nil. The kind and the reason
// take the place of those that err has already.
func Wrap(k Kind, reason string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, Reason: reason, Detail: err.Error(), Err: err}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Reason, e.Detail)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the kind of err: that of the first Error in its chain, else InternalFailure, also
// if err is nil.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return InternalFailure
}

// ReasonOf returns the reason of the first Error in the chain of err, else "unclassified".
func ReasonOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return "unclassified"
}

// WaitOf returns the expected time until the request could be served of the first Error in the chain
// of err, 0 if it is not known.
func WaitOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.Wait
	}
	return 0
}

// ResponseOf returns the row of Table for the kind of err.
func ResponseOf(err error) Response { return Table[Of(err)] }
