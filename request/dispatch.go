package request

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/zone"
)

// answerGrace is added to the deadline of a call to another daemon, so that its
// own verdict at the deadline arrives.
const answerGrace = 100 * time.Millisecond

// retryKinds are the kinds after which another group may be tried: the request
// certainly did not run, and another owner or executor may be able to run it.
var retryKinds = map[errkind.Kind]bool{
	errkind.Unreachable: true, errkind.NotOwner: true, errkind.StaleEpoch: true,
	errkind.NoCapacity: true, errkind.Draining: true, errkind.NotReady: true,
}

// dispatch runs r on a group of executors. A repeatable request is retried after
// an unknown outcome, another one only if it certainly did not run.
func (s *Service) dispatch(ctx context.Context, r *request) reply {
	s.retries.call()
	tried := make(map[contract.Key]bool)
	var unknown error
	for attempt := 1; ; attempt++ {
		rep := s.attempt(ctx, r, tried)
		if rep.err == nil {
			return rep
		}
		kind := errkind.Of(rep.err)
		if rep.outcome() == errkind.Unknown {
			unknown = rep.err
		}
		again := retryKinds[kind] || kind == errkind.OutcomeUnknown && r.class.Repeatable()
		if !again || !s.retry(ctx, r, attempt, errkind.ReasonOf(rep.err)) {
			return settle(rep, unknown)
		}
	}
}

// settle makes rep unknown if an earlier attempt may have run or may still arrive.
func settle(rep reply, unknown error) reply {
	if unknown != nil && rep.outcome() == errkind.NotRun {
		return reply{err: errkind.Wrap(errkind.OutcomeUnknown, errkind.ReasonOf(unknown), rep.err)}
	}
	return rep
}

// retry waits before the next attempt. It reports false if there must be none.
func (s *Service) retry(ctx context.Context, r *request, attempt int, reason string) bool {
	if attempt >= s.cfg.MaxAttempts {
		return false
	}
	backoff := time.Duration((0.5 + s.rng.float()) * float64(s.cfg.RetryBase<<(attempt-1)))
	if time.Until(r.deadline) <= backoff || ctx.Err() != nil {
		return false
	}
	if !s.retries.take() {
		s.metrics.retries.WithLabelValues("budget_exhausted").Inc()
		return false
	}
	s.metrics.retries.WithLabelValues(reason).Inc()
	return pause.For(ctx, backoff)
}

func (s *Service) attempt(ctx context.Context, r *request, tried map[contract.Key]bool) reply {
	t, ok := s.loads.pick(tried)
	if !ok {
		return failed(errkind.New(errkind.NotReady, "no_group", "no executor group has an owner"))
	}
	tried[t.key] = true
	s.metrics.calls.WithLabelValues(t.dist.String()).Inc()
	defer s.loads.begin(t.key)()
	var rep reply
	if t.daemon == s.self {
		rep = s.groups.run(ctx, t.key, r)
	} else {
		rep = s.call(ctx, t.daemon, t.key, t.epoch, r, openRun)
	}
	if retryKinds[errkind.Of(rep.err)] || rep.err != nil && !rep.explicit {
		s.loads.avoidFor(t.key)
	}
	return rep
}

// viaRecorder runs a non-repeatable request through the recorder of its id. The
// recorder makes repeats of the same id harmless, so that the entry may repeat
// the call after any loss of the link.
func (s *Service) viaRecorder(ctx context.Context, r *request, home zone.Region, given bool) reply {
	s.retries.call()
	var unknown error
	waits, until := 0, time.Now().Add(s.cfg.OwnerWait)
	for attempt := 1; ; {
		rep := s.askRecorder(ctx, r, home, given || unknown != nil)
		if rep.err == nil {
			return rep
		}
		kind := errkind.Of(rep.err)
		lost := !rep.explicit && rep.outcome() == errkind.Unknown
		if lost {
			unknown = rep.err
		}
		reason := errkind.ReasonOf(rep.err)
		moved := kind == errkind.Unreachable || kind == errkind.NotOwner || kind == errkind.Draining || reason == "no_recorder"
		switch {
		case moved && s.awaitOwner(ctx, r, waits, until, reason):
			waits++
		case lost && s.retry(ctx, r, attempt, reason):
			attempt++
		default:
			return s.certain(settle(rep, unknown), given)
		}
	}
}

// maxOwnerBackoff is the longest pause between two looks for the owner of a key.
const maxOwnerBackoff = 100 * time.Millisecond

// awaitOwner pauses after a refusal that says only that the owner has changed. It
// reports false when the time has passed. The refused call ran nothing, so that
// neither MaxAttempts nor the retry budget, which protect executors, apply; the
// pauses bound the calls to about ten per second.
func (s *Service) awaitOwner(ctx context.Context, r *request, waits int, until time.Time, reason string) bool {
	limit := min(time.Until(until), time.Until(r.deadline))
	backoff := min(s.cfg.RetryBase<<min(waits, 10), maxOwnerBackoff)
	backoff = time.Duration((0.5 + s.rng.float()/2) * float64(backoff))
	if limit <= backoff || ctx.Err() != nil {
		return false
	}
	s.metrics.retries.WithLabelValues(reason).Inc()
	return pause.For(ctx, backoff)
}

// certain replaces "not run" for an id that the caller gave, unless the recorder
// said it: an earlier call may have run the id.
func (s *Service) certain(rep reply, given bool) reply {
	if given && !rep.fresh && rep.outcome() == errkind.NotRun && retryable(rep.err) {
		rep.err = errkind.Wrap(errkind.OutcomeUnknown, errkind.ReasonOf(rep.err), rep.err)
	}
	return rep
}

func retryable(err error) bool { return errkind.AnswerOf(err).Retry != errkind.RetryNever }

// askRecorder sends r to its recorder. An id that must not change is kept.
func (s *Service) askRecorder(ctx context.Context, r *request, home zone.Region, keep bool) reply {
	var key contract.Key
	var daemon string
	var epoch contract.Epoch
	if keep {
		key = contract.IDsKey(home, Shard(r.id, s.cfg.Shards))
		return s.askOwner(ctx, r, key)
	} else {
		r.id, key, daemon, epoch = s.mint(home)
	}
	return s.ask(ctx, r, key, daemon, epoch)
}

func (s *Service) ask(ctx context.Context, r *request, key contract.Key, daemon string, epoch contract.Epoch) reply {
	switch daemon {
	case "":
		return failed(errkind.New(errkind.NotReady, "no_recorder", "no recorder for %s", key))
	case s.self:
		return s.recorder.run(ctx, key, r)
	}
	return s.call(ctx, daemon, key, epoch, r, openRecord)
}

// askOwner asks the owner of the shard, to which the memory of earlier recorders
// may have been handed over. If it does not have it, the recorder that the mint
// time was granted to may still be there and remember the id.
func (s *Service) askOwner(ctx context.Context, r *request, key contract.Key) reply {
	owner, epoch, _ := s.cfg.Ownership.Owner(key)
	granted, e, ok := s.recorderOf(key, int64(r.id.Time()))
	earlier := ok && granted != owner
	if owner == "" || s.loads.isDown(owner) {
		if earlier {
			return s.ask(ctx, r, key, granted, e)
		}
	}
	rep := s.ask(ctx, r, key, owner, epoch)
	if !earlier || errkind.ReasonOf(rep.err) != "id_of_earlier_recorder" {
		return rep
	}
	was := s.ask(ctx, r, key, granted, e)
	switch errkind.Of(was.err) {
	case errkind.NotOwner, errkind.Draining, errkind.Unreachable:
		return rep // it has closed its range or cannot be asked
	}
	return was
}

// recorderOf returns the daemon that mint time ms was granted to, if it is not down.
func (s *Service) recorderOf(key contract.Key, ms int64) (string, contract.Epoch, bool) {
	e, d, ok := s.cfg.Grants.Granted(key, ms)
	return d, e, ok && !s.loads.isDown(d)
}

// mint returns a new id of a shard of the region that is being served. Its mint
// time lies in the last grant if the present is granted to another daemon than
// the owner: only the owner can run it.
func (s *Service) mint(home zone.Region) (ulid.ULID, contract.Key, string, contract.Epoch) {
	now := time.Now().UnixMilli()
	first := s.rng.intN(s.cfg.Shards)
	for i := range s.cfg.Shards {
		n := (first + i) % s.cfg.Shards
		key := contract.IDsKey(home, n)
		owner, _, ok := s.cfg.Ownership.Owner(key)
		if !ok || owner == "" || s.loads.isDown(owner) {
			continue
		}
		for _, ms := range []int64{now, s.cfg.Grants.LastGrantEnd(key) - 1} {
			if e, d, ok := s.cfg.Grants.Granted(key, ms); ok && d == owner {
				return s.newID(ms, n), key, owner, e
			}
		}
	}
	return ulid.ULID{}, "", "", 0
}

// newID returns an id with real random bits, so that daemons never mint the same
// one, with mint time ms that belongs to shard n.
func (s *Service) newID(ms int64, n int) ulid.ULID {
	for {
		id := ulid.MustNew(uint64(ms), rand.Reader)
		if Shard(id, s.cfg.Shards) == n {
			return id
		}
	}
}

func (t *loadTable) isDown(daemon string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down[daemon]
}

// newRequestID returns an id for a repeatable request, which has no shard.
func (s *Service) newRequestID(now time.Time) ulid.ULID {
	return ulid.MustNew(uint64(now.UnixMilli()), rand.Reader)
}
