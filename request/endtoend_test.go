package request

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/internal/standin"
)

// threeDaemons is a cell of three daemons in two regions with two groups.
func threeDaemons(t testing.TB, x standin.ExecutorConfig, change func(*Config)) (*cell, []*daemon) {
	c := newCell(t)
	for range 3 {
		c.executor("w1", "a", x)
		c.executor("w2", "b", x)
	}
	ds := []*daemon{c.daemon("d1", "w1", change), c.daemon("d2", "w2", change), c.daemon("d3", "e1", change)}
	c.own("d1", contract.ExecKey("w1", "a"))
	c.own("d2", contract.ExecKey("w2", "b"))
	c.ownIDs("west", "d1", "d2")
	c.ownIDs("east", "d3")
	slots := x.Slots
	if slots == 0 {
		slots = 8
	}
	c.ready(6*slots, ds...)
	return c, ds
}

// Guards against lost, doubled and exchanged answers: every caller must get its
// own body back, and every request must run exactly once when nothing fails.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	c, ds := threeDaemons(t, standin.ExecutorConfig{ServiceTime: time.Millisecond, Seed: 1}, nil)
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
				t.Errorf("call %d got %q", i, a.Body)
			}
			ids[i] = a.ID
		}()
	}
	wg.Wait()
	runs := c.runs()
	for i, id := range ids {
		if runs[id] != 1 {
			t.Errorf("call %d (%s) ran %d times", i, id, runs[id])
		}
	}
	c.withinLimits(8)
}
