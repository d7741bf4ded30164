package cell

import (
	"time"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/sched"
)

// tenantMetricsInterval is the time between two updates of the gauges of tenants, which cost the leader
// a walk over all machines and tenants.
const tenantMetricsInterval = time.Second

// tierNames are the tiers of waiting steps, in the order of sched.Stats.WaitingByTier.
var tierNames = [...]string{"persistent", "on_time", "late", "no_use"}

// showLoad sets the gauges of the waiting steps and of late ends and, if tenants is not nil, of the tenants.
func (m *Metrics) showLoad(stats sched.Stats, tenants []sched.TenantShare) {
	for i, name := range tierNames {
		m.WaitingByTier.WithLabelValues(name).Set(float64(stats.WaitingByTier[i]))
	}
	for kind, n := range stats.LateEnds {
		m.LateEnds.WithLabelValues(string(kind)).Set(float64(n))
	}
	if tenants == nil {
		return
	}
	m.TenantWeightShare.Reset()
	m.TenantUse.Reset()
	for _, t := range tenants {
		m.TenantWeightShare.WithLabelValues(t.Name).Set(t.Weight)
		m.TenantUse.WithLabelValues(t.Name).Set(t.Use)
	}
}

// showFailingMachines sets the gauges of the machines that do not answer orders.
func (m *Metrics) showFailingMachines(machines []sched.FailingMachine) {
	m.OrderFailures.Reset()
	for _, f := range machines {
		m.OrderFailures.WithLabelValues(f.ID, f.Reason).Set(float64(f.Orders))
	}
}

// clearLoad removes those gauges when this daemon no longer leads.
func (m *Metrics) clearLoad() {
	m.OrderFailures.Reset()
	m.LateEnds.Reset()
	m.WaitingByTier.Reset()
	m.TenantWeightShare.Reset()
	m.TenantUse.Reset()
}

// countRefusal counts a refusal of Submit by admission control.
func (m *Metrics) countRefusal(err error) {
	if reason := errkind.ReasonOf(err); reason == sched.ReasonNoTimeLeft || reason == sched.ReasonOverRate {
		m.AdmissionRefusals.WithLabelValues(reason).Inc()
	}
}
