package request

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sassafraslb/sassafraslb/errkind"
)

// metrics are the counters of the request path.
type metrics struct {
	answers     *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	dropped     *prometheus.CounterVec
	ejections   *prometheus.CounterVec
	calls       *prometheus.CounterVec
	waits       *prometheus.HistogramVec
	durations   *prometheus.HistogramVec
	silent      prometheus.Counter
	reportBytes prometheus.Counter
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
		answers:     vec("outcomes_total", "Calls of callers by class and outcome.", "class", "outcome"),
		refusals:    vec("failures_total", "Calls of callers without an answer by kind and reason.", "kind", "reason"),
		retries:     vec("retries_total", "Retries by reason of the failed attempt.", "reason"),
		dropped:     vec("dropped_answers_total", "Answers not delivered by reason.", "reason"),
		ejections:   vec("ejections_total", "Ejections of executors by reason.", "reason"),
		calls:       vec("dispatches_total", "Calls sent to executor groups by distance.", "distance"),
		waits:       seconds("wait_seconds", "Waiting time in the queue of the executor group."),
		durations:   seconds("duration_seconds", "Time from arrival at the entry to the answer."),
		silent:      counter("silent_links_total", "Calls given up because their link was silent."),
		reportBytes: counter("load_report_bytes_total", "Estimated bytes of load reports sent."),
	}
	for _, c := range []prometheus.Collector{m.answers, m.refusals, m.retries, m.dropped, m.ejections, m.calls,
		m.waits, m.durations, m.silent, m.reportBytes} {
		if err := reg.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) observe(class string, rep reply, took time.Duration) {
	m.answers.WithLabelValues(class, string(rep.outcome())).Inc()
	m.durations.WithLabelValues(class).Observe(took.Seconds())
	if rep.err != nil {
		m.refusals.WithLabelValues(string(errkind.Of(rep.err)), errkind.ReasonOf(rep.err)).Inc()
		return
	}
	m.waits.WithLabelValues(class).Observe(rep.answer.Waited.Seconds())
}
