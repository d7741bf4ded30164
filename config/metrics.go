package config

import (
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// storeMetrics are the metrics of a Store.
type storeMetrics struct {
	records      *prometheus.CounterVec // by result
	images       *prometheus.CounterVec // by source and result
	readCalls    prometheus.Counter
	readBytes    prometheus.Counter
	version      prometheus.Gauge
	inForceDelay prometheus.Histogram // seconds from PublishedAt until a change is in force on this daemon
}

func newStoreMetrics(r prometheus.Registerer) (storeMetrics, error) {
	m := storeMetrics{
		records: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafraslb_config_records_total", Help: "Records of stream config folded, by result.",
		}, []string{"result"}),
		images: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafraslb_config_images_total", Help: "Images offered by snapshots and peers, by result.",
		}, []string{"source", "result"}),
		readCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafraslb_config_reads_total", Help: "Reads of stream config.",
		}),
		readBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafraslb_config_read_bytes_total", Help: "Bytes of records read from stream config.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "sassafraslb_config_version", Help: "Version of the configuration in force.",
		}),
		inForceDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "sassafraslb_config_in_force_seconds", Help: "Time from the submission of a change until it is in force on this daemon.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 2, 4, 8, 30, 120},
		}),
	}
	return m, register(r, m.records, m.images, m.readCalls, m.readBytes, m.version, m.inForceDelay)
}

// publisherMetrics are the metrics of a Publisher.
type publisherMetrics struct {
	results     *prometheus.CounterVec // by result
	appends     prometheus.Counter
	appendBytes prometheus.Counter
}

func newPublisherMetrics(r prometheus.Registerer) (publisherMetrics, error) {
	m := publisherMetrics{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sassafraslb_config_changes_total", Help: "Submitted changes, by result or reason of refusal.",
		}, []string{"result"}),
		appends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafraslb_config_appends_total", Help: "Appends of change records, repeats included.",
		}),
		appendBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "sassafraslb_config_append_bytes_total", Help: "Bytes of appended change records.",
		}),
	}
	return m, register(r, m.results, m.appends, m.appendBytes)
}

// register registers the collectors with r, which may be nil.
func register(r prometheus.Registerer, cs ...prometheus.Collector) error {
	if r == nil {
		return nil
	}
	for _, c := range cs {
		if err := r.Register(c); err != nil {
			return errors.Wrap(err, "register metrics")
		}
	}
	return nil
}
