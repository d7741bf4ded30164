package contract

import (
	"context"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/sassafraslb/sassafraslb/link"
)

// fixedMembers implements Membership for daemons whose states, and times when they were last
// heard, the test sets. All of them are eligible.
type fixedMembers struct {
	members []link.Member
	heard   map[string]time.Time
}

func (f *fixedMembers) Self() link.Member      { return f.members[0] }
func (f *fixedMembers) Members() []link.Member { return f.members }
func (f *fixedMembers) Eligible(string) bool   { return true }
func (f *fixedMembers) SetKnown(...link.Member) {
}

func (f *fixedMembers) HeardSince(id string, t time.Time) bool { return f.heard[id].After(t) }

func (f *fixedMembers) Conn(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled }

// newDeadOwnerFixture returns a Claimer of daemon "a" that may claim the key of the dead
// daemon "b", the members that it sees, and a function that reports whether it claims the
// key at a given time. The third daemon "d" has state dState and was last heard at dHeard.
func newDeadOwnerFixture(dState link.State, dHeard time.Time) (c *Claimer, members *fixedMembers, due func(time.Time) bool) {
	k := RackKey("z", "1")
	l := newLogWithOwnerB(k)
	l.add(kindJoin, Daemon{ID: "d", Incarnation: 1})
	c = newIdleClaimer(l)
	members = &fixedMembers{
		members: []link.Member{{ID: "a", State: link.Alive}, {ID: "b", State: link.Dead}, {ID: "d", State: dState}},
		heard:   map[string]time.Time{"d": dHeard},
	}
	c.cfg.Members, c.joined, c.hostsRead, c.keys = members, true, true, []Key{k}
	return c, members, func(at time.Time) bool {
		c.confirmedAt = at
		return len(c.dueClaims(at).Keys) > 0
	}
}

// Guards against a daemon that is being isolated and claims keys of the first peer that it
// loses, before it has lost the second one and knows that it is isolated.
func TestNoClaimBeforeMajorityIsHeard(t *testing.T) {
	now := time.Now()
	_, members, due := newDeadOwnerFixture(link.Alive, now.Add(-time.Millisecond))
	if due(now) || due(now.Add(time.Second)) {
		t.Error("key claimed although no other daemon has been heard since its owner died")
	}
	members.heard["d"] = now.Add(time.Second)
	if !due(now.Add(time.Second)) {
		t.Error("key of a dead owner not claimed although a majority has been heard since")
	}
}

// Guards against a daemon that was isolated, hears the majority of its peers again, and
// claims the keys of a peer that it hears only a little later.
func TestNoClaimRightAfterIsolation(t *testing.T) {
	now := time.Now()
	c, members, due := newDeadOwnerFixture(link.Dead, now.Add(time.Hour))
	if due(now) {
		t.Error("isolated daemon claims a key")
	}
	members.members[2].State = link.Alive
	if due(now.Add(c.cfg.PostIsolationWait - time.Millisecond)) {
		t.Error("key claimed before all peers could be heard again")
	}
	if !due(now.Add(c.cfg.PostIsolationWait)) {
		t.Error("key of a dead owner not claimed after PostIsolationWait")
	}
}
