package cell

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// handClock is a clock that a test moves.
type handClock struct{ now atomic.Int64 }

func (c *handClock) read() time.Duration     { return time.Duration(c.now.Load()) }
func (c *handClock) move(span time.Duration) { c.now.Add(int64(span)) }

// jsonDecoder decodes configurations that are JSON of Config.
type jsonDecoder struct{}

func (jsonDecoder) Config(value []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(value, c); err != nil {
		return nil, errors.New("not a configuration")
	}
	return c, nil
}

func (jsonDecoder) Machine(string, []byte) (sched.Machine, error) { return sched.Machine{}, nil }

// strictDaemon returns a daemon, not running, that needs a permit of 5 s less the margin of 200 ms, with its clock and
// its log output.
func strictDaemon(log Log) (*Daemon, *handClock, *bytes.Buffer) {
	clock, out := &handClock{}, &bytes.Buffer{}
	clock.move(time.Hour)
	d := New(Settings{Name: "a", IP: "127.0.0.1", Log: log, ConfigKey: "config", Decoder: jsonDecoder{}, Clock: clock.read,
		StrictRevoke: true, RevokeWithin: 5 * time.Second, Logger: zerolog.New(out)})
	return d, clock, out
}

// TestPermitEndsWithItsProof guards against a daemon that serves a removed key too long: because it has no permit yet, or
// counts from the end of a read, or from an older read that was answered later, or because its host was suspended.
func TestPermitEndsWithItsProof(t *testing.T) {
	d, clock, _ := strictDaemon(newMemoryLog())
	f := d.freshness
	if f.held() {
		t.Error("held before the first proof")
	}
	const life = 4800 * time.Millisecond
	began := clock.read()
	clock.move(time.Second) // the read takes this long
	f.prove(began)
	clock.move(life - time.Second - time.Nanosecond)
	if !f.held() {
		t.Error("ended before its time, counted from the start of the read")
	}
	clock.move(time.Nanosecond)
	if f.held() {
		t.Error("held for its full life after the start of the read")
	}
	newer := clock.read()
	f.prove(newer)
	f.prove(began) // answered later than the newer one
	if clock.move(life - time.Nanosecond); !f.held() {
		t.Error("an older read that is answered later shortens the permit")
	}
	f.prove(clock.read())
	clock.move(time.Hour) // the host is suspended
	if f.held() {
		t.Error("held after the host was suspended for an hour")
	}
	f.prove(newer) // its answer was in flight meanwhile
	if f.held() {
		t.Error("renewed by a read that began before the host was suspended")
	}
}

// TestPermitIsNeededOnlyIfAsked guards against deployments without a bound whose calls are refused.
func TestPermitIsNeededOnlyIfAsked(t *testing.T) {
	for _, settings := range []Settings{{}, {StrictRevoke: true}, {RevokeWithin: time.Second}} {
		settings.Clock = (&handClock{}).read
		if !newFreshness(&settings).held() || configWait(&settings) != configReadWait {
			t.Errorf("strict %v within %v: a permit is needed, or reads wait for another time", settings.StrictRevoke, settings.RevokeWithin)
		}
	}
}

// TestPermitOutlastsLostReads guards against constants by which lost reads end the permit while the log works; see
// permitReadDivisor for the times.
func TestPermitOutlastsLostReads(t *testing.T) {
	for _, tc := range []struct {
		within, roundTrip time.Duration
		lost              int
	}{{5 * time.Second, 300 * time.Millisecond, 2}, {20 * time.Second, time.Second, 2}, {2 * time.Second, 100 * time.Millisecond, 1}} {
		settings := Settings{StrictRevoke: true, RevokeWithin: tc.within, Clock: HostClock}
		wait, life := configWait(&settings), newFreshness(&settings).life
		renewed := wait + tc.roundTrip + time.Duration(tc.lost)*(wait+logTimeout+logRetry) + wait + tc.roundTrip
		if renewed >= life {
			t.Errorf("bound of %v: renewed after %v, but the permit lasts %v", tc.within, renewed, life)
		}
	}
}

// TestUnreadableVersionStopsRenewal guards against a daemon that goes on serving a key which a version has removed that it
// cannot read, and against one that takes an older version for the end of that.
func TestUnreadableVersionStopsRenewal(t *testing.T) {
	d, clock, out := strictDaemon(newMemoryLog())
	apply := func(value string) {
		d.applyConfig(Entry{Key: "config", Value: []byte(value)})
		d.freshness.prove(clock.read())
	}
	for _, step := range []struct {
		value string
		held  bool // a permit life after the last proof before it
	}{
		{`{"Version":4}`, true}, {`{"Version":`, false}, {`{"Version":3}`, false}, {`{"Version":4}`, false}, {``, false},
		{`{"Version":5}`, true}, {``, true}, {`{"Version":2}`, true},
	} {
		apply(step.value)
		if held := d.freshness.held(); held != step.held {
			t.Errorf("after %q: held %v, want %v", step.value, held, step.held)
		}
		d.freshness.report()
		clock.move(5 * time.Second)
		d.freshness.report()
	}
	d.applyConfig(Entry{Key: "other", Value: []byte("{")})
	d.freshness.prove(clock.read())
	if !d.freshness.held() {
		t.Error("an unreadable entry of another key stops the renewal")
	}
	for event, n := range map[string]int{"key_permit_granted": 5, "key_permit_ended": 4} {
		if got := strings.Count(out.String(), event); got != n {
			t.Errorf("%d lines of %s, want %d:\n%s", got, event, n, out)
		}
	}
}

// TestUnreadableVersionLeavesPermit guards against keyed calls that are refused at once, on all daemons, when a version
// that nobody can read is written, although the last proof still holds.
func TestUnreadableVersionLeavesPermit(t *testing.T) {
	d, clock, _ := strictDaemon(newMemoryLog())
	d.freshness.prove(clock.read())
	d.applyConfig(Entry{Key: "config", Value: []byte("{")})
	if !d.freshness.held() {
		t.Error("the permit has ended with the arrival of the version")
	}
}

// TestPermitIsReadBeforeConfig guards against a call that is served by a former configuration with the permit that the
// version which replaced it has renewed.
func TestPermitIsReadBeforeConfig(t *testing.T) {
	var d *Daemon
	clock := &handClock{}
	var onRead func()
	d = New(Settings{Name: "a", IP: "127.0.0.1", Log: newMemoryLog(), Decoder: jsonDecoder{}, StrictRevoke: true, RevokeWithin: time.Second,
		Logger: zerolog.Nop(), Clock: func() time.Duration {
			if f := onRead; f != nil {
				onRead = nil
				f()
			}
			return clock.read()
		}})
	d.config.Store(&Config{Version: 1})
	d.freshness.prove(0)
	clock.move(500 * time.Millisecond)
	onRead = func() { d.config.Store(&Config{Version: 2}) } // while the permit is checked
	if c, fresh := d.FreshConfig(); !fresh || c.Version != 2 {
		t.Errorf("version %d, fresh %v; want version 2, which arrived while the permit was checked", c.Version, fresh)
	}
}

// scriptedLog is a Log whose reads are answered in turn by steps. Each moves the clock by took. The stream ends ctx when
// there are no more steps.
type scriptedLog struct {
	*memoryLog
	clock *handClock
	steps []scriptedRead
	stop  context.CancelFunc
	froms []int64 // offsets of the reads, -1 for reads of the newest entries
}

type scriptedRead struct {
	took time.Duration
	page Page
	err  error
}

func (l *scriptedLog) next(ctx context.Context, from int64) (Page, error) {
	if len(l.steps) == 0 {
		l.stop()
		return Page{}, errkind.Wrap(errkind.LogUnavailable, "ended", ctx.Err())
	}
	l.froms = append(l.froms, from)
	step := l.steps[0]
	l.steps = l.steps[1:]
	l.clock.move(step.took)
	return step.page, step.err
}

func (l *scriptedLog) Read(ctx context.Context, _ Stream, from int64, _ time.Duration) (Page, error) {
	return l.next(ctx, from)
}

func (l *scriptedLog) Newest(ctx context.Context, _ Stream, _ string) (Page, error) {
	return l.next(ctx, -1)
}

// TestOnlyCompleteReadsAreProof guards against a watcher that takes a read for a proof which failed, or did not reach the
// end of the stream, or that went on at an offset which the log does not have any more, and against one that counts from
// the end of the read, or before the entries are applied.
func TestOnlyCompleteReadsAreProof(t *testing.T) {
	const second = time.Second
	clock := &handClock{}
	lost := errkind.New(errkind.LogUnavailable, "no_answer", "lost")
	expired := errkind.New(errkind.NotFound, "expired", "expired")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log := &scriptedLog{memoryLog: newMemoryLog(), clock: clock, stop: stop, steps: []scriptedRead{
		{took: 1 * second, page: Page{End: 5, Entries: []Entry{{Offset: 2, Key: "config"}}}},             // proof of 0 s
		{took: 1 * second, page: Page{End: 5}},                                                           // proof of 1 s
		{took: 1 * second, err: lost},                                                                    // none
		{took: 1 * second, page: Page{End: 8, Entries: []Entry{{Offset: 5}, {Offset: 6}}}},               // none: 7 is missing
		{took: 1 * second, page: Page{End: 8, Entries: []Entry{{Offset: 7, Key: "config"}}}},             // proof of 4 s
		{took: 1 * second, page: Page{End: 3}},                                                           // none: the log has lost entries
		{took: 1 * second, page: Page{End: 3, Entries: []Entry{{Offset: 2, Key: "config"}}}},             // proof of 6 s, from the newest
		{took: 1 * second, page: Page{End: 9}, err: expired},                                             // none
		{took: 1 * second, page: Page{End: 9, Entries: []Entry{{Offset: 8, Key: "config"}}, More: true}}, // first page
		{took: 1 * second, page: Page{End: 9, Entries: []Entry{{Offset: 4, Key: "x"}}}},                  // proof of 8 s
	}}
	applied := 0
	type proof struct {
		began   time.Duration
		applied int
	}
	var proofs []proof
	w := &watcher{log: log, stream: StreamConfig, logger: zerolog.Nop(), reset: func() {}, done: func() {}, clock: clock.read,
		apply:   func(Entry) { applied++ },
		current: func(began time.Duration) { proofs = append(proofs, proof{began, applied}) }}
	w.run(ctx)
	want := []proof{{0, 1}, {1 * second, 1}, {4 * second, 4}, {6 * second, 5}, {8 * second, 7}}
	if len(proofs) != len(want) {
		t.Fatalf("proofs %v, want %v", proofs, want)
	}
	for i := range want {
		if proofs[i] != want[i] {
			t.Errorf("proof %d: %v, want %v", i, proofs[i], want[i])
		}
	}
	if from := log.froms[3]; from != 5 {
		t.Errorf("read from %d after a lost read, want 5", from)
	}
}

// TestConfigReadsRenewPermit guards against a daemon whose permit is not renewed by its reads of the configuration, or
// counts from their end.
func TestConfigReadsRenewPermit(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log := &scriptedLog{memoryLog: newMemoryLog(), stop: stop, steps: []scriptedRead{
		{took: time.Second, page: Page{End: 1, Entries: []Entry{{Key: "config", Value: []byte(`{"Version":1}`)}}}},
		{took: 3 * time.Second, page: Page{End: 1}},
	}}
	d, clock, _ := strictDaemon(log)
	log.clock = clock
	began := clock.read()
	d.watchConfig(ctx)
	if want := began + time.Second; !d.freshness.proven || d.freshness.provenAt != want {
		t.Errorf("proven %v at %v, want at %v, the start of the last read", d.freshness.proven, d.freshness.provenAt, want)
	}
}
