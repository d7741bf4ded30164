package job_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"time"

	"storj.io/drpc"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/job"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/placement"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/workload"
	"github.com/sassafraslb/sassafraslb/zone"
)

// onlyDaemon is the only daemon of its region and owns every key.
type onlyDaemon struct{ keys []contract.Key }

func (onlyDaemon) Owner(contract.Key) (string, contract.Epoch, bool) { return "d", 1, true }
func (onlyDaemon) Tenure(contract.Key) (contract.Tenure, bool) {
	return contract.Tenure{Epoch: 1, Deadline: time.Now().Add(time.Second)}, true
}
func (s onlyDaemon) Held() []contract.Key { return s.keys }
func (s onlyDaemon) Watch(fn func(contract.OwnerChange)) func() {
	for _, k := range s.keys {
		fn(contract.OwnerChange{Key: k, Epoch: 1, Owner: "d", Held: true})
	}
	return func() {}
}
func (onlyDaemon) Self() link.Member      { return link.Member{ID: "d"} }
func (onlyDaemon) Members() []link.Member { return []link.Member{{ID: "d"}} }
func (onlyDaemon) Conn(context.Context, string) (drpc.Conn, error) {
	return nil, errkind.New(errkind.Unreachable, "no_peer", "there is no other daemon")
}

// hosts is a fixed host list.
type hosts []upstream.Host

func (h hosts) Hosts(context.Context) ([]upstream.Host, error) { return h, nil }

// noIntentions is a configuration with one team and no jobs.
type noIntentions struct{}

func (noIntentions) Desired(time.Time) []workload.Job { return nil }
func (noIntentions) Team(team string) (config.Team, bool) {
	return config.Team{Name: team, Home: "lombardy", Weight: 1}, team == "valuations"
}

func Example() {
	size := machine.Resources{CPUMilli: 16_000, MemoryMiB: 32_768}
	worker := standin.NewWorker(standin.WorkerConfig{ID: "w1", Capacity: size})
	defer worker.Close()
	workerServer, logServer := httptest.NewServer(worker), httptest.NewServer(standin.NewLog(standin.LogConfig{}))
	defer workerServer.Close()
	defer logServer.Close()
	list := hosts{{ID: "w1", Kind: upstream.WorkerHost, Address: workerServer.Listener.Addr().String(),
		Zone: "lom-bergamo", Rack: "r1", State: upstream.Live, Resources: size}}
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo"}})
	if err != nil {
		fmt.Println(err)
		return
	}
	self := onlyDaemon{[]contract.Key{contract.RackKey("lom-bergamo", "r1"), contract.JobsKey("lombardy", 0)}}
	engine := func() job.Engine { return placement.New(placement.Config{}) }
	rack := job.NewRackOwner(job.RackOwnerConfig{Ownership: self, Peers: self, Hosts: list, Topology: topology,
		Region: "lombardy", NewEngine: engine, Shards: 1})
	scheduler := job.NewScheduler(job.SchedulerConfig{Ownership: self, Peers: self, Hosts: list, Topology: topology,
		Region: "lombardy", NewEngine: engine, Shards: 1, Intentions: noIntentions{},
		Log: upstream.NewLogClient(upstream.ClientConfig{BaseURL: logServer.URL})})
	job.ConnectInProcess(rack, scheduler)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = rack.Run(ctx); done <- struct{}{} }()
	go func() { _ = scheduler.Run(ctx); done <- struct{}{} }()

	lots := workload.Job{ID: "lots", Team: "valuations", Kind: workload.Batch, Count: 3, Priority: workload.Normal,
		Resources: machine.Resources{CPUMilli: 1_000, MemoryMiB: 512}, RunTime: 20 * time.Millisecond}
	status, err := scheduler.Submit(ctx, lots)
	for ; err != nil; status, err = scheduler.Submit(ctx, lots) {
		time.Sleep(20 * time.Millisecond) // refused until the shard has read its records
	}
	for !status.Final() {
		time.Sleep(20 * time.Millisecond)
		if s, err := scheduler.Status(ctx, lots.Team, lots.ID); err == nil {
			status = s
		}
	}
	fmt.Println(status.State, status.Finished)
	cancel()
	<-done
	<-done
	// Output: finished 3
}
