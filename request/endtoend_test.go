package request

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
)

// newThreeDaemonCell returns a cell of three daemons in two regions, with two executor
// groups of three executors each.
func newThreeDaemonCell(t testing.TB, x standin.ExecutorConfig, configure func(*Config)) (*testCell, []*testDaemon) {
	c := newTestCell(t)
	for range 3 {
		c.startExecutor("w1", "a", x)
		c.startExecutor("w2", "b", x)
	}
	ds := []*testDaemon{c.startDaemon("d1", "w1", configure), c.startDaemon("d2", "w2", configure),
		c.startDaemon("d3", "e1", configure)}
	c.setOwner("d1", contract.ExecKey("w1", "a"))
	c.setOwner("d2", contract.ExecKey("w2", "b"))
	c.setIDShardOwners("west", "d1", "d2")
	c.setIDShardOwners("east", "d3")
	slots := x.Slots
	if slots == 0 {
		slots = 8
	}
	c.waitForSlots(6*slots, ds...)
	return c, ds
}

// Guards against lost, duplicated and swapped answers: every caller must get its own
// body back, and every request must run exactly once when nothing fails.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	c, ds := newThreeDaemonCell(t, standin.ExecutorConfig{ServiceTime: time.Millisecond, Seed: 1}, nil)
	classes := []Class{Valuation, Reconciliation, Batch, Quote, Nudge}
	const calls = 300
	var wg sync.WaitGroup
	ids := make([]string, calls)
	for i := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			customer := []string{"acme", "beta", "east"}[i%3]
			body := fmt.Sprintf("body %d", i)
			a, err := ds[i%3].svc.Do(context.Background(), Call{Customer: customer, Class: classes[i%5], Body: []byte(body)})
			if err != nil {
				t.Errorf("call %d: %v", i, err)
				return
			}
			if string(a.Body) != body {
				t.Errorf("call %d got the answer %q, want its own body", i, a.Body)
			}
			ids[i] = a.ID
		}()
	}
	wg.Wait()
	runs := c.runCounts()
	for i, id := range ids {
		if runs[id] != 1 {
			t.Errorf("call %d (%s) ran %d times, want once", i, id, runs[id])
		}
	}
	c.checkExecutorLimits(8)
}

// withoutCustomers is the view of a daemon whose configuration has no customers yet.
type withoutCustomers struct{ config.View }

func (withoutCustomers) Current() *config.State { return &config.State{} }

// Guards against "not run" for an id that has run: the caller repeats its call to a
// daemon whose configuration is older and lacks the customer.
func TestRepeatThroughDaemonWithOldConfiguration(t *testing.T) {
	withoutCustomersOnD2 := func(cfg *Config) {
		if cfg.Peers.Self().ID == "d2" {
			cfg.View = withoutCustomers{cfg.View}
		}
	}
	c, ds := newThreeDaemonCell(t, standin.ExecutorConfig{ServiceTime: time.Millisecond, Seed: 1}, withoutCustomersOnD2)
	a, err := ds[0].svc.Do(context.Background(), Call{Customer: "acme", Class: Nudge, Body: []byte("x")})
	if err != nil || c.runCounts()[a.ID] != 1 {
		t.Fatalf("first call: error %v, want none and one run", err)
	}
	for _, id := range []string{a.ID, ""} {
		_, err = ds[1].svc.Do(context.Background(), Call{Customer: "acme", Class: Nudge, ID: id, Body: []byte("x")})
		want := errkind.OutcomeUnknown
		if id == "" {
			want = errkind.NotFound // minted by this entry: certainly not run
		}
		if errkind.Of(err) != want || errkind.ReasonOf(err) != "unknown_customer" {
			t.Errorf("id %q: got %v, want kind %s", id, err, want)
		}
	}
}
