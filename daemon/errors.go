package daemon

import (
	"errors"
	"fmt"
	"strings"

	"github.com/danielgtaylor/huma/v2"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// apiError is the body of every refusal and failure. See docs/errors.md.
type apiError struct {
	Status  int             `json:"status" doc:"HTTP status code"`
	Kind    errkind.Kind    `json:"kind" doc:"one of the closed list of error kinds"`
	Reason  string          `json:"reason" doc:"stable, finer label; also the label of the metric"`
	Outcome errkind.Outcome `json:"outcome" doc:"whether the work ran: not_run, ran or unknown"`
	Retry   errkind.Retry   `json:"retry" doc:"how a caller may retry: never, with_backoff or same_request_id"`
	Detail  string          `json:"detail"`
	Request string          `json:"request_id,omitempty" doc:"id to repeat the request with"`
}

// Error implements error.
func (e *apiError) Error() string { return fmt.Sprintf("%s (%s): %s", e.Kind, e.Reason, e.Detail) }

// GetStatus implements huma.StatusError.
func (e *apiError) GetStatus() int { return e.Status }

// answer turns err into the body that its kind has in the table.
func answer(err error) error {
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

// answerFor is answer with the id that a repeat of the request must carry.
func answerFor(err error, id string) error {
	if e, ok := answer(err).(*apiError); ok {
		e.Request = id
		return e
	}
	return nil
}

// validationError gives the faults that huma finds in a request the same form
// as all other errors.
func validationError(status int, message string, errs ...error) huma.StatusError {
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
