// Package link keeps the connections between daemons: one drpc connection and one
// goroutine per peer, heartbeats, membership, and byte counts per distance.
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
	Suspected State = "suspected"
	Dead      State = "dead"
	Left      State = "left"
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
	// Conn returns a connection to the daemon id. An error of kind
	// errkind.Unreachable means that nothing was sent.
	Conn(ctx context.Context, id string) (drpc.Conn, error)
}
