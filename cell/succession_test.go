package cell

import (
	"fmt"
	"testing"
	"time"
)

// TestDaemonsClaimOneAfterTheOther guards against many daemons that claim leadership at the same time
// when a leader dies, so that the claims queue at the log, and against a claim within the tenure that
// the last heartbeat gives.
func TestDaemonsClaimOneAfterTheOther(t *testing.T) {
	for _, tenure := range []time.Duration{minTenure, maxTenure} {
		leader := Leader{Daemon: "d9", Address: "d9", Term: 7, TenureMillis: tenure.Milliseconds(), Successors: [maxSuccessors]string{"d5", "d2", "d7"}}
		delay := func(name string, resigned bool) time.Duration {
			l := leader
			l.Resigned = resigned
			return succession{leader: l, self: Leader{Daemon: name, Address: name}, logRoundTrip: 4 * time.Millisecond}.claimDelay()
		}
		first, second, third := delay("d5", false), delay("d2", false), delay("d7", false)
		if first < tenure+takeoverMargin || first > tenure+2*takeoverMargin {
			t.Errorf("tenure of %v: the first claim comes after %v", tenure, first)
		}
		// The log may take as long for a claim as the longer tenure allows for a heartbeat.
		gap := claimStep + (tenure-minTenure)/2
		if second-first < gap || third-second < gap {
			t.Errorf("tenure of %v: claims after %v, %v and %v, want gaps of %v at least", tenure, first, second, third, gap)
		}
		for i := range 9 {
			name := fmt.Sprint("d", i)
			if d := delay(name, false); name != "d5" && name != "d2" && name != "d7" && d <= third {
				t.Errorf("tenure of %v: %s is no named successor and claims after %v, before the third at %v", tenure, name, d, third)
			}
		}
		if d := delay("d5", true); d != 0 {
			t.Errorf("the first successor claims %v after a resignation, want at once", d)
		}
	}
}

// TestDaemonWithoutLogClaimsLate guards against a successor that claims although it reaches the log only
// through others, while another one reaches it.
func TestDaemonWithoutLogClaimsLate(t *testing.T) {
	leader := Leader{Daemon: "c", Term: 1, TenureMillis: minTenure.Milliseconds(), Successors: [maxSuccessors]string{"a", "b"}}
	indirect := succession{leader: leader, self: Leader{Daemon: "a"}, indirect: true}
	direct := succession{leader: leader, self: Leader{Daemon: "b"}}
	if indirect.claimDelay() <= direct.claimDelay() {
		t.Errorf("the daemon that reaches the log only through others claims after %v, the other one after %v", indirect.claimDelay(), direct.claimDelay())
	}
}

// TestSuccessorsAreStrongAndNear guards against a weak or distant daemon that leads while a better one is
// there.
func TestSuccessorsAreStrongAndNear(t *testing.T) {
	daemons := []successor{{"far", 0.8, 20 * time.Millisecond}, {"weak", 0.2, time.Millisecond}, {"near", 0.8, 4 * time.Millisecond}}
	if got, want := chooseSuccessors(daemons, 0.8), [maxSuccessors]string{"near", "far"}; got != want {
		t.Errorf("successors %v, want %v", got, want)
	}
}

// TestTenureFollowsTheLog guards against a tenure that lapses between two heartbeats of a log that
// answers slowly, and against one that outlasts what older daemons wait for.
func TestTenureFollowsTheLog(t *testing.T) {
	var times responseTimes
	if d := tenureFor(times.limit()); d != minTenure {
		t.Errorf("tenure of %v before the first answer, want %v", d, minTenure)
	}
	for range 40 {
		times.observe(240 * time.Millisecond)
	}
	if d := tenureFor(times.limit()); d < heartbeatInterval+2*240*time.Millisecond || d > maxTenure {
		t.Errorf("tenure of %v at answers after 240 ms", d)
	}
	if d := tenureFor(10 * time.Second); d != maxTenure {
		t.Errorf("tenure of %v at answers after 10 s, want %v", d, maxTenure)
	}
}
