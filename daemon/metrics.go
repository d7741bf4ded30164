package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/link"
)

// statsCollector is the prometheus.Collector of the statistics of links, members and
// ownership, whose packages register no metrics themselves.
type statsCollector struct {
	counters *link.ByteCounters
	members  *link.Membership
	claimer  *contract.Claimer

	linkBytes      *prometheus.Desc
	membersByState *prometheus.Desc
	keysHeld       *prometheus.Desc
}

// registerMetrics registers the metrics of the Go runtime, of the process, and of links,
// members and ownership.
func registerMetrics(i do.Injector) error {
	stats := &statsCollector{
		counters: do.MustInvoke[*link.ByteCounters](i),
		members:  do.MustInvoke[*link.Membership](i),
		claimer:  do.MustInvoke[*contract.Claimer](i),
		linkBytes: prometheus.NewDesc("sassafraslb_link_bytes_total",
			"Bytes to and from daemons, the log and the host list, by distance and direction.", []string{"distance", "direction"}, nil),
		membersByState: prometheus.NewDesc("sassafraslb_members", "Daemons by state as seen from this one.", []string{"state"}, nil),
		keysHeld: prometheus.NewDesc("sassafraslb_keys_held",
			"Keys that this daemon owns and may act for, by kind.", []string{"kind"}, nil),
	}
	registry := do.MustInvoke[*prometheus.Registry](i)
	for _, c := range []prometheus.Collector{
		stats, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := registry.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Describe implements prometheus.Collector.
func (c *statsCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.linkBytes
	ch <- c.membersByState
	ch <- c.keysHeld
}

// Collect implements prometheus.Collector.
func (c *statsCollector) Collect(ch chan<- prometheus.Metric) {
	for d, b := range c.counters.Snapshot() {
		ch <- prometheus.MustNewConstMetric(c.linkBytes, prometheus.CounterValue, float64(b.In), d.String(), "in")
		ch <- prometheus.MustNewConstMetric(c.linkBytes, prometheus.CounterValue, float64(b.Out), d.String(), "out")
	}
	states := map[link.State]int{link.Alive: 0, link.Suspected: 0, link.Dead: 0, link.Left: 0}
	for _, m := range c.members.Members() {
		states[m.State]++
	}
	for s, n := range states {
		ch <- prometheus.MustNewConstMetric(c.membersByState, prometheus.GaugeValue, float64(n), string(s))
	}
	kinds := map[contract.KeyKind]int{contract.Rack: 0, contract.Exec: 0, contract.Jobs: 0, contract.IDs: 0}
	for _, k := range c.claimer.Held() {
		kinds[k.Kind()]++
	}
	for k, n := range kinds {
		ch <- prometheus.MustNewConstMetric(c.keysHeld, prometheus.GaugeValue, float64(n), string(k))
	}
}
