package link_test

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Guards against a connection that ends without the address of its far end in the log.
func TestEndedConnectionNamesPeer(t *testing.T) {
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"r1": {"z1"}})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var out bytes.Buffer
	logged := func() string { mu.Lock(); defer mu.Unlock(); return out.String() }
	server := link.NewServer(link.ServerConfig{
		Listener: listener, Zone: "z1", Topology: topology, Counters: &link.ByteCounters{},
		Logger: zerolog.New(writerFunc(func(p []byte) (int, error) { mu.Lock(); defer mu.Unlock(); return out.Write(p) })),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	eventually(t, "end of the connection logged", func() bool { return logged() != "" })
	if want := `"peer":"` + conn.LocalAddr().String() + `"`; !strings.Contains(logged(), want) {
		t.Errorf("log line lacks %s: %s", want, logged())
	}
}

// writerFunc is an io.Writer made of a function.
type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
