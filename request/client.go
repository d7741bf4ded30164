package request

import (
	"context"
	"crypto/sha256"
	"regexp"
	"sync/atomic"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// frameStream is the receiving side of RunOnGroup and RecordAndRun.
type frameStream interface {
	Recv() (*rpc.RequestFrame, error)
	Close() error
}

// streamOpener starts RunOnGroup or RecordAndRun at another daemon.
type streamOpener func(rpc.DRPCRequestPathClient, context.Context, *rpc.RequestCall) (frameStream, error)

func openRunOnGroup(c rpc.DRPCRequestPathClient, ctx context.Context, in *rpc.RequestCall) (frameStream, error) {
	return c.RunOnGroup(ctx, in)
}

func openRecordAndRun(c rpc.DRPCRequestPathClient, ctx context.Context, in *rpc.RequestCall) (frameStream, error) {
	return c.RecordAndRun(ctx, in)
}

// callDaemon runs r through another daemon. That daemon sends a frame at least every
// Config.ProbeInterval, so that no frame for Config.SilentAfter means a silent link:
// one that carries nothing any more although it is open. The call then ends.
func (s *Service) callDaemon(ctx context.Context, daemon string, key contract.Key, e contract.Epoch, r *request,
	open streamOpener) reply {
	conn, err := s.cfg.Peers.Conn(ctx, daemon)
	if err != nil {
		return reply{err: errkind.Wrap(errkind.Unreachable, "no_connection", err)}
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline.Add(answerGrace))
	defer cancel()
	var linkSilent atomic.Bool
	silenceTimer := time.AfterFunc(s.cfg.SilentAfter, func() { linkSilent.Store(true); cancel() })
	defer silenceTimer.Stop()
	stream, err := open(rpc.NewDRPCRequestPathClient(conn), ctx, &rpc.RequestCall{
		Key: string(key), Epoch: uint64(e), Id: r.id.Bytes(), Customer: r.customer,
		Class: string(r.class), Weight: int32(r.weight), Body: r.body,
		BudgetUs: max(1, time.Until(r.deadline).Microseconds())})
	if err == nil {
		defer stream.Close()
		var rep reply
		if rep, err = s.receive(stream, r, silenceTimer); err == nil {
			return rep
		}
	}
	switch {
	case errkind.Of(err) == errkind.Unreachable || errkind.Of(err) == errkind.AnswerTooLarge:
		return reply{err: err}
	case linkSilent.Load():
		s.metrics.silentLinks.Inc()
		return reply{err: errkind.Wrap(errkind.OutcomeUnknown, "silent_link", err)}
	case time.Now().After(r.deadline):
		return reply{err: errkind.Wrap(errkind.OutcomeUnknown, "deadline_running", err), explicit: true}
	case ctx.Err() != nil:
		return reply{err: errkind.Wrap(errkind.Cancelled, "cancelled_running", err), explicit: true}
	}
	reason := "link_lost"
	if errkind.Of(err) == errkind.OutcomeUnknown {
		reason = errkind.ReasonOf(err)
	}
	return reply{err: errkind.Wrap(errkind.OutcomeUnknown, reason, err)}
}

// receive collects the frames of one answer, checks it against r and restarts
// silenceTimer at every frame.
func (s *Service) receive(stream frameStream, r *request, silenceTimer *time.Timer) (reply, error) {
	var body []byte
	for {
		f, err := stream.Recv()
		if err != nil {
			return reply{}, err
		}
		silenceTimer.Reset(s.cfg.SilentAfter)
		body = append(body, f.Body...)
		if len(body) > s.cfg.MaxAnswerBytes {
			return reply{}, errkind.New(errkind.AnswerTooLarge, "answer_too_large", "answer has more than %d bytes",
				s.cfg.MaxAnswerBytes)
		}
		if f.End != nil {
			return s.close(f.End, r, body)
		}
	}
}

// close turns the last frame and the collected body into a reply. It returns an
// error if the answer is for another id, is incomplete or is corrupt.
func (s *Service) close(end *rpc.RequestEnd, r *request, body []byte) (reply, error) {
	if end.Load != nil {
		s.loads.update(end.Load)
	}
	if string(end.Id) != string(r.id[:]) {
		s.metrics.droppedAnswers.WithLabelValues("crossed_answer").Inc()
		return reply{}, errkind.New(errkind.OutcomeUnknown, "crossed_answer", "received the answer for id %x", end.Id)
	}
	if f := end.Failure; f != nil {
		return reply{err: failureError(f), explicit: true, confirmedNotRun: f.Fresh}, nil
	}
	sum := sha256.Sum256(body)
	if int64(len(body)) != end.Length || string(sum[:]) != string(end.Digest) {
		s.metrics.droppedAnswers.WithLabelValues("partial_answer").Inc()
		return reply{}, errkind.New(errkind.OutcomeUnknown, "partial_answer", "received %d of %d bytes, or the digest differs",
			len(body), end.Length)
	}
	return reply{answer: Answer{ID: r.id.String(), Body: body, Waited: time.Duration(end.WaitedUs) * time.Microsecond},
		explicit: true}, nil
}

// reasonPattern limits reasons from other daemons, because they become metric labels.
var reasonPattern = regexp.MustCompile(`^[a-z0-9_]{1,40}$`)

// failureError turns a failure from another daemon into an error. A kind that this
// version does not know becomes OutcomeUnknown.
func failureError(f *rpc.RequestFailure) error {
	kind, reason := errkind.Kind(f.Kind), f.Reason
	if _, ok := errkind.Table[kind]; !ok {
		kind = errkind.OutcomeUnknown
	}
	if !reasonPattern.MatchString(reason) {
		reason = "unclassified"
	}
	return errkind.New(kind, reason, "%.200s", f.Detail)
}
