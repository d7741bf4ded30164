package job

import "github.com/prometheus/client_golang/prometheus"

// counters counts events by event name and reason.
type counters struct{ vec *prometheus.CounterVec }

// newCounters registers the counter of one subsystem, "scheduler" or "rack". A nil reg registers nothing.
func newCounters(reg prometheus.Registerer, subsystem string) *counters {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "sassafraslb", Subsystem: "job_" + subsystem, Name: "events_total",
		Help: "Events of the job path by kind and reason.",
	}, []string{"event", "reason"})
	if reg != nil {
		reg.MustRegister(vec)
	}
	return &counters{vec: vec}
}

func (c *counters) inc(event, reason string) { c.add(event, reason, 1) }

func (c *counters) add(event, reason string, n int) {
	c.vec.WithLabelValues(event, reason).Add(float64(n))
}
