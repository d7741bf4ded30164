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

// handedAnswerBytes is the largest answer that is handed over. drpc refuses messages
// above 4 MiB, and an answer goes in one part with up to frameBytes of others.
const handedAnswerBytes = 3 << 20

// closure ends what this recorder may run of a shard at an epoch: after it, no id
// minted before cut.
type closure struct {
	epoch contract.Epoch
	cut   int64
}

func (c closure) covers(e contract.Epoch, ms int64) bool { return c.epoch == e && ms < c.cut }

// inheritance is the range of mint times [from, cut) whose ids the recorder at
// epoch handed over. It counts only for the owner that this epoch was released to.
type inheritance struct {
	epoch     contract.Epoch
	from, cut int64
}

// inherits reports whether this daemon, at its own epoch, took over the memory of
// every id of mint time ms. The log names one successor per release, so that no
// other daemon can run these ids, also when a message is late or repeated.
func (c *recorder) inherits(key contract.Key, own contract.Epoch, ms int64) bool {
	h, ok := c.inherited[key]
	if !ok || ms < h.from || ms >= h.cut {
		return false
	}
	predecessor, e, ok := c.s.cfg.Grants.Predecessor(key)
	return ok && e == own && predecessor == h.epoch
}

// memory is the content of a handover.
type memory struct {
	shard   contract.Key
	epoch   contract.Epoch
	from    int64
	cut     int64
	ids     []*rpc.RecordedID
	homes   []*rpc.HomeChange
	running []flight
}

// flight is a call that was running when its shard was handed over.
type flight struct {
	id   ulid.ULID
	rec  *record
	done chan struct{}
}

// close ends the range of a shard for good and returns what is remembered of it.
// Nothing is handed over, and nil is returned, if the shard had no range.
func (c *recorder) close(r contract.Release) *memory {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.CutMS == 0 {
		return nil
	}
	c.closed[r.Shard] = closure{r.Epoch, r.CutMS}
	m := &memory{shard: r.Shard, epoch: r.Epoch, from: r.FromMS, cut: r.CutMS}
	if h, ok := c.inherited[r.Shard]; ok && r.PredecessorEpoch != 0 && h.epoch == r.PredecessorEpoch && h.cut >= r.FromMS {
		m.from = min(m.from, h.from)
	}
	m.from = max(m.from, c.evicted)
	for name, h := range c.homes {
		if h.since != 0 {
			m.homes = append(m.homes, &rpc.HomeChange{Customer: name, SinceMs: h.since})
		}
	}
	for _, records := range c.buckets {
		for id, rec := range records {
			if contract.IDsKey(c.s.cfg.Peers.Self().Region, Shard(id, c.s.cfg.Shards)) != r.Shard {
				continue
			}
			out := c.export(id, rec)
			m.ids = append(m.ids, out)
			if out.Running {
				m.running = append(m.running, flight{id, rec, rec.done})
			} else if rec.rep.outcome() == errkind.NotRun && !rec.remote {
				// The successor may run it, so that this daemon must no longer say "not run".
				delete(records, id)
				c.count--
			}
		}
	}
	return m
}

// export describes a record. The result of a run at a predecessor that has not
// sent it yet goes there only, so that it is unknown to the successor.
func (c *recorder) export(id ulid.ULID, rec *record) *rpc.RecordedID {
	out := &rpc.RecordedID{Id: id.Bytes(), Content: rec.content[:]}
	rep := rec.rep
	select {
	case <-rec.done:
	default:
		if !rec.remote {
			out.Running = true
			return out
		}
		rep = failed(errkind.New(errkind.OutcomeUnknown, "run_handed_over_twice", "run of id %s", id))
	}
	out.Body, out.WaitedUs = rep.answer.Body, rep.answer.Waited.Microseconds()
	if rep.err != nil {
		out.Failure = &rpc.RequestFailure{Kind: string(errkind.Of(rep.err)), Reason: errkind.ReasonOf(rep.err),
			Detail: rep.err.Error(), Fresh: rep.fresh}
	}
	return out
}

// accept takes over the memory of a predecessor. A message that was accepted
// before has no effect: this daemon may have run ids since.
func (c *recorder) accept(m *memory) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.inherited[m.shard]; ok && (h.epoch > m.epoch || h.epoch == m.epoch && h.cut >= m.cut) {
		return nil
	}
	if c.closed[m.shard].epoch > m.epoch {
		return errkind.New(errkind.Conflict, "handover_late", "%s was held and released since epoch %d", m.shard, m.epoch)
	}
	if c.count+len(m.ids) > c.s.cfg.MemoryIDs {
		return errkind.New(errkind.Overloaded, "recorder_full", "%d ids remembered, %d handed over", c.count, len(m.ids))
	}
	for _, in := range m.ids {
		c.take(ulid.ULID(in.Id), in, now)
	}
	for _, in := range m.homes {
		h := c.homes[in.Customer]
		h.since = max(h.since, in.SinceMs)
		c.homes[in.Customer] = h
	}
	c.inherited[m.shard] = inheritance{m.epoch, max(m.from, c.evicted), m.cut}
	return nil
}

// take adds one record. What is remembered here of a run is kept; a refusal is
// older than the predecessor's record, which may be of a run.
func (c *recorder) take(id ulid.ULID, in *rpc.RecordedID, now time.Time) {
	bucket := int64(id.Time()) / bucketMS
	b := c.buckets[bucket]
	if b == nil {
		b = make(map[ulid.ULID]*record)
		c.buckets[bucket] = b
	}
	if old := b[id]; old != nil {
		if old.refused.IsZero() {
			return
		}
		c.count--
	}
	rec := &record{content: [sha256.Size]byte(in.Content), done: make(chan struct{}), remote: in.Running}
	b[id] = rec
	c.count++
	if !in.Running {
		c.settle(rec, imported(id, in), now)
	}
}

// update settles ids that were running at the predecessor when it handed over.
func (c *recorder) update(m *memory) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.inherited[m.shard]; h.epoch != m.epoch {
		return
	}
	for _, in := range m.ids {
		id := ulid.ULID(in.Id)
		rec := c.buckets[int64(id.Time())/bucketMS][id]
		if rec == nil || !rec.remote || in.Running {
			continue
		}
		rec.remote = false
		c.settle(rec, imported(id, in), now)
	}
}

func imported(id ulid.ULID, in *rpc.RecordedID) reply {
	if f := in.Failure; f != nil {
		return reply{err: failureError(f), fresh: f.Fresh}
	}
	return reply{answer: Answer{ID: id.String(), Body: in.Body, Waited: time.Duration(in.WaitedUs) * time.Microsecond}}
}

// HandOver closes the shards that are about to be released and passes what this
// recorder remembers of them to the successors. Without a complete handover the
// successor calls the outcome of these ids unknown.
func (s *Service) HandOver(ctx context.Context, releases []contract.Release) {
	var wg sync.WaitGroup
	for _, r := range releases {
		m := s.recorder.close(r)
		if m != nil && r.To != "" {
			wg.Go(func() { s.handOver(ctx, r.To, m) })
		}
	}
	wg.Wait()
}

func (s *Service) handOver(ctx context.Context, to string, m *memory) {
	event := func(e *zerolog.Event, name string) *zerolog.Event {
		return e.Str("event", name).Str("shard", string(m.shard)).Str("to", to)
	}
	if err := s.sendMemory(ctx, to, m, false); err != nil {
		event(s.cfg.Log.Warn(), "recorder_handover_failed").Err(err).Send()
		return
	}
	event(s.cfg.Log.Info(), "recorder_handed_over").Int("ids", len(m.ids)).Int("running", len(m.running)).Send()
	if len(m.running) == 0 {
		return
	}
	s.gate.hold()
	go func() {
		defer s.gate.leave()
		s.sendResults(to, m)
	}()
}

// sendResults sends the results of the calls that were running at the handover.
func (s *Service) sendResults(to string, m *memory) {
	m.ids, m.homes = nil, nil
	for _, f := range m.running {
		<-f.done // the run ends at the deadline of its call
		s.recorder.mu.Lock()
		m.ids = append(m.ids, s.recorder.export(f.id, f.rec))
		s.recorder.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.OwnerWait)
	defer cancel()
	if err := s.sendMemory(ctx, to, m, true); err != nil {
		s.cfg.Log.Warn().Str("event", "recorder_results_not_handed_over").Str("shard", string(m.shard)).Err(err).Send()
	}
}

// sendMemory sends m in parts that drpc accepts.
func (s *Service) sendMemory(ctx context.Context, to string, m *memory, update bool) error {
	conn, err := s.cfg.Peers.Conn(ctx, to)
	if err != nil {
		return err
	}
	stream, err := rpc.NewDRPCRequestPathClient(conn).HandOver(ctx)
	if err != nil {
		return errors.Wrap(err, "open handover")
	}
	part := &rpc.HandoverPart{Shard: string(m.shard), Epoch: uint64(m.epoch), FromMs: m.from, CutMs: m.cut, Homes: m.homes, Update: update}
	size := 0
	for _, id := range m.ids {
		if len(id.Body) > handedAnswerBytes {
			id.Body, id.Failure = nil, &rpc.RequestFailure{Kind: string(errkind.UpstreamFailed), Reason: "answer_not_kept",
				Detail: "the request ran; its answer is no longer kept"}
		}
		if size > frameBytes {
			if err := stream.Send(part); err != nil {
				return errors.Wrap(err, "send handover")
			}
			part, size = &rpc.HandoverPart{Shard: part.Shard, Epoch: part.Epoch}, 0
		}
		part.Ids = append(part.Ids, id)
		size += len(id.Body) + 128
	}
	part.Last, part.Total = true, int64(len(m.ids))
	part.FromMs, part.CutMs, part.Update = m.from, m.cut, update
	if err := stream.Send(part); err != nil {
		return errors.Wrap(err, "send handover")
	}
	if _, err := stream.CloseAndRecv(); err != nil {
		return errors.Wrap(err, "end handover")
	}
	return nil
}

// HandOver takes in the memory of the predecessor of an id shard, if it is whole.
func (v server) HandOver(stream rpc.DRPCRequestPath_HandOverStream) error {
	m := &memory{}
	for {
		p, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "handover broken off")
		}
		if m.shard == "" {
			m.shard, m.epoch = contract.Key(p.Shard), contract.Epoch(p.Epoch)
		}
		if contract.Key(p.Shard) != m.shard || contract.Epoch(p.Epoch) != m.epoch || m.shard.Kind() != contract.IDs {
			return errkind.New(errkind.BadInput, "bad_handover", "part of %.80q", p.Shard)
		}
		for _, id := range p.Ids {
			if len(id.Id) != len(ulid.ULID{}) || len(id.Content) != sha256.Size {
				return errkind.New(errkind.BadInput, "bad_handover", "id of %d bytes", len(id.Id))
			}
		}
		m.ids, m.homes = append(m.ids, p.Ids...), append(m.homes, p.Homes...)
		if len(m.ids) > v.s.cfg.MemoryIDs {
			return errkind.New(errkind.Overloaded, "recorder_full", "%d ids handed over", len(m.ids))
		}
		if !p.Last {
			continue
		}
		if p.Total != int64(len(m.ids)) {
			return errkind.New(errkind.BadInput, "bad_handover", "%d of %d ids", len(m.ids), p.Total)
		}
		m.from, m.cut = p.FromMs, p.CutMs
		if p.Update {
			v.s.recorder.update(m)
		} else if err := v.s.recorder.accept(m); err != nil {
			return err
		}
		return stream.SendAndClose(&rpc.HandoverAck{})
	}
}
