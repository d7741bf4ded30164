package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// memoryLog is a Log with a single stream, in memory.
type memoryLog struct {
	mu      sync.Mutex
	entries []Entry
	changed chan struct{}
	// fail, if set, is called before each append and read. A non-nil error replaces the answer; done
	// means that an append is stored nevertheless.
	fail func(append bool) (err error, done bool)
}

func newMemoryLog() *memoryLog { return &memoryLog{changed: make(chan struct{})} }

func (l *memoryLog) Append(_ context.Context, _ Stream, entries []Entry, f Fence) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	if l.fail != nil {
		var done bool
		if err, done = l.fail(true); err != nil && !done {
			return err
		}
	}
	if f.Epoch == 0 && f.At != int64(len(l.entries)) {
		return errkind.New(errkind.Conflict, "moved", "ends at %d", len(l.entries))
	}
	for _, e := range entries {
		e.Offset = int64(len(l.entries))
		l.entries = append(l.entries, e)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return err
}

func (l *memoryLog) Read(ctx context.Context, _ Stream, from int64, wait time.Duration) (Page, error) {
	timeout := time.After(wait)
	for {
		l.mu.Lock()
		if l.fail != nil {
			if err, _ := l.fail(false); err != nil {
				l.mu.Unlock()
				return Page{}, err
			}
		}
		end, changed := int64(len(l.entries)), l.changed
		if from < end {
			p := Page{Entries: append([]Entry(nil), l.entries[from:]...), End: end}
			l.mu.Unlock()
			return p, nil
		}
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return Page{}, errkind.Wrap(errkind.LogUnavailable, "timeout", ctx.Err())
		case <-timeout:
			return Page{End: end}, nil
		}
	}
}

func (l *memoryLog) Newest(context.Context, Stream, string) (Page, error) { return Page{}, nil }

// candidate is a daemon, reduced to its Tenure, that may lead in a test.
type candidate struct {
	tenure     *Tenure
	leading    atomic.Bool
	stop       context.CancelFunc
	done       chan struct{}
	clockShift atomic.Int64 // added to its clock, ns
}

func startCandidate(t *testing.T, log Log, name string, cores ...float64) *candidate {
	c := &candidate{done: make(chan struct{})}
	began := time.Now()
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.tenure = NewTenure(TenureConfig{
		Self: Leader{Daemon: name, Incarnation: time.Now().UnixNano(), Address: name}, Log: log, Logger: zerolog.Nop(), Cores: lo.Sum(cores),
		Clock: func() time.Duration { return time.Since(began) + time.Duration(c.clockShift.Load()) + time.Second },
		Lead: func(ctx context.Context, _ int64) {
			c.leading.Store(true)
			<-ctx.Done()
			c.leading.Store(false)
		},
	})
	go func() {
		defer close(c.done)
		c.tenure.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-c.done
	})
	return c
}

func eventually(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func tenureHolders(candidates []*candidate) (n int, last *candidate) {
	for _, c := range candidates {
		if c.tenure.Held() {
			n, last = n+1, c
		}
	}
	return n, last
}

// TestOneLeaderAtATime guards against two daemons that hold the tenure at the same time: at the start,
// and while leaders resign.
func TestOneLeaderAtATime(t *testing.T) {
	log := newMemoryLog()
	var candidates []*candidate
	for _, name := range []string{"a", "b", "c", "d"} {
		candidates = append(candidates, startCandidate(t, log, name))
	}
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				if n, _ := tenureHolders(candidates); n > 1 {
					t.Errorf("%d daemons hold the tenure", n)
					return
				}
			}
		}
	})
	for range 3 {
		var leader *candidate
		eventually(t, "a leader", 4*time.Second, func() bool {
			_, leader = tenureHolders(candidates)
			return leader != nil && leader.leading.Load()
		})
		leader.tenure.Resign("test")
		eventually(t, "another leader after the resignation", 4*time.Second, func() bool {
			_, next := tenureHolders(candidates)
			return next != nil && next != leader
		})
	}
	close(stop)
	watcher.Wait()
}

// TestPausedLeaderLosesTenure guards against orders of a leader that was suspended beyond the end of
// its tenure.
func TestPausedLeaderLosesTenure(t *testing.T) {
	c := startCandidate(t, newMemoryLog(), "a")
	eventually(t, "a leader", 4*time.Second, c.tenure.Held)
	c.clockShift.Add(int64(maxTenure))
	if c.tenure.Held() {
		t.Error("the tenure is held after a pause of maxTenure")
	}
	eventually(t, "the tenure is confirmed again", time.Second, c.tenure.Held)
}

// TestLostAnswersKeepLeader guards against a leader that loses its term to another daemon because
// answers to its appends are lost.
func TestLostAnswersKeepLeader(t *testing.T) {
	log := newMemoryLog()
	a, b := startCandidate(t, log, "a"), startCandidate(t, log, "b")
	candidates := []*candidate{a, b}
	eventually(t, "a leader", 4*time.Second, func() bool { n, _ := tenureHolders(candidates); return n == 1 })
	_, leader := tenureHolders(candidates)
	first, _ := leader.tenure.Leader()
	n := 0
	log.mu.Lock()
	log.fail = func(isAppend bool) (error, bool) {
		if n++; isAppend && n%2 == 0 {
			return errkind.New(errkind.AppendUnknown, "lost", "no answer"), true
		}
		return nil, false
	}
	log.mu.Unlock()
	time.Sleep(3 * time.Second)
	if now, _ := leader.tenure.Leader(); now.Term != first.Term {
		t.Errorf("term %d is followed by %d although the leader is alive", first.Term, now.Term)
	}
	eventually(t, "the tenure is held", time.Second, leader.tenure.Held)
}

// TestNoClaimWhileLogIsDown guards against a change of the leader right after an outage of the log,
// although the leader is still alive.
func TestNoClaimWhileLogIsDown(t *testing.T) {
	log := newMemoryLog()
	candidates := []*candidate{startCandidate(t, log, "a"), startCandidate(t, log, "b")}
	eventually(t, "a leader", 4*time.Second, func() bool { n, _ := tenureHolders(candidates); return n == 1 })
	_, leader := tenureHolders(candidates)
	log.mu.Lock()
	log.fail = func(bool) (error, bool) { return errkind.New(errkind.LogUnavailable, "down", "down"), false }
	log.mu.Unlock()
	time.Sleep(2 * time.Second)
	if n, _ := tenureHolders(candidates); n != 0 {
		t.Errorf("%d daemons hold the tenure while the log is down", n)
	}
	log.mu.Lock()
	log.fail = nil
	log.mu.Unlock()
	eventually(t, "the same leader after the outage", time.Second, leader.tenure.Held)
}

// TestRestartedLeaderClaimsWithoutDelay guards against a daemon that waits for heartbeats of the last
// leader although it is a former process at the daemon's own address, and so is gone.
func TestRestartedLeaderClaimsWithoutDelay(t *testing.T) {
	log := newMemoryLog()
	first := startCandidate(t, log, "a")
	eventually(t, "a leader", 4*time.Second, first.tenure.Held)
	log.mu.Lock()
	log.fail = func(bool) (error, bool) { return errkind.New(errkind.LogUnavailable, "down", "down"), false }
	log.mu.Unlock()
	first.stop() // without a stored resignation, as after a loss of power
	<-first.done
	log.mu.Lock()
	log.fail = nil
	log.mu.Unlock()
	again := startCandidate(t, log, "a")
	eventually(t, "the restarted daemon leads", maxTenure/3, again.tenure.Held)
}

// startStrongLeader starts a leader with 0.8 cores, which publishes that as the largest capacity, and
// three weaker daemons.
func startStrongLeader(t *testing.T, log *memoryLog) (leader *candidate, weak []*candidate) {
	leader = startCandidate(t, log, "first", 0.8)
	eventually(t, "a leader", 4*time.Second, leader.tenure.Held)
	leader.tenure.SetStrongestCores(0.8)
	for _, name := range []string{"a", "b", "c"} {
		weak = append(weak, startCandidate(t, log, name, 0.2))
	}
	return leader, weak
}

// TestStrongDaemonTakesOver guards against a leader on a small host, which cannot handle the load,
// while a stronger daemon could lead.
func TestStrongDaemonTakesOver(t *testing.T) {
	log := newMemoryLog()
	first, weak := startStrongLeader(t, log)
	strong := startCandidate(t, log, "z", 0.8)
	time.Sleep(3 * heartbeatInterval)
	first.tenure.Resign("test")
	eventually(t, "another leader", 4*time.Second, func() bool {
		n, _ := tenureHolders(append(weak, strong))
		return n > 0
	})
	if !strong.tenure.Held() {
		t.Error("a weak daemon leads although a strong one is running")
	}
	strong.stop()
	<-strong.done
	eventually(t, "a weak daemon leads when no strong one is left", 4*time.Second, func() bool {
		n, _ := tenureHolders(weak)
		return n == 1
	})
}

// TestShortTermKeepsStrongestCores guards against weak daemons that lead because the last leader
// resigned before it knew the capacity of the others.
func TestShortTermKeepsStrongestCores(t *testing.T) {
	log := newMemoryLog()
	first, weak := startStrongLeader(t, log)
	strong := []*candidate{startCandidate(t, log, "y", 0.8), startCandidate(t, log, "z", 0.8)}
	time.Sleep(3 * heartbeatInterval)
	leader := first
	for range 2 {
		leader.tenure.Resign("test") // the second time right after its claim
		var next *candidate
		eventually(t, "another leader", 4*time.Second, func() bool {
			n, last := tenureHolders(append(weak, strong...))
			next = last
			return n > 0 && last != leader
		})
		if next.tenure.cfg.Cores < 0.8 {
			t.Fatalf("weak daemon %s leads although a strong one is running", next.tenure.cfg.Self.Daemon)
		}
		leader = next
	}
}

// TestStoredHeartbeatsExtendTenure guards against a tenure that ends although the heartbeats are
// stored, because their answers are lost.
func TestStoredHeartbeatsExtendTenure(t *testing.T) {
	log := newMemoryLog()
	c := startCandidate(t, log, "a")
	eventually(t, "a leader", 4*time.Second, c.tenure.Held)
	log.mu.Lock()
	log.fail = func(isAppend bool) (error, bool) {
		if isAppend {
			return errkind.New(errkind.AppendUnknown, "lost", "no answer"), true
		}
		return nil, false
	}
	log.mu.Unlock()
	time.Sleep(maxTenure)
	held := 0
	const samples = 40
	for range samples {
		time.Sleep(50 * time.Millisecond)
		if c.tenure.Held() {
			held++
		}
	}
	if held < samples/2 {
		t.Errorf("the tenure was held in %d of %d samples, want at least half", held, samples)
	}
}
