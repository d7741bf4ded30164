package link

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/sassafraslb/sassafraslb/zone"
)

const (
	preambleMagic    = "SLB1" // first bytes of every connection; the length and the name of the dialer's zone follow
	numDistances     = int(zone.CrossRegion) + 1
	maxZoneNameBytes = 255 // bytes; the length is sent in one byte
)

// ByteCounts counts the bytes received and sent over connections of one distance.
type ByteCounts struct{ In, Out uint64 }

// ByteCounters counts the bytes of connections per distance. The zero value is ready.
type ByteCounters struct {
	in, out [numDistances]atomic.Uint64
}

// Snapshot returns the counts per distance.
func (c *ByteCounters) Snapshot() map[zone.Distance]ByteCounts {
	m := make(map[zone.Distance]ByteCounts, numDistances)
	for d := range numDistances {
		m[zone.Distance(d)] = ByteCounts{In: c.in[d].Load(), Out: c.out[d].Load()}
	}
	return m
}

// CountConn returns conn with its bytes counted at distance d. It is meant for connections
// to other services, such as the log.
func (c *ByteCounters) CountConn(conn net.Conn, d zone.Distance) net.Conn {
	return newCountedConn(conn, c, d)
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	counters *ByteCounters
	distance atomic.Int32 // a zone.Distance
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.in[c.distance.Load()].Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.out[c.distance.Load()].Add(uint64(n))
	return n, err
}

// newCountedConn returns c with its bytes counted at distance d.
func newCountedConn(c net.Conn, counters *ByteCounters, d zone.Distance) *countedConn {
	cc := &countedConn{Conn: c, counters: counters}
	cc.distance.Store(int32(d))
	return cc
}

// sendPreamble sends the dialer's zone, from which the acceptor derives the distance.
func sendPreamble(c net.Conn, z zone.Name) error {
	if len(z) > maxZoneNameBytes {
		return errors.Errorf("zone name of %d bytes is too long", len(z))
	}
	_, err := c.Write(append(append([]byte(preambleMagic), byte(len(z))), z...))
	return err
}

// acceptedConn reads the preamble on the first Read, so that a slow dialer delays the
// goroutine that serves the connection and not the accept loop.
type acceptedConn struct {
	*countedConn
	topology     *zone.Topology
	self         zone.Name
	preambleRead bool
}

// Read implements net.Conn. It is called from one goroutine only.
func (c *acceptedConn) Read(p []byte) (int, error) {
	if !c.preambleRead {
		if err := c.readPreamble(); err != nil {
			return 0, err
		}
		c.preambleRead = true
	}
	return c.countedConn.Read(p)
}

// readPreamble reads the preamble, sets the distance and counts the preamble at it.
func (c *acceptedConn) readPreamble() error {
	head := make([]byte, len(preambleMagic)+1)
	if _, err := io.ReadFull(c.Conn, head); err != nil {
		return err
	}
	if string(head[:len(preambleMagic)]) != preambleMagic {
		return errors.New("connection does not start with the preamble")
	}
	name := make([]byte, head[len(preambleMagic)])
	if _, err := io.ReadFull(c.Conn, name); err != nil {
		return err
	}
	d := c.topology.Distance(c.self, zone.Name(name))
	c.distance.Store(int32(d))
	c.counters.in[d].Add(uint64(len(head) + len(name)))
	return nil
}

// wrappingListener passes each accepted connection through wrap.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}
