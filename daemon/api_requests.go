package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/request"
)

// requestInput holds the parameters and the body of POST /v1/requests/{class}. RawBody goes to
// the executor unchanged.
type requestInput struct {
	Class      string `path:"class" enum:"valuation,reconciliation,batch,quote,nudge" doc:"request class; quote and nudge run at most once"`
	Customer   string `header:"Sassafras-Customer" required:"true" minLength:"1" maxLength:"128"`
	ID         string `header:"Sassafras-Request-Id" doc:"ULID; a repeat of a non-repeatable request must carry the same id; minted if empty"`
	DeadlineMS int64  `header:"Sassafras-Deadline-Ms" minimum:"0" maximum:"3600000" doc:"milliseconds until the answer is useless; 0 is the default of the daemon"`
	RawBody    []byte `contentType:"application/octet-stream"`
}

// requestOutput is the answer of the executor, which is sent on only once it is complete.
type requestOutput struct {
	ID          string `header:"Sassafras-Request-Id"`
	WaitedUS    int64  `header:"Sassafras-Waited-Us" doc:"microseconds before the request started"`
	ContentType string `header:"Content-Type"`
	Body        []byte
}

// routeRequests registers the operation that runs a request.
func (d *Daemon) routeRequests(api huma.API) {
	op := operation("run-request", http.MethodPost, "/v1/requests/{class}", "Run a request on an executor and return its whole answer")
	op.MaxBodyBytes = d.settings.Requests.MaxBodyBytes + 1 // huma refuses a body of exactly op.MaxBodyBytes
	huma.Register(api, op, d.runRequest)
}

// checkConfigReady returns an error while no configuration is in force, since every
// customer would be unknown. For a request that must not be repeated and that comes with an
// id, the outcome in the error is unknown: an earlier call with the same id may have run.
func (d *Daemon) checkConfigReady(c request.Call) error {
	err := do.MustInvoke[*config.Store](d.injector).Ready()
	if err != nil && c.ID != "" && !c.Class.Repeatable() {
		return errkind.New(errkind.OutcomeUnknown, "not_ready", "not run by this call: %s", err)
	}
	return err
}

// runRequest runs a request. Errors carry the id of the request, also a generated one.
func (d *Daemon) runRequest(ctx context.Context, in *requestInput) (*requestOutput, error) {
	call := request.Call{Customer: in.Customer, Class: request.Class(in.Class), ID: in.ID, Body: in.RawBody}
	if in.DeadlineMS > 0 {
		call.Deadline = time.Now().Add(time.Duration(in.DeadlineMS) * time.Millisecond)
	}
	if err := d.checkConfigReady(call); err != nil {
		return nil, toAPIErrorWithID(err, in.ID)
	}
	answer, err := do.MustInvoke[*request.Service](d.injector).Do(ctx, call)
	if err != nil {
		id := in.ID
		if answer.ID != "" {
			id = answer.ID
		}
		return nil, toAPIErrorWithID(err, id)
	}
	return &requestOutput{
		ID: answer.ID, WaitedUS: answer.Waited.Microseconds(), ContentType: "application/octet-stream", Body: answer.Body,
	}, nil
}
