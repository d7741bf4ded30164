package daemon

import (
	"errors"
	"fmt"
	"strings"

	"github.com/danielgtaylor/huma/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// apiError is the body of every answer with an error status. See docs/errors.md.
type apiError struct {
	Status    int             `json:"status" doc:"HTTP status code"`
	Kind      errkind.Kind    `json:"kind" doc:"one of the closed list of error kinds"`
	Reason    string          `json:"reason" doc:"stable, finer label; also the label of the metric"`
	Outcome   errkind.Outcome `json:"outcome" doc:"whether the work ran: not_run, ran or unknown"`
	Retry     errkind.Retry   `json:"retry" doc:"how a caller may retry: never, with_backoff or same_request_id"`
	Detail    string          `json:"detail"`
	RequestID string          `json:"request_id,omitempty" doc:"id to repeat the request with"`
}

// Error implements error.
func (e *apiError) Error() string { return fmt.Sprintf("%s (%s): %s", e.Kind, e.Reason, e.Detail) }

// GetStatus implements huma.StatusError.
func (e *apiError) GetStatus() int { return e.Status }

// toAPIError converts err to an apiError with the status, outcome and retry rule that
// errkind.Table has for its kind. It returns nil for nil.
func toAPIError(err error) error {
	if err == nil {
		return nil
	}
	a := errkind.ResponseOf(err)
	detail := err.Error()
	var typed *errkind.Error
	if errors.As(err, &typed) {
		detail = typed.Detail
	}
	return &apiError{
		Status: a.Status, Kind: errkind.Of(err), Reason: errkind.ReasonOf(err),
		Outcome: a.Outcome, Retry: a.Retry, Detail: detail,
	}
}

// toAPIErrorWithID is toAPIError with the id of the job, change or request, which a repeat
// must carry. It returns nil for a nil err.
func toAPIErrorWithID(err error, id string) error {
	if e, ok := toAPIError(err).(*apiError); ok {
		e.RequestID = id
		return e
	}
	return nil
}

// humaError replaces huma.NewError: it converts the errors that huma itself reports, such as
// a request that fails validation, to an apiError. message and errs become the detail.
func humaError(status int, message string, errs ...error) huma.StatusError {
	kind, reason := errkind.BadInput, "request_invalid"
	switch {
	case status == 404:
		kind, reason = errkind.NotFound, "no_such_path"
	case status >= 500:
		kind, reason = errkind.InternalFailure, "handler_failed"
	}
	details := []string{message}
	for _, e := range errs {
		if e != nil {
			details = append(details, e.Error())
		}
	}
	a := errkind.Table[kind]
	return &apiError{
		Status: a.Status, Kind: kind, Reason: reason, Outcome: a.Outcome, Retry: a.Retry,
		Detail: strings.Join(details, "; "),
	}
}
