package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// maxPlanInterval is the longest wait for a signal before the next planning pass, and before the
	// next flush of job state.
	maxPlanInterval = 50 * time.Millisecond
	// minPlanInterval is the shortest pause between two planning passes.
	minPlanInterval = 6 * time.Millisecond
	// planPauseFactor times the duration of a planning pass is the least pause after it, so that
	// planning takes at most a quarter of one processor under any backlog.
	planPauseFactor = 3
	// minFlushInterval is the pause after each flush of job state. It bounds the rate of calls to
	// the log.
	minFlushInterval = 15 * time.Millisecond
	// restoreRetryWait is the wait before a failed takeover, or a failed read of the newest entries of
	// a stream, is repeated, and between two checks for a first configuration.
	restoreRetryWait = 150 * time.Millisecond
	// hostListReadWait is how long one read of the host list waits for new entries. A machine that
	// drains must take no new work 2.5 s later, even if a read is lost on a silent link.
	hostListReadWait = time.Second
	// hostListBatchPause is the pause after new entries in the host list, so that the entries of
	// several machines, each written at its own time, cost one read.
	hostListBatchPause = 250 * time.Millisecond
	// maxPeerAge is how long after its last registration a daemon counts as alive.
	maxPeerAge = 1500 * time.Millisecond
	// maxPlanDelay is the delay of a planning pass beyond maxPlanInterval that counts as too long.
	// After maxPlanDelays such delays in a row the leader resigns, since its host is too slow.
	maxPlanDelay  = 400 * time.Millisecond
	maxPlanDelays = 3
)

// leadership is the state of the leader during one term: it runs the scheduling engine, polls the
// machines, sends orders to them and stores the engine's records in the log.
type leadership struct {
	daemon    *Daemon
	term      int64
	logger    zerolog.Logger
	clock     Clock
	startedAt time.Duration // before the job state is read

	mu             sync.Mutex
	engine         *sched.Engine
	restored       chan struct{}                 // closed when the engine has the job state
	recordsStored  chan struct{}                 // closed and replaced when records have been stored
	pollCancels    map[string]context.CancelFunc // stop the pollers, by machine id
	peers          map[string]*peer              // by address
	hostList       map[string]sched.Machine      // by machine id; only watchMachines uses it, without mu
	adviceSenders  map[string]*adviceSender      // by address, empty for this daemon
	reach          machineReach
	changes        openChanges
	leaving        atomic.Bool   // it hands over
	shownTenants   []string      // tenants with gauges; only runPlanning uses it, and runLeadership after its end
	tenantsShownAt time.Duration // when the gauges of tenants were last set

	planSignal  chan struct{}
	flushSignal chan struct{}
	pollSlots   chan struct{} // holds one token for each running poll that does not wait for an end
}

// runLeadership leads the cell for one term, until ctx ends. It returns early if another daemon
// has taken over the job state.
func (d *Daemon) runLeadership(ctx context.Context, term int64) {
	leader := Leader{Term: term}
	logger := d.logger.With().Int64("term", term).Logger()
	l := &leadership{
		daemon: d, term: term, logger: logger, clock: d.clock, restored: make(chan struct{}), recordsStored: make(chan struct{}),
		pollCancels: make(map[string]context.CancelFunc), peers: make(map[string]*peer), hostList: make(map[string]sched.Machine),
		adviceSenders: make(map[string]*adviceSender),
		planSignal:    make(chan struct{}, 1), flushSignal: make(chan struct{}, 1), pollSlots: make(chan struct{}, maxConcurrentPolls),
	}
	began := d.clock()
	l.startedAt = began
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { l.watchMachines(ctx) }) // reads the host list while the job state is read
	records, ok := l.takeOver(ctx)
	if !ok {
		return
	}
	config := d.waitConfig(ctx)
	if config == nil {
		return
	}
	cfg := d.settings.Engine
	cfg.Token, cfg.Logger = leader.Token(), logger
	l.engine = sched.New(cfg, began)
	l.setConfig(config)
	l.engine.Restore(records, d.clock(), time.Now())
	close(l.restored)
	d.leadership.Store(l)
	// From here on applyConfig hands new configurations to l. One that arrived since config was loaded was not.
	if newest := d.config.Load(); newest != config {
		l.setConfig(newest)
	}
	d.settings.Metrics.Leading.Set(1)
	defer d.relaxGC()()
	logger.Info().Str("event", "leading").Int("records", len(records)).Int64("after_ms", (d.clock() - began).Milliseconds()).Send()
	defer func() {
		d.leadership.Store(nil)
		d.settings.Metrics.Leading.Set(0)
		d.settings.Metrics.LiveJobs.Set(0)
		d.settings.Metrics.JobBytes.Set(0)
		d.settings.Metrics.WaitingSteps.Set(0)
		d.settings.Metrics.StepsAtCap.Set(0)
		d.settings.Metrics.setTenantGauges(nil, l.shownTenants)
		d.settings.Metrics.clearLoad()
		logger.Info().Str("event", "leading_ended").Send()
	}()
	group.Go(func() { l.runPlanning(ctx, &group) })
	group.Go(func() { l.storeRecords(ctx) })
	l.runPollers(ctx, &group)
	<-ctx.Done()
	group.Wait()
	d.settings.Machines.CloseIdleConnections()
}

// waitConfig waits for a configuration and returns it, or nil if ctx ends first.
func (d *Daemon) waitConfig(ctx context.Context) *Config {
	for {
		if c := d.config.Load(); c != nil {
			return c
		}
		if !pause.For(ctx, restoreRetryWait) {
			return nil
		}
	}
}

// setConfig hands the tenants and queues of a configuration to the engine.
func (l *leadership) setConfig(c *Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine.SetTenants(c.Version, lo.Map(c.Tenants, func(t Tenant, _ int) sched.Tenant { return t.Tenant }))
	queues := make([]sched.Queue, 0, len(c.Routes))
	for _, r := range c.Routes {
		queues = append(queues, r.Queue)
	}
	l.engine.SetQueues(c.Version, queues)
}

// notify signals the receiver of c without blocking. c has a buffer of one, so signals that are
// not yet received merge into one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// submit accepts a job and returns once it is stored.
func (l *leadership) submit(ctx context.Context, who Caller, job *sched.Job) error {
	stored := make(chan error, 1)
	l.mu.Lock()
	err := errJobIDTaken
	if l.isFor(who, job.ID) {
		err = l.engine.Submit(*job, l.clock(), time.Now(), func(err error) { stored <- err })
	}
	l.mu.Unlock()
	if err != nil {
		l.daemon.settings.Metrics.countRefusal(err)
		l.logger.Info().Str("event", "job_refused").Str("job", job.ID).Str("queue", job.Queue).Err(err).Send()
		return err
	}
	notify(l.flushSignal)
	return l.waitAccepted(ctx, job, stored)
}

// tenureCheckInterval is how often a submission that waits until its record is stored checks
// whether the tenure still holds.
const tenureCheckInterval = 50 * time.Millisecond

// waitAccepted waits until a job is stored. A job that has not been sent to the log by the end
// of the tenure is withdrawn, so that its caller learns that it never runs and when to retry,
// instead of an unknown outcome.
func (l *leadership) waitAccepted(ctx context.Context, job *sched.Job, stored chan error) error {
	check := time.NewTicker(tenureCheckInterval)
	defer check.Stop()
	for {
		select {
		case err := <-stored:
			return err
		case <-ctx.Done():
			return notStoredInTime()
		case <-check.C:
		}
		if l.daemon.tenure.Held() {
			continue
		}
		l.mu.Lock()
		withdrawn := l.engine.Withdraw(job.ID)
		l.mu.Unlock()
		if withdrawn {
			l.logger.Info().Str("event", "job_withdrawn").Str("job", job.ID).Str("queue", job.Queue).Send()
			return l.daemon.tenureOver("the leader's tenure ended before the job was stored")
		}
	}
}

// notStoredInTime returns the error of a caller whose time is over: the record may still be stored.
func notStoredInTime() error {
	return errkind.New(errkind.AppendUnknown, "not_stored_in_time", "the record is not stored yet")
}

func (l *leadership) jobState(who Caller, id string) (sched.JobState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isFor(who, id) {
		return "", false
	}
	return l.engine.State(id)
}

// cancel cancels a job and returns once that is stored. It reports false if there is no such job for the
// caller.
func (l *leadership) cancel(ctx context.Context, who Caller, id string) (bool, error) {
	stored := make(chan struct{})
	l.mu.Lock()
	known := l.isFor(who, id) && l.engine.Cancel(id, l.clock(), func() { close(stored) })
	l.mu.Unlock()
	if !known {
		return false, nil
	}
	notify(l.flushSignal)
	notify(l.planSignal)
	select {
	case <-stored:
		return true, nil
	case <-ctx.Done():
		return true, notStoredInTime()
	}
}

// pending returns the number of accepted jobs without a started task, by queue.
func (l *leadership) pending() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine.Pending()
}

// runPlanning makes planning passes until ctx ends. It resigns when the passes are delayed
// repeatedly.
func (l *leadership) runPlanning(ctx context.Context, group *sync.WaitGroup) {
	delays := 0
	starts, stops := newOrderQueue(group), newOrderQueue(group)
	for ctx.Err() == nil {
		began := l.clock()
		select {
		case <-ctx.Done():
			return
		case <-l.planSignal:
		case <-time.After(maxPlanInterval):
		}
		now := l.clock()
		if now-began > maxPlanInterval+maxPlanDelay {
			delays++
			l.logger.Warn().Str("event", "planning_delayed").Int64("delay_ms", (now - began).Milliseconds()).Send()
			if delays >= maxPlanDelays {
				l.daemon.tenure.Resign("planning on this daemon is delayed repeatedly")
				return
			}
		} else {
			delays = 0
		}
		l.planOnce(ctx, group, starts, stops)
		pause.For(ctx, max(minPlanInterval, planPauseFactor*(l.clock()-now)))
	}
}

// planOnce makes one planning pass of the engine, refreshes the known daemons and the gauges, and
// starts goroutines that send the resulting orders and advice requests. It does nothing while the
// tenure is not held, or when the leader is about to resign.
func (l *leadership) planOnce(ctx context.Context, group *sync.WaitGroup, starts, stops *orderQueue) {
	if !l.daemon.tenure.Held() || l.changes.isClosed() {
		return
	}
	l.mu.Lock()
	now := l.clock()
	orders := l.engine.Plan(now)
	adviceRequests := l.assignAdviceRequests(now)
	l.refreshPeers(now)
	stats := l.engine.Stats()
	var tenants []sched.TenantShare
	if now-l.tenantsShownAt >= tenantMetricsInterval {
		tenants, l.tenantsShownAt = l.engine.TenantShares(), now
		l.daemon.settings.Metrics.showFailingMachines(l.engine.FailingMachines(now))
	}
	l.mu.Unlock()
	l.daemon.settings.Metrics.LiveJobs.Set(float64(stats.LiveJobs))
	l.daemon.settings.Metrics.JobBytes.Set(float64(stats.JobBytes))
	l.daemon.settings.Metrics.WaitingSteps.Set(float64(stats.WaitingSteps))
	l.daemon.settings.Metrics.StepsAtCap.Set(float64(stats.StepsAtCap))
	l.shownTenants = l.daemon.settings.Metrics.setTenantGauges(stats.Tenants, l.shownTenants)
	l.daemon.settings.Metrics.showLoad(stats, tenants)
	for _, o := range orders.Stops {
		stops.add(ctx, order{key: orderKey{o.Machine.ID, o.Task, o.Run}, send: func() { l.sendStop(ctx, o) }})
	}
	for _, o := range orders.Starts {
		starts.add(ctx, order{
			key: orderKey{o.Machine.ID, o.Task, o.Run},
			send: func() {
				if outcome := l.sendStart(ctx, o); outcome == sched.Unanswered || outcome == sched.Unreached {
					starts.skipWaiting(o.Machine.ID) // their tasks are placed on other machines
				}
			},
			skip: func() { l.recordStart(o, sched.MachineSilent) },
		})
	}
	for _, a := range adviceRequests {
		group.Go(func() { l.requestAdvice(ctx, a) })
	}
}
