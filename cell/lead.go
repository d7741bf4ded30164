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
	// planGap is the shortest time between two passes. It bounds the processor time
	// of planning under load.
	planGap = 6 * time.Millisecond
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
	stored   chan struct{} // closed and replaced when records have been stored
	tended   map[string]*tending
	peers    map[string]*peer // by address
	list     map[string]sched.Machine
	advisors map[string]*advisorState

	planSoon  chan struct{}
	flushSoon chan struct{}
}

// peer is a daemon that reports to the leader.
type peer struct {
	name  string
	seen  time.Duration
	reach bool // it reaches the log
	cores float64
}

// runLead leads the cell until ctx ends.
func (d *Daemon) runLead(ctx context.Context, term int64) {
	leader := Leader{Term: term}
	log := d.log.With().Int64("term", term).Logger()
	l := &lead{
		d: d, term: term, log: log, clock: d.clock, stored: make(chan struct{}),
		tended: make(map[string]*tending), peers: make(map[string]*peer), list: make(map[string]sched.Machine),
		advisors: make(map[string]*advisorState),
		planSoon: make(chan struct{}, 1), flushSoon: make(chan struct{}, 1),
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
	log.Info().Str("event", "leading").Int("records", len(records)).Int64("after_ms", (d.clock() - began).Milliseconds()).Send()
	defer func() {
		d.lead.Store(nil)
		d.set.Metrics.Leading.Set(0)
		d.set.Metrics.Live.Set(0)
		d.set.Metrics.Waiting.Set(0)
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

// takeOver makes the log refuse the appends of former leaders, and reads what
// they have stored.
func (l *lead) takeOver(ctx context.Context) ([]sched.Record, bool) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, logTimeout)
		err := l.d.route.Append(limited, StreamState, nil, Fence{Epoch: l.term, Sequence: 0})
		cancel()
		if err == nil {
			break
		}
		if errkind.Of(err) == errkind.StaleEpoch {
			l.log.Warn().Str("event", "takeover_fenced").Err(err).Send()
			return nil, false
		}
		l.log.Warn().Str("event", "takeover_retried").Err(err).Send()
		pause.For(ctx, restoreRetry)
	}
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, 4*logTimeout)
		page, err := l.d.route.Newest(limited, StreamState)
		cancel()
		if err == nil {
			records := make([]sched.Record, 0, len(page.Entries))
			for _, e := range page.Entries {
				records = append(records, sched.Record{Key: e.Key, Value: e.Value})
			}
			return records, true
		}
		l.log.Warn().Str("event", "restore_retried").Err(err).Send()
		pause.For(ctx, restoreRetry)
	}
	return nil, false
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
	return l.waitStored(ctx, stored)
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

// hello takes the report of another daemon.
func (l *lead) hello(c *call) *reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	p := l.peers[c.Address]
	if p == nil {
		p = &peer{name: c.Daemon}
		l.peers[c.Address] = p
		l.log.Info().Str("event", "daemon_joined").Str("daemon", c.Daemon).Str("address", c.Address).Send()
	}
	p.seen, p.reach, p.cores = now, c.Reach, c.Cores
	out := &reply{Pending: l.engine.Pending()}
	if l.d.route.reaches() {
		out.Peers = append(out.Peers, l.d.tenure.cfg.Self.Address)
	}
	const relayLimit = 5 // a daemon needs few others to get through
	for address, p := range l.peers {
		if p.reach && address != c.Address && now-p.seen < peerAge && len(out.Peers) < relayLimit {
			out.Peers = append(out.Peers, address)
		}
	}
	return out
}

// refreshPeers forgets daemons that are silent and passes the others on as relays.
func (l *lead) refreshPeers(now time.Duration) {
	var relays []string
	for address, p := range l.peers {
		if now-p.seen > peerAge {
			delete(l.peers, address)
			l.log.Info().Str("event", "daemon_silent").Str("daemon", p.name).Int64("silent_ms", (now - p.seen).Milliseconds()).Send()
			continue
		}
		if p.reach {
			relays = append(relays, address)
		}
	}
	l.d.route.setRelays(relays)
	strongest, able := 0.0, 0.0
	for _, p := range l.peers {
		strongest = max(strongest, p.cores)
		if p.reach {
			able = max(able, p.cores)
		}
	}
	l.d.tenure.SetStrongest(strongest)
	if l.d.set.Cores < weakShare*able && now-l.began > strengthGrace {
		l.d.tenure.GiveUp("a much stronger daemon can lead")
	}
}

// strengthGrace is how long a weak daemon leads before it hands over to a stronger
// one, so that a cell in trouble has a leader for some time.
const strengthGrace = time.Second

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
				l.d.tenure.GiveUp("this daemon is too slow")
				return
			}
		} else {
			slow = 0
		}
		l.pass(ctx, group)
		pause.For(ctx, planGap)
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
	l.d.set.Metrics.Live.Set(float64(stats.Live))
	l.d.set.Metrics.Waiting.Set(float64(stats.WaitingSteps))
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

// journal stores what the engine hands out.
func (l *lead) journal(ctx context.Context) {
	sequence := int64(1)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.flushSoon:
		case <-time.After(planEvery):
		}
		l.mu.Lock()
		batch, some, err := l.engine.Flush(time.Now())
		l.mu.Unlock()
		if err != nil {
			l.log.Error().Str("event", "flush_failed").Err(err).Send()
			l.d.tenure.GiveUp("job state cannot be encoded")
			return
		}
		if !some {
			continue
		}
		var ok bool
		if sequence, ok = l.store(ctx, batch.Records, sequence); !ok {
			return
		}
		l.mu.Lock()
		l.engine.Flushed(batch, l.clock())
		close(l.stored)
		l.stored = make(chan struct{})
		l.mu.Unlock()
		kick(l.planSoon)
		pause.For(ctx, flushGap)
	}
}

// store appends records until they are stored, in as few calls as possible. It
// reports false if ctx ended or another daemon leads.
func (l *lead) store(ctx context.Context, records []sched.Record, sequence int64) (int64, bool) {
	for len(records) > 0 {
		size, n := 0, 0
		var entries []Entry
		for n < len(records) && (n == 0 || size+len(records[n].Value)+len(records[n].Key)+8 <= l.d.set.MaxAppend) {
			r := records[n]
			entries = append(entries, Entry{Key: r.Key, Value: r.Value})
			size += len(r.Value) + len(r.Key) + 8
			n++
		}
		if !l.append(ctx, entries, sequence) {
			return sequence, false
		}
		sequence++
		records = records[n:]
	}
	return sequence, true
}

// append repeats one append until it is stored. The log recognizes the repeat.
func (l *lead) append(ctx context.Context, entries []Entry, sequence int64) bool {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		sent := l.clock()
		limited, cancel := context.WithTimeout(ctx, logTimeout)
		err := l.d.route.Append(limited, StreamState, entries, Fence{Epoch: l.term, Sequence: sequence})
		cancel()
		l.d.set.Metrics.Store.Observe((l.clock() - sent).Seconds())
		if err == nil {
			l.d.set.Metrics.Appends.WithLabelValues("stored").Inc()
			return true
		}
		l.d.set.Metrics.Appends.WithLabelValues(errkind.ReasonOf(err)).Inc()
		switch errkind.Of(err) {
		case errkind.StaleEpoch:
			l.log.Warn().Str("event", "append_fenced").Int64("sequence", sequence).Err(err).Send()
			l.d.tenure.GiveUp("another daemon has taken over the job state")
			return false
		case errkind.Conflict:
			l.log.Error().Str("event", "append_out_of_sequence").Int64("sequence", sequence).Err(err).Send()
			l.d.tenure.GiveUp("the sequence of appends is broken")
			return false
		}
		l.d.set.Metrics.Retries.WithLabelValues("append").Inc()
		if attempt == 0 {
			l.log.Warn().Str("event", "append_retried").Int64("sequence", sequence).Int("records", len(entries)).Err(err).Send()
		}
		pause.For(ctx, logRetry)
	}
	return false
}

// watchMachines follows the host list.
func (l *lead) watchMachines(ctx context.Context) {
	w := &watcher{
		log: l.d.route, clock: l.clock, stream: StreamMachines, longest: machinesWait, gather: machinesGather, logger: l.log,
		reset: func() { clear(l.list) },
		apply: l.applyMachine,
		done: func() {
			list := make([]sched.Machine, 0, len(l.list))
			for _, m := range l.list {
				list = append(list, m)
			}
			l.mu.Lock()
			l.engine.SetMachines(list, l.clock())
			l.mu.Unlock()
			kick(l.flushSoon)
		},
	}
	w.run(ctx)
}

// applyMachine takes one entry of the host list.
func (l *lead) applyMachine(e Entry) {
	if len(e.Value) == 0 {
		delete(l.list, e.Key)
		return
	}
	m, err := l.d.set.Decoder.Machine(e.Key, e.Value)
	if err != nil {
		delete(l.list, e.Key)
		l.log.Warn().Str("event", "machine_entry_unreadable").Str("machine", e.Key).Int64("offset", e.Offset).Err(err).Send()
		return
	}
	if c := l.d.config.Load(); c != nil {
		m.Guards = c.Guarded[m.Service]
	}
	l.list[e.Key] = m
}
