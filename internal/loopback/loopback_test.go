package loopback

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
)

// firstPortVariable is the environment variable that is set in the second process of TestPortsOfTwoProcessesDiffer, to
// the first port that it tries.
const firstPortVariable = "LOOPBACK_TEST_FIRST_PORT"

// TestMain runs the tests or, in the second process of TestPortsOfTwoProcessesDiffer, prints the addresses that it
// chooses.
func TestMain(m *testing.M) {
	text := os.Getenv(firstPortVariable)
	if text == "" {
		os.Exit(m.Run())
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	tryNext(port)
	for range 20 {
		address, err := FreeAddress()
		if err != nil {
			panic(err)
		}
		fmt.Println(address)
	}
}

// tryNext makes port the next one that FreeAddress tries.
func tryNext(port int) {
	mu.Lock()
	defer mu.Unlock()
	offset := (os.Getpid() * pidStride) % portCount
	nextTry = (port - firstPort - offset + portCount) % portCount
}

// TestPortIsNotGivenToOutgoingConnections guards against a daemon that cannot listen, because the system has given its
// port to an outgoing connection between its choice and the daemon's start.
func TestPortIsNotGivenToOutgoingConnections(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skip("the range of the ports of outgoing connections is not known:", err)
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if port := freePort(t); port >= first && port <= last {
			t.Fatalf("port %d is one of %d to %d, which outgoing connections use", port, first, last)
		}
	}
}

// TestPortsOfTwoProcessesDiffer guards against two test binaries that choose the same port before one of them has
// started the process that is to listen on it.
func TestPortsOfTwoProcessesDiffer(t *testing.T) {
	chosen := make(map[string]bool)
	first := freePort(t)
	for range 20 {
		chosen[fmt.Sprintf("127.0.0.1:%d", freePort(t))] = true
	}
	second := exec.Command(os.Args[0])
	second.Env = append(os.Environ(), fmt.Sprintf("%s=%d", firstPortVariable, first))
	out, err := second.Output()
	if err != nil {
		t.Fatal(err)
	}
	addresses := strings.Fields(string(out))
	if len(addresses) != 20 {
		t.Fatalf("the second process chose %d addresses, want 20", len(addresses))
	}
	for _, address := range addresses {
		if chosen[address] || address == fmt.Sprintf("127.0.0.1:%d", first) {
			t.Errorf("both processes chose %s", address)
		}
	}
}

// freePort returns the port of a free address.
func freePort(t *testing.T) int {
	t.Helper()
	address, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return a.Port
}
