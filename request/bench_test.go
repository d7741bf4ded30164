package request

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/machine"
)

const (
	benchExecutors   = 12                     // in two groups
	benchSlots       = 4                      // per executor
	benchServiceTime = 100 * time.Millisecond // mean of an exponential distribution
	benchDeadline    = 2 * time.Second
	benchDuration    = 6 * time.Second // of one series of calls
)

// baseline is a dispatcher to compare with. It sends each call to an executor that is
// chosen without regard to load, where the call waits for a slot until its deadline.
type baseline struct {
	clients []*machine.ExecutorClient
	slots   []chan struct{}
	choose  func() int
}

func newBaseline(c *testCell, choose func() int) *baseline {
	b := &baseline{choose: choose}
	for _, h := range c.hosts {
		b.clients = append(b.clients, machine.NewExecutorClient(machine.ExecutorConfig{Address: h.Address}))
		b.slots = append(b.slots, make(chan struct{}, benchSlots))
	}
	return b
}

// run runs one call on executor i. Its epoch is above those of the owners, so that the
// executor does not refuse it as stale.
func (b *baseline) run(id string, i int) error {
	ctx, cancel := context.WithTimeout(context.Background(), benchDeadline)
	defer cancel()
	select {
	case b.slots[i] <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-b.slots[i] }()
	_, err := b.clients[i].Run(context.Background(), machine.ExecutorRun{Epoch: 1 << 40, ID: id, Class: "valuation"})
	return err
}

// offerLoad sends calls in exponentially distributed intervals, at load times the
// capacity of the executors. It returns the waiting times, from arrival to the start
// of the run on the executor, in microseconds, and the share of the calls that ran.
func offerLoad(c *testCell, seed uint64, load float64, call func(id string, n int)) (*hdrhistogram.Histogram, float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	gap := benchServiceTime.Seconds() / (load * benchExecutors * benchSlots)
	arrived := map[string]int64{}
	var wg sync.WaitGroup
	next := time.Now()
	for end := next.Add(benchDuration); next.Before(end); {
		time.Sleep(time.Until(next))
		id := ulid.Make().String()
		arrived[id] = time.Now().UnixMicro()
		wg.Add(1)
		n := len(arrived)
		go func() { defer wg.Done(); call(id, n) }()
		next = next.Add(time.Duration(rng.ExpFloat64() * gap * float64(time.Second)))
	}
	wg.Wait()
	h := hdrhistogram.New(1, 60_000_000, 3)
	for _, x := range c.executors {
		for _, r := range x.Records().Runs {
			if at, ok := arrived[r.ID]; ok {
				_ = h.RecordValue(max(1, r.StartedUS-at))
			}
		}
	}
	return h, float64(h.TotalCount()) / float64(len(arrived))
}

// BenchmarkWaitingTime compares the waiting time at four loads with random and
// round-robin dispatch on the same executors. It fails if the p99 at 80 % load is
// above half of that of the better baseline.
func BenchmarkWaitingTime(b *testing.B) {
	for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
		b.Run(fmt.Sprintf("load=%d", int(load*100+0.5)), func(b *testing.B) {
			for range b.N {
				waitingTimes(b, load)
			}
		})
	}
}

// waitingTimes reports the waiting times of the service and of both baselines at one load.
func waitingTimes(b *testing.B, load float64) {
	c := newTestCell(b)
	for i := range benchExecutors {
		c.startExecutor("w1", []string{"a", "b"}[i%2], standin.ExecutorConfig{Slots: benchSlots, ServiceTime: benchServiceTime,
			Exponential: true, Seed: uint64(i)})
	}
	longIntervals := func(cfg *Config) {
		cfg.ProbeInterval, cfg.SilentAfter, cfg.LoadReportInterval, cfg.LoadReportBytesPerSecond = time.Second, 3*time.Second, 0, 0
	}
	ds := []*testDaemon{c.startDaemon("d1", "w1", longIntervals), c.startDaemon("d2", "w1", longIntervals)}
	c.setOwner("d1", contract.ExecKey("w1", "a"))
	c.setOwner("d2", contract.ExecKey("w1", "b"))
	c.waitForSlots(benchExecutors*benchSlots, ds...)
	p99 := map[string]float64{}
	report := func(name string, h *hdrhistogram.Histogram, ran float64) {
		for _, p := range []float64{50, 99, 99.9} {
			b.ReportMetric(float64(h.ValueAtQuantile(p))/1000, fmt.Sprintf("%s-p%v-ms", name, p))
		}
		b.ReportMetric(ran, name+"-ran")
		p99[name] = float64(h.ValueAtQuantile(99))
	}
	h, ran := offerLoad(c, 11, load, func(id string, n int) {
		_, _ = doCall(ds[n%2], Valuation, id, "", benchDeadline)
	})
	report("dispatch", h, ran)
	rng := newRand(5)
	random := newBaseline(c, func() int { return rng.intN(benchExecutors) })
	h, ran = offerLoad(c, 11, load, func(id string, _ int) { _ = random.run(id, random.choose()) })
	report("random", h, ran)
	roundRobin := newBaseline(c, nil)
	h, ran = offerLoad(c, 11, load, func(id string, n int) { _ = roundRobin.run(id, n%benchExecutors) })
	report("roundrobin", h, ran)
	ratio := p99["dispatch"] / min(p99["random"], p99["roundrobin"])
	b.ReportMetric(ratio, "p99-ratio")
	if load == 0.8 && ratio > 0.5 {
		b.Errorf("p99 ratio %.2f at 80 %% load, want at most 0.5", ratio)
	}
}
