package contract

import (
	"context"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/sassafraslb/sassafraslb/link"
)

// fixedMembers are daemons whose states and last signs of life the test sets.
type fixedMembers struct {
	members []link.Member
	heard   map[string]time.Time
}

func (f *fixedMembers) Self() link.Member      { return f.members[0] }
func (f *fixedMembers) Members() []link.Member { return f.members }
func (f *fixedMembers) Eligible(string) bool   { return true }
func (f *fixedMembers) UpdateMembers(...link.Member) {
}

func (f *fixedMembers) HeardSince(id string, t time.Time) bool { return f.heard[id].After(t) }

func (f *fixedMembers) Conn(context.Context, string) (drpc.Conn, error) { return nil, context.Canceled }

// deadOwner returns a Claimer "a" that may claim the key of the dead "b", the
// members that it sees, and whether it claims at a moment.
func deadOwner(dState link.State, dHeard time.Time) (c *Claimer, members *fixedMembers, due func(time.Time) bool) {
	k := RackKey("z", "1")
	l := ownedByB(k)
	l.add(kindJoin, Daemon{ID: "d", Incarnation: 1})
	c = unitClaimer(l)
	members = &fixedMembers{
		members: []link.Member{{ID: "a", State: link.Alive}, {ID: "b", State: link.Dead}, {ID: "d", State: dState}},
		heard:   map[string]time.Time{"d": dHeard},
	}
	c.cfg.Members, c.joined, c.hostsOK, c.keys = members, true, true, []Key{k}
	return c, members, func(at time.Time) bool {
		c.confirmed = at
		return len(c.dueClaims(at).Keys) > 0
	}
}

// Guards against a daemon that is cut off and claims the keys of the first peer
// that it loses, before it has lost the second one.
func TestNoClaimBetweenTwoLosses(t *testing.T) {
	now := time.Now()
	_, members, due := deadOwner(link.Alive, now.Add(-time.Millisecond))
	if due(now) || due(now.Add(time.Second)) {
		t.Error("key claimed while no other daemon has been heard since its owner died")
	}
	members.heard["d"] = now.Add(time.Second)
	if !due(now.Add(time.Second)) {
		t.Error("key of a dead owner not claimed although a majority has been heard since")
	}
}

// Guards against a daemon that was cut off and claims the keys of a peer that it
// hears again a little later than the others.
func TestNoClaimRightAfterIsolation(t *testing.T) {
	now := time.Now()
	c, members, due := deadOwner(link.Dead, now.Add(time.Hour))
	if due(now) {
		t.Error("isolated daemon claims")
	}
	members.members[2].State = link.Alive
	if due(now.Add(c.cfg.ReturnWait - time.Millisecond)) {
		t.Error("key claimed before all peers could be heard again")
	}
	if !due(now.Add(c.cfg.ReturnWait)) {
		t.Error("key of a dead owner not claimed after the wait")
	}
}
