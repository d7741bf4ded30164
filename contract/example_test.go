package contract_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// A single daemon claims the job shard and the request-id shard of its region, and is granted
// a range of ids.
func Example() {
	logServer, hostServer := httptest.NewServer(standin.NewLog(standin.LogConfig{})), httptest.NewServer(standin.NewHostList(0))
	defer hostServer.Close()
	defer logServer.CloseClientConnections()
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	incarnation, counters := uint64(time.Now().UnixNano()), &link.ByteCounters{}
	members := link.NewMembership(link.Config{
		Self:        link.Member{ID: "a", Address: listener.Addr().String(), Zone: "lom-bergamo", Region: "lombardy"},
		Incarnation: incarnation, Topology: topology, Counters: counters,
	})
	direct := upstream.NewLogClient(upstream.ClientConfig{BaseURL: logServer.URL})
	claimer, err := contract.NewClaimer(contract.Config{
		Members: members, Incarnation: incarnation, Topology: topology, JobShards: 1, IDShards: 1,
		Log:   link.NewRelayedLog(link.RelayedLogConfig{Direct: direct, Peers: members, LogRegion: "lombardy"}),
		Hosts: upstream.NewHostClient(upstream.ClientConfig{BaseURL: hostServer.URL}),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	grants := contract.NewGrants(claimer, contract.GrantsConfig{})
	server := link.NewServer(link.ServerConfig{Listener: listener, Zone: "lom-bergamo", Topology: topology, Counters: counters})
	relay := link.NewRelay(link.RelayConfig{Direct: direct})
	for _, err := range []error{server.Register(members.Register), server.Register(claimer.Register), server.Register(relay.Register)} {
		if err != nil {
			fmt.Println(err)
			return
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, run := range []func(context.Context) error{server.Run, members.Run, claimer.Run, grants.Run} {
		go func() { _ = run(ctx) }()
	}
	shard := contract.IDsKey("lombardy", 0)
	for {
		if _, _, _, ok := grants.Range(shard); ok {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println(claimer.Held())
	// Output: [ids/lombardy/0 jobs/lombardy/0]
}
