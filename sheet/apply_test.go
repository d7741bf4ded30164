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

// memoryLog is a log that works; package config tests the faults.
type memoryLog struct {
	mu      sync.Mutex
	records []upstream.Record
	grown   chan struct{}
}

func (l *memoryLog) Append(_ context.Context, _ string, records [][]byte) (upstream.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := upstream.Offset(len(l.records))
	for i, r := range records {
		l.records = append(l.records, upstream.Record{Offset: first + upstream.Offset(i), Data: r})
	}
	close(l.grown)
	l.grown = make(chan struct{})
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, _ string, from upstream.Offset, _ int, wait time.Duration) (upstream.Batch, error) {
	l.mu.Lock()
	grown := l.grown
	empty := from >= upstream.Offset(len(l.records))
	l.mu.Unlock()
	if empty && wait > 0 {
		select {
		case <-grown:
		case <-ctx.Done():
			return upstream.Batch{}, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	head := upstream.Offset(len(l.records))
	return upstream.Batch{Records: l.records[from:head], Next: head, Head: head}, nil
}

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

func topology(t testing.TB, regions map[zone.Region][]zone.Name) *zone.Topology {
	t.Helper()
	topo, err := zone.NewTopology(regions)
	if err != nil {
		t.Fatal(err)
	}
	return topo
}

func ritagli(t testing.TB) Options {
	return Options{Day: "2026-12-04", LargestWorker: machine.Resources{CPUMilli: 16_000, MemoryMiB: 32 << 10}, Topology: topology(t,
		map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}, "veneto": {"ven-treviso"}})}
}

func ortaq(t testing.TB) Options {
	return Options{Day: "2026-12-04", LargestWorker: machine.Resources{CPUMilli: 64_000, MemoryMiB: 256 << 10}, Topology: topology(t,
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

// Guards against samples that the reader refuses, a sheet that takes effect in
// part, stores that disagree, and a second apply that changes something.
func TestSampleSheetsTakeEffectWhole(t *testing.T) {
	for _, c := range []struct {
		file, location string
		opts           Options
		customers      int
		intentions     int
	}{
		{"../examples/ritagli.csv", "Europe/Rome", ritagli(t), 2, 7},
		{"../examples/ortaq-eske.csv", "Asia/Almaty", ortaq(t), 2, 6},
	} {
		s := parseFile(t, c.file, c.opts)
		loc, err := time.LoadLocation(c.location)
		if err != nil {
			t.Fatal(err)
		}
		l := &memoryLog{grown: make(chan struct{})}
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
			t.Errorf("%s: %d customers, %d intentions, %d teams, %d drains", c.file, len(st.Customers), len(st.Intentions), len(st.Teams), len(st.Drains))
		}
		if d := Diff(s, st); len(d.Ops) != 0 {
			t.Errorf("%s: applied, but the diff is still %s", c.file, d)
		}
		if again, err := pub.Submit(ctx, Diff(s, st).Proposal("sheet-2", "anna", c.file)); err != nil || !again.NoChange {
			t.Errorf("second apply: %+v %v", again, err)
		}
	}
}
