package request

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// maxFrameBodyBytes is the largest part of a body in one frame; drpc refuses messages
// above 4 MiB.
const maxFrameBodyBytes = 512 << 10

// server implements the drpc service rpc.RequestPath, which other daemons call.
type server struct{ s *Service }

// frameSender is the sending side of RunOnGroup and RecordAndRun.
type frameSender interface {
	Context() context.Context
	Send(*rpc.RequestFrame) error
}

// RunOnGroup runs a request on an executor group that this daemon owns.
func (v server) RunOnGroup(in *rpc.RequestCall, out rpc.DRPCRequestPath_RunOnGroupStream) error {
	return v.serve(in, out, contract.Exec, v.s.groups.run)
}

// RecordAndRun runs a request through the recorder of this daemon.
func (v server) RecordAndRun(in *rpc.RequestCall, out rpc.DRPCRequestPath_RecordAndRunStream) error {
	return v.serve(in, out, contract.IDs, v.s.recorder.run)
}

// ReportLoad stores the loads of the groups that another daemon owns.
func (v server) ReportLoad(_ context.Context, in *rpc.GroupLoadReport) (*rpc.GroupLoadAck, error) {
	v.s.loads.update(in.GetLoads()...)
	return &rpc.GroupLoadAck{}, nil
}

// serve runs the call and sends the reply. Until then it sends an empty frame every
// Config.ProbeInterval, so that the other side can tell a long run from a silent link.
func (v server) serve(in *rpc.RequestCall, out frameSender, kind contract.KeyKind,
	run func(context.Context, contract.Key, *request) reply) error {
	r, err := v.parse(in, kind)
	if err != nil {
		return v.sendReply(in, out, failed(err))
	}
	if !v.s.gate.enter() {
		return v.sendReply(in, out, failed(errkind.New(errkind.Draining, "daemon_draining", "daemon %s is draining", v.s.self)))
	}
	defer v.s.gate.leave()
	done := make(chan reply, 1)
	go func() { done <- run(out.Context(), contract.Key(in.Key), r) }()
	t := time.NewTicker(v.s.cfg.ProbeInterval)
	defer t.Stop()
	for {
		select {
		case rep := <-done:
			return v.sendReply(in, out, rep)
		case <-t.C:
			if err := out.Send(&rpc.RequestFrame{}); err != nil {
				<-done // ends soon, because the context of the stream has ended
				return err
			}
		}
	}
}

// parse validates a call from another daemon for a key of the given kind.
func (v server) parse(in *rpc.RequestCall, kind contract.KeyKind) (*request, error) {
	now := time.Now()
	r := &request{customer: in.Customer, class: Class(in.Class), weight: int(in.Weight), body: in.Body}
	if len(in.Id) != len(ulid.ULID{}) {
		return nil, errkind.New(errkind.BadInput, "bad_id", "id of %d bytes", len(in.Id))
	}
	r.id = ulid.ULID(in.Id)
	if contract.Key(in.Key).Kind() != kind {
		return nil, errkind.New(errkind.BadInput, "bad_key", "key %.80q is of the wrong kind", in.Key)
	}
	if in.BudgetUs <= 0 {
		return nil, errkind.New(errkind.DeadlineUnmet, "deadline_passed", "no time left, the budget is %d us", in.BudgetUs)
	}
	r.deadline = now.Add(min(v.s.cfg.MaxDeadline, time.Duration(min(in.BudgetUs, v.s.cfg.MaxDeadline.Microseconds()))*time.Microsecond))
	return r, v.s.validate(r, now)
}

// sendReply sends the answer in parts, or the error, followed by the end of the
// stream. If this daemon owns the group of the call, the end carries its load.
func (v server) sendReply(in *rpc.RequestCall, out frameSender, rep reply) error {
	end := &rpc.RequestEnd{Id: in.Id, WaitedUs: rep.answer.Waited.Microseconds()}
	if g := v.s.groups.get(contract.Key(in.Key)); g != nil {
		end.Load = g.loadSummary()
	}
	if rep.err != nil {
		end.Failure = &rpc.RequestFailure{Kind: string(errkind.Of(rep.err)), Reason: errkind.ReasonOf(rep.err),
			Detail: rep.err.Error(), Fresh: rep.confirmedNotRun}
		return out.Send(&rpc.RequestFrame{End: end})
	}
	body := rep.answer.Body
	sum := sha256.Sum256(body)
	end.Length, end.Digest = int64(len(body)), sum[:]
	for len(body) > maxFrameBodyBytes {
		if err := out.Send(&rpc.RequestFrame{Body: body[:maxFrameBodyBytes]}); err != nil {
			return err
		}
		body = body[maxFrameBodyBytes:]
	}
	return out.Send(&rpc.RequestFrame{Body: body, End: end})
}
