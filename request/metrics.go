package request

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// metrics are the Prometheus metrics of a Service.
type metrics struct {
	outcomes       *prometheus.CounterVec
	failures       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	droppedAnswers *prometheus.CounterVec
	ejections      *prometheus.CounterVec
	dispatches     *prometheus.CounterVec
	waits          *prometheus.HistogramVec
	durations      *prometheus.HistogramVec
	silentLinks    prometheus.Counter
	reportBytes    prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "sassafraslb_request_" + name, Help: help}, labels)
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "sassafraslb_request_" + name, Help: help})
	}
	seconds := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "sassafraslb_request_" + name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 17)}, []string{"class"})
	}
	m := &metrics{
		outcomes:       vec("outcomes_total", "Calls of callers by class and outcome.", "class", "outcome"),
		failures:       vec("failures_total", "Calls of callers without an answer by kind and reason.", "kind", "reason"),
		retries:        vec("retries_total", "Retries by reason of the failed attempt.", "reason"),
		droppedAnswers: vec("dropped_answers_total", "Answers not delivered by reason.", "reason"),
		ejections:      vec("ejections_total", "Ejections of executors by reason.", "reason"),
		dispatches:     vec("dispatches_total", "Calls sent to executor groups by distance.", "distance"),
		waits:          seconds("wait_seconds", "Waiting time in the queue of the executor group."),
		durations:      seconds("duration_seconds", "Time from arrival at the entry to the answer."),
		silentLinks:    counter("silent_links_total", "Calls given up because their link was silent."),
		reportBytes:    counter("load_report_bytes_total", "Estimated bytes of load reports sent."),
	}
	for _, c := range []prometheus.Collector{m.outcomes, m.failures, m.retries, m.droppedAnswers, m.ejections, m.dispatches,
		m.waits, m.durations, m.silentLinks, m.reportBytes} {
		if err := reg.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// observe counts the call of a caller that ended with rep after the time took.
func (m *metrics) observe(class string, rep reply, took time.Duration) {
	m.outcomes.WithLabelValues(class, string(rep.outcome())).Inc()
	m.durations.WithLabelValues(class).Observe(took.Seconds())
	if rep.err != nil {
		m.failures.WithLabelValues(string(errkind.Of(rep.err)), errkind.ReasonOf(rep.err)).Inc()
		return
	}
	m.waits.WithLabelValues(class).Observe(rep.answer.Waited.Seconds())
}
