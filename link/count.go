package link

import (
	"net"

	"github.com/sassafraslb/sassafraslb/zone"
)

// CountConn returns conn with its bytes counted at distance d. It serves connections
// that are not between daemons, such as those to the log.
func (c *ByteCounters) CountConn(conn net.Conn, d zone.Distance) net.Conn {
	return newCountedConn(conn, c, d)
}
