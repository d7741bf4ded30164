package cell

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a Daemon.
type Metrics struct {
	Registry          *prometheus.Registry
	Requests          *prometheus.CounterVec   // by call and status
	RequestSeconds    *prometheus.HistogramVec // seconds, by call
	Refusals          *prometheus.CounterVec   // by reason
	KeyRefusals       *prometheus.CounterVec   // by reason
	ConfigProofAge    prometheus.Gauge         // seconds
	StartOrders       *prometheus.CounterVec   // by outcome
	Retries           *prometheus.CounterVec   // by the kind of call that was repeated
	PollFailures      *prometheus.CounterVec   // by reason
	MachineSilence    prometheus.Histogram     // from a machine's last answer to the next, if polls failed between them
	LateEnds          *prometheus.GaugeVec     // by kind
	StartOrderSeconds prometheus.Histogram     // from sending to the answer
	Appends           *prometheus.CounterVec   // by outcome
	AppendSeconds     prometheus.Histogram     // of job state
	AdviceRequests    *prometheus.CounterVec   // by outcome
	// OpenConnections is by port, and DroppedConnections by port and reason. The ports are callers, readiness,
	// metrics and daemons.
	OpenConnections    *prometheus.GaugeVec
	DroppedConnections *prometheus.CounterVec
	RequestBytes       *prometheus.GaugeVec // memory of requests in flight, by who sent them
	LiveJobs           prometheus.Gauge
	JobBytes           prometheus.Gauge
	OrderFailures      *prometheus.GaugeVec
	WaitingSteps       prometheus.Gauge
	StepsAtCap         prometheus.Gauge
	TenantHeld         *prometheus.GaugeVec // by tenant and resource, as TenantCap
	TenantCap          *prometheus.GaugeVec
	Leading            prometheus.Gauge
	AdmissionRefusals  *prometheus.CounterVec // by reason
	WaitingByTier      *prometheus.GaugeVec   // by tier
	TenantWeightShare  *prometheus.GaugeVec   // by tenant
	TenantUse          *prometheus.GaugeVec   // by tenant
}

// NewMetrics returns metrics that are registered with a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry:       prometheus.NewRegistry(),
		Requests:       counter("sassafraslb_cell_requests_total", "Requests of callers.", "call", "status"),
		Refusals:       counter("sassafraslb_cell_refusals_total", "Requests that were refused, by reason.", "reason"),
		KeyRefusals:    counter("sassafraslb_cell_key_refusals_total", "Requests that were refused because of their key, by reason.", "reason"),
		ConfigProofAge: gauge("sassafraslb_cell_config_proof_age_seconds", "Time since the start of the last read that proved the configuration current."),
		StartOrders:    counter("sassafraslb_cell_start_orders_total", "Start orders, by outcome.", "outcome"),
		Retries:        counter("sassafraslb_cell_retries_total", "Repeated calls, by what was repeated.", "what"),
		PollFailures:   counter("sassafraslb_cell_poll_failures_total", "Polls of machines that were not answered, by reason.", "reason"),
		LateEnds: gaugeVec("sassafraslb_cell_late_ends",
			"Ends that were read after their task had been started again, by kind; 0 unless this daemon leads.", "kind"),
		Appends:        counter("sassafraslb_cell_log_appends_total", "Appends of job state, by outcome.", "outcome"),
		AdviceRequests: counter("sassafraslb_cell_advice_total", "Advice requests, by outcome.", "outcome"),
		RequestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sassafraslb_cell_request_seconds", Help: "Time to answer a request of a caller.", Buckets: latencyBuckets,
		}, []string{"call"}),
		MachineSilence: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "sassafraslb_cell_machine_silence_seconds",
			Help: "Time from the last answer of a machine to the next, if polls failed between them.", Buckets: silenceBuckets}),
		StartOrderSeconds: histogram("sassafraslb_cell_start_order_seconds", "Time from a start order to its answer."),
		AppendSeconds:     histogram("sassafraslb_cell_log_append_seconds", "Time of an append of job state."),
		OpenConnections:   gaugeVec("sassafraslb_cell_open_connections", "Open connections, by port.", "port"),
		DroppedConnections: counter("sassafraslb_cell_dropped_connections_total",
			"Connections that were closed because of a limit, by port and reason.", "port", "reason"),
		RequestBytes: gaugeVec("sassafraslb_cell_request_bytes",
			"Memory that is reserved for heads, bodies and messages of requests in flight.", "requests"),
		LiveJobs: gauge("sassafraslb_cell_live_jobs", "Accepted jobs that have not ended; 0 unless this daemon leads."),
		JobBytes: gauge("sassafraslb_cell_job_bytes", "Memory that accepted jobs take or have reserved; 0 unless this daemon leads."),
		OrderFailures: gaugeVec("sassafraslb_cell_machine_order_failures", "Orders in a row that a machine has not answered; absent for others, and unless this daemon leads.",
			"machine", "reason"),
		WaitingSteps: gauge("sassafraslb_cell_waiting_steps", "Steps with tasks that are not placed; 0 unless this daemon leads."),
		StepsAtCap:   gauge("sassafraslb_cell_steps_at_cap", "Steps that the cap of their tenant held up in the last planning pass; 0 unless this daemon leads."),
		TenantHeld: gaugeVec("sassafraslb_cell_tenant_held", "What the tasks of a tenant with a cap hold on all machines; absent unless this daemon leads.",
			"tenant", "resource"),
		TenantCap: gaugeVec("sassafraslb_cell_tenant_cap", "What a tenant may hold; absent for a resource without a bound, and unless this daemon leads.",
			"tenant", "resource"),
		Leading:           gauge("sassafraslb_cell_leading", "1 while this daemon leads the cell."),
		AdmissionRefusals: counter("sassafraslb_cell_admission_refusals_total", "Jobs that admission control refused, by reason.", "reason"),
		WaitingByTier:     gaugeVec("sassafraslb_cell_waiting_steps_by_tier", "Steps that found no room in the last pass, by tier.", "tier"),
		TenantWeightShare: gaugeVec("sassafraslb_cell_tenant_weight_share", "Weight of a tenant as a share of all weights.", "tenant"),
		TenantUse:         gaugeVec("sassafraslb_cell_tenant_use", "Largest share of a resource of all machines that a tenant holds.", "tenant"),
	}
	m.Registry.MustRegister(m.Requests, m.Refusals, m.KeyRefusals, m.ConfigProofAge, m.StartOrders, m.Retries, m.PollFailures, m.MachineSilence, m.LateEnds, m.Appends, m.AdviceRequests, m.RequestSeconds, m.StartOrderSeconds,
		m.AppendSeconds, m.OpenConnections, m.DroppedConnections, m.RequestBytes, m.LiveJobs, m.JobBytes, m.OrderFailures, m.WaitingSteps, m.StepsAtCap, m.TenantHeld, m.TenantCap, m.Leading,
		m.AdmissionRefusals, m.WaitingByTier, m.TenantWeightShare, m.TenantUse)
	return m
}

// latencyBuckets are in seconds. They reach from a call within a zone to the longest time that callers
// wait.
var latencyBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// silenceBuckets are in seconds. They reach from one repeated poll to a machine that was away for longer than its lease.
var silenceBuckets = []float64{0.2, 0.5, 1, 2, 5, 10, 20, 60}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets})
}
