package cell

import (
	"fmt"
	"testing"
)

// TestSecondQuestionsLeaveDaemonsFree guards against a gang whose further questions
// take the last daemons that may ask long ones, while others wait for their first.
func TestSecondQuestionsLeaveDaemonsFree(t *testing.T) {
	for _, c := range []struct {
		daemons, busy int // busy ones among those for questions of any duration
		want          bool
	}{
		{6, 0, true}, {6, 1, false}, {6, 2, false}, {8, 2, true}, {8, 3, false}, {97, 0, true}, {97, 34, true}, {97, 40, false}, {1, 0, false},
	} {
		l := &lead{advisors: make(map[string]*advisorState)}
		now := 2 * aloneAfter
		var addresses []string
		busy := c.busy
		for i := range c.daemons {
			address := fmt.Sprintf("10.0.0.%03d:1", i)
			addresses = append(addresses, address)
			if askLimit(i, c.daemons, now) == unlimitedAsk && busy > 0 {
				busy--
				l.advisors[address] = &advisorState{busy: true}
			}
		}
		if got := l.spareAdvisors(addresses, now) > 0; got != c.want {
			t.Errorf("%d daemons, %d of those for long questions busy: spare %v, want %v", c.daemons, c.busy, got, c.want)
		}
	}
}
