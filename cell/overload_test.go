package cell

import (
	"testing"
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// TestOverloadWaitsAreSpread guards against callers who are refused together and return together, before
// there is room, or at once.
func TestOverloadWaitsAreSpread(t *testing.T) {
	for _, test := range []struct {
		wait            time.Duration
		lowest, highest int
	}{{10 * time.Millisecond, 1, 2}, {2500 * time.Millisecond, 3, 6}, {time.Hour, maxOverloadRetrySeconds, maxOverloadRetrySeconds + 1}} {
		err := errkind.New(errkind.Overloaded, sched.ReasonNoTimeLeft, "full")
		err.Wait = test.wait
		counts := map[int]int{}
		for range 400 {
			counts[RetryAfter(err, 10*time.Second, 0, noDeadline)]++
		}
		for s := range counts {
			if s < test.lowest || s > test.highest {
				t.Errorf("room in %v: a caller returns after %d s, want %d to %d", test.wait, s, test.lowest, test.highest)
			}
		}
		if len(counts) != test.highest-test.lowest+1 {
			t.Errorf("room in %v: callers return after %v, want all of %d to %d s", test.wait, counts, test.lowest, test.highest)
		}
		if s := RetryAfter(err, 10*time.Second, 0, 1500*time.Millisecond); s != minRetrySeconds {
			t.Errorf("a caller with 1.5 s left is told to return after %d s, want %d", s, minRetrySeconds)
		}
	}
}

// TestExpectedWaitCrossesDaemons guards against a refusal that loses its expected wait, its kind or its
// reason on the way from the leader to the daemon of the caller.
func TestExpectedWaitCrossesDaemons(t *testing.T) {
	err := errkind.New(errkind.Overloaded, sched.ReasonOverRate, "full")
	err.Wait = 4 * time.Second
	sent := &reply{}
	sent.setError(err)
	data, encodeErr := codec{}.Marshal(sent)
	received := &reply{}
	if decodeErr := (codec{}).Unmarshal(data, received); encodeErr != nil || decodeErr != nil {
		t.Fatal(encodeErr, decodeErr)
	}
	got := received.err()
	if errkind.WaitOf(got) != err.Wait || errkind.Of(got) != err.Kind || errkind.ReasonOf(got) != err.Reason {
		t.Errorf("received %v with wait %v, want %v with wait %v", got, errkind.WaitOf(got), err, err.Wait)
	}
}
