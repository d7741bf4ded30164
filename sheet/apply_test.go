package sheet

import (
	"context"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/machine"
	"github.com/sassafraslb/sassafraslb/upstream"
	"github.com/sassafraslb/sassafraslb/zone"
)

// memoryLog is an upstream.Log in memory that never fails. The tests of package config
// cover a failing log.
type memoryLog struct {
	mu       sync.Mutex
	records  []upstream.Record
	appended chan struct{} // closed and replaced on every append
}

func (l *memoryLog) Append(_ context.Context, _ string, records [][]byte) (upstream.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := upstream.Offset(len(l.records))
	for i, r := range records {
		l.records = append(l.records, upstream.Record{Offset: first + upstream.Offset(i), Data: r})
	}
	close(l.appended)
	l.appended = make(chan struct{})
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from upstream.Offset, _ int, wait time.Duration) (upstream.Batch, error) {
	l.mu.Lock()
	appended := l.appended
	empty := from >= upstream.Offset(len(l.records))
	l.mu.Unlock()
	if empty && wait > 0 {
		select {
		case <-appended:
		case <-ctx.Done():
			return upstream.Batch{}, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	head := upstream.Offset(len(l.records))
	return upstream.Batch{Records: l.records[from:head], Next: head, Head: head}, nil
}

// startStore starts a config.Store, whose clock stands at now, and waits until it is
// ready. The store runs until the end of the test.
func startStore(t *testing.T, l upstream.Log, loc *time.Location, now time.Time) *config.Store {
	t.Helper()
	s, err := config.NewStore(config.StoreConfig{Log: l, Location: loc, Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for s.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	return s
}

func newTopology(t testing.TB, regions map[zone.Region][]zone.Name) *zone.Topology {
	t.Helper()
	topo, err := zone.NewTopology(regions)
	if err != nil {
		t.Fatal(err)
	}
	return topo
}

// ritagliOptions returns the options for examples/ritagli.csv.
func ritagliOptions(t testing.TB) Options {
	return Options{Day: "2026-12-04", LargestWorker: machine.Resources{CPUMilli: 16_000, MemoryMiB: 32 << 10}, Topology: newTopology(t,
		map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}})}
}

// ortaqOptions returns the options for examples/ortaq-eske.csv.
func ortaqOptions(t testing.TB) Options {
	return Options{Day: "2026-12-04", LargestWorker: machine.Resources{CPUMilli: 64_000, MemoryMiB: 256 << 10}, Topology: newTopology(t,
		map[zone.Region][]zone.Name{"almaty": {"almaty-a", "almaty-b"}, "astana": {"astana-a"}})}
}

func parseFile(t testing.TB, path string, opts Options) *Sheet {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := Parse(f, opts)
	if err != nil {
		t.Fatalf("%s:\n%v", path, err)
	}
	return s
}

// Guards against example sheets that Parse rejects, a sheet of which only a part takes
// effect, two stores with different content after it, and a second apply of the same
// sheet that changes something.
func TestSampleSheetsApplyCompletely(t *testing.T) {
	for _, c := range []struct {
		file, location string
		opts           Options
		customers      int
		intentions     int
	}{
		{"../examples/ritagli.csv", "Europe/Rome", ritagliOptions(t), 2, 7},
		{"../examples/ortaq-eske.csv", "Asia/Almaty", ortaqOptions(t), 2, 6},
	} {
		s := parseFile(t, c.file, c.opts)
		loc, err := time.LoadLocation(c.location)
		if err != nil {
			t.Fatal(err)
		}
		l := &memoryLog{appended: make(chan struct{})}
		now := time.Date(2026, 12, 4, 8, 0, 0, 0, loc)
		a, b := startStore(t, l, loc, now), startStore(t, l, loc, now)
		pub, err := config.NewPublisher(config.PublisherConfig{Store: a, Log: l})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = pub.Run(ctx) }()
		res, err := pub.Submit(ctx, Diff(s, a.Current()).Proposal("sheet-1", "anna", c.file))
		if err != nil {
			t.Fatal(err)
		}
		for b.Current().Version < res.Version {
			time.Sleep(time.Millisecond)
		}
		if d := cmp.Diff(a.Current(), b.Current()); d != "" {
			t.Errorf("stores differ:\n%s", d)
		}
		st := b.Current()
		if len(st.Customers) != c.customers || len(st.Intentions) != c.intentions || len(st.Teams) != 3 || len(st.Drains) != 1 {
			t.Errorf("%s: %d customers, %d intentions, %d teams, %d drains; want those of the test case, 3 teams and 1 drain", c.file, len(st.Customers), len(st.Intentions), len(st.Teams), len(st.Drains))
		}
		if d := Diff(s, st); len(d.Ops) != 0 {
			t.Errorf("%s: diff after the sheet was applied is not empty: %s", c.file, d)
		}
		if again, err := pub.Submit(ctx, Diff(s, st).Proposal("sheet-2", "anna", c.file)); err != nil || !again.NoChange {
			t.Errorf("second apply of the same sheet: %+v, err %v; want no change", again, err)
		}
	}
}
