package request

import (
	"slices"
	"time"
)

// healthState tells how much work an executor gets.
type healthState int

const (
	healthy healthState = iota
	ejected             // gets no work until the ejection ends
	trial               // after an ejection: gets one call at a time
)

// String returns the name that Stats shows.
func (s healthState) String() string { return [...]string{"healthy", "ejected", "trial"}[s] }

const (
	// minSamples is the number of ended runs below which failRate and runTime are not
	// used yet.
	minSamples = 20
	// trialSuccesses is the number of successes that end a trial.
	trialSuccesses = 3
	// maxEjectionFactor bounds the ejection time, as a multiple of Config.BaseEjectionTime.
	maxEjectionFactor = 16
)

// health tracks the failures and run times of one executor.
type health struct {
	state               healthState
	ejectedUntil        time.Time // end of the ejection
	ejectionFactor      int       // multiple of Config.BaseEjectionTime
	consecutiveFailures int
	successes           int     // in the current trial
	samples             int     // ended runs since the last ejection
	failRate            float64 // exponential moving average, 0 to 1
	runTime             float64 // exponential moving average over the successful runs, in seconds
}

// observe counts one ended run. It returns true if the executor should be ejected
// for failures: for any in a trial, for maxConsecutiveFailures in a row, or for a
// failure rate above one half.
func (h *health) observe(ok bool, took time.Duration, maxConsecutiveFailures int) bool {
	h.samples++
	const gain = 0.1
	if !ok {
		h.consecutiveFailures++
		h.failRate += gain * (1 - h.failRate)
		return h.state == trial || h.consecutiveFailures >= maxConsecutiveFailures ||
			h.samples >= minSamples && h.failRate > 0.5
	}
	h.consecutiveFailures = 0
	h.failRate -= gain * h.failRate
	if h.runTime == 0 {
		h.runTime = took.Seconds()
	}
	h.runTime += gain * (took.Seconds() - h.runTime)
	if h.state == trial {
		h.successes++
		if h.successes >= trialSuccesses {
			// With minSamples, failRate and runTime count at once.
			*h = health{runTime: h.runTime, samples: minSamples}
		}
	}
	return false
}

// eject starts an ejection and resets the statistics. The ejection takes base, or twice as
// long as the previous one if no trial has succeeded since, up to maxEjectionFactor times
// base.
func (h *health) eject(now time.Time, base time.Duration) {
	h.ejectionFactor = min(maxEjectionFactor, max(1, h.ejectionFactor*2))
	h.state, h.ejectedUntil, h.consecutiveFailures, h.successes =
		ejected, now.Add(base*time.Duration(h.ejectionFactor)), 0, 0
	h.failRate, h.samples, h.runTime = 0, 0, 0
}

// medianRunTime returns the median run time over the healthy executors, in seconds,
// or 0 if fewer than 3 have enough samples.
func medianRunTime(executors []*executor) float64 {
	var times []float64
	for _, x := range executors {
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
