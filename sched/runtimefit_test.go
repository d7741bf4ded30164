package sched

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFitFollowsWhatDeclaredRunTimesSay guards against jobs that are taken for late or short because
// their declared run time is off, and against ignoring declared run times that are good.
func TestFitFollowsWhatDeclaredRunTimesSay(t *testing.T) {
	for _, test := range []struct{ estimateError, lowest, highest float64 }{
		{0.9, 2.8, 3.6},  // the slope is 0.22 (variances 1.33 and 6.0 s2), so that 3.2 s are expected
		{0.05, 0.2, 0.8}, // the slope is almost 1
	} {
		var f runTimeFit
		rng := rand.New(rand.NewPCG(1, 2))
		for range 300 {
			real := 2 + 4*rng.Float64()
			f.add(real*(1+test.estimateError*(2*rng.Float64()-1)), real)
		}
		if got := f.expected(400 * time.Millisecond).Seconds(); got < test.lowest || got > test.highest {
			t.Errorf("declared run times off by up to %.2f: 0.4 s declared is taken for %.2f s, want %.1f to %.1f",
				test.estimateError, got, test.lowest, test.highest)
		}
		if got := f.expected(4 * time.Second).Seconds(); got < 3.5 || got > 4.7 {
			t.Errorf("declared run times off by up to %.2f: 4 s declared is taken for %.2f s", test.estimateError, got)
		}
	}
}

// TestFitOnlyUnderTheGate guards against other run times, and so another order, in deployments that do
// not ask for it.
func TestFitOnlyUnderTheGate(t *testing.T) {
	for _, shed := range []bool{false, true} {
		f := newEngineFixture(t, plainQueues, worker("a"))
		f.engine.cfg.ShedLoad = shed
		for i := range 2 * minFitSteps {
			f.submit(smallStep(1))
			for name := range f.planAndConfirm() {
				f.now += 2 * time.Second
				f.poll("a", nil, []EndReport{{Number: int64(i) + 1, Task: name, Run: 1, Kind: EndDone}})
			}
		}
		if used := f.engine.estimator.fits["q"] != nil; used != shed {
			t.Errorf("with ShedLoad %v run times are fitted: %v", shed, used)
		}
		got := f.engine.estimator.expected(f.engine.queues["q"], &Step{Estimate: 200 * time.Millisecond})
		if far := got > time.Second; far != shed {
			t.Errorf("with ShedLoad %v a declared run time of 0.2 s is taken for %v", shed, got)
		}
	}
}

// TestFitBoundsOutliers guards against a few runs on machines that are slow by a factor of ten, which
// would make all jobs of their queue look late.
func TestFitBoundsOutliers(t *testing.T) {
	var f runTimeFit
	for i := range 200 {
		real := 1.0
		if i > 100 && i%20 == 0 {
			real = 10
		}
		f.add(1, real)
	}
	if got := f.expected(time.Second); got > 1200*time.Millisecond {
		t.Errorf("expected run time %v, want about 1s", got)
	}
}
