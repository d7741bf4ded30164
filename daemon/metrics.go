package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/link"
)

// parts collects the figures that no package exports itself.
type parts struct {
	counters *link.ByteCounters
	members  *link.Membership
	claimer  *contract.Claimer

	bytes   *prometheus.Desc
	peers   *prometheus.Desc
	keyHeld *prometheus.Desc
}

// registerMetrics adds the process figures and those of links and ownership.
func registerMetrics(i do.Injector) error {
	p := &parts{
		counters: do.MustInvoke[*link.ByteCounters](i),
		members:  do.MustInvoke[*link.Membership](i),
		claimer:  do.MustInvoke[*contract.Claimer](i),
		bytes: prometheus.NewDesc("sassafraslb_link_bytes_total",
			"Bytes to and from daemons, the log and the host list, by distance and direction.", []string{"distance", "direction"}, nil),
		peers: prometheus.NewDesc("sassafraslb_members", "Daemons by state as seen from this one.", []string{"state"}, nil),
		keyHeld: prometheus.NewDesc("sassafraslb_keys_held",
			"Keys that this daemon owns and may act for, by kind.", []string{"kind"}, nil),
	}
	registry := do.MustInvoke[*prometheus.Registry](i)
	for _, c := range []prometheus.Collector{
		p, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := registry.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Describe implements prometheus.Collector.
func (p *parts) Describe(ch chan<- *prometheus.Desc) {
	ch <- p.bytes
	ch <- p.peers
	ch <- p.keyHeld
}

// Collect implements prometheus.Collector.
func (p *parts) Collect(ch chan<- prometheus.Metric) {
	for d, b := range p.counters.Snapshot() {
		ch <- prometheus.MustNewConstMetric(p.bytes, prometheus.CounterValue, float64(b.In), d.String(), "in")
		ch <- prometheus.MustNewConstMetric(p.bytes, prometheus.CounterValue, float64(b.Out), d.String(), "out")
	}
	states := map[link.State]int{link.Alive: 0, link.Suspected: 0, link.Dead: 0, link.Left: 0}
	for _, m := range p.members.Members() {
		states[m.State]++
	}
	for s, n := range states {
		ch <- prometheus.MustNewConstMetric(p.peers, prometheus.GaugeValue, float64(n), string(s))
	}
	kinds := map[contract.KeyKind]int{contract.Rack: 0, contract.Exec: 0, contract.Jobs: 0, contract.IDs: 0}
	for _, k := range p.claimer.Held() {
		kinds[k.Kind()]++
	}
	for k, n := range kinds {
		ch <- prometheus.MustNewConstMetric(p.keyHeld, prometheus.GaugeValue, float64(n), string(k))
	}
}
