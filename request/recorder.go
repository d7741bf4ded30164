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

// bucketMS is the span of mint times that are forgotten together, in milliseconds.
const bucketMS = 10_000

// recorder runs each non-repeatable id at most once, for the granted ranges of
// the id shards that this daemon holds.
type recorder struct {
	s  *Service
	mu sync.Mutex
	// buckets hold the records by mint time.
	buckets map[int64]map[ulid.ULID]*record
	count   int
	// evicted is the mint time before which ids are forgotten. It never goes back,
	// even if the clock does.
	evicted   int64
	bodies    list.List // of *record with an answer, oldest first
	bodyBytes int64
	homes     map[string]home
	closed    map[contract.Key]closure
	inherited map[contract.Key]inheritance
}

// record is what a recorder remembers about one id.
type record struct {
	content [sha256.Size]byte
	done    chan struct{} // closed when rep is set
	rep     reply
	// refused is the time until which a call that was refused as not run is refused
	// again. A copy of the call that was sent before the refusal and arrives late
	// must not run after the caller was told "not run".
	refused time.Time
	remote  bool // handed over while it ran at the predecessor; the result may follow
}

// home is the region of a customer's recorders.
type home struct {
	region zone.Region
	since  int64 // when this daemon saw it change, in milliseconds; 0 if it never changed
}

func newRecorder(s *Service) *recorder {
	return &recorder{s: s, buckets: make(map[int64]map[ulid.ULID]*record), homes: make(map[string]home),
		closed: make(map[contract.Key]closure), inherited: make(map[contract.Key]inheritance)}
}

// run runs r, or waits for the run of the same id and returns its answer.
func (c *recorder) run(ctx context.Context, key contract.Key, r *request) reply {
	if r.class.Repeatable() {
		return failed(errkind.New(errkind.BadInput, "wrong_class", "class %s has no recorder", r.class))
	}
	if key != contract.IDsKey(zone.Region(key.Location()), Shard(r.id, c.s.cfg.Shards)) {
		return failed(errkind.New(errkind.BadInput, "wrong_shard", "id %s is not of %s", r.id, key))
	}
	rec, first, rep := c.admit(key, r, time.Now())
	if rec == nil {
		return rep
	}
	if first {
		c.s.gate.hold()
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
		return failed(errkind.New(errkind.Cancelled, "cancelled_running", "caller is gone"))
	case <-t.C:
		return failed(errkind.New(errkind.OutcomeUnknown, "deadline_running", "no answer before the deadline"))
	}
}

// admit returns the record of the id and whether this call must run it, or a
// reply that refuses it.
func (c *recorder) admit(key contract.Key, r *request, now time.Time) (rec *record, first bool, rep reply) {
	content := r.content()
	ms := int64(r.id.Time())
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec := c.buckets[ms/bucketMS][r.id]; rec != nil {
		if rec.content != content {
			return nil, false, failed(errkind.New(errkind.Conflict, "id_reused", "id %s was used for another request", r.id))
		}
		if rec.refused.IsZero() {
			return rec, false, reply{}
		}
		// Another recorder may have run the id since it was refused here.
		if _, _, _, ok := c.s.cfg.Grants.Range(key); !ok {
			return nil, false, failed(errkind.New(errkind.NotOwner, "not_recorder", "%s", key))
		}
		if now.Before(rec.refused) {
			return rec, false, reply{}
		}
		rep, beyond := c.granted(key, r, now)
		if rep.err != nil && !beyond {
			return nil, false, rep
		}
		// The refusal has expired and no call has run the id.
		rec.refused = time.Time{}
		rec.done, rec.rep = make(chan struct{}), reply{}
		if beyond {
			c.settle(rec, rep, now)
			return nil, false, rep
		}
		return rec, true, reply{}
	}
	rep, beyond := c.granted(key, r, now)
	if rep.err != nil && !beyond {
		return nil, false, rep
	}
	if c.count >= c.s.cfg.MemoryIDs {
		return nil, false, failed(errkind.New(errkind.Overloaded, "recorder_full", "%d ids remembered", c.count))
	}
	rec = &record{content: content, done: make(chan struct{})}
	b := c.buckets[ms/bucketMS]
	if b == nil {
		b = make(map[ulid.ULID]*record)
		c.buckets[ms/bucketMS] = b
	}
	b[r.id] = rec
	c.count++
	if beyond {
		c.settle(rec, rep, now)
		return nil, false, rep
	}
	return rec, true, reply{}
}

// granted tells whether this daemon may run the id. beyond is set if nobody may
// run it yet.
func (c *recorder) granted(key contract.Key, r *request, now time.Time) (rep reply, beyond bool) {
	ms := int64(r.id.Time())
	from, to, epoch, ok := c.s.cfg.Grants.Range(key)
	switch {
	case !ok && c.claimedAfter(key, ms):
		return failed(errkind.New(errkind.OutcomeUnknown, "id_of_earlier_recorder", "mint time %d, no own range yet", ms)), false
	case !ok:
		return failed(errkind.New(errkind.NotOwner, "not_recorder", "%s", key)), false
	case c.closed[key].covers(epoch, ms):
		return failed(errkind.New(errkind.NotOwner, "range_closed", "mint time %d", ms)), false
	case ms < c.evicted || now.UnixMilli()-ms > c.s.cfg.Memory.Milliseconds():
		return failed(errkind.New(errkind.OutcomeUnknown, "id_too_old", "mint time %d", ms)), false
	case ms < from && !c.inherits(key, epoch, ms):
		return failed(errkind.New(errkind.OutcomeUnknown, "id_of_earlier_recorder", "mint time %d before %d", ms, from)), false
	case ms >= to:
		// Only an owner in good tenure knows that nobody else was granted this time.
		t, ok := c.s.cfg.Ownership.Tenure(key)
		if !ok || t.Epoch != epoch || ms < c.s.cfg.Grants.LastGrantEnd(key) {
			return failed(errkind.New(errkind.OutcomeUnknown, "id_not_granted_here", "mint time %d", ms)), false
		}
		rep := failed(errkind.New(errkind.NotReady, "id_beyond_grants", "mint time %d from %d on", ms, to))
		rep.fresh = true
		return rep, true
	}
	if h, ok := c.homes[r.customer]; ok {
		if string(h.region) != key.Location() {
			return failed(errkind.New(errkind.NotOwner, "other_home", "home of the customer is %s", h.region)), false
		}
		if ms < h.since {
			return failed(errkind.New(errkind.OutcomeUnknown, "home_changed", "id was minted before the home changed")), false
		}
	}
	return reply{}, false
}

// claimedAfter reports whether this daemon claimed the shard, without a handover,
// while the mint time ms is granted to an earlier recorder. Its own range then
// starts later, so that waiting does not help the caller.
func (c *recorder) claimedAfter(key contract.Key, ms int64) bool {
	owner, _, _ := c.s.cfg.Ownership.Owner(key)
	_, earlier, granted := c.s.cfg.Grants.Granted(key, ms)
	_, _, released := c.s.cfg.Grants.Predecessor(key)
	return owner == c.s.self && granted && earlier != c.s.self && !released
}

// finish keeps the result of the run of an id.
func (c *recorder) finish(rec *record, rep reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(rec, rep, time.Now())
}

func (c *recorder) settle(rec *record, rep reply, now time.Time) {
	rep.explicit = true
	if rep.outcome() == errkind.NotRun {
		rep.fresh = true
		rec.refused = now.Add(c.s.cfg.SilentAfter)
	}
	rec.rep = rep
	close(rec.done)
	if len(rep.answer.Body) == 0 {
		return
	}
	c.bodies.PushBack(rec)
	c.bodyBytes += int64(len(rep.answer.Body))
	for c.bodyBytes > c.s.cfg.MemoryBytes && c.bodies.Len() > 1 {
		c.dropBody(c.bodies.Front())
	}
}

// dropBody forgets an answer; the id itself stays remembered.
func (c *recorder) dropBody(e *list.Element) {
	old := c.bodies.Remove(e).(*record)
	c.bodyBytes -= int64(len(old.rep.answer.Body))
	old.rep = failed(errkind.New(errkind.UpstreamFailed, "answer_not_kept", "the request ran; its answer is no longer kept"))
}

// evict forgets ids that were minted before now minus Config.Memory.
func (c *recorder) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = max(c.evicted, now.Add(-c.s.cfg.Memory).UnixMilli())
	for b, records := range c.buckets {
		if (b+1)*bucketMS <= c.evicted {
			c.count -= len(records)
			delete(c.buckets, b)
		}
	}
	// Answers are kept in the order of their runs, which is nearly that of eviction.
	for e := c.bodies.Front(); e != nil && c.bodies.Len() > c.count; e = c.bodies.Front() {
		c.dropBody(e)
	}
}

// setHomes takes in the home regions of the customers.
func (c *recorder) setHomes(regions map[string]zone.Region, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, region := range regions {
		h, known := c.homes[name]
		if known && h.region == region {
			continue
		}
		// The recorders of the earlier home may have run ids minted until now.
		if known {
			h.since = now.UnixMilli()
		}
		h.region = region
		c.homes[name] = h
	}
}
