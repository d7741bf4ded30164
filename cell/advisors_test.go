package cell

import (
	"fmt"
	"testing"
	"time"
)

// TestExtraAdviceRequestsLeaveDaemonsFree guards against a gang whose extra advice requests take the last
// daemons that may send long ones, while other gangs wait for their first.
func TestExtraAdviceRequestsLeaveDaemonsFree(t *testing.T) {
	for _, c := range []struct {
		daemons, busy int // busy: of the daemons for requests of any duration
		want          bool
	}{
		{6, 0, true}, {6, 2, true}, {6, 3, false}, {8, 4, true}, {8, 5, false}, {97, 0, true}, {97, 57, true}, {97, 60, false}, {1, 0, false},
	} {
		l := &leadership{adviceSenders: make(map[string]*adviceSender)}
		now := 2 * soleDaemonGrace
		var addresses []string
		busy := c.busy
		for i := range c.daemons {
			address := fmt.Sprintf("10.0.0.%03d:1", i)
			addresses = append(addresses, address)
			if adviceLimit(i, c.daemons, now) == noAdviceLimit && busy > 0 {
				busy--
				l.adviceSenders[address] = &adviceSender{busy: true}
			}
		}
		if got := l.spareAdviceSenders(addresses, now) > 0; got != c.want {
			t.Errorf("%d daemons, %d of those for long requests busy: spare %v, want %v", c.daemons, c.busy, got, c.want)
		}
	}
}

// TestDaemonsForLongAdviceRequests guards against too many daemons that are reserved for short advice
// requests and idle, while gangs wait for a daemon that may send their long ones.
func TestDaemonsForLongAdviceRequests(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 8, 29, 97, 300} {
		count := map[time.Duration]int{}
		for i := range n {
			count[adviceLimit(i, n, 2*soleDaemonGrace)]++
		}
		if n > 2 && (count[shortAdviceLimit] == 0 || count[mediumAdviceLimit] == 0) {
			t.Errorf("%d daemons: none is reserved for short or for medium requests: %v", n, count)
		}
		if long := count[noAdviceLimit]; long*3 < n*2-3 || long == 0 {
			t.Errorf("%d daemons: only %d may send long requests", n, long)
		}
	}
}
