package link_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Two daemons detect that the other one is alive.
func Example() {
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := func(id string, z zone.Name) *link.Membership {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		counters := &link.ByteCounters{}
		members := link.NewMembership(link.Config{
			Self:        link.Member{ID: id, Address: listener.Addr().String(), Zone: z, Region: "lombardy"},
			Incarnation: uint64(time.Now().UnixNano()), Topology: topology, Counters: counters,
		})
		server := link.NewServer(link.ServerConfig{Listener: listener, Zone: z, Topology: topology, Counters: counters})
		if err := server.Register(members.Register); err != nil {
			panic(err)
		}
		go func() { _ = server.Run(ctx) }()
		go func() { _ = members.Run(ctx) }()
		return members
	}
	a, b := start("a", "lom-bergamo"), start("b", "lom-monza")
	a.UpdateMembers(b.Self())
	b.UpdateMembers(a.Self())
	for !a.Eligible("b") {
		time.Sleep(10 * time.Millisecond)
	}
	for _, m := range a.Members() {
		fmt.Println(m.ID, m.Zone, m.State)
	}
	// Output:
	// a lom-bergamo alive
	// b lom-monza alive
}
