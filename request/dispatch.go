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

// answerGrace is added to the deadline of a call to another daemon, so that the
// reply which that daemon sends at the deadline still arrives.
const answerGrace = 100 * time.Millisecond

// retryKinds are the kinds after which another group may be tried for a request of
// any class: it certainly did not run, and another owner or executor may run it.
var retryKinds = map[errkind.Kind]bool{
	errkind.Unreachable: true, errkind.NotOwner: true, errkind.StaleEpoch: true,
	errkind.NoCapacity: true, errkind.Draining: true, errkind.NotReady: true,
}

// dispatch runs r on a group of executors. A repeatable request is also retried
// after an unknown outcome, any other only if it certainly did not run.
func (s *Service) dispatch(ctx context.Context, r *request) reply {
	s.retries.countCall()
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
		retriable := retryKinds[kind] || kind == errkind.OutcomeUnknown && r.class.Repeatable()
		if !retriable || !s.waitForRetry(ctx, r, attempt, errkind.ReasonOf(rep.err)) {
			return mergeUnknown(rep, unknown)
		}
	}
}

// mergeUnknown replaces the outcome "not run" of the last attempt by an unknown
// outcome if unknown is set: an earlier attempt may have run or may still arrive.
func mergeUnknown(rep reply, unknown error) reply {
	if unknown != nil && rep.outcome() == errkind.NotRun {
		return reply{err: errkind.Wrap(errkind.OutcomeUnknown, errkind.ReasonOf(unknown), rep.err)}
	}
	return rep
}

// waitForRetry waits for the backoff before the next attempt. It returns false if
// the attempts, the deadline, ctx or the retry budget allow no further one.
func (s *Service) waitForRetry(ctx context.Context, r *request, attempt int, reason string) bool {
	if attempt >= s.cfg.MaxAttempts {
		return false
	}
	backoff := time.Duration((0.5 + s.rng.float()) * float64(s.cfg.RetryBaseBackoff<<(attempt-1)))
	if time.Until(r.deadline) <= backoff || ctx.Err() != nil {
		return false
	}
	if !s.retries.allowRetry() {
		s.metrics.retries.WithLabelValues("budget_exhausted").Inc()
		return false
	}
	s.metrics.retries.WithLabelValues(reason).Inc()
	return pause.For(ctx, backoff)
}

// attempt runs r once, on the group that loadTable.pickGroup chooses, and adds that
// group to tried.
func (s *Service) attempt(ctx context.Context, r *request, tried map[contract.Key]bool) reply {
	t, ok := s.loads.pickGroup(tried)
	if !ok {
		return failed(errkind.New(errkind.NotReady, "no_group", "no executor group has an owner"))
	}
	tried[t.key] = true
	s.metrics.dispatches.WithLabelValues(t.distance.String()).Inc()
	defer s.loads.beginCall(t.key)()
	var rep reply
	if t.daemon == s.self {
		rep = s.groups.run(ctx, t.key, r)
	} else {
		rep = s.callDaemon(ctx, t.daemon, t.key, t.epoch, r, openRunOnGroup)
	}
	if retryKinds[errkind.Of(rep.err)] || rep.err != nil && !rep.explicit {
		s.loads.avoidBriefly(t.key)
	}
	return rep
}

// runViaRecorder runs a non-repeatable request through the recorder of its id. The
// recorder makes repeats of the same id harmless, so that the entry may repeat
// the call whenever the link to the recorder fails.
func (s *Service) runViaRecorder(ctx context.Context, r *request, home zone.Region, idFromCaller bool) reply {
	s.retries.countCall()
	var unknown error
	ownerWaits, ownerDeadline := 0, time.Now().Add(s.cfg.MaxOwnerWait)
	for attempt := 1; ; {
		rep := s.callRecorder(ctx, r, home, idFromCaller || unknown != nil)
		if rep.err == nil {
			return rep
		}
		kind := errkind.Of(rep.err)
		replyLost := !rep.explicit && rep.outcome() == errkind.Unknown
		if replyLost {
			unknown = rep.err
		}
		reason := errkind.ReasonOf(rep.err)
		ownerChanged := kind == errkind.Unreachable || kind == errkind.NotOwner || kind == errkind.Draining ||
			reason == "no_recorder"
		switch {
		case ownerChanged && s.awaitOwner(ctx, r, ownerWaits, ownerDeadline, reason):
			ownerWaits++
		case replyLost && s.waitForRetry(ctx, r, attempt, reason):
			attempt++
		default:
			return s.downgradeNotRun(mergeUnknown(rep, unknown), idFromCaller)
		}
	}
}

// maxOwnerBackoff is the longest pause before the owner of an id shard is looked up
// again.
const maxOwnerBackoff = 100 * time.Millisecond

// awaitOwner pauses after a refusal that says only that the owner has changed. It
// returns false when the time for that, the deadline or ctx has passed. The refused
// call ran nothing, so that neither MaxAttempts nor the retry budget, which protect
// executors, apply. The pauses grow to between half of maxOwnerBackoff and all of it,
// which then bounds the calls to 20 per second.
func (s *Service) awaitOwner(ctx context.Context, r *request, ownerWaits int, ownerDeadline time.Time, reason string) bool {
	limit := min(time.Until(ownerDeadline), time.Until(r.deadline))
	backoff := min(s.cfg.RetryBaseBackoff<<min(ownerWaits, 10), maxOwnerBackoff)
	backoff = time.Duration((0.5 + s.rng.float()/2) * float64(backoff))
	if limit <= backoff || ctx.Err() != nil {
		return false
	}
	s.metrics.retries.WithLabelValues(reason).Inc()
	return pause.For(ctx, backoff)
}

// downgradeNotRun replaces the outcome "not run" by an unknown one if the caller gave
// the id and the recorder did not confirm it: an earlier call may have run the id.
func (s *Service) downgradeNotRun(rep reply, idFromCaller bool) reply {
	if idFromCaller && !rep.confirmedNotRun && rep.outcome() == errkind.NotRun && callerMayRetry(rep.err) {
		rep.err = errkind.Wrap(errkind.OutcomeUnknown, errkind.ReasonOf(rep.err), rep.err)
	}
	return rep
}

// callerMayRetry reports whether the kind of err lets a caller retry.
func callerMayRetry(err error) bool { return errkind.ResponseOf(err).Retry != errkind.RetryNever }

// callRecorder runs r through a recorder. With keepID it is the recorder of r.id,
// else that of a newly minted id, which replaces r.id, so that a shard without a
// recorder is avoided.
func (s *Service) callRecorder(ctx context.Context, r *request, home zone.Region, keepID bool) reply {
	var key contract.Key
	var daemon string
	var epoch contract.Epoch
	if keepID {
		key = contract.IDsKey(home, Shard(r.id, s.cfg.Shards))
		return s.callRecorderOfID(ctx, r, key)
	} else {
		r.id, key, daemon, epoch = s.mintID(home)
	}
	return s.callRecorderAt(ctx, r, key, daemon, epoch)
}

// callRecorderAt runs r through the recorder at the daemon, which may be this one. An
// empty daemon means that no recorder is known.
func (s *Service) callRecorderAt(ctx context.Context, r *request, key contract.Key, daemon string,
	epoch contract.Epoch) reply {
	switch daemon {
	case "":
		return failed(errkind.New(errkind.NotReady, "no_recorder", "no recorder for %s", key))
	case s.self:
		return s.recorder.run(ctx, key, r)
	}
	return s.callDaemon(ctx, daemon, key, epoch, r, openRecordAndRun)
}

// callRecorderOfID calls the owner of the shard, to which the records of earlier
// recorders may have been handed over. If it does not have them, the recorder that
// the mint time was granted to may still be alive and remember the id.
func (s *Service) callRecorderOfID(ctx context.Context, r *request, key contract.Key) reply {
	owner, epoch, _ := s.cfg.Ownership.Owner(key)
	grantedTo, grantedEpoch, ok := s.grantedRecorder(key, int64(r.id.Time()))
	hasEarlierRecorder := ok && grantedTo != owner
	if owner == "" || s.loads.isDown(owner) {
		if hasEarlierRecorder {
			return s.callRecorderAt(ctx, r, key, grantedTo, grantedEpoch)
		}
	}
	rep := s.callRecorderAt(ctx, r, key, owner, epoch)
	if !hasEarlierRecorder || errkind.ReasonOf(rep.err) != "id_of_earlier_recorder" {
		return rep
	}
	earlierReply := s.callRecorderAt(ctx, r, key, grantedTo, grantedEpoch)
	switch errkind.Of(earlierReply.err) {
	case errkind.NotOwner, errkind.Draining, errkind.Unreachable:
		return rep // it has closed its range or cannot be reached
	}
	return earlierReply
}

// grantedRecorder returns the daemon that mint time ms was granted to and the epoch
// of the grant; ok is false if there is none or membership does not see it alive.
func (s *Service) grantedRecorder(key contract.Key, ms int64) (string, contract.Epoch, bool) {
	e, d, ok := s.cfg.Grants.Granted(key, ms)
	return d, e, ok && !s.loads.isDown(d)
}

// mintID returns a new id of a random shard of the region that has a live owner with a
// grant, with the key of the shard, its owner and the epoch of the grant; all are zero
// if there is no such shard. If the current time is not granted to the owner, the mint
// time lies at the end of the last grant, because only the owner can run the id.
func (s *Service) mintID(home zone.Region) (ulid.ULID, contract.Key, string, contract.Epoch) {
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
				return s.newShardID(ms, n), key, owner, e
			}
		}
	}
	return ulid.ULID{}, "", "", 0
}

// newShardID returns an id of shard n with mint time ms. Its random bits come from
// crypto/rand and not from the seeded source, so that daemons never mint the same id.
func (s *Service) newShardID(ms int64, n int) ulid.ULID {
	for {
		id := ulid.MustNew(uint64(ms), rand.Reader)
		if Shard(id, s.cfg.Shards) == n {
			return id
		}
	}
}

// newRequestID returns an id for a repeatable request, which needs no recorder, so that
// any shard will do.
func (s *Service) newRequestID(now time.Time) ulid.ULID {
	return ulid.MustNew(uint64(now.UnixMilli()), rand.Reader)
}
