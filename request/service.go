package request

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/link"
	"github.com/sassafraslb/sassafraslb/rpc"
	"github.com/sassafraslb/sassafraslb/zone"
)

// Service is the part of a daemon that handles requests. It is safe for concurrent use.
type Service struct {
	cfg       Config
	self      string
	rng       *lockedRand
	metrics   *metrics
	gate      *drainGate
	admission *admission
	retries   *retryBudget
	loads     *loadTable
	groups    *ownedGroups
	recorder  *recorder
}

// New returns a Service. It handles calls only while Run is running. The error tells that
// a required field of cfg is missing or that the metrics cannot be registered.
func New(cfg Config) (*Service, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	m, err := newMetrics(cfg.Metrics)
	if err != nil {
		return nil, errors.Wrap(err, "request metrics")
	}
	s := &Service{cfg: cfg, self: cfg.Peers.Self().ID, rng: newRand(cfg.Seed), metrics: m, gate: newDrainGate(),
		admission: newAdmission(cfg.MaxOpenCalls), retries: newRetryBudget(cfg.RetryRatio, cfg.RetryBurst)}
	s.loads, s.groups, s.recorder = newLoadTable(s), newOwnedGroups(s), newRecorder(s)
	return s, nil
}

// Register registers the service with the drpc server of the daemon.
func (s *Service) Register(mux drpc.Mux) error {
	return rpc.DRPCRegisterRequestPath(mux, server{s})
}

// Run keeps the service up to date with ownership, host list, membership and
// configuration until ctx ends. It always returns nil.
func (s *Service) Run(ctx context.Context) error {
	stopOwner := s.cfg.Ownership.Watch(s.groups.queueChange)
	defer stopOwner()
	stopView := s.cfg.View.Watch(s.setConfig)
	defer stopView()
	s.setConfig(s.cfg.View.Current())
	var g errgroup.Group
	loop := func(fn func(context.Context)) { g.Go(func() error { fn(ctx); return nil }) }
	loop(s.groups.changeLoop)
	loop(s.hostsLoop)
	loop(s.groups.probeLoop)
	loop(s.groups.reportLoop)
	loop(func(ctx context.Context) {
		every(ctx, s.cfg.ProbeInterval/10, func() { s.loads.setMembers(s.cfg.Peers.Members()) })
	})
	loop(func(ctx context.Context) {
		every(ctx, min(bucketMS*time.Millisecond, s.cfg.RecordRetention), func() { s.recorder.evict(time.Now()) })
	})
	return g.Wait()
}

// hostsLoop reads the host list periodically until ctx ends.
func (s *Service) hostsLoop(ctx context.Context) {
	every(ctx, s.cfg.HostsInterval, func() {
		// A host list that hangs must not delay the next attempt for long.
		callCtx, cancel := context.WithTimeout(ctx, 4*s.cfg.HostsInterval)
		defer cancel()
		hosts, err := s.cfg.Hosts.Hosts(callCtx)
		if err != nil {
			if ctx.Err() == nil {
				s.cfg.Log.Debug().Str("event", "host_list_failed").Err(err).Send()
			}
			return
		}
		s.loads.setHosts(hosts)
		s.groups.setHosts(hosts)
	})
}

// setConfig passes the home regions of all customers to the recorder. A nil state is
// ignored.
func (s *Service) setConfig(st *config.State) {
	if st == nil {
		return
	}
	regions := make(map[string]zone.Region, len(st.Customers))
	for name, c := range st.Customers {
		regions[name] = s.homeRegion(c)
	}
	s.recorder.setHomes(regions, time.Now())
}

// homeRegion returns the region whose recorders handle the ids of c. Without a
// configured home it is the first region of the topology, so that all daemons agree.
func (s *Service) homeRegion(c config.Customer) zone.Region {
	if c.Home != "" {
		return c.Home
	}
	return s.cfg.Topology.Regions()[0]
}

// Do runs c and returns its complete answer. The kind of an error tells whether c
// ran: see errkind.ResponseOf. For a non-repeatable class with an id given by the
// caller, the outcome "not run" covers all calls with that id, also earlier ones.
func (s *Service) Do(ctx context.Context, c Call) (Answer, error) {
	arrived := time.Now()
	rep := s.admitAndRun(ctx, c, arrived)
	class := string(c.Class)
	if !c.Class.Valid() {
		class = "unknown"
	}
	s.metrics.observe(class, rep, time.Since(arrived))
	return rep.answer, rep.err
}

// admitAndRun validates and admits c and runs it on a group, or through the recorder if its
// class is not repeatable.
func (s *Service) admitAndRun(ctx context.Context, c Call, now time.Time) reply {
	r, err := s.parse(c, now)
	if err != nil {
		return failed(err)
	}
	idFromCaller := c.ID != ""
	needsRecorder := !r.class.Repeatable()
	refuse := func(err error) reply { return s.downgradeNotRun(failed(err), idFromCaller && needsRecorder) }
	if !s.gate.enter() {
		return refuse(errkind.New(errkind.Draining, "daemon_draining", "daemon %s is draining", s.self))
	}
	defer s.gate.leave()
	customer, err := s.customer(r.customer)
	if err != nil && idFromCaller && needsRecorder {
		// The configuration of this daemon may be older than that of a daemon that
		// has run the id already.
		return failed(errkind.Wrap(errkind.OutcomeUnknown, errkind.ReasonOf(err), err))
	}
	if err != nil {
		return refuse(err)
	}
	r.weight = customer.Weight
	done, err := s.admission.enter(customer, r.class, s.entryCount())
	if err != nil {
		return refuse(err)
	}
	defer done()
	if needsRecorder {
		return s.runViaRecorder(ctx, r, s.homeRegion(customer), idFromCaller)
	}
	if !idFromCaller {
		r.id = s.newRequestID(now)
	}
	return s.dispatch(ctx, r)
}

// customer returns the customer of that name from the active configuration.
func (s *Service) customer(name string) (config.Customer, error) {
	st := s.cfg.View.Current()
	if st == nil {
		return config.Customer{}, errkind.New(errkind.NotReady, "no_configuration", "no configuration yet")
	}
	c, ok := st.Customers[name]
	if !ok {
		return c, errkind.New(errkind.NotFound, "unknown_customer", "customer %q is not in the configuration", name)
	}
	c.Name = name
	return c, nil
}

// entryCount returns the number of daemons among which the limits of customers are split.
func (s *Service) entryCount() int {
	n := 0
	for _, m := range s.cfg.Peers.Members() {
		if m.State == link.Alive || m.State == link.Suspected {
			n++
		}
	}
	return n
}

// Drain refuses new calls with kind Draining and waits until the open ones have
// ended. If ctx ends first, it returns the error of ctx.
func (s *Service) Drain(ctx context.Context) error { return s.gate.drain(ctx) }
