package sched

import "time"

// maxSpan bounds times that come from callers and configurations, so that sums of a few of
// them do not overflow. What is due later counts as due then.
const maxSpan = 20 * 366 * 24 * time.Hour

// spanOfMillis converts milliseconds, and returns maxSpan, or its negative, beyond that.
func spanOfMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, -maxSpan.Milliseconds()), maxSpan.Milliseconds())) * time.Millisecond
}

// scaleSpan returns d times factor, within 0 and maxSpan.
func scaleSpan(d time.Duration, factor float64) time.Duration {
	scaled := float64(d) * factor
	switch {
	case scaled >= float64(maxSpan):
		return maxSpan
	case scaled > 0:
		return time.Duration(scaled)
	default:
		return 0 // also if factor is not a number
	}
}

// clampSpan returns d within 0 and maxSpan.
func clampSpan(d time.Duration) time.Duration { return min(max(d, 0), maxSpan) }
