// Package link connects the daemons of a cell over drpc. It keeps a heartbeat stream and a
// pool of connections per peer, detects which daemons are alive, relays the log to the
// daemons of a region, and counts the bytes sent and received per zone distance.
package link

import (
	"context"

	"storj.io/drpc"

	"github.com/sassafraslb/sassafraslb/zone"
)

// State is the state of a member as seen from this daemon.
type State string

// The member states.
const (
	Alive     State = "alive"
	Suspected State = "suspected" // not heard from yet, or not for Config.SuspectAfter
	Dead      State = "dead"      // suspected, and no other peer reached it either
	Left      State = "left"      // left the cell; it gets no heartbeats and no new calls
)

// Member is a daemon of the cell.
type Member struct {
	ID      string
	Address string // IP:port of the drpc listener
	Zone    zone.Name
	Region  zone.Region
	State   State
}

// Peers gives access to the other daemons.
type Peers interface {
	// Self returns this daemon's own entry.
	Self() Member
	// Members returns all known daemons, this one included.
	Members() []Member
	// Conn returns a connection to the daemon id, which must not be this one. An error of
	// kind errkind.Unreachable means that nothing was sent.
	Conn(ctx context.Context, id string) (drpc.Conn, error)
}
