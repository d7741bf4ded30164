// Package loopback chooses loopback addresses for processes that are told their address before they listen on it.
// Tests and the demo use it.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// firstPort and portCount are the range of the ports that FreeAddress returns. It lies below the range from which the
// system takes the ports of outgoing connections (32768 to 60999 by default on Linux): one of those could take a port
// between the moment when FreeAddress finds it free and the moment when a process listens on it.
const firstPort, portCount = 20000, 10000

// pidStride is the distance, in ports, between the first ports that processes with successive ids try. It only saves
// attempts: the reservation keeps two processes from choosing the same port.
const pidStride = 37

var (
	mu sync.Mutex
	// nextTry counts the ports that this process has tried.
	nextTry int
	// reservations holds a UDP socket on each port that this process has returned. While it is open, no call of
	// FreeAddress returns the port, in this process or another one.
	reservations []net.PacketConn
)

// FreeAddress returns an address of the loopback interface, host:port, on which nothing listens. Until this process
// ends, no other call of FreeAddress returns the port, in this process or another one, also while nothing listens on
// it. It returns an error if no port is free.
func FreeAddress() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+(os.Getpid()*pidStride+nextTry)%portCount)
		nextTry++
		reservation, err := net.ListenPacket("udp", address)
		if err != nil {
			continue // another process has reserved it
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close() // the port is of no use
			continue
		}
		if err := listener.Close(); err != nil {
			return "", errors.Wrap(err, "close the listener that found the port free")
		}
		reservations = append(reservations, reservation)
		return address, nil
	}
	return "", errors.Errorf("no free port from %d to %d", firstPort, firstPort+portCount-1)
}
