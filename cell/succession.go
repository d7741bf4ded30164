package cell

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxSuccessors is the number of daemons that the leader names as its successors. The second and
	// third are for a loss of several daemons at once.
	maxSuccessors = 3
	// takeoverMargin is how much longer than the leader's tenure a daemon waits for a heartbeat before it
	// claims leadership. It covers the drift of two clocks in that time.
	takeoverMargin = 100 * time.Millisecond
	// claimStep is the least delay between the claims of two successors, so that the second one sees the
	// claim of the first in the log.
	claimStep = 80 * time.Millisecond
	// claimSpread is the longest further delay of a claim that depends on the daemon's name, so that two
	// daemons that are no named successors rarely claim at the same time.
	claimSpread = 150 * time.Millisecond
	// roundTripFactor times the round trip to the log is a further delay of their claims, so that daemons
	// near the log are preferred.
	roundTripFactor = 12
	// weakShare is the share of the strongest daemon's processor capacity below which a daemon delays
	// its claim by weakClaimDelay. It then leads only if no stronger daemon claims before.
	weakShare      = 0.7
	weakClaimDelay = 700 * time.Millisecond
	// indirectClaimDelay is a further delay of a daemon that reaches the log only through others.
	indirectClaimDelay = 400 * time.Millisecond
)

// succession decides when a daemon claims leadership. It answers the death of a leader under load, when
// each tenth of a second without a leader costs the starts and the submissions of that time, and a
// fault that takes several daemons at once. Claims follow each other, since claims at the same time
// queue at the log and delay the heartbeats of the one that succeeds.
//
// It is safe for any values: a claim is stored only if its writer has read all heartbeats of the
// leader, and it is sent later than the tenure that the last one gives after that was read, and so after
// the end of this tenure:
//
//	sent by the leader <= read by the claimant
//	end of tenure = sent + tenure < read + tenure + takeoverMargin <= claim
type succession struct {
	leader       Leader // last known
	self         Leader
	weak         bool          // a much stronger daemon is known
	logRoundTrip time.Duration // least round trip to the log so far
	indirect     bool          // the log answers this daemon only through others
}

// rank returns the place of this daemon among the named successors, maxSuccessors if it is none.
func (s succession) rank() int {
	if i := slices.Index(s.leader.Successors[:], s.self.Daemon); i >= 0 {
		return i
	}
	return maxSuccessors
}

// claimDelay returns how long after the last heartbeat this daemon claims leadership.
func (s succession) claimDelay() time.Duration {
	if s.leader.Term != 0 && s.leader.Address == s.self.Address && s.leader.Incarnation != s.self.Incarnation {
		return 0 // the leader was a former process at this daemon's address, which is gone
	}
	delay := s.leader.tenure() + takeoverMargin
	if s.leader.Resigned {
		delay = 0
	}
	if s.indirect {
		delay += indirectClaimDelay
	}
	rank := s.rank()
	if s.leader.Successors[0] != "" {
		// A leader whose heartbeats take long has a longer tenure, and the log is slow.
		delay += time.Duration(rank) * (claimStep + s.leader.tenure() - minTenure)
	}
	if rank < maxSuccessors {
		return delay
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.self.Daemon)) // a hash does not fail
	delay += time.Duration(h.Sum32()%64)*claimSpread/64 + s.logRoundTrip*roundTripFactor
	if s.weak {
		delay += weakClaimDelay
	}
	return delay
}

// tenureFor returns how long a leader may give orders after a heartbeat, if the log answers heartbeats
// in at most the given time: until the second heartbeat after it is answered, within bounds.
func tenureFor(answerTime time.Duration) time.Duration {
	return min(max(minTenure, heartbeatInterval+2*answerTime+minHeartbeatPause), maxTenure)
}

// successor is a daemon that can succeed the leader.
type successor struct {
	name         string
	cores        float64       // processor capacity, 0 if not known
	logRoundTrip time.Duration // 0 if not known
}

// chooseSuccessors returns the names of the daemons that should claim first: those nearest to the log
// among all that are not much weaker than the strongest daemon, whose capacity is given.
func chooseSuccessors(daemons []successor, strongest float64) [maxSuccessors]string {
	daemons = slices.DeleteFunc(daemons, func(d successor) bool { return d.cores < weakShare*strongest })
	slices.SortFunc(daemons, func(a, b successor) int {
		return cmp.Or(cmp.Compare(a.logRoundTrip, b.logRoundTrip), cmp.Compare(a.name, b.name))
	})
	var names [maxSuccessors]string
	for i := range min(len(daemons), maxSuccessors) {
		names[i] = daemons[i].name
	}
	return names
}
