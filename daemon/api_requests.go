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

// requestInput is a caller's request.
type requestInput struct {
	Class      string `path:"class" enum:"valuation,reconciliation,batch,quote,nudge" doc:"request class; quote and nudge run at most once"`
	Customer   string `header:"Sassafras-Customer" required:"true" minLength:"1" maxLength:"128"`
	ID         string `header:"Sassafras-Request-Id" doc:"ULID; a repeat of a non-repeatable request must carry the same id; minted if empty"`
	DeadlineMS int64  `header:"Sassafras-Deadline-Ms" minimum:"0" maximum:"3600000" doc:"milliseconds until the answer is useless; 0 is the default of the daemon"`
	RawBody    []byte `contentType:"application/octet-stream"`
}

// requestOutput is the whole answer of the executor.
type requestOutput struct {
	ID          string `header:"Sassafras-Request-Id"`
	WaitedUS    int64  `header:"Sassafras-Waited-Us" doc:"microseconds before the request started"`
	ContentType string `header:"Content-Type"`
	Body        []byte
}

func (d *Daemon) routeRequests(api huma.API) {
	op := operation("run-request", http.MethodPost, "/v1/requests/{class}", "Run a request on an executor and return its whole answer")
	op.MaxBodyBytes = d.set.Requests.MaxBodyBytes + 1
	huma.Register(api, op, d.runRequest)
}

// refuseUnready refuses calls while no configuration is in force, because every
// customer would be unknown. An earlier call with the same id may have run.
func (d *Daemon) refuseUnready(c request.Call) error {
	err := do.MustInvoke[*config.Store](d.injector).Ready()
	if err != nil && c.ID != "" && !c.Class.Repeatable() {
		return errkind.New(errkind.OutcomeUnknown, "not_ready", "not run by this call: %s", err)
	}
	return err
}

func (d *Daemon) runRequest(ctx context.Context, in *requestInput) (*requestOutput, error) {
	call := request.Call{Customer: in.Customer, Class: request.Class(in.Class), ID: in.ID, Body: in.RawBody}
	if in.DeadlineMS > 0 {
		call.Deadline = time.Now().Add(time.Duration(in.DeadlineMS) * time.Millisecond)
	}
	if err := d.refuseUnready(call); err != nil {
		return nil, answerFor(err, in.ID)
	}
	a, err := do.MustInvoke[*request.Service](d.injector).Do(ctx, call)
	if err != nil {
		id := in.ID
		if a.ID != "" {
			id = a.ID
		}
		return nil, answerFor(err, id)
	}
	return &requestOutput{
		ID: a.ID, WaitedUS: a.Waited.Microseconds(), ContentType: "application/octet-stream", Body: a.Body,
	}, nil
}
