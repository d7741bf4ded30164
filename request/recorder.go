package request

import (
	"container/list"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/zone"
)

// bucketMS is the span of mint times whose ids are forgotten together, in milliseconds.
const bucketMS = 10_000

// recorder runs each id of a non-repeatable request at most once. It runs the ids of
// the id shards that this daemon holds, within the ranges of mint times granted to it.
type recorder struct {
	s  *Service
	mu sync.Mutex
	// buckets hold the records by mint time divided by bucketMS.
	buckets map[int64]map[ulid.ULID]*record
	count   int // records in all buckets
	// evictedBeforeMS is the mint time before which ids are forgotten. It never goes
	// back, even if the clock does.
	evictedBeforeMS int64
	keptAnswers     list.List // of *record with an answer, in the order in which the runs ended
	keptAnswerBytes int64
	homes           map[string]home // by customer
	closedRanges    map[contract.Key]closedRange
	inherited       map[contract.Key]inheritedRange
}

// record is what a recorder remembers about one id.
type record struct {
	contentHash [sha256.Size]byte
	done        chan struct{} // closed when rep is set
	rep         reply
	// refusedUntil is the time until which a call that was refused as not run is refused
	// again; zero if it was not refused. A copy of the call that was sent before the
	// refusal and arrives late must not run after the caller was told "not run".
	refusedUntil      time.Time
	runsAtPredecessor bool // was handed over while the predecessor ran it; the result may follow
}

// home is the region whose recorders handle the ids of a customer.
type home struct {
	region    zone.Region
	changedMS int64 // when this daemon saw it change, in Unix milliseconds; 0 if never
}

func newRecorder(s *Service) *recorder {
	return &recorder{s: s, buckets: make(map[int64]map[ulid.ULID]*record), homes: make(map[string]home),
		closedRanges: make(map[contract.Key]closedRange), inherited: make(map[contract.Key]inheritedRange)}
}

// run runs r and keeps the result, or returns the result of the run with the same id
// and content, waiting for it if necessary. The run does not end with ctx.
func (c *recorder) run(ctx context.Context, key contract.Key, r *request) reply {
	if r.class.Repeatable() {
		return failed(errkind.New(errkind.BadInput, "wrong_class", "class %s needs no recorder", r.class))
	}
	if key != contract.IDsKey(zone.Region(key.Location()), Shard(r.id, c.s.cfg.Shards)) {
		return failed(errkind.New(errkind.BadInput, "wrong_shard", "id %s does not belong to %s", r.id, key))
	}
	rec, mustRun, rep := c.admit(key, r, time.Now())
	if rec == nil {
		return rep
	}
	if mustRun {
		c.s.gate.forceEnter()
		go func() {
			defer c.s.gate.leave()
			c.finish(rec, c.s.dispatch(context.WithoutCancel(ctx), r))
		}()
	}
	t := time.NewTimer(time.Until(r.deadline) + answerGrace/2)
	defer t.Stop()
	select {
	case <-rec.done:
		c.mu.Lock()
		defer c.mu.Unlock()
		return rec.rep
	case <-ctx.Done():
		return failed(errkind.New(errkind.Cancelled, "cancelled_running", "the caller went away while the call ran"))
	case <-t.C:
		return failed(errkind.New(errkind.OutcomeUnknown, "deadline_running", "no answer before the deadline"))
	}
}

// admit returns the record of the id and whether this call must run it. If rec is
// nil, rep refuses the call.
func (c *recorder) admit(key contract.Key, r *request, now time.Time) (rec *record, mustRun bool, rep reply) {
	contentHash := r.contentHash()
	ms := int64(r.id.Time())
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.buckets[ms/bucketMS][r.id]; rec != nil {
		if rec.contentHash != contentHash {
			return nil, false, failed(errkind.New(errkind.Conflict, "id_reused", "id %s was used for another request", r.id))
		}
		if rec.refusedUntil.IsZero() {
			return rec, false, reply{}
		}
		// Another recorder may have run the id since it was refused here.
		if _, _, _, ok := c.s.cfg.Grants.Range(key); !ok {
			return nil, false, failed(errkind.New(errkind.NotOwner, "not_recorder", "this daemon is not the recorder of %s", key))
		}
		if now.Before(rec.refusedUntil) {
			return rec, false, reply{}
		}
		rep, beyondGrants := c.checkGrant(key, r, now)
		if rep.err != nil && !beyondGrants {
			return nil, false, rep
		}
		// The refusal has expired and no call has run the id.
		rec.refusedUntil = time.Time{}
		rec.done, rec.rep = make(chan struct{}), reply{}
		if beyondGrants {
			c.complete(rec, rep, now)
			return nil, false, rep
		}
		return rec, true, reply{}
	}
	rep, beyondGrants := c.checkGrant(key, r, now)
	if rep.err != nil && !beyondGrants {
		return nil, false, rep
	}
	if c.count >= c.s.cfg.MaxRecordedIDs {
		return nil, false, failed(errkind.New(errkind.Overloaded, "recorder_full", "%d ids remembered", c.count))
	}
	rec = &record{contentHash: contentHash, done: make(chan struct{})}
	b := c.buckets[ms/bucketMS]
	if b == nil {
		b = make(map[ulid.ULID]*record)
		c.buckets[ms/bucketMS] = b
	}
	b[r.id] = rec
	c.count++
	if beyondGrants {
		c.complete(rec, rep, now)
		return nil, false, rep
	}
	return rec, true, reply{}
}

// checkGrant returns a reply without an error if this daemon may run the id now, and
// else one that refuses it. beyondGrants is set if no daemon may run the id yet, so
// that the refusal can be recorded as certain.
func (c *recorder) checkGrant(key contract.Key, r *request, now time.Time) (rep reply, beyondGrants bool) {
	ms := int64(r.id.Time())
	from, to, epoch, ok := c.s.cfg.Grants.Range(key)
	switch {
	case !ok && c.claimedWithoutHandover(key, ms):
		return failed(errkind.New(errkind.OutcomeUnknown, "id_of_earlier_recorder",
			"mint time %d ms is granted to an earlier recorder; this one has no range yet", ms)), false
	case !ok:
		return failed(errkind.New(errkind.NotOwner, "not_recorder", "this daemon is not the recorder of %s", key)), false
	case c.closedRanges[key].covers(epoch, ms):
		return failed(errkind.New(errkind.NotOwner, "range_closed",
			"mint time %d ms is in a range that was closed for a handover", ms)), false
	case ms < c.evictedBeforeMS || now.UnixMilli()-ms > c.s.cfg.RecordRetention.Milliseconds():
		return failed(errkind.New(errkind.OutcomeUnknown, "id_too_old", "mint time %d ms is too old to be remembered", ms)), false
	case ms < from && !c.inherits(key, epoch, ms):
		return failed(errkind.New(errkind.OutcomeUnknown, "id_of_earlier_recorder",
			"mint time %d ms is before the range of this recorder, which starts at %d ms", ms, from)), false
	case ms >= to:
		// Only an owner with a valid tenure knows that no other daemon was granted this
		// mint time.
		t, ok := c.s.cfg.Ownership.Tenure(key)
		if !ok || t.Epoch != epoch || ms < c.s.cfg.Grants.LastGrantEnd(key) {
			return failed(errkind.New(errkind.OutcomeUnknown, "id_not_granted_here",
				"mint time %d ms may be granted to another daemon", ms)), false
		}
		rep := failed(errkind.New(errkind.NotReady, "id_beyond_grants",
			"mint time %d ms is not granted yet; the grants end at %d ms", ms, to))
		rep.confirmedNotRun = true
		return rep, true
	}
	if h, ok := c.homes[r.customer]; ok {
		if string(h.region) != key.Location() {
			return failed(errkind.New(errkind.NotOwner, "other_home", "the home region of the customer is %s", h.region)), false
		}
		if ms < h.changedMS {
			return failed(errkind.New(errkind.OutcomeUnknown, "home_changed",
				"the id was minted before the home region of the customer changed")), false
		}
	}
	return reply{}, false
}

// claimedWithoutHandover reports whether this daemon claimed the shard without a
// handover and mint time ms is granted to an earlier recorder. The range of this
// daemon then starts later than ms, so that waiting does not help the caller.
func (c *recorder) claimedWithoutHandover(key contract.Key, ms int64) bool {
	owner, _, _ := c.s.cfg.Ownership.Owner(key)
	_, earlier, granted := c.s.cfg.Grants.Granted(key, ms)
	_, _, released := c.s.cfg.Grants.Predecessor(key)
	return owner == c.s.self && granted && earlier != c.s.self && !released
}

// finish stores the result of the run of an id.
func (c *recorder) finish(rec *record, rep reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete(rec, rep, time.Now())
}

// complete stores rep in rec and wakes the calls that wait for it. An answer is kept
// until the answers exceed Config.MaxKeptAnswerBytes. A refusal is repeated to copies
// of the call for Config.SilentAfter. c.mu must be held.
func (c *recorder) complete(rec *record, rep reply, now time.Time) {
	rep.explicit = true
	if rep.outcome() == errkind.NotRun {
		rep.confirmedNotRun = true
		rec.refusedUntil = now.Add(c.s.cfg.SilentAfter)
	}
	rec.rep = rep
	close(rec.done)
	if len(rep.answer.Body) == 0 {
		return
	}
	c.keptAnswers.PushBack(rec)
	c.keptAnswerBytes += int64(len(rep.answer.Body))
	for c.keptAnswerBytes > c.s.cfg.MaxKeptAnswerBytes && c.keptAnswers.Len() > 1 {
		c.dropAnswer(c.keptAnswers.Front())
	}
}

// dropAnswer forgets an answer; the id itself stays remembered.
func (c *recorder) dropAnswer(e *list.Element) {
	old := c.keptAnswers.Remove(e).(*record)
	c.keptAnswerBytes -= int64(len(old.rep.answer.Body))
	old.rep = failed(errkind.New(errkind.UpstreamFailed, "answer_not_kept", "the request ran; its answer is no longer kept"))
}

// evict forgets ids that were minted before now minus Config.RecordRetention.
func (c *recorder) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictedBeforeMS = max(c.evictedBeforeMS, now.Add(-c.s.cfg.RecordRetention).UnixMilli())
	for b, records := range c.buckets {
		if (b+1)*bucketMS <= c.evictedBeforeMS {
			c.count -= len(records)
			delete(c.buckets, b)
		}
	}
	// A kept answer does not tell its bucket. The order of keptAnswers is nearly that of
	// the mint times, so the first ones are dropped until no more are left than records.
	for e := c.keptAnswers.Front(); e != nil && c.keptAnswers.Len() > c.count; e = c.keptAnswers.Front() {
		c.dropAnswer(e)
	}
}

// setHomes updates the home regions of the customers.
func (c *recorder) setHomes(regions map[string]zone.Region, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, region := range regions {
		h, known := c.homes[name]
		if known && h.region == region {
			continue
		}
		// The recorders of the previous home may have run ids minted until now.
		if known {
			h.changedMS = now.UnixMilli()
		}
		h.region = region
		c.homes[name] = h
	}
}
