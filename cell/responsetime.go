package cell

import "time"

const (
	// meanWeight and deviationWeight are the weights of the newest response time in the smoothed mean
	// and in the smoothed deviation from it, and deviationFactor times the deviation beyond the mean is
	// how long an answer is waited for. The values are those of TCP's retransmission timer (RFC 6298).
	meanWeight, deviationWeight = 0.125, 0.25
	deviationFactor             = 4
)

// responseTimes estimates from observed response times how long an answer may take. The zero value has
// observed none.
type responseTimes struct {
	mean, deviation time.Duration
}

// observe takes one response time into account.
func (t *responseTimes) observe(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.deviation = took, took/2
		return
	}
	t.deviation += time.Duration(deviationWeight * float64((took-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
}

// limit returns the time after which an answer is probably lost, 0 if no response time was observed.
func (t *responseTimes) limit() time.Duration { return t.mean + deviationFactor*t.deviation }
