package request

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/rpc"
)

// maxHandoverAnswerBytes is the size of the largest answer that is handed over. drpc
// refuses messages above 4 MiB, and an answer shares its part with up to
// maxFrameBodyBytes of other answers.
const maxHandoverAnswerBytes = 3 << 20

// closedRange forbids this recorder, at one epoch, to run ids of a shard that were
// minted before cutMS.
type closedRange struct {
	epoch contract.Epoch
	cutMS int64
}

// covers reports whether the range forbids ids of mint time ms at epoch e.
func (c closedRange) covers(e contract.Epoch, ms int64) bool { return c.epoch == e && ms < c.cutMS }

// inheritedRange is the range of mint times [fromMS, cutMS) whose ids the recorder at
// epoch handed over. It is valid only for the owner to which the shard was released
// from that epoch.
type inheritedRange struct {
	epoch         contract.Epoch
	fromMS, cutMS int64
}

// inherits reports whether this daemon, at its epoch ownEpoch, has the records of all ids
// of mint time ms from its predecessor. The log names one successor per release, so
// that no other daemon can run these ids, even if a message is late or repeated.
func (c *recorder) inherits(key contract.Key, ownEpoch contract.Epoch, ms int64) bool {
	h, ok := c.inherited[key]
	if !ok || ms < h.fromMS || ms >= h.cutMS {
		return false
	}
	predecessor, e, ok := c.s.cfg.Grants.Predecessor(key)
	return ok && e == ownEpoch && predecessor == h.epoch
}

// handoverContent is what a recorder hands over of one shard.
type handoverContent struct {
	shard   contract.Key
	epoch   contract.Epoch
	fromMS  int64
	cutMS   int64
	ids     []*rpc.RecordedID // complete for the mint times [fromMS, cutMS)
	homes   []*rpc.HomeChange // home changes that this recorder has seen
	running []runningCall     // their results follow later
}

// runningCall is a call that was running when its shard was handed over.
type runningCall struct {
	id   ulid.ULID
	rec  *record
	done chan struct{} // rec.done at the time of the handover
}

// close closes the range of a shard permanently and returns the records of the
// shard for the successor, or nil if the shard had no range.
func (c *recorder) close(r contract.Release) *handoverContent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.CutMS == 0 {
		return nil
	}
	c.closedRanges[r.Shard] = closedRange{r.Epoch, r.CutMS}
	content := &handoverContent{shard: r.Shard, epoch: r.Epoch, fromMS: r.FromMS, cutMS: r.CutMS}
	if h, ok := c.inherited[r.Shard]; ok && r.PredecessorEpoch != 0 && h.epoch == r.PredecessorEpoch && h.cutMS >= r.FromMS {
		content.fromMS = min(content.fromMS, h.fromMS)
	}
	content.fromMS = max(content.fromMS, c.evictedBeforeMS)
	for name, h := range c.homes {
		if h.changedMS != 0 {
			content.homes = append(content.homes, &rpc.HomeChange{Customer: name, SinceMs: h.changedMS})
		}
	}
	for _, records := range c.buckets {
		for id, rec := range records {
			if contract.IDsKey(c.s.cfg.Peers.Self().Region, Shard(id, c.s.cfg.Shards)) != r.Shard {
				continue
			}
			out := c.exportRecord(id, rec)
			content.ids = append(content.ids, out)
			if out.Running {
				content.running = append(content.running, runningCall{id, rec, rec.done})
			} else if rec.rep.outcome() == errkind.NotRun && !rec.runsAtPredecessor {
				// The successor may run the id, so that this daemon must no longer say "not run".
				delete(records, id)
				c.count--
			}
		}
	}
	return content
}

// exportRecord returns a record in the form in which it is handed over. If a
// predecessor still runs the id, its result will come to this daemon only, so that
// the record for the successor says that the outcome is unknown. c.mu must be held.
func (c *recorder) exportRecord(id ulid.ULID, rec *record) *rpc.RecordedID {
	out := &rpc.RecordedID{Id: id.Bytes(), Content: rec.contentHash[:]}
	rep := rec.rep
	select {
	case <-rec.done:
	default:
		if !rec.runsAtPredecessor {
			out.Running = true
			return out
		}
		rep = failed(errkind.New(errkind.OutcomeUnknown, "run_handed_over_twice",
			"the run of id %s had not ended when its shard was handed over again", id))
	}
	out.Body, out.WaitedUs = rep.answer.Body, rep.answer.Waited.Microseconds()
	if rep.err != nil {
		out.Failure = &rpc.RequestFailure{Kind: string(errkind.Of(rep.err)), Reason: errkind.ReasonOf(rep.err),
			Detail: rep.err.Error(), Fresh: rep.confirmedNotRun}
	}
	return out
}

// acceptHandover adds the records of a predecessor. A message that was accepted
// before has no effect, because this daemon may have run ids since.
func (c *recorder) acceptHandover(content *handoverContent) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.inherited[content.shard]; ok &&
		(h.epoch > content.epoch || h.epoch == content.epoch && h.cutMS >= content.cutMS) {
		return nil
	}
	if c.closedRanges[content.shard].epoch > content.epoch {
		return errkind.New(errkind.Conflict, "handover_late", "%s was held and released here after epoch %d",
			content.shard, content.epoch)
	}
	if c.count+len(content.ids) > c.s.cfg.MaxRecordedIDs {
		return errkind.New(errkind.Overloaded, "recorder_full", "%d ids remembered, %d handed over", c.count, len(content.ids))
	}
	for _, in := range content.ids {
		c.addInherited(ulid.ULID(in.Id), in, now)
	}
	for _, in := range content.homes {
		h := c.homes[in.Customer]
		h.changedMS = max(h.changedMS, in.SinceMs)
		c.homes[in.Customer] = h
	}
	c.inherited[content.shard] = inheritedRange{content.epoch, max(content.fromMS, c.evictedBeforeMS), content.cutMS}
	return nil
}

// addInherited adds one record of a predecessor. An own record of a run takes
// precedence over it. An own record of a refusal does not: it is older than the
// predecessor's record, which may be of a run. c.mu must be held.
func (c *recorder) addInherited(id ulid.ULID, in *rpc.RecordedID, now time.Time) {
	bucket := int64(id.Time()) / bucketMS
	b := c.buckets[bucket]
	if b == nil {
		b = make(map[ulid.ULID]*record)
		c.buckets[bucket] = b
	}
	if old := b[id]; old != nil {
		if old.refusedUntil.IsZero() {
			return
		}
		c.count--
	}
	rec := &record{contentHash: [sha256.Size]byte(in.Content), done: make(chan struct{}), runsAtPredecessor: in.Running}
	b[id] = rec
	c.count++
	if !in.Running {
		c.complete(rec, importedReply(id, in), now)
	}
}

// applyResults completes the records of ids that the predecessor was still running
// when it handed over.
func (c *recorder) applyResults(content *handoverContent) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.inherited[content.shard]; h.epoch != content.epoch {
		return
	}
	for _, in := range content.ids {
		id := ulid.ULID(in.Id)
		rec := c.buckets[int64(id.Time())/bucketMS][id]
		if rec == nil || !rec.runsAtPredecessor || in.Running {
			continue
		}
		rec.runsAtPredecessor = false
		c.complete(rec, importedReply(id, in), now)
	}
}

// importedReply returns the reply that a predecessor recorded for id.
func importedReply(id ulid.ULID, in *rpc.RecordedID) reply {
	if f := in.Failure; f != nil {
		return reply{err: failureError(f), confirmedNotRun: f.Fresh}
	}
	return reply{answer: Answer{ID: id.String(), Body: in.Body, Waited: time.Duration(in.WaitedUs) * time.Microsecond}}
}

// HandOver closes the id shards that are about to be released and sends the records
// of this recorder to the successors. Without a complete handover the successor
// reports the outcome of these ids as unknown.
func (s *Service) HandOver(ctx context.Context, releases []contract.Release) {
	var wg sync.WaitGroup
	for _, r := range releases {
		content := s.recorder.close(r)
		if content != nil && r.To != "" {
			wg.Go(func() { s.handOver(ctx, r.To, content) })
		}
	}
	wg.Wait()
}

// handOver sends content to the daemon to and, in the background, the results of the calls
// that are still running.
func (s *Service) handOver(ctx context.Context, to string, content *handoverContent) {
	event := func(e *zerolog.Event, name string) *zerolog.Event {
		return e.Str("event", name).Str("shard", string(content.shard)).Str("to", to)
	}
	if err := s.sendHandover(ctx, to, content, false); err != nil {
		event(s.cfg.Log.Warn(), "recorder_handover_failed").Err(err).Send()
		return
	}
	event(s.cfg.Log.Info(), "recorder_handed_over").Int("ids", len(content.ids)).Int("running", len(content.running)).Send()
	if len(content.running) == 0 {
		return
	}
	s.gate.forceEnter()
	go func() {
		defer s.gate.leave()
		s.sendResults(to, content)
	}()
}

// sendResults sends the results of the calls that were running at the handover.
func (s *Service) sendResults(to string, content *handoverContent) {
	content.ids, content.homes = nil, nil
	for _, call := range content.running {
		<-call.done // closed when the run ends, soon after the deadline of its call at the latest
		s.recorder.mu.Lock()
		content.ids = append(content.ids, s.recorder.exportRecord(call.id, call.rec))
		s.recorder.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.MaxOwnerWait)
	defer cancel()
	if err := s.sendHandover(ctx, to, content, true); err != nil {
		s.cfg.Log.Warn().Str("event", "recorder_results_not_handed_over").Str("shard", string(content.shard)).Err(err).Send()
	}
}

// sendHandover sends content in parts that are small enough for drpc. update marks results
// that follow an earlier handover.
func (s *Service) sendHandover(ctx context.Context, to string, content *handoverContent, update bool) error {
	conn, err := s.cfg.Peers.Conn(ctx, to)
	if err != nil {
		return err
	}
	stream, err := rpc.NewDRPCRequestPathClient(conn).HandOver(ctx)
	if err != nil {
		return errors.Wrap(err, "open handover")
	}
	part := &rpc.HandoverPart{Shard: string(content.shard), Epoch: uint64(content.epoch),
		FromMs: content.fromMS, CutMs: content.cutMS, Homes: content.homes, Update: update}
	size := 0
	for _, id := range content.ids {
		if len(id.Body) > maxHandoverAnswerBytes {
			id.Body, id.Failure = nil, &rpc.RequestFailure{Kind: string(errkind.UpstreamFailed), Reason: "answer_not_kept",
				Detail: "the request ran; its answer is no longer kept"}
		}
		if size > maxFrameBodyBytes {
			if err := stream.Send(part); err != nil {
				return errors.Wrap(err, "send handover")
			}
			part, size = &rpc.HandoverPart{Shard: part.Shard, Epoch: part.Epoch}, 0
		}
		part.Ids = append(part.Ids, id)
		size += len(id.Body) + 128 // 128: estimated bytes of a record without its answer
	}
	part.Last, part.Total = true, int64(len(content.ids))
	part.FromMs, part.CutMs, part.Update = content.fromMS, content.cutMS, update
	if err := stream.Send(part); err != nil {
		return errors.Wrap(err, "send handover")
	}
	if _, err := stream.CloseAndRecv(); err != nil {
		return errors.Wrap(err, "complete handover")
	}
	return nil
}

// HandOver receives the records of the predecessor of an id shard. It applies them
// only if they arrive completely.
func (v server) HandOver(stream rpc.DRPCRequestPath_HandOverStream) error {
	content := &handoverContent{}
	for {
		p, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive handover")
		}
		if content.shard == "" {
			content.shard, content.epoch = contract.Key(p.Shard), contract.Epoch(p.Epoch)
		}
		if contract.Key(p.Shard) != content.shard || contract.Epoch(p.Epoch) != content.epoch ||
			content.shard.Kind() != contract.IDs {
			return errkind.New(errkind.BadInput, "bad_handover", "part for %.80q: not an id shard, or shard or epoch differs from the first part", p.Shard)
		}
		for _, id := range p.Ids {
			if len(id.Id) != len(ulid.ULID{}) || len(id.Content) != sha256.Size {
				return errkind.New(errkind.BadInput, "bad_handover", "id (%d bytes) or its content hash has the wrong length", len(id.Id))
			}
		}
		content.ids, content.homes = append(content.ids, p.Ids...), append(content.homes, p.Homes...)
		if len(content.ids) > v.s.cfg.MaxRecordedIDs {
			return errkind.New(errkind.Overloaded, "recorder_full", "%d ids handed over", len(content.ids))
		}
		if !p.Last {
			continue
		}
		if p.Total != int64(len(content.ids)) {
			return errkind.New(errkind.BadInput, "bad_handover", "received %d of %d ids", len(content.ids), p.Total)
		}
		content.fromMS, content.cutMS = p.FromMs, p.CutMs
		if p.Update {
			v.s.recorder.applyResults(content)
		} else if err := v.s.recorder.acceptHandover(content); err != nil {
			return err
		}
		return stream.SendAndClose(&rpc.HandoverAck{})
	}
}
