package cell

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/pause"
	"github.com/sassafraslb/sassafraslb/sched"
)

const (
	// planEvery is the longest time between two passes of the engine.
	planEvery = 50 * time.Millisecond
	// planGap is the shortest time between two passes.
	planGap = 6 * time.Millisecond
	// planRest times the duration of a pass is the pause after it: planning takes at
	// most a quarter of the leader's processor under any backlog.
	planRest = 3
	// flushGap is the shortest time between two appends of job state. It bounds the
	// calls to the log.
	flushGap = 15 * time.Millisecond
	// restoreRetry is the wait after the stored state could not be read.
	restoreRetry = 150 * time.Millisecond
	// machinesWait is how long one read of the host list waits for news. A machine
	// that drains takes no new work 2.5 s later, also if a read has gone silent.
	machinesWait = time.Second
	// machinesGather is the pause after news in the host list, where every machine
	// writes at its own time.
	machinesGather = 250 * time.Millisecond
	// peerAge is how long after its last report a daemon counts as alive.
	peerAge = 1500 * time.Millisecond
	// stallLimit is the delay of the planning loop at which the leader is taken for
	// too slow, and stallCount how many such delays in a row make it give up.
	stallLimit = 400 * time.Millisecond
	stallCount = 3
)

// lead is the work of the leader during one term.
type lead struct {
	d     *Daemon
	term  int64
	log   zerolog.Logger
	clock Clock
	began time.Duration

	mu       sync.Mutex
	engine   *sched.Engine
	stored   chan struct{}                 // closed and replaced when records have been stored
	tended   map[string]context.CancelFunc // machines that are looked at
	peers    map[string]*peer              // by address
	list     map[string]sched.Machine
	advisors map[string]*advisorState

	planSoon  chan struct{}
	flushSoon chan struct{}
	looks     chan struct{} // holds one token for each look that does not wait for an end
}

// runLead leads the cell until ctx ends.
func (d *Daemon) runLead(ctx context.Context, term int64) {
	leader := Leader{Term: term}
	log := d.log.With().Int64("term", term).Logger()
	l := &lead{
		d: d, term: term, log: log, clock: d.clock, stored: make(chan struct{}),
		tended: make(map[string]context.CancelFunc), peers: make(map[string]*peer), list: make(map[string]sched.Machine),
		advisors: make(map[string]*advisorState),
		planSoon: make(chan struct{}, 1), flushSoon: make(chan struct{}, 1), looks: make(chan struct{}, looksAtOnce),
	}
	began := d.clock()
	l.began = began
	records, ok := l.takeOver(ctx)
	if !ok {
		return
	}
	config := d.waitConfig(ctx)
	if config == nil {
		return
	}
	cfg := d.set.Engine
	cfg.Token, cfg.Logger = leader.Token(), log
	l.engine = sched.New(cfg, began)
	l.setConfig(config)
	l.engine.Restore(records, d.clock(), time.Now())
	d.lead.Store(l)
	d.set.Metrics.Leading.Set(1)
	defer d.collectSeldom()()
	log.Info().Str("event", "leading").Int("records", len(records)).Int64("after_ms", (d.clock() - began).Milliseconds()).Send()
	defer func() {
		d.lead.Store(nil)
		d.set.Metrics.Leading.Set(0)
		d.set.Metrics.LiveJobs.Set(0)
		d.set.Metrics.WaitingSteps.Set(0)
		log.Info().Str("event", "leading_ended").Send()
	}()
	var group sync.WaitGroup
	group.Go(func() { l.watchMachines(ctx) })
	group.Go(func() { l.plan(ctx, &group) })
	group.Go(func() { l.journal(ctx) })
	l.tend(ctx, &group)
	<-ctx.Done()
	group.Wait()
}

// waitConfig returns the configuration as soon as there is one.
func (d *Daemon) waitConfig(ctx context.Context) *Config {
	for {
		if c := d.config.Load(); c != nil {
			return c
		}
		if !pause.For(ctx, restoreRetry) {
			return nil
		}
	}
}

func (l *lead) setConfig(c *Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	queues := make([]sched.Queue, 0, len(c.Routes))
	for _, r := range c.Routes {
		queues = append(queues, r.Queue)
	}
	l.engine.SetQueues(c.Version, queues)
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// submit stores a job.
func (l *lead) submit(ctx context.Context, job *sched.Job) error {
	stored := make(chan struct{})
	l.mu.Lock()
	err := l.engine.Submit(*job, l.clock(), time.Now(), func() { close(stored) })
	l.mu.Unlock()
	if err != nil {
		l.log.Info().Str("event", "job_refused").Str("job", job.ID).Str("queue", job.Queue).Err(err).Send()
		return err
	}
	kick(l.flushSoon)
	return l.waitAccepted(ctx, job, stored)
}

// withdrawEvery is how often a submission that waits for its record checks whether
// the tenure still holds.
const withdrawEvery = 50 * time.Millisecond

// waitAccepted waits until a job is stored. A job that was not sent to the log by
// the end of the tenure is withdrawn: its caller learns that it never runs, and
// when to come back, instead of an unknown outcome.
func (l *lead) waitAccepted(ctx context.Context, job *sched.Job, stored chan struct{}) error {
	check := time.NewTicker(withdrawEvery)
	defer check.Stop()
	for {
		select {
		case <-stored:
			return nil
		case <-ctx.Done():
			return l.waitStored(ctx, stored)
		case <-check.C:
		}
		if l.d.tenure.Held() {
			continue
		}
		l.mu.Lock()
		withdrawn := l.engine.Withdraw(job.ID)
		l.mu.Unlock()
		if withdrawn {
			l.log.Info().Str("event", "job_withdrawn").Str("job", job.ID).Str("queue", job.Queue).Send()
			return errkind.New(errkind.NotReady, reasonTenureOver, "the leader's tenure ended before the job was stored")
		}
	}
}

func (l *lead) waitStored(ctx context.Context, stored chan struct{}) error {
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return errkind.New(errkind.AppendUnknown, "not_stored_in_time", "the record is not stored yet")
	}
}

func (l *lead) state(id string) (sched.JobState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine.State(id)
}

func (l *lead) cancel(ctx context.Context, id string) (bool, error) {
	stored := make(chan struct{})
	l.mu.Lock()
	known := l.engine.Cancel(id, l.clock(), func() { close(stored) })
	l.mu.Unlock()
	if !known {
		return false, nil
	}
	kick(l.flushSoon)
	kick(l.planSoon)
	return true, l.waitStored(ctx, stored)
}

func (l *lead) pending() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engine.Pending()
}

// plan runs the engine's passes and hands the orders out.
func (l *lead) plan(ctx context.Context, group *sync.WaitGroup) {
	slow := 0
	for ctx.Err() == nil {
		began := l.clock()
		select {
		case <-ctx.Done():
			return
		case <-l.planSoon:
		case <-time.After(planEvery):
		}
		now := l.clock()
		if now-began > planEvery+stallLimit {
			slow++
			l.log.Warn().Str("event", "planning_delayed").Int64("delay_ms", (now - began).Milliseconds()).Send()
			if slow >= stallCount {
				l.d.tenure.Resign("this daemon is too slow")
				return
			}
		} else {
			slow = 0
		}
		l.pass(ctx, group)
		pause.For(ctx, max(planGap, planRest*(l.clock()-now)))
	}
}

// pass makes one pass of the engine.
func (l *lead) pass(ctx context.Context, group *sync.WaitGroup) {
	if !l.d.tenure.Held() {
		return
	}
	l.mu.Lock()
	now := l.clock()
	orders := l.engine.Plan(now)
	asks := l.nextAsks(now)
	l.refreshPeers(now)
	stats := l.engine.Stats()
	l.mu.Unlock()
	l.d.set.Metrics.LiveJobs.Set(float64(stats.LiveJobs))
	l.d.set.Metrics.WaitingSteps.Set(float64(stats.WaitingSteps))
	for _, o := range orders.Stops {
		group.Go(func() { l.stop(ctx, o) })
	}
	for _, o := range orders.Starts {
		group.Go(func() { l.start(ctx, o) })
	}
	for _, a := range asks {
		group.Go(func() { l.ask(ctx, a) })
	}
}
