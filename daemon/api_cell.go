package daemon

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/job"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/request"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// KeyOwner is a key with its owner, as one daemon knows it. Owner is empty and Epoch 0 if it
// knows of no owner.
type KeyOwner struct {
	Key   string `json:"key"`
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch"`
	Held  bool   `json:"mine" doc:"this daemon owns it and may act"`
}

// MemberView is the state of a daemon as the answering one sees it.
type MemberView struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	State  string `json:"state"`
}

// LinkBytes holds the bytes received and sent by the answering daemon on the connections of
// one distance, since its start.
type LinkBytes struct {
	Distance string `json:"distance"`
	In       uint64 `json:"in"`
	Out      uint64 `json:"out"`
}

// Cell is the state of the cell as one daemon knows it. Requests, Workers and Jobs cover
// only that daemon.
type Cell struct {
	Daemon   string                 `json:"daemon"`
	Zone     string                 `json:"zone"`
	TimeZone string                 `json:"time_zone"`
	Uptime   string                 `json:"uptime"`
	Regions  map[string][]zone.Name `json:"regions"`
	Members  []MemberView           `json:"members"`
	Keys     []KeyOwner             `json:"keys" doc:"keys of this daemon's region"`
	Links    []LinkBytes            `json:"links"`
	Requests request.Stats          `json:"requests"`
	Workers  []job.WorkerStats      `json:"workers" doc:"workers of the racks that this daemon owns"`
	Jobs     []job.ShardStats       `json:"jobs" doc:"job shards that this daemon owns"`
}

type cellOutput struct{ Body Cell }
type doctorOutput struct{ Body []Problem }
type levelInput struct {
	Body struct {
		Level string `json:"level" enum:"trace,debug,info,warn,error"`
	}
}

// routeCell registers the operations that show the cell, report problems and set the log level.
func (d *Daemon) routeCell(api huma.API) {
	cell := operation("show-cell", http.MethodGet, "/v1/cell", "Members, keys, links and queues as this daemon sees them")
	huma.Register(api, cell, func(ctx context.Context, _ *struct{}) (*cellOutput, error) {
		c, err := d.cellView(ctx)
		if err != nil {
			return nil, toAPIError(err)
		}
		return &cellOutput{c}, nil
	})
	doctor := operation("doctor", http.MethodGet, "/v1/doctor", "What this daemon cannot do at the moment, and why")
	huma.Register(api, doctor, func(ctx context.Context, _ *struct{}) (*doctorOutput, error) {
		return &doctorOutput{d.problems(ctx)}, nil
	})
	level := operation("set-log-level", http.MethodPut, "/v1/log-level", "Change the log level of this daemon until it restarts")
	huma.Register(api, level, func(_ context.Context, in *levelInput) (*struct{}, error) {
		l, err := zerolog.ParseLevel(in.Body.Level)
		if err != nil {
			return nil, toAPIError(errkind.New(errkind.BadInput, "log_level", "%s", err))
		}
		zerolog.SetGlobalLevel(l)
		d.log.WithLevel(zerolog.InfoLevel).Str("event", "log_level_set").Str("level", in.Body.Level).Send()
		return nil, nil
	})
}

// cellView collects the body of GET /v1/cell.
func (d *Daemon) cellView(ctx context.Context) (Cell, error) {
	c := Cell{
		Daemon: d.settings.DaemonID, Zone: string(d.settings.Zone), TimeZone: d.settings.TimeZone,
		Uptime:   time.Since(d.started).Round(time.Second).String(),
		Regions:  make(map[string][]zone.Name),
		Requests: do.MustInvoke[*request.Service](d.injector).Stats(),
		Workers:  do.MustInvoke[*job.RackOwner](d.injector).Stats(),
		Jobs:     do.MustInvoke[*job.Scheduler](d.injector).Stats(),
	}
	for r, zones := range d.settings.Regions {
		c.Regions[string(r)] = zones
	}
	for _, m := range do.MustInvoke[*link.Membership](d.injector).Members() {
		c.Members = append(c.Members, MemberView{m.ID, string(m.Zone), string(m.Region), string(m.State)})
	}
	keys, err := d.keyOwners(ctx)
	if err != nil {
		return c, err
	}
	c.Keys = keys
	for distance, b := range do.MustInvoke[*link.ByteCounters](d.injector).Snapshot() {
		c.Links = append(c.Links, LinkBytes{distance.String(), b.In, b.Out})
	}
	sort.Slice(c.Links, func(i, j int) bool { return c.Links[i].Distance < c.Links[j].Distance })
	return c, nil
}

// keyOwners returns all keys of this daemon's region with their owners. It returns an error
// if the host list cannot be read.
func (d *Daemon) keyOwners(ctx context.Context) ([]KeyOwner, error) {
	hosts, err := do.MustInvoke[upstream.HostList](d.injector).Hosts(ctx)
	if err != nil {
		return nil, err
	}
	claimer := do.MustInvoke[*contract.Claimer](d.injector)
	topology := do.MustInvoke[*zone.Topology](d.injector)
	var out []KeyOwner
	for _, k := range contract.KeySet(hosts, topology, d.settings.Region(), d.settings.JobShards, d.settings.IDShards) {
		keyOwner := KeyOwner{Key: string(k)}
		owner, epoch, ok := claimer.Owner(k)
		if ok {
			keyOwner.Owner, keyOwner.Epoch = owner, uint64(epoch)
		}
		_, keyOwner.Held = claimer.Tenure(k)
		out = append(out, keyOwner)
	}
	return out, nil
}
