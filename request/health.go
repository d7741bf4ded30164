package request

import (
	"slices"
	"time"
)

// healthState tells whether an executor gets work.
type healthState int

const (
	healthy healthState = iota
	ejected             // gets no work until the ejection ends
	trial               // gets one call at a time
)

// String returns the name used in statistics.
func (s healthState) String() string { return [...]string{"healthy", "ejected", "trial"}[s] }

// Samples before rates are judged, successes that end a trial, and the largest
// multiple of the ejection time.
const (
	minSamples     = 20
	trialSuccesses = 3
	maxEjectFactor = 16
)

// health follows the failures and run times of one executor.
type health struct {
	state     healthState
	until     time.Time // end of the ejection
	factor    int       // multiple of the ejection time
	row       int       // failures in a row
	successes int       // in the trial
	samples   int
	failRate  float64 // moving average
	runTime   float64 // moving average in seconds, of answers
}

// observe counts one ended call. It reports whether the executor should be
// ejected for failures.
func (h *health) observe(ok bool, took time.Duration, maxRow int) bool {
	h.samples++
	const gain = 0.1
	if !ok {
		h.row++
		h.failRate += gain * (1 - h.failRate)
		return h.state == trial || h.row >= maxRow || h.samples >= minSamples && h.failRate > 0.5
	}
	h.row = 0
	h.failRate -= gain * h.failRate
	if h.runTime == 0 {
		h.runTime = took.Seconds()
	}
	h.runTime += gain * (took.Seconds() - h.runTime)
	if h.state == trial {
		h.successes++
		if h.successes >= trialSuccesses {
			*h = health{runTime: h.runTime, samples: minSamples}
		}
	}
	return false
}

func (h *health) eject(now time.Time, base time.Duration) {
	h.factor = min(maxEjectFactor, max(1, h.factor*2))
	h.state, h.until, h.row, h.successes = ejected, now.Add(base*time.Duration(h.factor)), 0, 0
	h.failRate, h.samples, h.runTime = 0, 0, 0
}

// medianRunTime returns the median over the healthy executors, in seconds.
func medianRunTime(xs []*executor) float64 {
	var times []float64
	for _, x := range xs {
		if x.health.state == healthy && x.health.samples >= minSamples && x.health.runTime > 0 {
			times = append(times, x.health.runTime)
		}
	}
	if len(times) < 3 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
